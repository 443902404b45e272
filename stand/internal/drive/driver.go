package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/stand/internal/plan"
)

const (
	modelRoute    = "draft"
	modelPool     = "drafts"
	bookingRoute  = "book"
	bookingPool   = "bookings"
	pollInterval  = 200 * time.Millisecond
	printInterval = time.Second
	settleDelay   = time.Second
)

// driver runs one demonstration.
type driver struct {
	plan           plan.Plan
	dir            string
	rolloutTimeout time.Duration
	client         *http.Client
	peers          *http.Client
	clients        *clients
	// trees holds the path of the source tree of each published version, by name.
	trees map[string]string
	// manifests holds the manifest digest of each published version, by name.
	manifests map[string]chunks.Digest
	// firstBytes is the size of the first version.
	firstBytes int64
}

func newDriver(p plan.Plan, dir string, rolloutTimeout time.Duration) (*driver, func()) {
	client, stopClient := links.NewClient(nil)
	peers, stopPeers := links.NewPeerClient(nil)
	d := &driver{
		plan: p, dir: dir, rolloutTimeout: rolloutTimeout, client: client, peers: peers,
		trees: make(map[string]string), manifests: make(map[string]chunks.Digest),
	}
	return d, func() {
		stopClient()
		stopPeers()
	}
}

func (d *driver) run(ctx context.Context, weights string) error {
	if err := d.prepare(ctx, weights); err != nil {
		return err
	}
	d.clients = newClients(d)
	stop := d.clients.start()
	defer stop()
	first, err := d.rollOut(ctx, "one", 1)
	if err != nil {
		return err
	}
	time.Sleep(settleDelay)
	d.clients.startSteadyCount()
	s, stopSampler := startSampler(d)
	defer stopSampler()
	if _, err := d.rollOut(ctx, "two", 0.3); err != nil {
		return err
	}
	third, err := d.rollOut(ctx, "three", 1)
	if err != nil {
		return err
	}
	time.Sleep(settleDelay)
	stop()
	stopSampler()
	return d.summarize(ctx, first, third, s)
}

// runFirst publishes only the first version and returns when every host serves it.
func (d *driver) runFirst(ctx context.Context, weights string) error {
	if err := d.prepare(ctx, weights); err != nil {
		return err
	}
	_, err := d.rollOut(ctx, "one", 1)
	return err
}

func (d *driver) prepare(ctx context.Context, weights string) error {
	sources, err := makeTrees(d.dir, weights)
	if err != nil {
		return err
	}
	d.trees = sources
	if err := d.plan.WaitReady(ctx); err != nil {
		return err
	}
	for name, path := range sources {
		absolute, err := filepath.Abs(path)
		if err != nil {
			return err
		}
		for _, at := range []netip.AddrPort{d.plan.Store, d.plan.Origin} {
			u := d.urlOf(at, "/v1/trees")
			u.RawQuery = url.Values{"path": {absolute}}.Encode()
			text, err := d.put(ctx, u, nil)
			if err != nil {
				return err
			}
			if d.manifests[name], err = chunks.ParseDigest(strings.TrimSpace(text)); err != nil {
				return err
			}
		}
	}
	if d.firstBytes, err = treeBytes(sources["one"]); err != nil {
		return err
	}
	list, err := edges.EncodeHosts(d.plan.HostList())
	if err != nil {
		return err
	}
	if _, err := d.put(ctx, d.urlOf(d.plan.Fleet, "/v1/hosts"), list); err != nil {
		return err
	}
	return d.publishRoutes(ctx)
}

func (d *driver) publishRoutes(ctx context.Context) error {
	data, err := tables.EncodeRoutes([]tables.Route{
		{Name: modelRoute, Pool: modelPool, Idempotent: true, Timeout: 10 * time.Second},
		{Name: bookingRoute, Pool: bookingPool, Timeout: 10 * time.Second},
	})
	if err != nil {
		return err
	}
	_, err = d.put(ctx, d.urlOf(d.plan.Config, "/v1/values/routes"), data)
	return err
}

func (d *driver) publishPools(ctx context.Context, version string) error {
	data, err := tables.EncodePools([]tables.Pool{
		{
			Name: modelPool, Kind: tables.PoolModel, Model: "writer", Version: version,
			Manifest: d.manifests[version], Hosts: d.hostsOf("engine"), Favor: tables.FavorTime, Ready: minReadyRatio, Fenced: true,
		},
		{Name: bookingPool, Kind: tables.PoolService, Hosts: d.hostsOf("plain"), Favor: tables.FavorTime},
	})
	if err != nil {
		return err
	}
	_, err = d.put(ctx, d.urlOf(d.plan.Config, "/v1/values/pools"), data)
	return err
}

// rolloutResult is the outcome of a roll-out.
type rolloutResult struct {
	duration time.Duration
	hosts    int
	// externalBytes is the number of bytes read from the store and the origin.
	externalBytes int64
}

// rollOut publishes a version and waits until the hosts hold a ratio of its chunks; a ratio
// of 1 waits until every host serves the version.
func (d *driver) rollOut(ctx context.Context, version string, ratio float64) (rolloutResult, error) {
	before, err := d.externalBytes(ctx)
	if err != nil {
		return rolloutResult{}, err
	}
	start := time.Now()
	if err := d.publishPools(ctx, version); err != nil {
		return rolloutResult{}, err
	}
	printedAt := start
	for {
		p := d.progress(ctx, version)
		now, err := d.externalBytes(ctx)
		if err != nil {
			return rolloutResult{}, err
		}
		r := rolloutResult{duration: time.Since(start), hosts: p.readyHosts, externalBytes: now - before}
		done := p.readyHosts == p.hosts || ratio < 1 && p.heldRatio() >= ratio
		if done || time.Since(printedAt) >= printInterval {
			printedAt = time.Now()
			p.print(version, r)
		}
		if done {
			return r, nil
		}
		if r.duration > d.rolloutTimeout {
			return r, fmt.Errorf("version %s is ready on %d of %d hosts after %s", version, p.readyHosts, p.hosts, r.duration)
		}
		time.Sleep(pollInterval)
	}
}

// rolloutProgress is the progress of a roll-out over all hosts.
type rolloutProgress struct {
	hosts      int
	readyHosts int
	chunks     uint64
	heldChunks uint64
}

func (p rolloutProgress) heldRatio() float64 {
	if p.chunks == 0 {
		return 0
	}
	return float64(p.heldChunks) / float64(p.chunks)
}

func (p rolloutProgress) print(version string, r rolloutResult) {
	rate := float64(r.externalBytes) / r.duration.Seconds() / (1 << 20)
	remaining := "unknown"
	if ratio := p.heldRatio(); ratio > 0 {
		remaining = time.Duration(float64(r.duration) * (1 - ratio) / ratio).Round(100 * time.Millisecond).String()
	}
	fmt.Printf("rollout=%s ready=%d hosts=%d held=%.2f outside=%dB rate=%.1fMiB/s elapsed=%s left=%s\n",
		version, p.readyHosts, p.hosts, p.heldRatio(), r.externalBytes, rate, r.duration.Round(10*time.Millisecond), remaining)
}

// progress queries the agents of all engines. One that doesn't respond counts as not ready.
func (d *driver) progress(ctx context.Context, version string) rolloutProgress {
	var p rolloutProgress
	for _, h := range d.plan.Hosts {
		if h.Kind != "engine" {
			continue
		}
		p.hosts++
		c := wire.NewAdminClient(d.peers, "http://"+h.Address.String())
		r, err := c.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			continue
		}
		for _, o := range r.Msg.Rollouts {
			if o.Version != version {
				continue
			}
			p.chunks += o.Chunks
			p.heldChunks += o.Held
			if o.Step == "ready" {
				p.readyHosts++
			}
		}
	}
	return p
}

func (d *driver) hostsOf(kind string) []hosts.Name {
	var names []hosts.Name
	for _, h := range d.plan.Hosts {
		if h.Kind == kind {
			names = append(names, hosts.Name(h.Name))
		}
	}
	return names
}

// externalBytes returns the number of bytes read from the store and the origin so far.
func (d *driver) externalBytes(ctx context.Context) (int64, error) {
	var sum int64
	for _, at := range []netip.AddrPort{d.plan.Store, d.plan.Origin} {
		text, err := d.get(ctx, d.urlOf(at, "/v1/bytes"))
		if err != nil {
			return 0, err
		}
		n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

func (d *driver) urlOf(address netip.AddrPort, path string) url.URL {
	return url.URL{Scheme: "http", Host: address.String(), Path: path}
}

func (d *driver) put(ctx context.Context, u url.URL, body []byte) (string, error) {
	return d.do(ctx, http.MethodPut, u, body)
}

func (d *driver) get(ctx context.Context, u url.URL) (string, error) {
	return d.do(ctx, http.MethodGet, u, nil)
}

func (d *driver) do(ctx context.Context, method string, u url.URL, body []byte) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	res, err := d.client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err
	}
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s %s: %s", method, u.Path, res.Status)
	}
	return string(data), nil
}

func (d *driver) getJSON(ctx context.Context, u url.URL, into any) error {
	text, err := d.get(ctx, u)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), into)
}

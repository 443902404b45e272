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
	modelRoute   = "draft"
	modelPool    = "drafts"
	bookingRoute = "book"
	bookingPool  = "bookings"
	pollWait     = 200 * time.Millisecond
	reportEvery  = time.Second
	settleTime   = time.Second
)

// driver drives one demonstration.
type driver struct {
	plan    plan.Plan
	dir     string
	within  time.Duration
	client  *http.Client
	peers   *http.Client
	callers *callers
	// trees holds the source tree of each published version, by name.
	trees map[string]string
	// manifests holds the manifest digest of each published version, by name.
	manifests map[string]chunks.Digest
	// bytes is the size of the first version.
	bytes int64
}

func newDriver(p plan.Plan, dir string, within time.Duration) (*driver, func()) {
	client, stopClient := links.NewClient(nil)
	peers, stopPeers := links.NewPeerClient(nil)
	d := &driver{
		plan: p, dir: dir, within: within, client: client, peers: peers,
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
	d.callers = newCallers(d)
	stop := d.callers.start()
	defer stop()
	first, err := d.rollOut(ctx, "one", 1)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	d.callers.markSteady()
	ready, stopSampler := startSampler(d)
	defer stopSampler()
	if _, err := d.rollOut(ctx, "two", 0.3); err != nil {
		return err
	}
	third, err := d.rollOut(ctx, "three", 1)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	stop()
	stopSampler()
	return d.summarize(ctx, first, third, ready)
}

// runFirst ends once every host serves the first version.
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
			u := d.at(at, "/v1/trees")
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
	if d.bytes, err = treeBytes(sources["one"]); err != nil {
		return err
	}
	list, err := edges.EncodeHosts(d.plan.HostList())
	if err != nil {
		return err
	}
	if _, err := d.put(ctx, d.at(d.plan.Fleet, "/v1/hosts"), list); err != nil {
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
	_, err = d.put(ctx, d.at(d.plan.Config, "/v1/values/routes"), data)
	return err
}

func (d *driver) publishPools(ctx context.Context, version string) error {
	data, err := tables.EncodePools([]tables.Pool{
		{
			Name: modelPool, Kind: tables.PoolModel, Model: "writer", Version: version,
			Manifest: d.manifests[version], Hosts: d.hostsOf("engine"), Favor: tables.FavorTime, Ready: readyShare, Fenced: true,
		},
		{Name: bookingPool, Kind: tables.PoolService, Hosts: d.hostsOf("plain"), Favor: tables.FavorTime},
	})
	if err != nil {
		return err
	}
	_, err = d.put(ctx, d.at(d.plan.Config, "/v1/values/pools"), data)
	return err
}

// result is how a roll-out went.
type result struct {
	time  time.Duration
	hosts int
	// outside is how many bytes came from the store and the origin.
	outside int64
}

// rollOut publishes a version and waits until the share of chunks is on the
// hosts; a share of 1 waits until every host serves the version.
func (d *driver) rollOut(ctx context.Context, version string, share float64) (result, error) {
	before, err := d.outsideBytes(ctx)
	if err != nil {
		return result{}, err
	}
	start := time.Now()
	if err := d.publishPools(ctx, version); err != nil {
		return result{}, err
	}
	reported := start
	for {
		s := d.survey(ctx, version)
		now, err := d.outsideBytes(ctx)
		if err != nil {
			return result{}, err
		}
		r := result{time: time.Since(start), hosts: s.ready, outside: now - before}
		done := s.ready == s.hosts || share < 1 && s.share() >= share
		if done || time.Since(reported) >= reportEvery {
			reported = time.Now()
			s.print(version, r)
		}
		if done {
			return r, nil
		}
		if r.time > d.within {
			return r, fmt.Errorf("version %s is ready on %d of %d hosts after %s", version, s.ready, s.hosts, r.time)
		}
		time.Sleep(pollWait)
	}
}

// survey is how far a roll-out has come over all hosts.
type survey struct {
	hosts  int
	ready  int
	chunks uint64
	held   uint64
}

func (s survey) share() float64 {
	if s.chunks == 0 {
		return 0
	}
	return float64(s.held) / float64(s.chunks)
}

func (s survey) print(version string, r result) {
	rate := float64(r.outside) / r.time.Seconds() / (1 << 20)
	left := "unknown"
	if share := s.share(); share > 0 {
		left = time.Duration(float64(r.time) * (1 - share) / share).Round(100 * time.Millisecond).String()
	}
	fmt.Printf("rollout=%s ready=%d hosts=%d held=%.2f outside=%dB rate=%.1fMiB/s elapsed=%s left=%s\n",
		version, s.ready, s.hosts, s.share(), r.outside, rate, r.time.Round(10*time.Millisecond), left)
}

func (d *driver) survey(ctx context.Context, version string) survey {
	var s survey
	for _, h := range d.plan.Hosts {
		if h.Kind != "engine" {
			continue
		}
		s.hosts++
		c := wire.NewAdminClient(d.peers, "http://"+h.Address.String())
		r, err := c.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			continue
		}
		for _, o := range r.Msg.Rollouts {
			if o.Version != version {
				continue
			}
			s.chunks += o.Chunks
			s.held += o.Held
			if o.Step == "ready" {
				s.ready++
			}
		}
	}
	return s
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

// outsideBytes returns how many bytes were read from the store and the origin.
func (d *driver) outsideBytes(ctx context.Context) (int64, error) {
	var sum int64
	for _, at := range []netip.AddrPort{d.plan.Store, d.plan.Origin} {
		text, err := d.get(ctx, d.at(at, "/v1/bytes"))
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

func (d *driver) at(address netip.AddrPort, path string) url.URL {
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
	a, err := d.client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return "", err
	}
	if a.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s %s: %s", method, u.Path, a.Status)
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

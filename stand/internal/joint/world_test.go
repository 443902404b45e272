package joint_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	agent "currantport.example/agent/serve"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	entry "currantport.example/entry/serve"
	"currantport.example/stand/internal/fleet"
	"currantport.example/stand/internal/values"
)

const (
	route = "book"
	// free is a route without keys, poison what crashes a service.
	free   = "draft"
	poison = "poison"
	whole  = "one two three"
	// entryCount is the number of entries of a world.
	entryCount = 2
	hop        = 10 * time.Millisecond
	runTime    = 100 * time.Millisecond
	lifetime   = 2 * time.Second
	within     = time.Minute
)

var (
	platform = netip.MustParseAddrPort("10.0.9.1:80")
	caller   = netip.MustParseAddr("10.0.9.2")
	bounds   = dedup.Bounds{RetryWindow: 20 * time.Second, MaxClockSkew: time.Second, MaxListLag: 2 * time.Second, KeyTTL: time.Hour}
)

// process is one program of the system on a host.
type process struct {
	host hosts.Host
	app  *fx.App
	// dead tells that the process opens no connections any more.
	dead atomic.Bool
}

// world is two entries and two agents with a plain service each, on a platform
// of stand-ins.
type world struct {
	t       *testing.T
	network *memnet.Network
	list    *fleet.Service
	values  *values.Service
	entries []*process
	agents  []*process
	client  *http.Client
	// takes is the time of a run. Callers wait for it and two seconds more.
	takes time.Duration
	// late is how much longer bytes from the first entry to an agent take on new
	// connections.
	late atomic.Int64

	mutex sync.Mutex
	// all holds every process ever started.
	all []*process
	// runs counts the starts at the services by key.
	runs map[calls.Key]int
	// crashes holds a channel for each service that closes when it crashes.
	crashes map[string]chan struct{}
	lost    int
}

func newWorld(t *testing.T, agents int) *world { return newSpreadWorld(t, agents, 1) }

// newSpreadWorld returns a world whose hosts stand in several regions in turn.
func newSpreadWorld(t *testing.T, agents, regions int) *world {
	w := &world{t: t, takes: runTime, runs: make(map[calls.Key]int), crashes: make(map[string]chan struct{})}
	w.network = memnet.New(w.path)
	service, stopValues := values.New()
	w.values, w.list = service, fleet.New()
	r := mux.NewRouter()
	w.values.Register(r)
	w.list.Register(r)
	stopPlatform := w.serve(platform, r)
	client, closeIdle := links.NewClient(w.network.Dialer(caller))
	w.client = client
	t.Cleanup(func() {
		closeIdle()
		for _, p := range w.all {
			p.dead.Store(true)
			_ = p.app.Stop(context.Background())
		}
		stopValues()
		stopPlatform()
		time.Sleep(10 * time.Second)
	})
	for i := range entryCount {
		w.entries = append(w.entries, &process{host: hostOf(hosts.RoleEntry, i, regions)})
	}
	for i := range agents {
		w.agents = append(w.agents, &process{host: hostOf(hosts.RoleAgent, i, regions)})
		t.Cleanup(w.serve(upstreamOf(w.agents[i].host), w))
	}
	w.publishRow()
	w.publish(tables.KindRoutes, must(tables.EncodeRoutes([]tables.Route{
		{Name: route, Pool: "p", Timeout: time.Second}, {Name: free, Pool: "p", Timeout: time.Second, Idempotent: true},
	})))
	w.publishHosts()
	for _, p := range w.agents {
		w.startAgent(p.host)
	}
	for i := range w.entries {
		w.startEntry(i)
	}
	return w
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

func hostOf(role hosts.Role, i, regions int) hosts.Host {
	third := byte(0)
	if role == hosts.RoleAgent {
		third = 1
	}
	return hosts.Host{
		Name: hosts.Name(string(role) + string(rune('a'+i))), Role: role, State: hosts.StateLive,
		Place:   hosts.Place{Region: hosts.Region(string(rune('a' + i%regions))), Domain: "one"},
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, third, byte(i + 1)}), 7000),
	}
}

// upstreamOf returns the address of the plain service beside an agent.
func upstreamOf(h hosts.Host) netip.AddrPort {
	a := h.Address.Addr().As4()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, a[3]}), 81)
}

func (w *world) path(from, to netip.Addr) memnet.Path {
	a, b := from.As4()[2], to.As4()[2]
	switch {
	case a == 2 || b == 2:
		return memnet.Path{}
	case from == w.entries[0].host.Address.Addr() && b == 1:
		return memnet.Path{Delay: hop + time.Duration(w.late.Load())}
	}
	return memnet.Path{Delay: hop}
}

func (w *world) serve(at netip.AddrPort, h http.Handler) func() {
	l, err := w.network.Listen(at)
	if err != nil {
		w.t.Fatal(err)
	}
	return links.Serve(l, h, zap.NewNop(), time.Second)
}

// ServeHTTP is the plain service beside each agent.
func (w *world) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mutex.Lock()
	w.runs[calls.Key(r.Header.Get(edges.HeaderIdempotencyKey))]++
	crash := w.life(r.Host)
	w.mutex.Unlock()
	takes := w.takes
	if string(body) == poison {
		takes /= 2
	}
	select {
	case <-time.After(takes):
	case <-crash:
		panic(http.ErrAbortHandler)
	}
	if string(body) == poison {
		w.crash(r.Host, crash)
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(edges.HeaderID, r.Header.Get(edges.HeaderID))
	_, _ = io.WriteString(out, whole)
}

// life returns what is closed when a service crashes. The caller holds the mutex.
func (w *world) life(service string) chan struct{} {
	if w.crashes[service] == nil {
		w.crashes[service] = make(chan struct{})
	}
	return w.crashes[service]
}

// crash ends all that runs at a service since it crashed last.
func (w *world) crash(service string, life chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.life(service) == life {
		close(life)
		delete(w.crashes, service)
		w.lost++
	}
}

func (w *world) ran(key calls.Key) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[key]
}

func (w *world) put(path string, data []byte) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+platform.String()+path, bytes.NewReader(data))
	if err != nil {
		w.t.Fatal(err)
	}
	a, err := w.client.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = a.Body.Close()
}

func (w *world) publish(kind tables.Kind, data []byte) { w.put("/v1/values/"+string(kind), data) }

// publishRow names the agents whose service takes the requests.
func (w *world) publishRow(row ...hosts.Name) {
	if len(row) == 0 {
		for _, p := range w.agents {
			row = append(row, p.host.Name)
		}
	}
	w.publish(tables.KindPools, must(tables.EncodePools([]tables.Pool{{Name: "p", Kind: tables.PoolService, Hosts: row}})))
}

func (w *world) publishHosts() {
	var all []hosts.Host
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		all = append(all, p.host)
	}
	w.put("/v1/hosts", must(edges.EncodeHosts(all)))
}

func commonOf(h hosts.Host) shell.Common {
	base := url.URL{Scheme: "http", Host: platform.String()}
	return shell.Common{
		Host: h.Name, Place: h.Place, Listen: h.Address, Config: base, Fleet: base, Processes: 4, Level: "error", ShutdownTimeout: within,
	}
}

func (w *world) startEntry(i int) {
	h := w.entries[i].host
	w.entries[i] = w.start(h, entry.Build(entry.Settings{Common: commonOf(h), AddressTTL: lifetime}))
}

func (w *world) startAgent(h hosts.Host) {
	upstream := url.URL{Scheme: "http", Host: upstreamOf(h).String()}
	s := agent.Settings{Common: commonOf(h), Upstream: upstream, Kind: agent.UpstreamPlain, Bounds: bounds}
	p := w.start(h, agent.Build(s))
	for i, o := range w.agents {
		if o.host.Address == h.Address {
			w.agents[i] = p
		}
	}
}

func (w *world) start(h hosts.Host, parts fx.Option) *process {
	p := &process{host: h}
	dial := w.network.Dialer(h.Address.Addr())
	network := links.Network{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if p.dead.Load() {
				return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("the process is dead")}
			}
			return dial(ctx, network, address)
		},
		Listen: func(_ context.Context, at netip.AddrPort) (net.Listener, error) { return w.network.Listen(at) },
	}
	p.app = fx.New(parts, fx.Supply(&shell.ShutdownTrigger{}), fx.Replace(network, zap.NewNop()), fx.NopLogger)
	if err := p.app.Start(context.Background()); err != nil {
		w.t.Error(err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.all = append(w.all, p)
	return p
}

// kill ends a process without any clean-up that others could see.
func (w *world) kill(p *process) {
	p.dead.Store(true)
	w.network.Kill(p.host.Address.Addr())
}

// stopper stops a process gracefully.
type stopper struct{ app *fx.App }

func (s *stopper) run() { _ = s.app.Stop(context.Background()) }

// reply is what the caller got.
type reply struct {
	outcome calls.Outcome
	reason  string
}

// send gives a request with a key to an entry.
func (w *world) send(p *process, key calls.Key) reply {
	return w.sendTo(p, route, key, strconv.Quote(string(key)))
}

func (w *world) sendTo(p *process, route string, key calls.Key, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), w.takes+4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.host.Address.String()+"/v1/routes/"+route, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("Workspace", "meadow")
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set("Request-Timeout", (w.takes + 2*time.Second).String())
	if key != "" {
		r.Header.Set("Idempotency-Key", string(key))
	}
	a, err := w.client.Do(r)
	if err != nil {
		return reply{outcome: calls.OutcomeUnknown, reason: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	answer, err := io.ReadAll(a.Body)
	if err != nil {
		return reply{outcome: calls.OutcomeUnknown, reason: err.Error()}
	}
	o := calls.Outcome(a.Header.Get("Request-Outcome"))
	if o == calls.OutcomeAnswered && string(answer) != whole {
		w.t.Errorf("the answer is %q", answer)
	}
	return reply{outcome: o, reason: string(answer)}
}

func (w *world) mint(p *process) calls.Key {
	a, err := w.client.Post("http://"+p.host.Address.String()+"/v1/keys?route="+route, "", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	return calls.Key(a.Header.Get("Idempotency-Key"))
}

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
	"currantport.example/core/config"
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
	// idempotentRoute is a route whose requests need no key. poison is a request
	// body that crashes a service.
	idempotentRoute = "draft"
	poison          = "poison"
	responseBody    = "one two three"
	// entryCount is the number of entries.
	entryCount      = 2
	hopDelay        = 10 * time.Millisecond
	defaultRunTime  = 100 * time.Millisecond
	addressTTL      = 2 * time.Second
	shutdownTimeout = time.Minute
)

var (
	platformAddr = netip.MustParseAddrPort("10.0.9.1:80")
	clientAddr   = netip.MustParseAddr("10.0.9.2")
	bounds       = dedup.Bounds{RetryWindow: 20 * time.Second, MaxClockSkew: time.Second, MaxListLag: 2 * time.Second, KeyTTL: time.Hour}
)

// process is a running entry or agent.
type process struct {
	host hosts.Host
	app  *fx.App
	// killed makes every dial of the process fail.
	killed atomic.Bool
}

// world simulates two entries and several agents with a plain service each, on an
// in-memory network with fakes of the platform. It is the handler of the services.
type world struct {
	t       *testing.T
	network *memnet.Network
	list    *fleet.Service
	values  *values.Service
	entries []*process
	agents  []*process
	client  *http.Client
	// runTime is the duration of a run. The client timeout is two seconds longer.
	runTime time.Duration
	// canceledAt receives the times at which services see that a run is canceled. If it is nil they
	// run on.
	canceledAt chan time.Time
	// extraDelay is the additional delay, in nanoseconds, of new connections from the
	// first entry to an agent.
	extraDelay atomic.Int64

	mutex sync.Mutex
	// all holds every process that was started.
	all []*process
	// runs counts the runs at all services by key.
	runs map[calls.Key]int
	// crashes holds a channel for each service address that is closed when the
	// service crashes.
	crashes    map[string]chan struct{}
	crashCount int
}

func newWorld(t *testing.T, agents int) *world { return newWorldInRegions(t, agents, 1) }

// newWorldInRegions returns a world whose hosts are spread over the regions in
// turn.
func newWorldInRegions(t *testing.T, agents, regions int) *world {
	w := &world{t: t, runTime: defaultRunTime, runs: make(map[calls.Key]int), crashes: make(map[string]chan struct{})}
	w.network = memnet.New(w.path)
	service, stopValues := values.New()
	w.values, w.list = service, fleet.New()
	r := mux.NewRouter()
	w.values.Register(r)
	w.list.Register(r)
	stopPlatform := w.serve(platformAddr, r)
	client, closeIdle := links.NewClient(w.network.Dialer(clientAddr))
	w.client = client
	t.Cleanup(func() {
		closeIdle()
		for _, p := range w.all {
			p.killed.Store(true)
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
		{Name: route, Pool: "p", Timeout: time.Second}, {Name: idempotentRoute, Pool: "p", Timeout: time.Second, Idempotent: true},
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

// upstreamOf returns the address of the plain service of an agent.
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
		return memnet.Path{Delay: hopDelay + time.Duration(w.extraDelay.Load())}
	}
	return memnet.Path{Delay: hopDelay}
}

func (w *world) serve(at netip.AddrPort, h http.Handler) func() {
	l, err := w.network.Listen(at)
	if err != nil {
		w.t.Fatal(err)
	}
	return links.Serve(l, h, zap.NewNop(), time.Second)
}

// ServeHTTP is the handler of the plain service of each agent.
func (w *world) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mutex.Lock()
	w.runs[calls.Key(r.Header.Get(edges.HeaderIdempotencyKey))]++
	crash := w.crashSignal(r.Host)
	w.mutex.Unlock()
	runTime := w.runTime
	if string(body) == poison {
		runTime /= 2
	}
	var canceled <-chan struct{}
	if w.canceledAt != nil {
		canceled = r.Context().Done()
	}
	select {
	case <-time.After(runTime):
	case <-canceled:
		w.canceledAt <- time.Now()
		return
	case <-crash:
		panic(http.ErrAbortHandler)
	}
	if string(body) == poison {
		w.crash(r.Host, crash)
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(edges.HeaderID, r.Header.Get(edges.HeaderID))
	_, _ = io.WriteString(out, responseBody)
}

// crashSignal returns the channel that is closed when a service crashes. The caller
// holds the mutex.
func (w *world) crashSignal(service string) chan struct{} {
	if w.crashes[service] == nil {
		w.crashes[service] = make(chan struct{})
	}
	return w.crashes[service]
}

// crash aborts all runs of a service. It does nothing if the service has crashed
// already since crashSignal returned the signal.
func (w *world) crash(service string, signal chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.crashSignal(service) == signal {
		close(signal)
		delete(w.crashes, service)
		w.crashCount++
	}
}

func (w *world) runsOf(key calls.Key) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs[key]
}

func (w *world) put(path string, data []byte) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+platformAddr.String()+path, bytes.NewReader(data))
	if err != nil {
		w.t.Fatal(err)
	}
	res, err := w.client.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = res.Body.Close()
}

func (w *world) publish(kind tables.Kind, data []byte) { w.put("/v1/values/"+string(kind), data) }

// publishRow publishes the pool with the given agents, or with all if there are
// none.
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
	base := url.URL{Scheme: "http", Host: platformAddr.String()}
	return shell.Common{
		Host: h.Name, Place: h.Place, Listen: h.Address, Config: base, Fleet: base, Processes: 4, Level: "error", ShutdownTimeout: shutdownTimeout,
	}
}

func (w *world) startEntry(i int) {
	h := w.entries[i].host
	w.entries[i] = w.start(h, entry.Build(entry.Settings{Common: commonOf(h), AddressTTL: addressTTL, MemoryLimit: 256 * config.MiB}))
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
			if p.killed.Load() {
				return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("the process was killed")}
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

// kill ends a process abruptly: it closes its connections and does no clean-up.
func (w *world) kill(p *process) {
	p.killed.Store(true)
	w.network.Kill(p.host.Address.Addr())
}

// stopper stops a process gracefully.
type stopper struct{ app *fx.App }

func (s *stopper) run() { _ = s.app.Stop(context.Background()) }

// reply is the response that the client received.
type reply struct {
	outcome calls.Outcome
	reason  string
}

// send sends a request with a key to an entry.
func (w *world) send(p *process, key calls.Key) reply {
	return w.sendTo(p, route, key, strconv.Quote(string(key)))
}

func (w *world) sendTo(p *process, route string, key calls.Key, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), w.runTime+4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.host.Address.String()+"/v1/routes/"+route, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("Workspace", "meadow")
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set("Request-Timeout", (w.runTime + 2*time.Second).String())
	if key != "" {
		r.Header.Set("Idempotency-Key", string(key))
	}
	res, err := w.client.Do(r)
	if err != nil {
		return reply{outcome: calls.OutcomeUnknown, reason: err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{outcome: calls.OutcomeUnknown, reason: err.Error()}
	}
	o := calls.Outcome(res.Header.Get("Request-Outcome"))
	if o == calls.OutcomeAnswered && string(data) != responseBody {
		w.t.Errorf("the response body is %q", data)
	}
	return reply{outcome: o, reason: string(data)}
}

func (w *world) mint(p *process) calls.Key {
	res, err := w.client.Post("http://"+p.host.Address.String()+"/v1/keys?route="+route, "", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	return calls.Key(res.Header.Get("Idempotency-Key"))
}

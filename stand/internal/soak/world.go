package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/platform/fakes"
)

// The bounds that the processes get by their settings and that the checker enforces.
const (
	// stabilityTime is the time without faults after which a subject counts as undisturbed.
	stabilityTime = 3 * time.Second
	applyLimit    = 2 * time.Second
	revokeLimit   = 5 * time.Second
	// versionLimit is the time within which a released version replaces the older ones.
	versionLimit = 8 * time.Second
	drainLimit   = 2 * time.Second
	// corruptLimit is the time for which a staged piece may be corrupt before it must be noticed.
	corruptLimit    = 3 * time.Second
	shutdownTimeout = 8 * time.Second
	retryRatio      = 0.05
	retrySlack      = 20
	retryWindow     = 10 * time.Second
)

const (
	hostName  = "desk.example"
	modelName = "writer"
	// poolMinds is the pool of the engines, poolDesk and poolAnnex are plain pools.
	poolMinds  = "minds"
	poolDesk   = "desk"
	poolAnnex  = "annex"
	poolOrigin = "origin"

	layerCount = 8
	// versionBytes is the length of all pieces of a version.
	versionBytes = 512 << 10
	// originRate is in bytes per second.
	originRate = 1.2e6
	// loadTime is the time that an engine takes to load the model.
	loadTime       = 300 * time.Millisecond
	engineSlots    = 8
	serviceSlots   = 6
	eventInterval  = 20 * time.Millisecond
	eventCount     = 40
	serviceTime    = 30 * time.Millisecond
	maxConnections = 400
	// routeTimeout is the timeout of the routes, by which a request has its response.
	routeTimeout = 3 * time.Second
	spareEngines = 2

	portStore    = 8007
	portOrigin   = 8006
	portUpstream = 8100
	// portDirect is the port of an upstream behind its proxy, which listens on
	// portUpstream.
	portDirect = 8101
	loopback   = 127
)

var domains = []hosts.Domain{"east-1", "middle-1", "west-1"}

var regions = map[hosts.Domain]hosts.Region{"east-1": "east", "middle-1": "middle", "west-1": "west"}

// managedUpstream is an upstream, the proxy in front of it and, for an engine, the agent
// beside it.
type managedUpstream struct {
	*fakes.Upstream
	name  Subject
	proxy *proxy
	agent *process
	// isEngine is set for an upstream of the engines' pool.
	isEngine bool
	// limiting is locked while the upstream names a limit.
	limiting sync.Mutex
	// activeFaults counts the active faults of the upstream.
	activeFaults atomic.Int32
	// slowStages counts the active faults that make staged pieces slow to read back.
	slowStages atomic.Int32

	mutex sync.Mutex
	// started is set once the upstream was started; spare engines are started later.
	started bool
	// reserved is set while a fault stops and restarts the upstream.
	reserved bool
}

// isStarted reports whether the upstream was started.
func (m *managedUpstream) isStarted() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.started
}

// reserve reserves the upstream for a fault that stops and restarts it, until release is
// called. It returns false if another fault has reserved it.
func (m *managedUpstream) reserve() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.reserved {
		return false
	}
	m.reserved = true
	return true
}

func (m *managedUpstream) release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reserved = false
}

// world is the simulated environment of a run: fakes of the external systems, the processes
// under test and the links between them.
type world struct {
	options   Options
	timeline  *timeline
	checker   *checker
	ledger    *fakes.Ledger
	store     *fakes.Store
	origin    *fakes.Origin
	operator  *operator
	entries   []*process
	upstreams []*managedUpstream
	// poison is the part that clients add to some of their prompts, or nil.
	poison atomic.Pointer[poisonPart]

	// mutex guards the fields that grow when an engine is added.
	mutex  sync.Mutex
	agents []*process
	// storeLinks are the proxies between each process and the store, by name of the
	// process.
	storeLinks map[Subject]*proxy
	cleanups   []func()
}

func (o Options) address(group, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{loopback, o.Network, byte(group), byte(number + 1)}), port)
}

// The groups of addresses: the third byte of an address.
const (
	groupExternal = iota
	groupEntries
	groupEngines
	groupServices
	groupLinks
)

// newWorld starts the fakes and the processes. The returned function stops all of them.
func newWorld(o Options) (*world, func(), error) {
	w := &world{
		options: o, timeline: newTimeline(), ledger: fakes.NewLedger(), store: fakes.NewStore(), storeLinks: make(map[Subject]*proxy),
	}
	w.origin = fakes.NewOrigin(w.weights(), originRate)
	w.checker = newChecker(w)
	w.operator = newOperator(w)
	if err := w.build(); err != nil {
		w.close()
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *world) weights() fakes.Weights {
	return fakes.Weights{Model: modelName, Pieces: w.options.Size.Pieces, PieceBytes: versionBytes / w.options.Size.Pieces}
}

func (w *world) build() error {
	o := w.options
	if err := w.listenAndServe(o.address(groupExternal, 0, portStore), w.store); err != nil {
		return err
	}
	if err := w.listenAndServe(o.address(groupExternal, 1, portOrigin), w.origin); err != nil {
		return err
	}
	if err := w.operator.publishInitial(); err != nil {
		return err
	}
	for i := range o.Size.Engines + spareEngines {
		if err := w.addEngine(i); err != nil {
			return err
		}
	}
	for i := range 2 * o.Size.Services {
		pool := poolDesk
		if i >= o.Size.Services {
			pool = poolAnnex
		}
		if err := w.addService(i, pool); err != nil {
			return err
		}
	}
	for i := range o.Size.Entries {
		if err := w.addEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// listenAndServe serves a handler at an address until the world is closed.
func (w *world) listenAndServe(at netip.AddrPort, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return err
	}
	s := &externalServer{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	w.cleanups = append(w.cleanups, func() { _ = s.server.Close() })
	go s.run()
	return nil
}

// externalServer serves the store or the origin.
type externalServer struct {
	listener net.Listener
	server   *http.Server
}

func (s *externalServer) run() { _ = s.server.Serve(s.listener) }

func domainOf(i int) hosts.Domain { return domains[i%len(domains)] }

func (w *world) addEngine(i int) error {
	o := w.options
	registered, direct := o.address(groupEngines, i, portUpstream), o.address(groupEngines, i, portDirect)
	m, err := w.addUpstream(Subject(fmt.Sprintf("engine-%d", i)), registered, fakes.UpstreamOptions{
		ListenAddress: direct, Pool: poolMinds, Domain: string(domainOf(i)), Slots: engineSlots, ProcessingTime: eventInterval, EventCount: eventCount,
		Engine: w.engineRow(), Weights: w.weights(),
	})
	if err != nil || i >= o.Size.Engines {
		return err
	}
	m.Preload(1)
	return w.startEngine(m, i)
}

// startEngine starts an engine and the agent beside it. It does nothing if they were
// started.
func (w *world) startEngine(m *managedUpstream, i int) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.started {
		return nil
	}
	m.started = true
	if err := m.Start(); err != nil {
		return err
	}
	registered := w.options.address(groupEngines, i, portUpstream)
	p, err := w.newProcess("agent", i, registered.Addr())
	if err != nil {
		return err
	}
	p.settings.Pool, p.settings.Engine = poolMinds, registered
	if err := p.start(); err != nil {
		return err
	}
	m.agent = p
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.agents = append(w.agents, p)
	return nil
}

// agentList returns the agents that were started.
func (w *world) agentList() []*process {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.agents)
}

func (w *world) addService(i int, pool string) error {
	o := w.options
	m, err := w.addUpstream(Subject(fmt.Sprintf("%s-%d", pool, i)), o.address(groupServices, i, portUpstream), fakes.UpstreamOptions{
		ListenAddress: o.address(groupServices, i, portDirect), Pool: pool, Domain: string(domainOf(i)), Slots: serviceSlots, ProcessingTime: serviceTime,
	})
	if err != nil {
		return err
	}
	m.started = true
	return m.Start()
}

func (w *world) addUpstream(name Subject, registered netip.AddrPort, o fakes.UpstreamOptions) (*managedUpstream, error) {
	o.RegisteredAddress, o.Store, o.Ledger = registered, w.store, w.ledger
	o.Cold = w.withCold(state.Pool{}).Cold
	p, stop, err := newProxy(registered, o.ListenAddress)
	if err != nil {
		return nil, err
	}
	w.cleanups = append(w.cleanups, stop)
	m := &managedUpstream{Upstream: fakes.NewUpstream(o), name: name, proxy: p, isEngine: o.Engine != nil}
	w.upstreams = append(w.upstreams, m)
	return m, nil
}

func (w *world) addEntry(i int) error {
	p, err := w.newProcess("entry", i, w.options.address(groupEntries, i, 0).Addr())
	if err != nil {
		return err
	}
	w.entries = append(w.entries, p)
	return p.start()
}

// newProcess returns a process that is not started yet and has its own proxy to the store.
func (w *world) newProcess(role string, i int, host netip.Addr) (*process, error) {
	o := w.options
	name := Subject(fmt.Sprintf("%s-%d", role, i))
	group := groupLinks
	if role == "agent" {
		group++
	}
	linkAddress := o.address(group, i, portStore)
	link, stop, err := newProxy(linkAddress, o.address(groupExternal, 0, portStore))
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	w.cleanups = append(w.cleanups, stop)
	w.storeLinks[name] = link
	w.mutex.Unlock()
	var seeds []netip.AddrPort
	for j := range min(o.Size.Entries, 3) {
		seeds = append(seeds, o.address(groupEntries, j, fakes.PortMesh))
	}
	return &process{
		name: name, program: o.Program, role: role, template: filepath.Join(o.Templates, role+".ini"), dir: o.Dir, timeline: w.timeline,
		onUnexpectedExit: func(p *process, cause string) {
			w.checker.recordViolation("exit", "%s exited unexpectedly: %s", p.name, cause)
		},
		settings: fakes.ProcessSettings{
			Name: string(name), Place: hosts.Place{Domain: domainOf(i), Region: regions[domainOf(i)]}, Regions: regions, Host: host,
			Store: linkAddress, Seeds: seeds,
			Bounds: fakes.Bounds{
				Revoke: revokeLimit, Apply: applyLimit, Version: versionLimit, RetryRatio: retryRatio, RetrySlack: retrySlack,
				RetryWindow: retryWindow, ShutdownTimeout: shutdownTimeout, Stable: stabilityTime,
			},
		},
	}, nil
}

func (w *world) engineRow() *state.Engine {
	weights := w.weights()
	return &state.Engine{
		Slots: engineSlots, Stride: 1, StepTime: eventInterval, PrefillRate: 20000, MemoryTokens: 1 << 17, PromptTokens: 200, OutputTokens: eventCount, Layers: layerCount,
		Pieces: weights.Pieces, PieceBytes: weights.PieceBytes, Models: []state.Model{{Name: modelName, LoadTime: loadTime}},
	}
}

// close terminates all processes and fakes.
func (w *world) close() {
	for _, p := range slices.Concat(w.entries, w.agentList()) {
		if p.startNumber() > 0 {
			p.close()
		}
	}
	for _, m := range w.upstreams {
		if m.isStarted() {
			m.Crash()
		}
	}
	for _, stop := range w.cleanups {
		stop()
	}
}

// storeLinkOf returns the proxy between a process and the store.
func (w *world) storeLinkOf(name Subject) *proxy {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.storeLinks[name]
}

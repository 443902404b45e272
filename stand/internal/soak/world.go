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

// The promises that the processes are told of, and that the judge holds them to.
const (
	stableTime = 3 * time.Second
	applyTime  = 2 * time.Second
	revokeTime = 5 * time.Second
	// versionTime is the time within which a released version is served alone.
	versionTime = 8 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	retryRatio  = 0.05
	retrySlack  = 20
	retryWindow = 10 * time.Second
)

const (
	hostName  = "desk.example"
	modelName = "writer"
	// minds are the engines, desk and annex the plain pools.
	poolMinds  = "minds"
	poolDesk   = "desk"
	poolAnnex  = "annex"
	poolOrigin = "origin"

	layerCount = 8
	pieceCount = 16
	pieceBytes = 32 << 10
	originRate = 1.2e6
	// warmTime is the time of a load.
	warmTime     = 300 * time.Millisecond
	engineSlots  = 8
	serviceSlots = 6
	eventGap     = 20 * time.Millisecond
	eventCount   = 40
	serviceWork  = 30 * time.Millisecond
	upstreamConn = 400
	// routeTimeout bounds the time for which a request is kept waiting.
	routeTimeout = 3 * time.Second
	spareEngines = 2

	portStore    = 8007
	portOrigin   = 8006
	portUpstream = 8100
	portBehind   = 8101
	loopback     = 127
)

var domains = []hosts.Domain{"east-1", "middle-1", "west-1"}

var regions = map[hosts.Domain]hosts.Region{"east-1": "east", "middle-1": "middle", "west-1": "west"}

// member is an upstream with the proxy before it and, for an engine, the agent beside it.
type member struct {
	*fakes.Upstream
	name  Subject
	proxy *proxy
	agent *process
	// ill counts the faults of the upstream that are on.
	ill atomic.Int32

	mutex sync.Mutex
	// started tells that the upstream is in use; spare engines aren't at first.
	started bool
	// taken tells that a fault is on that ends and starts it.
	taken bool
}

// inUse reports whether the upstream was started.
func (m *member) inUse() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.started
}

// reserve reports whether no other fault ends and starts the upstream, and keeps others
// from it until free is called.
func (m *member) reserve() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.taken {
		return false
	}
	m.taken = true
	return true
}

func (m *member) free() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.taken = false
}

// world is what a run consists of.
type world struct {
	options  Options
	timeline *timeline
	judge    *judge
	ledger   *fakes.Ledger
	store    *fakes.Store
	origin   *fakes.Origin
	operator *operator
	entries  []*process
	members  []*member

	// mutex guards what grows when an engine is added.
	mutex  sync.Mutex
	agents []*process
	// links are the ways of processes to the store, by name.
	links map[Subject]*proxy
	stops []func()
}

func (o Options) address(group, number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{loopback, o.Network, byte(group), byte(number + 1)}), port)
}

// The groups of addresses.
const (
	groupOutside = iota
	groupEntries
	groupEngines
	groupServices
	groupLinks
)

// newWorld starts the stand-ins and the processes.
func newWorld(o Options) (*world, func(), error) {
	w := &world{
		options: o, timeline: newTimeline(), ledger: fakes.NewLedger(), store: fakes.NewStore(), links: make(map[Subject]*proxy),
	}
	w.origin = fakes.NewOrigin(w.weights(), originRate)
	w.judge = newJudge(w)
	w.operator = newOperator(w)
	if err := w.build(); err != nil {
		w.close()
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *world) weights() fakes.Weights {
	return fakes.Weights{Model: modelName, Pieces: pieceCount, PieceBytes: pieceBytes}
}

func (w *world) build() error {
	o := w.options
	if err := w.serve(o.address(groupOutside, 0, portStore), w.store); err != nil {
		return err
	}
	if err := w.serve(o.address(groupOutside, 1, portOrigin), w.origin); err != nil {
		return err
	}
	if err := w.operator.begin(); err != nil {
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

// serve answers at an address until the world is closed.
func (w *world) serve(at netip.AddrPort, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return err
	}
	s := &outside{listener: l, server: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}}
	w.stops = append(w.stops, func() { _ = s.server.Close() })
	go s.run()
	return nil
}

// outside answers for the store or the origin.
type outside struct {
	listener net.Listener
	server   *http.Server
}

func (s *outside) run() { _ = s.server.Serve(s.listener) }

func domainOf(i int) hosts.Domain { return domains[i%len(domains)] }

func (w *world) addEngine(i int) error {
	o := w.options
	listed, behind := o.address(groupEngines, i, portUpstream), o.address(groupEngines, i, portBehind)
	m, err := w.addMember(Subject(fmt.Sprintf("engine-%d", i)), listed, fakes.UpstreamOptions{
		ListenAddress: behind, Pool: poolMinds, Domain: string(domainOf(i)), Slots: engineSlots, ProcessingTime: eventGap, EventCount: eventCount,
		Engine: engine(), Weights: w.weights(),
	})
	if err != nil || i >= o.Size.Engines {
		return err
	}
	m.Preload(1)
	return w.startEngine(m, i)
}

// startEngine starts an engine and the agent beside it.
func (w *world) startEngine(m *member, i int) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.started {
		return nil
	}
	m.started = true
	if err := m.Start(); err != nil {
		return err
	}
	listed := w.options.address(groupEngines, i, portUpstream)
	p, err := w.newProcess("agent", i, listed.Addr())
	if err != nil {
		return err
	}
	p.settings.Pool, p.settings.Engine = poolMinds, listed
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
	m, err := w.addMember(Subject(fmt.Sprintf("%s-%d", pool, i)), o.address(groupServices, i, portUpstream), fakes.UpstreamOptions{
		ListenAddress: o.address(groupServices, i, portBehind), Pool: pool, Domain: string(domainOf(i)), Slots: serviceSlots, ProcessingTime: serviceWork,
	})
	if err != nil {
		return err
	}
	m.started = true
	return m.Start()
}

func (w *world) addMember(name Subject, listed netip.AddrPort, o fakes.UpstreamOptions) (*member, error) {
	o.RegisteredAddress, o.Store, o.Ledger = listed, w.store, w.ledger
	p, stop, err := newProxy(listed, o.ListenAddress)
	if err != nil {
		return nil, err
	}
	w.stops = append(w.stops, stop)
	m := &member{Upstream: fakes.NewUpstream(o), name: name, proxy: p}
	w.members = append(w.members, m)
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

// newProcess returns a process that isn't started, with a way of its own to the store.
func (w *world) newProcess(role string, i int, host netip.Addr) (*process, error) {
	o := w.options
	name := Subject(fmt.Sprintf("%s-%d", role, i))
	group := groupLinks
	if role == "agent" {
		group++
	}
	way := o.address(group, i, portStore)
	link, stop, err := newProxy(way, o.address(groupOutside, 0, portStore))
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	w.stops = append(w.stops, stop)
	w.links[name] = link
	w.mutex.Unlock()
	var seeds []netip.AddrPort
	for j := range min(o.Size.Entries, 3) {
		seeds = append(seeds, o.address(groupEntries, j, fakes.PortMesh))
	}
	return &process{
		name: name, program: o.Program, role: role, template: filepath.Join(o.Templates, role+".ini"), dir: o.Dir, timeline: w.timeline,
		ended: func(p *process, cause string) { w.judge.report("exit", "%s ended on its own: %s", p.name, cause) },
		settings: fakes.ProcessSettings{
			Name: string(name), Place: hosts.Place{Domain: domainOf(i), Region: regions[domainOf(i)]}, Regions: regions, Host: host,
			Store: way, Seeds: seeds,
			Bounds: fakes.Bounds{
				Revoke: revokeTime, Apply: applyTime, Version: versionTime, RetryRatio: retryRatio, RetrySlack: retrySlack,
				RetryWindow: retryWindow, ShutdownTimeout: graceTime,
			},
		},
	}, nil
}

func engine() *state.Engine {
	return &state.Engine{
		Slots: engineSlots, Stride: 1, StepTime: eventGap, PrefillRate: 20000, MemoryTokens: 1 << 17, PromptTokens: 200, OutputTokens: eventCount, Layers: layerCount,
		Pieces: pieceCount, PieceBytes: pieceBytes, Models: []state.Model{{Name: modelName, LoadTime: warmTime}},
	}
}

// close ends all processes that the world started and its stand-ins.
func (w *world) close() {
	for _, p := range slices.Concat(w.entries, w.agentList()) {
		if p.boot() > 0 {
			p.close()
		}
	}
	for _, m := range w.members {
		if m.inUse() {
			m.Crash()
		}
	}
	for _, stop := range w.stops {
		stop()
	}
}

// linkOf returns the way of a process to the store.
func (w *world) linkOf(name Subject) *proxy {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.links[name]
}

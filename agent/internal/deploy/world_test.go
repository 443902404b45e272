package deploy_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/agent/internal/deploy"
	"currantport.example/agent/internal/fetch"
	"currantport.example/core/audit"
	"currantport.example/core/cache"
	"currantport.example/core/calls"
	"currantport.example/core/chunks"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/orders"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/turns"
)

const (
	stepRead  trial.Step = "read"
	stepFetch trial.Step = "fetch"
	stepOrder trial.Step = "order"
	stepSwap  trial.Step = "swap"
	stepServe trial.Step = "serve"

	loadTime  = 3 * time.Second
	pauseTime = 30 * time.Second
	lateTime  = 12 * time.Second
)

var errInjected = errors.New("fault injected by the test")

// world simulates a pool: its hosts, their engines and agents, and the published table.
type world struct {
	t         *testing.T
	list      hosts.List
	engines   map[hosts.Name]*fakeEngine
	mutex     sync.Mutex
	processes []*process
	table     tables.Table[tables.Pool]
	// stepPrefix is the first part of the names of the steps at which faults are
	// injected.
	stepPrefix atomic.Value
	// partitions is the number of network partitions. Hosts of different partitions
	// can't reach each other.
	partitions atomic.Int64
	// injected means that a fault that is injected once has been.
	injected atomic.Bool
	// queries counts the queries between agents.
	queries atomic.Int64
	context context.Context
	stop    context.CancelFunc
}

func (w *world) Now() hosts.List { return w.list }

func newWorld(t *testing.T, count, domains int, k fenceSupport) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, engines: make(map[hosts.Name]*fakeEngine), context: ctx, stop: cancel}
	w.stepPrefix.Store("first")
	var all []hosts.Host
	for i := range count {
		n := hosts.Name("host-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		place := hosts.Place{Domain: hosts.Domain(rune('a' + i%domains))}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		all = append(all, hosts.Host{Name: n, Place: place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: address})
		w.engines[n] = &fakeEngine{fences: k, state: engine.State{StartID: "first"}}
	}
	w.list = hosts.NewList(all)
	go w.run(ctx)
	return w
}

// run applies the published table at the processes that are neither paused nor stale.
func (w *world) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mutex.Lock()
		for _, p := range w.processes {
			if time.Now().After(p.pausedUntil()) && time.Now().UnixNano() > p.staleUntil.Load() {
				p.active.SetPools(w.table)
				p.active.Confirm(time.Now())
			}
		}
		w.mutex.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (w *world) publish(p tables.Pool) {
	p.Name, p.Kind, p.Model = "pool", tables.PoolModel, "writer"
	for _, h := range w.list.All() {
		p.Hosts = append(p.Hosts, h.Name)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.table = tables.Table[tables.Pool]{Revision: w.table.Revision + 1, Rows: map[string]tables.Pool{"pool": p}}
}

// end stops all processes.
func (w *world) end() {
	w.stop()
	for _, p := range w.alive() {
		close(p.ended)
		p.stop()
	}
	time.Sleep(time.Minute)
}

// desired returns what the engines should serve by the newest row.
func (w *world) desired() orders.Desired {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return orders.DesiredOf(w.table.Rows["pool"], w.table.Revision)
}

// waitServed waits until every engine serves the newest row and every live agent has
// observed that, and returns how long that took. It fails the test after the limit.
func (w *world) waitServed(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(100 * time.Millisecond)
		desired, done := w.desired(), true
		for _, e := range w.engines {
			s, _ := e.State(w.t.Context())
			done = done && desired.IsServed(s)
		}
		for _, p := range w.alive() {
			done = done && desired.IsServed(p.loader.State())
		}
		if done {
			return time.Since(start)
		}
	}
	w.t.Errorf("the newest row isn't served after %s", limit)
	return limit
}

func (w *world) alive() []*process {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []*process
	for _, p := range w.processes {
		if !p.dead {
			all = append(all, p)
		}
	}
	return all
}

// View implements deploy.Neighbors for the querying agent.
func (p *process) View(ctx context.Context, address netip.AddrPort, _ string) (turns.View, error) {
	p.world.queries.Add(1)
	p.waitWhilePaused()
	for _, o := range p.world.alive() {
		h, _ := p.world.list.Find(o.host)
		if h.Address == address && time.Now().After(o.pausedUntil()) && !p.isPartitioned(o) {
			return o.loader.View(), nil
		}
	}
	<-ctx.Done()
	return turns.View{}, ctx.Err()
}

// process is one agent. It is the fetcher, the engine and the neighbors of its loader;
// all these calls wait while it is paused.
type process struct {
	world      *world
	host       hosts.Name
	script     *trial.Script
	active     *tables.Active
	cache      *cache.Cache
	loader     *deploy.Loader
	stopLoader func()
	inProgress atomic.Int32
	// admitted counts the requests in progress that have been admitted.
	admitted atomic.Int32
	pausedTo atomic.Int64
	// fetchTime is how long a fetch takes.
	fetchTime  atomic.Int64
	staleUntil atomic.Int64
	dead       bool
	// ended is closed when the process is killed or the test ends.
	ended chan struct{}
	// started is closed once stopLoader is set.
	started chan struct{}
}

func (w *world) start(host hosts.Name, s *trial.Script) *process {
	p := &process{world: w, host: host, script: s, active: &tables.Active{}, cache: cache.New(), ended: make(chan struct{}), started: make(chan struct{})}
	p.loader = deploy.New(deploy.Options{
		Host: host, Tables: p.active, Fetcher: p, Cache: p.cache, Engine: p, Roster: w, Neighbors: p, Scope: tally.NoopScope,
		Trail: audit.NewTrail(zap.NewNop()), Log: zap.NewNop(),
	})
	c := &client{process: p}
	go c.run()
	p.stopLoader = p.loader.Start(func() int { return int(p.inProgress.Load()) })
	close(p.started)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.processes = append(w.processes, p)
	return p
}

func (p *process) isDead() bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	return p.dead
}

// markDead marks the process as ended and reports whether it was alive.
func (p *process) markDead() bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	if p.dead {
		return false
	}
	p.dead = true
	close(p.ended)
	return true
}

// kill ends the process and starts another in its place after a delay.
func (p *process) kill() {
	if p.markDead() {
		go p.restart()
	}
}

func (p *process) restart() {
	p.stop()
	time.Sleep(3 * time.Second)
	if p.world.context.Err() == nil {
		p.world.start(p.host, nil)
	}
}

func (p *process) pause(d time.Duration) { p.pausedTo.Store(time.Now().Add(d).UnixNano()) }

func (p *process) pausedUntil() time.Time { return time.Unix(0, p.pausedTo.Load()) }

// stop stops the loader of the process.
func (p *process) stop() {
	<-p.started
	p.stopLoader()
}

// waitWhilePaused waits while the process is paused. It ignores the timeouts of calls, as
// a paused process doesn't notice them.
func (p *process) waitWhilePaused() {
	if !time.Now().Before(p.pausedUntil()) {
		return
	}
	select {
	case <-time.After(time.Until(p.pausedUntil())):
	case <-p.ended:
	}
}

// injectFault injects the fault of a step, if any, and returns it. Faults of a call are
// left to the caller.
func (p *process) injectFault(step trial.Step) trial.Fault {
	f := trial.None
	if p.script != nil {
		f = p.script.NextFault(trial.Step(p.world.stepPrefix.Load().(string)) + "-" + step)
	}
	switch f {
	case trial.Pause:
		p.pause(pauseTime)
	case trial.Kill:
		p.kill()
	case trial.Stale:
		p.staleUntil.Store(time.Now().Add(pauseTime).UnixNano())
	case trial.Duplicate:
		p.world.start(p.host, nil)
	case trial.Crash:
		p.world.engines[p.host].restart()
	}
	p.waitWhilePaused()
	if s := p.loader.State(); f == trial.Pause && !s.Loading && !s.Manifest.IsZero() {
		p.world.engines[p.host].checkServes(p.world.t, s)
	}
	return f
}

// Fetch implements deploy.Fetcher.
func (p *process) Fetch(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	delay := time.Duration(p.fetchTime.Load())
	switch p.injectFault(stepFetch) {
	case trial.Refuse, trial.Cut, trial.Corrupt:
		return nil, errInjected
	case trial.Silence, trial.Delay:
		delay = lateTime
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, name := range versions {
		digest, encoded := manifestOf(name)
		if digest != pool.Manifest {
			continue
		}
		if err := p.cache.Add(chunks.Sum([]byte(name)), []byte(name)); err != nil {
			return nil, err
		}
		return p.cache.AddManifest(digest, encoded)
	}
	return nil, errInjected
}

// Progress implements deploy.Fetcher.
func (p *process) Progress(chunks.Digest) fetch.Progress { return fetch.Progress{} }

// Run implements engine.Service.
func (p *process) Run(context.Context, calls.Request) (engine.Response, error) {
	return engine.Response{}, errInjected
}

// State implements engine.Engine.
func (p *process) State(ctx context.Context) (engine.State, error) {
	switch p.injectFault(stepRead) {
	case trial.Refuse, trial.Cut, trial.Corrupt:
		return engine.State{}, errInjected
	case trial.Silence, trial.Delay:
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return engine.State{}, ctx.Err()
	}
	return p.world.engines[p.host].State(ctx)
}

// checkOrder checks the invariants at an order: no request is admitted or in progress, and
// the ordered version is complete.
func (p *process) checkOrder(o engine.Order) {
	if s := p.loader.State(); !s.Loading && !s.Manifest.IsZero() {
		p.world.t.Errorf("an order is sent while requests are admitted to version %s", s.Version)
	}
	if n := p.admitted.Load(); n > 0 {
		p.world.t.Errorf("an order is sent with %d requests in progress", n)
	}
	for _, d := range []chunks.Digest{o.Manifest, o.Base} {
		v, ok := p.cache.Version(d)
		if !d.IsZero() && (!ok || slices.Contains(p.cache.Held(v), false)) {
			p.world.t.Errorf("version %s is ordered before it is complete", o.Version)
		}
	}
}

// Load implements engine.Engine.
func (p *process) Load(ctx context.Context, o engine.Order) error {
	p.checkOrder(o)
	d := &delivery{process: p, order: o, done: make(chan error, 1)}
	ctx, d.cancel = context.WithCancel(ctx)
	defer d.cancel()
	switch p.injectFault(stepOrder) {
	case trial.Refuse:
		return errInjected
	case trial.Silence:
		<-ctx.Done()
		return ctx.Err()
	case trial.Delay:
		d.delay = lateTime
		go d.run(context.WithoutCancel(ctx))
		return errInjected
	case trial.Cut:
		go d.run(context.WithoutCancel(ctx))
		return errInjected
	case trial.Corrupt:
		d.incomplete = true
	}
	if p.isDead() {
		return errInjected
	}
	go d.run(ctx)
	time.Sleep(loadTime / 2)
	switch p.injectFault(stepSwap) {
	case trial.Refuse, trial.Cut:
		d.cancel()
	case trial.Silence, trial.Delay, trial.Corrupt:
		<-ctx.Done()
		return ctx.Err()
	}
	return <-d.done
}

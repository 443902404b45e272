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

var errFault = errors.New("struck by the test")

// world is a pool with its engines and agents.
type world struct {
	t       *testing.T
	list    hosts.List
	engines map[hosts.Name]*fakeEngine
	mutex   sync.Mutex
	agents  []*process
	table   tables.Table[tables.Pool]
	// stage is a part of the name of each step.
	stage atomic.Value
	// parts splits the hosts. Those of different parts don't hear each other.
	parts atomic.Int64
	// struck tells that a fault that strikes once has struck.
	struck atomic.Bool
	// asked counts the questions between agents.
	asked   atomic.Int64
	context context.Context
	stop    context.CancelFunc
}

func (w *world) Now() hosts.List { return w.list }

func newWorld(t *testing.T, count, domains int, k kind) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, engines: make(map[hosts.Name]*fakeEngine), context: ctx, stop: cancel}
	w.stage.Store("first")
	var all []hosts.Host
	for i := range count {
		n := hosts.Name("host-" + string(rune('a'+i%26)) + string(rune('a'+i/26)))
		place := hosts.Place{Domain: hosts.Domain(rune('a' + i%domains))}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		all = append(all, hosts.Host{Name: n, Place: place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: address})
		w.engines[n] = &fakeEngine{kind: k, state: engine.State{StartID: "first"}}
	}
	w.list = hosts.NewList(all)
	go w.run(ctx)
	return w
}

// run hands the tables on to the processes that aren't cut off.
func (w *world) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mutex.Lock()
		for _, p := range w.agents {
			if time.Now().After(p.blocked()) && time.Now().UnixNano() > p.stale.Load() {
				p.force.SetPools(w.table)
				p.force.Confirm(time.Now())
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
	for _, p := range w.living() {
		close(p.ended)
		p.halt()
	}
	time.Sleep(time.Minute)
}

// wish is what the newest row wants.
func (w *world) wish() orders.Desired {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return orders.DesiredOf(w.table.Rows["pool"], w.table.Revision)
}

// settled waits until every engine serves the newest row and every living agent
// knows, and returns how long that took.
func (w *world) settled(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(100 * time.Millisecond)
		wish, done := w.wish(), true
		for _, e := range w.engines {
			s, _ := e.State(w.t.Context())
			done = done && wish.IsServed(s)
		}
		for _, p := range w.living() {
			done = done && wish.IsServed(p.loader.State())
		}
		if done {
			return time.Since(start)
		}
	}
	w.t.Errorf("the newest row isn't served after %s", limit)
	return limit
}

func (w *world) living() []*process {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []*process
	for _, p := range w.agents {
		if !p.dead {
			all = append(all, p)
		}
	}
	return all
}

// View implements loads.Neighbors for the agent that asks.
func (p *process) View(ctx context.Context, address netip.AddrPort, _ string) (turns.View, error) {
	p.world.asked.Add(1)
	p.pass()
	for _, o := range p.world.living() {
		h, _ := p.world.list.Find(o.host)
		if h.Address == address && time.Now().After(o.blocked()) && !p.isApart(o) {
			return o.loader.View(), nil
		}
	}
	<-ctx.Done()
	return turns.View{}, ctx.Err()
}

// process is one agent. All its calls to the outside wait while it is paused.
type process struct {
	world   *world
	host    hosts.Name
	script  *trial.Script
	force   *tables.Active
	cache   *cache.Cache
	loader  *deploy.Loader
	halted  func()
	running atomic.Int32
	// admitted counts the requests in progress.
	admitted atomic.Int32
	paused   atomic.Int64
	// slow is how long a fetch takes.
	slow  atomic.Int64
	stale atomic.Int64
	dead  bool
	// ended is closed when the process is killed or the test ends.
	ended chan struct{}
	// started is closed once halted is set.
	started chan struct{}
}

func (w *world) start(host hosts.Name, s *trial.Script) *process {
	p := &process{world: w, host: host, script: s, force: &tables.Active{}, cache: cache.New(), ended: make(chan struct{}), started: make(chan struct{})}
	p.loader = deploy.New(deploy.Options{
		Host: host, Tables: p.force, Fetcher: p, Cache: p.cache, Engine: p, Roster: w, Neighbors: p, Scope: tally.NoopScope,
		Trail: audit.NewTrail(zap.NewNop()), Log: zap.NewNop(),
	})
	c := &caller{process: p}
	go c.run()
	p.halted = p.loader.Start(func() int { return int(p.running.Load()) })
	close(p.started)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.agents = append(w.agents, p)
	return p
}

func (p *process) isDead() bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	return p.dead
}

// die ends the process and reports whether it lived.
func (p *process) die() bool {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	if p.dead {
		return false
	}
	p.dead = true
	close(p.ended)
	return true
}

// kill ends the process and starts one in its place after a while.
func (p *process) kill() {
	if p.die() {
		go p.run()
	}
}

func (p *process) run() {
	p.halt()
	time.Sleep(3 * time.Second)
	if p.world.context.Err() == nil {
		p.world.start(p.host, nil)
	}
}

func (p *process) pause(d time.Duration) { p.paused.Store(time.Now().Add(d).UnixNano()) }

func (p *process) blocked() time.Time { return time.Unix(0, p.paused.Load()) }

// halt stops the duties of the process.
func (p *process) halt() {
	<-p.started
	p.halted()
}

// pass waits while the process is paused. Timeouts don't pass meanwhile.
func (p *process) pass() {
	if !time.Now().Before(p.blocked()) {
		return
	}
	select {
	case <-time.After(time.Until(p.blocked())):
	case <-p.ended:
	}
}

// reach lets a fault strike the process and reports which the caller has to
// bring about itself.
func (p *process) reach(step trial.Step) trial.Fault {
	f := trial.None
	if p.script != nil {
		f = p.script.NextFault(trial.Step(p.world.stage.Load().(string)) + "-" + step)
	}
	switch f {
	case trial.Pause:
		p.pause(pauseTime)
	case trial.Kill:
		p.kill()
	case trial.Stale:
		p.stale.Store(time.Now().Add(pauseTime).UnixNano())
	case trial.Duplicate:
		p.world.start(p.host, nil)
	case trial.Crash:
		p.world.engines[p.host].restart()
	}
	p.pass()
	if s := p.loader.State(); f == trial.Pause && !s.Loading && !s.Manifest.IsZero() {
		p.world.engines[p.host].check(p.world.t, s)
	}
	return f
}

// Fetch implements loads.Fetcher.
func (p *process) Fetch(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	wait := time.Duration(p.slow.Load())
	switch p.reach(stepFetch) {
	case trial.Refuse, trial.Cut, trial.Corrupt:
		return nil, errFault
	case trial.Silence, trial.Delay:
		wait = lateTime
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for _, name := range names {
		digest, encoded := release(name)
		if digest != pool.Manifest {
			continue
		}
		if err := p.cache.Add(chunks.Sum([]byte(name)), []byte(name)); err != nil {
			return nil, err
		}
		return p.cache.AddManifest(digest, encoded)
	}
	return nil, errFault
}

// Progress implements loads.Fetcher.
func (p *process) Progress(chunks.Digest) fetch.Progress { return fetch.Progress{} }

// Run implements engine.Service.
func (p *process) Run(context.Context, calls.Request) (engine.Response, error) {
	return engine.Response{}, errFault
}

// State implements engine.Engine.
func (p *process) State(ctx context.Context) (engine.State, error) {
	switch p.reach(stepRead) {
	case trial.Refuse, trial.Cut, trial.Corrupt:
		return engine.State{}, errFault
	case trial.Silence, trial.Delay:
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return engine.State{}, ctx.Err()
	}
	return p.world.engines[p.host].State(ctx)
}

// check fails if what must hold at every order doesn't.
func (p *process) check(o engine.Order) {
	if s := p.loader.State(); !s.Loading && !s.Manifest.IsZero() {
		p.world.t.Errorf("an order is given while requests are admitted to version %s", s.Version)
	}
	if n := p.admitted.Load(); n > 0 {
		p.world.t.Errorf("an order is given with %d requests in progress", n)
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
	p.check(o)
	c := &carry{process: p, order: o, done: make(chan error, 1)}
	ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	switch p.reach(stepOrder) {
	case trial.Refuse:
		return errFault
	case trial.Silence:
		<-ctx.Done()
		return ctx.Err()
	case trial.Delay:
		c.wait = lateTime
		go c.run(context.WithoutCancel(ctx))
		return errFault
	case trial.Cut:
		go c.run(context.WithoutCancel(ctx))
		return errFault
	case trial.Corrupt:
		c.half = true
	}
	if p.isDead() {
		return errFault
	}
	go c.run(ctx)
	time.Sleep(loadTime / 2)
	switch p.reach(stepSwap) {
	case trial.Refuse, trial.Cut:
		c.cancel()
	case trial.Silence, trial.Delay, trial.Corrupt:
		<-ctx.Done()
		return ctx.Err()
	}
	return <-c.done
}

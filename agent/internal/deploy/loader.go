// Package deploy rolls out the version that a host's pool row names to the engine of
// the agent.
//
// # Roll-out
//
// A Loader fetches the version and its base. If the engine serves something, it waits
// for a roll-out slot and drains the requests in progress; an engine that serves
// nothing gets its order without a slot. The loader then sends the load order and
// reads back what the engine serves. It starts over when the row names something else.
//
// # Admission
//
// State reports to the gate what the engine serves. It reports that the engine is loading
// from before the order until the state has been read back, and reports nothing once
// the last observation is too old, so that a process that resumes from a pause admits
// no request before it has queried its engine.
//
// # Memory
//
// The chunks of other versions are freed once the engine serves the desired version;
// its own chunks once every host of the pool has been observed to serve it, or after
// turns.RetentionTimeout. The first-ranked host of each failure domain retains them as
// long as the row names the version.
package deploy

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/agent/internal/fetch"
	"currantport.example/core/audit"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/orders"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
	"currantport.example/core/wire"
)

const (
	reconcileInterval = 250 * time.Millisecond
	stateTimeout      = time.Second
	// maxStateAge is the maximum age of the last observation while requests are
	// admitted.
	maxStateAge = 2 * time.Second
	// drainTimeout bounds the wait for requests in progress before a reload. After
	// it the order is sent even if some still are.
	drainTimeout      = 30 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Step is the step that a roll-out has reached at a host.
type Step string

// The steps of a roll-out.
const (
	StepFetch Step = "fetch"
	StepSlot  Step = "turn"
	StepDrain Step = "drain"
	StepLoad  Step = "load"
	StepReady Step = "ready"
)

// Fetcher fetches versions into the cache.
type Fetcher interface {
	// Fetch returns once every chunk of the pool's version is in the cache.
	Fetch(ctx context.Context, pool tables.Pool) (*cache.Version, error)
	// Progress returns how much of a version is in the cache.
	Progress(manifest chunks.Digest) fetch.Progress
}

// Roster provides the list of hosts.
type Roster interface {
	// Now returns the current list.
	Now() hosts.List
}

// Neighbors queries the agents of other hosts for their views.
type Neighbors interface {
	// View returns the view of the agent at the address for a pool.
	View(ctx context.Context, address netip.AddrPort, pool string) (turns.View, error)
}

// Options are the dependencies of a loader.
type Options struct {
	Host hosts.Name
	// Listen is the address at which the engine fetches files from this agent.
	Listen    netip.AddrPort
	Tables    *tables.Active
	Fetcher   Fetcher
	Cache     *cache.Cache
	Engine    engine.Engine
	Roster    Roster
	Neighbors Neighbors
	Scope     tally.Scope
	Trail     *audit.Trail
	Log       *zap.Logger
}

// metrics are the metrics of the orders to one engine.
type metrics struct {
	orders tally.Counter
	failed tally.Counter
	memory tally.Gauge
	// slot, drain and load are the durations of the steps of a reload.
	slot  tally.Timer
	drain tally.Timer
	load  tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		orders: s.Counter("orders"), failed: s.Counter("orders_failed"), memory: s.Gauge("chunk_bytes"),
		slot: s.Timer("turn"), drain: s.Timer("drain"), load: s.Timer("load"),
	}
}

// Loader decides about and sends the orders to one engine.
type Loader struct {
	options Options
	metrics metrics
	// inProgress returns the number of requests in progress. Start sets it before any
	// goroutine runs.
	inProgress func() int
	// coverage is set while the engine serves the desired target. Only run uses it and
	// freed, which means that no chunks are retained.
	coverage *turns.Coverage
	freed    bool

	mutex       sync.Mutex
	planner     orders.Planner
	observation orders.Observation
	pool        tables.Pool
	step        Step
	lastError   string
	phase       turns.Phase
	// orderPending means that an order is about to be sent, in progress or not yet
	// read back.
	orderPending bool
}

// New returns a loader that does nothing before Start.
func New(o Options) *Loader {
	return &Loader{options: o, metrics: newMetrics(o.Scope), phase: turns.PhaseIdle}
}

// Start runs the loader until the returned function is called. The argument returns
// the number of requests in progress at the engine.
func (l *Loader) Start(inProgress func() int) func() {
	l.inProgress = inProgress
	g := shell.NewGroup()
	m := &stateMonitor{loader: l}
	g.Go(m.run)
	g.Go(l.run)
	return g.Stop
}

// State returns the engine state against which requests are admitted. It is zero if
// the state isn't known.
func (l *Loader) State() engine.State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if time.Since(l.observation.RequestedAt) > maxStateAge {
		return engine.State{}
	}
	s := l.observation.State
	s.Loading = s.Loading || l.orderPending || l.phase == turns.PhaseReload
	return s
}

// View returns what this host reports to other hosts.
func (l *Loader) View() turns.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v := turns.View{Phase: l.phase}
	if time.Since(l.observation.RequestedAt) <= maxStateAge {
		v.Serves = orders.ServedTarget(l.observation.State)
	}
	if l.observation.State.Loading && v.Phase == turns.PhaseIdle {
		v.Phase = turns.PhaseReload
	}
	return v
}

// Report implements manage.Reporter.
func (l *Loader) Report(s *wire.StatusReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pool.Name == "" {
		return
	}
	p := l.options.Fetcher.Progress(l.pool.Manifest)
	s.Rollouts = append(s.Rollouts, &wire.Rollout{
		Pool: l.pool.Name, Version: l.pool.Version, Manifest: l.pool.Manifest.String(), Step: string(l.step),
		Chunks: uint64(p.Chunks), Held: uint64(p.Held), Origin: p.OriginBytes, Peers: p.PeerBytes, Fault: l.lastError,
		Memory: uint64(l.options.Cache.Bytes()),
	})
}

// desired returns the pool of the host and what it should serve. If several pools list
// the host, the first by name applies. It reports false if none does.
func (l *Loader) desired() (tables.Pool, orders.Desired, bool) {
	snapshot := l.options.Tables.Snapshot()
	var found tables.Pool
	for _, p := range snapshot.Pools.Rows {
		if p.Kind != tables.PoolModel || !slices.Contains(p.Hosts, l.options.Host) {
			continue
		}
		if found.Name == "" || p.Name < found.Name {
			found = p
		}
	}
	return found, orders.DesiredOf(found, snapshot.Pools.Revision), found.Name != ""
}

// places returns the hosts of the pool with their failure domains.
func (l *Loader) places(pool tables.Pool) []turns.Place {
	list := l.options.Roster.Now()
	all := make([]turns.Place, 0, len(pool.Hosts))
	for _, n := range pool.Hosts {
		h, _ := list.Find(n)
		all = append(all, turns.Place{Name: n, Domain: h.Place.Domain})
	}
	return all
}

// setStep updates the reported state and records a changed step in the audit trail.
func (l *Loader) setStep(pool tables.Pool, step Step, lastError string) {
	l.mutex.Lock()
	changed := l.step != step || l.pool.Manifest != pool.Manifest || l.pool.Role != pool.Role
	l.pool, l.step, l.lastError = pool, step, lastError
	l.mutex.Unlock()
	if changed {
		l.options.Trail.Add(audit.EventRollout, pool.Name, string(step), audit.Field{Name: "version", Value: pool.Version})
	}
}

func (l *Loader) setPhase(p turns.Phase) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.phase = p
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

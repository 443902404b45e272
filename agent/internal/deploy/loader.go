// Package deploy brings the version that the pool row of a host names onto the
// engine beside the agent.
//
// # Roll-out
//
// A Loader fetches the version and its base, waits for the host's turn if the
// engine serves something, lets the requests in progress end, gives the order
// and reads back what the engine serves. It starts over whenever the row names
// something else. An engine that serves nothing gets its order at once.
//
// # Admission
//
// State tells the gate what the engine serves. It says that the engine loads
// from before the order until the read back, and nothing once the last reading
// is old, so that a process that wakes from a pause admits nothing before it has
// asked its engine.
//
// # Memory
//
// The chunks of other versions are freed once the engine serves this one; its
// own once every host of the pool was seen to serve it or a time has passed. The
// first host of each failure domain keeps them while the row names the version.
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
	roundWait    = 250 * time.Millisecond
	stateTimeout = time.Second
	// staleLimit is how old the last reading may be while requests are admitted.
	staleLimit = 2 * time.Second
	// drainLimit bounds the wait for requests in progress before a reload.
	drainLimit = 30 * time.Second
	drainWait  = 20 * time.Millisecond
)

// Step is how far a roll-out has come at a host.
type Step string

// The steps of a roll-out.
const (
	StepFetch Step = "fetch"
	StepSlot  Step = "turn"
	StepDrain Step = "drain"
	StepLoad  Step = "load"
	StepReady Step = "ready"
)

// Fetcher brings versions into the cache.
type Fetcher interface {
	// Fetch returns once every chunk of the pool's version is in the cache.
	Fetch(ctx context.Context, pool tables.Pool) (*cache.Version, error)
	Progress(manifest chunks.Digest) fetch.Progress
}

// Roster tells which hosts there are.
type Roster interface {
	Now() hosts.List
}

// Neighbors asks the agents of other hosts how far they have come.
type Neighbors interface {
	View(ctx context.Context, address netip.AddrPort, pool string) (turns.View, error)
}

// Options are the parts of a loader.
type Options struct {
	Host      hosts.Name
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

// metrics are those of the orders to one engine.
type metrics struct {
	orders tally.Counter
	failed tally.Counter
	memory tally.Gauge
	// turn, drain and load are how long each step of a reload takes.
	turn  tally.Timer
	drain tally.Timer
	load  tally.Timer
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		orders: s.Counter("orders"), failed: s.Counter("orders_failed"), memory: s.Gauge("chunk_bytes"),
		turn: s.Timer("turn"), drain: s.Timer("drain"), load: s.Timer("load"),
	}
}

// Loader owns the orders to one engine.
type Loader struct {
	options Options
	metrics metrics
	// running counts the requests in progress. It is set before any duty runs.
	running func() int
	// spread is set while the engine serves what is wanted. Only run uses it.
	spread *turns.Coverage
	freed  bool

	mutex   sync.Mutex
	desk    orders.Planner
	reading orders.Observation
	pool    tables.Pool
	step    Step
	fault   string
	phase   turns.Phase
	// giving tells that an order is about to be given, on its way or not yet read
	// back.
	giving bool
}

// New returns a loader that does nothing before Start.
func New(o Options) *Loader {
	return &Loader{options: o, metrics: newMetrics(o.Scope), phase: turns.PhaseIdle}
}

// Start runs the loader until the clean-up function is called. Running returns
// the number of requests in progress at the engine.
func (l *Loader) Start(running func() int) func() {
	l.running = running
	g := shell.NewGroup()
	m := &monitor{loader: l}
	g.Go(m.run)
	g.Go(l.run)
	return g.Stop
}

// State returns what requests may be admitted to.
func (l *Loader) State() engine.State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if time.Since(l.reading.RequestedAt) > staleLimit {
		return engine.State{}
	}
	s := l.reading.State
	s.Loading = s.Loading || l.giving || l.phase == turns.PhaseReload
	return s
}

// View returns what other hosts are told.
func (l *Loader) View() turns.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	v := turns.View{Phase: l.phase}
	if time.Since(l.reading.RequestedAt) <= staleLimit {
		v.Serves = orders.ServedTarget(l.reading.State)
	}
	if l.reading.State.Loading && v.Phase == turns.PhaseIdle {
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
		Chunks: uint64(p.Chunks), Held: uint64(p.Held), Origin: p.OriginBytes, Peers: p.PeerBytes, Fault: l.fault,
		Memory: uint64(l.options.Cache.Bytes()),
	})
}

// wanted returns the pool of the host and what it wants. Of several pools the
// first by name counts.
func (l *Loader) wanted() (tables.Pool, orders.Desired, bool) {
	now := l.options.Tables.Snapshot()
	var found tables.Pool
	for _, p := range now.Pools.Rows {
		if p.Kind != tables.PoolModel || !slices.Contains(p.Hosts, l.options.Host) {
			continue
		}
		if found.Name == "" || p.Name < found.Name {
			found = p
		}
	}
	return found, orders.DesiredOf(found, now.Pools.Revision), found.Name != ""
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

func (l *Loader) enter(pool tables.Pool, step Step, fault string) {
	l.mutex.Lock()
	changed := l.step != step || l.pool.Manifest != pool.Manifest || l.pool.Role != pool.Role
	l.pool, l.step, l.fault = pool, step, fault
	l.mutex.Unlock()
	if changed {
		l.options.Trail.Add(audit.EventRollout, pool.Name, string(step), audit.Field{Name: "version", Value: pool.Version})
	}
}

func (l *Loader) show(p turns.Phase) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.phase = p
}

func textOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

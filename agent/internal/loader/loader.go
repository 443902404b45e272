// Package loader brings the released version of a model onto the engine beside the
// agent.
//
// # Way of a version
//
// The pieces are fetched into memory, staged at the engine and checked there. When it
// is the engine's turn, entries are told to send it nothing more, and it is ordered to
// load. An engine that serves nothing is ordered at once.
//
// # Versions in quick succession
//
// If a version is released while one before it is on its way, the newer one is loaded
// and the other one skipped. But if the pieces of the newer one don't come in time, the
// one before it is loaded, so that the engine doesn't stand still.
//
// # What may go wrong
//
// Staged pieces may go bad, an engine may start anew and forget what it held, a newer
// version may be released meanwhile. So nothing is remembered of the engine beyond what
// it reports: each round compares what it serves with what was released.
package loader

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/engine"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
	"currantport.example/core/state"
)

const (
	// roundInterval is the time between two looks at the engine.
	roundInterval = 50 * time.Millisecond
	// callTimeout bounds a call to the engine, which is on the same host.
	callTimeout = time.Second
	// checkedLife is how long a staged piece counts as good after it was checked.
	checkedLife = 1500 * time.Millisecond
	// closeLead is the time between the notice to entries and the order.
	closeLead = 30 * time.Millisecond
	// retryPause is the time before an order that didn't fit is given again.
	retryPause = 200 * time.Millisecond
	// leastLoad and loadSteps give buckets from 0.1 s to 25 s, within which a release is
	// served.
	leastLoad = 100 * time.Millisecond
	loadSteps = 9
)

// VersionNamer gives versions the names under which their manifests are kept.
type VersionNamer interface {
	Name(model string, version int) chunks.Digest
}

// Fetcher brings versions into the cache.
type Fetcher interface {
	Manifest(ctx context.Context, name chunks.Digest) (*cache.Version, error)
	Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error)
}

// Options are the parts of a loader.
type Options struct {
	// Pool is that of the engine, Address where it takes requests.
	Pool    string
	Address netip.AddrPort
	Mirror  *feed.Mirror
	Engine  engine.Local
	Cache   *cache.Cache
	Namer   VersionNamer
	Fetcher Fetcher
	// RolloutLimit is the time in which a released version must be served, or zero.
	RolloutLimit time.Duration
	// Notify is called when entries should hear of a change at once.
	Notify func()
	Scope  tally.Scope
	Log    *zap.Logger
}

// goal is the version that the engine is to serve.
type goal struct {
	model   string
	version int
}

// Loader looks after one engine.
type Loader struct {
	options Options
	orders  tally.Counter
	// served is the time from a release until the engine serves it.
	served  tally.Histogram
	courier *courier
	stage   *stage
	// planned is the goal that the turn is for.
	planned goal
	turn    RolloutSlot
	// ordered is when the last order was given, or zero.
	ordered time.Time
	again   time.Time
	// learnt holds when the first version was released that the engine lacks.
	learnt map[goal]time.Time
	// kept holds the goal for whose sake all others were dropped.
	kept map[goal]bool

	mutex   sync.Mutex
	status  engine.Status
	heard   time.Time
	closing bool
}

// New starts to look after the engine. The clean-up function ends that.
func New(o Options) (*Loader, func()) {
	buckets := tally.MustMakeExponentialDurationBuckets(leastLoad, 2, loadSteps)
	l := &Loader{
		options: o, orders: o.Scope.Counter("orders"), served: o.Scope.Histogram("release_seconds", buckets), learnt: make(map[goal]time.Time),
	}
	var stopCourier, stopStage func()
	l.courier, stopCourier = newCourier(o)
	l.stage, stopStage = newStage(o)
	g := shell.NewGroup()
	g.Go(l.run)
	return l, func() {
		g.Stop()
		stopStage()
		stopCourier()
	}
}

// Report is what the loader knows of the engine.
type Report struct {
	Status engine.Status
	// Closing tells that the engine is about to load and takes no requests.
	Closing bool
	// Row is the engine as the platform lists it, or nil.
	Row *state.Upstream
}

// Report returns the last status of the engine. It is false if that is old.
func (l *Loader) Report() (Report, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := Report{Status: l.status, Closing: l.closing, Row: l.row(l.status.Started)}
	return r, !l.heard.IsZero() && clocks.Since(l.heard) < callTimeout && r.Row != nil
}

// row returns the engine as the platform lists it. An engine that has started anew may
// be listed twice for a while.
func (l *Loader) row(started time.Time) *state.Upstream {
	var found *state.Upstream
	for _, u := range l.options.Mirror.Snapshot().Upstreams(l.options.Pool) {
		if u.Address != l.options.Address {
			continue
		}
		if found == nil || u.Started.Equal(started) {
			found = u
		}
	}
	return found
}

func (l *Loader) run(ctx context.Context) {
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		l.round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loader) round(ctx context.Context) {
	if !l.look(ctx) {
		return
	}
	g, ok := l.goal()
	if !ok {
		return
	}
	if _, known := l.learnt[g]; !known {
		l.learnt[g] = clocks.Now()
		if len(l.learnt) == 1 {
			// It isn't known when a version was released that is there from the
			// start.
			l.learnt[g] = clocks.Now().Add(-l.options.RolloutLimit)
		}
		l.options.Log.Info("release", zap.String("model", g.model), zap.Int("version", g.version))
	}
	if l.planned != g {
		l.plan(g)
	}
	l.courier.want(g)
	if l.status.Holds(g.model, g.version) {
		l.open(g)
		return
	}
	if next, ok := l.next(g); ok {
		l.stage.aim(next)
		l.advance(ctx, next)
		return
	}
	// The engine serves the best that there is for now.
	l.ordered = time.Time{}
	l.setClosing(false)
	l.stage.aim(g)
}

// next returns the version that is to be loaded now, if there is one. Until the newest
// is there, it is one before it that the engine lacks, but only if the newest won't
// come before the engine must stop to serve what it has.
func (l *Loader) next(g goal) (goal, bool) {
	found, ok := l.courier.newest(g.model)
	if !ok || l.holdsSince(found) {
		return goal{}, false
	}
	if found == g || len(l.status.Held) == 0 {
		return found, true
	}
	now := clocks.Now()
	left, moves := l.courier.of(g).TimeLeft(now)
	if moves && !now.Add(left).After(l.turn.Deadline(l.options.RolloutLimit)) {
		return goal{}, false
	}
	return found, true
}

// look reads the status of the engine.
func (l *Loader) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := l.options.Engine.Status(ctx)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lost := l.heard.IsZero() || clocks.Since(l.heard) > callTimeout
	if err != nil {
		if !lost && ctx.Err() == nil {
			l.options.Log.Debug("engine-unread", zap.Error(err))
		}
		return false
	}
	if lost {
		l.options.Log.Info("engine-heard", zap.Time("started", s.Started), zap.String("held", heldText(s.Held)))
	}
	if !s.Started.Equal(l.status.Started) && !l.heard.IsZero() {
		l.options.Log.Warn("engine-started-anew", zap.Time("started", s.Started), zap.Time("before", l.status.Started))
		l.ordered = time.Time{}
		l.stage.forget()
	}
	l.status, l.heard = s, clocks.Now()
	return true
}

// goal returns the version that the engine is to serve. Of a pool with several models
// it is the first.
func (l *Loader) goal() (goal, bool) {
	s := l.options.Mirror.Snapshot()
	p := s.Pool(l.options.Pool)
	if p == nil || p.Engine == nil || len(p.Engine.Models) == 0 {
		return goal{}, false
	}
	r := s.Release(p.Engine.Models[0].Name)
	return goal{model: r.Model, version: r.Version}, true
}

// plan places the engine in the order in which those of the pool load a version.
func (l *Loader) plan(g goal) {
	l.planned, l.ordered = g, time.Time{}
	s := l.options.Mirror.Snapshot()
	l.turn = NewRolloutSlot(l.firstLearnt(g), g.model, g.version, l.row(l.status.Started), s.Upstreams(l.options.Pool))
	l.options.Log.Info("load-planned", zap.String("model", g.model), zap.Int("version", g.version),
		zap.Int("rank", l.turn.Rank), zap.Int("count", l.turn.Count), zap.Duration("after", l.turn.Start(l.options.RolloutLimit).Sub(clocks.Now())))
}

// firstLearnt returns when the first version was released that the engine lacks.
func (l *Loader) firstLearnt(g goal) time.Time {
	first := l.learnt[g]
	for other, at := range l.learnt {
		if other.model == g.model && other.version <= g.version && !l.holdsSince(other) && at.Before(first) {
			first = at
		}
	}
	return first
}

// holdsSince reports whether the engine serves the version or a later one.
func (l *Loader) holdsSince(g goal) bool {
	for _, h := range l.status.Held {
		if h.Model == g.model && h.Version >= g.version {
			return true
		}
	}
	return false
}

// advance takes the next step towards the goal.
func (l *Loader) advance(ctx context.Context, g goal) {
	now := clocks.Now()
	if l.status.Busy || !l.ordered.IsZero() && now.Sub(l.ordered) < retryPause {
		return
	}
	// An order that was given before has ended, and the engine doesn't serve the version.
	l.ordered = time.Time{}
	if !l.stage.holds(g) || now.Before(l.again) {
		return
	}
	if len(l.status.Held) > 0 && now.Before(l.turn.Start(l.options.RolloutLimit)) {
		return
	}
	if !l.stage.check(ctx) {
		return
	}
	l.close()
	if len(l.status.Held) > 0 && !clocks.Sleep(ctx, closeLead) {
		return
	}
	l.order(ctx, g)
}

func (l *Loader) order(ctx context.Context, g goal) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack, err := l.options.Engine.Load(ctx, g.model, g.version)
	l.orders.Inc(1)
	l.options.Log.Info("order", zap.String("model", g.model), zap.Int("version", g.version), zap.String("ack", string(ack)),
		zap.Int("active", l.status.Active), zap.Duration("since", clocks.Since(l.learnt[g])), zap.Error(err))
	if err != nil || ack == engine.AckConflict || ack == engine.AckFenced {
		l.again = clocks.Now().Add(retryPause)
		return
	}
	l.ordered = clocks.Now()
}

// close tells entries to send nothing more.
func (l *Loader) close() { l.setClosing(true) }

// open tells entries that the engine serves what it should, and drops what isn't needed
// any more.
func (l *Loader) open(g goal) {
	if !l.ordered.IsZero() {
		since := clocks.Since(l.learnt[g])
		l.served.RecordDuration(since)
		l.options.Log.Info("version-served", zap.String("model", g.model), zap.Int("version", g.version), zap.Duration("since", since))
	}
	l.ordered = time.Time{}
	l.setClosing(false)
	if l.courier.of(g).Done() && !l.kept[g] {
		l.kept = map[goal]bool{g: true}
		l.courier.keep(g)
	}
}

func (l *Loader) setClosing(closing bool) {
	l.mutex.Lock()
	changed := l.closing != closing
	l.closing = closing
	l.mutex.Unlock()
	if changed {
		l.options.Log.Info("engine-closing", zap.Bool("closing", closing))
		l.options.Notify()
	}
}

// heldText returns the versions that an engine serves, as text.
func heldText(held []state.HeldVersion) string {
	var text []string
	for _, h := range held {
		text = append(text, h.Model+":"+strconv.Itoa(h.Version))
	}
	return strings.Join(text, ",")
}

// AgentName returns the name of the host on which an upstream and its agent run.
func AgentName(u *state.Upstream) hosts.Name { return hosts.Name(u.Address.Addr().String()) }

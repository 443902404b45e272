package deploy

import (
	"context"
	"slices"
	"time"

	"currantport.example/core/orders"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

// monitor reads the engine all the time, so that the gate knows what it serves
// while the loader fetches or waits.
type monitor struct{ loader *Loader }

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.loader.beat()
		m.loader.metrics.memory.Update(float64(m.loader.options.Cache.Bytes()))
		_, _ = m.loader.read(ctx)
		_ = pause(ctx, roundWait)
	}
}

func (l *Loader) beat() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.desk.RecordHeartbeat(time.Now())
}

// read asks the engine and keeps its answer, unless a later question has been
// answered before.
func (l *Loader) read(ctx context.Context) (orders.Observation, error) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := l.options.Engine.State(ctx)
	r := orders.Observation{State: s, RequestedAt: asked, ReceivedAt: time.Now()}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r.RequestedAt.Before(l.reading.RequestedAt) {
		return r, err
	}
	if err != nil {
		r = orders.Observation{}
	}
	l.reading = r
	return r, err
}

// guard cancels a roll-out once something else is wanted.
type guard struct {
	loader *Loader
	pool   tables.Pool
	cancel context.CancelFunc
}

func (g *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		if g.hasChanged() {
			g.cancel()
			return
		}
		_ = pause(ctx, roundWait)
	}
}

// hasChanged reports whether the row wants something else, or, as long as no
// order is on its way, names other hosts.
func (g *guard) hasChanged() bool {
	p, _, ok := g.loader.wanted()
	if !ok || p.Name != g.pool.Name || turns.TargetOf(p) != turns.TargetOf(g.pool) {
		return true
	}
	g.loader.mutex.Lock()
	defer g.loader.mutex.Unlock()
	return !g.loader.giving && (p.Ready != g.pool.Ready || !slices.Equal(p.Hosts, g.pool.Hosts))
}

// idleLimit is how long an engine that doesn't load may leave an order without
// an answer.
const idleLimit = 5 * time.Second

// watchdog cancels an order whose answer is lost, which shows by an engine that
// reports that it doesn't load.
type watchdog struct {
	loader *Loader
	// last is when the engine last wasn't known to be idle.
	last   time.Time
	cancel context.CancelFunc
}

func (w *watchdog) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.isIdle(time.Now()) {
			w.cancel()
			return
		}
		_ = pause(ctx, roundWait)
	}
}

func (w *watchdog) isIdle(now time.Time) bool {
	w.loader.mutex.Lock()
	defer w.loader.mutex.Unlock()
	r := w.loader.reading
	if r.State.Loading || r.RequestedAt.Before(w.last) {
		w.last = now
	}
	return now.Sub(w.last) > idleLimit
}

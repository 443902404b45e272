package deploy

import (
	"context"
	"slices"
	"time"

	"currantport.example/core/orders"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

// stateMonitor polls the engine's state, so that the gate knows what the engine serves
// while the loader fetches or waits. It also records the planner's heartbeat.
type stateMonitor struct{ loader *Loader }

func (m *stateMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.loader.recordHeartbeat()
		m.loader.metrics.memory.Update(float64(m.loader.options.Cache.Bytes()))
		_, _ = m.loader.readState(ctx)
		_ = sleep(ctx, reconcileInterval)
	}
}

func (l *Loader) recordHeartbeat() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.planner.RecordHeartbeat(time.Now())
}

// readState queries the engine and stores the observation, unless the response to a
// later query has been stored already.
func (l *Loader) readState(ctx context.Context) (orders.Observation, error) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := l.options.Engine.State(ctx)
	o := orders.Observation{State: s, RequestedAt: sentAt, ReceivedAt: time.Now()}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if o.RequestedAt.Before(l.observation.RequestedAt) {
		return o, err
	}
	if err != nil {
		o = orders.Observation{}
	}
	l.observation = o
	return o, err
}

// rowWatcher cancels a roll-out once the pool row names something else.
type rowWatcher struct {
	loader *Loader
	pool   tables.Pool
	cancel context.CancelFunc
}

func (w *rowWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.hasChanged() {
			w.cancel()
			return
		}
		_ = sleep(ctx, reconcileInterval)
	}
}

// hasChanged reports whether the row names another target or, as long as no order is
// pending, other hosts or another ratio of ready hosts.
func (w *rowWatcher) hasChanged() bool {
	p, _, ok := w.loader.desired()
	if !ok || p.Name != w.pool.Name || turns.TargetOf(p) != turns.TargetOf(w.pool) {
		return true
	}
	w.loader.mutex.Lock()
	defer w.loader.mutex.Unlock()
	return !w.loader.orderPending && (p.Ready != w.pool.Ready || !slices.Equal(p.Hosts, w.pool.Hosts))
}

// idleTimeout is how long an engine that isn't loading may leave an order without a
// response.
const idleTimeout = 5 * time.Second

// watchdog cancels an order whose response is lost: the engine reports that it isn't
// loading, but the call doesn't return.
type watchdog struct {
	loader *Loader
	// lastActive is when the engine was last loading or in an unknown state.
	lastActive time.Time
	cancel     context.CancelFunc
}

func (w *watchdog) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.isIdle(time.Now()) {
			w.cancel()
			return
		}
		_ = sleep(ctx, reconcileInterval)
	}
}

func (w *watchdog) isIdle(now time.Time) bool {
	w.loader.mutex.Lock()
	defer w.loader.mutex.Unlock()
	o := w.loader.observation
	if o.State.Loading || o.RequestedAt.Before(w.lastActive) {
		w.lastActive = now
	}
	return now.Sub(w.lastActive) > idleTimeout
}

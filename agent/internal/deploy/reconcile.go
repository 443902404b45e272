package deploy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"currantport.example/agent/internal/files"
	"currantport.example/core/audit"
	"currantport.example/core/edges"
	"currantport.example/core/engine"
	"currantport.example/core/orders"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

var (
	errStateUnknown = errors.New("the engine doesn't report its state")
	errNotServed    = errors.New("the engine doesn't serve what was ordered")
)

// DeferredError says why no order is sent for now. The loader retries in the next round.
type DeferredError struct{ Cause string }

// Error implements error.
func (e *DeferredError) Error() string { return e.Cause }

func (l *Loader) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.reconcile(ctx)
		_ = sleep(ctx, reconcileInterval)
	}
}

// reconcile compares what the engine serves with what it should serve and rolls out
// the difference.
func (l *Loader) reconcile(ctx context.Context) {
	pool, desired, ok := l.desired()
	if !ok {
		l.setPhase(turns.PhaseIdle)
		l.freeAll()
		return
	}
	d, err := l.decide(ctx, desired)
	if err == nil && d.Kind == orders.KindDone {
		l.setStep(pool, StepReady, "")
		l.setPhase(turns.PhaseIdle)
		l.freeChunks(ctx, pool)
		return
	}
	l.resetCoverage()
	if err := l.rollOut(ctx, pool, desired); err != nil && ctx.Err() == nil {
		l.options.Log.Warn("rollout-failed", zap.String("pool", pool.Name), zap.String("version", pool.Version),
			zap.Uint64("revision", uint64(desired.Revision)), zap.Error(err))
		l.setError(err)
	}
}

func (l *Loader) setError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastError = err.Error()
}

// rollOut fetches and loads the desired target. It is canceled when that changes.
func (l *Loader) rollOut(ctx context.Context, pool tables.Pool, desired orders.Desired) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &rowWatcher{loader: l, pool: pool, cancel: cancel}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { w.run(ctx) })
	if err := l.fetch(ctx, pool); err != nil {
		return err
	}
	d, err := l.decide(ctx, desired)
	if err != nil || d.Kind == orders.KindDone {
		return err
	}
	if d.Kind != orders.KindLoad {
		return &DeferredError{Cause: d.Cause}
	}
	defer l.releaseSlot()
	if l.isServing() {
		if err := l.acquireSlot(ctx, pool); err != nil {
			return err
		}
	}
	l.setOrderPending(true)
	defer l.setOrderPending(false)
	l.setStep(pool, StepDrain, "")
	if err := l.drain(ctx); err != nil {
		return err
	}
	l.setStep(pool, StepLoad, "")
	return l.placeOrder(ctx, pool, desired)
}

// fetch fetches the version and its base into the cache.
func (l *Loader) fetch(ctx context.Context, pool tables.Pool) error {
	l.setStep(pool, StepFetch, "")
	if !pool.Base.IsZero() {
		base := pool
		base.Manifest = pool.Base
		if _, err := l.options.Fetcher.Fetch(ctx, base); err != nil {
			return oops.In("loads").With("manifest", base.Manifest).Wrap(err)
		}
	}
	_, err := l.options.Fetcher.Fetch(ctx, pool)
	return oops.In("loads").With("manifest", pool.Manifest).Wrap(err)
}

// isServing reports whether the engine serves something that a reload would interrupt.
func (l *Loader) isServing() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return orders.ServedTarget(l.observation.State) != turns.Target{}
}

// drain waits until no request is in progress, at most drainTimeout. The gate admits
// none meanwhile.
func (l *Loader) drain(ctx context.Context) error {
	defer l.metrics.drain.Start().Stop()
	for start := time.Now(); l.inProgress() > 0 && time.Since(start) < drainTimeout; {
		if err := sleep(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// placeOrder decides once more on a fresh observation, sends the order and reads back
// the engine's state.
func (l *Loader) placeOrder(ctx context.Context, pool tables.Pool, desired orders.Desired) error {
	d, err := l.decide(ctx, desired)
	if err != nil || d.Kind == orders.KindDone {
		return err
	}
	if d.Kind != orders.KindLoad {
		return &DeferredError{Cause: d.Cause}
	}
	l.mutex.Lock()
	l.planner.RecordOrder(desired, d.Fence)
	l.mutex.Unlock()
	o := engine.Order{
		Fence: d.Fence, Model: pool.Model, Version: pool.Version, Manifest: pool.Manifest, Base: pool.Base,
		Role: pool.Role, Files: files.URL(l.options.Listen, pool.Manifest),
	}
	if !pool.Base.IsZero() {
		o.BaseFiles = files.URL(l.options.Listen, pool.Base)
	}
	err = l.readBack(ctx, desired, l.load(ctx, o))
	l.options.Trail.Add(audit.EventOrder, pool.Name, "the engine doesn't serve what the pool row names",
		audit.Field{Name: "version", Value: pool.Version}, audit.Revision(uint64(desired.Revision)),
		audit.Field{Name: "fault", Value: errorText(err)})
	if err != nil {
		l.recordFailure(err)
	}
	return err
}

func (l *Loader) load(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orders.LoadTimeout)
	defer cancel()
	l.metrics.orders.Inc(1)
	defer l.metrics.load.Start().Stop()
	w := &watchdog{loader: l, lastActive: time.Now(), cancel: cancel}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { w.run(ctx) })
	return l.options.Engine.Load(ctx, o)
}

// readBack returns nil if the engine serves what was ordered, even if the order
// returned an error: its response may have been lost.
func (l *Loader) readBack(ctx context.Context, desired orders.Desired, err error) error {
	o, stateErr := l.readState(context.WithoutCancel(ctx))
	if stateErr == nil && desired.IsServed(o.State) {
		return nil
	}
	if err == nil {
		return errNotServed
	}
	return err
}

// recordFailure records an order after which the engine doesn't serve what was
// ordered.
func (l *Loader) recordFailure(err error) {
	l.metrics.failed.Inc(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.planner.RecordFailure(errors.Is(err, edges.ErrFenced), time.Now())
	if orders.ServedTarget(l.observation.State) == (turns.Target{}) {
		l.phase = turns.PhaseFailed
	}
}

func (l *Loader) setOrderPending(pending bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.orderPending = pending
}

// releaseSlot ends the roll-out slot. A failed phase stays until the engine serves
// again.
func (l *Loader) releaseSlot() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.phase != turns.PhaseFailed {
		l.phase = turns.PhaseIdle
	}
}

// decide reads the engine's state and decides what to do about the desired target.
func (l *Loader) decide(ctx context.Context, desired orders.Desired) (orders.Decision, error) {
	o, err := l.readState(ctx)
	if err != nil {
		return orders.Decision{}, errors.Join(errStateUnknown, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.planner.Decide(orders.Input{
		Desired: desired, Observation: o, ConfirmedAt: l.options.Tables.ConfirmedAt(), Now: time.Now(),
	}), nil
}

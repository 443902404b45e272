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
	errUnread    = errors.New("the engine doesn't report its state")
	errElsewhere = errors.New("the engine doesn't serve what was ordered")
)

// DeferredError tells why no order is given for now.
type DeferredError struct{ Cause string }

// Error implements error.
func (e *DeferredError) Error() string { return e.Cause }

func (l *Loader) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.round(ctx)
		_ = pause(ctx, roundWait)
	}
}

func (l *Loader) round(ctx context.Context) {
	pool, wish, ok := l.wanted()
	if !ok {
		l.show(turns.PhaseIdle)
		l.drop()
		return
	}
	d, err := l.decide(ctx, wish)
	if err == nil && d.Kind == orders.KindDone {
		l.enter(pool, StepReady, "")
		l.show(turns.PhaseIdle)
		l.free(ctx, pool)
		return
	}
	l.keep()
	if err := l.bring(ctx, pool, wish); err != nil && ctx.Err() == nil {
		l.options.Log.Warn("rollout-failed", zap.String("pool", pool.Name), zap.String("version", pool.Version),
			zap.Uint64("revision", uint64(wish.Revision)), zap.Error(err))
		l.fail(err)
	}
}

func (l *Loader) fail(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = err.Error()
}

// bring fetches and loads what is wanted, or gives up once that has changed.
func (l *Loader) bring(ctx context.Context, pool tables.Pool, wish orders.Desired) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &guard{loader: l, pool: pool, cancel: cancel}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { w.run(ctx) })
	if err := l.fetch(ctx, pool); err != nil {
		return err
	}
	d, err := l.decide(ctx, wish)
	if err != nil || d.Kind == orders.KindDone {
		return err
	}
	if d.Kind != orders.KindLoad {
		return &DeferredError{Cause: d.Cause}
	}
	defer l.withdraw()
	if l.serves() {
		if err := l.takeTurn(ctx, pool); err != nil {
			return err
		}
	}
	l.give(true)
	defer l.give(false)
	l.enter(pool, StepDrain, "")
	if err := l.drain(ctx); err != nil {
		return err
	}
	l.enter(pool, StepLoad, "")
	return l.order(ctx, pool, wish)
}

// fetch brings the version and its base into the cache.
func (l *Loader) fetch(ctx context.Context, pool tables.Pool) error {
	l.enter(pool, StepFetch, "")
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

// serves reports whether the engine serves something that a reload would stop.
func (l *Loader) serves() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return orders.ServedTarget(l.reading.State) != turns.Target{}
}

// drain waits until no request is in progress. None is admitted meanwhile.
func (l *Loader) drain(ctx context.Context) error {
	defer l.metrics.drain.Start().Stop()
	for start := time.Now(); l.running() > 0 && time.Since(start) < drainLimit; {
		if err := pause(ctx, drainWait); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// order decides once more by a fresh reading, gives the order and reads back.
func (l *Loader) order(ctx context.Context, pool tables.Pool, wish orders.Desired) error {
	d, err := l.decide(ctx, wish)
	if err != nil || d.Kind == orders.KindDone {
		return err
	}
	if d.Kind != orders.KindLoad {
		return &DeferredError{Cause: d.Cause}
	}
	l.mutex.Lock()
	l.desk.RecordOrder(wish, d.Fence)
	l.mutex.Unlock()
	o := engine.Order{
		Fence: d.Fence, Model: pool.Model, Version: pool.Version, Manifest: pool.Manifest, Base: pool.Base,
		Role: pool.Role, Files: files.URL(l.options.Listen, pool.Manifest),
	}
	if !pool.Base.IsZero() {
		o.BaseFiles = files.URL(l.options.Listen, pool.Base)
	}
	err = l.readBack(ctx, wish, l.load(ctx, o))
	l.options.Trail.Add(audit.EventOrder, pool.Name, "the engine doesn't serve what the pool row names",
		audit.Field{Name: "version", Value: pool.Version}, audit.Revision(uint64(wish.Revision)),
		audit.Field{Name: "fault", Value: textOf(err)})
	if err != nil {
		l.refused(err)
	}
	return err
}

func (l *Loader) load(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orders.LoadTimeout)
	defer cancel()
	l.metrics.orders.Inc(1)
	defer l.metrics.load.Start().Stop()
	w := &watchdog{loader: l, last: time.Now(), cancel: cancel}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { w.run(ctx) })
	return l.options.Engine.Load(ctx, o)
}

// readBack returns nil if the engine serves what was ordered, whatever became of
// the answer to the order.
func (l *Loader) readBack(ctx context.Context, wish orders.Desired, err error) error {
	after, unread := l.read(context.WithoutCancel(ctx))
	if unread == nil && wish.IsServed(after.State) {
		return nil
	}
	if err == nil {
		return errElsewhere
	}
	return err
}

// refused records an order without effect.
func (l *Loader) refused(err error) {
	l.metrics.failed.Inc(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.desk.RecordFailure(errors.Is(err, edges.ErrFenced), time.Now())
	if orders.ServedTarget(l.reading.State) == (turns.Target{}) {
		l.phase = turns.PhaseFailed
	}
}

func (l *Loader) give(giving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.giving = giving
}

// withdraw ends a turn. A failure stays shown until the engine serves again.
func (l *Loader) withdraw() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.phase != turns.PhaseFailed {
		l.phase = turns.PhaseIdle
	}
}

// decide reads the engine and decides about the wish.
func (l *Loader) decide(ctx context.Context, wish orders.Desired) (orders.Decision, error) {
	r, err := l.read(ctx)
	if err != nil {
		return orders.Decision{}, errors.Join(errUnread, err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.desk.Decide(orders.Input{
		Desired: wish, Observation: r, ConfirmedAt: l.options.Tables.ConfirmedAt(), Now: time.Now(),
	}), nil
}

package loader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
)

// openOrder is an order without a response, which the engine may still accept. Until it can't, the
// staged pieces must be those of its version.
type openOrder struct {
	target targetVersion
	// expected is the order count at which the engine accepts it.
	expected uint64
	// started is the start of the engine process that may accept it, once isBound is set. Before,
	// no status has been read since the order was given up, and the engine may have restarted.
	started time.Time
	isBound bool
}

// orderLoad orders the engine to load a version. While an order is open, it is that order again: as
// all of them expect the same order count, at most one is accepted.
func (l *Loader) orderLoad(ctx context.Context, t targetVersion) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expected := l.status.OrderCount
	ack, err := l.options.Engine.Load(ctx, t.model, t.version, expected)
	l.orders.Inc(1)
	l.options.Log.Info("order", zap.String("model", t.model), zap.Int("version", t.version), zap.Uint64("count", expected), zap.String("ack", string(ack)),
		zap.Int("active", l.status.Active), zap.Duration("since", clocks.Since(l.releases[t].notBefore)), zap.Error(err))
	var notStarted *engine.NotStartedError
	switch {
	case err != nil && !errors.As(err, &notStarted):
		l.open = &openOrder{target: t, expected: expected}
		l.retryAt = clocks.Now().Add(orderBackoff)
	case err != nil || ack == engine.AckConflict || ack == engine.AckFenced:
		l.retryAt = clocks.Now().Add(orderBackoff)
	default:
		l.open, l.orderedAt = nil, clocks.Now()
	}
}

// settleOrder drops the open order if the status shows that the engine can't accept it any more.
func (l *Loader) settleOrder(s engine.Status) {
	o := l.open
	if o == nil {
		return
	}
	if s.OrderCount == o.expected && (!o.isBound || s.Started.Equal(o.started)) {
		o.started, o.isBound = s.Started, true
		return
	}
	l.open = nil
	l.options.Log.Info("order-settled", zap.String("model", o.target.model), zap.Int("version", o.target.version),
		zap.Uint64("expected", o.expected), zap.Uint64("count", s.OrderCount), zap.Time("started", s.Started))
}

package loader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/engine"
	"currantport.example/core/shell"
)

// openOrder is an order that the engine may still accept: it is waiting for its response, or has got
// none. Until then, the staged pieces must be those of its version.
type openOrder struct {
	target targetVersion
	layers engine.Layers
	// isFence is set for an order that only has others refused.
	isFence bool
	// expected is the order count at which the engine accepts it.
	expected uint64
	// call is the call that waits for a response, or nil.
	call *orderCall
	// isLost is set once a call has ended without a response.
	isLost bool
	// started is the start of the engine process that may accept it, once isBound is set. Before,
	// no status has been read since the last call ended, and the engine may have restarted.
	started time.Time
	isBound bool
}

// orderCall is a call that orders the engine to load a version. It runs beside the rounds of the
// loader, so that the status is read while it waits.
type orderCall struct {
	engine   engine.Local
	target   targetVersion
	layers   engine.Layers
	expected uint64
	// checkAge is the age of the oldest check of a staged piece when the order was sent, at sentAt.
	checkAge time.Duration
	sentAt   time.Time
	// done is closed when ack, err and endedAt are set.
	done chan struct{}
	ack  engine.Ack
	err  error
	// endedAt is when the call ended.
	endedAt time.Time
	// stop ends the call and waits for that.
	stop func()
}

func startOrder(e engine.Local, o *openOrder, checkAge time.Duration) *orderCall {
	g := shell.NewGroup()
	c := &orderCall{engine: e, target: o.target, layers: o.layers, expected: o.expected, checkAge: checkAge, sentAt: clocks.Now(), done: make(chan struct{}), stop: g.Stop}
	g.Go(c.run)
	return c
}

func (c *orderCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer close(c.done)
	c.ack, c.err = c.engine.Load(ctx, c.target.model, c.target.version, c.layers, c.expected)
	c.endedAt = clocks.Now()
}

// took returns the time that the engine has taken to respond.
func (c *orderCall) took() time.Duration { return c.endedAt.Sub(c.sentAt) }

// orderLoad orders the engine to load a version, or some layers of one that it holds. While an order is
// open, it is that order again: as all of them expect the same order count, at most one is accepted.
func (l *Loader) orderLoad(t targetVersion) {
	if l.open == nil {
		if !l.stager.hold() {
			return
		}
		l.open = &openOrder{target: t, layers: l.nextLayers(t), expected: l.status.OrderCount}
	}
	l.sendOrder()
}

// sendOrder sends the open order.
func (l *Loader) sendOrder() {
	l.sent = sentOrder{target: l.open.target, layers: l.open.layers, expected: l.open.expected}
	l.open.call = startOrder(l.options.Engine, l.open, l.stager.checkAge())
	l.orders.Inc(1)
}

// endCall handles the end of the call of an order, if it has ended.
func (l *Loader) endCall() {
	if l.open == nil || l.open.call == nil {
		return
	}
	o, c := l.open, l.open.call
	select {
	case <-c.done:
	default:
		return
	}
	c.stop()
	o.call, o.isBound = nil, false
	l.logOrder(c)
	var notStarted *engine.NotStartedError
	isRefused := errors.As(c.err, &notStarted) || c.ack == engine.AckConflict || c.ack == engine.AckFenced
	if c.err == nil && !isRefused {
		l.open, l.orderedAt = nil, clocks.Now()
		if c.ack == engine.AckStarted {
			l.recordLoad(l.sent, c.endedAt)
		} else if c.layers != (engine.Layers{}) {
			l.keepStale(c.target, c.layers)
		}
		return
	}
	l.retryAt = clocks.Now().Add(orderBackoff)
	o.isLost = o.isLost || !isRefused
	if !o.isLost {
		l.open, l.sent = nil, sentOrder{}
	}
}

func (l *Loader) logOrder(c *orderCall) {
	l.options.Log.Info("order", zap.String("model", c.target.model), zap.Int("version", c.target.version), zap.Int("from", c.layers.From), zap.Int("to", c.layers.To), zap.Uint64("count", c.expected), zap.String("ack", string(c.ack)),
		zap.Int("active", l.status.Active), zap.Duration("checked", c.checkAge), zap.Duration("took", c.took()), zap.Duration("since", clocks.Since(l.releases[c.target].notBefore)), zap.Error(c.err))
}

// settleOrder drops the open order if the status shows that the engine can't accept it any more.
func (l *Loader) settleOrder(s engine.Status) {
	o := l.open
	if o == nil {
		return
	}
	if s.OrderCount == o.expected && (!o.isBound || s.Started.Equal(o.started)) {
		o.started, o.isBound = s.Started, o.call == nil
		return
	}
	if c := o.call; c != nil {
		l.stopCall()
		if !o.isLost && (c.ack == engine.AckConflict || c.ack == engine.AckFenced) {
			// Another agent's order was accepted.
			l.sent = sentOrder{}
		}
	}
	l.open = nil
	if s.OrderCount > o.expected {
		l.orderedAt = clocks.Now()
	}
	l.options.Log.Info("order-settled", zap.String("model", o.target.model), zap.Int("version", o.target.version),
		zap.Uint64("expected", o.expected), zap.Uint64("count", s.OrderCount), zap.Time("started", s.Started))
}

// stopCall ends the call of an order, if there is one.
func (l *Loader) stopCall() {
	if l.open == nil || l.open.call == nil {
		return
	}
	l.open.call.stop()
	l.logOrder(l.open.call)
	l.open.call = nil
}

package proxy

import (
	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/entry/internal/target"
)

// recordDemands records what a response says about further requests to its upstream.
func (l *lifecycle) recordDemands(f *target.InFlight, reply calls.Reply) {
	if reply.Kind == calls.ReplyMismatched {
		return
	}
	if reply.Leaving && f.RecordLeaving(clocks.Now()) {
		l.handler.metrics.countDemand("leaving", f.Row.ID)
	}
	if reply.RetryAfterInvalid != "" {
		l.handler.options.Log.Warn("retry-after-invalid", zap.String("request", string(l.call.ID)), zap.String("upstream", f.Row.ID),
			zap.String("value", reply.RetryAfterInvalid[:min(len(reply.RetryAfterInvalid), maxLoggedValue)]))
	}
	if reply.RetryAfter > 0 {
		l.handler.metrics.countDemand("held", f.Row.ID)
		f.Hold(clocks.Now(), reply.RetryAfter)
	}
	l.recordLimit(f, reply)
}

// recordLimit records what a response says about the limit and the cold time of its upstream. A
// response that the request belongs elsewhere may come from another upstream.
func (l *lifecycle) recordLimit(f *target.InFlight, reply calls.Reply) {
	if reply.Kind == calls.ReplyMoved {
		return
	}
	if reply.HasCold {
		f.RecordCold(clocks.Now(), reply.ColdFor)
	}
	if reply.ColdInvalid != "" {
		l.logInvalid(f, "cold-invalid", reply.ColdInvalid)
	}
	if reply.LimitInvalid != "" {
		l.logInvalid(f, "limit-invalid", reply.LimitInvalid)
		if !reply.Limited {
			return
		}
	}
	if f.RecordLimit(clocks.Now(), reply.Limit, reply.Limited) {
		l.handler.metrics.countDemand("limit", f.Row.ID)
	}
}

// maxLoggedValue bounds the part of an invalid header that is logged, in bytes.
const maxLoggedValue = 64

// logInvalid logs a value of a response that can't be read, unless the upstream has just given the same
// one for the same event.
func (l *lifecycle) logInvalid(f *target.InFlight, event, value string) {
	value = value[:min(len(value), maxLoggedValue)]
	if f.RecordInvalid(event, value) {
		l.handler.options.Log.Warn(event, zap.String("request", string(l.call.ID)), zap.String("upstream", f.Row.ID), zap.String("value", value))
	}
}

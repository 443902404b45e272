package proxy

import "time"

// stallMargin is how long before its client leaves a request is answered that has no event yet. It covers
// the way of the answer.
const stallMargin = 150 * time.Millisecond

// stallEnd returns the time at which a request without a first event is given up, or the deadline. An
// entry that waited longer than the client would be left with an upstream that works for nobody, and
// the client without an answer. A stream that has begun isn't cut for silence.
func (l *lifecycle) stallEnd() time.Time {
	timeout := l.admission.Route.StallTimeout
	if timeout == 0 || l.stream.started {
		return l.deadline
	}
	if end := l.arrived.Add(timeout - stallMargin); end.Before(l.deadline) {
		return end
	}
	return l.deadline
}

// isStalled reports whether the request has had no event for nearly as long as clients wait.
func (l *lifecycle) isStalled() bool {
	now := time.Now()
	return now.Before(l.deadline) && !now.Before(l.stallEnd())
}

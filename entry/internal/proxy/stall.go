package proxy

import "time"

// stallMargin is how long before its client leaves a request is answered that has no event yet. It covers
// the way of the answer.
const stallMargin = 150 * time.Millisecond

// stallEnd returns the time at which a request without a first event is given up, or the deadline. An
// entry that waited longer than the client would be left with an upstream that works for nobody, and
// the client without an answer. A stream that has begun isn't cut for silence.
func (l *lifecycle) stallEnd() time.Time {
	if l.stream.started {
		return l.deadline
	}
	return l.firstEventLimit()
}

// firstEventLimit returns the time by which the first event must have come.
func (l *lifecycle) firstEventLimit() time.Time {
	timeout := l.admission.Route.StallTimeout
	if timeout == 0 {
		return l.deadline
	}
	return earliest(l.deadline, l.arrived.Add(timeout-stallMargin))
}

// isStalled reports whether the request has had no event for nearly as long as clients wait.
func (l *lifecycle) isStalled() bool {
	now := time.Now()
	return now.Before(l.deadline) && !now.Before(l.stallEnd())
}

// Package tries decides what an entry does after an attempt to send a request. It does no
// I/O.
//
// # At most once
//
// A request that must run at most once is retried only if the previous attempt proves that
// it has not run: no byte of it left the process, or the upstream reported so. A request
// that was sent without a response may have run, and the client is told that the outcome is
// unknown.
//
// # Streams
//
// A resumable stream continues at another upstream after the last complete event. Any other
// stream that is interrupted is also aborted towards the client.
package tries

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/state"
)

const (
	// maxUnsent bounds the attempts of which no byte left the process.
	maxUnsent = 6
	// maxDeclined bounds the upstreams that may decline a request, in addition to the
	// attempts of its route.
	maxDeclined = 2
	// minRemaining is the time that another attempt needs.
	minRemaining = 40 * time.Millisecond
)

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultAnswered is a response that was forwarded whole, or is about to be.
	ResultAnswered Result = iota
	// ResultFailed is a failure that the upstream reported; the request has run.
	ResultFailed
	// ResultUnsent proves that no byte left the process.
	ResultUnsent
	// ResultDeclined proves that the upstream has not run the request.
	ResultDeclined
	// ResultLost leaves open whether the request has run.
	ResultLost
	// ResultTruncated is a response that ended early after part of it was forwarded.
	ResultTruncated
)

// Step is what to do next.
type Step int

// The steps after an attempt.
const (
	// StepDone ends the request with the response of the attempt.
	StepDone Step = iota
	// StepRetry sends the request to another upstream.
	StepRetry
	// StepRefuse reports to the client that the request has not run.
	StepRefuse
	// StepUnknown reports to the client that the request may have run.
	StepUnknown
	// StepAbort ends the response to the client early.
	StepAbort
)

// Attempts is the retry state of one request. It isn't safe for concurrent use.
type Attempts struct {
	route    *state.Route
	deadline time.Time
	// runs counts the upstreams that may have run the request.
	runs     int
	unsent   int
	declined int
}

// New returns the state of a request before its first attempt.
func New(route *state.Route, deadline time.Time) *Attempts {
	return &Attempts{route: route, deadline: deadline}
}

// HasRun reports whether an upstream may have run the request.
func (a *Attempts) HasRun() bool { return a.runs > 0 }

// Count returns the number of attempts.
func (a *Attempts) Count() int { return a.runs + a.unsent + a.declined }

// Next returns the step after an attempt. TrySpend takes a retry from the budget of the
// pool and reports whether there was one; it isn't called after ResultUnsent, when no
// upstream has received the request.
func (a *Attempts) Next(now time.Time, r Result, trySpend func() bool) Step {
	hasTime := a.deadline.Sub(now) >= minRemaining
	switch r {
	case ResultAnswered:
		a.runs++
		return StepDone
	case ResultUnsent:
		a.unsent++
		if hasTime && a.unsent < maxUnsent && a.runs < max(a.route.MaxAttempts, 1) {
			return StepRetry
		}
		return a.finalStep()
	case ResultDeclined:
		a.declined++
		if hasTime && a.runs < max(a.route.MaxAttempts, 1) && a.declined+a.runs < a.route.MaxAttempts+maxDeclined && trySpend() {
			return StepRetry
		}
		return a.finalStep()
	}
	retry := a.MayRetry(now) && trySpend()
	a.runs++
	switch {
	case retry:
		return StepRetry
	case r == ResultTruncated:
		return StepAbort
	case r == ResultFailed:
		return StepDone
	}
	return StepUnknown
}

// MayRetry reports whether a retry may follow an attempt in progress that may have run the request.
func (a *Attempts) MayRetry(now time.Time) bool {
	return a.route.IsRetryable() && a.deadline.Sub(now) >= minRemaining && a.runs+1 < a.route.MaxAttempts
}

// MayRunBeside reports whether another upstream may be asked while the attempt in progress, which may have
// run the request, goes on.
func (a *Attempts) MayRunBeside(now time.Time) bool {
	return a.MayRetry(now) && a.declined+a.runs < a.route.MaxAttempts+maxDeclined && a.unsent < maxUnsent
}

// RecordBeside counts such an attempt that has failed.
func (a *Attempts) RecordBeside(r Result) {
	switch r {
	case ResultUnsent:
		a.unsent++
	case ResultDeclined:
		a.declined++
	default:
		a.runs++
	}
}

// finalStep returns how a request ends whose last attempt did not run.
func (a *Attempts) finalStep() Step {
	if a.runs > 0 {
		return StepUnknown
	}
	return StepRefuse
}

// NextUnplaced returns how a request ends when no upstream is available for it.
func (a *Attempts) NextUnplaced() Step { return a.finalStep() }

// Reason returns why a request that isn't retried any more has no response.
func (a *Attempts) Reason(now time.Time) calls.Reason {
	switch {
	case !now.Before(a.deadline):
		return calls.ReasonDeadline
	case a.runs > 0:
		return calls.ReasonLost
	case a.declined > 0:
		return calls.ReasonOverload
	}
	return calls.ReasonNoUpstream
}

// Package retry decides what an entry does next for a request: retry it, settle an attempt
// whose outcome is unknown, or report the final outcome. It does no I/O.
//
// # Requests with an idempotency key
//
// One process owns the key. The entry sends the request to the owner, follows a redirect to
// an earlier owner, and reports "not run" only after the owner has confirmed it: what this
// entry sent proves nothing about earlier requests with the same key.
//
// # Requests without a key
//
// They are idempotent. The entry retries them at other upstreams within the retry budget and
// the deadline. It reports "not run" only with a proof for each attempt.
package retry

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
)

const (
	maxAttempts = 3
	// maxDeclines bounds the attempts that were declined for what the upstreams serve, such as
	// a version that several replace at once. Each costs a round trip and runs nothing.
	maxDeclines   = 8
	maxHops       = 2
	maxReconnects = 3
	retryAfter    = time.Second
	// minRemaining is the time before the deadline that another attempt needs.
	minRemaining = 10 * time.Millisecond
	// One settleDivisor-th of the time that a request with a key has is reserved for
	// settling its attempt, at most maxSettleTime.
	settleDivisor = 4
	maxSettleTime = time.Second
)

// Step is what to do next.
type Step int

// The steps of a request.
const (
	// StepDone ends the request with the refusal, or with the response if there is no
	// refusal.
	StepDone Step = iota
	// StepRetry sends the request to another upstream.
	StepRetry
	// StepFollow sends the request to the owner of its key.
	StepFollow
	// StepReconnect sends the request to the same upstream over a new connection. It
	// joins the run in progress or returns the recorded response.
	StepReconnect
	// StepSettle queries the outcome of the unsettled attempts.
	StepSettle
)

// Result is how an attempt ended. The zero value is a complete response.
type Result struct {
	// Refusal is set if the upstream's host refused.
	Refusal *calls.Refusal
	// Owner is set if the refusal names another owner of the key.
	Owner dedup.Owner
	// Lost is set if the attempt ended without a response or a refusal.
	Lost bool
	// Unsent is set if a lost attempt provably did not leave the entry.
	Unsent bool
	// Started is set if the client has received part of the response.
	Started bool
	// Canceled is set if the client has disconnected.
	Canceled bool
}

// Decision is a step, with the refusal of StepDone and the owner of StepFollow.
type Decision struct {
	Step    Step
	Refusal *calls.Refusal
	Owner   dedup.Owner
}

// Attempts is the retry state of one request at an entry. It isn't safe for concurrent use.
type Attempts struct {
	hasKey   bool
	deadline time.Time
	// attemptDeadline is when an attempt without any output is abandoned, so that there is
	// time left to settle it.
	attemptDeadline time.Time
	// trySpend takes a retry from the budget of the entry and reports whether there was
	// one.
	trySpend   func() bool
	count      int
	declines   int
	hops       int
	reconnects int
	// unsettled is the number of attempts that may have run. It is kept only for requests
	// without a key.
	unsettled   int
	started     bool
	lastRefusal *calls.Refusal
}

// NewAttempts returns the state of a request before its first attempt. TrySpend takes a
// retry from the budget of the entry and reports whether there was one.
func NewAttempts(now time.Time, request calls.Request, trySpend func() bool) *Attempts {
	a := &Attempts{hasKey: request.Key != "", deadline: request.Deadline, attemptDeadline: request.Deadline, trySpend: trySpend}
	if a.hasKey {
		a.attemptDeadline = request.Deadline.Add(-min(request.Deadline.Sub(now)/settleDivisor, maxSettleTime))
	}
	return a
}

// AttemptDeadline returns when to abandon the next attempt if the client has not received
// part of the response by then.
func (a *Attempts) AttemptDeadline() time.Time {
	if a.reconnects > 0 {
		return a.deadline
	}
	return a.attemptDeadline
}

// NextUnplaced returns the decision when no upstream is available for an attempt.
func (a *Attempts) NextUnplaced() Decision {
	if a.hasKey {
		return done(calls.Unknown(calls.ReasonOwner, retryAfter, "the owner of the key can't be reached"))
	}
	if a.lastRefusal == nil {
		return done(calls.NotRun(calls.ReasonNoUpstream, retryAfter, "no upstream is ready"))
	}
	return a.finish(a.lastRefusal)
}

// Next returns the decision after an attempt.
func (a *Attempts) Next(now time.Time, r Result) Decision {
	if isDecline(r.Refusal) {
		a.declines++
	} else {
		a.count++
	}
	a.started = a.started || r.Started
	switch {
	case r.Refusal == nil && !r.Lost:
		return Decision{Step: StepDone}
	case r.Canceled:
		return done(calls.Unknown(calls.ReasonCanceled, 0, "the caller has gone"))
	case a.hasKey:
		return a.nextKeyed(now, r)
	}
	return a.nextIdempotent(now, r)
}

func (a *Attempts) nextKeyed(now time.Time, r Result) Decision {
	if r.Lost && a.reconnects > 0 && a.isLate(now) {
		return done(calls.Unknown(calls.ReasonDeadline, retryAfter, "the request has started and its answer did not come"))
	}
	if r.Lost {
		return Decision{Step: StepSettle}
	}
	return a.followOwner(now, r.Owner, r.Refusal)
}

func (a *Attempts) followOwner(now time.Time, owner dedup.Owner, refusal *calls.Refusal) Decision {
	if owner.Host == "" || a.hops >= maxHops || a.started || a.isLate(now) {
		return done(refusal)
	}
	a.hops++
	return Decision{Step: StepFollow, Owner: owner}
}

func (a *Attempts) nextIdempotent(now time.Time, r Result) Decision {
	refusal := r.Refusal
	if refusal == nil {
		refusal = refusalOfLost(r.Unsent, a.isLate(now))
	}
	if refusal.Outcome != calls.OutcomeNotRun {
		a.unsettled++
	}
	a.lastRefusal = refusal
	switch {
	case a.started || isFinal(refusal.Reason) || a.isLate(now):
		return a.finish(refusal)
	case isDecline(refusal) && a.declines < maxDeclines:
		return Decision{Step: StepRetry}
	case isDecline(refusal) || a.count >= maxAttempts || !a.trySpend():
		return a.finish(refusal)
	}
	return Decision{Step: StepRetry}
}

// isLate reports whether too little time remains for another attempt.
func (a *Attempts) isLate(now time.Time) bool { return now.Add(minRemaining).After(a.deadline) }

// isFinal reports whether another upstream would refuse as well.
func isFinal(reason calls.Reason) bool {
	return reason == calls.ReasonQuarantined || reason == calls.ReasonTooLarge || reason == calls.ReasonCanceled
}

// isDecline reports whether the upstream's host didn't run the request because of what it serves,
// not because of its load. Another attempt is then charged neither to the attempts of the request
// nor to the budget.
func isDecline(r *calls.Refusal) bool {
	if r == nil || r.Outcome != calls.OutcomeNotRun {
		return false
	}
	switch r.Reason {
	case calls.ReasonVersion, calls.ReasonLeaving, calls.ReasonStarting, calls.ReasonNoPool:
		return true
	}
	return false
}

func refusalOfLost(unsent, late bool) *calls.Refusal {
	switch {
	case unsent:
		return calls.NotRun(calls.ReasonLost, retryAfter, "the upstream's host can't be reached")
	case late:
		return calls.Unknown(calls.ReasonDeadline, retryAfter, "the deadline has passed")
	}
	return calls.Unknown(calls.ReasonLost, retryAfter, "the connection to the upstream's host was lost")
}

// finish ends a request without a key that isn't retried. Attempts that may have run are
// settled first, unless the client has received output: the outcome is unknown then anyway.
func (a *Attempts) finish(refusal *calls.Refusal) Decision {
	if a.started {
		return done(calls.Unknown(refusal.Reason, refusal.RetryAfter, "the answer was cut: "+refusal.Detail))
	}
	if a.unsettled == 0 {
		return done(refusal)
	}
	a.lastRefusal = refusal
	return Decision{Step: StepSettle}
}

// NextSettled returns the decision after StepSettle from the state of all unsettled
// attempts. StateUnknown means that they could not be settled.
func (a *Attempts) NextSettled(now time.Time, s dedup.SettleResult) Decision {
	unknown := calls.Unknown(calls.ReasonLost, retryAfter, "the request may have run")
	if a.isLate(now) {
		unknown.Reason = calls.ReasonDeadline
	}
	if !a.hasKey {
		if s.State == dedup.StateFenced && a.unsettled > 0 {
			return done(calls.NotRun(a.lastRefusal.Reason, a.lastRefusal.RetryAfter, a.lastRefusal.Detail))
		}
		return done(calls.Unknown(a.lastRefusal.Reason, a.lastRefusal.RetryAfter, a.lastRefusal.Detail))
	}
	switch s.State {
	case dedup.StateFenced:
		if a.started {
			return done(unknown)
		}
		r := calls.NotRun(calls.ReasonLost, retryAfter, "the request did not reach the upstream and is fenced off")
		r.Token = s.Token.String()
		return done(r)
	case dedup.StateRan, dedup.StateRunning:
		if a.started || a.reconnects >= maxReconnects || a.isLate(now) {
			return done(unknown)
		}
		a.reconnects++
		return Decision{Step: StepReconnect}
	case dedup.StateMoved, dedup.StateUnknown:
		return a.followOwner(now, s.Owner, unknown)
	}
	return done(unknown)
}

func done(r *calls.Refusal) Decision { return Decision{Step: StepDone, Refusal: r} }

// Package retry decides what an entry does next for a request: try again, ask
// what became of an attempt, or give the final outcome. It does no I/O.
//
// # Requests with a key
//
// One process owns the key. The entry sends the request there, follows it to an
// earlier owner, and says "not run" only after the owner has said so: what the
// entry sent or didn't send proves nothing about earlier sendings of the key.
//
// # Requests without a key
//
// They are idempotent. The entry tries others within the retry budget and the
// deadline. "Not run" needs a proof for each attempt.
package retry

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
)

const (
	maxTries = 3
	maxHops  = 2
	maxAgain = 3
	waitTime = time.Second
	// leastTime is what a retry needs before the deadline.
	leastTime = 10 * time.Millisecond
	// marginShare is the part of a request's time that is kept for settling,
	// and mostMargin bounds it.
	marginShare = 4
	mostMargin  = time.Second
)

// Step is what to do next.
type Step int

// The steps of a request.
const (
	// StepDone ends the request with the refusal, or with the answer if there
	// is no refusal.
	StepDone Step = iota
	// StepRetry makes an attempt at another upstream.
	StepRetry
	// StepFollow makes an attempt at the owner.
	StepFollow
	// StepAgain makes another attempt at the same upstream over a new
	// connection. It joins the run in progress or gets the recorded answer.
	StepAgain
	// StepSettle asks what became of the attempts in doubt.
	StepSettle
)

// Result is how an attempt ended. The zero value is an answer.
type Result struct {
	// Refusal is set if the upstream's host refused.
	Refusal *calls.Refusal
	// Owner is set if the refusal names another owner of the key.
	Owner dedup.Owner
	// Lost tells that the attempt ended without an answer or a refusal.
	Lost bool
	// Unsent proves that a lost attempt did not leave the entry.
	Unsent bool
	// Begun tells that the caller has seen a part of the answer.
	Begun bool
	// Canceled tells that the caller has gone.
	Canceled bool
}

// Next is a step and what it needs.
type Next struct {
	Step    Step
	Refusal *calls.Refusal
	Owner   dedup.Owner
}

// Course is the state of one request at an entry. It isn't safe for concurrent
// use.
type Course struct {
	keyed    bool
	deadline time.Time
	// patience is when an attempt that has not begun is given up so that there
	// is time left to settle it.
	patience time.Time
	// spend takes a retry from the budget of the entry.
	spend func() bool
	tries int
	hops  int
	again int
	// doubts is the number of attempts that may have run.
	doubts int
	begun  bool
	last   *calls.Refusal
}

// NewCourse returns the state of a request that has not been tried.
func NewCourse(now time.Time, request calls.Request, spend func() bool) *Course {
	c := &Course{keyed: request.Key != "", deadline: request.Deadline, patience: request.Deadline, spend: spend}
	if c.keyed {
		c.patience = request.Deadline.Add(-min(request.Deadline.Sub(now)/marginShare, mostMargin))
	}
	return c
}

// Patience returns when to give up the next attempt if the caller has not seen a
// part of the answer by then.
func (c *Course) Patience() time.Time {
	if c.again > 0 {
		return c.deadline
	}
	return c.patience
}

// Unplaced decides what to do if there is no upstream for an attempt.
func (c *Course) Unplaced() Next {
	if c.keyed {
		return done(calls.Unknown(calls.ReasonOwner, waitTime, "the owner of the key can't be reached"))
	}
	if c.last == nil {
		return done(calls.NotRun(calls.ReasonNoUpstream, waitTime, "no upstream is ready"))
	}
	return c.giveUp(c.last)
}

// After decides what follows an attempt.
func (c *Course) After(now time.Time, r Result) Next {
	c.tries++
	c.begun = c.begun || r.Begun
	switch {
	case r.Refusal == nil && !r.Lost:
		return Next{Step: StepDone}
	case r.Canceled:
		return done(calls.Unknown(calls.ReasonCanceled, 0, "the caller has gone"))
	case c.keyed:
		return c.afterKeyed(now, r)
	}
	return c.afterTry(now, r)
}

func (c *Course) afterKeyed(now time.Time, r Result) Next {
	if r.Lost && c.again > 0 && c.isLate(now) {
		return done(calls.Unknown(calls.ReasonDeadline, waitTime, "the request has started and its answer did not come"))
	}
	if r.Lost {
		return Next{Step: StepSettle}
	}
	return c.follow(now, r.Owner, r.Refusal)
}

func (c *Course) follow(now time.Time, owner dedup.Owner, refusal *calls.Refusal) Next {
	if owner.Host == "" || c.hops >= maxHops || c.begun || c.isLate(now) {
		return done(refusal)
	}
	c.hops++
	return Next{Step: StepFollow, Owner: owner}
}

func (c *Course) afterTry(now time.Time, r Result) Next {
	refusal := r.Refusal
	if refusal == nil {
		refusal = lostRefusal(r.Unsent, c.isLate(now))
	}
	if refusal.Outcome != calls.OutcomeNotRun {
		c.doubts++
	}
	c.last = refusal
	if c.begun || isFinal(refusal.Reason) || c.tries >= maxTries || c.isLate(now) || !isFree(refusal.Reason) && !c.spend() {
		return c.giveUp(refusal)
	}
	return Next{Step: StepRetry}
}

// isLate reports whether there is no time for another attempt.
func (c *Course) isLate(now time.Time) bool { return now.Add(leastTime).After(c.deadline) }

// isFinal reports whether another upstream would refuse as well.
func isFinal(reason calls.Reason) bool {
	return reason == calls.ReasonQuarantined || reason == calls.ReasonTooLarge || reason == calls.ReasonCanceled
}

// isFree reports whether a retry spares the budget: the upstream's host refused
// because of what it serves, not because of its load.
func isFree(reason calls.Reason) bool {
	switch reason {
	case calls.ReasonVersion, calls.ReasonLeaving, calls.ReasonStarting, calls.ReasonNoPool:
		return true
	}
	return false
}

func lostRefusal(unsent, late bool) *calls.Refusal {
	switch {
	case unsent:
		return calls.NotRun(calls.ReasonLost, waitTime, "the upstream's host can't be reached")
	case late:
		return calls.Unknown(calls.ReasonDeadline, waitTime, "the deadline has passed")
	}
	return calls.Unknown(calls.ReasonLost, waitTime, "the connection to the upstream's host was lost")
}

// giveUp ends a request without a key.
func (c *Course) giveUp(refusal *calls.Refusal) Next {
	if c.begun {
		return done(calls.Unknown(refusal.Reason, refusal.RetryAfter, "the answer was cut: "+refusal.Detail))
	}
	if c.doubts == 0 {
		return done(refusal)
	}
	c.last = refusal
	return Next{Step: StepSettle}
}

// Settled decides what follows from the state of all attempts in doubt. A state
// of StateUnknown tells that they can't be settled.
func (c *Course) Settled(now time.Time, s dedup.SettleResult) Next {
	unknown := calls.Unknown(calls.ReasonLost, waitTime, "the request may have run")
	if c.isLate(now) {
		unknown.Reason = calls.ReasonDeadline
	}
	if !c.keyed {
		if s.State == dedup.StateFenced && c.doubts > 0 {
			return done(calls.NotRun(c.last.Reason, c.last.RetryAfter, c.last.Detail))
		}
		return done(calls.Unknown(c.last.Reason, c.last.RetryAfter, c.last.Detail))
	}
	switch s.State {
	case dedup.StateFenced:
		if c.begun {
			return done(unknown)
		}
		r := calls.NotRun(calls.ReasonLost, waitTime, "the request did not reach the upstream and is fenced off")
		r.Token = s.Token.String()
		return done(r)
	case dedup.StateRan, dedup.StateRunning:
		if c.begun || c.again >= maxAgain || c.isLate(now) {
			return done(unknown)
		}
		c.again++
		return Next{Step: StepAgain}
	case dedup.StateMoved, dedup.StateUnknown:
		return c.follow(now, s.Owner, unknown)
	}
	return done(unknown)
}

func done(r *calls.Refusal) Next { return Next{Step: StepDone, Refusal: r} }

// Package orders decides when an agent gives its engine an order, and with which
// fencing number.
//
// # Fences
//
// A Fence holds the revision of the pools table by which the order was decided,
// and below it a count. It so grows across restarts of agents without a stored
// counter, and an agent that still believes in an older table can't go above an
// order of a newer one, however late it wakes: it has to catch up first. Two
// agents of one host with the same table want the same.
//
// # Engines that ignore fences
//
// There an order is given only right after a reading of the engine, with no
// pause of the process since, and after a pause only once the table has been
// confirmed by another process. What the engine serves is read back. If it then
// serves what somebody else ordered, the agent whose table is older gives way;
// where the engine doesn't report a fence, the one whose table isn't confirmed.
package orders

import (
	"time"

	"currantport.example/core/engine"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

const (
	countBits   = 24
	maxRevision = 1<<(64-countBits) - 1
)

const (
	// PauseThreshold is the time without a decision after which a process counts as
	// paused.
	PauseThreshold = 2 * time.Second
	// MaxObservationAge is how old a reading may be at a decision.
	MaxObservationAge = time.Second
	// ConfirmationTimeout bounds the wait for a confirmation of the table after a pause.
	ConfirmationTimeout = 10 * time.Second
	// LoadTimeout is how long an engine may take to carry out an order.
	LoadTimeout = 10 * time.Minute

	foreignWait = time.Second
	failedWait  = time.Second
	mostWait    = 30 * time.Second
	mostDoubles = 5
)

// FenceOf returns the lowest fence of a revision.
func FenceOf(r tables.Revision) engine.Fence {
	return engine.Fence(min(r, maxRevision)) << countBits
}

// RevisionOf returns the revision of a fence.
func RevisionOf(f engine.Fence) tables.Revision { return tables.Revision(f >> countBits) }

// Desired is what the tables in force want an engine to serve.
type Desired struct {
	// Revision is that of the pools table.
	Revision tables.Revision
	Model    string
	Target   turns.Target
}

// DesiredOf returns the wish of a pool row.
func DesiredOf(p tables.Pool, revision tables.Revision) Desired {
	return Desired{Revision: revision, Model: p.Model, Target: turns.TargetOf(p)}
}

// Matches reports whether both want the same, whatever their revisions.
func (w Desired) Matches(o Desired) bool {
	w.Revision = o.Revision
	return w == o
}

// IsServed reports whether an engine serves what is wanted.
func (w Desired) IsServed(s engine.State) bool {
	return !s.Loading && s.Model == w.Model && ServedTarget(s) == w.Target
}

// ServedTarget returns what an engine serves. Its manifest is zero for nothing.
func ServedTarget(s engine.State) turns.Target {
	if s.Loading || s.Manifest.IsZero() {
		return turns.Target{}
	}
	return turns.Target{Version: s.Version, Manifest: s.Manifest, Base: s.Base, Role: s.Role}
}

// Observation is what an engine reported.
type Observation struct {
	State engine.State
	// RequestedAt is when the question was sent, Came when the answer arrived.
	RequestedAt time.Time
	ReceivedAt  time.Time
}

// Input is what a decision depends on.
type Input struct {
	Desired     Desired
	Observation Observation
	// ConfirmedAt is when another process last confirmed the tables in force.
	ConfirmedAt time.Time
	Now         time.Time
}

// Kind is what to do next.
type Kind string

// The kinds of decision.
const (
	// KindDone means that the engine serves what is wanted.
	KindDone Kind = "rest"
	// KindRead means to read the engine anew and decide again.
	KindRead Kind = "read"
	// KindWait means to decide again later.
	KindWait Kind = "wait"
	// KindLoad means to give the order with the fence.
	KindLoad Kind = "load"
)

// Decision is what to do next and why.
type Decision struct {
	Kind  Kind
	Fence engine.Fence
	Cause string
}

// Planner decides about the orders to one engine. It does no I/O and isn't safe for
// use by several goroutines.
type Planner struct {
	// beat is when the desk was used last.
	beat time.Time
	// woken is when the last pause was noticed. Zero means that there was none.
	woken time.Time
	// start is the run of the engine that was seen last.
	start string
	// wish is the one of the last decision.
	wish Desired
	// given is the last order of this desk; its fence is zero before the first.
	given given
	// seen is the order in progress at the engine that was noticed last.
	seen     engine.Fence
	seenAt   time.Time
	failures int
	// back is the earliest time of the next order.
	back time.Time
	// served tells that the last wish was once seen served by this run of the
	// engine, foreign when it was first seen not to be served any more.
	served  Desired
	foreign time.Time
}

type given struct {
	wish  Desired
	fence engine.Fence
}

// RecordHeartbeat tells the desk that the process runs. It is called at least every
// PauseLimit.
func (d *Planner) RecordHeartbeat(now time.Time) {
	if !d.beat.IsZero() && gap(d.beat, now) > PauseThreshold {
		d.woken = now
	}
	d.beat = now
}

// gap returns the time between two readings of the clock by whichever of the
// monotonic and the wall clock shows more.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Decide returns what to do.
func (d *Planner) Decide(in Input) Decision {
	d.RecordHeartbeat(in.Now)
	s := in.Observation.State
	if in.Observation.ReceivedAt.Before(d.woken) || gap(in.Observation.RequestedAt, in.Now) > MaxObservationAge {
		return Decision{Kind: KindRead, Cause: "the reading is old"}
	}
	d.notice(in)
	if in.Desired.IsServed(s) {
		d.served, d.foreign, d.failures, d.back = in.Desired, time.Time{}, 0, time.Time{}
		return Decision{Kind: KindDone}
	}
	if cause := d.waits(in); cause != "" {
		return Decision{Kind: KindWait, Cause: cause}
	}
	return Decision{Kind: KindLoad, Fence: max(FenceOf(in.Desired.Revision), s.Fence+1, d.given.fence+1)}
}

// notice takes a new run of the engine and orders of others into account.
func (d *Planner) notice(in Input) {
	s := in.Observation.State
	if s.StartID != d.start {
		d.start, d.failures, d.back, d.served, d.foreign = s.StartID, 0, time.Time{}, Desired{}, time.Time{}
	}
	if !d.wish.Matches(in.Desired) {
		d.failures, d.back, d.served, d.foreign = 0, time.Time{}, Desired{}, time.Time{}
	}
	d.wish = in.Desired
	if d.served != (Desired{}) && d.foreign.IsZero() && !in.Desired.IsServed(s) {
		d.foreign = in.Now
		d.back = in.Now.Add(foreignWait)
	}
	if s.Loading && (d.seen != s.Fence || d.seenAt.IsZero()) {
		d.seen, d.seenAt = s.Fence, in.Now
	}
	if !s.Loading {
		d.seenAt = time.Time{}
	}
}

// waits returns why no order may be given now, or nothing.
func (d *Planner) waits(in Input) string {
	s := in.Observation.State
	switch {
	case RevisionOf(s.Fence) > min(in.Desired.Revision, maxRevision):
		return "the engine has an order of a newer table"
	case d.isBehind(in):
		return "the table isn't confirmed since the pause"
	case s.Loading && d.isOwn(in) && in.Now.Sub(d.seenAt) < LoadTimeout:
		return "the engine carries the order out"
	case d.isContested(in):
		return "another agent orders with a table that may be newer"
	case in.Now.Before(d.back):
		return "the last order failed"
	}
	return ""
}

func (d *Planner) isBehind(in Input) bool {
	return !d.woken.IsZero() && in.ConfirmedAt.Before(d.woken) && in.Now.Sub(d.woken) < ConfirmationTimeout
}

// isOwn reports whether the order in progress is one for the wish.
func (d *Planner) isOwn(in Input) bool {
	f := in.Observation.State.Fence
	if f == d.given.fence || f == 0 {
		return d.given.wish.Matches(in.Desired)
	}
	return RevisionOf(f) == min(in.Desired.Revision, maxRevision)
}

// isContested reports whether the engine has left the wish without an order of
// this desk, and nothing proves that this desk's table is the newer one.
func (d *Planner) isContested(in Input) bool {
	if d.foreign.IsZero() || in.Observation.State.Loading {
		return false
	}
	f := in.Observation.State.Fence
	if f != 0 && RevisionOf(f) < in.Desired.Revision {
		return false
	}
	return in.ConfirmedAt.Before(d.foreign)
}

// RecordOrder records that the order is about to be given.
func (d *Planner) RecordOrder(w Desired, f engine.Fence) { d.given = given{wish: w, fence: f} }

// RecordFailure records that the last order had no effect. Refused tells that the engine
// has taken a newer one.
func (d *Planner) RecordFailure(refused bool, now time.Time) {
	if refused {
		d.back = now.Add(foreignWait)
		return
	}
	d.back = now.Add(min(failedWait<<min(d.failures, mostDoubles), mostWait))
	d.failures++
}

// Failures returns how many orders in a row had no effect.
func (d *Planner) Failures() int { return d.failures }

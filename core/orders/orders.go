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
	// PauseLimit is the time without a decision after which a process counts as
	// paused.
	PauseLimit = 2 * time.Second
	// FreshLimit is how old a reading may be at a decision.
	FreshLimit = time.Second
	// CatchUpLimit bounds the wait for a confirmation of the table after a pause.
	CatchUpLimit = 10 * time.Second
	// LoadLimit is how long an engine may take to carry out an order.
	LoadLimit = 10 * time.Minute

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

// Wish is what the tables in force want an engine to serve.
type Wish struct {
	// Revision is that of the pools table.
	Revision tables.Revision
	Model    string
	Target   turns.Target
}

// WishOf returns the wish of a pool row.
func WishOf(p tables.Pool, revision tables.Revision) Wish {
	return Wish{Revision: revision, Model: p.Model, Target: turns.TargetOf(p)}
}

// IsSame reports whether both want the same, whatever their revisions.
func (w Wish) IsSame(o Wish) bool {
	w.Revision = o.Revision
	return w == o
}

// IsServed reports whether an engine serves what is wanted.
func (w Wish) IsServed(s engine.State) bool {
	return !s.Loading && s.Model == w.Model && ServedBy(s) == w.Target
}

// ServedBy returns what an engine serves. Its manifest is zero for nothing.
func ServedBy(s engine.State) turns.Target {
	if s.Loading || s.Manifest.IsZero() {
		return turns.Target{}
	}
	return turns.Target{Version: s.Version, Manifest: s.Manifest, Base: s.Base, Role: s.Role}
}

// Reading is what an engine reported.
type Reading struct {
	State engine.State
	// Asked is when the question was sent, Came when the answer arrived.
	Asked time.Time
	Came  time.Time
}

// Input is what a decision depends on.
type Input struct {
	Wish    Wish
	Reading Reading
	// Confirmed is when another process last confirmed the tables in force.
	Confirmed time.Time
	Now       time.Time
}

// Kind is what to do next.
type Kind string

// The kinds of decision.
const (
	// KindRest means that the engine serves what is wanted.
	KindRest Kind = "rest"
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

// Desk decides about the orders to one engine. It does no I/O and isn't safe for
// use by several goroutines.
type Desk struct {
	// beat is when the desk was used last.
	beat time.Time
	// woken is when the last pause was noticed. Zero means that there was none.
	woken time.Time
	// start is the run of the engine that was seen last.
	start string
	// wish is the one of the last decision.
	wish Wish
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
	served  Wish
	foreign time.Time
}

type given struct {
	wish  Wish
	fence engine.Fence
}

// Beat tells the desk that the process runs. It is called at least every
// PauseLimit.
func (d *Desk) Beat(now time.Time) {
	if !d.beat.IsZero() && gap(d.beat, now) > PauseLimit {
		d.woken = now
	}
	d.beat = now
}

// gap returns the time between two readings of the clock by whichever of the
// monotonic and the wall clock shows more.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Next returns what to do.
func (d *Desk) Next(in Input) Decision {
	d.Beat(in.Now)
	s := in.Reading.State
	if in.Reading.Came.Before(d.woken) || gap(in.Reading.Asked, in.Now) > FreshLimit {
		return Decision{Kind: KindRead, Cause: "the reading is old"}
	}
	d.notice(in)
	if in.Wish.IsServed(s) {
		d.served, d.foreign, d.failures, d.back = in.Wish, time.Time{}, 0, time.Time{}
		return Decision{Kind: KindRest}
	}
	if cause := d.waits(in); cause != "" {
		return Decision{Kind: KindWait, Cause: cause}
	}
	return Decision{Kind: KindLoad, Fence: max(FenceOf(in.Wish.Revision), s.Fence+1, d.given.fence+1)}
}

// notice takes a new run of the engine and orders of others into account.
func (d *Desk) notice(in Input) {
	s := in.Reading.State
	if s.StartID != d.start {
		d.start, d.failures, d.back, d.served, d.foreign = s.StartID, 0, time.Time{}, Wish{}, time.Time{}
	}
	if !d.wish.IsSame(in.Wish) {
		d.failures, d.back, d.served, d.foreign = 0, time.Time{}, Wish{}, time.Time{}
	}
	d.wish = in.Wish
	if d.served != (Wish{}) && d.foreign.IsZero() && !in.Wish.IsServed(s) {
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
func (d *Desk) waits(in Input) string {
	s := in.Reading.State
	switch {
	case RevisionOf(s.Fence) > min(in.Wish.Revision, maxRevision):
		return "the engine has an order of a newer table"
	case d.isBehind(in):
		return "the table isn't confirmed since the pause"
	case s.Loading && d.isOwn(in) && in.Now.Sub(d.seenAt) < LoadLimit:
		return "the engine carries the order out"
	case d.isContested(in):
		return "another agent orders with a table that may be newer"
	case in.Now.Before(d.back):
		return "the last order failed"
	}
	return ""
}

func (d *Desk) isBehind(in Input) bool {
	return !d.woken.IsZero() && in.Confirmed.Before(d.woken) && in.Now.Sub(d.woken) < CatchUpLimit
}

// isOwn reports whether the order in progress is one for the wish.
func (d *Desk) isOwn(in Input) bool {
	f := in.Reading.State.Fence
	if f == d.given.fence || f == 0 {
		return d.given.wish.IsSame(in.Wish)
	}
	return RevisionOf(f) == min(in.Wish.Revision, maxRevision)
}

// isContested reports whether the engine has left the wish without an order of
// this desk, and nothing proves that this desk's table is the newer one.
func (d *Desk) isContested(in Input) bool {
	if d.foreign.IsZero() || in.Reading.State.Loading {
		return false
	}
	f := in.Reading.State.Fence
	if f != 0 && RevisionOf(f) < in.Wish.Revision {
		return false
	}
	return in.Confirmed.Before(d.foreign)
}

// Give records that the order is about to be given.
func (d *Desk) Give(w Wish, f engine.Fence) { d.given = given{wish: w, fence: f} }

// Fail records that the last order had no effect. Refused tells that the engine
// has taken a newer one.
func (d *Desk) Fail(refused bool, now time.Time) {
	if refused {
		d.back = now.Add(foreignWait)
		return
	}
	d.back = now.Add(min(failedWait<<min(d.failures, mostDoubles), mostWait))
	d.failures++
}

// Failures returns how many orders in a row had no effect.
func (d *Desk) Failures() int { return d.failures }

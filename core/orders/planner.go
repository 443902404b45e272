// Package orders decides when an agent sends its engine a load order, and with which
// fencing token.
//
// # Fences
//
// A fence holds the revision of the pools table on which the order is based in its
// high bits and a counter in its low bits. It therefore grows across restarts of
// agents without a stored counter, and an agent with an older table can't exceed an
// order of a newer one, however late it resumes: it has to catch up first. Two agents
// of one host with the same table want the same version.
//
// # Engines that ignore fences
//
// Such an engine gets an order only right after its state was observed, with no pause
// of the process in between, and after a pause only once another process has
// confirmed that the table is current, or didn't within ConfirmationTimeout. The state
// is read back after the order. If the engine then serves what another agent ordered,
// the agent with the older table gives way; if the engine doesn't report fences, the
// agent whose table isn't confirmed does.
package orders

import (
	"time"

	"currantport.example/core/engine"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

const (
	// countBits is the size of the counter in a fence; the revision takes the rest.
	countBits   = 24
	maxRevision = 1<<(64-countBits) - 1
)

const (
	// PauseThreshold is the time without a heartbeat after which the process counts as
	// having been paused.
	PauseThreshold = 2 * time.Second
	// MaxObservationAge is the maximum age of the observation that a decision is
	// based on.
	MaxObservationAge = time.Second
	// ConfirmationTimeout bounds the wait for a confirmation of the table after a
	// pause. An agent that reaches no other process goes on without.
	ConfirmationTimeout = 10 * time.Second
	// LoadTimeout bounds the time that an engine takes to load what was ordered.
	LoadTimeout = 10 * time.Minute

	// overrideBackoff is the delay after another agent's order was noticed.
	overrideBackoff   = time.Second
	minFailureBackoff = time.Second
	maxFailureBackoff = 30 * time.Second
	maxDoublings      = 5
)

// FenceOf returns the lowest fence of a revision.
func FenceOf(r tables.Revision) engine.Fence {
	return engine.Fence(min(r, maxRevision)) << countBits
}

// RevisionOf returns the revision of the pools table that a fence was made for.
func RevisionOf(f engine.Fence) tables.Revision { return tables.Revision(f >> countBits) }

// Desired is what an engine should serve according to the active tables.
type Desired struct {
	// Revision is that of the pools table.
	Revision tables.Revision
	Model    string
	Target   turns.Target
}

// DesiredOf returns what a pool row wants its engines to serve.
func DesiredOf(p tables.Pool, revision tables.Revision) Desired {
	return Desired{Revision: revision, Model: p.Model, Target: turns.TargetOf(p)}
}

// Matches reports whether both want the same model and target, whatever their
// revisions.
func (d Desired) Matches(o Desired) bool {
	d.Revision = o.Revision
	return d == o
}

// IsServed reports whether an engine in the given state serves the desired target.
func (d Desired) IsServed(s engine.State) bool {
	return !s.Loading && s.Model == d.Model && ServedTarget(s) == d.Target
}

// ServedTarget returns what an engine serves. The target is zero if it serves nothing.
func ServedTarget(s engine.State) turns.Target {
	if s.Loading || s.Manifest.IsZero() {
		return turns.Target{}
	}
	return turns.Target{Version: s.Version, Manifest: s.Manifest, Base: s.Base, Role: s.Role}
}

// Observation is the state that an engine reported.
type Observation struct {
	State engine.State
	// RequestedAt is when the request was sent, ReceivedAt when the response arrived.
	RequestedAt time.Time
	ReceivedAt  time.Time
}

// Input is what a decision is based on.
type Input struct {
	Desired     Desired
	Observation Observation
	// ConfirmedAt is when another process last confirmed that the active tables are
	// current.
	ConfirmedAt time.Time
	Now         time.Time
}

// Kind is what to do next.
type Kind string

// The kinds of decision.
const (
	// KindDone means that the engine serves the desired target.
	KindDone Kind = "rest"
	// KindRead means to read the engine's state again and then decide again.
	KindRead Kind = "read"
	// KindWait means to decide again later.
	KindWait Kind = "wait"
	// KindLoad means to send the order with the fence of the decision.
	KindLoad Kind = "load"
)

// Decision is what to do next and why.
type Decision struct {
	Kind Kind
	// Fence is set for KindLoad only.
	Fence engine.Fence
	// Cause is why to read or wait, as text for operators.
	Cause string
}

// Planner decides about the orders to one engine. It does no I/O and isn't safe for
// concurrent use. The zero value is ready for use.
type Planner struct {
	// lastHeartbeat is when RecordHeartbeat or Decide was called last.
	lastHeartbeat time.Time
	// resumedAt is when the end of the last pause was noticed. Zero means that there
	// was no pause.
	resumedAt time.Time
	// startID is that of the last observed process of the engine.
	startID string
	// desired is that of the last decision.
	desired Desired
	// lastOrder is the last order of this planner; its fence is zero before the first.
	lastOrder issuedOrder
	// loadingFence is the fence of the load in progress at the engine, loadingSince when
	// it was first observed. loadingSince is zero if the engine isn't loading.
	loadingFence engine.Fence
	loadingSince time.Time
	failures     int
	// retryAt is the earliest time of the next order.
	retryAt time.Time
	// served is the desired target if this process of the engine has been observed to
	// serve it, overriddenAt when it was first observed not to serve it any more.
	served       Desired
	overriddenAt time.Time
}

type issuedOrder struct {
	desired Desired
	fence   engine.Fence
}

// RecordHeartbeat records that the process is running. If it isn't called within
// PauseThreshold, the process counts as paused.
func (p *Planner) RecordHeartbeat(now time.Time) {
	if !p.lastHeartbeat.IsZero() && elapsed(p.lastHeartbeat, now) > PauseThreshold {
		p.resumedAt = now
	}
	p.lastHeartbeat = now
}

// elapsed returns the time between two readings of the clock: the longer of the
// monotonic and the wall clock's, as the monotonic clock may stop while the machine
// is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Decide returns what to do next.
func (p *Planner) Decide(in Input) Decision {
	p.RecordHeartbeat(in.Now)
	s := in.Observation.State
	if in.Observation.ReceivedAt.Before(p.resumedAt) || elapsed(in.Observation.RequestedAt, in.Now) > MaxObservationAge {
		return Decision{Kind: KindRead, Cause: "the reading is old"}
	}
	p.observe(in)
	if in.Desired.IsServed(s) {
		p.served, p.overriddenAt, p.failures, p.retryAt = in.Desired, time.Time{}, 0, time.Time{}
		return Decision{Kind: KindDone}
	}
	if cause := p.waitCause(in); cause != "" {
		return Decision{Kind: KindWait, Cause: cause}
	}
	return Decision{Kind: KindLoad, Fence: max(FenceOf(in.Desired.Revision), s.Fence+1, p.lastOrder.fence+1)}
}

// observe resets what is known after a restart of the engine or a change of the
// desired target, and notices orders of other agents.
func (p *Planner) observe(in Input) {
	s := in.Observation.State
	if s.StartID != p.startID {
		p.startID, p.failures, p.retryAt, p.served, p.overriddenAt = s.StartID, 0, time.Time{}, Desired{}, time.Time{}
	}
	if !p.desired.Matches(in.Desired) {
		p.failures, p.retryAt, p.served, p.overriddenAt = 0, time.Time{}, Desired{}, time.Time{}
	}
	p.desired = in.Desired
	if p.served != (Desired{}) && p.overriddenAt.IsZero() && !in.Desired.IsServed(s) {
		p.overriddenAt = in.Now
		p.retryAt = in.Now.Add(overrideBackoff)
	}
	if s.Loading && (p.loadingFence != s.Fence || p.loadingSince.IsZero()) {
		p.loadingFence, p.loadingSince = s.Fence, in.Now
	}
	if !s.Loading {
		p.loadingSince = time.Time{}
	}
}

// waitCause returns why no order may be sent now, or nothing.
func (p *Planner) waitCause(in Input) string {
	s := in.Observation.State
	switch {
	case RevisionOf(s.Fence) > min(in.Desired.Revision, maxRevision):
		return "the engine has an order of a newer table"
	case p.needsConfirmation(in):
		return "the table isn't confirmed since the pause"
	case s.Loading && p.isLoadingDesired(in) && in.Now.Sub(p.loadingSince) < LoadTimeout:
		return "the engine carries the order out"
	case p.isContested(in):
		return "another agent orders with a table that may be newer"
	case in.Now.Before(p.retryAt):
		return "the last order failed"
	}
	return ""
}

func (p *Planner) needsConfirmation(in Input) bool {
	return !p.resumedAt.IsZero() && in.ConfirmedAt.Before(p.resumedAt) && in.Now.Sub(p.resumedAt) < ConfirmationTimeout
}

// isLoadingDesired reports whether the load in progress is for the desired target.
func (p *Planner) isLoadingDesired(in Input) bool {
	f := in.Observation.State.Fence
	if f == p.lastOrder.fence || f == 0 {
		return p.lastOrder.desired.Matches(in.Desired)
	}
	return RevisionOf(f) == min(in.Desired.Revision, maxRevision)
}

// isContested reports whether the engine has stopped serving the desired target
// without an order of this planner, and nothing proves that this agent's table is the
// newer one.
func (p *Planner) isContested(in Input) bool {
	if p.overriddenAt.IsZero() || in.Observation.State.Loading {
		return false
	}
	f := in.Observation.State.Fence
	if f != 0 && RevisionOf(f) < in.Desired.Revision {
		return false
	}
	return in.ConfirmedAt.Before(p.overriddenAt)
}

// RecordOrder records that the order is about to be sent.
func (p *Planner) RecordOrder(desired Desired, f engine.Fence) {
	p.lastOrder = issuedOrder{desired: desired, fence: f}
}

// RecordFailure records that the last order failed. Refused means that the engine has
// accepted a newer one.
func (p *Planner) RecordFailure(refused bool, now time.Time) {
	if refused {
		p.retryAt = now.Add(overrideBackoff)
		return
	}
	p.retryAt = now.Add(min(minFailureBackoff<<min(p.failures, maxDoublings), maxFailureBackoff))
	p.failures++
}

// Failures returns the number of consecutive failed orders.
func (p *Planner) Failures() int { return p.failures }

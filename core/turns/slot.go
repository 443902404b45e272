package turns

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// SilenceTimeout is how long a host may fail to respond before it is skipped.
	SilenceTimeout = 10 * time.Second
	// FetchTimeout is how long a slot waits for predecessors that haven't fetched the
	// version yet.
	FetchTimeout = 5 * time.Second
	// FailureTimeout is how long a slot waits for a predecessor whose load fails, once
	// some host serves the version. Before that it waits without limit, so that a
	// version that no engine can load stops there. At most one predecessor is skipped
	// for a failed load.
	FailureTimeout = 30 * time.Second
	// ReadyDelay is how long a host must have served the version before the next one
	// stops serving, so that entries have observed the first one as ready.
	ReadyDelay = time.Second
	// maxViewAge is the maximum age of a response that a claim relies on.
	maxViewAge = 2 * time.Second
	// minMisses is how many consecutive queries a host must have missed to count as
	// silent.
	minMisses = 3
)

// Action is what a host does next about its slot.
type Action string

// The actions.
const (
	// ActionWait means to query other hosts and decide again.
	ActionWait Action = "wait"
	// ActionClaim means to publish the claim, then to query other hosts and decide
	// again.
	ActionClaim Action = "claim"
	// ActionYield means to withdraw the claim.
	ActionYield Action = "yield"
	// ActionReload means that the host may stop serving and reload.
	ActionReload Action = "go"
)

// Decision is an action and the reason for it.
type Decision struct {
	Action Action
	// Host is the host that is waited for or yielded to, if any.
	Host hosts.Name
	// Cause is why, as text for operators.
	Cause string
}

// observation is what is known about another host.
type observation struct {
	view View
	// queriedAt is when the query of the last response was sent. Zero means that the
	// host has never responded.
	queriedAt time.Time
	// firstMissAt is when the first unanswered query since then was sent, misses how
	// many there were.
	firstMissAt time.Time
	misses      int
	// phaseSince is when the host was first observed in its phase.
	phaseSince time.Time
	// servingSince is when the host was first observed to serve the target.
	servingSince time.Time
}

// Slot decides when one host may reload. The caller sends the queries that
// NextQueries names, records their results and then calls Decide. It does no I/O and
// isn't safe for concurrent use.
type Slot struct {
	target       Target
	predecessors []hosts.Name
	successors   []hosts.Name
	// otherChains are the hosts of other chains, which may serve the target already.
	otherChains  []hosts.Name
	start        time.Time
	observations map[hosts.Name]*observation
	// claimedAt is when the claim was made. Zero means that there is none.
	claimedAt time.Time
	// rival is the host to which the last claim yielded, until it is observed neither
	// claiming nor reloading.
	rival hosts.Name
	// isTargetServed means that some host has been observed to serve the target.
	isTargetServed bool
	// queryRounds counts the calls of NextQueries. It selects the next host of the
	// chain and of the other chains.
	queryRounds int
}

// NewSlot returns the slot of a host that holds all chunks of the target. Order is
// that of Order, width that of Width.
func NewSlot(target Target, order []hosts.Name, self hosts.Name, width int, now time.Time) *Slot {
	s := &Slot{target: target, start: now, observations: make(map[hosts.Name]*observation)}
	s.predecessors, s.successors = Chain(order, self, width)
	for _, n := range order {
		if n != self && !slices.Contains(s.predecessors, n) && !slices.Contains(s.successors, n) {
			s.otherChains = append(s.otherChains, n)
		}
	}
	return s
}

// Record records the response of a host to a query that was sent at the given time.
func (s *Slot) Record(name hosts.Name, v View, sentAt time.Time) {
	o := s.observationOf(name)
	if o.queriedAt.IsZero() || o.view.Phase != v.Phase {
		o.phaseSince = sentAt
	}
	if v.Serves == s.target && o.view.Serves != s.target {
		o.servingSince = sentAt
	}
	o.view, o.queriedAt, o.firstMissAt, o.misses = v, sentAt, time.Time{}, 0
	s.isTargetServed = s.isTargetServed || v.Serves == s.target
}

// RecordMiss records that a query that was sent at the given time failed.
func (s *Slot) RecordMiss(name hosts.Name, sentAt time.Time) {
	o := s.observationOf(name)
	if o.firstMissAt.IsZero() {
		o.firstMissAt = sentAt
	}
	o.misses++
}

// RecordRemoval records that the platform no longer lists the host, or lists it as
// leaving. It counts as silent at once.
func (s *Slot) RecordRemoval(name hosts.Name) {
	o := s.observationOf(name)
	o.firstMissAt, o.misses = time.Unix(0, 0), minMisses
}

// NextQueries returns the hosts to query before the next decision. Besides those that
// the decision depends on, it includes one host of the chain after the other, so that
// a silent host is known by the time of a claim. With a claim it returns the whole
// chain.
func (s *Slot) NextQueries(now time.Time) []hosts.Name {
	chain := slices.Concat(s.predecessors, s.successors)
	if !s.claimedAt.IsZero() || len(chain) == 0 {
		return chain
	}
	d, skipped := s.checkPredecessors(now)
	names := []hosts.Name{chain[s.queryRounds%len(chain)]}
	names = append(names, skipped...)
	if s.rival != "" {
		names = append(names, s.rival)
	}
	if d.Host != "" {
		names = append(names, d.Host)
	}
	if !s.isTargetServed && len(s.otherChains) > 0 && d.Host != "" && s.observationOf(d.Host).view.Phase == PhaseFailed {
		names = append(names, s.otherChains[s.queryRounds%len(s.otherChains)])
	}
	s.queryRounds++
	slices.Sort(names)
	return slices.Compact(names)
}

// Decide returns what the host does now.
func (s *Slot) Decide(now time.Time) Decision {
	d, _ := s.checkPredecessors(now)
	if s.claimedAt.IsZero() {
		if d.Action == ActionReload && s.hasRival(now) {
			return Decision{Action: ActionWait, Host: s.rival, Cause: "another host of the chain reloads"}
		}
		if d.Action == ActionReload {
			s.claimedAt = now
			d.Action = ActionClaim
		}
		return d
	}
	if d.Action != ActionReload {
		return s.yield(d)
	}
	return s.checkClaim(now)
}

// checkClaim decides about a claim by what the chain reported after it was made.
func (s *Slot) checkClaim(now time.Time) Decision {
	decision := Decision{Action: ActionReload}
	for _, n := range slices.Concat(s.predecessors, s.successors) {
		o := s.observationOf(n)
		isSuccessor := slices.Contains(s.successors, n)
		switch {
		case s.isSilent(o, now):
		case o.queriedAt.Before(s.claimedAt) || now.Sub(o.queriedAt) > maxViewAge:
			decision = Decision{Action: ActionWait, Host: n, Cause: "asked after the claim"}
		case o.view.Phase == PhaseReload, o.view.Phase == PhaseClaim && !isSuccessor:
			return s.yield(Decision{Host: n, Cause: "another host of the chain reloads"})
		case o.view.Phase == PhaseClaim:
			decision = Decision{Action: ActionWait, Host: n, Cause: "a later host claims"}
		}
	}
	return decision
}

func (s *Slot) yield(d Decision) Decision {
	s.claimedAt = time.Time{}
	s.rival = d.Host
	d.Action = ActionYield
	return d
}

// hasRival reports whether the host to which the last claim yielded still claims or
// reloads. Without this, two hosts that claim in lockstep would block each other
// forever.
func (s *Slot) hasRival(now time.Time) bool {
	if s.rival == "" {
		return false
	}
	o := s.observationOf(s.rival)
	if s.isSilent(o, now) || o.view.Phase != PhaseClaim && o.view.Phase != PhaseReload {
		s.rival = ""
	}
	return s.rival != ""
}

// checkPredecessors decides by the nearest predecessor that isn't skipped. It returns
// the skipped ones as well.
func (s *Slot) checkPredecessors(now time.Time) (Decision, []hosts.Name) {
	var skipped []hosts.Name
	failed := 0
	for _, n := range s.predecessors {
		o := s.observationOf(n)
		if o.queriedAt.IsZero() && !s.isSilent(o, now) {
			return Decision{Action: ActionWait, Host: n, Cause: "not yet seen"}, skipped
		}
		if !s.isSilent(o, now) && o.view.Serves == s.target {
			return s.checkReady(n, o, now), skipped
		}
		if o.view.Phase == PhaseFailed {
			failed++
		}
		if cause := s.blockCause(o, failed, now); cause != "" {
			return Decision{Action: ActionWait, Host: n, Cause: cause}, skipped
		}
		skipped = append(skipped, n)
	}
	return Decision{Action: ActionReload}, skipped
}

// checkReady decides about a predecessor that serves the target.
func (s *Slot) checkReady(name hosts.Name, o *observation, now time.Time) Decision {
	if now.Sub(o.servingSince) < ReadyDelay {
		return Decision{Action: ActionWait, Host: name, Cause: "it has only just become ready"}
	}
	return Decision{Action: ActionReload}
}

// blockCause returns why to wait for a predecessor that doesn't serve the target, or
// nothing if it is skipped. Failed counts the predecessors up to this one whose load
// failed.
func (s *Slot) blockCause(o *observation, failed int, now time.Time) string {
	switch {
	case s.isSilent(o, now):
		return ""
	case o.view.Phase == PhaseFailed:
		if s.isTargetServed && failed == 1 && now.Sub(o.phaseSince) > FailureTimeout {
			return ""
		}
		return "its load failed"
	case o.view.Phase == PhaseIdle && o.view.Serves.Manifest.IsZero():
		return ""
	case o.view.Phase == PhaseIdle && now.Sub(s.start) > FetchTimeout:
		return ""
	}
	return "it serves another version"
}

func (s *Slot) isSilent(o *observation, now time.Time) bool {
	return o.misses >= minMisses && now.Sub(o.firstMissAt) > SilenceTimeout
}

func (s *Slot) observationOf(name hosts.Name) *observation {
	o := s.observations[name]
	if o == nil {
		o = &observation{}
		s.observations[name] = o
	}
	return o
}

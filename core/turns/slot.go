package turns

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// SilenceTimeout is after how long without an answer a host is passed over.
	SilenceTimeout = 10 * time.Second
	// FetchTimeout is how long a host that has not yet fetched the version is waited
	// for.
	FetchTimeout = 5 * time.Second
	// FailureTimeout is how long a host whose load fails is waited for once the
	// version has been seen served.
	FailureTimeout = 30 * time.Second
	// ReadyDelay is how long a host has served the version before the next one
	// gives up its own, so that entries have seen the first one ready.
	ReadyDelay = time.Second
	// freshLimit is how old an answer may be that a claim relies on.
	freshLimit = 2 * time.Second
	// leastMisses is how many questions in a row a silent host has missed.
	leastMisses = 3
)

// Action is what a host does next about its turn.
type Action string

// The verdicts.
const (
	// ActionWait means to ask and decide again.
	ActionWait Action = "wait"
	// ActionClaim means to show the claim and then to ask and decide again.
	ActionClaim Action = "claim"
	// ActionYield means to withdraw the claim.
	ActionYield Action = "yield"
	// ActionReload means to reload.
	ActionReload Action = "go"
)

// Decision is a verdict with its reason.
type Decision struct {
	Action Action
	// Host is the one that is waited for, if any.
	Host  hosts.Name
	Cause string
}

// sight is what is known about another host.
type sight struct {
	view View
	// asked is when the question of the last answer was sent. Zero means never.
	asked time.Time
	// lost is when the first question without an answer since was sent, misses
	// how many there were.
	lost   time.Time
	misses int
	// phased is when the host was first seen in its phase.
	phased time.Time
	// served is when the host was first seen to serve the target.
	served time.Time
}

// Slot is the wait of one host for its turn. It does no I/O and isn't safe for
// use by several goroutines.
type Slot struct {
	target Target
	before []hosts.Name
	after  []hosts.Name
	// others are the hosts of other chains, which may have seen the version
	// served.
	others []hosts.Name
	start  time.Time
	sights map[hosts.Name]*sight
	// claimed is when the claim was shown. Zero means that there is none.
	claimed time.Time
	// rival is the host to which the last claim yielded, until it is seen without
	// a claim.
	rival hosts.Name
	// proven tells that some host has been seen to serve the target.
	proven bool
	asked  int
}

// NewSlot returns the wait of a host that is prepared to load the target.
func NewSlot(target Target, order []hosts.Name, self hosts.Name, width int, now time.Time) *Slot {
	t := &Slot{target: target, start: now, sights: make(map[hosts.Name]*sight)}
	t.before, t.after = Chain(order, self, width)
	for _, n := range order {
		if n != self && !slices.Contains(t.before, n) && !slices.Contains(t.after, n) {
			t.others = append(t.others, n)
		}
	}
	return t
}

// Record records the answer of a host to a question that was sent at the given
// time.
func (t *Slot) Record(name hosts.Name, v View, asked time.Time) {
	s := t.sight(name)
	if s.asked.IsZero() || s.view.Phase != v.Phase {
		s.phased = asked
	}
	if v.Serves == t.target && s.view.Serves != t.target {
		s.served = asked
	}
	s.view, s.asked, s.lost, s.misses = v, asked, time.Time{}, 0
	t.proven = t.proven || v.Serves == t.target
}

// RecordMiss records that a question that was sent at the given time has no answer.
func (t *Slot) RecordMiss(name hosts.Name, asked time.Time) {
	s := t.sight(name)
	if s.lost.IsZero() {
		s.lost = asked
	}
	s.misses++
}

// RecordRemoval records that the platform doesn't list the host any more, or as leaving.
func (t *Slot) RecordRemoval(name hosts.Name) {
	s := t.sight(name)
	s.lost, s.misses = time.Unix(0, 0), leastMisses
}

// NextQueries returns the hosts to ask before the next decision. Besides those that
// decide it asks the chain one by one, so that a silent host is known by the time
// of a claim.
func (t *Slot) NextQueries(now time.Time) []hosts.Name {
	chain := slices.Concat(t.before, t.after)
	if !t.claimed.IsZero() || len(chain) == 0 {
		return chain
	}
	d, passed := t.walk(now)
	names := []hosts.Name{chain[t.asked%len(chain)]}
	names = append(names, passed...)
	if t.rival != "" {
		names = append(names, t.rival)
	}
	if d.Host != "" {
		names = append(names, d.Host)
	}
	if !t.proven && len(t.others) > 0 && d.Host != "" && t.sight(d.Host).view.Phase == PhaseFailed {
		names = append(names, t.others[t.asked%len(t.others)])
	}
	t.asked++
	slices.Sort(names)
	return slices.Compact(names)
}

// Decide returns what the host does now.
func (t *Slot) Decide(now time.Time) Decision {
	d, _ := t.walk(now)
	if t.claimed.IsZero() {
		if d.Action == ActionReload && t.hasRival(now) {
			return Decision{Action: ActionWait, Host: t.rival, Cause: "another host of the chain reloads"}
		}
		if d.Action == ActionReload {
			t.claimed = now
			d.Action = ActionClaim
		}
		return d
	}
	if d.Action != ActionReload {
		return t.yield(d)
	}
	return t.check(now)
}

// check decides about a claim by what the chain said after it was shown.
func (t *Slot) check(now time.Time) Decision {
	wait := Decision{Action: ActionReload}
	for _, n := range slices.Concat(t.before, t.after) {
		s := t.sight(n)
		later := slices.Contains(t.after, n)
		switch {
		case t.isSilent(s, now):
		case s.asked.Before(t.claimed) || now.Sub(s.asked) > freshLimit:
			wait = Decision{Action: ActionWait, Host: n, Cause: "asked after the claim"}
		case s.view.Phase == PhaseReload, s.view.Phase == PhaseClaim && !later:
			return t.yield(Decision{Host: n, Cause: "another host of the chain reloads"})
		case s.view.Phase == PhaseClaim:
			wait = Decision{Action: ActionWait, Host: n, Cause: "a later host claims"}
		}
	}
	return wait
}

func (t *Slot) yield(d Decision) Decision {
	t.claimed = time.Time{}
	t.rival = d.Host
	d.Action = ActionYield
	return d
}

// hasRival reports whether the host to which the last claim yielded still has
// its own. Two hosts that claim in step would else stop each other for good.
func (t *Slot) hasRival(now time.Time) bool {
	if t.rival == "" {
		return false
	}
	s := t.sight(t.rival)
	if t.isSilent(s, now) || s.view.Phase != PhaseClaim && s.view.Phase != PhaseReload {
		t.rival = ""
	}
	return t.rival != ""
}

// walk goes through the hosts before this one, the nearest first, until one
// decides. It returns those that were passed over as well.
func (t *Slot) walk(now time.Time) (Decision, []hosts.Name) {
	var passed []hosts.Name
	failed := 0
	for _, n := range t.before {
		s := t.sight(n)
		if s.asked.IsZero() && !t.isSilent(s, now) {
			return Decision{Action: ActionWait, Host: n, Cause: "not yet seen"}, passed
		}
		if !t.isSilent(s, now) && s.view.Serves == t.target {
			return t.notice(n, s, now), passed
		}
		if s.view.Phase == PhaseFailed {
			failed++
		}
		if cause := t.blocks(s, failed, now); cause != "" {
			return Decision{Action: ActionWait, Host: n, Cause: cause}, passed
		}
		passed = append(passed, n)
	}
	return Decision{Action: ActionReload}, passed
}

// notice decides about a host that serves the target.
func (t *Slot) notice(name hosts.Name, s *sight, now time.Time) Decision {
	if now.Sub(s.served) < ReadyDelay {
		return Decision{Action: ActionWait, Host: name, Cause: "it has only just become ready"}
	}
	return Decision{Action: ActionReload}
}

// blocks returns why a host before this one is waited for, or nothing.
func (t *Slot) blocks(s *sight, failed int, now time.Time) string {
	switch {
	case t.isSilent(s, now):
		return ""
	case s.view.Phase == PhaseFailed:
		if t.proven && failed == 1 && now.Sub(s.phased) > FailureTimeout {
			return ""
		}
		return "its load failed"
	case s.view.Phase == PhaseIdle && s.view.Serves.Manifest.IsZero():
		return ""
	case s.view.Phase == PhaseIdle && now.Sub(t.start) > FetchTimeout:
		return ""
	}
	return "it serves another version"
}

func (t *Slot) isSilent(s *sight, now time.Time) bool {
	return s.misses >= leastMisses && now.Sub(s.lost) > SilenceTimeout
}

func (t *Slot) sight(name hosts.Name) *sight {
	s := t.sights[name]
	if s == nil {
		s = &sight{}
		t.sights[name] = s
	}
	return s
}

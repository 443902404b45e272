package loader

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

const (
	// firstStartRatio is the share of the roll-out limit after which the first engine of a
	// pool loads the version. The pieces take about as long to arrive.
	firstStartRatio = 0.25
	// lastStartRatio is the share after which the last engine starts to load, at least
	// lastStartMargin before the end of the limit. Engines that still serve an older version get
	// no requests after it.
	lastStartRatio  = 0.82
	lastStartMargin = 1940 * time.Millisecond
)

// RolloutSlot determines when an engine loads a version.
type RolloutSlot struct {
	// NotBefore is the earliest time at which the version may have been released, SeenAt when
	// the agent saw that it was. The first engine is timed by SeenAt, since the pieces arrive after
	// it, and the last one by NotBefore, from which the roll-out limit counts.
	NotBefore time.Time
	SeenAt    time.Time
	// Rank and Count are the position of the engine among those of its pool that serve an
	// older version, and their number.
	Rank  int
	Count int
}

// NewRolloutSlot ranks an engine among the upstreams of its pool. Rank is zero for an
// engine that serves no version, which needn't wait for a slot, and for a nil self.
//
// Requests continue while a version is rolled out. Engines therefore load one after the
// other, spread over the roll-out limit, so that as many as possible serve at any time. All
// agents compute the same order from rendezvous ranks, without messages.
func NewRolloutSlot(notBefore, seenAt time.Time, model string, version int, self *state.Upstream, all []*state.Upstream) RolloutSlot {
	var names []hosts.Name
	for _, u := range all {
		if held := u.Version(model); held != 0 && held < version && !u.Draining {
			names = append(names, hosts.Name(u.ID))
		}
	}
	s := RolloutSlot{NotBefore: notBefore, SeenAt: seenAt, Count: len(names)}
	if self == nil {
		return s
	}
	s.Rank = max(slices.Index(hosts.Rank(model, names), hosts.Name(self.ID)), 0)
	return s
}

// Start returns the earliest time at which the engine may stop taking requests. A limit of
// zero means that there is none.
func (s RolloutSlot) Start(limit time.Duration) time.Time {
	if limit <= 0 || s.Count <= 1 {
		return s.NotBefore
	}
	last := s.Deadline(limit)
	first := s.SeenAt.Add(time.Duration(float64(limit) * firstStartRatio))
	if first.After(last) {
		return last
	}
	return first.Add(last.Sub(first) * time.Duration(s.Rank) / time.Duration(s.Count-1))
}

// Deadline returns the time after which the engine gets no requests for an older version.
func (s RolloutSlot) Deadline(limit time.Duration) time.Time {
	if limit <= 0 {
		return s.NotBefore.Add(unboundedLimit)
	}
	return s.NotBefore.Add(min(time.Duration(float64(limit)*lastStartRatio), max(limit-lastStartMargin, 0)))
}

// unboundedLimit replaces the roll-out limit where there is none.
const unboundedLimit = 24 * time.Hour

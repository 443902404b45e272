package loader

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

const (
	// firstShare is the part of the time for a version after which the first engine
	// of a pool loads it. The pieces take about as long to arrive.
	firstShare = 0.25
	// lastShare is the part after which the last one begins. Engines that serve an
	// older version get no requests from then on.
	lastShare = 0.82
)

// RolloutSlot says when an engine loads a version.
type RolloutSlot struct {
	// FirstSeen is when the agent learnt of the version.
	FirstSeen time.Time
	// Rank and Count place the engine among those of its pool that serve an older
	// version.
	Rank  int
	Count int
}

// NewRolloutSlot ranks an engine among the upstreams of its pool. An engine that serves
// nothing has no turn to wait for.
//
// It answers requests that go on while a version is brought in: engines load one after
// the other over the time that the version has, so that as many as can be serve at any
// moment. All agents compute the same order by rendezvous ranks, without messages.
func NewRolloutSlot(learnt time.Time, model string, version int, self *state.Upstream, all []*state.Upstream) RolloutSlot {
	var names []hosts.Name
	for _, u := range all {
		if held := u.Version(model); held != 0 && held < version && !u.Draining {
			names = append(names, hosts.Name(u.ID))
		}
	}
	t := RolloutSlot{FirstSeen: learnt, Count: len(names)}
	if self == nil {
		return t
	}
	t.Rank = max(slices.Index(hosts.Rank(model, names), hosts.Name(self.ID)), 0)
	return t
}

// Start returns the earliest time at which the engine may stop taking requests.
func (t RolloutSlot) Start(within time.Duration) time.Time {
	if within <= 0 || t.Count <= 1 {
		return t.FirstSeen
	}
	first, last := float64(within)*firstShare, float64(within)*lastShare
	return t.FirstSeen.Add(time.Duration(first + (last-first)*float64(t.Rank)/float64(t.Count-1)))
}

// Deadline returns the time from which on the engine gets no requests for what it serves.
func (t RolloutSlot) Deadline(within time.Duration) time.Time {
	if within <= 0 {
		return t.FirstSeen.Add(unbounded)
	}
	return t.FirstSeen.Add(time.Duration(float64(within) * lastShare))
}

// unbounded stands in for the time of a version that has no bound.
const unbounded = 24 * time.Hour

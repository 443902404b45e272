package target

import "currantport.example/core/timing"

const (
	// lateShare is the part of an engine's places that are kept free of requests which
	// can't be on time at any engine, slowShare the same for those that could be on time at
	// a less loaded one.
	lateShare = 3
	slowShare = 8
	// queueShare is the number of requests that may wait for a place at an engine, as a
	// part of its places.
	queueShare = 8
)

// admits decides whether an engine with the load takes a request now.
//
// It answers more requests than the engines can serve. Then somebody is refused, and the
// question is who. A queue at the engines would make every answer late, so that a request
// is admitted only if it gets a place at once and the prompts before it are read in time.
// A request that has been refused before and can only be late gets what is left over:
// in its place two callers would be served badly, the one that came back and the one that
// could have been on time. The prompt's own length doesn't count, or long ones would never
// be served under load.
func admits(n Requirements, l timing.Load, reserve int) bool {
	e := n.Pool.Engine
	room := e.Slots + e.Slots/queueShare - reserve - l.Running
	switch {
	case timing.FirstEvent(e, l, e.PromptTokens) <= n.Remaining:
		return room > 0
	case timing.FirstEvent(e, timing.Load{}, e.PromptTokens) <= n.Remaining:
		return room > e.Slots/slowShare
	}
	return room > e.Slots/lateShare
}

const (
	// nearShare is the part of the places that an entry leaves free at an engine that
	// another entry of its region uses first, farShare the same in other regions. In an
	// overload all entries look for a free place, and what the others have sent is known
	// late.
	nearShare = 5
	farShare  = 3
)

// reserve returns the number of places that this entry leaves free at an engine.
func (f *Fleet) reserve(u *upstream, slots int) int {
	switch {
	case u.home:
		return 0
	case f.isFar(u):
		return slots / farShare
	}
	return slots / nearShare
}

package target

import (
	"time"

	"currantport.example/core/timing"
)

const (
	// lateReserveDivisor is the part of an engine's slots, as a divisor, that is reserved
	// against requests that can't be on time at any engine, slowReserveDivisor the same
	// against those that could be on time only at a less loaded engine.
	lateReserveDivisor = 3
	slowReserveDivisor = 8
	// queueDivisor bounds the requests that wait for a slot at an engine, as a divisor of
	// its slots.
	queueDivisor = 8
)

// admits reports whether an engine with the given load accepts a request now.
//
// Under overload some requests must be refused. A queue at the engines would make every
// response late, so a request is admitted only if it gets a slot at once and the prompts
// before it are processed in time. A request that was refused before and can only be late
// gets leftover capacity: admitting it first would serve two clients badly, itself and
// one that could have been on time. The length of the request's own prompt is not
// considered, because long prompts would then never be served under load.
func admits(reqs Requirements, l timing.Load, reserve int) bool {
	free, needed := room(reqs, l, reserve)
	return free >= needed
}

// room returns how many requests of this kind the engine can still take, those that may wait there for
// a slot included, and how many that must be for the request to be admitted.
func room(reqs Requirements, l timing.Load, reserve int) (free, needed int) {
	e := reqs.Pool.Engine
	free = e.Slots + e.Slots/queueDivisor - reserve - l.Running
	switch {
	case reqs.Levels > 1 && reqs.Returned:
		// The response is late in any case, and levelReserve holds back such requests.
		return free, 1
	case timing.FirstEvent(e, l, e.PromptTokens) <= reqs.Remaining:
		return free, 1
	case timing.FirstEvent(e, timing.Load{}, e.PromptTokens) <= reqs.Remaining:
		return free, e.Slots/slowReserveDivisor + 1
	}
	return free, e.Slots/lateReserveDivisor + 1
}

const (
	// regionReserveDivisor is the part of the slots, as a divisor, that an entry leaves free
	// at an engine assigned to another entry of its region, remoteReserveDivisor the same
	// in other regions. Under overload all entries compete for free slots, and the requests
	// of other entries become known only with a delay.
	regionReserveDivisor = 5
	remoteReserveDivisor = 3
	// urgentReserveDivisor divides the reserve in the region further for the most urgent level.
	// Fewer requests compete there, and for them a free slot at any engine of the region is better
	// than a later one at an assigned engine. Without a reserve too many are sent to the same
	// engine and are late.
	urgentReserveDivisor = 2
)

// reserve returns the number of slots that this entry leaves free at an engine.
func (f *Fleet) reserve(now time.Time, u *upstream, reqs Requirements) int {
	slots := reqs.Pool.Engine.Slots
	switch usage := f.usage(u); {
	case usage == UsageOwn, u.ownsLimit(now):
		return 0
	case u.even.active && usage != UsageNear:
		return f.evenReserve(u, slots)
	case usage == UsageRemote:
		return slots / remoteReserveDivisor
	case reqs.Waiting && f.options.Random() >= 1/float64(f.regionSize):
		// Otherwise the requests that wait at all entries of the region would be sent to the
		// first slot that becomes free. On average one entry tries at a time.
		return 2 * slots
	case reqs.Levels > 1 && !reqs.Returned && (reqs.Level == 0 || reqs.Exempt):
		return slots / regionReserveDivisor / urgentReserveDivisor
	}
	return slots / regionReserveDivisor
}

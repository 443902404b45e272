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

// room returns the places of an engine that the request may use and the number that must be free for
// it to be admitted.
func room(reqs Requirements, l timing.Load, reserve int) (free, needed int) {
	e := reqs.Pool.Engine
	free = e.Slots + e.Slots/queueDivisor - reserve - l.Running
	switch {
	case reqs.Levels > 1 && reqs.Returned:
		// Its place among the levels decides, in levelReserve.
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
	// urgentReserveDivisor divides the former for the most urgent level. Fewer requests compete
	// there, and a free slot of any engine of the region is worth more than one of the entry's
	// own in a while. Without any reserve too many meet at the same engine and are late.
	urgentReserveDivisor = 2
)

// reserve returns the number of slots that this entry leaves free at an engine.
func (f *Fleet) reserve(now time.Time, u *upstream, reqs Requirements) int {
	slots := reqs.Pool.Engine.Slots
	switch usage := f.usage(u); {
	case usage == UsageOwn, u.ownsLimit(now):
		return 0
	case u.even.active && usage != UsageNear:
		return f.farReserve(u, slots)
	case usage == UsageRemote:
		return slots / remoteReserveDivisor
	case reqs.Waiting && f.options.Random() >= 1/float64(f.regionSize):
		// Requests that wait at all entries of the region would meet at the first slot that
		// becomes free. Each entry tries at a time of its own.
		return 2 * slots
	case reqs.Levels > 1 && !reqs.Returned && (reqs.Level == 0 || reqs.Exempt):
		return slots / regionReserveDivisor / urgentReserveDivisor
	}
	return slots / regionReserveDivisor
}

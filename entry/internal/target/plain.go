package target

import (
	"slices"
	"time"
)

// ChoosePlain assigns the request to the upstream of a plain service with the lowest cost, or
// returns nil if there is none.
func (f *Fleet) ChoosePlain(now time.Time, reqs Requirements) *InFlight {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	best := f.bestPlain(now, reqs)
	if best == nil {
		return nil
	}
	r := f.startRequest(now, best, "", 0)
	r.Running = best.running - 1
	return r
}

// bestPlain returns the upstream of a plain service with the lowest cost, or nil.
func (f *Fleet) bestPlain(now time.Time, reqs Requirements) *upstream {
	var best *upstream
	lowest := 0.0
	for _, u := range f.pools[reqs.Pool.Name] {
		if f.plainExclusion(now, u, reqs) != ExclusionNone {
			continue
		}
		parts := f.plainCost(now, u)
		if c := parts.sum(); best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// HasPlain reports whether an upstream of a plain service that accepts connections can take a
// request.
func (f *Fleet) HasPlain(now time.Time, reqs Requirements) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.pools[reqs.Pool.Name], func(u *upstream) bool {
		return f.plainExclusion(now, u, reqs) == ExclusionNone && !u.health.IsDown(now)
	})
}

const (
	// plainRemoteCost is how many fewer requests in progress of this entry an upstream in
	// another region must have to be chosen.
	plainRemoteCost = 1.5
	// plainFailureCost is the same for one whose requests all fail, plainDownCost for one
	// that accepts no connections.
	plainFailureCost = 20
	plainDownCost    = 100
	// plainLatencyCost is the same for each second of latency.
	plainLatencyCost = 30
)

// plainCost returns the requests of this entry in progress at the upstream plus penalties.
func (f *Fleet) plainCost(now time.Time, u *upstream) costs[float64] {
	var all costs[float64]
	all[costRunning], all[costJitter] = float64(u.running), f.options.Random()
	all[costFailures] = plainFailureCost * u.health.FailureRatio(now)
	all[costLatency] = plainLatencyCost * u.health.Latency(now).Seconds()
	if f.isRemote(u) {
		all[costRegion] = plainRemoteCost
	}
	if u.health.IsDown(now) {
		all[costDown] = plainDownCost
	}
	if now.Before(u.heldElsewhereUntil) {
		all[costHeldElsewhere] = plainHeldElsewhereCost
	}
	return all
}

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
	var best *upstream
	lowest := 0.0
	for _, u := range f.pools[reqs.Pool.Name] {
		if f.plainExclusion(now, u, reqs) != ExclusionNone {
			continue
		}
		c := f.plainCost(now, u)
		if best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	if best == nil {
		return nil
	}
	r := f.startRequest(now, best, "", 0)
	r.Running = best.running - 1
	return r
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

func (f *Fleet) plainCost(now time.Time, u *upstream) float64 {
	c := float64(u.running) + f.options.Random() + plainFailureCost*u.health.FailureRatio(now)
	c += plainLatencyCost * u.health.Latency(now).Seconds()
	if f.isRemote(u) {
		c += plainRemoteCost
	}
	if u.health.IsDown(now) {
		c += plainDownCost
	}
	if now.Before(u.heldElsewhereUntil) {
		c += plainHeldElsewhereCost
	}
	return c
}

package target

import (
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/timing"
)

const (
	// crossRegionCost is how much earlier an engine in another region must be expected to
	// respond to be chosen. It accounts for the traffic between regions.
	crossRegionCost = 60 * time.Millisecond
	// unassignedCost is the same for an engine that is assigned to another entry. Requests
	// of other entries become known there only with a delay.
	unassignedCost = 250 * time.Millisecond
	// costJitterRatio bounds the random part added to predictions, as a ratio of them, so
	// that entries with the same information don't all choose the same engine.
	costJitterRatio = 0.05
	// degradedCost is the same as crossRegionCost for an engine that fails requests.
	degradedCost = 2 * time.Second
)

// cost returns the predicted time to the first event plus penalties.
func (f *Fleet) cost(now time.Time, reqs Requirements, c *candidate) time.Duration {
	cost := time.Duration(float64(c.firstEvent) * (1 + costJitterRatio*f.options.Random()) * c.upstream.slowness.factor(c.load.Pace))
	if reqs.MaxEventGap > 0 && timing.EventGap(reqs.Pool.Engine, c.load, reqs.PromptTokens) > reqs.MaxEventGap {
		cost += reqs.MaxEventGap
	}
	if f.isRemote(c.upstream) {
		cost += crossRegionCost
	}
	cost += f.usageCost(c.upstream)
	if c.upstream.health.IsDegraded(now) {
		cost += degradedCost
	}
	if now.Before(c.upstream.heldElsewhereUntil) {
		cost += heldElsewhereCost
	}
	return cost
}

// isRemote reports whether the upstream is in another region.
func (f *Fleet) isRemote(u *upstream) bool {
	return f.options.Regions[hosts.Domain(u.row.Domain)] != f.options.Place.Region
}

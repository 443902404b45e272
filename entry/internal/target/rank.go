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

// costKind is a part of the cost of an upstream.
type costKind int

// The parts of a cost. Those of plain services are summed in this order.
const (
	costRunning costKind = iota
	costFirstEvent
	costSlow
	costJitter
	costEventGap
	costFailures
	costLatency
	costRegion
	costUnassigned
	costDegraded
	costDown
	costHeldElsewhere
	costKinds
)

var costNames = [costKinds]string{
	costRunning: "running", costFirstEvent: "first", costSlow: "slow", costJitter: "jitter", costEventGap: "gap", costFailures: "failures", costLatency: "latency",
	costRegion: "region", costUnassigned: "unassigned", costDegraded: "degraded", costDown: "down", costHeldElsewhere: "held",
}

// costs are the parts of an upstream's cost: times for an engine, numbers of requests in progress for
// the upstream of a plain service.
type costs[T time.Duration | float64] [costKinds]T

func (c *costs[T]) sum() T {
	var sum T
	for _, part := range c {
		sum += part
	}
	return sum
}

// cost returns the predicted time to the first event plus penalties.
func (f *Fleet) cost(now time.Time, reqs Requirements, c *candidate) costs[time.Duration] {
	var all costs[time.Duration]
	all[costFirstEvent] = c.firstEvent
	all[costSlow] = time.Duration(float64(c.firstEvent)*c.upstream.slowness.factor(c.load.Pace)) - c.firstEvent
	slowed := all[costFirstEvent] + all[costSlow]
	all[costJitter] = time.Duration(float64(slowed) * costJitterRatio * f.options.Random())
	if reqs.MaxEventGap > 0 && timing.EventGap(reqs.Pool.Engine, c.load, reqs.PromptTokens) > reqs.MaxEventGap {
		all[costEventGap] = reqs.MaxEventGap
	}
	if f.isRemote(c.upstream) {
		all[costRegion] = crossRegionCost
	}
	all[costUnassigned] = f.usageCost(now, c.upstream)
	if c.upstream.health.IsDegraded(now) {
		all[costDegraded] = degradedCost
	}
	if now.Before(c.upstream.heldElsewhereUntil) {
		all[costHeldElsewhere] = heldElsewhereCost
	}
	return all
}

// isRemote reports whether the upstream is in another region.
func (f *Fleet) isRemote(u *upstream) bool {
	return f.options.Regions[hosts.Domain(u.row.Domain)] != f.options.Place.Region
}

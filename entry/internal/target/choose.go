package target

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
)

const (
	// versionCutoffMargin is how long before its deadline a replaced version stops
	// receiving requests, so that none starts too late. It covers the time in an engine's queue and
	// a silence of a sound engine, after which it may begin what was withdrawn.
	versionCutoffMargin = 1800 * time.Millisecond
	// startDeadlineMargin is how long before that deadline a request that hasn't started is
	// withdrawn. It covers the time until the withdrawal reaches the engine.
	startDeadlineMargin = 400 * time.Millisecond
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

// Requirements describe what a request needs from an engine.
type Requirements struct {
	Pool  *state.Pool
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Version is the only version that may respond, or zero for any.
	Version int
	// Exclude lists the ids of upstreams that were already tried.
	Exclude []string
	// MaxEventGap is the longest acceptable time between two events, or zero for no limit.
	MaxEventGap time.Duration
	// Remaining is the time until the first event is late. At zero or below, the response
	// can only be late.
	Remaining time.Duration
}

// candidate is an engine that may be chosen for a request.
type candidate struct {
	upstream *upstream
	// version is the one that the engine serves, or zero if it is unknown; minVersion is the
	// lowest that it can be.
	version    int
	minVersion int
	load       timing.Load
	firstEvent time.Duration
	cost       time.Duration
}

// ChooseEngine assigns the request to the engine with the lowest cost among those that admit
// it. If none admits it, it returns nil and the time after which one may; if no engine
// serves the required version, that time is zero.
func (f *Fleet) ChooseEngine(now time.Time, reqs Requirements) (*InFlight, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	best, all := f.bestEngine(now, reqs)
	switch {
	case len(all) == 0:
		return nil, 0
	case best == nil:
		return nil, f.retryDelay(reqs.Pool.Engine, all)
	}
	r := f.startRequest(now, best.upstream, reqs.Model, reqs.PromptTokens)
	r.Version, r.Predicted, r.Running = best.version, best.firstEvent, best.load.Running
	r.minVersion, r.StartDeadline = best.minVersion, f.startDeadline(reqs.Model, best.minVersion)
	r.ExactVersion = reqs.Version != 0 || best.version == f.newestVersion(reqs.Model)
	return r, 0
}

// HasEngine reports whether an engine admits the request.
func (f *Fleet) HasEngine(now time.Time, reqs Requirements) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	best, _ := f.bestEngine(now, reqs)
	return best != nil
}

// bestEngine returns all engines that serve the request's model, and the one with the lowest cost
// among those that admit it, or nil.
func (f *Fleet) bestEngine(now time.Time, reqs Requirements) (*candidate, []candidate) {
	all := f.candidates(now, reqs)
	var best *candidate
	for i := range all {
		if c := &all[i]; admits(reqs, c.load, f.reserve(c.upstream, reqs.Pool.Engine.Slots)) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best, all
}

// retryDelay estimates the time until an engine has free capacity.
func (f *Fleet) retryDelay(e *state.Engine, all []candidate) time.Duration {
	excess, rate := 0, 0.0
	for _, c := range all {
		excess += max(c.load.Running-e.Slots+1, 0)
		rate += timing.Rate(e, c.load.Pace)
	}
	return max(time.Duration(float64(excess)/rate*float64(time.Second)), minRetryDelay)
}

// minRetryDelay is the lower bound of retryDelay. Zero would mean that no engine serves the
// version.
const minRetryDelay = time.Millisecond

// candidates returns the engines that serve the request's model: those of this region and the
// remote ones assigned to this entry, or else all others.
func (f *Fleet) candidates(now time.Time, reqs Requirements) []candidate {
	var all, others []candidate
	for _, u := range f.pools[reqs.Pool.Name] {
		if !u.acceptsRequests(now) || isExcluded(reqs, u) || !u.demands.limit.allows(f, now) {
			continue
		}
		v, minVersion, ok := f.versionFor(now, u, reqs)
		if !ok {
			continue
		}
		c := candidate{upstream: u, version: v, minVersion: minVersion, load: u.load(now)}
		if f.isRemote(u) && !u.remoteAssigned {
			others = append(others, c)
			continue
		}
		all = append(all, c)
	}
	if len(all) == 0 {
		all = others
	}
	for i := range all {
		c := &all[i]
		c.firstEvent = timing.FirstEvent(reqs.Pool.Engine, c.load, reqs.PromptTokens)
		c.cost = f.cost(now, reqs, c)
	}
	return all
}

// isExcluded reports whether the request was already tried at the upstream.
func isExcluded(reqs Requirements, u *upstream) bool { return slices.Contains(reqs.Exclude, u.row.ID) }

// acceptsRequests reports whether the upstream accepts requests, according to its row, its
// health and its last load report.
func (u *upstream) acceptsRequests(now time.Time) bool {
	return u.isOffered(now) && !u.health.IsDown(now) && (!u.hasReport(now) || !u.report.Closed)
}

// isOffered reports whether the upstream wants requests from this entry: it doesn't leave, and
// hasn't asked to be left alone.
func (u *upstream) isOffered(now time.Time) bool {
	return !u.row.Draining && !u.demands.leaving && !u.demands.isHeld(now)
}

// cost returns the predicted time to the first event plus penalties.
func (f *Fleet) cost(now time.Time, reqs Requirements, c *candidate) time.Duration {
	cost := time.Duration(float64(c.firstEvent) * (1 + costJitterRatio*f.options.Random()))
	if reqs.MaxEventGap > 0 && timing.EventGap(reqs.Pool.Engine, c.load, reqs.PromptTokens) > reqs.MaxEventGap {
		cost += reqs.MaxEventGap
	}
	if f.isRemote(c.upstream) {
		cost += crossRegionCost
	}
	if !c.upstream.assigned && !c.upstream.ownsLimit() {
		cost += unassignedCost
	}
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

// ChoosePlain assigns the request to the upstream of a plain service with the lowest cost, or
// returns nil if there is none. Exclude lists the ids of upstreams that were already tried.
func (f *Fleet) ChoosePlain(now time.Time, pool string, exclude []string) *InFlight {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *upstream
	lowest := 0.0
	for _, u := range f.pools[pool] {
		if !f.isEligible(now, u, exclude) {
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

// isEligible reports whether a request that was already tried at the excluded upstreams may be sent
// to one of a plain service.
func (f *Fleet) isEligible(now time.Time, u *upstream, exclude []string) bool {
	return u.isOffered(now) && !slices.Contains(exclude, u.row.ID) && u.demands.limit.allows(f, now)
}

// HasPlain reports whether an upstream of a plain service that accepts connections can take a
// request. Exclude lists the ids of upstreams that were already tried.
func (f *Fleet) HasPlain(now time.Time, pool string, exclude []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.pools[pool], func(u *upstream) bool { return f.isEligible(now, u, exclude) && !u.health.IsDown(now) })
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

// Subscription is an engine whose load reports the entry wants.
type Subscription struct {
	Row *state.Upstream
	// Frequent requests reports at the short interval, for engines that the entry uses.
	Frequent bool
}

// Subscriptions returns the engines whose load reports the entry wants: those of its region,
// the remote ones assigned to it and those with requests in progress.
func (f *Fleet) Subscriptions(s *state.Snapshot) []Subscription {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []Subscription
	for _, p := range s.Pools() {
		if p.Engine == nil {
			continue
		}
		for _, u := range f.pools[p.Name] {
			if !f.isRemote(u) || u.remoteAssigned || u.running > 0 {
				all = append(all, Subscription{Row: u.row, Frequent: u.running > 0 || !f.isRemote(u)})
			}
		}
	}
	return all
}

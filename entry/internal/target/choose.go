package target

import (
	"time"

	"currantport.example/core/state"
	"currantport.example/core/timing"
)

const (
	// versionCutoffMargin is how long before its deadline a replaced version stops
	// receiving requests, so that none starts too late. It covers the time in an engine's queue and
	// a pause of a healthy engine, after which it may begin what was withdrawn.
	versionCutoffMargin = 1800 * time.Millisecond
	// startDeadlineMargin is how long before that deadline a request that hasn't started is
	// withdrawn. It covers the time until the withdrawal reaches the engine.
	startDeadlineMargin = 400 * time.Millisecond
)

// Requirements describe what a request needs from an upstream.
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
	// Homes are the regions whose upstreams may serve the request.
	Homes state.Homes
	// Level is the urgency of the request, zero for the most urgent, below Levels. With one
	// level or none, all requests of the pool are equally urgent.
	Level  int
	Levels int
	// Workspace is the name of the workspace, or empty.
	Workspace string
	// Returned is set for a client that was refused before, if there are several levels.
	Returned bool
	// Exempt is set if the request counts as most urgent, because its kind or workspace is below its
	// least share.
	Exempt bool
	// Waiting is set if the request has found no engine before and waits in the order of the
	// levels.
	Waiting bool
	// Ahead are the homes of waiting requests that go before this one. A slot is left free for
	// each at the engines that it may use.
	Ahead []state.Homes
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
		return nil, f.retryDelay(now, reqs, all)
	}
	usage := f.usage(best.upstream)
	r := f.startRequest(now, best.upstream, reqs.Model, reqs.PromptTokens)
	r.Usage = usage
	r.Version, r.Predicted, r.Running = best.version, best.firstEvent, best.load.Running
	r.pace = best.load.Pace
	r.minVersion, r.StartDeadline = best.minVersion, f.startDeadline(reqs.Model, best.minVersion)
	r.Cutoff = f.cutoff(reqs.Model, best.minVersion)
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
	levels := f.levelReserve(now, reqs)
	var best *candidate
	for i := range all {
		c := &all[i]
		reserve := f.reserve(now, c.upstream, reqs) + f.urgentReserve(reqs, c.upstream, levels)
		if admits(reqs, c.load, reserve) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best, all
}

// retryDelay estimates the time until an engine has free capacity for the level of the request.
func (f *Fleet) retryDelay(now time.Time, reqs Requirements, all []candidate) time.Duration {
	e := reqs.Pool.Engine
	levels := f.levelReserve(now, reqs)
	excess, rate := 0, 0.0
	for _, c := range all {
		excess += max(c.load.Running+f.urgentReserve(reqs, c.upstream, levels)-e.Slots+1, 0)
		rate += timing.Rate(e, c.load.Pace)
	}
	return max(time.Duration(float64(excess)/rate*float64(time.Second)), minRetryDelay)
}

// minRetryDelay is the lower bound of retryDelay. Zero would mean that no engine serves the
// version.
const minRetryDelay = time.Millisecond

// candidates returns the engines that serve the request's model: those of this region and the
// remote ones assigned to this entry, or else all others. A request that may not stay in this
// region can use all engines of its homes.
func (f *Fleet) candidates(now time.Time, reqs Requirements) []candidate {
	var all, others []candidate
	for _, u := range f.pools[reqs.Pool.Name] {
		v, minVersion, reason := f.exclusion(now, u, reqs)
		if reason != ExclusionNone {
			continue
		}
		c := candidate{upstream: u, version: v, minVersion: minVersion, load: u.load(now)}
		if f.isRemote(u) && !u.isUsedRemotely() && reqs.Homes.Allows(f.options.Place.Region) {
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
		parts := f.cost(now, reqs, c)
		c.cost = parts.sum()
	}
	return all
}

// Subscription is an engine whose load reports the entry wants.
type Subscription struct {
	Row *state.Upstream
	// Frequent requests reports at the short interval, for engines that the entry uses.
	Frequent bool
	// First is set until a report has been received.
	First bool
}

// Subscriptions returns the engines whose load reports the entry wants: those of its region,
// the remote ones assigned to it, those with requests in progress and those that are closed, since their
// agents would seem silent without a subscription. The caller subscribes to them at the given time or later.
func (f *Fleet) Subscriptions(now time.Time, s *state.Snapshot) []Subscription {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []Subscription
	for _, p := range s.Pools() {
		if p.Engine == nil {
			continue
		}
		for _, u := range f.pools[p.Name] {
			f.logClosedSilence(now, u)
			if !f.isRemote(u) || u.isUsedRemotely() || u.running > 0 || u.demands.isClosed(now) {
				if u.subscribedAt.IsZero() {
					u.subscribedAt = now
				}
				all = append(all, Subscription{Row: u.row, Frequent: u.running > 0 || !f.isRemote(u), First: u.reportedAt.IsZero()})
			}
		}
	}
	return all
}

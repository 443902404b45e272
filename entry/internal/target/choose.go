package target

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
)

const (
	// versionGuard is how long before the end of its time a version that is to be
	// replaced takes no more requests, so that none begins too late.
	versionGuard = 1300 * time.Millisecond
	// expiryMargin is how long before that end a request that hasn't begun is taken back.
	// It covers the age of the news of the release and the way to the engine.
	expiryMargin = 400 * time.Millisecond
	// farCost is what an engine in another region must be faster to be chosen. It
	// stands for the bytes between regions.
	farCost = 60 * time.Millisecond
	// foreignCost is what an engine that another entry uses first must be faster. What
	// others have sent there is known late.
	foreignCost = 250 * time.Millisecond
	// spread is the share by which predictions are varied, so that entries which know
	// the same don't all choose the same engine.
	spread = 0.05
	// poorCost is what an engine that fails requests must be faster.
	poorCost = 2 * time.Second
)

// Requirements is what a request needs of an engine.
type Requirements struct {
	Pool         *state.Pool
	Model        string
	PromptTokens int
	// Version is the only one that may answer, or zero.
	Version int
	// Exclude lists the upstreams that were tried already.
	Exclude []string
	// MaxEventGap is the longest pause between events, or zero.
	MaxEventGap time.Duration
	// Remaining is the time that is left for the first event to be on time. If it has run out,
	// the request can only be late.
	Remaining time.Duration
}

// candidate is an engine that may take a request.
type candidate struct {
	upstream *upstream
	// version is the one that the engine serves, or zero if it isn't known; known is the
	// least that it may be.
	version int
	known   int
	load    timing.Load
	first   time.Duration
	cost    time.Duration
}

// ChooseEngine gives the request to the engine that is expected to answer first, of those that
// admit it. If none does, it returns nil and the time after which one may; if none serves
// the version, the time is zero.
func (f *Fleet) ChooseEngine(now time.Time, n Requirements) (*InFlight, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := f.candidates(now, n)
	if len(all) == 0 {
		return nil, 0
	}
	var best *candidate
	for i := range all {
		if c := &all[i]; admits(n, c.load, f.reserve(c.upstream, n.Pool.Engine.Slots)) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best == nil {
		return nil, f.wait(n.Pool.Engine, all)
	}
	w := f.begin(now, best.upstream, n.Model, n.PromptTokens)
	w.Version, w.Predicted, w.Running = best.version, best.first, best.load.Running
	w.StartDeadline = f.expires(n.Model, best.known)
	w.ExactVersion = n.Version != 0 || best.version == f.newest(n.Model)
	return w, 0
}

// wait returns when the engines will have room.
func (f *Fleet) wait(e *state.Engine, all []candidate) time.Duration {
	over, rate := 0, 0.0
	for _, c := range all {
		over += max(c.load.Running-e.Slots+1, 0)
		rate += timing.Rate(e, c.load.Pace)
	}
	return max(time.Duration(float64(over)/rate*float64(time.Second)), waitLeast)
}

// waitLeast is the least time after which an engine may have room.
const waitLeast = time.Millisecond

// candidates returns the engines that serve the request's model: those of the own region
// and those whose guest the entry is, or else all others.
func (f *Fleet) candidates(now time.Time, n Requirements) []candidate {
	var all, others []candidate
	for _, u := range f.pools[n.Pool.Name] {
		if !u.takes(now) || slices.Contains(n.Exclude, u.row.ID) {
			continue
		}
		v := u.held(now, n.Model)
		if v == 0 || n.Version != 0 && v != n.Version {
			continue
		}
		known := v
		if v == unknownVersion {
			v, known = 0, u.answers[n.Model].missed+1
		}
		if !f.mayServe(now, n.Model, known) {
			continue
		}
		c := candidate{upstream: u, version: v, known: known, load: u.load(now)}
		if f.isFar(u) && !u.guest {
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
		c.first = timing.FirstEvent(n.Pool.Engine, c.load, n.PromptTokens)
		c.cost = f.cost(now, n, c)
	}
	return all
}

// takes reports whether the upstream accepts requests, as far as is known.
func (u *upstream) takes(now time.Time) bool {
	return !u.row.Draining && !u.health.IsDown(now) && (!u.isHeard(now) || !u.digest.Closed)
}

// cost returns the predicted time to the first event and what speaks against the
// engine beyond that.
func (f *Fleet) cost(now time.Time, n Requirements, c *candidate) time.Duration {
	cost := time.Duration(float64(c.first) * (1 + spread*f.options.Random()))
	if n.MaxEventGap > 0 && timing.EventGap(n.Pool.Engine, c.load, n.PromptTokens) > n.MaxEventGap {
		cost += n.MaxEventGap
	}
	if f.isFar(c.upstream) {
		cost += farCost
	}
	if !c.upstream.home {
		cost += foreignCost
	}
	if c.upstream.health.IsDegraded(now) {
		cost += poorCost
	}
	return cost
}

// mayServe reports whether requests may still be sent to engines with the version: until
// shortly before it expires.
func (f *Fleet) mayServe(now time.Time, model string, version int) bool {
	end := f.expires(model, version)
	return end.IsZero() || now.Before(end.Add(expiryMargin-versionGuard))
}

// expires returns when no request may begin on the version any more, shortly before the
// end of the time for the first version after it, or zero if there is none.
func (f *Fleet) expires(model string, version int) time.Time {
	if f.options.VersionTimeout == 0 {
		return time.Time{}
	}
	for _, r := range f.releases[model] {
		if r.version > version {
			return r.learnt.Add(f.options.VersionTimeout - expiryMargin)
		}
	}
	return time.Time{}
}

// newest returns the version of a model that was released last.
func (f *Fleet) newest(model string) int {
	if all := f.releases[model]; len(all) > 0 {
		return all[len(all)-1].version
	}
	return 0
}

func (f *Fleet) isFar(u *upstream) bool {
	return f.options.Regions[hosts.Domain(u.row.Domain)] != f.options.Place.Region
}

// ChoosePlain gives the request to an upstream of a plain service, or returns nil if there
// is none.
func (f *Fleet) ChoosePlain(now time.Time, pool string, not []string) *InFlight {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *upstream
	least := 0.0
	for _, u := range f.pools[pool] {
		if u.row.Draining || slices.Contains(not, u.row.ID) {
			continue
		}
		c := f.plainCost(now, u)
		if best == nil || c < least {
			best, least = u, c
		}
	}
	if best == nil {
		return nil
	}
	w := f.begin(now, best, "", 0)
	w.Running = best.running - 1
	return w
}

const (
	// plainFar is the number of own requests in progress that an upstream in another
	// region must have less to be chosen.
	plainFar = 1.5
	// plainFailure is the same for one whose requests all fail, plainDown for one
	// that takes no connections.
	plainFailure = 20
	plainDown    = 100
	// plainSlow is the same for each second of latency.
	plainSlow = 30
)

func (f *Fleet) plainCost(now time.Time, u *upstream) float64 {
	c := float64(u.running) + f.options.Random() + plainFailure*u.health.FailureRatio(now)
	c += plainSlow * u.health.Latency(now).Seconds()
	if f.isFar(u) {
		c += plainFar
	}
	if u.health.IsDown(now) {
		c += plainDown
	}
	return c
}

// Subscription is an engine of which the entry wants to hear.
type Subscription struct {
	Row *state.Upstream
	// Frequent tells that the entry uses the engine.
	Frequent bool
}

// Subscriptions returns the engines whose load the entry wants to hear of.
func (f *Fleet) Subscriptions(s *state.Snapshot) []Subscription {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []Subscription
	for _, p := range s.Pools() {
		if p.Engine == nil {
			continue
		}
		for _, u := range f.pools[p.Name] {
			if !f.isFar(u) || u.guest || u.running > 0 {
				all = append(all, Subscription{Row: u.row, Frequent: u.running > 0 || !f.isFar(u)})
			}
		}
	}
	return all
}

package target

import (
	"cmp"
	"slices"
	"time"

	"currantport.example/core/health"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
)

// Explanation states where a request would be sent, and why.
type Explanation struct {
	// Candidates are the upstreams of the pool, ordered by id.
	Candidates []Candidate
	// Choice is the id of the upstream that gets the request, or empty if none does. Second is the
	// next one, or empty, and Margin how much more it costs.
	Choice string
	Second string
	Margin float64
}

// Candidate is an upstream of the request's pool.
type Candidate struct {
	Row    *state.Upstream
	Region hosts.Region
	// Load is the assumed load. LoadAge is the age of the load report behind it, or zero if
	// HasReport is false.
	Load      timing.Load
	LoadAge   time.Duration
	HasReport bool
	// Silence is how long the agent of an engine that is closed has sent no load report, or zero if the last
	// one is valid.
	Silence time.Duration
	// Version is the version that the upstream serves, or zero if it is unknown or none.
	Version int
	// IsEnding is set if a later version was released, and EndsIn is how long requests may still be
	// sent to this one.
	IsEnding bool
	EndsIn   time.Duration
	// Predicted is the expected time to the first event. For a plain service it is the mean of
	// past ones, or zero.
	Predicted time.Duration
	// Exclusions are the reasons why it may not take the request.
	Exclusions []Exclusion
	// Limit is its limit in requests a second, or zero, and LimitOwner the entry that spends it.
	Limit      float64
	LimitOwner hosts.Name
	// Costs are the parts of its cost other than zero, Cost their sum: milliseconds for an engine,
	// requests in progress for a plain service. MaxJitter bounds the random part, which isn't in
	// them.
	Costs     []Cost
	Cost      float64
	MaxJitter float64
	// Free is how many further requests of this kind the engine can take, and Needed how many that
	// must be for the request to be admitted. They are zero for plain services.
	Free   int
	Needed int
	// IsAdmitted is set if it may get the request and has room.
	IsAdmitted bool
}

// Cost is one part of the cost of an upstream.
type Cost struct {
	Name  string
	Value float64
}

// Explain returns where ChooseEngine or ChoosePlain would send the request, without its random part.
// It changes no state.
func (f *Fleet) Explain(now time.Time, reqs Requirements) Explanation {
	return f.Fork(reqs.Pool.Name).explain(now, reqs)
}

// explain is Explain on a fork, which it changes.
func (f *Fleet) explain(now time.Time, reqs Requirements) Explanation {
	var e Explanation
	if reqs.Pool.Engine == nil {
		e = f.explainPlain(now, reqs)
	} else {
		e = f.explainEngines(now, reqs)
	}
	e.rank()
	return e
}

// rank finds the second candidate.
func (e *Explanation) rank() {
	chosen := slices.IndexFunc(e.Candidates, func(c Candidate) bool { return c.Row.ID == e.Choice })
	if chosen < 0 {
		return
	}
	for _, c := range e.Candidates {
		if margin := c.Cost - e.Candidates[chosen].Cost; c.IsAdmitted && c.Row.ID != e.Choice && (e.Second == "" || margin < e.Margin) {
			e.Second, e.Margin = c.Row.ID, margin
		}
	}
}

func (f *Fleet) explainEngines(now time.Time, reqs Requirements) Explanation {
	var e Explanation
	levels := f.levelReserve(now, reqs)
	best, usable := f.bestEngine(now, reqs)
	if best != nil {
		e.Choice = best.upstream.row.ID
	}
	for _, u := range f.pools[reqs.Pool.Name] {
		c := candidate{upstream: u, load: u.load(now)}
		c.firstEvent = timing.FirstEvent(reqs.Pool.Engine, c.load, reqs.PromptTokens)
		i := slices.IndexFunc(usable, func(c candidate) bool { return c.upstream == u })
		if i >= 0 {
			c = usable[i]
		}
		parts := f.cost(now, reqs, &c)
		d := f.describe(now, u, reqs)
		d.Load, d.Predicted, d.Version = c.load, c.firstEvent, max(u.servedVersion(now, reqs.Model), 0)
		if end := f.cutoff(reqs.Model, d.Version); d.Version > 0 && !end.IsZero() {
			d.IsEnding, d.EndsIn = true, max(end.Sub(now), 0)
		}
		d.Costs, d.Cost = describeCosts(&parts, float64(time.Millisecond))
		d.MaxJitter = costJitterRatio * float64(c.firstEvent) / float64(time.Millisecond)
		if i < 0 && len(d.Exclusions) == 0 {
			d.Exclusions = []Exclusion{ExclusionUnassigned}
		}
		reserve := f.reserve(now, u, reqs) + f.urgentReserve(reqs, u, levels)
		d.Free, d.Needed = room(reqs, c.load, reserve)
		d.IsAdmitted = len(d.Exclusions) == 0 && admits(reqs, c.load, reserve)
		e.Candidates = append(e.Candidates, d)
	}
	return e
}

func (f *Fleet) explainPlain(now time.Time, reqs Requirements) Explanation {
	var e Explanation
	if best := f.bestPlain(now, reqs); best != nil {
		e.Choice = best.row.ID
	}
	for _, u := range f.pools[reqs.Pool.Name] {
		parts := f.plainCost(now, u)
		d := f.describe(now, u, reqs)
		d.Predicted, d.MaxJitter = u.health.Latency(now), 1
		d.Costs, d.Cost = describeCosts(&parts, 1)
		d.IsAdmitted = len(d.Exclusions) == 0
		e.Candidates = append(e.Candidates, d)
	}
	return e
}

// describe returns what engines and plain services have in common.
func (f *Fleet) describe(now time.Time, u *upstream, reqs Requirements) Candidate {
	d := Candidate{
		Row: u.row, Region: f.options.Regions[hosts.Domain(u.row.Domain)], Load: u.load(now), HasReport: u.hasReport(now),
		Silence: u.closedSilence(now), Exclusions: f.allExclusions(now, u, reqs),
	}
	if d.HasReport {
		d.LoadAge = now.Sub(u.reportedAt)
	}
	if s := u.demands.limit; s.isSet(now) {
		d.Limit, d.LimitOwner = s.effectiveRate(now), cmp.Or(s.owner, f.options.Self)
	}
	return d
}

// describeCosts returns the parts other than zero and their sum in the given unit.
func describeCosts[T time.Duration | float64](parts *costs[T], unit float64) ([]Cost, float64) {
	var all []Cost
	for kind, value := range parts {
		if value != 0 {
			all = append(all, Cost{Name: costNames[kind], Value: float64(value) / unit})
		}
	}
	return all, float64(parts.sum()) / unit
}

// allExclusions returns every reason why the upstream may not take the request, as far as each can be
// lifted to find the next. It is called on a fork.
func (f *Fleet) allExclusions(now time.Time, u *upstream, reqs Requirements) []Exclusion {
	evacuated := f.evacuated
	defer func() { f.evacuated = evacuated }()
	var all []Exclusion
	lifted := u.clone()
	for {
		reason := f.anyExclusion(now, lifted, reqs)
		if reason == ExclusionNone || slices.Contains(all, reason) {
			return all
		}
		all = append(all, reason)
		f.lift(lifted, &reqs, reason)
	}
}

// lift removes the reason from the upstream or the requirements, if that is possible.
func (f *Fleet) lift(u *upstream, reqs *Requirements, reason Exclusion) {
	switch reason {
	case ExclusionHome:
		reqs.Homes = state.Homes{}
	case ExclusionEvacuated:
		f.evacuated = nil
	case ExclusionDraining:
		row := *u.row
		row.Draining = false
		u.row, u.demands.leaving = &row, false
	case ExclusionHeld:
		u.demands.heldUntil = time.Time{}
	case ExclusionTried:
		reqs.Exclude = nil
	case ExclusionDown:
		u.health = health.Record{}
	case ExclusionClosed:
		u.demands.closedAt = time.Time{}
	case ExclusionLimit:
		u.demands.limit = nil
	}
}

package query

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/choice"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/target"
)

func documentOf(e proxy.Explanation) choice.Document {
	r := e.View.State.Revision
	d := choice.Document{
		Era: r.Era(), Revision: r.Number(), CopyAge: milliseconds(e.View.Staleness), Pools: make([]choice.PoolDocument, 0, len(e.Pools)),
		Refusal: refusalOf(e.Refusal, 0, 0),
	}
	for _, p := range e.Pools {
		d.Pools = append(d.Pools, poolOf(p))
	}
	return d
}

func poolOf(p proxy.PoolExplanation) choice.PoolDocument {
	reqs := p.Requirements
	d := choice.PoolDocument{
		Pool: reqs.Pool.Name, Share: p.Share, Model: reqs.Model, Bound: reqs.Homes.IsBound(), Level: reqs.Level, Levels: max(reqs.Levels, 1),
		Remaining: milliseconds(reqs.Remaining), Unit: "ms", Candidates: make([]choice.CandidateDocument, 0, len(p.Candidates)),
		Choice: p.Choice, Second: p.Second, Margin: p.Margin, Refusal: refusalOf(p.Refusal, p.LatestRetry, p.MaxWait),
	}
	if reqs.Pool.Engine == nil {
		d.Unit = "requests"
	}
	for _, r := range reqs.Homes.Regions() {
		d.Homes = append(d.Homes, string(r))
	}
	for _, c := range p.Candidates {
		d.Candidates = append(d.Candidates, candidateOf(c))
	}
	return d
}

func candidateOf(c target.Candidate) choice.CandidateDocument {
	d := choice.CandidateDocument{
		Upstream: c.Row.ID, Domain: c.Row.Domain, Region: string(c.Region), Running: c.Load.Running, Unread: c.Load.Unread,
		Reported: c.HasReport, Age: milliseconds(c.LoadAge), Silence: milliseconds(c.Silence), Pace: c.Load.Pace, Version: c.Version, Ending: c.IsEnding, Ends: milliseconds(c.EndsIn), Predicted: milliseconds(c.Predicted),
		Limit: c.Limit, Owner: string(c.LimitOwner), Cost: c.Cost, Jitter: c.MaxJitter, Free: c.Free, Needed: c.Needed, Admitted: c.IsAdmitted,
	}
	for _, e := range c.Exclusions {
		d.Excluded = append(d.Excluded, string(e))
	}
	for _, part := range c.Costs {
		d.Costs = append(d.Costs, choice.CostDocument{Name: part.Name, Value: part.Value})
	}
	return d
}

// refusalOf returns nil for no refusal.
func refusalOf(r *calls.Refusal, latest, held time.Duration) *choice.RefusalDocument {
	if r == nil {
		return nil
	}
	return &choice.RefusalDocument{
		Reason: string(r.Reason), Detail: r.Detail, Wait: milliseconds(r.RetryAfter), Latest: milliseconds(max(latest, r.RetryAfter)), Held: milliseconds(held),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

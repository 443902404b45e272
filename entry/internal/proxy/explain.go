package proxy

import (
	"fmt"
	"slices"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/target"
)

// Question describes a request of which the placement is to be explained.
type Question struct {
	Route string
	// Workspace is the name of the workspace, or empty if the route takes requests without a key.
	Workspace string
	// Model may be empty if the route's pools serve one model.
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Timeout is the one that the client states, or zero.
	Timeout time.Duration
}

// QuestionError reports a question that can't be answered.
type QuestionError struct {
	// Field is the name of the wrong field.
	Field  string
	Reason string
}

// Error implements error.
func (e *QuestionError) Error() string { return e.Field + ": " + e.Reason }

// Explanation states where a request would be sent now.
type Explanation struct {
	View View
	// Pools are those of the route, unless the request is refused before one is drawn.
	Pools   []PoolExplanation
	Refusal *calls.Refusal
}

// PoolExplanation is the part of an Explanation for one pool of the route.
type PoolExplanation struct {
	target.Explanation
	// Share is the part of the route's requests that is sent to the pool, from 0 to 1.
	Share        float64
	Requirements target.Requirements
	// Refusal is set if no upstream would take the request now. The time that the client gets is
	// drawn between Refusal.RetryAfter and LatestRetry. The request waits for up to MaxWait before
	// it is refused.
	Refusal     *calls.Refusal
	LatestRetry time.Duration
	MaxWait     time.Duration
}

// Explain returns where the first attempt of a request would be sent now. The request counts as one
// whose client wasn't refused before. It sends nothing and changes no state. The error is a
// *QuestionError.
func (h *Handler) Explain(q Question) (Explanation, error) {
	l := &lifecycle{handler: h, arrived: time.Now(), view: h.view()}
	e := Explanation{View: l.view}
	// Before the first configuration all requests are refused alike, and no route is known.
	if !l.view.State.Configured {
		l.call.Timeout = q.Timeout
		if _, e.Refusal = h.options.Bounds.Admit(l.view, &l.call); e.Refusal != nil {
			e.Refusal.RetryAfter = l.withDraw(0).retryAfter(e.Refusal.RetryAfter)
		}
		return e, nil
	}
	err := l.buildCall(q)
	if err != nil {
		return Explanation{}, err
	}
	if l.admission, e.Refusal = h.options.Bounds.Admit(l.view, &l.call); e.Refusal == nil {
		e.Pools, err = l.explainPools(q)
	}
	if err == nil && e.Refusal == nil && len(e.Pools) == 0 {
		e.Refusal = l.withDraw(0).noPoolRefusal()
	}
	return e, err
}

// explainPools explains the choice in each pool of the route.
func (l *lifecycle) explainPools(q Question) ([]PoolExplanation, error) {
	var all []PoolExplanation
	listed, sum := l.listedTargets()
	for _, t := range listed {
		l.pool = l.view.State.Pool(t.Pool)
		model, err := modelOf(q, l.pool, len(listed))
		if err != nil {
			return nil, err
		}
		l.call.Model = model
		p := l.explainPool()
		p.Share = float64(t.Weight) / float64(max(sum, 1))
		all = append(all, p)
	}
	return all, nil
}

// buildCall builds the request as the client would state it, without its body.
func (l *lifecycle) buildCall(q Question) error {
	r := l.view.State.RouteNamed(q.Route)
	if r == nil {
		return &QuestionError{Field: "route", Reason: fmt.Sprintf("no route is named %q", q.Route)}
	}
	l.call = calls.Call{Host: r.Host, Path: r.Prefix, Prompt: q.PromptTokens, Timeout: q.Timeout}
	switch w := l.view.State.WorkspaceNamed(q.Workspace); {
	case w != nil:
		l.call.Credential = w.Keys[0]
	case q.Workspace != "":
		return &QuestionError{Field: "workspace", Reason: fmt.Sprintf("no workspace with a key is named %q", q.Workspace)}
	case !r.Anonymous && l.view.State.RequiresKey():
		return &QuestionError{Field: "workspace", Reason: "requests of the route need one"}
	}
	return nil
}

// modelOf returns the model of a request to the pool, one of the given number of the route.
func modelOf(q Question, p *state.Pool, pools int) (string, error) {
	if p.Engine == nil {
		return "", nil
	}
	isListed := slices.ContainsFunc(p.Engine.Models, func(m state.Model) bool { return m.Name == q.Model })
	switch {
	case isListed, q.Model != "" && pools > 1:
		return q.Model, nil
	case q.Model != "":
		return "", &QuestionError{Field: "model", Reason: fmt.Sprintf("pool %q doesn't serve %q", p.Name, q.Model)}
	case len(p.Engine.Models) == 1:
		return p.Engine.Models[0].Name, nil
	}
	return "", &QuestionError{Field: "model", Reason: fmt.Sprintf("pool %q serves %d models, so that one must be given", p.Name, len(p.Engine.Models))}
}

// explainPool explains the choice among the upstreams of the request's pool.
func (l *lifecycle) explainPool() PoolExplanation {
	fleet, now := l.handler.options.Fleet.Fork(l.pool.Name), clocks.Now()
	reqs := l.requirements()
	reqs.Remaining = l.poolObjective()
	if reqs.Levels > 1 {
		reqs.Ahead = l.handler.queues.ahead(l.pool.Name, reqs)
	}
	p := PoolExplanation{Explanation: fleet.Explain(now, reqs), Requirements: reqs}
	if p.Choice != "" {
		return p
	}
	var canWait bool
	p.Refusal, canWait = l.explainRefusal(fleet, now, reqs, 0)
	latest, _ := l.explainRefusal(fleet, now, reqs, almostOne)
	p.LatestRetry = latest.RetryAfter
	if canWait {
		p.MaxWait = l.objective() / capacityWaitDivisor
		if reqs.Levels > 1 {
			p.MaxWait = max(p.MaxWait, level.MaxWait(l.pool.Engine, l.objective()))
		}
	}
	return p
}

// almostOne stands for the largest number that Options.Random returns. It gives the latest retry.
const almostOne = 1 - 1e-9

// withDraw returns a copy in which draw takes the place of the random number that spreads the retries.
func (l *lifecycle) withDraw(draw float64) *lifecycle {
	o := l.handler.options
	o.Random = func() float64 { return draw }
	return &lifecycle{handler: &Handler{options: o}, arrived: l.arrived, view: l.view, call: l.call, admission: l.admission, pool: l.pool}
}

// explainRefusal returns the refusal of a request that no upstream takes, and whether the request
// waits before it is refused, with the given draw. The choice is made on a copy of the fleet, since it
// changes limits and the times of retries.
func (l *lifecycle) explainRefusal(fleet *target.Fleet, now time.Time, reqs target.Requirements, draw float64) (refusal *calls.Refusal, canWait bool) {
	copied := l.withDraw(draw)
	copied.handler.options.Fleet = fleet.Fork(l.pool.Name)
	_, full := copied.choose(now, reqs)
	limited, hasLimited := copied.handler.options.Fleet.AwaitLimited(now, reqs, &target.GrantRequest{})
	return copied.placementRefusal(reqs, full, limited, hasLimited), full > 0 || hasLimited
}

package proxy

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/entry/internal/target"
)

// placementRefusal returns the refusal of a request that got no upstream. Full is the time after which
// an engine may have room, or zero if none could serve it; limited is when a limit may let it pass.
func (l *lifecycle) placementRefusal(reqs target.Requirements, full, limited time.Duration, hasLimited bool) *calls.Refusal {
	switch {
	case full > 0:
		return calls.NotRun(calls.ReasonOverload, l.retryAfter(full), "the engines are full")
	case hasLimited:
		wait := l.handler.options.Fleet.LimitedRetryDelay(clocks.Now(), l.pool.Name, limited)
		return calls.NotRun(calls.ReasonLimited, max(wait, l.shortestReturn()), "the upstreams take no more requests a second")
	}
	return l.refusalOfNone(reqs)
}

// refusalOfNone returns the refusal of a request for which there is no upstream. If the upstreams
// have asked to be left alone, the client may return when the first of them takes requests again.
// The times are spread, so that it isn't met by all of them at once.
func (l *lifecycle) refusalOfNone(reqs target.Requirements) *calls.Refusal {
	if hold := l.handler.options.Fleet.SoonestHold(clocks.Now(), reqs); hold > 0 {
		spread := time.Duration(l.handler.options.Random() * float64(holdSpread))
		return calls.NotRun(calls.ReasonHeld, hold+spread, "the upstreams want no requests for a while")
	}
	switch l.handler.options.Fleet.SoleExclusion(clocks.Now(), reqs) {
	case target.ExclusionHome:
		return calls.NotRun(calls.ReasonHome, noUpstreamRetryAfter, "no upstream in the home regions of the request")
	case target.ExclusionEvacuated:
		return calls.NotRun(calls.ReasonEvacuated, noUpstreamRetryAfter, "the failure domains that could serve the request are evacuated")
	}
	return calls.NotRun(calls.ReasonNoUpstream, l.retryAfter(noUpstreamRetryAfter), "no upstream serves the request")
}

func noPoolRefusal() *calls.Refusal {
	return calls.NotRun(calls.ReasonNoPool, noUpstreamRetryAfter, "the route's pools aren't listed")
}

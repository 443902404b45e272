package proxy

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/entry/internal/target"
)

// placementRefusal returns the refusal of a request that got no upstream. Full is the time after which
// an engine may have room, or zero if none could serve it. Limited is the time after which a limit may
// allow the request, if hasLimited is set.
func (l *lifecycle) placementRefusal(reqs target.Requirements, full, limited time.Duration, hasLimited bool) *calls.Refusal {
	switch {
	case full > 0:
		return calls.NotRun(calls.ReasonOverload, l.retryAfter(full), "the engines are full")
	case hasLimited:
		wait := l.handler.options.Fleet.LimitedRetryDelay(clocks.Now(), l.pool.Name, limited)
		return calls.NotRun(calls.ReasonLimited, max(wait, l.shortestReturn()), "the limits of the upstreams, in requests per second, are used up")
	}
	return l.noUpstreamRefusal(reqs)
}

// noUpstreamRefusal returns the refusal of a request for which there is no upstream. If the upstreams
// have asked for a pause, the client may return when the first of them takes requests again. The
// times are spread, so that the clients don't all return to it at once.
func (l *lifecycle) noUpstreamRefusal(reqs target.Requirements) *calls.Refusal {
	if hold := l.handler.options.Fleet.SoonestHold(clocks.Now(), reqs); hold > 0 {
		spread := time.Duration(l.handler.options.Random() * float64(holdSpread))
		return calls.NotRun(calls.ReasonHeld, hold+spread, "the upstreams have asked for a pause")
	}
	switch l.handler.options.Fleet.SoleExclusion(clocks.Now(), reqs) {
	case target.ExclusionHome:
		return calls.NotRun(calls.ReasonHome, l.retryAfter(noUpstreamRetryAfter), "no upstream in the home regions of the request")
	case target.ExclusionEvacuated:
		return calls.NotRun(calls.ReasonEvacuated, l.retryAfter(noUpstreamRetryAfter), "the failure domains that could serve the request are evacuated")
	}
	return calls.NotRun(calls.ReasonNoUpstream, l.retryAfter(noUpstreamRetryAfter), "no upstream serves the request")
}

func (l *lifecycle) noPoolRefusal() *calls.Refusal {
	return calls.NotRun(calls.ReasonNoPool, l.retryAfter(noUpstreamRetryAfter), "none of the route's pools is in the configuration")
}

package soak

import (
	"slices"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// holdGrace is the time after the response in which an entry may not know of a hold yet.
	holdGrace = 500 * time.Millisecond
	// maxHeldRequests is the number of requests that may reach an upstream during a hold.
	maxHeldRequests = 2
)

// entryRun is a run with the request and the entry that sent it.
type entryRun struct {
	request *sentRequest
	run     fakes.Run
}

// sender identifies one start of an entry and one incarnation of an upstream.
type sender struct {
	entry    processStart
	upstream string
}

// checkDemands checks that entries heed what upstreams say in their responses: that they leave,
// or that they want no requests for a while.
func (c *checker) checkDemands(all []*sentRequest, runs []fakes.Run) {
	for k, group := range groupRuns(all, runs, func(e entryRun) sender { return sender{entry: e.start(), upstream: e.run.UpstreamID} }) {
		c.checkLeaving(k, group)
		c.checkHolds(k, group)
	}
}

// start returns the process that sent the request to the upstream.
func (e entryRun) start() processStart {
	return processStart{e.request.entry.name, e.request.startNumber}
}

// groupRuns returns the runs of the requests by a key, in the order in which they arrived.
func groupRuns[K comparable](all []*sentRequest, runs []fakes.Run, keyOf func(entryRun) K) map[K][]entryRun {
	requests := make(map[string]*sentRequest, len(all))
	for _, s := range all {
		requests[s.ID] = s
	}
	groups := make(map[K][]entryRun)
	for _, r := range runs {
		if s := requests[r.ID]; s != nil {
			e := entryRun{request: s, run: r}
			groups[keyOf(e)] = append(groups[keyOf(e)], e)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b entryRun) int { return a.run.ReceivedAt.Compare(b.run.ReceivedAt) })
	}
	return groups
}

// checkLeaving checks that an upstream gets no request that was sent drainLimit after the entry
// had passed on a response that says that it leaves.
func (c *checker) checkLeaving(k sender, group []entryRun) {
	var known time.Time
	for _, e := range group {
		if e.run.Leaving && e.isPassedOn() && (known.IsZero() || e.request.endedAt.Before(known)) {
			known = e.request.endedAt
		}
	}
	if known.IsZero() {
		return
	}
	for _, e := range group {
		if e.request.sentAt.Sub(known) > drainLimit && e.run.Status != statusMisdirected &&
			c.world.timeline.undisturbed(known, e.run.ReceivedAt, k.entry.name) {
			c.recordViolation("leaving", "%s at %s through %s reached %s %s after it had said that it leaves",
				e.request.ID, c.world.timeline.offset(e.request.sentAt), k.entry.name, k.upstream, e.request.sentAt.Sub(known))
		}
	}
}

// isPassedOn reports whether the client got the response.
func (e entryRun) isPassedOn() bool {
	return e.request.response.Status == e.run.Status && !e.request.endedAt.IsZero()
}

// checkHolds checks that an upstream is left alone for as long as it asked the entry for.
func (c *checker) checkHolds(k sender, group []entryRun) {
	for _, e := range group {
		if e.run.Hold == 0 {
			continue
		}
		from, until := e.run.EndedAt.Add(holdGrace), e.run.EndedAt.Add(e.run.Hold)
		if !c.world.timeline.undisturbed(e.run.EndedAt, until, k.entry.name) {
			continue
		}
		n := 0
		for _, other := range group {
			if other.run.ReceivedAt.After(from) && other.run.ReceivedAt.Before(until) {
				n++
			}
		}
		if n > maxHeldRequests {
			c.recordViolation("holds", "%d requests through %s reached %s at %s although it had asked for a pause of %s",
				n, k.entry.name, k.upstream, c.world.timeline.offset(from), e.run.Hold)
		}
	}
}

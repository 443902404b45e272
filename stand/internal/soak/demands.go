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
	requests := make(map[string]*sentRequest, len(all))
	for _, s := range all {
		requests[s.ID] = s
	}
	groups := make(map[sender][]entryRun)
	for _, r := range runs {
		s := requests[r.ID]
		if s == nil {
			continue
		}
		k := sender{entry: processStart{s.entry.name, s.startNumber}, upstream: r.UpstreamID}
		groups[k] = append(groups[k], entryRun{request: s, run: r})
	}
	for k, group := range groups {
		slices.SortFunc(group, func(a, b entryRun) int { return a.run.ReceivedAt.Compare(b.run.ReceivedAt) })
		c.checkLeaving(k, group)
		c.checkHolds(k, group)
	}
}

// checkLeaving checks that an upstream gets no request that was sent drainLimit after the entry
// had passed on a response that says that it leaves.
func (c *checker) checkLeaving(k sender, group []entryRun) {
	var known time.Time
	for _, e := range group {
		told := e.run.Leaving && e.request.response.Status == e.run.Status && !e.request.endedAt.IsZero()
		if told && (known.IsZero() || e.request.endedAt.Before(known)) {
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

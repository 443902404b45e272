package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantport.example/platform/fakes"
)

// checkConfig judges by which configuration a request was handled.
func (j *judge) checkConfig(s *sent, runs []fakes.Run) {
	all, _ := j.world.operator.history()
	prefix := s.Target[:strings.Index(s.Target[1:], "/")+2]
	calm := j.world.timeline.calm(s.at.Add(-applyTime), s.done, s.entry.name, subjectStore)
	pools := make(map[string]bool)
	for i, g := range all {
		if g.sent.After(s.done) || calm && superseded(all, i, s) {
			continue
		}
		if pool, ok := g.pools[prefix]; ok {
			pools[pool] = true
		}
	}
	ran := lastRun(runs)
	at := j.world.timeline.since(s.at)
	if ran != nil && !pools[ran.Pool] {
		j.report("route", "%s at %s through %s, calm %t: %s was run by %s, allowed: %v", s.ID, at, s.entry.name, calm, prefix, ran.Pool, pools)
	}
	if s.probe == 0 {
		return
	}
	if s.entry.boot() == s.boot {
		j.checkForward(s, ran != nil, len(all))
	}
	if calm && s.answer.Status == http.StatusNotFound && mustKnow(s, all) {
		j.report("apply", "%s at %s through %s: %s isn't known", s.ID, at, s.entry.name, prefix)
	}
}

// lastRun returns the last run that began, or nil.
func lastRun(runs []fakes.Run) *fakes.Run {
	for i := len(runs) - 1; i >= 0; i-- {
		if !runs[i].StartedAt.IsZero() {
			return &runs[i]
		}
	}
	return nil
}

// superseded reports whether the i-th configuration was out of force when a request was
// sent to an entry that is in touch with the store.
func superseded(all []generation, i int, s *sent) bool {
	return i+1 < len(all) && s.at.Sub(all[i+1].taken) > applyTime
}

// mustKnow reports whether each configuration that may be in force has the route of a
// probe.
func mustKnow(s *sent, all []generation) bool {
	for i, g := range all {
		if _, ok := g.pools[prefixOf(s.probe)]; !ok && !superseded(all, i, s) && !g.sent.After(s.done) {
			return false
		}
	}
	return true
}

// checkForward checks that a start of an entry doesn't go back to an older configuration.
func (j *judge) checkForward(s *sent, ran bool, newest int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	k := start{s.entry.name, s.boot}
	seen := j.shown[k]
	late := seen.generation > 0 && s.at.Sub(seen.at) > regressTime
	at := j.world.timeline.since(s.at)
	if late && ran && s.probe+keptRoutes <= seen.generation {
		j.note("forward", fmt.Sprintf("%s at %s: %s served the route of generation %d after it has shown %d", s.ID, at, k.name, s.probe, seen.generation))
	}
	if late && s.answer.Status == http.StatusNotFound && s.probe <= seen.generation && s.probe+keptRoutes > newest {
		j.note("forward", fmt.Sprintf("%s at %s: %s doesn't know the route of generation %d after it has shown %d", s.ID, at, k.name, s.probe, seen.generation))
	}
	if ran && s.probe > seen.generation {
		j.shown[k] = shown{generation: s.probe, at: s.done}
	}
}

// checkUnasked checks that upstreams ran only what callers sent.
func (j *judge) checkUnasked(all []*sent, runs []fakes.Run) {
	known := make(map[string]bool)
	for _, s := range all {
		known[s.ID] = true
	}
	for i := range runs {
		if !known[runs[i].ID] {
			j.report("unasked", "%s ran a request with the id %q", runs[i].UpstreamID, runs[i].ID)
		}
	}
}

// checkBudget checks that repeats to a pool stay within the budget of the fleet in each
// window.
func (j *judge) checkBudget(all []*sent, runs []fakes.Run) {
	pools := map[string][]time.Time{}
	for _, s := range all {
		pool := poolDesk
		if s.kind.stream {
			pool = poolMinds
		}
		pools[pool] = append(pools[pool], s.at)
	}
	repeats := map[string][]time.Time{}
	first := make(map[string]bool)
	for i := range runs {
		r := &runs[i]
		pool := r.Pool
		if pool == poolAnnex {
			pool = poolDesk
		}
		if first[r.ID] {
			repeats[pool] = append(repeats[pool], r.ReceivedAt)
			j.repeats++
		}
		first[r.ID] = true
	}
	for pool, times := range repeats {
		for _, end := range times {
			n := within(times, end.Add(-retryWindow), end)
			requests := max(within(pools[pool], end.Add(-retryWindow), end), within(pools[pool], end.Add(-2*retryWindow), end.Add(-retryWindow)),
				within(pools[pool], end.Add(-retryWindow*3/2), end.Add(-retryWindow/2)))
			if allowed := int(retryRatio*float64(requests)) + retrySlack; n > allowed {
				j.report("budget", "%d repeats to %s in the %s before %s, allowed %d", n, pool, retryWindow, j.world.timeline.since(end), allowed)
			}
		}
	}
}

func within(times []time.Time, from, until time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(until) {
			n++
		}
	}
	return n
}

// checkLeft checks that work for callers that have left ends soon.
func (j *judge) checkLeft(all []*sent) {
	late, working, left := 0, 0, 0
	var first string
	for _, s := range all {
		if s.left.IsZero() || !j.world.timeline.calm(s.at, s.left.Add(leaveTime), s.entry.name) {
			continue
		}
		limit := s.left.Add(leaveTime)
		for _, r := range j.world.ledger.RunsOf(s.ID) {
			if r.ReceivedAt.After(limit) {
				late++
				first = s.ID
			}
			if r.StartedAt.IsZero() || !s.kind.repeatable && !s.kind.stream {
				continue
			}
			left++
			if r.EndedAt.After(limit) {
				working++
				first = s.ID
			}
		}
	}
	if late > fewEvents || left > fewEvents && float64(working) > workShare*float64(left) {
		j.report("left", "%d requests came and %d of %d were at work %s after their callers had left, such as %s", late, working, left, leaveTime, first)
	}
}

// checkHeld checks that requests get their final answer by the timeout of their route.
func (j *judge) checkHeld(all []*sent) {
	due, held := 0, 0
	var first string
	for _, s := range all {
		if s.done.IsZero() || s.done.Sub(s.at) < routeTimeout || !j.world.timeline.calm(s.at, s.done, s.entry.name) {
			continue
		}
		due++
		if s.done.Sub(s.at) > routeTimeout+heldTime {
			held++
			first = s.ID
		}
	}
	if due >= 2*fewEvents && held > due/2 {
		j.report("held", "%d of %d requests had no answer %s after their timeout, such as %s", held, due, heldTime, first)
	}
}

// checkStops checks that a graceful stop cuts off no request, and that undisturbed
// entries cut off nearly none.
func (j *judge) checkStops(all []*sent) {
	cut := 0
	var first string
	for _, s := range all {
		if s.answer.Err == nil || !s.left.IsZero() || s.done.IsZero() {
			continue
		}
		runs := j.world.ledger.RunsOf(s.ID)
		read := len(runs) > 0 || s.done.Sub(s.at) > lossTime
		if !read || j.upstreamHarmed(s, runs) {
			continue
		}
		at := j.world.timeline.since(s.at)
		if j.world.timeline.stopped(s.entry.name, s.at, s.done) && j.world.timeline.calmBut(eventStop, s.at, s.done, s.entry.name) {
			j.report("stop", "%s at %s through %s was cut off by a graceful stop: %v", s.ID, at, s.entry.name, s.answer.Err)
		}
		if j.world.timeline.calm(s.at, s.done, s.entry.name) {
			cut++
			first = fmt.Sprintf("%s at %s through %s: %v", s.ID, at, s.entry.name, s.answer.Err)
		}
	}
	if cut > fewEvents {
		j.report("lost", "%d requests were cut off by undisturbed entries, such as %s", cut, first)
	}
}

// upstreamHarmed reports whether an upstream of the request was harmed meanwhile.
func (j *judge) upstreamHarmed(s *sent, runs []fakes.Run) bool {
	for _, m := range j.world.members {
		for i := range runs {
			if strings.HasPrefix(runs[i].UpstreamID, m.IDPrefix()+"-") && !j.world.timeline.calm(s.at, s.done, m.name) {
				return true
			}
		}
	}
	return false
}

// checkDenied checks that what each configuration allows isn't denied.
func (j *judge) checkDenied(all []*sent) {
	denied := 0
	var first string
	for _, s := range all {
		if s.kind.name == "probe" || !s.answer.IsDenied() || !j.mustServe(s) {
			continue
		}
		denied++
		first = fmt.Sprintf("%s %s at %s through %s: %d", s.kind.name, s.ID, j.world.timeline.since(s.at), s.entry.name, s.answer.Status)
	}
	if denied > deniedCount+len(all)/deniedShare {
		j.report("denied", "%d proper requests were denied, such as %s", denied, first)
	}
}

// mustServe reports whether each configuration that may be in force at the entry holds the
// key of a request.
func (j *judge) mustServe(s *sent) bool {
	k := j.world.operator.keyOf(s.Credential)
	if !k.revoked.IsZero() {
		return false
	}
	// What the first configuration holds is allowed by all.
	first := k.given.Before(j.world.timeline.begun.Add(startTime))
	return first || s.at.Sub(k.given) > applyTime && j.world.timeline.calm(k.given, s.done, s.entry.name, subjectStore)
}

// checkServed checks that requests are served again after the faults.
func (j *judge) checkServed(all []*sent, calm time.Time) {
	n, good := 0, 0
	for _, s := range all {
		if s.at.Before(calm) || s.done.IsZero() || !s.left.IsZero() || s.kind.name == "probe" || !s.key.revoked.IsZero() {
			continue
		}
		n++
		if s.answer.IsSuccess() {
			good++
		}
	}
	if n == 0 || float64(good) < servedShare*float64(n) {
		j.report("recover", "%d of %d requests were served after the faults", good, n)
	}
}

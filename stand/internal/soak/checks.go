package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantport.example/platform/fakes"
)

// checkConfiguration checks that a request was handled by a configuration that could be
// active at the time.
func (c *checker) checkConfiguration(s *sentRequest, runs []fakes.Run) {
	all, _ := c.world.operator.history()
	prefix := s.Target[:strings.Index(s.Target[1:], "/")+2]
	undisturbed := c.world.timeline.undisturbed(s.sentAt.Add(-applyLimit), s.endedAt, s.entry.name, subjectStore)
	pools := make(map[string]bool)
	for i, g := range all {
		if g.publishedAt.After(s.endedAt) || undisturbed && superseded(all, i, s) {
			continue
		}
		if pool, ok := g.pools[prefix]; ok {
			pools[pool] = true
		}
	}
	ran := lastRun(runs)
	at := c.world.timeline.offset(s.sentAt)
	if ran != nil && !pools[ran.Pool] {
		c.recordViolation("route", "%s at %s through %s, undisturbed %t: %s was run by pool %s, allowed: %v", s.ID, at, s.entry.name, undisturbed, prefix, ran.Pool, pools)
	}
	if s.probedGeneration == 0 {
		return
	}
	if s.entry.startNumber() == s.startNumber {
		c.checkRegression(s, ran != nil, len(all))
	}
	if undisturbed && s.response.Status == http.StatusNotFound && mustHaveRoute(s, all) {
		c.recordViolation("apply", "%s at %s through %s: route %s is unknown", s.ID, at, s.entry.name, prefix)
	}
}

// lastRun returns the last run that started, or nil.
func lastRun(runs []fakes.Run) *fakes.Run {
	for i := len(runs) - 1; i >= 0; i-- {
		if !runs[i].StartedAt.IsZero() {
			return &runs[i]
		}
	}
	return nil
}

// superseded reports whether the i-th configuration was no longer active when a request was
// sent to an entry that is connected to the store.
func superseded(all []generation, i int, s *sentRequest) bool {
	return i+1 < len(all) && s.sentAt.Sub(all[i+1].storedAt) > applyLimit
}

// mustHaveRoute reports whether every configuration that may be active has the route of a
// probe.
func mustHaveRoute(s *sentRequest, all []generation) bool {
	for i, g := range all {
		if _, ok := g.pools[generationPrefix(s.probedGeneration)]; !ok && !superseded(all, i, s) && !g.publishedAt.After(s.endedAt) {
			return false
		}
	}
	return true
}

// checkRegression checks that a process start of an entry does not return to an older
// configuration.
func (c *checker) checkRegression(s *sentRequest, ran bool, published int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	k := processStart{s.entry.name, s.startNumber}
	newest := c.newestServed[k]
	late := newest.generation > 0 && s.sentAt.Sub(newest.observedAt) > regressionGrace
	at := c.world.timeline.offset(s.sentAt)
	if late && ran && s.probedGeneration+routeGenerations <= newest.generation {
		c.countViolation("forward", fmt.Sprintf("%s at %s: %s served the route of generation %d after serving generation %d", s.ID, at, k.name, s.probedGeneration, newest.generation))
	}
	if late && s.response.Status == http.StatusNotFound && s.probedGeneration <= newest.generation && s.probedGeneration+routeGenerations > published {
		c.countViolation("forward", fmt.Sprintf("%s at %s: %s has no route for generation %d after serving generation %d", s.ID, at, k.name, s.probedGeneration, newest.generation))
	}
	if ran && s.probedGeneration > newest.generation {
		c.newestServed[k] = servedGeneration{generation: s.probedGeneration, observedAt: s.endedAt}
	}
}

// checkUnsolicited checks that upstreams ran only what clients sent.
func (c *checker) checkUnsolicited(all []*sentRequest, runs []fakes.Run) {
	known := make(map[string]bool)
	for _, s := range all {
		known[s.ID] = true
	}
	for i := range runs {
		if !known[runs[i].ID] {
			c.recordViolation("unasked", "%s ran a request with the id %q", runs[i].UpstreamID, runs[i].ID)
		}
	}
}

// checkBudget checks that the retries to a pool stay within the retry budget of the fleet
// in every window.
func (c *checker) checkBudget(all []*sentRequest, runs []fakes.Run) {
	pools := map[string][]time.Time{}
	for _, s := range all {
		pool := poolDesk
		if s.kind.stream {
			pool = poolMinds
		}
		pools[pool] = append(pools[pool], s.sentAt)
	}
	retries := map[string][]time.Time{}
	first := make(map[string]bool)
	for i := range runs {
		r := &runs[i]
		pool := r.Pool
		if pool == poolAnnex {
			pool = poolDesk
		}
		if first[r.ID] {
			retries[pool] = append(retries[pool], r.ReceivedAt)
			c.retries++
		}
		first[r.ID] = true
	}
	for pool, times := range retries {
		for _, end := range times {
			n := countWithin(times, end.Add(-retryWindow), end)
			requests := max(countWithin(pools[pool], end.Add(-retryWindow), end), countWithin(pools[pool], end.Add(-2*retryWindow), end.Add(-retryWindow)),
				countWithin(pools[pool], end.Add(-retryWindow*3/2), end.Add(-retryWindow/2)))
			if allowed := int(retryRatio*float64(requests)) + retrySlack; n > allowed {
				c.recordViolation("budget", "%d retries to %s in the %s before %s, allowed %d", n, pool, retryWindow, c.world.timeline.offset(end), allowed)
			}
		}
	}
}

func countWithin(times []time.Time, from, until time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(until) {
			n++
		}
	}
	return n
}

// canceledRuns counts the runs of requests whose clients have disconnected in one way.
type canceledRuns struct {
	// late runs arrived after cancelGrace. Long ones would have lasted for longer than that, and running
	// ones did.
	late, long, running int
	// first is the id of a request with a violation.
	first string
}

// checkCanceled checks that work for clients that have disconnected ends soon, for each way to
// disconnect. Runs that would have ended by themselves before that don't count.
func (c *checker) checkCanceled(all []*sentRequest) {
	counts := make(map[wayToLeave]*canceledRuns)
	for _, s := range all {
		if s.canceledAt.IsZero() || !c.world.timeline.undisturbed(s.sentAt, s.canceledAt.Add(cancelGrace), s.entry.name) {
			continue
		}
		n := counts[s.leaves]
		if n == nil {
			n = &canceledRuns{}
			counts[s.leaves] = n
		}
		for _, r := range c.world.ledger.RunsOf(s.ID) {
			n.add(s, &r)
		}
	}
	for way, n := range counts {
		c.longCanceled += n.long
		if n.late > maxMisses || n.long > maxMisses && float64(n.running) > maxRunningRatio*float64(n.long) {
			c.recordViolation("left", "%d requests arrived and %d of %d were running %s after their clients had left (%s), such as %s", n.late, n.running, n.long, cancelGrace, way, n.first)
		}
	}
}

func (n *canceledRuns) add(s *sentRequest, r *fakes.Run) {
	limit := s.canceledAt.Add(cancelGrace)
	if r.ReceivedAt.After(limit) {
		n.late++
		n.first = s.ID
	}
	if r.StartedAt.IsZero() || !s.kind.retryable && !s.kind.stream || !r.ExpectedEnd.After(limit) {
		return
	}
	n.long++
	if r.EndedAt.IsZero() || r.EndedAt.After(limit) {
		n.running++
		n.first = s.ID
	}
}

// checkTimeouts checks that requests get their final response by the timeout of their
// route.
func (c *checker) checkTimeouts(all []*sentRequest) {
	due, overdue := 0, 0
	var first string
	for _, s := range all {
		if s.endedAt.IsZero() || s.endedAt.Sub(s.sentAt) < routeTimeout || !c.world.timeline.undisturbed(s.sentAt, s.endedAt, s.entry.name) {
			continue
		}
		due++
		if s.endedAt.Sub(s.sentAt) > routeTimeout+timeoutGrace {
			overdue++
			first = s.ID
		}
	}
	if due >= 2*maxMisses && overdue > due/2 {
		c.recordViolation("held", "%d of %d requests had no response %s after their timeout, such as %s", overdue, due, timeoutGrace, first)
	}
}

// checkShutdowns checks that a graceful shutdown aborts no request, and that undisturbed
// entries abort almost none. New settings excuse neither.
func (c *checker) checkShutdowns(all []*sentRequest) {
	aborted := 0
	var first string
	for _, s := range all {
		if s.response.Err == nil || !s.canceledAt.IsZero() || s.endedAt.IsZero() {
			continue
		}
		runs := c.world.ledger.RunsOf(s.ID)
		delivered := len(runs) > 0 || s.endedAt.Sub(s.sentAt) > deliveryTime
		// Silence of an upstream doesn't prolong the timeout of the route.
		if !delivered || c.upstreamDisturbed(s, runs) || s.endedAt.Sub(s.sentAt) >= routeTimeout && c.waited(s, runs) {
			continue
		}
		at := c.world.timeline.offset(s.sentAt)
		if c.world.timeline.stoppedBetween(s.entry.name, s.sentAt, s.endedAt) && c.world.timeline.undisturbedExcept([]string{eventGracefulStop, eventSettings}, s.sentAt, s.endedAt, s.entry.name) {
			c.recordViolation("stop", "%s at %s through %s was aborted by a graceful shutdown: %v", s.ID, at, s.entry.name, s.response.Err)
		}
		if c.world.timeline.undisturbedExcept([]string{eventSettings}, s.sentAt, s.endedAt, s.entry.name) {
			aborted++
			first = fmt.Sprintf("%s at %s through %s: %v", s.ID, at, s.entry.name, s.response.Err)
		}
	}
	if aborted > maxMisses {
		c.recordViolation("lost", "%d requests were aborted by undisturbed entries, such as %s", aborted, first)
	}
}

// upstreamDisturbed reports whether a fault affected an upstream of the request while it
// was in progress.
func (c *checker) upstreamDisturbed(s *sentRequest, runs []fakes.Run) bool {
	for _, m := range c.world.upstreams {
		for i := range runs {
			if strings.HasPrefix(runs[i].UpstreamID, m.IDPrefix()+"-") && !c.world.timeline.undisturbed(s.sentAt, s.endedAt, m.name) {
				return true
			}
		}
	}
	return false
}

// checkDenied checks that requests allowed by every configuration that may be active are
// not denied.
func (c *checker) checkDenied(all []*sentRequest) {
	denied := 0
	var first string
	for _, s := range all {
		if s.kind.name == "probe" || !s.response.IsDenied() || !c.mustAllow(s) {
			continue
		}
		denied++
		first = fmt.Sprintf("%s %s at %s through %s: %d", s.kind.name, s.ID, c.world.timeline.offset(s.sentAt), s.entry.name, s.response.Status)
	}
	if denied > allowedDenials+len(all)/requestsPerDenial {
		c.recordViolation("denied", "%d valid requests were denied, such as %s", denied, first)
	}
}

// mustAllow reports whether every configuration that may be active at the entry has the key
// of a request.
func (c *checker) mustAllow(s *sentRequest) bool {
	k := c.world.operator.keyOf(s.Credential)
	if !k.revokedAt.IsZero() {
		return false
	}
	// Every configuration contains the keys of the first one that aren't revoked.
	first := k.grantedAt.Before(c.world.timeline.startedAt.Add(startupTime))
	return first || s.sentAt.Sub(k.grantedAt) > applyLimit && c.world.timeline.undisturbed(k.grantedAt, s.endedAt, s.entry.name, subjectStore)
}

// checkRecovery checks that requests sent after a time are served again, those to engines and those
// to plain services.
func (c *checker) checkRecovery(all []*sentRequest, since time.Time) {
	for pool, isStream := range map[string]bool{poolMinds: true, poolDesk: false} {
		c.checkRecoveryOf(pool, isStream, all, since)
	}
}

func (c *checker) checkRecoveryOf(pool string, isStream bool, all []*sentRequest, since time.Time) {
	n, served := 0, 0
	for _, s := range all {
		if s.kind.stream != isStream || s.sentAt.Before(since) || s.endedAt.IsZero() || !s.canceledAt.IsZero() || s.kind.name == "probe" || !s.key.revokedAt.IsZero() {
			continue
		}
		n++
		if s.response.IsSuccess() {
			served++
		}
	}
	if n == 0 || float64(served) < minServedRatio*float64(n) {
		c.recordViolation("recover", "%d of %d requests to %s were served after the faults", served, n, pool)
	}
}

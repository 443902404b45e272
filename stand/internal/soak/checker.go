package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/platform/fakes"
)

const (
	// checkInterval is the time between two checks of the requests that have ended.
	checkInterval = 500 * time.Millisecond
	// settleDelay is the time after the end of a request by which its upstreams have
	// recorded what they did.
	settleDelay = 3 * time.Second
	// regressionGrace is the time after which a process that has served by a configuration
	// must no longer serve by an older one.
	regressionGrace = 250 * time.Millisecond
	// cancelGrace is the time within which work for a client that has disconnected must
	// end.
	cancelGrace = 500 * time.Millisecond
	// timeoutGrace is how much longer than the timeout of its route a request may take.
	timeoutGrace = 500 * time.Millisecond
	// deliveryTime is the time after which a request that was sent counts as read by the
	// entry.
	deliveryTime = 200 * time.Millisecond
	// maxMisses is the number of exceptions tolerated for guarantees that allow a few.
	maxMisses = 3
	// allowedDenials and requestsPerDenial bound the number of valid requests that may be
	// denied: a constant plus one in so many requests.
	allowedDenials    = 5
	requestsPerDenial = 500
	// minServedRatio is the minimum ratio of requests served after recovery.
	minServedRatio = 0.25
	// maxRunningRatio is the maximum ratio of runs that may continue after the client has
	// disconnected.
	maxRunningRatio = 0.25
)

// checker checks what clients and upstreams observe. It is safe for concurrent use.
type checker struct {
	world *world

	mutex sync.Mutex
	// poisons are the parts with which clients sent requests that crash engines.
	poisons []*poisonPart
	// limits are the times for which upstreams named a limit.
	limits []namedLimit
	// evacuations are the times for which failure domains were evacuated.
	evacuations []evacuation
	// stalls are the times for which upstreams stood still.
	stalls []*stallPeriod
	// unchecked are requests that have ended but may still run, in the order of their end.
	unchecked []*sentRequest
	requests  []*sentRequest
	// newestServed is the newest configuration by which each process start of an entry has
	// served.
	newestServed map[processStart]servedGeneration
	// counts is the number of violations by check, examples the first of each.
	counts   map[string]int
	examples map[string]string
	// endedCount counts the requests that have ended, successCount those that succeeded.
	endedCount   int
	successCount int
	// retries is set by finish, and longCanceled, the number of runs for clients that had disconnected
	// which would have lasted for cancelGrace longer.
	retries, longCanceled int
	// changed is the number of requests beside a change, and kept that of those on a connection that had
	// been in use before the change.
	changed, kept int
}

// processStart identifies one start of a process.
type processStart struct {
	name   Subject
	number int
}

// servedGeneration is a configuration and when a request that was served by it ended.
type servedGeneration struct {
	generation int
	observedAt time.Time
}

func newChecker(w *world) *checker {
	return &checker{world: w, newestServed: make(map[processStart]servedGeneration), counts: make(map[string]int), examples: make(map[string]string)}
}

// recordViolation counts a violation of a check and keeps the text of the first.
func (c *checker) recordViolation(check, format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.countViolation(check, fmt.Sprintf(format, values...))
}

// countViolation is recordViolation for callers that hold the mutex.
func (c *checker) countViolation(check, text string) {
	if c.counts[check] == 0 {
		c.examples[check] = text
	}
	c.counts[check]++
}

func (c *checker) violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []Violation
	for check, n := range c.counts {
		all = append(all, Violation{Check: check, Count: n, First: c.examples[check]})
	}
	slices.SortFunc(all, func(a, b Violation) int { return cmp.Compare(a.Check, b.Check) })
	return all
}

func (c *checker) requestStarted(s *sentRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests = append(c.requests, s)
}

func (c *checker) requestEnded(s *sentRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unchecked = append(c.unchecked, s)
	c.endedCount++
	if s.response.IsSuccess() {
		c.successCount++
	}
}

// totals returns the number of requests that have ended and of those that succeeded.
func (c *checker) totals() (requests, successes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.endedCount, c.successCount
}

// run checks requests once they have settled.
func (c *checker) run(ctx context.Context) {
	for ctx.Err() == nil {
		clocks.Sleep(ctx, checkInterval)
		for _, s := range c.takeSettled(time.Now().Add(-settleDelay)) {
			c.check(s)
		}
		for _, p := range slices.Concat(c.world.entries, c.world.agentList()) {
			if n := p.residentBytes(); n > fakes.MemoryLimit {
				c.recordViolation("memory", "%s takes %d MiB", p.name, n>>20)
			}
		}
	}
}

// takeSettled removes and returns the requests that ended before a time, in the order of
// their end.
func (c *checker) takeSettled(before time.Time) []*sentRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := 0
	for n < len(c.unchecked) && c.unchecked[n].endedAt.Before(before) {
		n++
	}
	ready := c.unchecked[:n]
	c.unchecked = c.unchecked[n:]
	return ready
}

// check checks a single request.
func (c *checker) check(s *sentRequest) {
	runs := c.world.ledger.RunsOf(s.ID)
	for _, f := range checkRequest(s, runs) {
		c.recordViolation(f.check, "%s %s at %s through %s: %s", s.kind.name, s.ID, c.world.timeline.offset(s.sentAt), s.entry.name, f.text)
	}
	c.checkConfiguration(s, runs)
	for i := range runs {
		c.checkRun(s, &runs[i])
	}
}

// finding is a failed check and a description of what was observed.
type finding struct{ check, text string }

// checkRequest compares a response with the runs at the upstreams. Only guarantees without
// a time bound are checked here.
func checkRequest(s *sentRequest, runs []fakes.Run) []finding {
	var all []finding
	started := 0
	for _, r := range runs {
		if r.StartedAt.IsZero() {
			continue
		}
		started++
		if r.Target != s.Target || r.BodyDigest != s.bodyDigest {
			all = append(all, finding{"unchanged", "an upstream ran " + r.Target + " with another body or path"})
		}
		if !slices.Equal(r.Parts, s.Parts) {
			all = append(all, finding{"unchanged", fmt.Sprintf("an upstream ran the prompt %v instead of %v", r.Parts, s.Parts)})
		}
		if r.Workspace != s.key.workspace || r.Credential != "" {
			all = append(all, finding{"workspace", fmt.Sprintf("ran for workspace %q instead of %q, key forwarded: %t", r.Workspace, s.key.workspace, r.Credential != "")})
		}
	}
	if !s.kind.retryable && started > 1 {
		all = append(all, finding{"once", fmt.Sprintf("ran %d times", started)})
	}
	if !s.kind.retryable && s.response.IsNotRun() && started > 0 {
		all = append(all, finding{"refused", fmt.Sprintf("refused with status %d although it ran", s.response.Status)})
	}
	if text := checkResponse(s, runs); text != "" {
		all = append(all, finding{"answer", text})
	}
	return all
}

// checkRun checks one run of a request against the guarantees that have a time bound.
func (c *checker) checkRun(s *sentRequest, r *fakes.Run) {
	w := c.world
	k := w.operator.keyOf(s.Credential)
	at := w.timeline.offset(s.sentAt)
	if !r.StartedAt.IsZero() && !k.revokedAt.IsZero() && s.sentAt.Sub(k.revokedAt) > revokeLimit {
		c.recordViolation("revoked", "%s at %s through %s ran %s after its key was revoked", s.ID, at, s.entry.name, s.sentAt.Sub(k.revokedAt))
	}
	if drained, ok := w.operator.drainedAt(r.UpstreamID); ok && r.ReceivedAt.Sub(drained) > drainLimit && r.Status != statusMisdirected &&
		w.timeline.undisturbed(drained, r.ReceivedAt, s.entry.name, subjectStore) {
		c.recordViolation("drain", "%s at %s through %s reached %s %s after it was drained", s.ID, at, s.entry.name, r.UpstreamID, r.ReceivedAt.Sub(drained))
	}
	c.checkVersion(s, r)
}

// checkVersion checks that nothing starts on a version once a newer one was acknowledged for
// versionLimit. The time counts from the acknowledgement, also for an entry that was disturbed
// then, while the store and the link of the entry to it are undisturbed.
func (c *checker) checkVersion(s *sentRequest, r *fakes.Run) {
	t := c.world.timeline
	if r.StartedAt.IsZero() || r.Version == 0 || !t.undisturbed(r.ReceivedAt, r.StartedAt, s.entry.name) {
		return
	}
	counted := r.StartedAt.Add(-versionLimit)
	_, versions := c.world.operator.history()
	for _, v := range versions {
		if r.Version >= v.number || !v.storedAt.Before(counted) {
			continue
		}
		if !t.overlaps(counted.Add(-stabilityTime), r.StartedAt, func(e *Event) bool {
			return e.Subject == subjectStore || e.Subject == s.entry.name && strings.HasPrefix(e.Name, eventStoreLink)
		}) {
			c.recordViolation("version", "%s at %s through %s started on version %d %s after version %d was released",
				s.ID, t.offset(s.sentAt), s.entry.name, r.Version, r.StartedAt.Sub(v.storedAt), v.number)
			break
		}
	}
}

// statusMisdirected is the status of an upstream that is not the one named by the request.
const statusMisdirected = 421

// finish checks the remaining requests and what only the whole run can show. Requests sent
// after servedSince must be served.
func (c *checker) finish(servedSince time.Time) {
	time.Sleep(settleDelay)
	for _, s := range c.takeSettled(time.Now()) {
		c.check(s)
	}
	c.mutex.Lock()
	all := slices.Clone(c.requests)
	c.mutex.Unlock()
	for _, e := range c.world.ledger.LoadErrors() {
		if mustBeNoticed(e) {
			c.recordViolation("weights", "%s", e)
		}
	}
	for _, r := range c.world.ledger.Returns() {
		c.recordViolation("older", "%s", r)
	}
	runs := c.world.ledger.RunsFrom(0)
	c.checkWhole(runs)
	c.checkUnsolicited(all, runs)
	c.checkBudget(all, runs)
	c.checkDemands(all, runs)
	c.checkLimits(all, runs)
	c.checkCold(all, runs)
	c.checkPlaces(all, runs)
	c.checkPoison(all, runs)
	c.checkStalls(all)
	c.checkCanceled(all)
	c.checkTimeouts(all)
	c.checkShutdowns(all)
	c.checkUnanswered(all)
	c.checkDenied(all)
	c.checkRecovery(all, servedSince)
}

// checkWhole checks that no response begins with weights of which a piece was missing or corrupt when
// their load was accepted.
func (c *checker) checkWhole(runs []fakes.Run) {
	for i := range runs {
		if e := runs[i].LoadError; e != nil && mustBeNoticed(*e) {
			c.recordViolation("whole", "%s started at %s on the load that was accepted at %s: %s", runs[i].ID,
				c.world.timeline.offset(runs[i].StartedAt), c.world.timeline.offset(e.AcceptedAt), e)
		}
	}
}

// mustBeNoticed reports whether the order must not have been sent.
func mustBeNoticed(e fakes.LoadError) bool { return e.CorruptFor == 0 || e.CorruptFor > corruptLimit }

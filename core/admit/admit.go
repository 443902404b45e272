// Package admit implements admission control: it decides which requests an entry
// forwards to the upstreams of a pool, in which order, and which it refuses. It
// does no I/O and reads no clock: the caller passes the time in.
//
// # Queue
//
// A Queue holds the requests of one pool that wait for capacity. Offer enqueues
// or refuses a request, Admit admits as many as the capacity allows, Done records
// that an admitted request has ended. Every offered request gets exactly one
// Decision unless Cancel withdraws it.
//
// # Fairness
//
// Workspaces share the capacity by the time for which they occupy it: the
// workspace with the least usage goes next. A request is charged the mean service
// time when it is admitted and its actual service time when it has ended. A
// workspace that was idle starts at the usage of the others and gains no credit.
// Priorities order the requests of one workspace only, because each client sets
// its own.
//
// # Load shedding
//
// A full queue refuses the last request of the workspace with the longest queue,
// so that a flood displaces its own requests. A request is refused at once if its
// deadline is closer than the estimated waiting time plus service time, so that no
// capacity is spent on a late response.
//
// # Windows and budgets
//
// A Window is a concurrency limit for the requests of one entry at one upstream
// that adapts to the latency. A Budget limits retries to a ratio of the first
// attempts.
package admit

import (
	"slices"
	"time"

	"currantport.example/core/calls"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// sweepInterval is the minimum time between two scans of all tickets.
	sweepInterval = 10 * time.Millisecond
	// minCharge is the minimum charge of a request at admission.
	minCharge = time.Millisecond
	// estimateTTL is how long an estimate stays valid without a new sample.
	estimateTTL = 10 * time.Second
	// estimateWeight is the weight of the newest sample in the moving averages.
	estimateWeight = 0.1
	// deviationFactor is the number of mean deviations between the mean service
	// time and its upper bound.
	deviationFactor = 3
)

// Ticket is a request for admission. It must not be changed between Offer and
// Done.
type Ticket struct {
	Workspace string
	// Priority orders the requests of one workspace; a higher one goes first.
	Priority int
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// Route is the route to which Limit applies.
	Route string
	// Limit is the maximum number of requests that the workspace may have in
	// progress on the route. Zero means no limit.
	Limit int

	admittedAt time.Time
	charge     time.Duration
}

// Decision admits or refuses a waiting ticket.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil if the ticket is admitted.
	Refusal *calls.Refusal
}

// Queue orders the requests of one pool. One goroutine at a time may use it.
type Queue struct {
	maxWaiting int
	// workspaces is in order of arrival. Idle ones are removed by removeIdle.
	workspaces []*workspace
	waiting    int
	running    int
	// virtualTime is the highest usage at which a workspace was admitted. A
	// workspace that was idle starts from it.
	virtualTime time.Duration
	// serviceTime covers all workspaces.
	serviceTime estimate
	// lastSweep is when late tickets and idle workspaces were last removed.
	lastSweep time.Time
}

// workspace holds the waiting tickets and the usage of one workspace.
type workspace struct {
	name string
	// waiting is ordered by descending priority, then by arrival.
	waiting []*Ticket
	running int
	// routes counts the running requests of each route with a limit.
	routes map[string]int
	// usage is the total time for which requests of the workspace have occupied
	// capacity.
	usage       time.Duration
	serviceTime estimate
}

// estimate is a moving average of service times.
type estimate struct {
	mean time.Duration
	// deviation is the mean deviation.
	deviation time.Duration
	// updatedAt is the time of the last sample. Zero means none.
	updatedAt time.Time
}

func (e *estimate) add(now time.Time, took time.Duration) {
	if e.updatedAt.IsZero() {
		e.mean = took
	}
	e.mean += time.Duration(estimateWeight * float64(took-e.mean))
	e.deviation += time.Duration(estimateWeight * float64((took-e.mean).Abs()-e.deviation))
	e.updatedAt = now
}

// isFresh reports whether the estimate is still valid.
func (e *estimate) isFresh(now time.Time) bool {
	return !e.updatedAt.IsZero() && now.Sub(e.updatedAt) <= estimateTTL
}

// upperBound returns the longest service time that is expected.
func (e *estimate) upperBound() time.Duration { return e.mean + deviationFactor*e.deviation }

// NewQueue returns a queue that holds at most maxWaiting requests, at least one.
func NewQueue(maxWaiting int) *Queue { return &Queue{maxWaiting: max(maxWaiting, 1)} }

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of tickets that are admitted and have not ended.
func (q *Queue) Running() int { return q.running }

// Offer enqueues a ticket. It returns the resulting decisions: a refusal of the
// ticket itself, or of another one that it displaces.
func (q *Queue) Offer(now time.Time, t *Ticket, capacity int) []Decision {
	w := q.workspace(t.Workspace)
	q.activate(w)
	position := insertPosition(w.waiting, t)
	wait := q.estimateWait(now, w, position, capacity)
	if q.missesDeadline(now, wait, w, t) {
		return []Decision{{Ticket: t, Refusal: calls.NotRun(calls.ReasonDeadline, boundRetryAfter(wait), "the deadline can't be met")}}
	}
	w.waiting = slices.Insert(w.waiting, position, t)
	q.waiting++
	if q.waiting <= q.maxWaiting {
		return nil
	}
	return []Decision{q.displace(now, capacity)}
}

// Admit admits waiting tickets while there is capacity, and refuses those whose
// deadline can no longer be met.
func (q *Queue) Admit(now time.Time, capacity int) []Decision {
	var decisions []Decision
	if now.Sub(q.lastSweep) >= sweepInterval {
		decisions = q.refuseLate(now)
		q.removeIdle(now)
		q.lastSweep = now
	}
	for q.running < capacity {
		w, i := q.nextTicket()
		if w == nil {
			break
		}
		decisions = append(decisions, Decision{Ticket: q.start(now, w, i)})
	}
	return decisions
}

// Done records that an admitted ticket has ended. If ran is true, an upstream
// responded and the elapsed time counts as a service time.
func (q *Queue) Done(now time.Time, t *Ticket, ran bool) {
	w := q.workspace(t.Workspace)
	q.running--
	w.addRunning(t, -1)
	took := now.Sub(t.admittedAt)
	w.usage += took - t.charge
	if ran {
		w.serviceTime.add(now, took)
		q.serviceTime.add(now, took)
	}
}

// Cancel withdraws a waiting ticket. It reports false if the ticket is no longer
// waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	w := q.workspace(t.Workspace)
	i := slices.Index(w.waiting, t)
	if i < 0 {
		return false
	}
	w.waiting = slices.Delete(w.waiting, i, i+1)
	q.waiting--
	return true
}

// ServiceTime returns the mean service time of all workspaces, or zero if there is
// no recent sample.
func (q *Queue) ServiceTime(now time.Time) time.Duration {
	if !q.serviceTime.isFresh(now) {
		return 0
	}
	return q.serviceTime.mean
}

// maxServiceTime returns the longest service time that is expected of a request of
// the workspace, or zero if there is no recent sample.
func (q *Queue) maxServiceTime(now time.Time, w *workspace) time.Duration {
	switch {
	case w.serviceTime.isFresh(now):
		return w.serviceTime.upperBound()
	case q.serviceTime.isFresh(now):
		return q.serviceTime.upperBound()
	}
	return 0
}

// estimateWait returns the time until a ticket at the position in the queue of its
// workspace is admitted, assuming that the other workspaces use their full shares.
func (q *Queue) estimateWait(now time.Time, w *workspace, position, capacity int) time.Duration {
	if q.running < capacity && q.waiting == 0 {
		return 0
	}
	ahead := position + 1
	for _, o := range q.workspaces {
		if o != w {
			ahead += min(len(o.waiting), position+1)
		}
	}
	return q.ServiceTime(now) * time.Duration(ahead) / time.Duration(max(capacity, 1))
}

// missesDeadline reports whether a ticket that is admitted after the wait is
// expected to end after its deadline. While nothing runs, a ticket is only late if
// the wait alone exceeds the deadline, so that an outdated service time gets a new
// sample.
func (q *Queue) missesDeadline(now time.Time, wait time.Duration, w *workspace, t *Ticket) bool {
	at := now.Add(wait)
	if !at.Before(t.Deadline) {
		return true
	}
	return q.running > 0 && at.Add(q.maxServiceTime(now, w)).After(t.Deadline)
}

// displace refuses the last ticket of the workspace with the longest queue.
func (q *Queue) displace(now time.Time, capacity int) Decision {
	longest := q.workspaces[0]
	for _, w := range q.workspaces[1:] {
		if len(w.waiting) > len(longest.waiting) {
			longest = w
		}
	}
	last := len(longest.waiting) - 1
	t := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	q.waiting--
	wait := boundRetryAfter(q.estimateWait(now, longest, last, capacity))
	return Decision{Ticket: t, Refusal: calls.NotRun(calls.ReasonOverload, wait, "the queue of the pool is full")}
}

// refuseLate refuses the tickets that would miss their deadlines even if they were
// admitted now.
func (q *Queue) refuseLate(now time.Time) []Decision {
	var decisions []Decision
	for _, w := range q.workspaces {
		kept := w.waiting[:0]
		for _, t := range w.waiting {
			if !q.missesDeadline(now, 0, w, t) {
				kept = append(kept, t)
				continue
			}
			q.waiting--
			refusal := calls.NotRun(calls.ReasonDeadline, boundRetryAfter(q.ServiceTime(now)), "the deadline can't be met any more")
			decisions = append(decisions, Decision{Ticket: t, Refusal: refusal})
		}
		clear(w.waiting[len(kept):])
		w.waiting = kept
	}
	return decisions
}

// nextTicket returns the workspace with the least usage that has an admissible
// ticket, and the position of the ticket, or nil if there is none.
func (q *Queue) nextTicket() (*workspace, int) {
	var best *workspace
	at := 0
	for _, w := range q.workspaces {
		if best != nil && w.usage >= best.usage {
			continue
		}
		if i := slices.IndexFunc(w.waiting, w.isBelowLimit); i >= 0 {
			best, at = w, i
		}
	}
	return best, at
}

func (w *workspace) isBelowLimit(t *Ticket) bool { return t.Limit <= 0 || w.routes[t.Route] < t.Limit }

func (w *workspace) addRunning(t *Ticket, n int) {
	w.running += n
	if t.Limit <= 0 {
		return
	}
	if w.routes == nil {
		w.routes = make(map[string]int)
	}
	w.routes[t.Route] += n
}

func (q *Queue) start(now time.Time, w *workspace, i int) *Ticket {
	t := w.waiting[i]
	w.waiting = slices.Delete(w.waiting, i, i+1)
	q.waiting--
	q.virtualTime = max(q.virtualTime, w.usage)
	t.admittedAt = now
	t.charge = max(w.serviceTime.mean, minCharge)
	if w.serviceTime.updatedAt.IsZero() {
		t.charge = max(q.serviceTime.mean, minCharge)
	}
	w.usage += t.charge
	w.addRunning(t, 1)
	q.running++
	return t
}

func (q *Queue) workspace(name string) *workspace {
	for _, w := range q.workspaces {
		if w.name == name {
			return w
		}
	}
	w := &workspace{name: name, usage: q.virtualTime}
	q.workspaces = append(q.workspaces, w)
	return w
}

// activate raises the usage of an idle workspace to the virtual time. A higher usage
// is kept, unless the whole queue is idle.
func (q *Queue) activate(w *workspace) {
	if len(w.waiting)+w.running > 0 {
		return
	}
	w.usage = max(w.usage, q.virtualTime)
	if q.waiting+q.running == 0 {
		w.usage = q.virtualTime
	}
}

// removeIdle removes the idle workspaces whose usage doesn't exceed the virtual time
// and whose service time has expired.
func (q *Queue) removeIdle(now time.Time) {
	q.workspaces = slices.DeleteFunc(q.workspaces, func(w *workspace) bool {
		return len(w.waiting)+w.running == 0 && w.usage <= q.virtualTime && !w.serviceTime.isFresh(now)
	})
}

// insertPosition returns the position of a new ticket among the waiting ones.
func insertPosition(waiting []*Ticket, t *Ticket) int {
	i := len(waiting)
	for i > 0 && waiting[i-1].Priority < t.Priority {
		i--
	}
	return i
}

func boundRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// EntryLimit returns the part of a fleet-wide limit that applies to one of the live
// entries, at least one. Index is the position of the entry among them. A limit of
// zero means no limit and is returned as is.
func EntryLimit(limit, entries, index int) int {
	if limit <= 0 || entries <= 1 {
		return limit
	}
	share := limit / entries
	if index < limit%entries {
		share++
	}
	return max(share, 1)
}

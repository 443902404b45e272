// Package admit decides which requests an entry gives to the upstreams of a
// pool, in which order, and which it refuses at once. It does no I/O and reads
// no clock: the owner passes the time in.
//
// # Queue
//
// A Queue holds the requests of one pool that wait for room. Offer takes a
// request in or refuses it, Next admits as many as the capacity allows, Done
// tells that an admitted request has ended. Every request that was offered gets
// exactly one Decision unless it is withdrawn by Cancel.
//
// # Fairness
//
// Workspaces share the capacity by the time for which they hold it: the
// workspace that has held least goes next. A request is charged by the measured
// service time when it is admitted and by its own when it has ended. A workspace
// that was idle starts at the level of the others and saves up no credit.
// Priorities order the requests of one workspace only, since each caller sets
// its own.
//
// # Bounds
//
// A full queue refuses the last request of the workspace that waits with most,
// so that a flood displaces itself. A request whose deadline is nearer than the
// measured wait and service time is refused at once, never run in vain.
//
// # Windows and budgets
//
// A Window bounds what an entry has in progress at one upstream and follows the
// latency. A Budget bounds retries to a share of the first attempts.
package admit

import (
	"slices"
	"time"

	"currantport.example/core/calls"
)

const (
	// leastWait and mostWait bound the time after which a caller is told to
	// come back.
	leastWait = time.Second
	mostWait  = 30 * time.Second
	// sweepInterval is the least time between two looks at all tickets.
	sweepInterval = 10 * time.Millisecond
	// leastCharge is what a request is charged at least when it is admitted.
	leastCharge = time.Millisecond
	// estimateLife is how long a measured service time counts without another.
	estimateLife = 10 * time.Second
	// estimateShare is the weight of the newest service time in the mean.
	estimateShare = 0.1
	// spreadFactor is how many mean deviations above the mean a request is
	// expected to take at most.
	spreadFactor = 3
)

// Ticket is a request that asks to be admitted. Its owner changes nothing in it
// between Offer and Done.
type Ticket struct {
	Workspace string
	// Priority orders the requests of one workspace; a higher one goes first.
	Priority int
	// Deadline is when the answer has to be there.
	Deadline time.Time
	// Route is what the limit belongs to.
	Route string
	// Limit bounds the requests that the workspace has in progress on the route.
	// Zero means no bound.
	Limit int

	admitted time.Time
	charged  time.Duration
}

// Decision ends the wait of a ticket.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil if the ticket is admitted.
	Refusal *calls.Refusal
}

// Queue orders the requests of one pool. One goroutine at a time may use it.
type Queue struct {
	// most is the number of tickets that may wait.
	most int
	// spaces holds the workspaces that wait or run, in the order in which they
	// came.
	spaces  []*space
	waiting int
	running int
	// level is the time held of the workspace that was admitted last, which a
	// workspace that was idle starts from.
	level time.Duration
	// service is that of all workspaces.
	service estimate
	// swept is when late tickets and idle workspaces were last looked for.
	swept time.Time
}

// space is one workspace.
type space struct {
	name string
	// waiting is ordered by falling priority, then by arrival.
	waiting []*Ticket
	running int
	// routes counts the running requests of each route with a limit.
	routes map[string]int
	// held is the time for which the workspace has held capacity.
	held    time.Duration
	service estimate
}

// estimate is a service time as it was measured.
type estimate struct {
	mean time.Duration
	// spread is the mean deviation.
	spread time.Duration
	// last is when the last one was measured. Zero means never.
	last time.Time
}

func (e *estimate) add(now time.Time, took time.Duration) {
	if e.last.IsZero() {
		e.mean = took
	}
	e.mean += time.Duration(estimateShare * float64(took-e.mean))
	e.spread += time.Duration(estimateShare * float64((took-e.mean).Abs()-e.spread))
	e.last = now
}

// isFresh reports whether the estimate still counts.
func (e *estimate) isFresh(now time.Time) bool {
	return !e.last.IsZero() && now.Sub(e.last) <= estimateLife
}

// most returns the time that a request is expected to take at most.
func (e *estimate) most() time.Duration { return e.mean + spreadFactor*e.spread }

// NewQueue returns a queue in which at most the given number of requests wait.
func NewQueue(most int) *Queue { return &Queue{most: max(most, 1)} }

// Waiting returns the number of tickets that wait.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of tickets that are admitted and not done.
func (q *Queue) Running() int { return q.running }

// Offer takes a ticket into the queue. It returns the decisions that this
// brings about: a refusal of the ticket, or of another one that gives way.
func (q *Queue) Offer(now time.Time, t *Ticket, capacity int) []Decision {
	s := q.space(t.Workspace)
	q.wake(s)
	position := place(s.waiting, t)
	wait := q.wait(now, s, position, capacity)
	if q.isLate(now, wait, s, t) {
		return []Decision{{Ticket: t, Refusal: calls.NotRun(calls.ReasonDeadline, boundWait(wait), "the deadline can't be met")}}
	}
	s.waiting = slices.Insert(s.waiting, position, t)
	q.waiting++
	if q.waiting <= q.most {
		return nil
	}
	return []Decision{q.displace(now, capacity)}
}

// Admit admits waiting tickets while there is capacity, and refuses those whose
// deadline can no longer be met.
func (q *Queue) Admit(now time.Time, capacity int) []Decision {
	var decisions []Decision
	if now.Sub(q.swept) >= sweepInterval {
		decisions = q.expire(now)
		q.sweep(now)
		q.swept = now
	}
	for q.running < capacity {
		s, i := q.next()
		if s == nil {
			break
		}
		decisions = append(decisions, Decision{Ticket: q.admit(now, s, i)})
	}
	return decisions
}

// Done tells that an admitted ticket has ended. Ran tells that an upstream
// answered it, so that the time it took is a service time.
func (q *Queue) Done(now time.Time, t *Ticket, ran bool) {
	s := q.space(t.Workspace)
	q.running--
	s.count(t, -1)
	took := now.Sub(t.admitted)
	s.held += took - t.charged
	if ran {
		s.service.add(now, took)
		q.service.add(now, took)
	}
}

// Cancel withdraws a ticket that waits. It reports false if the ticket doesn't
// wait any more.
func (q *Queue) Cancel(t *Ticket) bool {
	s := q.space(t.Workspace)
	i := slices.Index(s.waiting, t)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	q.waiting--
	return true
}

// ServiceTime returns the mean service time, or zero while none counts.
func (q *Queue) ServiceTime(now time.Time) time.Duration {
	if !q.service.isFresh(now) {
		return 0
	}
	return q.service.mean
}

// expected returns the time that a request of the workspace takes at most.
func (q *Queue) expected(now time.Time, s *space) time.Duration {
	switch {
	case s.service.isFresh(now):
		return s.service.most()
	case q.service.isFresh(now):
		return q.service.most()
	}
	return 0
}

// wait returns the time until a ticket at the position in its workspace's queue
// would be admitted, if the other workspaces go on to take their shares.
func (q *Queue) wait(now time.Time, s *space, position, capacity int) time.Duration {
	if q.running < capacity && q.waiting == 0 {
		return 0
	}
	ahead := position + 1
	for _, o := range q.spaces {
		if o != s {
			ahead += min(len(o.waiting), position+1)
		}
	}
	return q.ServiceTime(now) * time.Duration(ahead) / time.Duration(max(capacity, 1))
}

// isLate reports whether a ticket that is admitted after the wait is answered
// after its deadline. While nothing runs a ticket may always try, so that a
// service time that has become wrong is measured again.
func (q *Queue) isLate(now time.Time, wait time.Duration, s *space, t *Ticket) bool {
	at := now.Add(wait)
	if !at.Before(t.Deadline) {
		return true
	}
	return q.running > 0 && at.Add(q.expected(now, s)).After(t.Deadline)
}

// displace refuses the last ticket of the workspace that waits with most.
func (q *Queue) displace(now time.Time, capacity int) Decision {
	longest := q.spaces[0]
	for _, s := range q.spaces[1:] {
		if len(s.waiting) > len(longest.waiting) {
			longest = s
		}
	}
	last := len(longest.waiting) - 1
	t := longest.waiting[last]
	longest.waiting = longest.waiting[:last]
	q.waiting--
	wait := boundWait(q.wait(now, longest, last, capacity))
	return Decision{Ticket: t, Refusal: calls.NotRun(calls.ReasonOverload, wait, "the queue of the pool is full")}
}

func (q *Queue) expire(now time.Time) []Decision {
	var decisions []Decision
	for _, s := range q.spaces {
		kept := s.waiting[:0]
		for _, t := range s.waiting {
			if !q.isLate(now, 0, s, t) {
				kept = append(kept, t)
				continue
			}
			q.waiting--
			refusal := calls.NotRun(calls.ReasonDeadline, boundWait(q.ServiceTime(now)), "the deadline can't be met any more")
			decisions = append(decisions, Decision{Ticket: t, Refusal: refusal})
		}
		clear(s.waiting[len(kept):])
		s.waiting = kept
	}
	return decisions
}

// next returns the workspace that goes next and the position of its ticket, or
// nil.
func (q *Queue) next() (*space, int) {
	var best *space
	at := 0
	for _, s := range q.spaces {
		if best != nil && s.held >= best.held {
			continue
		}
		if i := slices.IndexFunc(s.waiting, s.hasRoom); i >= 0 {
			best, at = s, i
		}
	}
	return best, at
}

func (s *space) hasRoom(t *Ticket) bool { return t.Limit <= 0 || s.routes[t.Route] < t.Limit }

func (s *space) count(t *Ticket, n int) {
	s.running += n
	if t.Limit <= 0 {
		return
	}
	if s.routes == nil {
		s.routes = make(map[string]int)
	}
	s.routes[t.Route] += n
}

func (q *Queue) admit(now time.Time, s *space, i int) *Ticket {
	t := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	q.waiting--
	q.level = max(q.level, s.held)
	t.admitted = now
	t.charged = max(s.service.mean, leastCharge)
	if s.service.last.IsZero() {
		t.charged = max(q.service.mean, leastCharge)
	}
	s.held += t.charged
	s.count(t, 1)
	q.running++
	return t
}

func (q *Queue) space(name string) *space {
	for _, s := range q.spaces {
		if s.name == name {
			return s
		}
	}
	s := &space{name: name, held: q.level}
	q.spaces = append(q.spaces, s)
	return s
}

// wake lets a workspace that was idle start at the level of the others. What it
// has held beyond that stays, unless nothing else goes on.
func (q *Queue) wake(s *space) {
	if len(s.waiting)+s.running > 0 {
		return
	}
	s.held = max(s.held, q.level)
	if q.waiting+q.running == 0 {
		s.held = q.level
	}
}

// sweep forgets the workspaces that are idle, have held no more than the level
// and whose service time doesn't count any more.
func (q *Queue) sweep(now time.Time) {
	q.spaces = slices.DeleteFunc(q.spaces, func(s *space) bool {
		return len(s.waiting)+s.running == 0 && s.held <= q.level && !s.service.isFresh(now)
	})
}

// place returns the position of a ticket among those that wait.
func place(waiting []*Ticket, t *Ticket) int {
	i := len(waiting)
	for i > 0 && waiting[i-1].Priority < t.Priority {
		i--
	}
	return i
}

func boundWait(d time.Duration) time.Duration { return min(max(d, leastWait), mostWait) }

// EntryLimit returns what one of the live entries takes of a limit of the whole
// fleet, at least one. Index is the position of the entry among them.
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

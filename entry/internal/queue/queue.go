// Package queue holds callers' requests until there is room for them at the
// upstreams of their pool.
package queue

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantport.example/core/admit"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/rings"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
)

const (
	tick = 25 * time.Millisecond
	// mostWaiting bounds the requests that wait for one pool.
	mostWaiting = 512
)

// Fleet tells how many requests the upstreams of a pool have room for.
type Fleet interface {
	Room(pool tables.Pool) int
}

// Roster tells which hosts there are.
type Roster interface {
	Now() hosts.List
}

// Queues holds one queue for each pool. Goroutines share it.
type Queues struct {
	self   hosts.Name
	force  *tables.Active
	fleet  Fleet
	roster Roster
	kick   *rings.Ring[struct{}]
	scope  tally.Scope
	// wait times the wait of each request.
	wait tally.Timer

	mutex sync.Mutex
	// lines is keyed by the name of the pool.
	lines map[string]*line
}

// line is the queue of one pool.
type line struct {
	queue *admit.Queue
	// pool is the newest row that a request came with.
	pool tables.Pool
	// waiting holds where each ticket that waits gets its decision.
	waiting map[*admit.Ticket]chan *calls.Refusal
}

// New returns queues that work until the clean-up function is called.
func New(self hosts.Name, force *tables.Active, f Fleet, list Roster, scope tally.Scope) (*Queues, func()) {
	scope = scope.SubScope("queue")
	q := &Queues{
		self: self, force: force, fleet: f, roster: list, scope: scope, wait: scope.Timer("wait"),
		kick: rings.New[struct{}](1), lines: make(map[string]*line),
	}
	g := shell.NewGroup()
	g.Go(q.run)
	return q, g.Stop
}

// Enter waits until the request may be given to an upstream. The returned
// function is called once the request has ended and is told whether it was
// answered. A refusal is final and comes as soon as it is certain.
func (q *Queues) Enter(ctx context.Context, request calls.Request) (func(answered bool), *calls.Refusal) {
	route, pool, found := q.force.Snapshot().Join(request.Route)
	if found != tables.JoinFound {
		return func(bool) {}, nil
	}
	t := &admit.Ticket{
		Workspace: request.Workspace, Priority: request.Priority, Deadline: request.Deadline,
		Route: route.Name, Limit: q.limit(route, request.Workspace),
	}
	decision := make(chan *calls.Refusal, 1)
	l := q.offer(t, pool, decision)
	start := time.Now()
	defer func() { q.wait.Record(time.Since(start)) }()
	select {
	case refusal := <-decision:
		return q.leave(l, t, refusal)
	case <-ctx.Done():
		return q.withdraw(ctx, l, t, decision)
	}
}

func (q *Queues) leave(l *line, t *admit.Ticket, refusal *calls.Refusal) (func(bool), *calls.Refusal) {
	if refusal != nil {
		q.scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refused").Inc(1)
		return nil, refusal
	}
	return func(answered bool) { q.done(l, t, answered) }, nil
}

func (q *Queues) offer(t *admit.Ticket, pool tables.Pool, decision chan *calls.Refusal) *line {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	l := q.lines[pool.Name]
	if l == nil {
		l = &line{queue: admit.NewQueue(mostWaiting), waiting: make(map[*admit.Ticket]chan *calls.Refusal)}
		q.lines[pool.Name] = l
	}
	l.pool = pool
	l.waiting[t] = decision
	now := time.Now()
	l.deliver(l.queue.Offer(now, t, q.capacity(l)))
	l.deliver(l.queue.Next(now, q.capacity(l)))
	if l.queue.Waiting() > 0 {
		q.kick.TrySend(struct{}{})
	}
	return l
}

// withdraw ends the wait of a request whose caller has gone or whose deadline
// has passed.
func (q *Queues) withdraw(ctx context.Context, l *line, t *admit.Ticket, decision chan *calls.Refusal) (func(bool), *calls.Refusal) {
	q.mutex.Lock()
	waits := l.queue.Cancel(t)
	delete(l.waiting, t)
	q.mutex.Unlock()
	if !waits {
		if refusal := <-decision; refusal != nil {
			return nil, refusal
		}
		q.done(l, t, false)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, calls.NotRun(calls.ReasonDeadline, time.Second, "the deadline passed in the queue")
	}
	return nil, calls.NotRun(calls.ReasonCanceled, 0, "the caller has gone")
}

func (q *Queues) done(l *line, t *admit.Ticket, answered bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	l.queue.Done(now, t, answered)
	l.deliver(l.queue.Next(now, q.capacity(l)))
}

// capacity returns the number of requests that may be in progress. While no
// upstream is ready requests pass one by one, so that each gets its answer.
func (q *Queues) capacity(l *line) int { return max(q.fleet.Room(l.pool), 1) }

func (l *line) deliver(all []admit.Decision) {
	for _, d := range all {
		if d.Refusal != nil {
			// Jitter keeps refused callers from coming back all at once.
			d.Refusal.RetryAfter += rand.N(d.Refusal.RetryAfter)
		}
		l.waiting[d.Ticket] <- d.Refusal
		delete(l.waiting, d.Ticket)
	}
}

// run admits and refuses requests that wait while nothing else happens.
func (q *Queues) run(ctx context.Context) {
	for {
		if _, ok := q.kick.Receive(ctx); !ok {
			return
		}
		for q.pump() {
			select {
			case <-time.After(tick):
			case <-ctx.Done():
				return
			}
		}
	}
}

// pump reports whether a request still waits.
func (q *Queues) pump() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiting := false
	now := time.Now()
	for name, l := range q.lines {
		l.deliver(l.queue.Next(now, q.capacity(l)))
		waiting = waiting || l.queue.Waiting() > 0
		if _, ok := q.force.Snapshot().Pools.Rows[name]; !ok && l.queue.Waiting()+l.queue.Running() == 0 {
			delete(q.lines, name)
		}
	}
	return waiting
}

// limit returns the share of the entry in the limit of a workspace on a route.
// The limit holds for the fleet: the live entries share it out by their names.
func (q *Queues) limit(route tables.Route, workspace string) int {
	for _, l := range route.Limits {
		if l.Workspace == workspace {
			entries, index := q.position()
			return admit.Share(l.Running, entries, index)
		}
	}
	return 0
}

// position returns the number of live entries and the position of this one.
func (q *Queues) position() (entries, index int) {
	listed := false
	for _, h := range q.roster.Now().WithRole(hosts.RoleEntry) {
		if h.State != hosts.StateLive && h.Name != q.self {
			continue
		}
		entries++
		listed = listed || h.Name == q.self
		if h.Name < q.self {
			index++
		}
	}
	if !listed {
		entries++
	}
	return entries, index
}

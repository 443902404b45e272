// Package queue holds the requests of clients until the upstreams of their pool have the
// capacity for them.
//
// Each pool has an admit.Queue, which decides the order of the requests and which of them are
// refused. Queues adds the clock, the capacity and the entry's share of the limits.
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
	// pumpInterval is how often waiting requests are reconsidered while no request arrives
	// or ends.
	pumpInterval = 25 * time.Millisecond
	// maxWaiting bounds the waiting requests of one pool.
	maxWaiting = 512
)

// Fleet knows the upstreams.
type Fleet interface {
	// Capacity returns the number of requests that the entry may have in progress at the
	// ready upstreams of a pool.
	Capacity(pool tables.Pool) int
}

// Roster lists the hosts of the fleet.
type Roster interface {
	Now() hosts.List
}

// Queues holds one queue for each pool. It is safe for concurrent use.
type Queues struct {
	self   hosts.Name
	active *tables.Active
	fleet  Fleet
	roster Roster
	wake   *rings.Ring[struct{}]
	scope  tally.Scope
	// waitTimer records how long each request waited.
	waitTimer tally.Timer

	mutex sync.Mutex
	// pools is keyed by the name of the pool.
	pools map[string]*poolQueue
}

// poolQueue is the queue of one pool.
type poolQueue struct {
	queue *admit.Queue
	// pool is the row of the pool at the latest request.
	pool tables.Pool
	// decisions holds the channel on which each waiting ticket receives its decision: nil
	// if it is admitted.
	decisions map[*admit.Ticket]chan *calls.Refusal
}

// New returns queues that admit requests until the clean-up function is called.
func New(self hosts.Name, active *tables.Active, f Fleet, roster Roster, scope tally.Scope) (*Queues, func()) {
	scope = scope.SubScope("queue")
	q := &Queues{
		self: self, active: active, fleet: f, roster: roster, scope: scope, waitTimer: scope.Timer("wait"),
		wake: rings.New[struct{}](1), pools: make(map[string]*poolQueue),
	}
	g := shell.NewGroup()
	g.Go(q.run)
	return q, g.Stop
}

// Acquire waits until the request may be sent to an upstream. The caller must call the
// returned function once the request has ended, and pass whether it was answered. A refusal
// is final and is returned as soon as it is certain. A request without an active route and
// pool is admitted at once.
func (q *Queues) Acquire(ctx context.Context, request calls.Request) (func(answered bool), *calls.Refusal) {
	route, pool, found := q.active.Snapshot().Join(request.Route)
	if found != tables.JoinFound {
		return func(bool) {}, nil
	}
	t := &admit.Ticket{
		Workspace: request.Workspace, Priority: request.Priority, Deadline: request.Deadline,
		Route: route.Name, Limit: q.runningLimit(route, request.Workspace),
	}
	decision := make(chan *calls.Refusal, 1)
	p := q.enqueue(t, pool, decision)
	start := time.Now()
	defer func() { q.waitTimer.Record(time.Since(start)) }()
	select {
	case refusal := <-decision:
		return q.result(p, t, refusal)
	case <-ctx.Done():
		return q.withdraw(ctx, p, t, decision)
	}
}

func (q *Queues) result(p *poolQueue, t *admit.Ticket, refusal *calls.Refusal) (func(bool), *calls.Refusal) {
	if refusal != nil {
		return nil, q.countRefusal(refusal)
	}
	return func(answered bool) { q.done(p, t, answered) }, nil
}

func (q *Queues) countRefusal(r *calls.Refusal) *calls.Refusal {
	q.scope.Tagged(map[string]string{"reason": string(r.Reason)}).Counter("refused").Inc(1)
	return r
}

func (q *Queues) enqueue(t *admit.Ticket, pool tables.Pool, decision chan *calls.Refusal) *poolQueue {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p := q.pools[pool.Name]
	if p == nil {
		p = &poolQueue{queue: admit.NewQueue(maxWaiting), decisions: make(map[*admit.Ticket]chan *calls.Refusal)}
		q.pools[pool.Name] = p
	}
	p.pool = pool
	p.decisions[t] = decision
	now := time.Now()
	p.deliver(p.queue.Offer(now, t, q.capacity(p)))
	p.deliver(p.queue.Admit(now, q.capacity(p)))
	if p.queue.Waiting() > 0 {
		q.wake.TrySend(struct{}{})
	}
	return p
}

// withdraw ends the wait of a request whose client has disconnected or whose deadline has
// passed. If the request was admitted at the same moment, it gives its place back.
func (q *Queues) withdraw(ctx context.Context, p *poolQueue, t *admit.Ticket, decision chan *calls.Refusal) (func(bool), *calls.Refusal) {
	q.mutex.Lock()
	wasWaiting := p.queue.Cancel(t)
	delete(p.decisions, t)
	q.mutex.Unlock()
	if !wasWaiting {
		if refusal := <-decision; refusal != nil {
			return nil, q.countRefusal(refusal)
		}
		q.done(p, t, false)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, q.countRefusal(calls.NotRun(calls.ReasonDeadline, time.Second, "the deadline passed in the queue"))
	}
	return nil, q.countRefusal(calls.NotRun(calls.ReasonCanceled, 0, "the caller has gone"))
}

func (q *Queues) done(p *poolQueue, t *admit.Ticket, answered bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	p.queue.Done(now, t, answered)
	p.deliver(p.queue.Admit(now, q.capacity(p)))
}

// capacity returns the number of requests that may be in progress. While no upstream is ready,
// requests are admitted one by one, so that each still gets a response.
func (q *Queues) capacity(p *poolQueue) int { return max(q.fleet.Capacity(p.pool), 1) }

func (p *poolQueue) deliver(all []admit.Decision) {
	for _, d := range all {
		if d.Refusal != nil {
			// Jitter keeps refused clients from retrying all at once.
			d.Refusal.RetryAfter += rand.N(d.Refusal.RetryAfter)
		}
		p.decisions[d.Ticket] <- d.Refusal
		delete(p.decisions, d.Ticket)
	}
}

// run admits and refuses waiting requests while no request arrives or ends.
func (q *Queues) run(ctx context.Context) {
	for {
		if _, ok := q.wake.Receive(ctx); !ok {
			return
		}
		for q.admitWaiting() {
			select {
			case <-time.After(pumpInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

// admitWaiting delivers the decisions that are due and removes the queues of removed pools. It
// reports whether any request still waits.
func (q *Queues) admitWaiting() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiting := false
	now := time.Now()
	for name, p := range q.pools {
		p.deliver(p.queue.Admit(now, q.capacity(p)))
		waiting = waiting || p.queue.Waiting() > 0
		if _, ok := q.active.Snapshot().Pools.Rows[name]; !ok && p.queue.Waiting()+p.queue.Running() == 0 {
			delete(q.pools, name)
		}
	}
	return waiting
}

// runningLimit returns the share of this entry in the limit of a workspace on a route, or zero
// if there is no limit. The limit applies to the whole fleet: the live entries divide it in the
// order of their names.
func (q *Queues) runningLimit(route tables.Route, workspace string) int {
	for _, l := range route.Limits {
		if l.Workspace == workspace {
			entries, index := q.liveEntries()
			return admit.EntryLimit(l.Running, entries, index)
		}
	}
	return 0
}

// liveEntries returns the number of live entries, including this one, and the index of this
// one among them in the order of their names.
func (q *Queues) liveEntries() (entries, index int) {
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

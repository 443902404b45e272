package proxy

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/target"
)

// queues hold the waiting requests of the pools with several levels of urgency. The zero value is
// ready to use.
type queues struct {
	mutex sync.Mutex
	pools map[string]*poolQueue
	// ended is set once the entry stops. Waiting requests are refused then.
	ended atomic.Bool
}

// poolQueue is the queue of one pool.
type poolQueue struct {
	levels int

	mutex sync.Mutex
	queue *level.Queue
}

// of returns the queue of a pool. If the number of levels has changed, it is a new one. Requests that
// wait in the previous one stay there until they are placed or refused.
func (q *queues) of(pool string, levels int) *poolQueue {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pools == nil {
		q.pools = make(map[string]*poolQueue)
	}
	p := q.pools[pool]
	if p == nil || p.levels != levels {
		p = &poolQueue{levels: levels, queue: level.NewQueue(levels)}
		q.pools[pool] = p
	}
	return p
}

// find returns the queue of a pool with the number of levels, or nil.
func (q *queues) find(pool string, levels int) *poolQueue {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p := q.pools[pool]; p != nil && p.levels == levels {
		return p
	}
	return nil
}

// ahead returns the homes of the waiting requests that go before a request that doesn't wait.
func (q *queues) ahead(pool string, reqs target.Requirements) []state.Homes {
	p := q.find(pool, reqs.Levels)
	if p == nil {
		return nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.queue.Ahead(level.Request{Level: reqs.Level, Returned: reqs.Returned})
}

func (p *poolQueue) add(now time.Time, r level.Request) *level.Ticket {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.queue.Add(now, r)
}

func (p *poolQueue) remove(t *level.Ticket) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.queue.Remove(t)
}

// poll polls a request whose homes may have changed.
func (p *poolQueue) poll(now time.Time, t *level.Ticket, homes state.Homes, choose func(ahead []state.Homes) bool) level.Verdict {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t.Homes = homes
	return p.queue.Poll(now, t, choose)
}

// EndWaits refuses the requests that wait in the queues of the pools, within capacityPollInterval.
// Call it when the entry accepts no more requests.
func (h *Handler) EndWaits() { h.queues.ended.Store(true) }

// wait is the wait of one request in the queue of its pool.
type wait struct {
	lifecycle *lifecycle
	queue     *poolQueue
	ticket    *level.Ticket
	started   time.Time
	// counted is set once the request was counted in the demand, or if it isn't to be counted.
	counted bool
	reqs    target.Requirements
	grant   target.GrantRequest
	// full is the time after which an engine may have room, limited that after which a limit
	// allows a request.
	full, limited time.Duration
	hasLimited    bool
	// limitedAt is when limited was determined last.
	limitedAt time.Time
}

// limitedPollInterval is the time between two checks of limits for a request that waits behind others.
const limitedPollInterval = 25 * time.Millisecond

// acquireByLevel chooses an engine of a pool with several levels of urgency. If none has room the
// request waits in the queue of the pool.
func (l *lifecycle) acquireByLevel(ctx context.Context, reqs target.Requirements) (*target.InFlight, *calls.Refusal) {
	now := clocks.Now()
	w := &wait{lifecycle: l, queue: l.handler.queues.of(l.pool.Name, reqs.Levels), started: now, reqs: reqs}
	w.counted = l.isRetry || len(l.attempted) > 0
	if !w.counted {
		l.handler.metrics.countLevel(reqs, "arrived")
	}
	w.ticket = w.queue.add(now, level.Request{
		Level: reqs.Level, Returned: reqs.Returned, Further: len(l.attempted) > 0, Kind: l.admission.Route.Name, Workspace: reqs.Workspace,
		Prompt: reqs.PromptTokens, Bytes: len(l.call.Body), Homes: reqs.Homes, Group: groupOf(reqs),
		Grace: w.grace(), Until: w.until(now),
	})
	var f *target.InFlight
	refusal := calls.NotRun(calls.ReasonOverload, l.retryAfter(maxRetryAfter), "too many requests wait")
	if w.ticket != nil {
		defer w.queue.remove(w.ticket)
		f, refusal = w.run(ctx)
	}
	if f == nil {
		l.handler.metrics.countExclusions(l.handler.options.Fleet.Exclusions(clocks.Now(), w.reqs))
	}
	l.levelReserve = l.handler.options.Fleet.LevelReserve(clocks.Now(), w.reqs)
	w.count(f != nil || refusal.Reason == calls.ReasonOverload, f != nil)
	w.report(f != nil)
	return f, refusal
}

// run polls until an engine was chosen or the wait has ended.
func (w *wait) run(ctx context.Context) (*target.InFlight, *calls.Refusal) {
	l := w.lifecycle
	for {
		f, refusal := w.poll(ctx, clocks.Now())
		if f != nil || refusal != nil {
			return f, refusal
		}
		w.reqs.Waiting = true
		isLimited := w.hasLimited && w.full == 0
		w.count(!isLimited && clocks.Since(w.started) >= w.grace()/earlyDivisor, false)
		if !clocks.Sleep(ctx, capacityPollInterval) {
			return nil, calls.NotRun(calls.ReasonOverload, l.retryAfter(w.full), "the request ended before an engine had room")
		}
		if refusal := w.interruption(); refusal != nil {
			return nil, refusal
		}
	}
}

// count counts a first request once it is known whether it finds room early. Requests that engines
// can't serve for other reasons than their load don't count: a reserve wouldn't help them.
func (w *wait) count(isKnown, hasRoom bool) {
	if !isKnown || w.counted {
		return
	}
	w.counted = true
	w.lifecycle.handler.options.Fleet.RecordArrival(clocks.Now(), w.reqs, hasRoom)
}

// earlyDivisor divides grace. The result is how long a request may wait before it is counted as one
// that met a shortage. It is short so that the reserves react within 100 ms.
const earlyDivisor = 2

// grace is how long a request may wait without a cost to the client.
func (w *wait) grace() time.Duration { return w.lifecycle.objective() / capacityWaitDivisor }

// until returns the time from which the request would be placed too late. Further attempts and
// clients that return are late anyway and wait no longer than newcomers may.
func (w *wait) until(now time.Time) time.Time {
	l := w.lifecycle
	waited := time.Since(l.arrived)
	if l.isRetry || len(l.attempted) > 0 {
		waited = 0
	}
	return now.Add(level.MaxWait(l.pool.Engine, l.objective()) - waited)
}

// groupOf returns a key that is equal for requests which any engine of the pool can serve alike, as far
// as their homes allow. Only the first waiting request of a group looks for an engine.
func groupOf(r target.Requirements) string {
	if r.Version == 0 && len(r.Exclude) == 0 {
		return r.Model
	}
	return r.Model + " " + strconv.Itoa(r.Version) + " " + strings.Join(r.Exclude, " ")
}

// poll returns the engine if one was chosen, the refusal if the request can't be placed in time, and
// neither if the request goes on waiting.
func (w *wait) poll(ctx context.Context, now time.Time) (*target.InFlight, *calls.Refusal) {
	l := w.lifecycle
	w.reqs.Homes, w.reqs.Exempt, w.reqs.Remaining = l.homes(), w.ticket.Exempt, 0
	if !l.isRetry {
		w.reqs.Remaining = min(l.objective()-time.Since(l.arrived), l.poolObjective())
	}
	var f *target.InFlight
	polled := false
	verdict := w.queue.poll(now, w.ticket, w.reqs.Homes, func(ahead []state.Homes) bool {
		polled = true
		w.reqs.Ahead = ahead
		f, w.full = l.chooseAgain(now, w.reqs)
		return f != nil
	})
	if f != nil {
		return f, nil
	}
	// Those that wait behind others ask the owners of limits too, so that the grants arrive together. They
	// do so less often, since each time all upstreams of the pool are considered.
	if polled || now.Sub(w.limitedAt) >= limitedPollInterval {
		w.limitedAt = now
		w.limited, w.hasLimited = l.handler.options.Fleet.AwaitLimited(now, w.reqs, &w.grant)
	}
	if polled && w.full == 0 && !w.hasLimited {
		return nil, l.placementRefusal(w.reqs, 0, 0, false)
	}
	if verdict != level.Refused && ctx.Err() == nil {
		return nil, nil
	}
	if w.full > 0 || !w.hasLimited {
		return nil, calls.NotRun(calls.ReasonOverload, l.retryAfter(w.full), "the engines are full")
	}
	return nil, l.placementRefusal(w.reqs, 0, w.limited, true)
}

// interruption returns a refusal if a waiting request may no longer be served: the configuration in
// force has no such route, the key was revoked, or the entry stops.
func (w *wait) interruption() *calls.Refusal {
	l := w.lifecycle
	if l.handler.queues.ended.Load() {
		return calls.NotRun(calls.ReasonLeaving, drainingRetryAfter, "the entry is stopping")
	}
	v := l.handler.view()
	a, refusal := l.handler.options.Bounds.Admit(v, &l.call)
	switch {
	case refusal != nil:
		return refusal
	case a.Route.Name != l.admission.Route.Name || !hasTarget(a.Route, l.pool.Name):
		return calls.NotRun(calls.ReasonNoPool, minRetryAfter, "the route has changed")
	case a.Workspace != nil && l.admission.Workspace != nil && a.Workspace.Name != l.admission.Workspace.Name:
		return calls.NotRun(calls.ReasonStale, minRetryAfter, "the key belongs to another workspace now")
	case v.State.Pool(l.pool.Name) == nil:
		return calls.NotRun(calls.ReasonNoPool, l.retryAfter(noUpstreamRetryAfter), "the pool was removed")
	}
	return nil
}

func hasTarget(r *state.Route, pool string) bool {
	for _, t := range r.Targets {
		if t.Pool == pool {
			return true
		}
	}
	return false
}

// report records the result and the duration of the wait by level.
func (w *wait) report(isPlaced bool) {
	l, took := w.lifecycle, clocks.Since(w.started)
	result := "refused"
	switch {
	case isPlaced && l.isRetry:
		result = "placed-returned"
	case isPlaced && took < capacityPollInterval:
		result = "placed"
	case isPlaced:
		result = "placed-waited"
	case l.isRetry:
		result = "refused-twice"
	case took > w.grace()+capacityPollInterval:
		result = "refused-waited"
	}
	m := l.handler.metrics
	m.countLevel(w.reqs, result)
	m.recordLevel(w.reqs, took, l.levelReserve)
}

// countLevel counts the result of a request by its level.
func (m *metrics) countLevel(reqs target.Requirements, result string) {
	m.scope.Tagged(map[string]string{"level": strconv.Itoa(reqs.Level), "result": result}).Counter("level_requests").Inc(1)
}

// recordLevel records the wait for an engine and the slots reserved against the level.
func (m *metrics) recordLevel(reqs target.Requirements, took time.Duration, reserve float64) {
	buckets := tally.MustMakeExponentialDurationBuckets(minDuration, 2, durationBuckets)
	s := m.scope.Tagged(map[string]string{"level": strconv.Itoa(reqs.Level)})
	s.Histogram("level_wait_seconds", buckets).RecordDuration(took)
	s.Gauge("level_reserve").Update(reserve)
}

// levelFields are the fields of the log line of a request with a level.
func (l *lifecycle) levelFields() []zap.Field {
	if l.levels <= 1 {
		return nil
	}
	return []zap.Field{zap.Int("level", l.level), zap.Float64("reserve", l.levelReserve)}
}

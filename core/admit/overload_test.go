package admit_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantport.example/core/admit"
	"currantport.example/core/picker"
)

// The simulated load: small workspaces and one that floods the entries. The engines
// serve requests in batches and queue the rest.
const (
	loadEngines = 6
	loadEntries = 3
	// loadMaxEntries is the largest number of entries that an installation has.
	loadMaxEntries = 7
	loadBatch      = 16
	loadQueue      = 48
	loadSmall      = 20
	loadService    = time.Second
	loadTimeout    = 5 * time.Second
	loadFlood      = time.Minute
	loadCooldown   = 60 * time.Second
	// loadWarmUp is the time before the flood in a run with warm-up.
	loadWarmUp        = 20 * time.Second
	loadTick          = 50 * time.Millisecond
	loadClientRetries = 3
	// loadCapacity is the number of requests per second that the engines serve with
	// full batches.
	loadCapacity = loadEngines * loadBatch / 1.5
)

// disabled is a mechanism that a run disables, to show that it is needed.
type disabled string

const (
	disabledNone     disabled = ""
	disabledFairness disabled = "fair"
	disabledWindows  disabled = "window"
	// disabledBudget disables the windows too, since nothing is retried with them.
	disabledBudget disabled = "budget"
)

type loadCall struct {
	ticket        *admit.Ticket
	small         bool
	startedAt     time.Duration
	clientRetries int
	attempts      int
	engine        int
	sentAt        time.Duration
	tried         []uint64
}

type loadEntry struct {
	queue      *admit.Queue
	budget     admit.Budget
	windows    [loadEngines]admit.Window
	candidates []picker.Candidate
	calls      map[*admit.Ticket]*loadCall
}

type loadEngine struct {
	running int
	waiting []func()
}

type loadRun struct {
	disabled disabled
	now      time.Duration
	events   loadEvents
	random   *rand.Rand
	entries  []*loadEntry
	engines  [loadEngines]loadEngine
	// responses counts the responses in time during the flood.
	responses, admitted, attempts int
	// latencies holds those of the small workspaces' requests.
	latencies []time.Duration
	// small counts the first requests of the small workspaces after the flood, early
	// all first requests from 20 s to 40 s after it, late all from 30 s on.
	small, early, late recovery
}

// recovery counts requests and those with a response in time.
type recovery struct{ requests, responses int }

func (r *recovery) add(answered bool) {
	r.requests++
	if answered {
		r.responses++
	}
}

func (r *recovery) ratio() float64 { return float64(r.responses) / float64(r.requests) }

// minRecoveryRatio returns the lowest ratio of the three groups.
func (r *loadRun) minRecoveryRatio() float64 {
	return min(r.small.ratio(), r.early.ratio(), r.late.ratio())
}

// recordRecovery counts a first request that has ended or was refused.
func (r *loadRun) recordRecovery(c *loadCall, answered bool) {
	after := c.startedAt - loadFlood
	if after <= 0 || c.clientRetries > 0 {
		return
	}
	if c.small {
		r.small.add(answered)
	}
	if after > 20*time.Second && after <= 40*time.Second {
		r.early.add(answered)
	}
	if after > 30*time.Second {
		r.late.add(answered)
	}
}

type loadEvent struct {
	at    time.Duration
	order uint64
	do    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *loadRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, loadEvent{at: r.now + d, order: r.random.Uint64(), do: do})
}

func (r *loadRun) clock() time.Time { return start.Add(r.now) }

// loadCase holds the parameters of a run.
type loadCase struct {
	load     float64
	disabled disabled
	entries  int
	seed     uint64
	// warmUp adds a load of half the capacity before the flood.
	warmUp bool
}

// runOverload simulates a flood at the load, as a multiple of the capacity, and the
// lower load after it.
func runOverload(load float64, off disabled) *loadRun {
	return loadCase{load: load, disabled: off, entries: loadEntries, seed: 8}.run()
}

func (c loadCase) run() *loadRun {
	r := &loadRun{disabled: c.disabled, random: rand.New(rand.NewPCG(5, c.seed))}
	for range c.entries {
		e := &loadEntry{queue: admit.NewQueue(256), calls: make(map[*admit.Ticket]*loadCall)}
		for i := range loadEngines {
			e.candidates = append(e.candidates, picker.Candidate{Seed: uint64(i), Ready: true})
		}
		r.entries = append(r.entries, e)
	}
	if c.warmUp {
		r.now = -loadWarmUp
		r.stream(true, 0.5*loadCapacity, 0, loadWarmUp)
		r.now = 0
	}
	small := 0.3 * loadCapacity
	r.stream(true, small, 0, loadFlood)
	r.stream(false, c.load*loadCapacity-small, 0, loadFlood)
	r.stream(true, small, loadFlood, loadFlood+loadCooldown)
	r.stream(false, loadCapacity/3, loadFlood, loadFlood+loadCooldown)
	for t := time.Duration(0); t < loadFlood+loadCooldown; t += loadTick {
		r.after(t, r.tick)
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(loadEvent)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.latencies)
	return r
}

// tailLatency returns the p99 latency of the small workspaces' requests. A refused
// request counts with its full timeout.
func (r *loadRun) tailLatency() time.Duration { return r.latencies[len(r.latencies)*99/100] }

func (r *loadRun) attemptsPerRequest() float64 { return float64(r.attempts) / float64(r.admitted) }

func (r *loadRun) stream(small bool, rate float64, from, to time.Duration) {
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)) {
		name := "flood"
		if small {
			name = fmt.Sprint("small-", r.random.IntN(loadSmall))
		}
		r.after(at, func() { r.offer(name, &loadCall{small: small}) })
	}
}

func (r *loadRun) offer(name string, c *loadCall) {
	e := r.entries[r.random.IntN(len(r.entries))]
	c.startedAt = r.now
	c.ticket = &admit.Ticket{Workspace: name, Deadline: r.clock().Add(loadTimeout)}
	if r.disabled == disabledFairness {
		c.ticket.Workspace = "all"
	}
	e.calls[c.ticket] = c
	r.handle(e, e.queue.Offer(r.clock(), c.ticket, r.capacity(e)))
	r.handle(e, e.queue.Admit(r.clock(), r.capacity(e)))
}

func (r *loadRun) tick() {
	for _, e := range r.entries {
		r.handle(e, e.queue.Admit(r.clock(), r.capacity(e)))
	}
}

func (r *loadRun) capacity(e *loadEntry) int {
	if r.disabled == disabledWindows || r.disabled == disabledBudget {
		return 1 << 20
	}
	sum := 0
	for i := range e.windows {
		sum += e.windows[i].Size(0)
	}
	return sum
}

func (r *loadRun) handle(e *loadEntry, all []admit.Decision) {
	for _, d := range all {
		c := e.calls[d.Ticket]
		if d.Refusal != nil {
			r.retryRefused(e, c, d.Refusal.RetryAfter)
			continue
		}
		r.admitted++
		e.budget.RecordRequest()
		r.send(e, c)
	}
}

// retryRefused makes the client retry after the Retry-After of its refusal.
func (r *loadRun) retryRefused(e *loadEntry, c *loadCall, wait time.Duration) {
	delete(e.calls, c.ticket)
	r.recordRecovery(c, false)
	if c.small && c.startedAt >= 0 && c.startedAt < loadFlood {
		r.latencies = append(r.latencies, loadTimeout)
	}
	if c.clientRetries == loadClientRetries {
		return
	}
	name := c.ticket.Workspace
	again := &loadCall{small: c.small, clientRetries: c.clientRetries + 1}
	r.after(wait+time.Duration(r.random.Int64N(int64(wait))), func() { r.offer(name, again) })
}

func (r *loadRun) send(e *loadEntry, c *loadCall) {
	for i := range e.candidates {
		e.candidates[i].Window = 1 << 20
		if r.disabled != disabledWindows && r.disabled != disabledBudget {
			e.candidates[i].Window = int32(e.windows[i].Size(0))
		}
	}
	i := picker.Choose(e.candidates, picker.Query{Prefix: r.random.Uint64(), NoAffinity: true, Excluded: c.tried})
	if i < 0 {
		r.end(e, c, false)
		return
	}
	r.attempts++
	c.attempts++
	c.engine, c.sentAt = i, r.now
	c.tried = append(c.tried, uint64(i))
	g := &r.engines[i]
	if len(g.waiting) >= loadQueue {
		e.windows[i].RecordOverload()
		if c.attempts < 3 && (r.disabled == disabledBudget || e.budget.TrySpend()) {
			r.send(e, c)
			return
		}
		r.end(e, c, false)
		return
	}
	e.candidates[i].OwnRequests++
	g.waiting = append(g.waiting, func() { r.serve(e, c) })
	r.pump(g)
}

func (r *loadRun) pump(g *loadEngine) {
	for g.running < loadBatch && len(g.waiting) > 0 {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.running++
		next()
	}
}

func (r *loadRun) serve(e *loadEntry, c *loadCall) {
	g := &r.engines[c.engine]
	slow := 1 + 0.5*float64(g.running)/loadBatch
	took := time.Duration(slow * (0.8 + 0.4*r.random.Float64()) * float64(loadService))
	r.after(took, func() {
		g.running--
		r.pump(g)
		own := e.candidates[c.engine].OwnRequests
		e.windows[c.engine].RecordResponse(r.clock(), r.now-c.sentAt, int(own))
		e.candidates[c.engine].OwnRequests--
		e.candidates[c.engine].OtherRequests = max(int32(g.running+len(g.waiting))-own+1, 0)
		r.end(e, c, true)
	})
}

func (r *loadRun) end(e *loadEntry, c *loadCall, answered bool) {
	e.queue.Done(r.clock(), c.ticket, answered)
	if !answered {
		r.retryRefused(e, c, time.Second)
	} else {
		r.recordResponse(c)
		delete(e.calls, c.ticket)
	}
	r.handle(e, e.queue.Admit(r.clock(), r.capacity(e)))
}

func (r *loadRun) recordResponse(c *loadCall) {
	took := r.now - c.startedAt
	inTime := took <= loadTimeout
	r.recordRecovery(c, inTime)
	if inTime && r.now >= 0 && r.now <= loadFlood {
		r.responses++
	}
	if c.small && c.startedAt >= 0 && c.startedAt < loadFlood {
		r.latencies = append(r.latencies, took)
	}
}

func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		base := runOverload(1, disabledNone)
		best := float64(base.responses)
		runs := map[int]*loadRun{1: base, 2: runOverload(2, disabledNone), 10: runOverload(10, disabledNone)}
		for _, r := range runs {
			best = max(best, float64(r.responses))
		}
		for _, l := range []int{1, 2, 10} {
			r := runs[l]
			fmt.Printf("bench=overload load=%d goodput=%.3f tail=%.2f retries=%.3f recovery=%.3f\n", l,
				float64(r.responses)/best, float64(r.tailLatency())/float64(base.tailLatency()), r.attemptsPerRequest(), r.minRecoveryRatio())
		}
	}
}

// The required results at ten times the capacity of the engines.
const (
	minGoodput            = 0.95
	maxTailRatio          = 1.5
	maxAttemptsPerRequest = 1.1
	minRecovery           = 0.99
)

// TestOverload checks the required results, and that they fail with any of the
// mechanisms disabled.
func TestOverload(t *testing.T) {
	base := runOverload(1, disabledNone)
	for _, off := range []disabled{disabledNone, disabledFairness, disabledWindows, disabledBudget} {
		r := runOverload(10, off)
		goodput := float64(r.responses) / float64(base.responses)
		tail := float64(r.tailLatency()) / float64(base.tailLatency())
		recovery := r.minRecoveryRatio()
		met := goodput >= minGoodput && tail <= maxTailRatio && r.attemptsPerRequest() <= maxAttemptsPerRequest && recovery >= minRecovery
		if met != (off == disabledNone) {
			t.Errorf("without %q: goodput %.3f, tail %.2f, retries %.3f, recovery %.3f", off, goodput, tail, r.attemptsPerRequest(), recovery)
		}
		if met := r.attemptsPerRequest() <= maxAttemptsPerRequest; met != (off != disabledBudget) {
			t.Errorf("without %q: %.3f attempts for each request", off, r.attemptsPerRequest())
		}
	}
}

// TestOverloadOverSeeds floods warmed-up entries with several seeds, for few entries
// and for the largest installation.
func TestOverloadOverSeeds(t *testing.T) {
	for _, entries := range []int{loadEntries, loadMaxEntries} {
		for seed := uint64(6); seed < 12; seed++ {
			base := loadCase{load: 1, entries: entries, seed: seed, warmUp: true}.run()
			r := loadCase{load: 10, entries: entries, seed: seed, warmUp: true}.run()
			goodput := float64(r.responses) / float64(base.responses)
			if goodput < minGoodput || r.minRecoveryRatio() < minRecovery {
				t.Errorf("%d entries, seed %d: goodput %.3f, recovery %.3f", entries, seed, goodput, r.minRecoveryRatio())
			}
		}
	}
}

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

// The load of the benchmark: small workspaces and one that floods, at entries
// before engines that serve a batch and queue what is beyond it.
const (
	loadEngines = 6
	loadEntries = 3
	// loadMostEntries is as many entries as an installation has.
	loadMostEntries = 7
	loadBatch       = 16
	loadQueue       = 48
	loadSmall       = 20
	loadService     = time.Second
	loadDeadline    = 5 * time.Second
	loadMinute      = time.Minute
	loadAfter       = 60 * time.Second
	// loadWarm is how long a warm run lasts before the flood.
	loadWarm    = 20 * time.Second
	loadTick    = 50 * time.Millisecond
	loadResends = 3
	// loadCapacity is what the engines answer in a second with full batches.
	loadCapacity = loadEngines * loadBatch / 1.5
)

// off names what a run leaves out, to show what it is for.
type off string

const (
	offNone   off = ""
	offFair   off = "fair"
	offWindow off = "window"
	// offBudget leaves out the windows too, without which nothing is retried.
	offBudget off = "budget"
)

type loadCall struct {
	ticket  *admit.Ticket
	small   bool
	begun   time.Duration
	resends int
	tries   int
	engine  int
	sent    time.Duration
	tried   []uint64
}

type loadEntry struct {
	queue   *admit.Queue
	budget  admit.Budget
	windows [loadEngines]admit.Window
	all     []picker.Candidate
	calls   map[*admit.Ticket]*loadCall
}

type loadEngine struct {
	running int
	waiting []func()
}

type loadRun struct {
	off     off
	now     time.Duration
	events  loadEvents
	random  *rand.Rand
	entries []*loadEntry
	engines [loadEngines]loadEngine
	// answers counts those in time within the minute.
	answers, admitted, attempts int
	// tails holds the times of the small workspaces' calls.
	tails []time.Duration
	// small counts the first calls of the small workspaces after the minute,
	// early all first calls from 20 s to 40 s after it, late all from 30 s on.
	small, early, late recovery
}

// recovery counts calls and those of them that were answered in time.
type recovery struct{ calls, answers int }

func (r *recovery) add(answered bool) {
	r.calls++
	if answered {
		r.answers++
	}
}

func (r *recovery) share() float64 { return float64(r.answers) / float64(r.calls) }

// recovery returns the least share of those that the run counts.
func (r *loadRun) recovery() float64 {
	return min(r.small.share(), r.early.share(), r.late.share())
}

// recover counts a first call that has ended or was refused.
func (r *loadRun) recover(c *loadCall, answered bool) {
	after := c.begun - loadMinute
	if after <= 0 || c.resends > 0 {
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

// loadCase is what a run is made of.
type loadCase struct {
	load    float64
	off     off
	entries int
	seed    uint64
	// warm lets the entries answer half of the capacity before the flood.
	warm bool
}

// overload runs a minute at the load and a while at less, and returns the run.
func overload(load float64, left off) *loadRun {
	return loadCase{load: load, off: left, entries: loadEntries, seed: 8}.run()
}

func (c loadCase) run() *loadRun {
	r := &loadRun{off: c.off, random: rand.New(rand.NewPCG(5, c.seed))}
	for range c.entries {
		e := &loadEntry{queue: admit.NewQueue(256), calls: make(map[*admit.Ticket]*loadCall)}
		for i := range loadEngines {
			e.all = append(e.all, picker.Candidate{Seed: uint64(i), Ready: true})
		}
		r.entries = append(r.entries, e)
	}
	if c.warm {
		r.now = -loadWarm
		r.stream(true, 0.5*loadCapacity, 0, loadWarm)
		r.now = 0
	}
	small := 0.3 * loadCapacity
	r.stream(true, small, 0, loadMinute)
	r.stream(false, c.load*loadCapacity-small, 0, loadMinute)
	r.stream(true, small, loadMinute, loadMinute+loadAfter)
	r.stream(false, loadCapacity/3, loadMinute, loadMinute+loadAfter)
	for t := time.Duration(0); t < loadMinute+loadAfter; t += loadTick {
		r.after(t, r.tick)
	}
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(loadEvent)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.tails)
	return r
}

// tail returns the p99 time of the small workspaces' calls. A refused call
// counts with its whole deadline.
func (r *loadRun) tail() time.Duration { return r.tails[len(r.tails)*99/100] }

func (r *loadRun) retries() float64 { return float64(r.attempts) / float64(r.admitted) }

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
	c.begun = r.now
	c.ticket = &admit.Ticket{Workspace: name, Deadline: r.clock().Add(loadDeadline)}
	if r.off == offFair {
		c.ticket.Workspace = "all"
	}
	e.calls[c.ticket] = c
	r.take(e, e.queue.Offer(r.clock(), c.ticket, r.capacity(e)))
	r.take(e, e.queue.Admit(r.clock(), r.capacity(e)))
}

func (r *loadRun) tick() {
	for _, e := range r.entries {
		r.take(e, e.queue.Admit(r.clock(), r.capacity(e)))
	}
}

func (r *loadRun) capacity(e *loadEntry) int {
	if r.off == offWindow || r.off == offBudget {
		return 1 << 20
	}
	sum := 0
	for i := range e.windows {
		sum += e.windows[i].Size(0)
	}
	return sum
}

func (r *loadRun) take(e *loadEntry, all []admit.Decision) {
	for _, d := range all {
		c := e.calls[d.Ticket]
		if d.Refusal != nil {
			r.refused(e, c, d.Refusal.RetryAfter)
			continue
		}
		r.admitted++
		e.budget.RecordRequest()
		r.send(e, c)
	}
}

// refused lets the caller come back after the wait that it was told.
func (r *loadRun) refused(e *loadEntry, c *loadCall, wait time.Duration) {
	delete(e.calls, c.ticket)
	r.recover(c, false)
	if c.small && c.begun >= 0 && c.begun < loadMinute {
		r.tails = append(r.tails, loadDeadline)
	}
	if c.resends == loadResends {
		return
	}
	name := c.ticket.Workspace
	again := &loadCall{small: c.small, resends: c.resends + 1}
	r.after(wait+time.Duration(r.random.Int64N(int64(wait))), func() { r.offer(name, again) })
}

func (r *loadRun) send(e *loadEntry, c *loadCall) {
	for i := range e.all {
		e.all[i].Window = 1 << 20
		if r.off != offWindow && r.off != offBudget {
			e.all[i].Window = int32(e.windows[i].Size(0))
		}
	}
	i := picker.Choose(e.all, picker.Query{Prefix: r.random.Uint64(), Even: true, Tried: c.tried})
	if i < 0 {
		r.end(e, c, false)
		return
	}
	r.attempts++
	c.tries++
	c.engine, c.sent = i, r.now
	c.tried = append(c.tried, uint64(i))
	g := &r.engines[i]
	if len(g.waiting) >= loadQueue {
		e.windows[i].RecordOverload()
		if c.tries < 3 && (r.off == offBudget || e.budget.TrySpend()) {
			r.send(e, c)
			return
		}
		r.end(e, c, false)
		return
	}
	e.all[i].Own++
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
		own := e.all[c.engine].Own
		e.windows[c.engine].RecordResponse(r.clock(), r.now-c.sent, int(own))
		e.all[c.engine].Own--
		e.all[c.engine].Others = max(int32(g.running+len(g.waiting))-own+1, 0)
		r.end(e, c, true)
	})
}

func (r *loadRun) end(e *loadEntry, c *loadCall, answered bool) {
	e.queue.Done(r.clock(), c.ticket, answered)
	if !answered {
		r.refused(e, c, time.Second)
	} else {
		r.count(c)
		delete(e.calls, c.ticket)
	}
	r.take(e, e.queue.Admit(r.clock(), r.capacity(e)))
}

func (r *loadRun) count(c *loadCall) {
	took := r.now - c.begun
	inTime := took <= loadDeadline
	r.recover(c, inTime)
	if inTime && r.now >= 0 && r.now <= loadMinute {
		r.answers++
	}
	if c.small && c.begun >= 0 && c.begun < loadMinute {
		r.tails = append(r.tails, took)
	}
}

func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		base := overload(1, offNone)
		best := float64(base.answers)
		runs := map[int]*loadRun{1: base, 2: overload(2, offNone), 10: overload(10, offNone)}
		for _, r := range runs {
			best = max(best, float64(r.answers))
		}
		for _, l := range []int{1, 2, 10} {
			r := runs[l]
			fmt.Printf("bench=overload load=%d goodput=%.3f tail=%.2f retries=%.3f recovery=%.3f\n", l,
				float64(r.answers)/best, float64(r.tail())/float64(base.tail()), r.retries(), r.recovery())
		}
	}
}

// The goals at ten times the load that the engines carry.
const (
	goalGoodput  = 0.95
	goalTail     = 1.5
	goalRetries  = 1.1
	goalRecovery = 0.99
)

// TestOverload holds the goals, and that each mechanism is needed for them.
func TestOverload(t *testing.T) {
	base := overload(1, offNone)
	for _, left := range []off{offNone, offFair, offWindow, offBudget} {
		r := overload(10, left)
		goodput := float64(r.answers) / float64(base.answers)
		tail := float64(r.tail()) / float64(base.tail())
		recovery := r.recovery()
		met := goodput >= goalGoodput && tail <= goalTail && r.retries() <= goalRetries && recovery >= goalRecovery
		if met != (left == offNone) {
			t.Errorf("without %q: goodput %.3f, tail %.2f, retries %.3f, recovery %.3f", left, goodput, tail, r.retries(), recovery)
		}
		if met := r.retries() <= goalRetries; met != (left != offBudget) {
			t.Errorf("without %q: %.3f attempts for each request", left, r.retries())
		}
	}
}

// TestOverloadOverSeeds floods entries that have answered before, as few of them
// and as many as an installation has.
func TestOverloadOverSeeds(t *testing.T) {
	for _, entries := range []int{loadEntries, loadMostEntries} {
		for seed := uint64(6); seed < 12; seed++ {
			base := loadCase{load: 1, entries: entries, seed: seed, warm: true}.run()
			r := loadCase{load: 10, entries: entries, seed: seed, warm: true}.run()
			goodput := float64(r.answers) / float64(base.answers)
			if goodput < goalGoodput || r.recovery() < goalRecovery {
				t.Errorf("%d entries, seed %d: goodput %.3f, recovery %.3f", entries, seed, goodput, r.recovery())
			}
		}
	}
}

package target_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/target"
)

// simKind is a kind of requests of the users' deployment with differing priorities.
type simKind struct {
	prompt, output int
	objective      time.Duration
	share          float64
	late           float64
}

var simKinds = []simKind{
	{prompt: 1290, output: 147, objective: 400 * time.Millisecond, share: 0.33, late: 0.10},
	{prompt: 787, output: 147, objective: 400 * time.Millisecond, share: 0.39, late: 0.25},
	{prompt: 607, output: 70, objective: 800 * time.Millisecond, share: 0.28, late: 0.37},
}

// kindsSpec is the engine of that deployment.
var kindsSpec = func() *state.Engine {
	e := *engineSpec
	e.Slots, e.PromptTokens, e.OutputTokens = 12, 902, 125
	return &e
}()

// Policies of the model.
const (
	policyLevels    = "levels"
	policyNoLevels  = "nolevels"
	policyLeast     = "least"
	policyRandomTwo = "randomtwo"
)

// kindsModel runs entries of two regions before engines that serve three kinds of requests.
type kindsModel struct {
	*simulation
	policy string
	queues []*level.Queue
	// rate is the arrival rate of each kind at a time.
	rate func(at time.Duration, kind int) float64
	// reported and sent are the known loads by entry and engine, for rivals without predictions.
	reported [][]int
	waits    [][]*leveled
	returns  []*leveled
	all      []*leveled
}

// leveled is a request with its kind.
type leveled struct {
	request
	kind, workspace int
	ticket          *level.Ticket
	refusedAt       time.Time
	firstWait       time.Duration
	refusals        int
	entry           int
	counted         bool
}

func newKindsModel(t testing.TB, policy string, seed uint64, entries, engines int) *kindsModel {
	t.Helper()
	m := &kindsModel{simulation: newSimulationOf(t, seed, entries, engines, &state.Pool{Name: "p", Engine: kindsSpec}), policy: policy}
	for range entries {
		m.queues = append(m.queues, level.NewQueue(len(simKinds)))
		m.reported = append(m.reported, make([]int, engines))
	}
	m.waits = make([][]*leveled, entries)
	return m
}

func (m *kindsModel) run(span time.Duration) {
	next := make([]time.Time, len(simKinds))
	for k := range next {
		next[k] = start.Add(time.Duration(m.random.ExpFloat64() / m.rate(0, k) * float64(time.Second)))
	}
	for i := range int(span / tick) {
		now := start.Add(time.Duration(i) * tick)
		for k, d := range simKinds {
			for ; next[k].Before(now); next[k] = next[k].Add(time.Duration(m.random.ExpFloat64() / m.rate(now.Sub(start), k) * float64(time.Second))) {
				a := &leveled{kind: k, workspace: m.random.IntN(4)}
				a.prompt = min(int(float64(d.prompt)*math.Exp(0.8*m.random.NormFloat64()-0.32)), 3880)
				a.outputTokens = min(int(float64(d.output)*math.Exp(0.7*m.random.NormFloat64()-0.25)), 400) + 5
				a.arrived = now
				m.all = append(m.all, a)
				m.arrive(a, now)
			}
		}
		m.returns = slices.DeleteFunc(m.returns, func(a *leveled) bool {
			if now.Before(a.refusedAt) {
				return false
			}
			a.retried = true
			m.arrive(a, now)
			return true
		})
		for e := range m.waits {
			m.waits[e] = slices.DeleteFunc(m.waits[e], func(a *leveled) bool { return m.poll(a, now) })
		}
		for _, g := range m.engines {
			g.advance(now)
		}
		m.exchange(i, now)
	}
}

func (m *kindsModel) exchange(i int, now time.Time) {
	m.exchangeLoad(i, now)
	if i%reportTicks == 0 {
		for e := range m.reported {
			for k, g := range m.engines {
				m.reported[e][k] = len(g.batch) + len(g.queue)
			}
		}
	}
	if i%entryLoadTicks != 0 {
		return
	}
	for k, f := range m.fleets {
		for j, o := range m.fleets {
			if j != k && m.entries[j].Place == m.entries[k].Place {
				o.ReceiveDemands(now, m.entries[k].Name, f.Demands(now))
			}
		}
	}
}

func (m *kindsModel) requirements(a *leveled, now time.Time) target.Requirements {
	reqs := target.Requirements{Pool: m.pool, Model: "m", PromptTokens: a.prompt, MaxEventGap: objective}
	if !a.retried {
		reqs.Remaining = objective - now.Sub(a.arrived)
	}
	if m.policy == policyLevels {
		reqs.Level, reqs.Levels, reqs.Returned = a.kind, len(simKinds), a.retried
		if !a.retried {
			reqs.Remaining = min(simKinds[a.kind].objective-now.Sub(a.arrived), objective)
		}
	}
	return reqs
}

func (m *kindsModel) arrive(a *leveled, now time.Time) {
	a.placed, a.entry = now, m.random.IntN(len(m.fleets))
	if m.policy == policyLevels {
		q := m.queues[a.entry]
		o := simKinds[a.kind].objective
		a.ticket = q.Add(now, level.Request{
			Level: a.kind, Returned: a.retried, Kind: strconv.Itoa(a.kind), Workspace: strconv.Itoa(a.workspace), Prompt: a.prompt,
			Grace: o / 8, Until: now.Add(level.MaxWait(kindsSpec, o)),
		})
		if m.poll(a, now) {
			return
		}
	}
	m.waits[a.entry] = append(m.waits[a.entry], a)
}

// poll tries to place the request. It returns true once the request no longer waits.
func (m *kindsModel) poll(a *leveled, now time.Time) bool {
	isDone := m.attempt(a, now)
	isLate := now.Sub(a.placed) >= simKinds[a.kind].objective/16
	if m.policy == policyLevels && !a.retried && !a.counted && (isLate || isDone) {
		a.counted = true
		m.fleets[a.entry].RecordArrival(now, m.requirements(a, now), a.inFlight != nil)
	}
	return isDone
}

func (m *kindsModel) attempt(a *leveled, now time.Time) bool {
	f := m.fleets[a.entry]
	switch m.policy {
	case policyLeast, policyRandomTwo:
		m.send(a, m.pickRival(a.entry), nil, now)
		return true
	case policyLevels:
		reqs := m.requirements(a, now)
		reqs.Exempt, reqs.Waiting = a.ticket.Exempt, now.After(a.placed)
		var inFlight *target.InFlight
		switch m.queues[a.entry].Poll(now, a.ticket, func(ahead []state.Homes) bool {
			reqs.Ahead = ahead
			inFlight, _ = f.ChooseEngine(now, reqs)
			return inFlight != nil
		}) {
		case level.Placed:
			a.inFlight = inFlight
			m.send(a, m.engineOf(inFlight), inFlight, now)
			return true
		case level.Waiting:
			return false
		}
	default:
		if inFlight, _ := f.ChooseEngine(now, m.requirements(a, now)); inFlight != nil {
			a.inFlight = inFlight
			m.send(a, m.engineOf(inFlight), inFlight, now)
			return true
		}
		if now.Sub(a.placed) < simKinds[a.kind].objective/8 {
			return false
		}
	}
	a.refusals++
	if a.refusals == 1 {
		a.firstWait = now.Sub(a.placed)
	}
	if a.refused = a.retried; !a.refused {
		a.refusedAt = now.Add(time.Second + time.Duration(m.random.Float64()*float64(time.Second)))
		m.returns = append(m.returns, a)
	}
	return true
}

func (m *kindsModel) engineOf(i *target.InFlight) int {
	return slices.IndexFunc(m.engines, func(g *simEngine) bool { return g.id == i.Row.ID })
}

func (m *kindsModel) pickRival(e int) int {
	load := m.reported[e]
	var all []int
	for i := range load {
		if m.policy == policyLeast || len(all) < 2 {
			all = append(all, i)
		}
	}
	if m.policy == policyRandomTwo {
		all = []int{m.random.IntN(len(load)), m.random.IntN(len(load))}
	}
	best := slices.MinFunc(all, func(a, b int) int { return load[a] - load[b] })
	load[best]++
	return best
}

// send queues the request at an engine, which starts more urgent ones first.
func (m *kindsModel) send(a *leveled, engine int, f *target.InFlight, now time.Time) {
	if f == nil {
		f, _ = m.fleets[a.entry].ChooseEngine(now, target.Requirements{Pool: &state.Pool{Name: "p", Engine: unbounded}, Model: "m", Remaining: time.Hour})
	}
	a.inFlight = f
	g := m.engines[engine]
	at := len(g.queue)
	if m.policy == policyLevels {
		a.level = a.kind
		for at > 0 && g.queue[at-1].level > a.kind {
			at--
		}
	}
	g.queue = slices.Insert(g.queue, at, &a.request)
}

// kindOutcome counts what the requests of one kind got, as ratios of the total.
type kindOutcome struct{ total, inTime, late, refusedAtOnce, held, refusedTwice float64 }

// outcomeOf returns what the requests of a kind got that arrived from the given time on and could
// return before the end.
func (m *kindsModel) outcomeOf(k int, from time.Duration) kindOutcome {
	var o kindOutcome
	for _, a := range m.all {
		if at := a.arrived.Sub(start); a.kind != k || at < from || at >= 16*time.Second {
			continue
		}
		o.total++
		switch {
		case a.refusals > 0 && a.firstWait <= simKinds[k].objective/8+tick:
			o.refusedAtOnce++
		case a.refusals > 0:
			o.held++
		}
		switch {
		case a.refused:
			o.refusedTwice++
		case a.served && a.firstEvent <= simKinds[k].objective:
			o.inTime++
		case a.served:
			o.late++
		}
	}
	for _, v := range []*float64{&o.inTime, &o.late, &o.refusedAtOnce, &o.held, &o.refusedTwice} {
		*v /= max(o.total, 1)
	}
	return o
}

func (o *kindOutcome) add(p kindOutcome, n float64) {
	o.inTime += p.inTime / n
	o.late += p.late / n
	o.refusedAtOnce += p.refusedAtOnce / n
	o.held += p.held / n
	o.refusedTwice += p.refusedTwice / n
}

func (m *kindsModel) value(from time.Duration) float64 {
	sum, n := 0.0, 0.0
	for k, d := range simKinds {
		o := m.outcomeOf(k, from)
		sum += (o.inTime + d.late*o.late) * o.total
		n += o.total
	}
	return sum / n
}

// capacityOf is the rate of requests that engines with full batches complete.
func capacityOf(engines int) float64 { return float64(engines) * timing.Rate(kindsSpec, 1) }

func steady(times float64, engines int) func(time.Duration, int) float64 {
	return func(_ time.Duration, k int) float64 { return times * capacityOf(engines) * simKinds[k].share }
}

func burst(engines int) func(time.Duration, int) float64 {
	return func(at time.Duration, k int) float64 {
		r := 0.85 * capacityOf(engines) * simKinds[k].share
		if k == len(simKinds)-1 && at > 10*time.Second && at < 15*time.Second {
			return r * 2.4
		}
		return r
	}
}

// BenchmarkUrgency prints what each kind gets, by load and policy: the ratios in time, late, refused at
// once, refused after a wait and refused twice. Load zero is the burst.
func BenchmarkUrgency(b *testing.B) {
	const entries, engines, seeds = 22, 30, 4
	for range b.N {
		for _, load := range []float64{0.8, 0.9, 1.3, 2, 3, 0} {
			for _, policy := range []string{policyLevels, policyNoLevels, policyLeast, policyRandomTwo} {
				var sums [3]kindOutcome
				value := 0.0
				for seed := range uint64(seeds) {
					m := newKindsModel(b, policy, seed, entries, engines)
					m.rate = steady(load, engines)
					from := 3 * time.Second
					if load == 0 {
						m.rate, from = burst(engines), 10*time.Second
					}
					m.run(20 * time.Second)
					for k := range simKinds {
						sums[k].add(m.outcomeOf(k, from), seeds)
					}
					value += m.value(from) / seeds
				}
				fmt.Printf("load=%.1f policy=%s value=%.3f", load, policy, value)
				for k, o := range sums {
					fmt.Printf(" kind%d=%.3f/%.3f/%.3f/%.3f/%.3f", k, o.inTime, o.late, o.refusedAtOnce, o.held, o.refusedTwice)
				}
				fmt.Println()
			}
		}
	}
}

// TestUrgentKindsAreServedFirst sends twice the capacity. It guards against refusals in the order of the
// objectives instead of the levels, and against a kind, a workspace or long prompts that starve.
func TestUrgentKindsAreServedFirst(t *testing.T) {
	t.Parallel()
	m := newKindsModel(t, policyLevels, 1, 12, 16)
	m.rate = steady(2, 16)
	m.run(25 * time.Second)
	served := func(matches func(*leveled) bool) float64 {
		n, all := 0.0, 0.0
		for _, a := range m.all {
			if at := a.arrived.Sub(start); at > 3*time.Second && at < 20*time.Second && matches(a) {
				all++
				if a.served {
					n++
				}
			}
		}
		return n / all
	}
	overall, last := served(func(*leveled) bool { return true }), 1.0
	for k, d := range simKinds {
		isKind := func(a *leveled) bool { return a.kind == k }
		share := served(isKind)
		if share > last || share < overall/4 {
			t.Errorf("%.3f of kind %d served, %.3f of the one before, %.3f of all", share, k, last, overall)
		}
		// 1.94 times the mean is the longest tenth of this distribution.
		if long := served(func(a *leveled) bool { return isKind(a) && float64(a.prompt) > 1.94*float64(d.prompt) }); long < share/2 {
			t.Errorf("%.3f of the long prompts of kind %d served, %.3f of the kind", long, k, share)
		}
		last = share
	}
	for w := range 4 {
		if share := served(func(a *leveled) bool { return a.workspace == w }); share < overall/4 {
			t.Errorf("%.3f of workspace %d served, %.3f of all", share, w, overall)
		}
	}
}

// TestOneLevelChangesNoDecision runs an overload with and without the requirements that the proxy states for
// requests of equal urgency. It guards earlier deployments against other decisions than before.
func TestOneLevelChangesNoDecision(t *testing.T) {
	var results [2][]string
	for i := range results {
		b := newSimulation(t, 3, 4, 8)
		b.hasLevels = i == 1
		b.run(1.3*8*timing.Rate(engineSpec, 1), 10*time.Second)
		for _, a := range b.all {
			results[i] = append(results[i], fmt.Sprint(a.served, a.refused, a.firstEvent))
		}
	}
	if !slices.Equal(results[0], results[1]) {
		t.Error("requests of one level are treated differently")
	}
}

// TestReserveOfALevel guards against clients that return before newcomers of their level, or after
// those of less urgent ones, against reserves without levels, and against clients that are told to
// return before there is room for their level.
func TestReserveOfALevel(t *testing.T) {
	m := newKindsModel(t, policyLevels, 0, 1, 1)
	reqs := target.Requirements{Pool: m.pool, Levels: 3}
	for l := range 3 {
		for range 10 {
			reqs.Level = l
			m.fleets[0].RecordArrival(start, reqs, l > 1)
		}
	}
	for _, c := range []struct {
		level, levels      int
		isReturned, exempt bool
		want               float64
	}{
		{0, 3, false, false, 0},
		{1, 3, false, false, 1.5},
		{2, 3, false, false, 3},
		{0, 3, true, false, 1.5},
		{1, 3, true, false, 3},
		{2, 3, true, false, 5},
		{2, 3, false, true, 0},
		{0, 1, true, false, 0},
		{1, 2, false, false, 0},
	} {
		reqs.Level, reqs.Levels, reqs.Returned, reqs.Exempt = c.level, c.levels, c.isReturned, c.exempt
		if got := m.fleets[0].LevelReserve(start, reqs); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%+v: %v slots", c, got)
		}
	}
	reqs = target.Requirements{Pool: m.pool, Model: "m", Levels: 3, Remaining: time.Hour}
	for region, want := range map[hosts.Region]bool{"r0": false, "elsewhere": true} {
		reqs.Ahead = slices.Repeat([]state.Homes{state.HomesOf(&state.Route{Homes: []hosts.Region{region}}, nil)}, kindsSpec.Slots+1)
		if got := m.fleets[0].HasEngine(start, reqs); got != want {
			t.Errorf("%v though others wait for all slots in %s", got, region)
		}
	}
	reqs.Ahead = nil
	var delays []time.Duration
	for reqs.Level = range 3 {
		for found := true; found; {
			f, delay := m.fleets[0].ChooseEngine(start, reqs)
			if found = f != nil; !found {
				delays = append(delays, delay)
			}
		}
	}
	if delays[0] <= 0 || delays[1] <= delays[0] || delays[2] <= delays[1] {
		t.Errorf("clients of levels are told to return after %v", delays)
	}
}

// TestBurstOfTheLeastUrgentKindCostsTheMostUrgentNothing compares the seconds of a burst with the same ones
// without it. It guards against reserves that come too late or are too small for the most urgent kind.
func TestBurstOfTheLeastUrgentKindCostsTheMostUrgentNothing(t *testing.T) {
	t.Parallel()
	const seeds = 8
	cost := 0.0
	for seed := range uint64(seeds) {
		for sign, rate := range map[float64]func(time.Duration, int) float64{1: steady(0.85, 16), -1: burst(16)} {
			m := newKindsModel(t, policyLevels, seed, 12, 16)
			m.rate = rate
			m.run(20 * time.Second)
			o := m.outcomeOf(0, 10*time.Second)
			cost += sign * (o.inTime + simKinds[0].late*o.late) / seeds
		}
	}
	if t.Logf("cost %.3f", cost); cost > 0.02 {
		t.Errorf("the burst costs the most urgent kind %.3f", cost)
	}
}

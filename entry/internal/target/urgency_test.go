package target_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

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
	m := &kindsModel{simulation: newSimulationOf(t, kindsSpec, seed, entries, engines), policy: policy}
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
			Grace: o / 8, Until: now.Add(level.Patience(kindsSpec, o)),
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
		reqs.Exempt = a.ticket.Exempt
		switch m.queues[a.entry].Poll(now, a.ticket, func(ahead []state.Homes) bool {
			reqs.Ahead = ahead
			a.inFlight, _ = f.ChooseEngine(now, reqs)
			return a.inFlight != nil
		}) {
		case level.Placed:
			m.send(a, m.engineOf(a.inFlight), a.inFlight, now)
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

// kindOutcome counts what the requests of one kind got, as ratios.
type kindOutcome struct {
	total                                           int
	inTime, late, refusedAtOnce, held, refusedTwice float64
	open                                            float64
}

func (o kindOutcome) served() float64 { return o.inTime + o.late }

func (m *kindsModel) outcomeOf(matches func(*leveled) bool) kindOutcome {
	var o kindOutcome
	for _, a := range m.all {
		if !matches(a) || a.arrived.Sub(start) < 3*time.Second {
			continue
		}
		o.total++
		grace := simKinds[a.kind].objective/8 + tick
		switch {
		case a.refusals > 0 && a.firstWait <= grace:
			o.refusedAtOnce++
		case a.refusals > 0:
			o.held++
		}
		switch {
		case a.refused:
			o.refusedTwice++
		case a.served && a.firstEvent <= simKinds[a.kind].objective:
			o.inTime++
		case a.served:
			o.late++
		default:
			o.open++
		}
	}
	n := float64(max(o.total, 1))
	for _, v := range []*float64{&o.inTime, &o.late, &o.refusedAtOnce, &o.held, &o.refusedTwice, &o.open} {
		*v /= n
	}
	return o
}

func (m *kindsModel) value() float64 {
	sum, n := 0.0, 0
	for k, d := range simKinds {
		o := m.outcomeOf(func(a *leveled) bool { return a.kind == k })
		sum += (o.inTime + d.late*o.late) * float64(o.total)
		n += o.total
	}
	return sum / float64(n)
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

// BenchmarkUrgency prints what each kind gets, by load and policy.
func BenchmarkUrgency(b *testing.B) {
	const entries, engines = 12, 16
	policies := []string{policyLevels, policyNoLevels, policyLeast, policyRandomTwo}
	if p := os.Getenv("POLICY"); p != "" {
		policies = []string{p}
	}
	loads := []float64{0.8, 0.9, 1.3, 2, 3, 0}
	if os.Getenv("LOADS") != "" {
		loads = nil
		for _, t := range strings.Fields(os.Getenv("LOADS")) {
			f, _ := strconv.ParseFloat(t, 64)
			loads = append(loads, f)
		}
	}
	type job struct {
		load   float64
		policy string
		seed   uint64
	}
	var jobs []job
	for _, load := range loads {
		for _, policy := range policies {
			for seed := range uint64(4) {
				jobs = append(jobs, job{load, policy, seed})
			}
		}
	}
	out := make([]string, len(jobs))
	var wg sync.WaitGroup
	sem := make(chan struct{}, 3)
	for i, j := range jobs {
		wg.Add(1)
		sem <- struct{}{}
		go func() {
			defer func() { <-sem; wg.Done() }()
			m := newKindsModel(b, j.policy, j.seed, entries, engines)
			m.rate = steady(j.load, engines)
			span := 20 * time.Second
			from := time.Duration(0)
			if j.load == 0 {
				m.rate = burst(engines)
				from = 10 * time.Second
			}
			m.run(span)
			for k := range simKinds {
				o := m.outcomeOf(func(a *leveled) bool {
					return a.kind == k && a.arrived.Sub(start) < span-4*time.Second && a.arrived.Sub(start) >= from
				})
				out[i] += fmt.Sprintf("load=%.1f policy=%s seed=%d kind=%d n=%d intime=%.3f late=%.3f atonce=%.3f held=%.3f twice=%.3f open=%.3f value=%.3f\n",
					j.load, j.policy, j.seed, k, o.total, o.inTime, o.late, o.refusedAtOnce, o.held, o.refusedTwice, o.open, m.value())
			}
		}()
	}
	wg.Wait()
	for _, o := range out {
		fmt.Print(o)
	}
}

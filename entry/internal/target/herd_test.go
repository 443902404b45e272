package target_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
	"currantport.example/entry/internal/target"
)

// Figures of the herd model. Engines publish their status each statusInterval, and a report takes
// reportDelay to arrive, so that it is 200 to 400 ms old on arrival.
const (
	statusInterval  = 200 * time.Millisecond
	reportDelay     = 200 * time.Millisecond
	reportPoll      = 50 * time.Millisecond
	entryLoadDelay  = 2 * time.Millisecond
	slowTime        = 600 * time.Millisecond
	slowShare       = 7
	herdWarmup      = 2 * time.Second
	clientsPerEntry = 8
	stepStart       = 4 * time.Second
	stepEnd         = 7 * time.Second
	// loadReportBytes and entryLoadBytes are the measured sizes of a load report and of one load in
	// an entry load message, with the message's own bytes in messageBytes.
	loadReportBytes, entryLoadBytes, messageBytes = 58, 18, 60
)

var slowPace = 2.5

// herdSpecs are the engines of the two deployments.
var herdSpecs = map[string]*state.Engine{"A": herdEngine(6730, 30600), "B": herdEngine(8870, 19100)}

func herdEngine(stepMicros, prefillRate int) *state.Engine {
	perRequest := 22 * time.Microsecond
	if stepMicros > 8000 {
		perRequest = 39 * time.Microsecond
	}
	return &state.Engine{
		Slots: 12, Stride: 5, StepTime: time.Duration(stepMicros) * time.Microsecond, StepTimePerRequest: perRequest,
		PrefillRate: float64(prefillRate), PromptTokens: 941, OutputTokens: 125, Models: []state.Model{{Name: "m"}}, Layers: 16,
	}
}

// herdShape is one case of the model.
type herdShape struct {
	spec             string
	entries, servers int
	// load is the demand relative to the capacity, hot the demand of the first region relative to
	// that of the others.
	load, hot float64
	// evacuated is set if the engines of the first region get no requests.
	evacuated bool
	// empty is the number of engines, the last ones, that hold no version yet.
	empty int
	// step is set if one entry gets half of the first region's requests from stepStart to stepEnd.
	step bool
	seed uint64
}

func (s herdShape) String() string {
	name := fmt.Sprintf("%s-%dto%d-load%.1f-hot%.1f", s.spec, s.entries, s.servers, s.load, s.hot)
	if s.step {
		name += "-step"
	}
	if s.empty > 0 {
		name += "-empty"
	}
	if s.evacuated {
		name += "-evac"
	}
	return name
}

// chooser is an entry's way of choosing engines.
type chooser interface {
	// choose returns the engine for a request, or -1.
	choose(now time.Time, a *request) int
	// subscribes reports whether the entry gets the load reports of the engine.
	subscribes(now time.Time, engine int) bool
	receiveReport(now time.Time, engine int, r target.LoadReport)
	loads(now time.Time) []target.EntryLoad
	receiveLoads(now time.Time, from hosts.Name, all []target.EntryLoad)
}

// herdClient sends to one entry for a few seconds at a time.
type herdClient struct {
	region, entry int
	until         time.Time
	weight        float64
}

// queueTurn is the direction in which a queue's length moves and its last extreme.
type queueTurn struct {
	up      bool
	extreme int
}

type herdEvent struct {
	at  time.Time
	run func(now time.Time)
}

// herd runs many entries before many engines, without a network.
type herd struct {
	herdShape
	// demand draws what doesn't depend on the policy, so that all policies get the same; random the rest.
	demand   *rand.Rand
	random   *rand.Rand
	pool     *state.Pool
	hosts    []hosts.Host
	rows     []state.Upstream
	choosers []chooser
	engines  []*simEngine
	status   []target.LoadReport
	polled   []int
	polls    []int
	clients  []*herdClient
	waiting  [][]*request
	all      []*request
	events   []herdEvent
	serial   uint64

	turns []queueTurn
	// trace lists the chosen engines in order.
	trace     []int
	slowEnds  time.Time
	occupancy []float64
	measured  herdFigures
	// samples is the number of calls of sample, placements that of placed requests after the warm-up.
	samples    float64
	placements int
}

var herdRegions = map[hosts.Domain]hosts.Region{"d0": "r0", "d1": "r1", "d2": "r2"}

func newHerd(t testing.TB, s herdShape, newChooser func(h *herd, i int) chooser) *herd {
	t.Helper()
	h := &herd{herdShape: s, demand: rand.New(rand.NewPCG(s.seed, 5)), random: rand.New(rand.NewPCG(s.seed, 6)), pool: &state.Pool{Name: "p", Engine: herdSpecs[s.spec]}}
	for i := range s.entries {
		r := i % 3
		h.hosts = append(h.hosts, hosts.Host{Name: hosts.Name(fmt.Sprintf("edge-%d", i)), Place: hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", r)), Domain: hosts.Domain(fmt.Sprintf("d%d", r))}})
		for range clientsPerEntry {
			h.clients = append(h.clients, &herdClient{region: r, entry: i, weight: map[bool]float64{true: s.hot, false: 1}[r == 0]})
		}
	}
	for i := range s.servers {
		u := engine(i, fmt.Sprintf("d%d", i%3), 1)
		if i >= s.servers-s.empty {
			u.Held = nil
		}
		u.Slots = h.pool.Engine.Slots
		h.rows = append(h.rows, u)
		h.engines = append(h.engines, &simEngine{id: u.ID, stepEnds: start.Add(time.Duration(h.demand.Float64() * 40e6)), spec: h.pool.Engine})
	}
	h.status, h.polled, h.polls = make([]target.LoadReport, s.servers), make([]int, s.servers), make([]int, s.servers)
	h.turns, h.occupancy, h.waiting = make([]queueTurn, s.servers), make([]float64, s.servers), make([][]*request, s.entries)
	for i := range s.entries {
		h.choosers = append(h.choosers, newChooser(h, i))
	}
	return h
}

// productChooser is the product's own choice.
type productChooser struct {
	herd     *herd
	fleet    *target.Fleet
	snapshot *state.Snapshot
	// subscriptions are renewed at subscribedAt.
	subscriptions map[string]bool
	subscribedAt  time.Time
}

func newProduct(t testing.TB, options func(*target.Options)) func(h *herd, i int) chooser {
	return func(h *herd, i int) chooser {
		rows := []state.Row{encode(t)(state.EncodePool(h.pool))}
		for k := range h.rows {
			rows = append(rows, encode(t)(state.EncodeUpstream(&h.rows[k])))
		}
		if h.evacuated {
			rows = append(rows, encode(t)(state.EncodeEvacuation(state.Evacuation{Domain: "d0"})))
		}
		var builder state.Builder
		snapshot, rowErrors := builder.Apply(1, rows)
		if len(rowErrors) > 0 {
			t.Fatal(rowErrors)
		}
		o := target.Options{
			Self: h.hosts[i].Name, Place: h.hosts[i].Place, Entries: func() []hosts.Host { return h.hosts }, Regions: herdRegions, Random: h.random.Float64, Log: zap.NewNop(),
		}
		options(&o)
		f := target.New(o)
		f.ApplySnapshot(start, snapshot)
		return &productChooser{herd: h, fleet: f, snapshot: snapshot}
	}
}

func (p *productChooser) choose(now time.Time, a *request) int {
	inFlight, _ := p.fleet.ChooseEngine(now, p.herd.requirements(now, a))
	if inFlight == nil {
		return -1
	}
	a.inFlight = inFlight
	return p.herd.engineIndex(inFlight.Row.ID)
}

func (p *productChooser) subscribes(now time.Time, engine int) bool {
	if now.Sub(p.subscribedAt) >= time.Second {
		p.subscribedAt, p.subscriptions = now, make(map[string]bool)
		for _, s := range p.fleet.Subscriptions(now, p.snapshot) {
			p.subscriptions[s.Row.ID] = true
		}
	}
	return p.subscriptions[p.herd.rows[engine].ID]
}

func (p *productChooser) receiveReport(now time.Time, engine int, r target.LoadReport) {
	p.fleet.ReceiveLoadReport(now, p.herd.rows[engine].ID, r)
}

func (p *productChooser) loads(now time.Time) []target.EntryLoad { return p.fleet.EntryLoads(now) }

func (p *productChooser) receiveLoads(now time.Time, from hosts.Name, all []target.EntryLoad) {
	p.fleet.ReceiveEntryLoads(now, from, all)
}

func (h *herd) engineIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "u%d", &i)
	return i
}

func (h *herd) requirements(now time.Time, a *request) target.Requirements {
	reqs := target.Requirements{Pool: h.pool, Model: "m", PromptTokens: a.prompt, MaxEventGap: time.Second}
	if !a.retried {
		reqs.Remaining = objective - now.Sub(a.arrived)
	}
	return reqs
}

func (h *herd) after(now time.Time, d time.Duration, run func(time.Time)) {
	h.events = append(h.events, herdEvent{at: now.Add(d), run: run})
}

// run plays the given time and returns the figures of what follows the warm-up.
func (h *herd) run(span time.Duration) herdFigures {
	rate := h.load * float64(h.servers-h.empty) * timing.Rate(h.pool.Engine, 1)
	if h.evacuated {
		rate *= 2.0 / 3
	}
	next := start
	for i := range int(span / tick) {
		now := start.Add(time.Duration(i) * tick)
		for ; next.Before(now); next = next.Add(time.Duration(h.demand.ExpFloat64() / rate * float64(time.Second))) {
			a := &request{
				prompt: min(int(941*math.Exp(0.8*h.demand.NormFloat64()-0.32)), 3880), outputTokens: min(int(125*math.Exp(0.7*h.demand.NormFloat64()-0.25)), 400) + 5, arrived: now,
			}
			h.all = append(h.all, a)
			a.client = h.pickClient(now)
			h.arrive(now, a)
		}
		h.moveClients(now)
		h.deliver(now)
		h.slow(now)
		for e := range h.choosers {
			h.waiting[e] = slices.DeleteFunc(h.waiting[e], func(a *request) bool { return h.place(now, e, a) })
		}
		for k, m := range h.engines {
			m.advance(now)
			h.report(now, i, k)
		}
		h.exchange(now, i)
		if i%10 == 0 && now.Sub(start) > herdWarmup {
			h.sample()
		}
	}
	return h.figures(span)
}

func (h *herd) deliver(now time.Time) {
	due := h.events
	h.events = nil
	for _, e := range due {
		if e.at.After(now) {
			h.events = append(h.events, e)
			continue
		}
		e.run(now)
	}
}

// slow makes other engines slow when the time of the last ones is over.
func (h *herd) slow(now time.Time) {
	if now.Before(h.slowEnds) {
		return
	}
	h.slowEnds = now.Add(slowTime)
	for k, i := range h.demand.Perm(len(h.engines)) {
		h.engines[i].pace = 1
		if k < len(h.engines)/slowShare {
			h.engines[i].pace = slowPace
		}
	}
}

// moveClients gives new entries to the clients whose time with the last one is over.
func (h *herd) moveClients(now time.Time) {
	for _, c := range h.clients {
		if !now.Before(c.until) {
			c.entry = c.region + 3*h.demand.IntN((h.entries-c.region+2)/3)
			c.until = now.Add(time.Second + time.Duration(h.demand.Float64()*4e9))
		}
	}
}

// pickClient returns a random client by weight. During a step it is one of the hot entry for half of the
// requests of the first region.
func (h *herd) pickClient(now time.Time) *herdClient {
	sum := 0.0
	for _, c := range h.clients {
		sum += c.weight
	}
	pick := h.demand.Float64() * sum
	i := slices.IndexFunc(h.clients, func(c *herdClient) bool {
		pick -= c.weight
		return pick < 0
	})
	isHot := h.demand.IntN(2) == 0
	if c := h.clients[max(i, 0)]; !h.step || c.region != 0 || !isHot || now.Sub(start) < stepStart || now.Sub(start) > stepEnd {
		return c
	}
	return &herdClient{}
}

// arrive hands a request to the entry of its client.
func (h *herd) arrive(now time.Time, a *request) {
	a.placed = now
	h.waiting[a.client.entry] = append(h.waiting[a.client.entry], a)
}

// place tries to send a request. It returns true once the request no longer waits at its entry.
func (h *herd) place(now time.Time, entry int, a *request) bool {
	k := h.choosers[entry].choose(now, a)
	if k < 0 {
		if now.Sub(a.placed) < capacityTimeout {
			return false
		}
		if a.refused = a.retried; !a.refused {
			a.retried = true
			h.after(now, time.Second+time.Duration(h.random.Float64()*1e9), func(now time.Time) { h.arrive(now, a) })
		}
		return true
	}
	if now.Sub(start) > herdWarmup {
		h.measured.remote += float64(min(max(entry%3-k%3, k%3-entry%3), 1))
		h.placements++
	}
	h.trace = append(h.trace, k)
	h.engines[k].queue = append(h.engines[k].queue, a)
	return true
}

func (m *simEngine) running() int { return len(m.batch) + len(m.queue) }

// report publishes the status of an engine and sends a load report, as package report does.
func (h *herd) report(now time.Time, i, k int) {
	m := h.engines[k]
	if (i+k*7)%int(statusInterval/tick) == 0 {
		h.status[k] = target.LoadReport{Running: m.running(), Pace: max(m.pace, 1), Held: h.rows[k].Held}
	}
	if (i+k*3)%int(reportPoll/tick) != 0 {
		return
	}
	h.polls[k]++
	r := h.status[k]
	if changed := max(r.Running-h.polled[k], h.polled[k]-r.Running) >= 4; !changed && h.polls[k] < 4 {
		return
	}
	h.polls[k], h.polled[k] = 0, r.Running
	h.serial++
	r.Serial = h.serial
	var to []chooser
	for _, c := range h.choosers {
		if c.subscribes(now, k) {
			to = append(to, c)
		}
	}
	h.after(now, reportDelay, func(now time.Time) {
		for _, c := range to {
			c.receiveReport(now, k, r)
		}
	})
	h.count(now, float64(len(to)), float64(len(to)*loadReportBytes))
}

func (h *herd) count(now time.Time, messages, bytes float64) {
	if now.Sub(start) > herdWarmup {
		h.measured.messages += messages
		h.measured.bytes += bytes
	}
}

// exchange sends the entry loads at the interval of syncer.EntryLoadInterval.
func (h *herd) exchange(now time.Time, i int) {
	peers := h.entries/3 - 1
	interval := min(max(time.Duration(peers)*5*time.Millisecond, 40*time.Millisecond), 200*time.Millisecond)
	for e, c := range h.choosers {
		if (i+e*5)%int(interval/tick) != 0 {
			continue
		}
		all := c.loads(now)
		h.after(now, entryLoadDelay, func(now time.Time) {
			for o := e % 3; o < h.entries; o += 3 {
				if o != e {
					h.choosers[o].receiveLoads(now, h.hosts[e].Name, all)
				}
			}
		})
		h.count(now, float64(peers), float64(peers*(messageBytes+entryLoadBytes*len(all))))
	}
}

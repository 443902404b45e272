package dedup_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// A world simulates one history: a client sends one key repeatedly through two
// entries to the agents of a pool while faults are injected. The decisions are
// those of the product; entries, agents, upstreams and the network are fakes.

const (
	horizon   = 60 * time.Second
	sendLimit = 2 * time.Second
	routeName = "book"
	// settleInterval is the time between two queries about an attempt.
	settleQueries  = 8
	settleInterval = 125 * time.Millisecond
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds = dedup.Bounds{RetryWindow: 2 * horizon, MaxClockSkew: 200 * time.Millisecond, MaxListLag: time.Second, KeyTTL: time.Hour}
)

type keyKind int

const (
	kindMinted keyKind = iota
	kindTimestamped
	kindOpaque
)

type fault int

const (
	faultNone fault = iota
	faultKillEntry
	faultRestart
	faultPauseEntry
	faultPauseAgent
	faultPartition
	faultLate
	faultRows
	faultReplace
	faultSilence
	faultCrash
	faultRefuse
	faultCount
)

// mutation turns off a mechanism of the fakes.
type mutation int

const (
	mutateNone mutation = iota
	mutateFence
	mutateClaims
	mutateIncarnation
	mutateAge
	mutateSettle
	mutateToken
)

type scheduledFault struct {
	fault fault
	step  int
}

// process is an entry or an agent.
type process struct {
	host      hosts.Name
	dead      bool
	paused    time.Duration
	partition int
	skew      time.Duration
	// routes and pools are the revisions of its tables.
	routes  int
	pools   int
	row     dedup.Row
	silent  map[*process]bool
	removed bool
}

type event struct {
	at    time.Duration
	order int
	on    *process
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type world struct {
	rng      *rand.Rand
	kind     keyKind
	mutation mutation
	faults   []scheduledFault
	now      time.Duration
	order    int
	steps    int
	events   queue
	agents   []*agent
	entries  []*entry
	client   client
	late     bool
	crash    bool
	refuse   bool
	// routes holds the pool that the route names, by revision of the routes table;
	// pools holds the hosts of both pools, by revision of the pools table.
	routes []int
	pools  [][2][]hosts.Name
	// runs counts the starts of the key at all upstreams.
	runs int
}

func newWorld(seed uint64, kind keyKind, m mutation, faults []scheduledFault) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), kind: kind, mutation: m, faults: faults}
	w.routes, w.pools = []int{0}, [][2][]hosts.Name{{{"a", "b"}, {"b", "c"}}}
	names := []hosts.Name{"a", "b", "c"}
	for _, n := range names {
		w.agents = append(w.agents, newAgent(w, n, -time.Hour))
	}
	for _, n := range []hosts.Name{"x", "y"} {
		w.entries = append(w.entries, &entry{world: w, process: process{host: n, silent: map[*process]bool{}}})
	}
	for _, p := range w.processes() {
		p.routes, p.pools = 1, 1
		p.row = w.rowOf(p)
	}
	for _, a := range w.agents {
		w.activateInitialClaim(a)
	}
	w.client.world = w
	w.at(0, nil, w.client.begin)
	return w
}

// activateInitialClaim gives an agent an active claim from before the history.
func (w *world) activateInitialClaim(a *agent) {
	a.claims.Update(routeName, a.row)
	listed := []hosts.Name{"a", "b", "c"}
	k, missing := a.claims.Pending(routeName, listed)
	for _, h := range missing {
		a.claims.RecordGrant(k, h, epoch.Add(-time.Hour))
	}
	a.memory.ActivateClaim(a.clock(), routeName, listed)
}

// publishTable publishes a new revision of one table. Some processes receive it
// late, and each table independently, so that a process may have any combination of
// revisions.
func (w *world) publishTable() {
	rows := [][]hosts.Name{{"b", "c"}, {"c", "a"}, {"c"}, {"b"}, {"a", "b"}}
	routes := w.rng.IntN(3) == 0
	if routes {
		w.routes = append(w.routes, 1-w.routes[len(w.routes)-1])
	} else {
		w.pools = append(w.pools, [2][]hosts.Name{rows[w.rng.IntN(len(rows))], rows[w.rng.IntN(len(rows))]})
	}
	newest := [2]int{len(w.routes), len(w.pools)}
	for _, p := range w.processes() {
		delay := time.Duration(w.rng.IntN(5000)) * time.Millisecond
		if w.rng.IntN(3) == 0 {
			delay += 20 * time.Second
		}
		w.at(delay, p, func() {
			if routes {
				p.routes = max(p.routes, newest[0])
			} else {
				p.pools = max(p.pools, newest[1])
			}
			p.row = w.rowOf(p)
		})
	}
}

// rowOf returns the row of the route by the tables of a process.
func (w *world) rowOf(p *process) dedup.Row {
	return dedup.Row{
		Revision: dedup.RowRevision{Routes: tables.Revision(p.routes), Pools: tables.Revision(p.pools)},
		Hosts:    w.pools[p.pools-1][w.routes[p.routes-1]],
	}
}

func (w *world) processes() []*process {
	var all []*process
	for _, a := range w.agents {
		all = append(all, &a.process)
	}
	for _, e := range w.entries {
		all = append(all, &e.process)
	}
	return all
}

func (w *world) at(delay time.Duration, on *process, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + delay, order: w.order, on: on, do: do})
}

func (w *world) run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > horizon {
			return
		}
		w.now = e.at
		if e.on != nil && e.on.dead {
			continue
		}
		if e.on != nil && e.on.paused > w.now {
			w.at(e.on.paused-w.now, e.on, e.do)
			continue
		}
		w.injectDue()
		e.do()
	}
}

// injectDue injects the faults that are due at this step.
func (w *world) injectDue() {
	w.steps++
	for _, s := range w.faults {
		if s.step == w.steps {
			w.inject(s.fault)
		}
	}
}

func (w *world) inject(f fault) {
	a, e := w.agents[w.rng.IntN(2)], w.entries[w.rng.IntN(2)]
	duration := time.Duration(500+w.rng.IntN(15000)) * time.Millisecond
	switch f {
	case faultKillEntry:
		e.dead = true
	case faultRestart:
		w.restart(a, a.host)
	case faultReplace:
		w.restart(a, a.host+"2")
	case faultPauseEntry:
		e.paused = w.now + duration
	case faultPauseAgent:
		a.paused = w.now + duration
	case faultPartition:
		w.partition(duration)
	case faultLate:
		w.late = true
	case faultRows:
		w.publishTable()
	case faultSilence:
		a.silent[&e.process], e.silent[&a.process] = true, true
	case faultCrash:
		w.crash = true
	case faultRefuse:
		w.refuse = true
	}
}

// restart replaces an agent by a process without records. With another host name,
// the old host is no longer listed and its upstream has ended.
func (w *world) restart(old *agent, name hosts.Name) {
	old.dead = true
	i := slices.Index(w.agents, old)
	next := newAgent(w, name, w.now)
	next.routes, next.pools, next.row, next.partition = old.routes, old.pools, old.row, old.partition
	if name == old.host {
		next.upstream = old.upstream
	} else {
		old.upstream.dead, old.removed = true, true
	}
	if w.mutation == mutateIncarnation {
		next.setIdentity(old.self)
	}
	if w.mutation == mutateAge {
		next.claims = dedup.NewClaims(epoch.Add(-time.Hour), next.self, bounds)
		next.memory = dedup.NewMemory(dedup.DefaultOptions(next.self), next.claims)
	}
	w.agents[i] = next
	for _, e := range w.entries {
		w.at(time.Millisecond, &e.process, func() { e.reset(old) })
	}
}

func (w *world) partition(duration time.Duration) {
	for _, p := range w.processes() {
		p.partition = w.rng.IntN(2)
	}
	w.at(duration, nil, func() {
		for _, p := range w.processes() {
			p.partition = 0
		}
	})
}

// send delivers a message over a connection. A connection that isn't fresh may
// silently drop it; a partition delays or drops it.
func (w *world) send(from, to *process, fresh bool, do func()) {
	delay := time.Duration(500+w.rng.IntN(2000)) * time.Microsecond
	if w.late {
		w.late = false
		delay += time.Duration(1000+w.rng.IntN(15000)) * time.Millisecond
	}
	if !fresh && from.silent[to] {
		return
	}
	if from.partition == to.partition {
		w.at(delay, to, do)
		return
	}
	if w.rng.IntN(2) == 0 {
		w.at(20*time.Second+delay, to, do)
	}
}

// listed returns the agents that the platform lists.
func (w *world) listed() []hosts.Name {
	var all []hosts.Name
	for _, a := range w.agents {
		all = append(all, a.host)
	}
	return all
}

func (w *world) find(name hosts.Name) *agent {
	for _, a := range w.agents {
		if a.host == name {
			return a
		}
	}
	return nil
}

// timedKey returns a UUIDv7 created now, by a clock that may be wrong.
func (w *world) timedKey() calls.Key {
	offset := time.Duration(0)
	if w.rng.IntN(4) == 0 {
		offset = time.Duration(w.rng.IntN(400)-200) * time.Millisecond
	}
	ms := uint64(epoch.Add(w.now + offset).UnixMilli())
	id := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms)}
	for i := 6; i < len(id); i++ {
		id[i] = byte(w.rng.Uint32())
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return calls.Key(id.String())
}

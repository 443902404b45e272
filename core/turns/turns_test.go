package turns_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/turns"
)

const (
	tick     = 100 * time.Millisecond
	loadTime = 3 * time.Second
)

var (
	oldTarget = turns.Target{Version: "one", Manifest: chunks.Digest{1}}
	target    = turns.Target{Version: "two", Manifest: chunks.Digest{2}}
	epoch     = time.Unix(1_000_000, 0)
)

func places(count, domains int) []turns.Place {
	all := make([]turns.Place, count)
	for i := range all {
		all[i] = turns.Place{Name: hosts.Name(fmt.Sprint("host-", i)), Domain: hosts.Domain(fmt.Sprint("domain-", i%domains))}
	}
	return all
}

func TestOrderSpreadsOverDomains(t *testing.T) {
	all := places(15, 3)
	order := turns.Order("pool", all)
	slices.Reverse(all)
	if reversed := turns.Order("pool", all); !slices.Equal(order, reversed) {
		t.Errorf("the order depends on that of the places: %v, then %v", order, reversed)
	}
	domain := make(map[hosts.Name]hosts.Domain)
	for _, p := range all {
		domain[p.Name] = p.Domain
	}
	for i := 0; i < len(order); i += 3 {
		if domain[order[i]] == domain[order[i+1]] || domain[order[i+1]] == domain[order[i+2]] || domain[order[i]] == domain[order[i+2]] {
			t.Errorf("a failure domain appears twice in %v", order[i:i+3])
		}
	}
}

func TestWidth(t *testing.T) {
	for _, c := range []struct {
		count int
		ready float64
		want  int
	}{{1, 0.5, 1}, {6, 0.5, 3}, {15, 0.8, 3}, {10, 0.9, 1}, {10, 1, 1}, {7, 0, 7}, {3, 0.5, 1}} {
		if got := turns.Width(c.count, c.ready); got != c.want {
			t.Errorf("%d hosts of which %.1f stay ready: %d may be unready", c.count, c.ready, got)
		}
	}
}

// member is one host of a simulated pool.
type member struct {
	name hosts.Name
	slot *turns.Slot
	view turns.View
	// reloadEnd is when its reload ends, pausedUntil when it resumes after a pause,
	// preparedAt when it holds all chunks.
	reloadEnd   time.Time
	pausedUntil time.Time
	preparedAt  time.Time
	dead        bool
	// fetchHangs means that it never gets the chunks.
	fetchHangs bool
	// failures is how many more of its loads fail.
	failures  int
	pending   []reply
	nextQuery time.Time
}

// reply is a response, or a lost query, that is recorded when it is due.
type reply struct {
	from      hosts.Name
	view      turns.View
	sent, due time.Time
	lost      bool
}

// pool simulates the hosts of a pool in steps of one tick.
type pool struct {
	all    map[hosts.Name]*member
	order  []hosts.Name
	width  int
	random *rand.Rand
	now    time.Time
	// partitions is the number of network partitions. Hosts of different partitions
	// can't reach each other.
	partitions int
	// maxReloading is the largest number of hosts that reloaded at a time.
	maxReloading int
}

func newPool(count, domains int, ready float64, seed uint64) *pool {
	p := &pool{
		all: make(map[hosts.Name]*member), order: turns.Order("pool", places(count, domains)),
		width: turns.Width(count, ready), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
	}
	for _, n := range p.order {
		p.all[n] = &member{name: n, view: turns.View{Serves: oldTarget, Phase: turns.PhaseIdle}, preparedAt: epoch}
	}
	return p
}

// run steps until every live host serves the target or the time limit is reached. It
// returns how long that took and whether they all serve it.
func (p *pool) run(limit time.Duration, each func()) (time.Duration, bool) {
	for p.now.Before(epoch.Add(limit)) {
		p.now = p.now.Add(tick)
		each()
		done, reloading := true, 0
		for _, n := range p.order {
			m := p.all[n]
			p.step(m)
			if m.view.Phase == turns.PhaseReload && !m.dead {
				reloading++
			}
			done = done && (m.dead || m.fetchHangs || m.view.Serves == target)
		}
		p.maxReloading = max(p.maxReloading, reloading)
		if done {
			return p.now.Sub(epoch), true
		}
	}
	return limit, false
}

func (p *pool) step(m *member) {
	if m.dead || m.fetchHangs || p.now.Before(m.pausedUntil) || p.now.Before(m.preparedAt) || m.view.Serves == target {
		return
	}
	switch m.view.Phase {
	case turns.PhaseIdle:
		m.slot = turns.NewSlot(target, p.order, m.name, p.width, p.now)
		m.view.Phase = turns.PhasePrepared
	case turns.PhaseReload, turns.PhaseFailed:
		p.load(m)
	default:
		p.wait(m)
	}
}

func (p *pool) load(m *member) {
	if p.now.Before(m.reloadEnd) {
		return
	}
	m.view.Phase, m.reloadEnd = turns.PhaseFailed, p.now.Add(loadTime)
	if m.failures--; m.failures < 0 {
		m.view = turns.View{Serves: target, Phase: turns.PhaseIdle}
	}
}

func (p *pool) wait(m *member) {
	if len(m.pending) > 0 {
		p.receive(m)
	}
	if len(m.pending) > 0 || p.now.Before(m.nextQuery) {
		return
	}
	switch m.slot.Decide(p.now).Action {
	case turns.ActionReload:
		m.view = turns.View{Phase: turns.PhaseReload}
		m.reloadEnd = p.now.Add(loadTime)
		return
	case turns.ActionClaim:
		m.view.Phase = turns.PhaseClaim
	case turns.ActionYield:
		m.view.Phase = turns.PhasePrepared
	}
	m.nextQuery = p.now.Add(4 * tick)
	for _, n := range m.slot.NextQueries(p.now) {
		o := p.all[n]
		silent := o.dead || p.now.Before(o.pausedUntil) || p.isPartitioned(m.name, n)
		a := reply{from: n, view: o.view, sent: p.now, due: p.now.Add(time.Duration(p.random.IntN(3)) * tick), lost: silent}
		m.pending = append(m.pending, a)
	}
}

func (p *pool) isPartitioned(a, b hosts.Name) bool {
	return p.partitions > 1 && slices.Index(p.order, a)%p.partitions != slices.Index(p.order, b)%p.partitions
}

func (p *pool) receive(m *member) {
	m.pending = slices.DeleteFunc(m.pending, func(a reply) bool {
		switch {
		case p.now.Before(a.due):
			return false
		case a.lost:
			m.slot.RecordMiss(a.from, a.sent)
		default:
			m.slot.Record(a.from, a.view, a.sent)
		}
		return true
	})
}

// In a pool of 15 hosts of which 80 percent stay ready, at most three reload at a time
// whatever fault is injected, and the roll-out completes. A partition allows as many in
// each part.
func TestShareStaysReady(t *testing.T) {
	cases := []struct {
		name   string
		inject func(p *pool)
		// extra is the additional time that the fault may cost.
		extra time.Duration
	}{
		{name: "none", inject: func(*pool) {}},
		{name: "late fetches", extra: 30 * time.Second, inject: func(p *pool) {
			if p.now.Equal(epoch.Add(tick)) {
				for _, n := range p.order {
					p.all[n].preparedAt = epoch.Add(time.Duration(p.random.IntN(20_000)) * time.Millisecond)
				}
			}
		}},
		{name: "one fetch that never ends", extra: 10 * time.Second, inject: func(p *pool) {
			p.all[p.order[0]].fetchHangs = true
		}},
		{name: "deaths", extra: 60 * time.Second, inject: func(p *pool) {
			if p.random.IntN(40) == 0 {
				p.all[p.order[p.random.IntN(len(p.order))]].dead = true
			}
		}},
		{name: "short pauses", extra: 60 * time.Second, inject: func(p *pool) {
			m := p.all[p.order[p.random.IntN(len(p.order))]]
			if p.random.IntN(20) == 0 && p.now.Sub(m.pausedUntil) > turns.SilenceTimeout {
				m.pausedUntil = p.now.Add(5 * time.Second)
			}
		}},
		{name: "partition", extra: 60 * time.Second, inject: func(p *pool) { p.partitions = 2 }},
		{name: "one failing engine", extra: 60 * time.Second, inject: func(p *pool) {
			if p.now.Equal(epoch.Add(tick)) {
				p.all[p.order[0]].failures = 15
			}
		}},
	}
	for _, c := range cases {
		for seed := range uint64(200) {
			p := newPool(15, 3, 0.8, seed)
			took, done := p.run(5*time.Minute, func() { c.inject(p) })
			if !done || took > 5*(loadTime+3*time.Second)+c.extra {
				t.Errorf("%s, seed %d: completed %t after %s", c.name, seed, done, took)
			}
			if p.maxReloading > p.width*max(1, p.partitions) {
				t.Errorf("%s, seed %d: %d of 15 hosts reloaded at a time, want at most %d", c.name, seed, p.maxReloading, p.width)
			}
		}
	}
}

// A version that no engine can load must not take more hosts out of service than may be
// unready.
func TestFailingVersionKeepsReadyShare(t *testing.T) {
	p := newPool(15, 3, 0.8, 1)
	for _, m := range p.all {
		m.failures = 1_000_000
	}
	p.run(10*time.Minute, func() {})
	notServing := 0
	for _, m := range p.all {
		if m.view.Serves != oldTarget {
			notServing++
		}
	}
	if notServing > p.width {
		t.Errorf("a version that no engine loads stopped %d of 15 hosts, want at most %d", notServing, p.width)
	}
}

// One host of each failure domain keeps the chunks; the others free them once the whole
// pool serves the version.
func TestRetainersKeepChunks(t *testing.T) {
	all := places(6, 3)
	retainers := make(map[hosts.Domain]int)
	for _, m := range all {
		s := turns.NewCoverage(target, "pool", all, m.Name, epoch)
		if s.CanFree(epoch.Add(time.Minute)) {
			t.Errorf("host %s frees the chunks before the pool serves the version", m.Name)
		}
		for range 12 {
			if n, ok := s.NextQuery(); ok {
				s.Record(n, turns.View{Serves: target})
			}
		}
		if !s.CanFree(epoch.Add(time.Minute)) {
			retainers[m.Domain]++
		}
	}
	if len(retainers) != 3 || retainers["domain-0"] != 1 || retainers["domain-1"] != 1 || retainers["domain-2"] != 1 {
		t.Errorf("retainers of each failure domain: %v", retainers)
	}
}

// Two hosts that claim in lockstep must not block each other forever.
func TestYieldedHostWaitsForCompetingHost(t *testing.T) {
	order := []hosts.Name{"late", "done", "self"}
	slot := turns.NewSlot(target, order, "self", 1, epoch)
	now := epoch
	observe := func(phase turns.Phase, want turns.Action) {
		t.Helper()
		now = now.Add(2 * time.Second)
		slot.Record("done", turns.View{Serves: target, Phase: turns.PhaseIdle}, now)
		slot.Record("late", turns.View{Serves: oldTarget, Phase: phase}, now)
		if d := slot.Decide(now); d.Action != want {
			t.Errorf("got %s (%s) when the rival is %s, want %s", d.Action, d.Cause, phase, want)
		}
	}
	observe(turns.PhasePrepared, turns.ActionWait)
	observe(turns.PhasePrepared, turns.ActionClaim)
	observe(turns.PhaseClaim, turns.ActionYield)
	observe(turns.PhaseClaim, turns.ActionWait)
	observe(turns.PhaseReload, turns.ActionWait)
	observe(turns.PhasePrepared, turns.ActionClaim)
	observe(turns.PhasePrepared, turns.ActionReload)
}

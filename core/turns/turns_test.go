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
	before = turns.Target{Version: "one", Manifest: chunks.Digest{1}}
	target = turns.Target{Version: "two", Manifest: chunks.Digest{2}}
	epoch  = time.Unix(1_000_000, 0)
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
	if again := turns.Order("pool", all); !slices.Equal(order, again) {
		t.Errorf("the order depends on that of the row: %v, then %v", order, again)
	}
	domain := make(map[hosts.Name]hosts.Domain)
	for _, p := range all {
		domain[p.Name] = p.Domain
	}
	for i := 0; i < len(order); i += 3 {
		if domain[order[i]] == domain[order[i+1]] || domain[order[i+1]] == domain[order[i+2]] || domain[order[i]] == domain[order[i+2]] {
			t.Errorf("a failure domain stands twice in %v", order[i:i+3])
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
	turn *turns.Slot
	view turns.View
	// until is when its reload ends, paused when it runs again after a pause.
	until    time.Time
	paused   time.Time
	prepared time.Time
	dead     bool
	// stuck tells that it never gets the chunks.
	stuck bool
	// fails is how many of its loads fail.
	fails   int
	pending []answer
	next    time.Time
}

// answer is one on its way.
type answer struct {
	from      hosts.Name
	view      turns.View
	sent, due time.Time
	lost      bool
}

// pool runs hosts in steps of a tick.
type pool struct {
	all    map[hosts.Name]*member
	order  []hosts.Name
	width  int
	random *rand.Rand
	now    time.Time
	// parts splits the pool. Hosts of different parts don't hear each other.
	parts int
	// worst is the largest number of hosts that reloaded at a time.
	worst int
}

func newPool(count, domains int, ready float64, seed uint64) *pool {
	p := &pool{
		all: make(map[hosts.Name]*member), order: turns.Order("pool", places(count, domains)),
		width: turns.Width(count, ready), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
	}
	for _, n := range p.order {
		p.all[n] = &member{name: n, view: turns.View{Serves: before, Phase: turns.PhaseIdle}, prepared: epoch}
	}
	return p
}

// run steps until every living host serves the target or the time is over. It
// returns how long that took.
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
			done = done && (m.dead || m.stuck || m.view.Serves == target)
		}
		p.worst = max(p.worst, reloading)
		if done {
			return p.now.Sub(epoch), true
		}
	}
	return limit, false
}

func (p *pool) step(m *member) {
	if m.dead || m.stuck || p.now.Before(m.paused) || p.now.Before(m.prepared) || m.view.Serves == target {
		return
	}
	switch m.view.Phase {
	case turns.PhaseIdle:
		m.turn = turns.NewSlot(target, p.order, m.name, p.width, p.now)
		m.view.Phase = turns.PhasePrepared
	case turns.PhaseReload, turns.PhaseFailed:
		p.load(m)
	default:
		p.wait(m)
	}
}

func (p *pool) load(m *member) {
	if p.now.Before(m.until) {
		return
	}
	m.view.Phase, m.until = turns.PhaseFailed, p.now.Add(loadTime)
	if m.fails--; m.fails < 0 {
		m.view = turns.View{Serves: target, Phase: turns.PhaseIdle}
	}
}

func (p *pool) wait(m *member) {
	if len(m.pending) > 0 {
		p.hear(m)
	}
	if len(m.pending) > 0 || p.now.Before(m.next) {
		return
	}
	switch m.turn.Decide(p.now).Action {
	case turns.ActionReload:
		m.view = turns.View{Phase: turns.PhaseReload}
		m.until = p.now.Add(loadTime)
		return
	case turns.ActionClaim:
		m.view.Phase = turns.PhaseClaim
	case turns.ActionYield:
		m.view.Phase = turns.PhasePrepared
	}
	m.next = p.now.Add(4 * tick)
	for _, n := range m.turn.NextQueries(p.now) {
		o := p.all[n]
		silent := o.dead || p.now.Before(o.paused) || p.isApart(m.name, n)
		a := answer{from: n, view: o.view, sent: p.now, due: p.now.Add(time.Duration(p.random.IntN(3)) * tick), lost: silent}
		m.pending = append(m.pending, a)
	}
}

func (p *pool) isApart(a, b hosts.Name) bool {
	return p.parts > 1 && slices.Index(p.order, a)%p.parts != slices.Index(p.order, b)%p.parts
}

func (p *pool) hear(m *member) {
	m.pending = slices.DeleteFunc(m.pending, func(a answer) bool {
		switch {
		case p.now.Before(a.due):
			return false
		case a.lost:
			m.turn.RecordMiss(a.from, a.sent)
		default:
			m.turn.Record(a.from, a.view, a.sent)
		}
		return true
	})
}

func TestShareStaysReady(t *testing.T) {
	cases := []struct {
		name   string
		strike func(p *pool)
		// extra is the time that the fault may cost.
		extra time.Duration
	}{
		{name: "none", strike: func(*pool) {}},
		{name: "late fetches", extra: 30 * time.Second, strike: func(p *pool) {
			if p.now.Equal(epoch.Add(tick)) {
				for _, n := range p.order {
					p.all[n].prepared = epoch.Add(time.Duration(p.random.IntN(20_000)) * time.Millisecond)
				}
			}
		}},
		{name: "one fetch that never ends", extra: 10 * time.Second, strike: func(p *pool) {
			p.all[p.order[0]].stuck = true
		}},
		{name: "deaths", extra: 60 * time.Second, strike: func(p *pool) {
			if p.random.IntN(40) == 0 {
				p.all[p.order[p.random.IntN(len(p.order))]].dead = true
			}
		}},
		{name: "short pauses", extra: 60 * time.Second, strike: func(p *pool) {
			m := p.all[p.order[p.random.IntN(len(p.order))]]
			if p.random.IntN(20) == 0 && p.now.Sub(m.paused) > turns.SilenceTimeout {
				m.paused = p.now.Add(5 * time.Second)
			}
		}},
		{name: "partition", extra: 60 * time.Second, strike: func(p *pool) { p.parts = 2 }},
		{name: "one failing engine", extra: 60 * time.Second, strike: func(p *pool) {
			if p.now.Equal(epoch.Add(tick)) {
				p.all[p.order[0]].fails = 15
			}
		}},
	}
	for _, c := range cases {
		for seed := range uint64(200) {
			p := newPool(15, 3, 0.8, seed)
			took, done := p.run(5*time.Minute, func() { c.strike(p) })
			if !done || took > 5*(loadTime+3*time.Second)+c.extra {
				t.Errorf("%s, seed %d: done is %t after %s", c.name, seed, done, took)
			}
			if p.worst > p.width*max(1, p.parts) {
				t.Errorf("%s, seed %d: %d of 15 hosts reloaded at a time, of %d", c.name, seed, p.worst, p.width)
			}
		}
	}
}

func TestBadVersionStopsAtTheShare(t *testing.T) {
	p := newPool(15, 3, 0.8, 1)
	for _, m := range p.all {
		m.fails = 1_000_000
	}
	p.run(10*time.Minute, func() {})
	lost := 0
	for _, m := range p.all {
		if m.view.Serves != before {
			lost++
		}
	}
	if lost > p.width {
		t.Errorf("a version that no engine loads took %d of 15 hosts, of %d", lost, p.width)
	}
}

func TestKeepersHoldChunks(t *testing.T) {
	all := places(6, 3)
	kept := make(map[hosts.Domain]int)
	for _, m := range all {
		s := turns.NewCoverage(target, "pool", all, m.Name, epoch)
		if s.CanFree(epoch.Add(time.Minute)) {
			t.Errorf("host %s frees before the pool serves the version", m.Name)
		}
		for range 12 {
			if n, ok := s.NextQuery(); ok {
				s.Record(n, turns.View{Serves: target})
			}
		}
		if !s.CanFree(epoch.Add(time.Minute)) {
			kept[m.Domain]++
		}
	}
	if len(kept) != 3 || kept["domain-0"] != 1 || kept["domain-1"] != 1 || kept["domain-2"] != 1 {
		t.Errorf("keepers of each failure domain: %v", kept)
	}
}

// Two hosts that claim in step must not stop each other for good.
func TestHostThatYieldedWaitsForItsRival(t *testing.T) {
	order := []hosts.Name{"late", "done", "self"}
	turn := turns.NewSlot(target, order, "self", 1, epoch)
	now := epoch
	see := func(phase turns.Phase, want turns.Action) {
		t.Helper()
		now = now.Add(2 * time.Second)
		turn.Record("done", turns.View{Serves: target, Phase: turns.PhaseIdle}, now)
		turn.Record("late", turns.View{Serves: before, Phase: phase}, now)
		if d := turn.Decide(now); d.Action != want {
			t.Errorf("got %s (%s) when the rival is %s, want %s", d.Action, d.Cause, phase, want)
		}
	}
	see(turns.PhasePrepared, turns.ActionWait)
	see(turns.PhasePrepared, turns.ActionClaim)
	see(turns.PhaseClaim, turns.ActionYield)
	see(turns.PhaseClaim, turns.ActionWait)
	see(turns.PhaseReload, turns.ActionWait)
	see(turns.PhasePrepared, turns.ActionClaim)
	see(turns.PhasePrepared, turns.ActionReload)
}

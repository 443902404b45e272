package deploy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/turns"
)

func (p *process) isApart(o *process) bool {
	parts := max(1, byte(p.world.parts.Load()))
	mine, _ := p.world.list.Find(p.host)
	other, _ := p.world.list.Find(o.host)
	return mine.Address.Addr().As4()[3]%parts != other.Address.Addr().As4()[3]%parts
}

func atFirst(do func(w *world, random *rand.Rand)) strike {
	return func(w *world, random *rand.Rand, tick int) {
		if tick == 0 {
			do(w, random)
		}
	}
}

// TestShareStaysReady reloads 15 hosts of which 12 stay ready.
func TestShareStaysReady(t *testing.T) {
	isSlow := func(p *process) bool { return p.slow.Load() >= int64(time.Hour) }
	cases := []struct {
		name   string
		strike strike
		exempt func(p *process) bool
		// extra is the time that the fault may cost.
		extra time.Duration
		parts int
		// beside is how many more hosts may reload at a time.
		beside int
	}{
		{name: "none", strike: func(*world, *rand.Rand, int) {}},
		{name: "late fetches", extra: 30 * time.Second, strike: atFirst(func(w *world, random *rand.Rand) {
			for _, p := range w.living() {
				p.slow.Store(random.Int64N(int64(20 * time.Second)))
			}
		})},
		{name: "a fetch that never ends", extra: 15 * time.Second, exempt: isSlow, strike: atFirst(func(w *world, random *rand.Rand) {
			w.living()[random.IntN(15)].slow.Store(int64(time.Hour))
		})},
		{name: "deaths", extra: time.Minute, strike: func(w *world, random *rand.Rand, _ int) {
			if p := w.living()[0]; random.IntN(50) == 0 && len(w.living()) > 5 && p.die() {
				p.halt()
			}
		}},
		{name: "short pauses", extra: time.Minute, strike: func(w *world, random *rand.Rand, _ int) {
			p := w.living()[random.IntN(15)]
			if random.IntN(20) == 0 && time.Since(p.blocked()) > turns.SilenceTimeout {
				p.pause(5 * time.Second)
			}
		}},
		{name: "partition", parts: 2, extra: time.Minute, strike: atFirst(func(w *world, _ *rand.Rand) { w.parts.Store(2) })},
		{name: "a long pause in a reload", beside: 1, extra: time.Minute, strike: func(w *world, _ *rand.Rand, _ int) {
			for _, p := range w.living() {
				if p.loader.View().Phase == turns.PhaseReload && w.struck.CompareAndSwap(false, true) {
					p.pause(2 * turns.SilenceTimeout)
				}
			}
		}},
		{name: "a failing engine", extra: 2 * time.Minute, strike: atFirst(func(w *world, random *rand.Rand) {
			w.engines[w.living()[random.IntN(15)].host].fails.Store(4)
		})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				r := &reload{hosts: 15, ready: 0.8, seed: seed, strike: c.strike, exempt: c.exempt}
				t.Run("seed", r.test)
				if !r.done || r.time > 5*(loadTime+3*time.Second)+c.extra {
					t.Errorf("seed %d: done is %t after %s", seed, r.done, r.time)
				}
				if width := 3*max(1, c.parts) + c.beside; r.worst > width {
					t.Errorf("seed %d: %d of 15 hosts reloaded at a time, of %d", seed, r.worst, width)
				}
			}
		})
	}
}

func TestBadVersionStopsAtTheShare(t *testing.T) {
	r := &reload{hosts: 15, ready: 0.8, strike: atFirst(func(w *world, _ *rand.Rand) {
		for _, e := range w.engines {
			e.fails.Store(1_000_000)
		}
	})}
	t.Run("reload", r.test)
	if r.done || r.lost > 3 {
		t.Errorf("a version that no engine loads took %d of 15 hosts, of 3", r.lost)
	}
}

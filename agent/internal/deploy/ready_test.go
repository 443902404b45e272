package deploy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/turns"
)

func (p *process) isPartitioned(o *process) bool {
	partitions := max(1, byte(p.world.partitions.Load()))
	mine, _ := p.world.list.Find(p.host)
	other, _ := p.world.list.Find(o.host)
	return mine.Address.Addr().As4()[3]%partitions != other.Address.Addr().As4()[3]%partitions
}

func atStart(do func(w *world, random *rand.Rand)) injector {
	return func(w *world, random *rand.Rand, tick int) {
		if tick == 0 {
			do(w, random)
		}
	}
}

// Of 15 hosts at most three reload at a time whatever fault is injected, and the roll-out
// completes. A partition allows as many in each part; a host that is paused while
// it reloads is skipped by its chain, so that one more may reload.
func TestShareStaysReady(t *testing.T) {
	isSlow := func(p *process) bool { return p.fetchTime.Load() >= int64(time.Hour) }
	cases := []struct {
		name   string
		inject injector
		exempt func(p *process) bool
		// extraTime is the additional time that the fault may cost.
		extraTime  time.Duration
		partitions int
		// extraReloads is how many additional hosts may reload at a time.
		extraReloads int
	}{
		{name: "none", inject: func(*world, *rand.Rand, int) {}},
		{name: "late fetches", extraTime: 30 * time.Second, inject: atStart(func(w *world, random *rand.Rand) {
			for _, p := range w.alive() {
				p.fetchTime.Store(random.Int64N(int64(20 * time.Second)))
			}
		})},
		{name: "a fetch that never ends", extraTime: 15 * time.Second, exempt: isSlow, inject: atStart(func(w *world, random *rand.Rand) {
			w.alive()[random.IntN(15)].fetchTime.Store(int64(time.Hour))
		})},
		{name: "deaths", extraTime: time.Minute, inject: func(w *world, random *rand.Rand, _ int) {
			if p := w.alive()[0]; random.IntN(50) == 0 && len(w.alive()) > 5 && p.markDead() {
				p.stop()
			}
		}},
		{name: "short pauses", extraTime: time.Minute, inject: func(w *world, random *rand.Rand, _ int) {
			p := w.alive()[random.IntN(15)]
			if random.IntN(20) == 0 && time.Since(p.pausedUntil()) > turns.SilenceTimeout {
				p.pause(5 * time.Second)
			}
		}},
		{name: "partition", partitions: 2, extraTime: time.Minute, inject: atStart(func(w *world, _ *rand.Rand) { w.partitions.Store(2) })},
		{name: "a long pause in a reload", extraReloads: 1, extraTime: time.Minute, inject: func(w *world, _ *rand.Rand, _ int) {
			for _, p := range w.alive() {
				if p.loader.View().Phase == turns.PhaseReload && w.injected.CompareAndSwap(false, true) {
					p.pause(2 * turns.SilenceTimeout)
				}
			}
		}},
		{name: "a failing engine", extraTime: 2 * time.Minute, inject: atStart(func(w *world, random *rand.Rand) {
			w.engines[w.alive()[random.IntN(15)].host].failures.Store(4)
		})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				r := &reload{hosts: 15, ready: 0.8, seed: seed, inject: c.inject, exempt: c.exempt}
				t.Run("seed", r.test)
				if !r.done || r.time > 5*(loadTime+3*time.Second)+c.extraTime {
					t.Errorf("seed %d: completed %t after %s", seed, r.done, r.time)
				}
				if width := 3*max(1, c.partitions) + c.extraReloads; r.maxReloading > width {
					t.Errorf("seed %d: %d of 15 hosts reloaded at a time, want at most %d", seed, r.maxReloading, width)
				}
			}
		})
	}
}

// A version that no engine can load must not take more hosts out of service than may be
// unready.
func TestFailingVersionKeepsReadyShare(t *testing.T) {
	r := &reload{hosts: 15, ready: 0.8, inject: atStart(func(w *world, _ *rand.Rand) {
		for _, e := range w.engines {
			e.failures.Store(1_000_000)
		}
	})}
	t.Run("reload", r.test)
	if r.done || r.notServing > 3 {
		t.Errorf("a version that no engine loads stopped %d of 15 hosts, want at most 3", r.notServing)
	}
}

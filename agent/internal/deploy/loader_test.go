package deploy_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

var (
	fenceSupports = map[string]fenceSupport{"fenced": {fenced: true}, "unfenced": {}, "mute": {hidden: true}}
	steps         = []trial.Step{
		"first-read", "first-fetch", "first-order", "first-swap",
		"second-read", "second-fetch", "second-order", "second-swap", "second-serve",
	}
	faults = []trial.Fault{
		trial.Kill, trial.Pause, trial.Cut, trial.Silence, trial.Refuse, trial.Corrupt, trial.Stale, trial.Delay,
		trial.Duplicate, trial.Crash,
	}
)

// runRollout rolls out to one host a first version, three rows in quick succession of
// which the last names the first version again, an adapter with a base, and a change of
// the role alone.
func runRollout(t *testing.T, s *trial.Script, k fenceSupport) {
	w := newWorld(t, 1, 1, k)
	defer w.end()
	first := w.start(w.list.All()[0].Name, s)
	w.publish(poolRow("one"))
	w.waitServed(2 * time.Minute)
	w.stepPrefix.Store("second")
	for _, name := range []string{"two", "three", "one"} {
		w.publish(poolRow(name))
		time.Sleep(time.Second)
	}
	w.waitServed(2 * time.Minute)
	adapter := poolRow("two")
	adapter.Base = poolRow("one").Manifest
	w.publish(adapter)
	w.waitServed(2 * time.Minute)
	first.injectFault("serve")
	adapter.Role = "drafts"
	w.publish(adapter)
	w.waitServed(2 * time.Minute)
	time.Sleep(lateTime + loadTime)
	w.waitServed(2 * time.Minute)
}

// runCases runs the roll-out once for each case and kind of engine. Every fault of a
// case must have been injected, unless mayMiss is set.
func runCases(t *testing.T, all []trial.Case, mayMiss bool) {
	for name, k := range fenceSupports {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trial.Run(t, all, func(t *testing.T, s *trial.Script) {
				runRollout(t, s, k)
				if left := s.Remaining(); left > 0 && !mayMiss {
					t.Errorf("%d faults were never injected", left)
				}
			})
		})
	}
}

// Whatever single fault is injected at whatever step, the engine ends up serving the
// newest row, and no request is admitted while an order is pending.
func TestNewestRowWinsUnderEachFault(t *testing.T) {
	runCases(t, append(trial.Singles(steps, faults), nil), false)
}

func TestNewestRowWinsUnderPairsOfFaults(t *testing.T) {
	const count = 60
	all := trial.Pairs(steps, faults)
	random := rand.New(rand.NewPCG(4, 4))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	runCases(t, all[:count], true)
}

// Two agents of one host must not keep undoing each other's orders.
func TestNewestRowWinsWithTwoAgents(t *testing.T) {
	var all []trial.Case
	for _, c := range trial.Singles(steps[4:], []trial.Fault{trial.Pause, trial.Stale, trial.Delay, trial.Silence}) {
		all = append(all, append(trial.Case{{Step: steps[0], Fault: trial.Duplicate}}, c...))
	}
	runCases(t, all, true)
}

// A fetch that is delayed for an outdated row must not hold up the roll-out of the new
// one.
func TestChangedRowCancelsRollout(t *testing.T) {
	trial.Run(t, trial.Singles([]trial.Step{"second-fetch"}, []trial.Fault{trial.Delay}), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, 1, 1, fenceSupport{fenced: true})
		defer w.end()
		w.start(w.list.All()[0].Name, s)
		w.publish(poolRow("one"))
		w.waitServed(time.Minute)
		w.stepPrefix.Store("second")
		w.publish(poolRow("two"))
		time.Sleep(time.Second)
		w.publish(poolRow("three"))
		w.waitServed(lateTime / 2)
	})
}

// While one agent of a host is paused, another loads a new version. The paused agent must
// not admit requests by what it observed before.
func TestResumedAgentAdmitsNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, fenceSupport{})
		defer w.end()
		host := w.list.All()[0].Name
		first := w.start(host, nil)
		w.start(host, nil)
		w.publish(poolRow("one"))
		w.waitServed(time.Minute)
		first.pause(pauseTime)
		w.publish(poolRow("two"))
		time.Sleep(pauseTime - time.Millisecond)
		if s := first.loader.State(); !s.Manifest.IsZero() {
			t.Errorf("an agent that resumes admits requests to version %s at once", s.Version)
		}
		w.waitServed(time.Minute)
	})
}

// One host of each failure domain retains the chunks of the current version; all other
// chunks are freed.
func TestMemoryIsFreedOnceThePoolServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 2, fenceSupport{fenced: true})
		defer w.end()
		for _, h := range w.list.All() {
			w.start(h.Name, nil)
		}
		for _, name := range []string{"one", "two"} {
			w.publish(poolRow(name))
			w.waitServed(2 * time.Minute)
			time.Sleep(time.Minute)
			retainers := 0
			for _, p := range w.alive() {
				if p.cache.Bytes() == int64(len(name)) {
					retainers++
				} else if p.cache.Bytes() != 0 {
					t.Errorf("host %s holds %d bytes of version %s", p.host, p.cache.Bytes(), name)
				}
			}
			if retainers != 2 {
				t.Errorf("%d hosts retain version %s in two failure domains, want 2", retainers, name)
			}
		}
		for _, e := range w.engines {
			e.restart()
		}
		w.waitServed(time.Minute)
	})
}

func TestHostOfTwoPoolsServesTheFirstByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, fenceSupport{fenced: true})
		defer w.end()
		p := w.start(w.list.All()[0].Name, nil)
		w.publish(poolRow("one"))
		other := w.table.Rows["pool"]
		other.Name, other.Version = "reserve", "two"
		other.Manifest, _ = manifestOf("two")
		w.mutex.Lock()
		w.table = tables.Table[tables.Pool]{Revision: 2, Rows: map[string]tables.Pool{"pool": w.table.Rows["pool"], "reserve": other}}
		w.mutex.Unlock()
		w.waitServed(time.Minute)
		served := w.engines[p.host].loads
		time.Sleep(time.Minute)
		if later := w.engines[p.host].loads; later != served {
			t.Errorf("the engine received %d orders after it served the version", later-served)
		}
	})
}

// A request that doesn't end delays the order by the drain timeout only, and nothing is
// admitted meanwhile.
func TestRequestOutlastingDrainTimeoutDelaysOrder(t *testing.T) {
	for name, k := range fenceSupports {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const drain = 30 * time.Second
				w := newWorld(t, 1, 1, k)
				defer w.end()
				p := w.start(w.list.All()[0].Name, nil)
				w.publish(poolRow("one"))
				w.waitServed(time.Minute)
				// A request that stays in progress at the engine until the test ends.
				p.inProgress.Add(1)
				w.publish(poolRow("two"))
				time.Sleep(drain - time.Second)
				if s, _ := w.engines[p.host].State(t.Context()); s.Loading || s.Version != "one" {
					t.Errorf("the order was sent before the drain ended: %+v", s)
				}
				if s := p.loader.State(); !s.Loading {
					t.Error("requests are admitted during the drain")
				}
				if took := w.waitServed(time.Minute); took > loadTime+5*time.Second {
					t.Errorf("the version is served only %s after the drain", took)
				}
			})
		})
	}
}

func TestMemoryIsFreedAfterRetentionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Minute
		w := newWorld(t, 6, 2, fenceSupport{fenced: true})
		defer w.end()
		// Two hosts have no agent, so the pool is never observed to serve the version.
		for _, h := range w.list.All()[:4] {
			w.start(h.Name, nil)
		}
		w.publish(poolRow("one"))
		holders := func() int {
			held := 0
			for _, p := range w.alive() {
				if p.cache.Bytes() > 0 {
					held++
				}
			}
			return held
		}
		time.Sleep(limit - time.Minute)
		if n := holders(); n != 4 {
			t.Errorf("%d of 4 hosts hold the version before the retention timeout", n)
		}
		time.Sleep(2 * time.Minute)
		if n := holders(); n > 2 {
			t.Errorf("%d hosts of two failure domains hold the version after the retention timeout", n)
		}
	})
}

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
	kinds = map[string]kind{"fenced": {fenced: true}, "unfenced": {}, "mute": {mute: true}}
	steps = []trial.Step{
		"first-read", "first-fetch", "first-order", "first-swap",
		"second-read", "second-fetch", "second-order", "second-swap", "second-serve",
	}
	faults = []trial.Fault{
		trial.Kill, trial.Pause, trial.Cut, trial.Silence, trial.Refuse, trial.Corrupt, trial.Stale, trial.Delay,
		trial.Duplicate, trial.Crash,
	}
)

// rollOut takes a host through a first version, three rows in a row of which the
// last names the first version again, an adapter with a base and a change of the
// role alone.
func rollOut(t *testing.T, s *trial.Script, k kind) {
	w := newWorld(t, 1, 1, k)
	defer w.end()
	first := w.start(w.list.All()[0].Name, s)
	w.publish(row("one"))
	w.settled(2 * time.Minute)
	w.stage.Store("second")
	for _, name := range []string{"two", "three", "one"} {
		w.publish(row(name))
		time.Sleep(time.Second)
	}
	w.settled(2 * time.Minute)
	adapter := row("two")
	adapter.Base = row("one").Manifest
	w.publish(adapter)
	w.settled(2 * time.Minute)
	first.reach("serve")
	adapter.Role = "drafts"
	w.publish(adapter)
	w.settled(2 * time.Minute)
	time.Sleep(lateTime + loadTime)
	w.settled(2 * time.Minute)
}

// runAll runs the roll-out once for each case and kind of engine. Every fault of
// a case must strike unless some may be missed.
func runAll(t *testing.T, all []trial.Case, mayMiss bool) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trial.Run(t, all, func(t *testing.T, s *trial.Script) {
				rollOut(t, s, k)
				if left := s.Remaining(); left > 0 && !mayMiss {
					t.Errorf("%d faults never struck", left)
				}
			})
		})
	}
}

func TestNewestRowWinsUnderEachFault(t *testing.T) {
	runAll(t, append(trial.Singles(steps, faults), nil), false)
}

func TestNewestRowWinsUnderPairsOfFaults(t *testing.T) {
	const count = 60
	all := trial.Pairs(steps, faults)
	random := rand.New(rand.NewPCG(4, 4))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	runAll(t, all[:count], true)
}

func TestNewestRowWinsWithTwoAgents(t *testing.T) {
	var all []trial.Case
	for _, c := range trial.Singles(steps[4:], []trial.Fault{trial.Pause, trial.Stale, trial.Delay, trial.Silence}) {
		all = append(all, append(trial.Case{{Step: steps[0], Fault: trial.Duplicate}}, c...))
	}
	runAll(t, all, true)
}

func TestChangedRowEndsTheOldRollOut(t *testing.T) {
	trial.Run(t, trial.Singles([]trial.Step{"second-fetch"}, []trial.Fault{trial.Delay}), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, 1, 1, kind{fenced: true})
		defer w.end()
		w.start(w.list.All()[0].Name, s)
		w.publish(row("one"))
		w.settled(time.Minute)
		w.stage.Store("second")
		w.publish(row("two"))
		time.Sleep(time.Second)
		w.publish(row("three"))
		w.settled(lateTime / 2)
	})
}

func TestWokenAgentAdmitsNothingOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, kind{})
		defer w.end()
		host := w.list.All()[0].Name
		first := w.start(host, nil)
		w.start(host, nil)
		w.publish(row("one"))
		w.settled(time.Minute)
		first.pause(pauseTime)
		w.publish(row("two"))
		time.Sleep(pauseTime - time.Millisecond)
		if s := first.loader.State(); !s.Manifest.IsZero() {
			t.Errorf("an agent that wakes late admits to version %s at once", s.Version)
		}
		w.settled(time.Minute)
	})
}

func TestMemoryIsFreedOnceThePoolServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 2, kind{fenced: true})
		defer w.end()
		for _, h := range w.list.All() {
			w.start(h.Name, nil)
		}
		for _, name := range []string{"one", "two"} {
			w.publish(row(name))
			w.settled(2 * time.Minute)
			time.Sleep(time.Minute)
			keepers := 0
			for _, p := range w.living() {
				if p.cache.Bytes() == int64(len(name)) {
					keepers++
				} else if p.cache.Bytes() != 0 {
					t.Errorf("host %s holds %d bytes of version %s", p.host, p.cache.Bytes(), name)
				}
			}
			if keepers != 2 {
				t.Errorf("%d hosts keep version %s for two failure domains", keepers, name)
			}
		}
		for _, e := range w.engines {
			e.restart()
		}
		w.settled(time.Minute)
	})
}

func TestHostOfTwoPoolsServesTheFirstByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1, kind{fenced: true})
		defer w.end()
		p := w.start(w.list.All()[0].Name, nil)
		w.publish(row("one"))
		other := w.table.Rows["pool"]
		other.Name, other.Version = "reserve", "two"
		other.Manifest, _ = release("two")
		w.mutex.Lock()
		w.table = tables.Table[tables.Pool]{Revision: 2, Rows: map[string]tables.Pool{"pool": w.table.Rows["pool"], "reserve": other}}
		w.mutex.Unlock()
		w.settled(time.Minute)
		given := w.engines[p.host].serial
		time.Sleep(time.Minute)
		if again := w.engines[p.host].serial; again != given {
			t.Errorf("the engine took %d orders after it served", again-given)
		}
	})
}

func TestRequestThatOutlastsTheDrain(t *testing.T) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const drain = 30 * time.Second
				w := newWorld(t, 1, 1, k)
				defer w.end()
				p := w.start(w.list.All()[0].Name, nil)
				w.publish(row("one"))
				w.settled(time.Minute)
				// The request is in progress at the engine until the test ends.
				p.running.Add(1)
				w.publish(row("two"))
				time.Sleep(drain - time.Second)
				if s, _ := w.engines[p.host].State(t.Context()); s.Loading || s.Version != "one" {
					t.Errorf("the order is given before the drain has ended: %+v", s)
				}
				if s := p.loader.State(); !s.Loading {
					t.Error("requests are admitted in the drain")
				}
				if took := w.settled(time.Minute); took > loadTime+5*time.Second {
					t.Errorf("the version is served %s after the drain", took)
				}
			})
		})
	}
}

func TestMemoryIsFreedAfterALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Minute
		w := newWorld(t, 6, 2, kind{fenced: true})
		defer w.end()
		// Two hosts never come, so the pool is never seen to serve the version.
		for _, h := range w.list.All()[:4] {
			w.start(h.Name, nil)
		}
		w.publish(row("one"))
		holders := func() int {
			held := 0
			for _, p := range w.living() {
				if p.cache.Bytes() > 0 {
					held++
				}
			}
			return held
		}
		time.Sleep(limit - time.Minute)
		if n := holders(); n != 4 {
			t.Errorf("%d of 4 hosts hold the version before the limit", n)
		}
		time.Sleep(2 * time.Minute)
		if n := holders(); n > 2 {
			t.Errorf("%d hosts of two failure domains hold the version after the limit", n)
		}
	})
}

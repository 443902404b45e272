package target_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// newEven returns a constructor of the product's chooser with the given setting.
func newEven(t testing.TB, e target.EvenLoad) func(h *herd, i int) chooser {
	return newProduct(t, func(o *target.Options) { o.EvenLoad = e })
}

// TestEvenLoadIsInactiveWhereEveryEntryHasAnEngine replays the demand of a fleet with fewer entries than
// engines. It guards earlier deployments, which are of that kind, against other choices than before.
func TestEvenLoadIsInactiveWhereEveryEntryHasAnEngine(t *testing.T) {
	for _, load := range []float64{0.9, 1.2} {
		s := herdShape{spec: "A", entries: 6, servers: 12, load: load, hot: 1.4, seed: 3}
		var traces [3][]int
		for i, e := range []target.EvenLoad{target.EvenNever, target.EvenAuto, target.EvenAlways} {
			h := newHerd(t, s, newEven(t, e))
			h.run(5 * time.Second)
			traces[i] = h.trace
		}
		if !slices.Equal(traces[0], traces[1]) {
			t.Errorf("load %.1f: other engines are chosen", load)
		}
		if slices.Equal(traces[0], traces[2]) {
			t.Errorf("load %.1f: the comparison doesn't detect even load", load)
		}
	}
}

// TestEvenLoadServesMoreInTime guards against entries without an assigned engine that overload engines
// which they all see free at the same time, entries of an evacuated region that know the load elsewhere
// late, shares in engines that hold no version yet, and an entry with half of its region's demand that
// doesn't find the free slots of the others or makes queue lengths oscillate.
func TestEvenLoadServesMoreInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []evenCase{
		{herdShape{spec: "B", entries: 64, servers: 34, load: 0.9, hot: 1.4}, 0.02, -0.05},
		{herdShape{spec: "B", entries: 64, servers: 34, load: 1.2, hot: 1.4}, 0.06, -0.05},
		{herdShape{spec: "B", entries: 64, servers: 57, empty: 23, load: 1.2, hot: 1.4}, 0.06, -0.05},
		{herdShape{spec: "A", entries: 34, servers: 45, load: 0.9, hot: 1, evacuated: true}, 0.02, 0.1},
		{herdShape{spec: "B", entries: 64, servers: 34, load: 0.7, hot: 1, step: true}, -0.01, -0.05},
	} {
		t.Run(fmt.Sprint(c.herdShape), c.run)
	}
}

// evenCase is a case of TestEvenLoadServesMoreInTime.
type evenCase struct {
	herdShape
	// gain is the least increase of the share in time, hotGain that of the hot entry or the evacuated
	// region.
	gain, hotGain float64
}

func (c evenCase) run(t *testing.T) {
	t.Parallel()
	before := newHerd(t, c.herdShape, newEven(t, target.EvenNever)).run(8 * time.Second)
	now := newHerd(t, c.herdShape, newEven(t, target.EvenAuto)).run(8 * time.Second)
	if now.inTime < before.inTime+c.gain || now.hotInTime < before.hotInTime+c.hotGain || now.swings > 1.1*before.swings {
		t.Errorf("%s: %+v, before %+v", c.herdShape, now, before)
	}
	if now.bytes > before.bytes || now.messages > 1.02*before.messages {
		t.Errorf("%s: more traffic: %+v, before %+v", c.herdShape, now, before)
	}
	if !c.evacuated && now.remote > before.remote+0.02 {
		t.Errorf("%s: %.3f of the requests go to other regions, before %.3f", c.herdShape, now.remote, before.remote)
	}
}

// TestSlowEngineRecoversOnlyByEvidence has a late first event show that an engine is slow. It guards against
// an engine that is used again without a faster first event or a report based on a later status, and
// against one that is avoided in spite of them.
func TestSlowEngineRecoversOnlyByEvidence(t *testing.T) {
	const wait = 2 * time.Second
	for name, c := range map[string]struct {
		// evidence is what is known of the engine after the wait.
		evidence func(now time.Time, w *world, id string)
		isSlow   bool
	}{
		"nothing": {func(time.Time, *world, string) {}, true},
		"early report": {func(_ time.Time, w *world, id string) {
			w.fleet.ReceiveLoadReport(start.Add(600*time.Millisecond), id, target.LoadReport{Serial: 1, Pace: 1})
		}, true},
		"slow report": {func(now time.Time, w *world, id string) {
			w.fleet.ReceiveLoadReport(now, id, target.LoadReport{Serial: 1, Pace: 2})
		}, true},
		"report": {func(now time.Time, w *world, id string) {
			w.fleet.ReceiveLoadReport(now, id, target.LoadReport{Serial: 1, Pace: 1})
		}, false},
		"faster first event": {func(now time.Time, w *world, id string) {
			for range 8 {
				if got, f := w.place(now, w.requirements()); f != nil && got == id {
					f.RecordFirstEvent(now.Add(f.Predicted / 3))
				}
			}
		}, false},
	} {
		w := newWorldOf(t, "e0", func() []hosts.Host {
			return append(slices.Clone(entries), hosts.Host{Name: "e2", Place: hosts.Place{Region: "r0"}})
		})
		var rows []state.Row
		for i := range 2 {
			rows = append(rows, w.upstream(engine(i, "d0", 1)))
		}
		w.publish(start, rows...)
		id, f := w.place(start, w.requirements())
		f.RecordFirstEvent(start.Add(3 * f.Predicted))
		f.Finish(start.Add(3*f.Predicted), target.OutcomeSuccess)
		now := start.Add(wait)
		c.evidence(now, w, id)
		if slow := w.fleet.PoolLoads(now.Add(time.Minute))[0].Slow == 1; slow != c.isSlow {
			t.Errorf("%s: slow %t", name, slow)
		}
		long := w.requirements()
		long.PromptTokens = 3000
		if next, _ := w.place(now.Add(time.Minute), long); name == "nothing" && next == id {
			t.Errorf("after a minute without evidence, a long prompt goes to the slow engine, while the other is free")
		}
	}
}

// TestPoolLoadsShowTheBusiestEngine guards against figures for operators that include engines of other
// regions or hide an uneven load.
func TestPoolLoadsShowTheBusiestEngine(t *testing.T) {
	w := newWorldOf(t, "e0", func() []hosts.Host { return entries })
	w.publish(start, w.upstream(engine(0, "d0", 1)), w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d1", 1)))
	w.fleet.ReceiveLoadReport(start, "u0", target.LoadReport{Serial: 1, Running: 3, Pace: 1})
	want := target.PoolLoad{Pool: "p", Engines: 2, Mean: 1.5, Busiest: 3}
	if got := fmt.Sprint(w.fleet.PoolLoads(start)); got != fmt.Sprint([]target.PoolLoad{want}) {
		t.Errorf("%s", got)
	}
}

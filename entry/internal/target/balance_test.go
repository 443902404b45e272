package target_test

import (
	"slices"
	"testing"
	"time"

	"currantport.example/entry/internal/target"
)

// newEven returns the product with the given setting.
func newEven(t testing.TB, e target.EvenLoad) func(h *herd, i int) chooser {
	return newProduct(t, func(o *target.Options) { o.EvenLoad = e })
}

// TestEvenLoadIsInactiveWhereEveryEntryHasAnEngine replays the demand of a fleet with fewer entries than
// engines. Earlier deployments are of that kind, and their requests must go where they went before.
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

// TestEvenLoadWithMoreEntriesThanEngines has entries without an engine of their own. They overrun
// engines that they all see free at the same time, unless the engines are shared.
func TestEvenLoadWithMoreEntriesThanEngines(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.9, 1.2} {
		s := herdShape{spec: "B", entries: 64, servers: 34, load: load, hot: 1.4}
		before := newHerd(t, s, newEven(t, target.EvenNever)).run(8 * time.Second)
		now := newHerd(t, s, newEven(t, target.EvenAuto)).run(8 * time.Second)
		if now.inTime < before.inTime+0.03 || now.late > 0.75*before.late || now.p99 > before.p99 {
			t.Errorf("load %.1f: %+v, before %+v", load, now, before)
		}
		if now.bytes > before.bytes || now.messages > 1.01*before.messages || now.remote > before.remote+0.05 {
			t.Errorf("load %.1f: more traffic: %+v, before %+v", load, now, before)
		}
	}
}

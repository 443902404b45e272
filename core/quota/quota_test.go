package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
)

var start = time.Unix(1e9, 0)

// TestAllotterNeverGrantsMoreThanTheLimit draws entries that ask at any time. No span of four seconds
// may have more than one and a half times the limit and five requests.
func TestAllotterNeverGrantsMoreThanTheLimit(t *testing.T) {
	const span = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.1, 0.5, 1, 1.5, 20, 500}).Draw(t, "rate")
		var a quota.Allotter
		a.Reset(start)
		type granted struct {
			at    time.Time
			count int
		}
		var all []granted
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			name := hosts.Name(fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "entry")))
			n, wait := a.Take(now, rate, name, rapid.IntRange(1, 16).Draw(t, "count"))
			if (n == 0) != (wait > 0) {
				t.Fatalf("%d requests and a wait of %s", n, wait)
			}
			all = append(all, granted{at: now, count: n})
			sum := 0
			for _, g := range all {
				if now.Sub(g.at) < span {
					sum += g.count
				}
			}
			if allowed := int(math.Floor(1.5*rate*span.Seconds())) + 5; sum > allowed {
				t.Fatalf("%d requests in %s, allowed %d", sum, span, allowed)
			}
		}
	})
}

// TestEachEntryGetsItsTurn lets three entries ask as often as they may, one of them far more often
// than it is told.
func TestEachEntryGetsItsTurn(t *testing.T) {
	for _, rate := range []float64{1, 10, 100} {
		var a quota.Allotter
		a.Reset(start)
		names := []hosts.Name{"greedy", "b", "c"}
		next := make(map[hosts.Name]time.Time)
		got := make(map[hosts.Name]int)
		for i := range 60000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			for _, name := range names {
				if name != "greedy" && now.Before(next[name]) {
					continue
				}
				n, wait := a.Take(now, rate, name, 1)
				got[name] += n
				next[name] = now.Add(wait)
			}
		}
		for _, name := range names {
			if n := float64(got[name]); n < 0.25*60*rate {
				t.Errorf("%g a second: %s got %g of %g", rate, name, n, 60*rate)
			}
		}
	}
}

// TestWaitComesTrue asks again after the wait, with no one else there.
func TestWaitComesTrue(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 20, 1e6} {
		var a quota.Allotter
		a.Reset(start)
		_, wait := a.Take(start, rate, "e", 1)
		if n, _ := a.Take(start.Add(wait+time.Millisecond), rate, "e", 1); n != 1 {
			t.Errorf("%g a second: nothing after %s", rate, wait)
		}
	}
}

// TestOrderOfLimits checks which of two limits replaces the other.
func TestOrderOfLimits(t *testing.T) {
	all := []quota.Limit{{}, {Serial: 1}, {Rate: 2, Serial: 1}, {Rate: 1, Serial: 1}, {Serial: 2}, {Rate: 3, Serial: 2}}
	for i, older := range all {
		for k, newer := range all {
			if got, want := newer.Supersedes(older), k > i; got != want {
				t.Errorf("%+v supersedes %+v: %t", newer, older, got)
			}
		}
	}
}

// TestRatesAreBounded checks that no value takes an upstream out of use for good.
func TestRatesAreBounded(t *testing.T) {
	for named, want := range map[float64]float64{0: 0.1, 1e-9: 0.1, math.SmallestNonzeroFloat64: 0.1, 1.5: 1.5, 1e300: 1e6, math.Inf(1): 1e6, -1: 0.1} {
		if got := quota.Clamp(named); got != want {
			t.Errorf("%g: %g, want %g", named, got, want)
		}
	}
	if got := quota.Clamp(math.NaN()); got != 0.1 {
		t.Errorf("NaN: %g", got)
	}
}

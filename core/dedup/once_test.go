package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"currantport.example/core/calls"
)

// result holds the counts of many histories.
type result struct {
	histories       int
	duplicateRuns   int
	falseNotRun     int
	responses       int
	unknown         int
	needlessUnknown int
	unproven        int
}

func (r *result) add(w *world) {
	r.histories++
	r.duplicateRuns += max(0, w.runs-1)
	r.falseNotRun += w.client.falseNotRun
	if w.client.refused && w.runs > 0 && w.client.falseNotRun == 0 {
		r.falseNotRun++
	}
	for _, n := range w.client.outcomes {
		r.responses += n
	}
	r.unknown += w.client.outcomes[calls.OutcomeUnknown]
	r.needlessUnknown += w.client.needlessUnknown
	r.unproven += w.client.unproven
}

func (r *result) merge(o result) {
	r.histories += o.histories
	r.duplicateRuns += o.duplicateRuns
	r.falseNotRun += o.falseNotRun
	r.responses += o.responses
	r.unknown += o.unknown
	r.needlessUnknown += o.needlessUnknown
	r.unproven += o.unproven
}

// simulate runs histories with the given number of faults each. With a fault in
// only, all faults are of that kind.
func simulate(seeds int, kind keyKind, m mutation, faults int, only fault) result {
	var r result
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, uint64(kind)))
		var all []scheduledFault
		for range faults {
			f := fault(1 + rng.IntN(int(faultCount)-1))
			if only != faultNone {
				f = only
			}
			all = append(all, scheduledFault{fault: f, step: 1 + rng.IntN(60)})
		}
		w := newWorld(seed, kind, m, all)
		w.run()
		r.add(w)
	}
	return r
}

var kindNames = []string{"minted", "timed", "opaque"}

func TestOnceUnderFaults(t *testing.T) {
	for kind, name := range kindNames {
		for faults := range 4 {
			t.Run(fmt.Sprintf("%s-%d", name, faults), func(t *testing.T) {
				r := simulate(200, keyKind(kind), mutateNone, faults, faultNone)
				if r.duplicateRuns > 0 || r.falseNotRun > 0 {
					t.Errorf("doubles=%d falsenot=%d in %d histories", r.duplicateRuns, r.falseNotRun, r.histories)
				}
				if r.responses == 0 || faults == 0 && r.unknown > 0 {
					t.Errorf("answers=%d unknown=%d", r.responses, r.unknown)
				}
			})
		}
	}
}

// TestOnceNeedsEachMechanism checks that the histories fail when a mechanism is
// turned off.
func TestOnceNeedsEachMechanism(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
		kind     keyKind
		doubles  bool
	}{
		{"fence-minted", mutateFence, kindMinted, false},
		{"fence-opaque", mutateFence, kindOpaque, false},
		{"claims-timed", mutateClaims, kindTimestamped, true},
		{"claims-opaque", mutateClaims, kindOpaque, true},
		{"incarnation", mutateIncarnation, kindMinted, true},
		{"age-timed", mutateAge, kindTimestamped, true},
		{"age-opaque", mutateAge, kindOpaque, true},
		{"settle", mutateSettle, kindMinted, false},
		{"token", mutateToken, kindTimestamped, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := simulate(500, c.kind, c.mutation, 2, faultNone)
			if c.doubles && r.duplicateRuns == 0 || !c.doubles && r.falseNotRun == 0 {
				t.Errorf("no history fails with the mechanism turned off: %+v", r)
			}
		})
	}
}

func BenchmarkOnce(b *testing.B) {
	for b.Loop() {
		var sum result
		worst := make([]float64, len(kindNames))
		for kind := range kindNames {
			for f := faultNone; f < faultCount; f++ {
				r := simulate(300, keyKind(kind), mutateNone, min(int(f), 1), f)
				sum.merge(r)
				worst[kind] = max(worst[kind], float64(r.needlessUnknown)/float64(r.responses))
			}
			for faults := 2; faults <= 4; faults++ {
				sum.merge(simulate(500, keyKind(kind), mutateNone, faults, faultNone))
			}
		}
		fmt.Printf("bench=once histories=%d doubles=%d falsenot=%d unknown=%.4f minted=%.4f timed=%.4f opaque=%.4f unproved=%.4f\n",
			sum.histories, sum.duplicateRuns, sum.falseNotRun, max(worst[0], worst[1], worst[2]), worst[0], worst[1], worst[2],
			float64(sum.unproven)/float64(sum.responses))
	}
}

// BenchmarkRivals counts the errors of simpler designs in the same histories:
// timestamps in keys without claims, claims that trust only the list of hosts, and
// "not run" without settling or without a fence.
func BenchmarkRivals(b *testing.B) {
	for b.Loop() {
		timed := simulate(2000, kindTimestamped, mutateClaims, 2, faultNone)
		listed := simulate(2000, kindOpaque, mutateAge, 2, faultNone)
		unsettled := simulate(2000, kindMinted, mutateSettle, 2, faultNone)
		unfenced := simulate(2000, kindMinted, mutateFence, 2, faultNone)
		fmt.Printf("bench=rivals histories=%d timed=%d listed=%d unsettled=%d unfenced=%d\n",
			timed.histories, timed.duplicateRuns, listed.duplicateRuns, unsettled.falseNotRun, unfenced.falseNotRun)
	}
}

package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/quota"
	"currantport.example/core/trial"
)

const (
	waySpan = 40 * time.Second
	wayTick = 5 * time.Millisecond
	// maxSkew is the difference of clocks that the users' platform allows.
	maxSkew = 5 * time.Second
)

// way decides whether an entry may send a request at a time.
type way interface {
	maySend(now time.Time, entry int) bool
}

// shares gives each entry the same part of the rate.
type shares struct {
	rate      float64
	allotters []quota.Allotter
}

func (s *shares) maySend(now time.Time, entry int) bool {
	n, _ := s.allotters[entry].Take(now, s.rate/float64(len(s.allotters)), "", 1)
	return n > 0
}

// counts lets an entry send while what it knows of the last second is below the rate. It knows its
// own requests at once and those of others with the interval of entry loads.
type counts struct {
	rate  float64
	delay time.Duration
	sent  []sending
}

type sending struct {
	at    time.Time
	entry int
}

func (c *counts) maySend(now time.Time, entry int) bool {
	// A span in which at least one request is allowed.
	span := time.Duration(max(1, 1/c.rate) * float64(time.Second))
	known := 0
	for i := len(c.sent) - 1; i >= 0 && now.Sub(c.sent[i].at) < span; i-- {
		if c.sent[i].entry == entry || now.Sub(c.sent[i].at) >= c.delay {
			known++
		}
	}
	if float64(known+1) > c.rate*span.Seconds() {
		return false
	}
	c.sent = append(c.sent, sending{at: now, entry: entry})
	return true
}

// clock gives each entry a turn by its time of day.
type clock struct {
	rate float64
	skew []time.Duration
	used []int64
}

func (c *clock) maySend(now time.Time, entry int) bool {
	turn := int64(float64(now.Add(c.skew[entry]).Sub(start)+maxSkew) / float64(time.Second) * c.rate)
	if turn%int64(len(c.skew)) != int64(entry) || c.used[entry] == turn {
		return false
	}
	c.used[entry] = turn
	return true
}

// owner lets one entry spend the rate, without asks by others.
type owner struct {
	rate     float64
	allotter quota.Allotter
}

func (o *owner) maySend(now time.Time, entry int) bool {
	if entry != 0 {
		return false
	}
	n, _ := o.allotter.Take(now, o.rate, "", 1)
	return n > 0
}

// BenchmarkWays prints how simpler ways to spend a limit do: the most requests in four seconds, once
// three have passed, and the used part of the limit. A request may wait for 50 ms. Demand is three
// times the limit and at least ten requests a second, spread evenly.
func BenchmarkWays(b *testing.B) {
	for range b.N {
		for _, entries := range []int{6, 24, 740} {
			for _, rate := range []float64{0.5, 1, 1.5, 20, 500} {
				skew := make([]time.Duration, entries)
				for i := range skew {
					skew[i] = time.Duration(rand.New(rand.NewPCG(uint64(i), 1)).Int64N(int64(maxSkew)))
				}
				delay := min(max(time.Duration(entries/2)*time.Second/200, 40*time.Millisecond), 200*time.Millisecond)
				for name, w := range map[string]way{
					"share": &shares{rate: rate, allotters: make([]quota.Allotter, entries)}, "counts": &counts{rate: rate, delay: delay},
					"clock": &clock{rate: rate, skew: skew, used: make([]int64, entries)}, "owner": &owner{rate: rate},
				} {
					most, used := playWay(w, entries, rate)
					fmt.Printf("bench=ways way=%s entries=%d rate=%g most=%d allowed=%d used=%.2f\n", name, entries, rate, most, int(6*rate)+5, used)
				}
			}
		}
	}
}

func playWay(w way, entries int, rate float64) (most int, used float64) {
	r := rand.New(rand.NewPCG(1, 1))
	demand := max(3*rate, 10)
	next := start
	type request struct {
		arrived time.Time
		entry   int
	}
	var waiting []request
	var sent []time.Time
	for now := start; now.Before(start.Add(waySpan)); now = now.Add(wayTick) {
		for ; !next.After(now); next = next.Add(time.Duration(r.ExpFloat64() / demand * float64(time.Second))) {
			waiting = append(waiting, request{arrived: now, entry: r.IntN(entries)})
		}
		var left []request
		for _, q := range waiting {
			switch {
			case w.maySend(now, q.entry):
				if now.Sub(start) >= 3*time.Second {
					sent = append(sent, now)
				}
			case now.Sub(q.arrived) < 50*time.Millisecond:
				left = append(left, q)
			}
		}
		waiting = left
	}
	return trial.MostWithin(sent, 4*time.Second), float64(len(sent)) / (rate * (waySpan - 3*time.Second).Seconds())
}

package target_test

import (
	"math"
	"slices"
	"time"
)

// herdFigures are the results of one run.
type herdFigures struct {
	inTime, late, refused, busiest, spread, idle, remote float64
	p99                                                  time.Duration
	// hotInTime is the share in time of the requests that isHot reports, swings the number of turns of the
	// queue lengths by half of the slots or more, for each engine and second.
	hotInTime, swings float64
	messages, bytes   float64
}

// sample records the lengths of the queues and the slots that are idle while requests wait.
func (h *herd) sample() {
	waiting, idle, sum, squares, n := 0, 0, 0.0, 0.0, 0.0
	for _, w := range h.waiting {
		waiting += len(w)
	}
	for k, m := range h.engines {
		if h.isOut(k) {
			continue
		}
		q := float64(m.running())
		h.occupancy[k] += q
		h.turn(k, m.running())
		idle += max(m.spec.Slots-m.running(), 0)
		waiting += max(m.running()-m.spec.Slots, 0)
		sum, squares, n = sum+q, squares+q*q, n+1
	}
	h.measured.spread += math.Sqrt(max(squares/n-sum/n*sum/n, 0))
	h.measured.idle += float64(min(idle, waiting)) / (n * float64(h.pool.Engine.Slots))
	h.samples++
}

// turn counts a change of direction of a queue's length by half of the slots or more.
func (h *herd) turn(k, length int) {
	t, half := &h.turns[k], h.pool.Engine.Slots/2
	switch {
	case t.up && length > t.extreme, !t.up && length < t.extreme:
		t.extreme = length
	case max(length-t.extreme, t.extreme-length) >= half:
		t.up, t.extreme = !t.up, length
		h.measured.swings++
	}
}

// isOut reports whether an engine can't serve.
func (h *herd) isOut(k int) bool { return h.evacuated && k%3 == 0 || k >= h.servers-h.empty }

// isHot reports whether a request arrived at the first entry, or in the evacuated region.
func (h *herd) isHot(a *request) bool {
	return a.client.entry == 0 || h.evacuated && a.client.region == 0
}

func (h *herd) figures(span time.Duration) herdFigures {
	f := h.measured
	f.spread, f.idle, f.remote = f.spread/h.samples, f.idle/h.samples, f.remote/float64(max(h.placements, 1))
	seconds := (span - herdWarmup).Seconds()
	f.swings /= seconds * float64(h.servers)
	f.messages, f.bytes = f.messages/seconds, f.bytes/seconds
	total, inTime, late, refused, hot := 0.0, 0.0, 0.0, 0.0, 0.0
	var first []time.Duration
	for _, a := range h.all {
		if !a.served && !a.refused || a.arrived.Sub(start) < herdWarmup {
			continue
		}
		total++
		if h.isHot(a) {
			hot++
		}
		switch {
		case a.refused:
			refused++
		case a.firstEvent <= objective:
			inTime++
			if h.isHot(a) {
				f.hotInTime++
			}
		default:
			late++
		}
		if a.served && !a.retried {
			first = append(first, a.firstEvent)
		}
	}
	f.hotInTime /= max(hot, 1)
	f.inTime, f.late, f.refused = inTime/total, late/total, refused/total
	slices.Sort(first)
	f.p99 = first[len(first)*99/100]
	sum, most, n := 0.0, 0.0, 0.0
	for k, o := range h.occupancy {
		if !h.isOut(k) {
			sum, most, n = sum+o, max(most, o), n+1
		}
	}
	f.busiest = most / (sum / n)
	return f
}

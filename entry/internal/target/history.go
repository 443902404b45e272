package target

import "time"

// statusAge is the assumed age of the status in a load report when it arrives. The report is compared with
// what the entry knew of the engine's load at that time, because later requests aren't in it. Statuses are
// 200 to 400 ms old in the deployments, and the model gives the best results with the lower figure.
const statusAge = 200 * time.Millisecond

// loadHistory holds what was known of an engine's load over the last statusAge. The zero value is
// empty.
type loadHistory struct {
	// samples are ordered by time; the first one may be older than statusAge.
	samples []loadSample
}

type loadSample struct {
	at      time.Time
	running int
}

// record adds the number of requests known to run from now on.
func (h *loadHistory) record(now time.Time, running int) {
	if n := len(h.samples); n > 0 && h.samples[n-1].running == running {
		return
	}
	h.samples = append(h.samples, loadSample{at: now, running: running})
	old := 0
	for old+1 < len(h.samples) && now.Sub(h.samples[old+1].at) >= statusAge {
		old++
	}
	h.samples = h.samples[old:]
}

// past returns the number of requests that were known to run statusAge ago.
func (h *loadHistory) past(now time.Time) int {
	running := 0
	for _, s := range h.samples {
		if now.Sub(s.at) < statusAge {
			break
		}
		running = s.running
	}
	return running
}

// recordKnown adds what is known of the engine's load to its history, if its pool has even load.
func (u *upstream) recordKnown(now time.Time) {
	if u.even.active {
		u.history.record(now, u.running+u.regionRunning)
	}
}

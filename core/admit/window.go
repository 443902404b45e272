package admit

import "time"

const (
	firstWindow = 4
	mostWindow  = 512
	// windowSlack is how far above the least latency the window may still grow.
	windowSlack = 1.5
	// windowStep is the number of requests by which the window grows in the time
	// in which it is answered once.
	windowStep = 1.5
	// windowDecay is by how much an answer shrinks a window of which less than
	// half is used, down to leastUnused.
	windowDecay = 0.1
	leastUnused = 2.0
	// windowCut is what a refusal for overload leaves of the window.
	windowCut = 0.8
	// latencyShare is the weight of the newest latency in the mean.
	latencyShare = 0.1
	// leastDrift is the share by which the least latency rises in a second, so
	// that an upstream that has become slower for good is measured anew.
	leastDrift   = 0.0005
	leastLatency = time.Millisecond
)

// Window bounds the requests of one entry in progress at one upstream. It grows
// while the latency stays near the least one and shrinks as the upstream begins
// to queue. The zero value is a window of the first size.
type Window struct {
	// size is zero before the first answer, else from 1 to mostWindow.
	size float64
	// least is the least mean latency, which drifts upwards. Zero means none.
	least float64
	// recent is the mean latency of the last answers.
	recent float64
	// last is when the last answer came.
	last time.Time
}

// Size returns the number of requests that may be in progress. Most is what the
// upstream says itself, or zero.
func (w *Window) Size(most int) int {
	size := firstWindow
	if w.size > 0 {
		size = int(w.size)
	}
	if most > 0 {
		size = min(size, most)
	}
	return max(size, 1)
}

// RecordResponse tells the latency of an answer, and how many requests of the entry
// were in progress when it came.
func (w *Window) RecordResponse(now time.Time, latency time.Duration, own int) {
	w.start()
	w.measure(now, float64(max(latency, leastLatency)))
	gradient := min(max(windowSlack*w.least/w.recent, 0.5), 1)
	if gradient == 1 && float64(own) < w.size/2 {
		w.set(max(w.size-windowDecay, min(w.size, leastUnused)))
		return
	}
	w.set(w.size + gradient - 1 + windowStep/w.size)
}

func (w *Window) measure(now time.Time, latency float64) {
	if w.recent == 0 {
		w.recent, w.least, w.last = latency, latency, now
		return
	}
	w.recent += latencyShare * (latency - w.recent)
	w.least *= 1 + leastDrift*now.Sub(w.last).Seconds()
	w.least = min(w.least, w.recent)
	w.last = now
}

// RecordOverload tells that the upstream refused a request for its load.
func (w *Window) RecordOverload() {
	w.start()
	w.set(w.size * windowCut)
}

func (w *Window) start() {
	if w.size == 0 {
		w.size = firstWindow
	}
}

func (w *Window) set(size float64) { w.size = min(max(size, 1), mostWindow) }

package admit

import "time"

const (
	initialWindow = 4
	maxWindow     = 512
	// latencyTolerance is the ratio of mean latency to baseline up to which the
	// window grows at the full rate.
	latencyTolerance = 1.5
	// windowGrowth is the number of requests by which the window grows per window of
	// responses.
	windowGrowth = 1.5
	// windowDecay is the number of requests by which a response shrinks a window that
	// is less than half used, down to minUnusedWindow.
	windowDecay     = 0.1
	minUnusedWindow = 2.0
	// overloadFactor scales the window when the upstream refuses for overload.
	overloadFactor = 0.8
	// latencyWeight is the weight of the newest sample in the mean latency.
	latencyWeight = 0.1
	// baselineDrift is the ratio by which the baseline rises per second, so that it
	// adapts to an upstream that has become permanently slower.
	baselineDrift = 0.0005
	minLatency    = time.Millisecond
)

// Window is an adaptive limit on the requests that one entry has in progress at one
// upstream. It grows while the latency stays close to the baseline and shrinks when
// the upstream starts to queue. The zero value has the initial size.
type Window struct {
	// size is zero before the first response, then from 1 to maxWindow.
	size float64
	// baseline is the lowest mean latency in nanoseconds, drifting upwards. Zero means
	// none.
	baseline float64
	// meanLatency is a moving average in nanoseconds. Zero means none.
	meanLatency float64
	// updatedAt is the time of the last response.
	updatedAt time.Time
}

// Size returns the number of requests that may be in progress. Limit is the number
// that the upstream reports as its limit, or zero.
func (w *Window) Size(limit int) int {
	size := initialWindow
	if w.size > 0 {
		size = int(w.size)
	}
	if limit > 0 {
		size = min(size, limit)
	}
	return max(size, 1)
}

// RecordResponse records the latency of a response. InProgress is the number of
// requests that the entry had in progress when it arrived.
func (w *Window) RecordResponse(now time.Time, latency time.Duration, inProgress int) {
	w.ensureSize()
	w.recordLatency(now, float64(max(latency, minLatency)))
	gradient := min(max(latencyTolerance*w.baseline/w.meanLatency, 0.5), 1)
	if gradient == 1 && float64(inProgress) < w.size/2 {
		w.setSize(max(w.size-windowDecay, min(w.size, minUnusedWindow)))
		return
	}
	w.setSize(w.size + gradient - 1 + windowGrowth/w.size)
}

func (w *Window) recordLatency(now time.Time, latency float64) {
	if w.meanLatency == 0 {
		w.meanLatency, w.baseline, w.updatedAt = latency, latency, now
		return
	}
	w.meanLatency += latencyWeight * (latency - w.meanLatency)
	w.baseline *= 1 + baselineDrift*now.Sub(w.updatedAt).Seconds()
	w.baseline = min(w.baseline, w.meanLatency)
	w.updatedAt = now
}

// RecordOverload records that the upstream refused a request for overload.
func (w *Window) RecordOverload() {
	w.ensureSize()
	w.setSize(w.size * overloadFactor)
}

func (w *Window) ensureSize() {
	if w.size == 0 {
		w.size = initialWindow
	}
}

func (w *Window) setSize(size float64) { w.size = min(max(size, 1), maxWindow) }

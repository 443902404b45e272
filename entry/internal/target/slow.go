package target

import (
	"time"

	"go.uber.org/zap"
)

const (
	// slowRatio is the ratio of the time to a first event to its prediction from which an engine is
	// considered slow, recoveredRatio the one up to which it no longer is. At an engine of normal pace
	// the ratio is up to about 1.3, if a prompt arrives when a step has just begun.
	slowRatio      = 1.8
	recoveredRatio = 1.4
	// minSlowExcess is the least excess over the prediction from which an engine is considered slow. Delays
	// of the network and of a busy entry are below it.
	minSlowExcess = 50 * time.Millisecond
	// maxSlowPace bounds the pace that is concluded from the first event by which an engine is considered
	// slow. Larger ratios are due to queues.
	maxSlowPace = 3
	// maxStatusAge is the age that the status in a load report can have when it arrives.
	maxStatusAge = 400 * time.Millisecond
)

// slowness is the pace of an engine as concluded from the first events of this entry's requests. It ends
// only with a faster first event, or with a load report that states the normal pace and is based on a
// later status.
type slowness struct {
	// pace is above 1 while the engine is considered slow, or zero.
	pace float64
	// since is when the first event arrived that gave the pace.
	since time.Time
}

// recordPace compares the time to a first event with its prediction for the normal pace. The caller
// holds the mutex.
func (f *Fleet) recordPace(now time.Time, r *InFlight) {
	u := r.upstream
	if !u.even.active || r.Predicted <= 0 {
		return
	}
	took := now.Sub(r.startedAt)
	if f.isRemote(u) {
		took -= crossRegionCost
	}
	ratio := float64(took) / float64(r.Predicted) * max(r.pace, 1)
	isLater := !r.startedAt.Before(u.slowness.since)
	switch {
	case ratio >= slowRatio && took-r.Predicted >= minSlowExcess:
		if u.slowness.pace == 0 {
			f.options.Log.Debug("upstream-slow", zap.String("upstream", u.row.ID), zap.Float64("pace", ratio))
		}
		u.slowness = slowness{pace: min(ratio, maxSlowPace), since: now}
	case ratio <= recoveredRatio && isLater:
		u.slowness = slowness{}
	case u.slowness.pace > 0 && isLater:
		u.slowness.pace = min(ratio, maxSlowPace)
	}
}

// factor returns the factor by which a prediction that is based on the given pace grows. It is used only
// to compare engines, not to admit requests, since all engines seem slow if the entry itself is.
func (s *slowness) factor(pace float64) float64 { return max(s.pace/max(pace, 1), 1) }

// applyReport ends the slowness if a load report says that it is over.
func (s *slowness) applyReport(now time.Time, pace float64) {
	if pace <= 1 && now.Sub(s.since) > maxStatusAge {
		*s = slowness{}
	}
}

package target

import (
	"time"

	"go.uber.org/zap"
)

const (
	// slowRatio is the ratio of the time to a first event to its prediction at which an engine is
	// considered slow, soundRatio the one at which it no longer is. Predictions of sound engines are
	// exceeded by half a pass, about a third, when a prompt arrives at the wrong moment.
	slowRatio  = 1.8
	soundRatio = 1.4
	// minSlowExcess is how much longer than predicted a first event of a slow engine takes at least. Delays of
	// the network and of a busy entry are below it.
	minSlowExcess = 50 * time.Millisecond
	// maxSlowPace bounds the pace that is concluded from a first event. The longest times are those of queues.
	maxSlowPace = 3
	// maxStatusAge is the age that the status in a load report can have when it arrives.
	maxStatusAge = 400 * time.Millisecond
)

// slowness is what the first events of this entry's requests say about an engine's pace. It ends with
// evidence only: a faster first event, or a load report that states the normal pace and is based on a later
// status.
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
	case ratio <= soundRatio && isLater:
		u.slowness = slowness{}
	case u.slowness.pace > 0 && isLater:
		u.slowness.pace = ratio
	}
}

// factor returns the factor by which a prediction that is based on the given pace grows. It is for
// the comparison of engines only: if all seem slow because the entry itself is, none is refused for it.
func (s *slowness) factor(pace float64) float64 { return max(s.pace/max(pace, 1), 1) }

// applyReport ends the slowness if a load report says that it is over.
func (s *slowness) applyReport(now time.Time, pace float64) {
	if pace <= 1 && now.Sub(s.since) > maxStatusAge {
		*s = slowness{}
	}
}

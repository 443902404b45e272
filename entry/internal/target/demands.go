package target

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

const (
	// maxHold bounds how long an upstream may keep this entry away, so that a wrong value
	// doesn't take it out of use for good.
	maxHold = 10 * time.Minute
	// announceTime is how long an entry repeats that an upstream is leaving. Messages may be
	// lost.
	announceTime = 2 * time.Second
	// maxAnnouncedLeaving bounds the upstreams in a message that others are told of.
	maxAnnouncedLeaving = 64
	// maxDeparted is the number of upstreams that are listed no more of which the demands are kept,
	// above the size of a fleet.
	maxDeparted = 16384
	// heldElsewhereCost is how much earlier an engine must be expected to respond to be chosen
	// that wants no requests from another entry. It is probably overloaded.
	heldElsewhereCost = 250 * time.Millisecond
	// plainHeldElsewhereCost is the same for a plain service, in requests in progress.
	plainHeldElsewhereCost = 5
)

// demands is what one process of an upstream has asked of this entry. They end with the process.
type demands struct {
	// leaving is set once the upstream has said that it is shutting down.
	leaving   bool
	leavingAt time.Time
	// announcements is the number of messages that have told others of it.
	announcements int
	// heldUntil is the time until which the upstream wants no requests.
	heldUntil time.Time
	// closedAt is when the last load report arrived if it said that the engine is closed, else zero.
	closedAt time.Time
	// isSilenceLogged is set once the log says that no load report has followed that one in time.
	isSilenceLogged bool
	// limit is the limit that it has named, or nil if it never named one.
	limit *limitState
	// invalid is the last value of each kind that couldn't be read.
	invalid map[string]string
}

// isHeld reports whether the upstream wants no requests from this entry now.
func (d demands) isHeld(now time.Time) bool { return now.Before(d.heldUntil) }

// isClosed reports whether the engine accepts no requests, as far as is known. That outlasts the load report,
// since the row names a version once it is loaded, whether or not the agent found its pieces valid.
func (d demands) isClosed(now time.Time) bool {
	return !d.closedAt.IsZero() && now.Sub(d.closedAt) < closedTTL
}

// recordClosed records whether a load report says that the engine is closed.
func (u *upstream) recordClosed(now time.Time, isClosed bool) {
	u.demands.closedAt, u.demands.isSilenceLogged = time.Time{}, false
	if isClosed {
		u.demands.closedAt = now
	}
}

// closedSilence returns how long the agent of a closed engine has sent no load report, or zero if the last one is
// valid.
func (u *upstream) closedSilence(now time.Time) time.Duration {
	if !u.demands.isClosed(now) || u.hasReport(now) {
		return 0
	}
	return now.Sub(u.demands.closedAt)
}

// logClosedSilence logs once that an engine gets no requests because its agent fell silent while it was closed.
func (f *Fleet) logClosedSilence(now time.Time, u *upstream) {
	if silence := u.closedSilence(now); silence > 0 && !u.demands.isSilenceLogged {
		u.demands.isSilenceLogged = true
		f.options.Log.Warn("engine-closed-silent", zap.String("upstream", u.row.ID), zap.Duration("silence", silence),
			zap.Duration("left", closedTTL-silence))
	}
}

// processKey identifies one start of an upstream's process.
type processKey struct {
	id      string
	address netip.AddrPort
	started int64
}

func processOf(u *state.Upstream) processKey {
	return processKey{id: u.ID, address: u.Address, started: u.Started.UnixMicro()}
}

// keepDemands keeps the demands of an upstream that was removed. The caller holds the mutex.
func (f *Fleet) keepDemands(now time.Time, u *upstream) {
	if u.demands.leaving || u.demands.isHeld(now) || u.demands.isClosed(now) || u.demands.limit != nil {
		f.departed.Put(processOf(u.row), u.demands)
	}
}

// takeDemands returns and forgets the demands of an upstream that is listed again. The caller holds
// the mutex.
func (f *Fleet) takeDemands(row *state.Upstream) demands {
	k := processOf(row)
	d, _ := f.departed.Get(k)
	f.departed.Delete(k)
	return d
}

// RecordLeaving records that the upstream has said in a response that it is shutting down. It
// gets no new requests; those in progress run on. It reports whether this wasn't known.
func (r *InFlight) RecordLeaving(now time.Time) bool {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	return r.fleet.recordLeaving(now, r.upstream, "response")
}

// IsLeaving reports whether an upstream has said that it is shutting down.
func (f *Fleet) IsLeaving(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstreams[id]
	return u != nil && u.demands.leaving
}

// recordLeaving marks the upstream. Source says who told, for the log. The caller holds the mutex.
func (f *Fleet) recordLeaving(now time.Time, u *upstream, source string) bool {
	if u.demands.leaving {
		return false
	}
	u.demands.leaving, u.demands.leavingAt = true, now
	f.options.Log.Info("upstream-leaving", zap.String("upstream", u.row.ID), zap.Time("started", u.row.Started),
		zap.String("told", source), zap.Int("running", u.running))
	return true
}

// Hold records that the upstream wants no requests from this entry for the given time.
func (r *InFlight) Hold(now time.Time, d time.Duration) {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	u := r.upstream
	bounded := min(d, maxHold)
	if until := now.Add(bounded); until.After(u.demands.heldUntil) {
		u.demands.heldUntil = until
	}
	r.fleet.options.Log.Info("upstream-held", zap.String("upstream", u.row.ID), zap.Duration("asked", d), zap.Duration("held", bounded))
}

// SoonestHold returns the time until an upstream that only a hold keeps from the request takes
// requests again, or zero if there is none. Upstreams that are leaving, outside the homes of the
// request or evacuated never do.
func (f *Fleet) SoonestHold(now time.Time, reqs Requirements) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	soonest := time.Duration(0)
	for _, u := range f.pools[reqs.Pool.Name] {
		if f.commonExclusion(now, u, reqs) != ExclusionHeld {
			continue
		}
		if left := u.demands.heldUntil.Sub(now); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// LeavingUpstream is one process of an upstream that is shutting down.
type LeavingUpstream struct {
	ID      string
	Started time.Time
}

// AnnouncedLeaving returns the upstreams that have lately said that they are shutting down, for one
// message. If there are more than maxAnnouncedLeaving, these are the ones announced least often.
func (f *Fleet) AnnouncedLeaving(now time.Time) []LeavingUpstream {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var lately []*upstream
	for _, u := range f.upstreams {
		if u.demands.leaving && now.Sub(u.demands.leavingAt) < announceTime {
			lately = append(lately, u)
		}
	}
	if len(lately) > maxAnnouncedLeaving {
		slices.SortFunc(lately, func(a, b *upstream) int { return cmp.Compare(a.demands.announcements, b.demands.announcements) })
		lately = lately[:maxAnnouncedLeaving]
	}
	var all []LeavingUpstream
	for _, u := range lately {
		u.demands.announcements++
		all = append(all, LeavingUpstream{ID: u.row.ID, Started: u.row.Started})
	}
	return all
}

// ReceiveLeaving records what another entry has learned.
func (f *Fleet) ReceiveLeaving(now time.Time, from hosts.Name, all []LeavingUpstream) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, l := range all {
		if u := f.upstreams[l.ID]; u != nil && u.row.Started.Equal(l.Started) {
			f.recordLeaving(now, u, string(from))
		}
	}
}

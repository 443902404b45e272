package swarm

import (
	"math/rand/v2"
	"time"

	"currantport.example/core/tables"
)

const (
	// sourceWindow is the number of pieces that a host brings at once.
	sourceWindow = 2
	// aheadOrigin and aheadTime are how far beyond the frontier pieces are due.
	aheadOrigin = 6
	aheadTime   = 12
	// takeoverTime and takeoverOrigin are the wait of each rank for the one
	// before it.
	takeoverTime   = 4 * time.Second
	takeoverOrigin = 12 * time.Second
	// patience bounds how often a live earlier rank may put a later one off.
	patience = 8
	// outsideWait is how long a region waits for a piece from other regions
	// before it brings it from the source.
	outsideWait = 15 * time.Second
	// extraShare bounds what FavorTime brings twice, as a share of a copy.
	extraShare = 0.12

	graceTime   = 300 * time.Millisecond
	graceOrigin = 2 * time.Second
	// settleOrigin is for how long a host listens on after the first report, which
	// may come from one that has just started too.
	settleOrigin = 500 * time.Millisecond

	sourceRetry    = 500 * time.Millisecond
	sourceRetryMax = 15 * time.Second
	sourceDeadline = 40 * time.Second
)

// source is what a host knows of the store or the origin.
type source struct {
	running int
	// until is when the source may be asked again.
	until time.Time
	// failures counts failures since the last success, refusals not included.
	failures int
	refusals int
	// extra is the number of pieces brought although others might send them.
	extra int
}

func (s *source) succeed() {
	s.failures, s.refusals = 0, 0
	s.until = time.Time{}
}

func (s *source) fail(now time.Time, c Cause, wait time.Duration, r *rand.Rand) {
	count := &s.failures
	if c == CauseRefused {
		count = &s.refusals
	}
	*count++
	back := min(sourceRetry<<min(*count, 6), sourceRetryMax)
	until := now.Add(max(wait, back/2) + time.Duration(r.Int64N(int64(back))))
	if until.After(s.until) {
		s.until = until
	}
}

func (s *Scheduler) takeover() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return takeoverOrigin
	}
	return takeoverTime
}

// markDue notes the pieces that became due. A piece that the fleet has passed
// before this host heard of it is likely to be held by some, and due later. A
// host that has been at it for long has only heard late, and doesn't wait.
func (s *Scheduler) markDue(now time.Time) {
	ahead := aheadTime
	if s.options.Favor == tables.FavorOrigin {
		ahead = aheadOrigin
	}
	if s.started.IsZero() {
		s.started = now
	}
	if now.Sub(s.started) < s.grace() && (s.heard.IsZero() || now.Sub(s.heard) < s.settling()) {
		return
	}
	most := min(s.frontier+ahead, len(s.states))
	s.stale = s.stale || s.marked < most && !s.able.IsZero()
	late := s.marked == 0 || s.frontier-s.marked > ahead && now.Sub(s.started) < s.takeover()
	for ; s.marked < most; s.marked++ {
		due := now
		if late && s.marked < s.frontier {
			due = now.Add(s.takeover())
		}
		s.states[s.marked].due = due
	}
}

// grace is how long a host that starts listens to its neighbours before it
// brings pieces, since the fleet may hold them already.
func (s *Scheduler) grace() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return graceOrigin
	}
	return graceTime
}

// settling is how long a host that has heard of the version waits to hear how far
// the fleet has come.
func (s *Scheduler) settling() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return settleOrigin
	}
	return 0
}

// bring fetches due pieces from the source.
func (s *Scheduler) bring(now time.Time) {
	if now.Before(s.source.until) {
		return
	}
	for i := 0; i < min(len(s.states), s.frontier+aheadTime) && s.source.running < sourceWindow; i++ {
		st := &s.states[i]
		if s.held.Has(i) || s.asked.Has(i) || st.due.IsZero() || st.count > 0 {
			continue
		}
		if s.mayBring(now, i) {
			s.begin(now, "", i, false)
			if s.source.failures > 0 {
				return
			}
		}
	}
}

// mayBring reports whether it is for this host to read the piece from the
// source now.
func (s *Scheduler) mayBring(now time.Time, i int) bool {
	st := &s.states[i]
	if s.farHolder(i) {
		return false
	}
	if !st.home && s.farFlows(now) {
		return false
	}
	return st.ranking.own >= 0 && s.isTurn(now, st, st.opened())
}

// farFlows reports whether pieces come from other regions, so that a late one
// may wait for a link that is full.
func (s *Scheduler) farFlows(now time.Time) bool {
	for _, c := range s.pacers {
		if c.flows(now, outsideWait) {
			return true
		}
	}
	return false
}

// opened is when it is for the first rank of the own region to read the piece
// from the source: later where another region should do so, and later still
// while that one is known to be at it.
func (st *state) opened() time.Time {
	if st.home {
		return st.due
	}
	wait := st.due.Add(outsideWait * time.Duration(st.place))
	if st.told.IsZero() || st.calls > mostCalls {
		return wait
	}
	return later(wait, st.told.Add(outsideWait))
}

// isTurn reports whether the earlier ranks have been found unable.
func (s *Scheduler) isTurn(now time.Time, st *state, since time.Time) bool {
	if now.Before(since) {
		return false
	}
	own := st.ranking.own
	return own == 0 || now.Sub(since) > time.Duration(min(own+1, 4*topRanks))*patience*s.takeover()
}

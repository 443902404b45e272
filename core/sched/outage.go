package sched

import (
	"maps"
	"math"
	"time"

	"currantport.example/core/hosts"
)

const (
	// probeWindow is the number of pieces that are requested while the origin doesn't respond.
	// Two pieces usually rank different processes first, one of which may be gone.
	probeWindow = 2
	// maxWindow is the maximum number of pieces that all processes together request after an
	// outage, for small pieces and where the time of a piece isn't known.
	maxWindow = 32
	// probeBackoff is the mean time between two probes of the first rank.
	probeBackoff = 150 * time.Millisecond
	// silenceTimeout is the time without a newly discovered piece, while pieces are due, after
	// which the origin counts as unavailable for a process that has sent it no request. Slow
	// links extend it to silencePieceTimes transfer times.
	silenceTimeout    = time.Second
	silencePieceTimes = 6
	// reportDelay is the assumed time until a piece that has arrived is known to all processes
	// that wait for it. The pieces requested ahead keep the link busy for it.
	reportDelay = 200 * time.Millisecond
	// takeoverWindows is the number of transfer times of a window for which each rank waits for
	// the one before it after an outage.
	takeoverWindows = 2
	// maxDueWindows is the number of windows of pieces that may be due at a time. A link that is
	// further behind is slower than stated, and requests for all of them would time out.
	maxDueWindows = 2
	// maxCorruptPieces is the number of consecutive corrupt pieces after which the origin counts
	// as unavailable.
	maxCorruptPieces = 3
	// rankOffset divides the growth of frontDelay, so that the first ranks wait for about as long
	// as in other takeovers.
	rankOffset = 3
	// reportedTogether and reportInterval are the number of processes that get a report and the
	// interval of the reports without news. They are maxRecipients and maxReportInterval of
	// package gather.
	reportedTogether = 32
	reportInterval   = 300 * time.Millisecond
	// suspectedOutage is the time without a discovery after which a newly discovered piece ends
	// the backoff of the origin.
	suspectedOutage = 500 * time.Millisecond
)

// outage is what a process knows of an outage of the origin during the fetch.
type outage struct {
	// windowed is set once pieces are requested by the window: from the first outage on, or after
	// the link was found slower than stated. It stays set until the end of the fetch.
	windowed bool
	// current is set while the origin is unavailable.
	current bool
	// frontSince holds the time since which each piece is within the window.
	frontSince []time.Time
	// silent holds the entries that have no rank, withoutEntries is set if nothing was heard from
	// any entry, and checkedAt is when this was last checked.
	silent         map[hosts.Name]bool
	withoutEntries bool
	checkedAt      time.Time
	// discoveryInterval is the smoothed time between two pieces that were discovered, as an
	// estimate of the transfer time of a piece on the origin's link.
	discoveryInterval time.Duration
	// timeouts counts the requests of this process to the origin that have timed out in a row.
	timeouts int
	// corrupt counts the corrupt pieces from the origin since the last valid one.
	corrupt int
}

// beginOutage records that the origin is unavailable.
func (s *Scheduler) beginOutage() {
	s.outage.windowed, s.outage.current = true, true
	if s.outage.frontSince == nil {
		s.outage.frontSince = make([]time.Time, len(s.pieces))
	}
}

// endOutage records that a piece was discovered now, for the first time since the previous one.
func (s *Scheduler) endOutage(now, previous time.Time) {
	if !s.outage.current {
		return
	}
	s.outage.current, s.outage.timeouts = false, 0
	if now.Sub(previous) >= suspectedOutage {
		s.originFailures, s.originAvailableAt = 0, time.Time{}
		clear(s.outage.frontSince)
	}
}

// detectOutage recognizes without a request of this process that the origin is unavailable or
// slower than stated, by the pieces that are due and that no process is known to hold.
func (s *Scheduler) detectOutage(now time.Time) {
	if s.outage.current {
		return
	}
	late, timeout := time.Duration(0), max(silenceTimeout, silencePieceTimes*s.linkPieceTime())
	due, early := 0, 0
	for i, known := range s.discovered {
		known = known || s.pieces[i].held
		switch since := now.Sub(s.dueAt(i, s.startedAt)); {
		case known && since < 0:
			early++
		case !known && since >= 0:
			late = max(late, since)
			due++
		}
	}
	switch {
	case late >= timeout && now.Sub(s.lastDiscovery) >= timeout:
		s.beginOutage()
	case !s.outage.windowed && s.options.OriginRate > 0 && (due > maxDueWindows*s.frontWindow() || early > s.frontWindow()):
		// The link is slower than stated, or this process has started late.
		s.beginOutage()
		s.outage.current = false
	}
}

// OriginUnavailable reports whether the origin counts as unavailable.
func (s *Scheduler) OriginUnavailable() bool { return s.outage.current }

// isUnheld reports whether no process is known to hold a piece.
func (s *Scheduler) isUnheld(now time.Time, i int) bool {
	p := &s.pieces[i]
	return !p.held && p.localHolders == 0 && !s.hasRemoteHolder(now, i)
}

// linkPieceTime returns the time in which the link of the origin transmits a piece: as stated, or
// as observed if that is longer. It is zero if neither is known.
func (s *Scheduler) linkPieceTime() time.Duration {
	if s.options.OriginRate <= 0 || len(s.pieces) == 0 {
		return s.outage.discoveryInterval
	}
	stated := time.Duration(float64(s.options.Pieces[0].Size) / s.options.OriginRate * float64(time.Second))
	return max(stated, s.outage.discoveryInterval)
}

// recordDiscovery updates the observed time of a piece on the origin's link. It is smoothed, since the
// takeover of a dead process leaves a single gap and a report may bring several pieces at a time.
func (s *Scheduler) recordDiscovery(now time.Time) {
	const weight, maxGrowth = 8, 4
	if !s.outage.current {
		interval := min(now.Sub(s.lastDiscovery), max(maxGrowth*s.linkPieceTime(), initialPieceTime))
		s.outage.discoveryInterval += (interval - s.outage.discoveryInterval) / weight
	}
}

// frontWindow returns the number of pieces that all processes together request at a time.
func (s *Scheduler) frontWindow() int {
	if s.outage.current {
		return probeWindow
	}
	if took := s.linkPieceTime(); took > 0 {
		return min(probeWindow+int(math.Ceil(float64(reportDelay)/float64(took))), maxWindow)
	}
	return maxWindow
}

// originTakeoverDelay returns the time for which each rank waits for the one before it. It is at least
// as long as the link of the origin needs for the pieces that are due. With a shorter one, a link that
// was 0.1 s behind was given pieces twice, which delayed the others in turn.
func (s *Scheduler) originTakeoverDelay(now time.Time) time.Duration {
	due := 0
	for i, known := range s.discovered {
		if now.Before(s.dueAt(i, s.startedAt)) {
			break
		}
		if !known && !s.pieces[i].held {
			due++
		}
	}
	return max(s.takeoverDelay(), takeoverWindows*time.Duration(due)*s.linkPieceTime())
}

// fetchFront requests those of the next pieces from the origin for which the turn of this
// process has come.
func (s *Scheduler) fetchFront(now time.Time) {
	s.updateSilent(now)
	window := s.frontWindow()
	delay := max(s.takeoverDelay(), takeoverWindows*time.Duration(window)*s.linkPieceTime())
	for i := range s.pieces {
		if s.originRequests >= originWindow || window == 0 {
			return
		}
		if !s.isUnheld(now, i) {
			continue
		}
		window--
		p, since := &s.pieces[i], &s.outage.frontSince[i]
		if since.IsZero() {
			*since = now
		}
		rank, ok := s.frontRank(i)
		if ok && len(p.requests) == 0 && !now.Before(s.frontBase(i, rank).Add(frontDelay(rank, delay))) {
			s.startRequest(now, nil, i)
		}
	}
}

// cancelRepeated cancels the requests to the origin for pieces that another process is known to hold.
func (s *Scheduler) cancelRepeated(now time.Time) {
	for i := range s.pieces {
		if !s.pieces[i].held && s.isRequested(i, "") && !s.isUnheld(now, i) {
			s.removeRequest("", i)
			s.emit(Action{Kind: KindCancel, Piece: i})
		}
	}
}

// frontRank returns the rank of this process for one of the next pieces, or false if it mustn't
// request it.
func (s *Scheduler) frontRank(i int) (int, bool) {
	rank := s.pieces[i].originRank
	if s.outage.current && s.options.Self.Role != hosts.RoleEntry {
		rank = s.pieces[i].agentRank
		if !s.outage.withoutEntries {
			return 0, false
		}
	}
	return rank, rank >= 0
}

// frontDelay returns the time for which a rank waits. It grows with the square of the rank: several
// ranks in a row are seldom dead, and a slow origin would get a request for the piece from each.
func frontDelay(rank int, delay time.Duration) time.Duration {
	return time.Duration(rank) * time.Duration(rank+rankOffset) * delay / (rankOffset + 1)
}

// frontBase returns the time from which the takeover delays of one of the next pieces count.
func (s *Scheduler) frontBase(i, rank int) time.Time {
	if rank == 0 {
		return s.originAvailableAt
	}
	base := later(s.outage.frontSince[i], s.originAvailableAt)
	if p := s.peers[s.pieces[i].predecessor]; p != nil && rank == 1 {
		base = later(base, p.lastProgress)
	}
	return base
}

// updateSilent updates which entries have no rank because nothing was heard from them for as long
// as their reports take in turn.
func (s *Scheduler) updateSilent(now time.Time) {
	if now.Before(s.outage.checkedAt.Add(silenceTimeout / 2)) {
		return
	}
	s.outage.checkedAt = now
	timeout := silenceTimeout + time.Duration(len(s.members)/reportedTogether)*reportInterval
	silent, heard := make(map[hosts.Name]bool), false
	for _, h := range s.members {
		if h.Role != hosts.RoleEntry || h.Name == s.options.Self.Name {
			continue
		}
		if p := s.peers[h.Name]; p == nil && now.Sub(s.startedAt) >= timeout || p != nil && now.Sub(p.heardAt) >= timeout {
			silent[h.Name] = true
		} else {
			heard = true
		}
	}
	// An agent doesn't hear from the entries of other regions, so that it can't tell which of
	// them fetch the version.
	s.outage.withoutEntries = !heard
	if s.options.Self.Role != hosts.RoleEntry {
		silent = nil
	}
	if !maps.Equal(silent, s.outage.silent) {
		s.outage.silent = silent
		s.computeRanks()
	}
}

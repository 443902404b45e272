package sched

import (
	"math"
	"time"
)

// # After an outage of the origin
//
// While the origin doesn't respond, only the first probeWindow pieces that no process is known
// to hold are requested, by their ranks in turn. The probes of rank r come about every
// probeBackoff + r takeover delays, so that their number grows with the logarithm of the number
// of processes. The first piece that arrives ends the outage for all processes that receive the
// holdings. From then on the first frontWindow pieces that no process is known to hold are
// requested, each by its first rank: together they keep the link of the origin busy, and each
// arrives soon, where requests for all missing pieces would share the link and time out.

const (
	// probeWindow is the number of pieces that are requested while the origin doesn't respond.
	// Two pieces usually rank different processes first, one of which may be gone.
	probeWindow = 2
	// probeBackoff is the mean time between two probes of the first rank.
	probeBackoff = 200 * time.Millisecond
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
	// maxCorruptPieces is the number of consecutive corrupt pieces after which the origin counts
	// as unavailable.
	maxCorruptPieces = 3
	// suspectedOutage is the time without a discovery after which a newly discovered piece ends
	// the backoff of the origin.
	suspectedOutage = 500 * time.Millisecond
)

// outage is what a process knows of an outage of the origin during the fetch.
type outage struct {
	// met is set once the origin was unavailable.
	met bool
	// current is set while it is.
	current bool
	// frontSince holds the time since which each piece is one of those to request next.
	frontSince []time.Time
	// corrupt counts the corrupt pieces from the origin since the last valid one.
	corrupt int
}

// beginOutage records that the origin is unavailable.
func (s *Scheduler) beginOutage() {
	s.outage.met, s.outage.current = true, true
	if s.outage.frontSince == nil {
		s.outage.frontSince = make([]time.Time, len(s.pieces))
	}
}

// endOutage records that a piece was discovered for the first time since the given time.
func (s *Scheduler) endOutage(now, previous time.Time) {
	if !s.outage.current {
		return
	}
	s.outage.current = false
	if now.Sub(previous) >= suspectedOutage {
		s.originFailures, s.originAvailableAt = 0, time.Time{}
		clear(s.outage.frontSince)
	}
}

// detectSilence begins an outage if pieces are due and none is discovered.
func (s *Scheduler) detectSilence(now time.Time) {
	if s.outage.current {
		return
	}
	timeout := max(silenceTimeout, silencePieceTimes*s.linkPieceTime())
	if now.Sub(s.lastDiscovery) < timeout {
		return
	}
	for i, known := range s.discovered {
		if !known && !s.pieces[i].held {
			if now.Sub(s.dueAt(i, s.startedAt)) >= timeout {
				s.beginOutage()
			}
			return
		}
	}
}

// isUnheld reports whether no process is known to hold a piece.
func (s *Scheduler) isUnheld(now time.Time, i int) bool {
	p := &s.pieces[i]
	return !p.held && p.localHolders == 0 && !s.hasRemoteHolder(now, i)
}

// linkPieceTime returns the time in which the link of the origin transmits a piece.
func (s *Scheduler) linkPieceTime() time.Duration {
	if s.options.OriginRate <= 0 || len(s.pieces) == 0 {
		return s.originPieceTime
	}
	return time.Duration(float64(s.options.Pieces[0].Size) / s.options.OriginRate * float64(time.Second))
}

// frontWindow returns the number of pieces that all processes together request at a time.
func (s *Scheduler) frontWindow() int {
	took := s.linkPieceTime()
	if s.outage.current || took <= 0 {
		return probeWindow
	}
	return probeWindow + int(math.Ceil(float64(reportDelay)/float64(took)))
}

// fetchFront requests those of the next pieces from the origin for which the turn of this
// process has come.
func (s *Scheduler) fetchFront(now time.Time) {
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
		if len(p.requests) == 0 && p.originRank >= 0 && !now.Before(s.frontBase(i).Add(time.Duration(p.originRank)*delay)) {
			s.startRequest(now, nil, i)
		}
	}
}

// frontBase returns the time from which the takeover delays of one of the next pieces count.
func (s *Scheduler) frontBase(i int) time.Time {
	if s.pieces[i].originRank == 0 {
		return s.originAvailableAt
	}
	base := later(s.outage.frontSince[i], s.originAvailableAt)
	if p := s.peers[s.pieces[i].predecessor]; p != nil && s.pieces[i].originRank == 1 {
		base = later(base, p.lastProgress)
	}
	return base
}

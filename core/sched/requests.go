package sched

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// expireRequests cancels requests that have timed out.
func (s *Scheduler) expireRequests(now time.Time) {
	for i := range s.pieces {
		for _, r := range slices.Clone(s.pieces[i].requests) {
			timeout := max(minPeerTimeout, timeoutPieceTimes*s.expectedPieceTime())
			if r.peer == "" {
				timeout = s.originTimeout()
			}
			if now.Sub(r.startedAt) >= timeout {
				if r.peer == "" {
					s.outage.timeouts++
				}
				s.emit(Action{Kind: KindCancel, Peer: r.peer, Piece: i})
				s.RecordFailure(now, r.peer, i, CauseUnavailable)
			}
		}
	}
}

// originTimeout returns the timeout of a request to the origin. It is short, so that a
// request which the origin received during an outage doesn't delay the piece after it has
// recovered.
func (s *Scheduler) originTimeout() time.Duration {
	shared := takeoverWindows * time.Duration(s.frontWindow()) * s.linkPieceTime()
	if s.originPieceTime == 0 {
		return max(initialOriginTimeout<<min(s.outage.timeouts, maxOriginDoublings), shared)
	}
	return max(minOriginTimeout, timeoutPieceTimes*s.originPieceTime, shared)
}

// dueAt returns the time at which a piece is due from the origin if its link is free from
// the given time on.
func (s *Scheduler) dueAt(i int, from time.Time) time.Time {
	if s.options.OriginRate <= 0 {
		return from
	}
	return from.Add(time.Duration(float64(i) * float64(s.options.Pieces[i].Size) / s.options.OriginRate * float64(time.Second)))
}

// originBase returns the time from which the takeover delays of a piece count. For the
// first rank it is the time at which the piece is due since the release, so that a fetch
// that started late catches up. For the second rank it is not before the last piece that
// the first rank received, and for later ranks not before the last piece that was first
// seen at any process. For all ranks it is not before the end of the backoff after a
// failure of their own.
func (s *Scheduler) originBase(i int) time.Time {
	due := later(s.dueAt(i, s.startedAt), s.originAvailableAt)
	switch s.pieces[i].originRank {
	case 0:
		if r := s.options.ReleasedAt; !r.IsZero() {
			return later(s.dueAt(i, r), s.originAvailableAt)
		}
		return due
	case 1:
		if p := s.peers[s.pieces[i].predecessor]; p != nil {
			due = later(due, p.lastProgress)
		}
		return due
	}
	return later(due, s.lastDiscovery)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fetchFromOrigin requests the pieces from the origin for which the turn of this process
// has come.
func (s *Scheduler) fetchFromOrigin(now time.Time) {
	if s.outage.windowed {
		s.cancelRepeated(now)
	}
	if now.Before(s.originAvailableAt) {
		return
	}
	if s.outage.windowed {
		s.fetchFront(now)
		return
	}
	delay := s.originTakeoverDelay(now)
	for i := range s.pieces {
		p := &s.pieces[i]
		if s.originRequests >= originWindow {
			return
		}
		if p.held || len(p.requests) > 0 || p.originRank < 0 || p.localHolders > 0 || s.hasRemoteHolder(now, i) {
			continue
		}
		if !now.Before(s.originBase(i).Add(time.Duration(p.originRank) * delay)) {
			s.startRequest(now, nil, i)
		}
	}
}

// hasRemoteHolder reports whether a peer of another region holds the piece and is out of
// its backoff.
func (s *Scheduler) hasRemoteHolder(now time.Time, i int) bool {
	if s.pieces[i].remoteSince.IsZero() {
		return false
	}
	for _, p := range s.peers {
		if !p.local && p.held != nil && p.held[i] && !now.Before(p.availableAt) {
			return true
		}
	}
	return false
}

// fetchFromRemote requests the pieces from other regions for which the turn of this process
// has come.
func (s *Scheduler) fetchFromRemote(now time.Time) {
	for i := range s.pieces {
		p := &s.pieces[i]
		if s.remoteRequests >= remoteWindow {
			return
		}
		if p.held || len(p.requests) > 0 || p.localHolders > 0 || p.remoteSince.IsZero() || p.regionRank < 0 {
			continue
		}
		if now.Before(p.remoteSince.Add(time.Duration(p.regionRank) * s.takeoverDelay())) {
			continue
		}
		if best := s.cheapestPeer(now, i, false); best != nil {
			s.startRequest(now, best, i)
		}
	}
}

// fetchFromLocal fills the request window with pieces that peers of the same region hold,
// the rarest first.
func (s *Scheduler) fetchFromLocal(now time.Time) {
	for s.localRequests < s.requestWindow() {
		best := -1
		var from *peer
		for i := range s.pieces {
			p := &s.pieces[i]
			if p.held || len(p.requests) > 0 || p.localHolders == 0 || best >= 0 && !s.isRarer(i, best) {
				continue
			}
			if f := s.cheapestPeer(now, i, true); f != nil && s.mayRequest(now, i, f) {
				best, from = i, f
			}
		}
		if best < 0 {
			return
		}
		s.startRequest(now, from, best)
	}
}

func (s *Scheduler) requestWindow() int {
	if s.options.Self.Role == hosts.RoleEntry {
		return entryWindow
	}
	return agentWindow
}

// mayRequest reports whether this process may request the piece from the peer now. Only one
// entry of a region fetches a piece from an agent; it forwards the piece to the other
// entries.
func (s *Scheduler) mayRequest(now time.Time, i int, p *peer) bool {
	if s.options.Self.Role != hosts.RoleEntry || p.host.Role == hosts.RoleEntry {
		return true
	}
	return !now.Before(s.startedAt.Add(time.Duration(s.pieces[i].regionRank) * s.takeoverDelay()))
}

// isRarer reports whether piece a is requested before piece b.
func (s *Scheduler) isRarer(a, b int) bool {
	x, y := &s.pieces[a], &s.pieces[b]
	if x.localHolders != y.localHolders {
		return x.localHolders < y.localHolders
	}
	return x.tiebreak < y.tiebreak
}

// cheapestPeer returns the peer that is expected to send the piece first, or nil.
func (s *Scheduler) cheapestPeer(now time.Time, i int, local bool) *peer {
	var best *peer
	lowest := 0.0
	for _, h := range s.members {
		p := s.peers[h.Name]
		if p == nil || p.local != local || p.held == nil || !p.held[i] || now.Before(p.availableAt) || s.isRequested(i, p.host.Name) {
			continue
		}
		took := p.pieceTime
		if took == 0 {
			took = s.expectedPieceTime()
		}
		cost := float64(took) * float64(2*p.requests+p.queue+1) * (1 + s.random.Float64()/2)
		if p.host.Role != hosts.RoleEntry {
			cost *= agentCostFactor
		}
		if best == nil || cost < lowest {
			best, lowest = p, cost
		}
	}
	return best
}

func (s *Scheduler) isRequested(i int, name hosts.Name) bool {
	return slices.ContainsFunc(s.pieces[i].requests, func(r request) bool { return r.peer == name })
}

// duplicateLate requests one of the last pieces from a second peer if it is late.
func (s *Scheduler) duplicateLate(now time.Time) {
	if s.missing > endgamePieces || s.localRequests > s.requestWindow() {
		return
	}
	for i := range s.pieces {
		p := &s.pieces[i]
		if p.held || len(p.requests) != 1 || p.requests[0].peer == "" || now.Sub(p.requests[0].startedAt) < duplicatePieceTimes*s.expectedPieceTime() {
			continue
		}
		if other := s.cheapestPeer(now, i, true); other != nil {
			s.startRequest(now, other, i)
			return
		}
	}
}

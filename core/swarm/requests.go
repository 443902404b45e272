package swarm

import (
	"math/bits"
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// bypassTimeout is how long the relay region may take for a piece, and how long it may send
// no piece at all, before the piece is fetched from another region.
const bypassTimeout = 10 * time.Second

// liveWindowDivisor divides the request window of a host that is serving live requests.
const liveWindowDivisor = 2

// duplicateDelay returns the age of a request from which another peer gets one too.
func (s *Scheduler) duplicateDelay() time.Duration {
	if s.typicalTime == 0 {
		return initialPieceTime
	}
	return max(duplicateFactor*s.typicalTime, minDuplicateDelay)
}

// expireRequests cancels requests that have timed out.
func (s *Scheduler) expireRequests(now time.Time) {
	peerTimeout := max(minPeerTimeout, timeoutFactor*max(s.typicalTime, initialPieceTime/2))
	for i := range s.pieces {
		if !s.requested.Has(i) {
			continue
		}
		for _, r := range slices.Clone(s.pieces[i].requests) {
			timeout := peerTimeout
			if r.peer == "" {
				timeout = sourceTimeout
			}
			if now.Sub(r.startedAt) < timeout {
				continue
			}
			s.emit(Action{Kind: KindCancel, Peer: r.peer, Piece: i})
			s.RecordFailure(now, r.peer, i, CauseUnavailable, 0)
		}
	}
}

func (s *Scheduler) requestWindow() int {
	if s.live {
		return max(1, s.limits.Window/liveWindowDivisor)
	}
	return s.limits.Window
}

// fetchFromPeers fills the window with requests for pieces that neighbors hold.
func (s *Scheduler) fetchFromPeers(now time.Time) {
	for s.localRequests < s.requestWindow() {
		i, p := s.nextLocal(now)
		if p == nil {
			break
		}
		s.startRequest(now, p.host.Name, i, false)
	}
	s.fetchFromRemote(now)
}

// nextLocal returns the next piece to request and the local neighbor to request it from,
// or nil.
func (s *Scheduler) nextLocal(now time.Time) (int, *peer) {
	offered := NewBits(len(s.pieces))
	found := false
	for _, p := range s.watched {
		if !p.local || !p.isUsable(now) {
			continue
		}
		found = true
		for w := range offered {
			offered[w] |= p.held[w]
		}
	}
	if !found {
		return 0, nil
	}
	best := -1
	for w := range offered {
		wanted := offered[w] &^ s.held[w] &^ s.requested[w]
		for ; wanted != 0; wanted &= wanted - 1 {
			i := w*64 + bits.TrailingZeros64(wanted)
			if best < 0 || s.precedes(i, best) {
				best = i
			}
		}
	}
	if best < 0 {
		return 0, nil
	}
	return best, s.cheapestPeer(now, best)
}

// precedes reports whether piece a is requested before piece b.
func (s *Scheduler) precedes(a, b int) bool {
	x, y := &s.pieces[a], &s.pieces[b]
	if s.limits.Order == OrderSequential {
		return a < b
	}
	if s.limits.Order == OrderRarest && x.localHolders != y.localHolders {
		return x.localHolders < y.localHolders
	}
	return x.tiebreak < y.tiebreak
}

// cheapestPeer returns the local neighbor that is expected to send the piece first, or
// nil.
func (s *Scheduler) cheapestPeer(now time.Time, i int) *peer {
	var best *peer
	var least time.Duration
	for _, p := range s.watched {
		if !p.local || !p.held.Has(i) || !p.isUsable(now) || s.isRequested(i, p.host.Name) {
			continue
		}
		cost := p.cost(max(s.typicalTime, time.Millisecond))
		cost += time.Duration(s.random.Int64N(int64(cost)/4 + 1))
		if best == nil || cost < least {
			best, least = p, cost
		}
	}
	return best
}

func (s *Scheduler) isRequested(i int, name hosts.Name) bool {
	return slices.ContainsFunc(s.pieces[i].requests, func(r request) bool { return r.peer == name })
}

// fetchFromRemote requests pieces over the links between regions. One host of the region
// fetches each piece.
func (s *Scheduler) fetchFromRemote(now time.Time) {
	for _, p := range s.watched {
		if p.local || now.Before(p.availableAt) {
			continue
		}
		for w := range p.held {
			wanted := p.held[w] &^ s.held[w] &^ s.requested[w]
			for ; wanted != 0 && s.pacerOf(p).MayRequest(now); wanted &= wanted - 1 {
				i := w*64 + bits.TrailingZeros64(wanted)
				if s.mayFetchRemote(now, i, p) {
					s.startRequest(now, p.host.Name, i, false)
				}
			}
		}
	}
}

// mayFetchRemote reports whether this host should fetch the piece from the remote peer now.
func (s *Scheduler) mayFetchRemote(now time.Time, i int, p *peer) bool {
	pc := &s.pieces[i]
	if pc.localHolders > 0 || !s.mayTakeOver(now, pc, pc.remoteSince) {
		return false
	}
	region := s.options.Self.Place.Region
	if region == pc.relayRegion || p.host.Place.Region == pc.relayRegion {
		return true
	}
	return s.mayBypass(now, pc, pc.remoteSince)
}

// mayBypass reports whether the piece may come from another region than the relay region,
// which has sent nothing for a while.
func (s *Scheduler) mayBypass(now time.Time, pc *piece, since time.Time) bool {
	return now.Sub(since) > bypassTimeout && !s.pacers[pc.relayRegion].isFlowing(now, bypassTimeout)
}

// hasRemoteHolder reports whether a remote neighbor without failures is known to hold the
// piece.
func (s *Scheduler) hasRemoteHolder(i int) bool {
	if s.pieces[i].remoteSince.IsZero() {
		return false
	}
	return slices.ContainsFunc(s.watched, func(p *peer) bool { return !p.local && p.held.Has(i) && p.failures == 0 })
}

// duplicateLate requests late pieces from a second peer. When few pieces are missing, it
// does so earlier.
func (s *Scheduler) duplicateLate(now time.Time) {
	if s.localRequests >= s.requestWindow()+1 {
		return
	}
	endgame := s.missing <= s.requestWindow()
	for i := range s.pieces {
		if !s.requested.Has(i) || s.held.Has(i) || s.pieces[i].localHolders == 0 {
			continue
		}
		requests := s.pieces[i].requests
		if len(requests) != 1 || requests[0].peer == "" {
			continue
		}
		age := now.Sub(requests[0].startedAt)
		if age < s.duplicateDelay() && (!endgame || age < s.typicalTime) {
			continue
		}
		if p := s.cheapestPeer(now, i); p != nil && (p.requests == 0 || age >= s.duplicateDelay()) {
			s.startRequest(now, p.host.Name, i, false)
			return
		}
	}
	s.fetchExtra(now)
}

// fetchExtra fetches a missing piece from the idle source for a pool that favors time.
func (s *Scheduler) fetchExtra(now time.Time) {
	maxExtra := extraRatio * float64(len(s.pieces)) / float64(max(len(s.members), 1))
	if s.options.Favor != tables.FavorTime || s.source.inFlight > 0 || now.Before(s.source.availableAt) {
		return
	}
	if s.frontier < len(s.pieces) || s.localRequests >= s.requestWindow() || float64(s.source.extra)+s.fixedFraction() >= maxExtra {
		return
	}
	for i := range s.pieces {
		if s.held.Has(i) || s.requested.Has(i) || !s.pieces[i].fromSource {
			continue
		}
		s.source.extra++
		s.startRequest(now, "", i, false)
		return
	}
}

// fixedFraction returns a number in [0, 1) that is fixed for a host. If each host may fetch
// less than one extra piece, only that fraction of the hosts fetches one.
func (s *Scheduler) fixedFraction() float64 {
	return float64(hosts.Score("extra", s.options.Self.Name)>>11) / (1 << 53)
}

package swarm

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// smoothingWeight is the weight of the past in a smoothed time, in eighths.
	smoothingWeight = 6
	// slowFactor is the multiple of the typical transfer time above which a peer counts as
	// slow.
	slowFactor = 4
	// duplicateFactor is the multiple of the typical transfer time after which another peer
	// gets a request too, timeoutFactor the one after which a request times out.
	duplicateFactor = 3
	timeoutFactor   = 8

	minDuplicateDelay = time.Second
	// initialPieceTime is the assumed transfer time of a piece until one has arrived.
	initialPieceTime = 4 * time.Second
	minPeerTimeout   = 5 * time.Second

	// Backoffs during which a peer gets no requests. missingBackoff follows a report of a
	// piece that the peer turned out not to hold. Except for slowBackoff and the jittered
	// backoff of CauseBusy, they double with each consecutive failure, at most
	// maxBackoffDoublings times.
	busyBackoff         = 300 * time.Millisecond
	unavailableBackoff  = 5 * time.Second
	slowBackoff         = 20 * time.Second
	missingBackoff      = 30 * time.Second
	corruptBackoff      = 10 * time.Minute
	maxBackoffDoublings = 6
	// skipFactor is the number of takeover delays for which a peer that can't fetch pieces
	// is skipped in the ranks at first. It doubles at most maxSkipDoublings times.
	skipFactor       = 2
	maxSkipDoublings = 2

	// maxPeerWindow is the maximum number of outstanding requests to one peer.
	maxPeerWindow = 8
)

// Timing says how long the transfer of a piece from a peer took.
type Timing struct {
	// Took is the time from the request to the last byte.
	Took time.Duration
	// FirstByte is the time from the request to the first byte.
	FirstByte time.Duration
	// Waited is the time that the request spent in the queue of the sender.
	Waited time.Duration
	// QueueLength is the number of pieces that the sender still had to send.
	QueueLength int
}

// peer is the state of another member.
type peer struct {
	host hosts.Host
	// local is set for a peer of the local region.
	local   bool
	watched bool
	held    Bits
	// queueLength is the number of pieces that the peer still has to send, as it last
	// reported.
	queueLength int
	requests    int
	// probes is the number of outstanding requests that are probes.
	probes int
	// pieceTime is the smoothed transfer time of a piece from the peer, or zero.
	pieceTime time.Duration
	// minFirstByte is the shortest time to a first byte, without the time in the queue.
	minFirstByte time.Duration
	// availableAt is the time from which the peer may get requests again.
	availableAt time.Time
	// failures counts the failures since the last piece that arrived.
	failures int
	// skippedUntil is the time until which the ranks skip the peer, skips how often this
	// happened in a row.
	skippedUntil time.Time
	skips        int
}

// window returns the maximum number of outstanding requests to the peer, which matches the
// delay of the link.
func (p *peer) window() int {
	if p.pieceTime <= 0 {
		return 1
	}
	send := max(p.pieceTime-p.minFirstByte, time.Millisecond)
	return min(2+int(p.minFirstByte/send), maxPeerWindow)
}

// cost estimates the time until the peer would have sent one more piece. typical is the
// transfer time of a piece from a peer that hasn't sent any.
func (p *peer) cost(typical time.Duration) time.Duration {
	pieceTime := p.pieceTime
	if pieceTime == 0 {
		pieceTime = typical
	}
	return pieceTime * time.Duration(2*p.requests+p.queueLength+1)
}

func (p *peer) isUsable(now time.Time) bool {
	return p.watched && !now.Before(p.availableAt) && p.requests < p.window()
}

// ReceiveHoldings records what a neighbor holds.
func (s *Scheduler) ReceiveHoldings(now time.Time, from hosts.Name, h Holdings) {
	p := s.peers[from]
	if p == nil || !p.watched {
		return
	}
	if h.Full && s.reportedAt.IsZero() {
		s.reportedAt = now
	}
	s.frontier = max(s.frontier, min(h.Frontier, len(s.pieces)))
	p.queueLength = h.QueueLength
	if h.Full {
		s.restoreRank(p)
		s.removeHoldings(p)
		p.held = NewBits(len(s.pieces))
		for i := range s.pieces {
			if h.Held.Has(i) {
				s.addHolding(now, p, i)
			}
		}
	}
	for _, i := range h.Added {
		s.addHolding(now, p, i)
	}
}

func (s *Scheduler) addHolding(now time.Time, p *peer, i int) {
	if !p.held.Set(i) {
		return
	}
	s.frontier = max(s.frontier, i+1)
	pc := &s.pieces[i]
	if p.local {
		pc.localHolders++
		return
	}
	if pc.remoteSince.IsZero() {
		pc.remoteSince = now
	}
}

// restoreRank ranks a skipped peer again, which has just discovered the version.
func (s *Scheduler) restoreRank(p *peer) {
	s.ranksStale = s.ranksStale || !p.skippedUntil.IsZero()
	p.skips, p.skippedUntil = 0, time.Time{}
}

// removeHoldings subtracts what the peer holds from the counts of holders.
func (s *Scheduler) removeHoldings(p *peer) {
	if !p.local {
		return
	}
	for i := range s.pieces {
		if p.held.Has(i) {
			s.pieces[i].localHolders--
		}
	}
}

// RecordWatchEnd records that the watch of a neighbor has ended.
func (s *Scheduler) RecordWatchEnd(now time.Time, from hosts.Name) {
	p := s.peers[from]
	if p == nil || !p.watched {
		return
	}
	s.unwatch(p)
	p.failures++
	p.availableAt = later(p.availableAt, now.Add(doubled(unavailableBackoff, p.failures)))
	s.needsNeighbors = true
}

// recordTiming updates the transfer times of a peer that has sent a piece. A slow local
// peer is replaced.
func (s *Scheduler) recordTiming(now time.Time, p *peer, t Timing) {
	p.failures = 0
	p.queueLength = t.QueueLength
	p.pieceTime = smooth(p.pieceTime, t.Took)
	s.typicalTime = smooth(s.typicalTime, t.Took)
	if first := t.FirstByte - t.Waited; first > 0 && (p.minFirstByte == 0 || first < p.minFirstByte) {
		p.minFirstByte = first
	}
	if !p.local {
		s.pacerOf(p).RecordDelay(now, t.FirstByte-t.Waited)
		return
	}
	if p.pieceTime > slowFactor*s.typicalTime && t.Waited < t.Took/2 {
		p.availableAt = later(p.availableAt, now.Add(slowBackoff))
		p.pieceTime = 0
		s.unwatch(p)
		s.needsNeighbors = true
	}
}

// backOff stops requests to a peer for a while. What it has reported no longer counts, so
// that it can't keep others from fetching a piece from the source.
func (s *Scheduler) backOff(now time.Time, p *peer, c Cause, probe bool) {
	backoff := busyBackoff
	switch c {
	case CauseBusy:
		p.availableAt = later(p.availableAt, now.Add(backoff/2+time.Duration(s.random.Int64N(int64(backoff)))))
		return
	case CauseMissing:
		if probe {
			return
		}
		backoff = missingBackoff
	case CauseFailing:
		if probe {
			return
		}
	case CauseCorrupt:
		backoff = corruptBackoff
	default:
		backoff = unavailableBackoff
		if !p.local {
			s.pacerOf(p).RecordLoss(now)
		}
	}
	p.failures++
	p.availableAt = later(p.availableAt, now.Add(doubled(backoff, p.failures-1)))
	s.unwatch(p)
	s.needsNeighbors = true
}

func (s *Scheduler) watch(p *peer) {
	p.watched = true
	s.watched = append(s.watched, p)
	s.emit(Action{Kind: KindWatch, Peer: p.host.Name})
}

// unwatch removes what the peer holds. Outstanding requests continue.
func (s *Scheduler) unwatch(p *peer) {
	if !p.watched {
		return
	}
	s.removeHoldings(p)
	p.held = NewBits(len(s.pieces))
	p.watched = false
	for i, w := range s.watched {
		if w == p {
			s.watched = append(s.watched[:i], s.watched[i+1:]...)
			break
		}
	}
	s.emit(Action{Kind: KindUnwatch, Peer: p.host.Name})
}

func smooth(past, now time.Duration) time.Duration {
	if past == 0 {
		return now
	}
	return (past*smoothingWeight + now*(8-smoothingWeight)) / 8
}

// doubled returns d doubled the given number of times, at most maxBackoffDoublings.
func doubled(d time.Duration, times int) time.Duration {
	return d << min(max(times, 0), maxBackoffDoublings)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

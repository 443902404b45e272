package swarm

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// maxWaitGroups limits the delay of the last ranks.
const maxWaitGroups = 64

// probeEarlierRanks requests late pieces from the earlier ranks, so that a piece which has
// arrived isn't fetched twice and an unavailable host is detected.
func (s *Scheduler) probeEarlierRanks(now time.Time) {
	for i := range min(s.frontier+lookaheadFavorTime, len(s.pieces)) {
		pc := &s.pieces[i]
		if s.held.Has(i) || s.requested.Has(i) || pc.due.IsZero() || pc.localHolders > 0 {
			continue
		}
		if pc.ranking.self > 0 {
			s.probeFirstRank(now, i)
		}
	}
}

// probeFirstRank requests a late piece from the first rank.
func (s *Scheduler) probeFirstRank(now time.Time, i int) {
	pc := &s.pieces[i]
	since, delay := pc.firstRankDue(), s.takeoverDelay()*time.Duration(takeoverCount(pc.ranking.self))
	if pc.probedAt.After(since) {
		since, delay = pc.probedAt, s.takeoverDelay()
	}
	if now.Sub(since) < delay {
		return
	}
	p := s.peerOf(pc.ranking.top[0])
	if p.failures > 0 && now.Before(p.availableAt) {
		s.skipUntil(p, p.availableAt)
		return
	}
	if p.probes == 0 {
		s.startRequest(now, p.host.Name, i, true)
	}
}

// skipUntil leaves a peer out of the ranks until the given time.
func (s *Scheduler) skipUntil(p *peer, until time.Time) {
	p.skippedUntil = later(p.skippedUntil, until)
	s.ranksStale = true
}

// takeoverCount returns the number of takeover delays for which a rank waits. The ranks
// behind the first topRanks wait in groups.
func takeoverCount(rank int) int {
	if rank < topRanks {
		return rank
	}
	return topRanks + min((rank-topRanks)/topRanks, maxWaitGroups) + 1
}

// firstRankDue returns the time from which the first rank of the local region should fetch
// the piece.
func (pc *piece) firstRankDue() time.Time {
	if !pc.fromSource && !pc.remoteSince.IsZero() {
		return pc.remoteSince
	}
	return pc.sourceDue()
}

// recordProbeReply records why an earlier rank didn't send the piece. If it is busy or
// doesn't have the piece yet, it is probed again later; otherwise it is skipped for all
// pieces.
func (s *Scheduler) recordProbeReply(now time.Time, p *peer, i int, c Cause) {
	if c == CauseMissing || c == CauseBusy {
		s.pieces[i].probedAt = now
		p.skips = 0
		return
	}
	s.skipUntil(p, now.Add(doubled(skipFactor*s.takeoverDelay(), min(p.skips, maxSkipDoublings))))
	p.skips++
}

// peerOf returns the state of a member, or nil for this host and for hosts that aren't
// members.
func (s *Scheduler) peerOf(name hosts.Name) *peer {
	if p := s.peers[name]; p != nil {
		return p
	}
	at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Name == name })
	if at < 0 || name == s.options.Self.Name {
		return nil
	}
	p := &peer{host: s.members[at], held: NewBits(len(s.pieces)), local: s.isLocal(s.members[at])}
	s.peers[name] = p
	return p
}

func (s *Scheduler) isLocal(h hosts.Host) bool { return h.Place.Region == s.options.Self.Place.Region }

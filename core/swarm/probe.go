package swarm

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// maxGroups bounds the wait of the last ranks.
const maxGroups = 64

// probe asks the earlier ranks for pieces that are late, so that a piece which
// has come isn't brought twice and a silent host is found.
func (s *Scheduler) probe(now time.Time) {
	for i := range min(s.frontier+aheadTime, len(s.states)) {
		st := &s.states[i]
		if s.held.Has(i) || s.asked.Has(i) || st.due.IsZero() || st.count > 0 {
			continue
		}
		if st.ranking.own > 0 {
			s.probeLate(now, i)
		}
	}
}

// probeLate asks the first rank for a piece that is late.
func (s *Scheduler) probeLate(now time.Time, i int) {
	st := &s.states[i]
	since, late := st.turn(), s.takeover()*time.Duration(waitRanks(st.ranking.own))
	if st.probed.After(since) {
		since, late = st.probed, s.takeover()
	}
	if now.Sub(since) < late {
		return
	}
	p := s.peerOf(st.ranking.top[0])
	if p.faults > 0 && now.Before(p.until) {
		s.setUnable(p, p.until)
		return
	}
	if p.probes == 0 {
		s.begin(now, p.host.Name, i, true)
	}
}

// setUnable passes a peer over in the ranks for a while.
func (s *Scheduler) setUnable(p *peer, until time.Time) {
	p.unable = later(p.unable, until)
	s.stale = true
}

// waitRanks is how many takeovers a rank waits. The ranks behind the first ones
// wait in groups.
func waitRanks(own int) int {
	if own < topRanks {
		return own
	}
	return topRanks + min((own-topRanks)/topRanks, maxGroups) + 1
}

// turn is since when the first rank of the own region should be at the piece.
func (st *state) turn() time.Time {
	if !st.home && !st.crossed.IsZero() {
		return st.crossed
	}
	return st.opened()
}

// probeFailed notes what an earlier rank answered. One that is at the piece is
// asked again later, another one is passed over for all pieces.
func (s *Scheduler) probeFailed(now time.Time, p *peer, i int, c Cause) {
	if c == CauseMissing || c == CauseBusy {
		s.states[i].probed = now
		p.refusals = 0
		return
	}
	s.setUnable(p, now.Add(grow(unableFactor*s.takeover(), min(p.refusals, unableGrowth))))
	p.refusals++
}

// peerOf returns the state of a member, or nil if it isn't one.
func (s *Scheduler) peerOf(name hosts.Name) *peer {
	if p := s.peers[name]; p != nil {
		return p
	}
	at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Name == name })
	if at < 0 || name == s.options.Self.Name {
		return nil
	}
	p := &peer{host: s.members[at], held: NewBits(len(s.states)), near: s.isNear(s.members[at])}
	s.peers[name] = p
	return p
}

func (s *Scheduler) isNear(h hosts.Host) bool { return h.Place.Region == s.options.Self.Place.Region }

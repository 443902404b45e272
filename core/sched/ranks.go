package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// SetMembers replaces the processes that fetch the version, including this one. Requests to
// members that were removed are canceled.
func (s *Scheduler) SetMembers(members []hosts.Host) {
	if slices.Equal(s.members, members) {
		return
	}
	s.members = slices.Clone(members)
	present := make(map[hosts.Name]bool, len(members))
	for _, h := range members {
		present[h.Name] = true
		if p := s.peers[h.Name]; p != nil {
			p.host = h
		}
	}
	for name, p := range s.peers {
		if !present[name] {
			s.removePeer(p)
		}
	}
	s.computeRanks()
}

// removePeer removes a peer and cancels the requests to it.
func (s *Scheduler) removePeer(p *peer) {
	name := p.host.Name
	for i := range s.pieces {
		if s.removeRequest(name, i) {
			s.emit(Action{Kind: KindCancel, Peer: name, Piece: i})
		}
	}
	s.setHoldings(time.Time{}, p, nil)
	delete(s.peers, name)
}

// computeRanks computes the ranks of this process for each piece.
func (s *Scheduler) computeRanks() {
	region := s.options.Self.Place.Region
	originGroups := s.rankGroups(func(h hosts.Host) bool { return h.Place.Region == s.options.OriginRegion }, true)
	regionGroups := s.rankGroups(func(h hosts.Host) bool { return h.Place.Region == region }, false)
	for i := range s.pieces {
		key := s.options.Pieces[i].Key
		s.pieces[i].originRank, s.pieces[i].predecessor = rankOf(key, s.options.Self.Name, originGroups)
		s.pieces[i].agentRank, _ = rankOf(key, s.options.Self.Name, originGroups[2:])
		s.pieces[i].regionRank, _ = rankOf(key, s.options.Self.Name, regionGroups)
	}
}

// scoredMember is a member with the hash that its score for a piece is mixed from.
type scoredMember struct {
	name hosts.Name
	hash uint64
}

// rankGroups returns the members in groups of descending rank: the entries that satisfy the
// condition, then, if includeOthers is set, the other entries, and then the agents in the
// same way. With includeOthers, which the ranks for the origin need, entries that are silent in an
// outage are left out.
func (s *Scheduler) rankGroups(preferred func(h hosts.Host) bool, includeOthers bool) [][]scoredMember {
	all := make([][]scoredMember, 4)
	for _, h := range s.members {
		at := 0
		if !preferred(h) {
			if !includeOthers {
				continue
			}
			at = 1
		}
		if h.Role != hosts.RoleEntry {
			at += 2
		}
		if includeOthers && s.outage.silent[h.Name] {
			continue
		}
		all[at] = append(all[at], scoredMember{name: h.Name, hash: hosts.Score("rank", h.Name)})
	}
	return all
}

// rankOf returns the rank of a name within the groups and the name directly before it, or
// -1 if no group has the name.
func rankOf(key uint64, self hosts.Name, groups [][]scoredMember) (int, hosts.Name) {
	rank, predecessor := 0, hosts.Name("")
	for _, g := range groups {
		if len(g) == 0 {
			continue
		}
		if at := slices.IndexFunc(g, func(m scoredMember) bool { return m.name == self }); at >= 0 {
			before, last := countBefore(key, g, mix(key, g[at].hash))
			if before > 0 {
				predecessor = last
			}
			return rank + before, predecessor
		}
		rank += min(len(g), maxGroupTakeovers)
		predecessor = slices.MaxFunc(g, func(a, b scoredMember) int { return cmp.Compare(mix(key, a.hash), mix(key, b.hash)) }).name
	}
	return -1, ""
}

// countBefore returns the number of members with a higher score, and the one of them with the lowest.
func countBefore(key uint64, group []scoredMember, score uint64) (int, hosts.Name) {
	count, last, lowest := 0, hosts.Name(""), uint64(0)
	for _, m := range group {
		if x := mix(key, m.hash); x > score {
			if count == 0 || x < lowest {
				last, lowest = m.name, x
			}
			count++
		}
	}
	return count, last
}

// mix combines two hashes into a uniformly distributed one.
func mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b*0x9E3779B97F4A7C15, 31)
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}

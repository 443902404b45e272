package swarm

import (
	"maps"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// topRanks is the number of first ranks that each host keeps for a piece.
const topRanks = 4

// ranking is the order in which the members of a region fetch a piece. Skipped members are
// left out.
type ranking struct {
	// top are the first members, at most topRanks.
	top []hosts.Name
	// self is the rank of this host, or -1 outside the region.
	self int
}

// SetMembers replaces the live members of the pool, which include this host.
func (s *Scheduler) SetMembers(members []hosts.Host) {
	if slices.Equal(s.members, members) {
		return
	}
	s.members = slices.Clone(members)
	s.needsNeighbors = true
	present := make(map[hosts.Name]hosts.Host, len(members))
	for _, h := range members {
		present[h.Name] = h
	}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if h, ok := present[name]; ok {
			p.host = h
			continue
		}
		s.removePeer(p)
		delete(s.peers, name)
	}
	s.computeRanks()
	s.ranksStale = true
}

// removePeer cancels the requests to a peer and stops watching it.
func (s *Scheduler) removePeer(p *peer) {
	s.unwatch(p)
	for i := range s.pieces {
		if !s.requested.Has(i) {
			continue
		}
		if _, ok := s.removeRequest(p.host.Name, i); ok {
			s.emit(Action{Kind: KindCancel, Peer: p.host.Name, Piece: i})
		}
	}
}

// group holds the members of a region and the hashes of their names.
type group struct {
	region hosts.Region
	key    uint64
	names  []hosts.Name
	keys   []uint64
}

func (s *Scheduler) groupByRegion() []group {
	var all []group
	at := make(map[hosts.Region]int)
	for _, h := range s.members {
		r := h.Place.Region
		i, ok := at[r]
		if !ok {
			i = len(all)
			at[r] = i
			all = append(all, group{region: r, key: hosts.Score("region", hosts.Name(r))})
		}
		all[i].names = append(all[i].names, h.Name)
		all[i].keys = append(all[i].keys, hosts.Score("rank", h.Name))
	}
	return all
}

func (s *Scheduler) computeRanks() {
	groups := s.groupByRegion()
	if len(groups) == 0 {
		s.clearRanks()
		return
	}
	own := slices.IndexFunc(groups, func(g group) bool { return g.region == s.options.Self.Place.Region })
	s.groups, s.local = groups, nil
	if own >= 0 {
		s.local = &groups[own]
	}
	for i := range s.pieces {
		if s.held.Has(i) {
			continue
		}
		pc := &s.pieces[i]
		key := s.options.Pieces[i].Key
		order := rankRegions(groups, key, s.options.SourceRegion)
		pc.regionRank = slices.Index(order, own)
		pc.relayRegion = groups[order[min(1, len(order)-1)]].region
		pc.remoteGroups = [2]int{order[min(1, len(order)-1)], order[0]}
		pc.fromSource = own == order[0]
		pc.ranking = ranking{self: -1}
		if own >= 0 {
			pc.ranking = s.local.rank(key, s.options.Self.Name, nil)
		}
	}
}

// clearRanks removes the ranks when no member is left, this host included.
func (s *Scheduler) clearRanks() {
	s.groups, s.local = nil, nil
	for i := range s.pieces {
		pc := &s.pieces[i]
		pc.ranking, pc.fromSource, pc.relayRegion = ranking{self: -1}, false, ""
	}
}

// updateRanks ranks the due pieces again if the set of skipped members has changed.
func (s *Scheduler) updateRanks(now time.Time) {
	if s.local == nil || !s.ranksStale && (s.skipsEnd.IsZero() || now.Before(s.skipsEnd)) {
		return
	}
	skipped := s.skippedPeers(now)
	s.ranksStale = false
	for i := range s.dueCount {
		if !s.held.Has(i) {
			s.pieces[i].ranking = s.local.rank(s.options.Pieces[i].Key, s.options.Self.Name, skipped)
		}
	}
}

// skippedPeers returns the members that the ranks skip now. It sets skipsEnd.
func (s *Scheduler) skippedPeers(now time.Time) map[hosts.Name]bool {
	names := make(map[hosts.Name]bool)
	s.skipsEnd = time.Time{}
	for name, p := range s.peers {
		if !now.Before(p.skippedUntil) {
			continue
		}
		names[name] = true
		if s.skipsEnd.IsZero() || p.skippedUntil.Before(s.skipsEnd) {
			s.skipsEnd = p.skippedUntil
		}
	}
	return names
}

// rankRegions returns the indexes of the groups in the order in which the regions fetch the
// piece. The region of the source is the first.
func rankRegions(groups []group, key uint64, sourceRegion hosts.Region) []int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if (groups[a].region == sourceRegion) != (groups[b].region == sourceRegion) {
			if groups[a].region == sourceRegion {
				return -1
			}
			return 1
		}
		if mix(key, groups[a].key) > mix(key, groups[b].key) {
			return -1
		}
		return 1
	})
	return order
}

func (g *group) rank(key uint64, self hosts.Name, skipped map[hosts.Name]bool) ranking {
	r := ranking{self: -1}
	at := slices.Index(g.names, self)
	scores := [topRanks]uint64{}
	r.top = make([]hosts.Name, 0, topRanks)
	selfScore := uint64(0)
	if at >= 0 {
		r.self = 0
		selfScore = mix(key, g.keys[at])
	}
	for i, k := range g.keys {
		if skipped[g.names[i]] {
			continue
		}
		score := mix(key, k)
		if at >= 0 && score > selfScore {
			r.self++
		}
		if len(r.top) == topRanks && score < scores[topRanks-1] {
			continue
		}
		j := 0
		for j < len(r.top) && scores[j] > score {
			j++
		}
		if len(r.top) == topRanks {
			r.top = r.top[:topRanks-1]
		}
		r.top = slices.Insert(r.top, j, g.names[i])
		copy(scores[j+1:], scores[j:topRanks-1])
		scores[j] = score
	}
	return r
}

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9E3779B97F4A7C15)
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}

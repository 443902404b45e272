package swarm

import (
	"maps"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// topRanks is the number of earlier ranks that a later one asks.
const topRanks = 4

// ranking is the order in which the members of a region bring a piece. Members
// that have been found unable are left out.
type ranking struct {
	// top are the first members, at most topRanks.
	top []hosts.Name
	// own is the rank of the host. It is -1 outside the region.
	own int
}

// SetMembers replaces the live members of the pool, the host itself included.
func (s *Scheduler) SetMembers(members []hosts.Host) {
	if slices.Equal(s.members, members) {
		return
	}
	s.members = slices.Clone(members)
	s.renew = true
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
		s.forget(p)
		delete(s.peers, name)
	}
	s.rankAll()
	s.stale = true
}

// forget cancels what is under way with a peer and stops watching it.
func (s *Scheduler) forget(p *peer) {
	s.unwatch(p)
	for i := range s.states {
		if !s.asked.Has(i) {
			continue
		}
		if _, ok := s.settle(p.host.Name, i); ok {
			s.act(Action{Kind: KindCancel, Peer: p.host.Name, Piece: i})
		}
	}
}

// group is the members of a region with the hashes of their names.
type group struct {
	region hosts.Region
	key    uint64
	names  []hosts.Name
	keys   []uint64
}

func (s *Scheduler) grouped() []group {
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

func (s *Scheduler) rankAll() {
	groups := s.grouped()
	if len(groups) == 0 {
		return
	}
	own := slices.IndexFunc(groups, func(g group) bool { return g.region == s.options.Self.Place.Region })
	s.groups, s.own = groups, nil
	if own >= 0 {
		s.own = &groups[own]
	}
	for i := range s.states {
		if s.held.Has(i) {
			continue
		}
		st := &s.states[i]
		key := s.options.Pieces[i].Key
		order := rankRegions(groups, key, s.options.SourceRegion)
		st.place = slices.Index(order, own)
		st.first = groups[order[min(1, len(order)-1)]].region
		st.from = [2]int{order[min(1, len(order)-1)], order[0]}
		st.home = own == order[0]
		st.ranking = ranking{own: -1}
		if own >= 0 {
			st.ranking = s.own.rank(key, s.options.Self.Name, nil)
		}
	}
}

// rankAgain ranks the due pieces anew when other members are unable than before.
func (s *Scheduler) rankAgain(now time.Time) {
	if s.own == nil || !s.stale && (s.able.IsZero() || now.Before(s.able)) {
		return
	}
	unable := s.unable(now)
	s.stale = false
	for i := range s.marked {
		if !s.held.Has(i) {
			s.states[i].ranking = s.own.rank(s.options.Pieces[i].Key, s.options.Self.Name, unable)
		}
	}
}

// unable returns the members that are known not to bring pieces, and notes until
// when this holds.
func (s *Scheduler) unable(now time.Time) map[hosts.Name]bool {
	names := make(map[hosts.Name]bool)
	s.able = time.Time{}
	for name, p := range s.peers {
		if !now.Before(p.unable) {
			continue
		}
		names[name] = true
		if s.able.IsZero() || p.unable.Before(s.able) {
			s.able = p.unable
		}
	}
	return names
}

// rankRegions returns the indexes of the groups in the order in which they take
// the piece. The home region is the first.
func rankRegions(groups []group, key uint64, home hosts.Region) []int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if (groups[a].region == home) != (groups[b].region == home) {
			if groups[a].region == home {
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

func (g *group) rank(key uint64, self hosts.Name, without map[hosts.Name]bool) ranking {
	r := ranking{own: -1}
	at := slices.Index(g.names, self)
	scores := [topRanks]uint64{}
	r.top = make([]hosts.Name, 0, topRanks)
	own := uint64(0)
	if at >= 0 {
		r.own = 0
		own = mix(key, g.keys[at])
	}
	for i, k := range g.keys {
		if without[g.names[i]] {
			continue
		}
		score := mix(key, k)
		if at >= 0 && score > own {
			r.own++
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

// mix returns a well spread hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9E3779B97F4A7C15)
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}

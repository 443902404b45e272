package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// SetMembers replaces the processes that fetch the version, the host itself included. What
// was asked of those that have left is given up.
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
			s.leave(p)
		}
	}
	s.rank()
}

// leave forgets a peer and gives up what is asked of it.
func (s *Scheduler) leave(p *peer) {
	name := p.host.Name
	for i := range s.pieces {
		if s.settle(name, i) {
			s.act(Action{Kind: KindCancel, Peer: name, Piece: i})
		}
	}
	s.setHeld(time.Time{}, p, nil)
	delete(s.peers, name)
}

// rank places the host among the members that bring each piece.
func (s *Scheduler) rank() {
	own := s.options.Self.Place.Region
	source := s.groups(func(h hosts.Host) bool { return h.Place.Region == s.options.OriginRegion }, true)
	cross := s.groups(func(h hosts.Host) bool { return h.Place.Region == own }, false)
	for i := range s.pieces {
		key := s.options.Pieces[i].Key
		s.pieces[i].source, s.pieces[i].before = rankIn(key, s.options.Self.Name, source)
		s.pieces[i].cross, _ = rankIn(key, s.options.Self.Name, cross)
	}
}

// groups returns the members in the order in which they bring pieces: the entries for
// which the condition holds, then, if others is set, the other entries, and the agents
// in the same way.
func (s *Scheduler) groups(first func(h hosts.Host) bool, others bool) [][]hosts.Name {
	all := make([][]hosts.Name, 4)
	for _, h := range s.members {
		at := 0
		if !first(h) {
			if !others {
				continue
			}
			at = 1
		}
		if h.Role != hosts.RoleEntry {
			at += 2
		}
		all[at] = append(all[at], h.Name)
	}
	return all
}

// rankIn returns the place of a name in the groups and the name before it, or -1.
func rankIn(key uint64, self hosts.Name, groups [][]hosts.Name) (int, hosts.Name) {
	rank, before := 0, hosts.Name("")
	for _, g := range groups {
		if len(g) == 0 {
			continue
		}
		order := slices.Clone(g)
		slices.SortFunc(order, func(a, b hosts.Name) int { return cmp.Compare(scoreOf(key, b), scoreOf(key, a)) })
		if r := slices.Index(order, self); r > 0 {
			return rank + r, order[r-1]
		} else if r == 0 {
			return rank, before
		}
		rank += min(len(g), groupMost)
		before = order[0]
	}
	return -1, ""
}

func scoreOf(key uint64, name hosts.Name) uint64 { return mix(key, hosts.Score("rank", name)) }

// mix returns a well spread hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b*0x9E3779B97F4A7C15, 31)
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}

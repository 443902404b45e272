package swarm

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// rotationInterval is the time after which one neighbor is replaced by a random
	// member.
	rotationInterval = 20 * time.Second
	// refillInterval is the minimum time between two searches for neighbors.
	refillInterval = time.Second
)

// chooseNeighbors keeps the set of watched peers full.
//
// The members of a region form a ring, ordered by the hashes of their names. Each watches
// the members at the same distances from itself, so that each is watched by as many as it
// watches. The first member of each other failure domain is preferred.
func (s *Scheduler) chooseNeighbors(now time.Time) {
	rotate := now.Sub(s.chosenAt) >= rotationInterval
	if !s.needsNeighbors && !rotate || s.needsNeighbors && !s.chosenAt.IsZero() && now.Sub(s.chosenAt) < refillInterval && len(s.watched) > 0 {
		return
	}
	first := s.chosenAt.IsZero()
	s.chosenAt = now
	s.needsNeighbors = false
	if rotate && !first {
		s.replaceWorst(now)
	}
	regions := s.candidates(now)
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		maxCount := s.limits.RemoteNeighbors
		if region == s.options.Self.Place.Region {
			maxCount = s.limits.Neighbors
		}
		s.fillRegion(regions[region], maxCount, region)
	}
}

// candidates returns the members that may be watched, by region and in order of preference.
func (s *Scheduler) candidates(now time.Time) map[hosts.Region][]hosts.Host {
	regions := make(map[hosts.Region][]hosts.Host)
	for _, h := range s.members {
		regions[h.Place.Region] = append(regions[h.Place.Region], h)
	}
	for r, list := range regions {
		list = s.ringOrder(list)
		list = s.domainsFirst(list)
		regions[r] = slices.DeleteFunc(list, func(h hosts.Host) bool {
			p := s.peers[h.Name]
			return h.Name == s.options.Self.Name || p != nil && now.Before(p.availableAt) && !p.watched
		})
	}
	return regions
}

// ringOrder returns the members in the order of the distances that all hosts share.
func (s *Scheduler) ringOrder(list []hosts.Host) []hosts.Host {
	keys := make(map[hosts.Name]uint64, len(list))
	for _, h := range list {
		keys[h.Name] = hosts.Score("ring", h.Name)
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return cmp.Compare(keys[a.Name], keys[b.Name]) })
	selfKey := hosts.Score("ring", s.options.Self.Name)
	position, _ := slices.BinarySearchFunc(list, selfKey, func(h hosts.Host, k uint64) int { return cmp.Compare(keys[h.Name], k) })
	shared := rand.New(rand.NewPCG(s.options.Seed, uint64(len(list))))
	ordered := make([]hosts.Host, 0, len(list))
	for _, step := range shared.Perm(len(list)) {
		ordered = append(ordered, list[(position+step)%len(list)])
	}
	return ordered
}

// domainsFirst moves the first member of each other failure domain to the front.
func (s *Scheduler) domainsFirst(list []hosts.Host) []hosts.Host {
	seen := map[hosts.Domain]bool{s.options.Self.Place.Domain: true}
	var first, rest []hosts.Host
	for _, h := range list {
		if seen[h.Place.Domain] {
			rest = append(rest, h)
			continue
		}
		seen[h.Place.Domain] = true
		first = append(first, h)
	}
	return append(first, rest...)
}

func (s *Scheduler) fillRegion(list []hosts.Host, maxCount int, region hosts.Region) {
	count := 0
	for _, p := range s.watched {
		if p.host.Place.Region == region {
			count++
		}
	}
	for _, h := range list {
		if count >= maxCount {
			return
		}
		if p := s.peerOf(h.Name); p != nil && !p.watched {
			s.watch(p)
			count++
		}
	}
}

// replaceWorst replaces a local neighbor without outstanding requests by a random local
// member: one that is backing off, or else a random one.
func (s *Scheduler) replaceWorst(now time.Time) {
	localCount := 0
	var worst *peer
	for _, p := range s.watched {
		if !p.local {
			continue
		}
		localCount++
		if p.requests == 0 && now.Before(p.availableAt) {
			worst = p
		}
	}
	if localCount < s.limits.Neighbors {
		return
	}
	if worst == nil {
		worst = s.watched[s.random.IntN(len(s.watched))]
	}
	if worst.requests > 0 || !worst.local {
		return
	}
	for range 2 * topRanks {
		h := s.members[s.random.IntN(len(s.members))]
		p := s.peerOf(h.Name)
		if p != nil && p.local && !p.watched && !now.Before(p.availableAt) {
			s.unwatch(worst)
			s.watch(p)
			return
		}
	}
}

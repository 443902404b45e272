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
	// rotation is how often one neighbour is replaced by a random one.
	rotation = 20 * time.Second
	// retryPause is how soon a neighbour is looked for again.
	retryPause = time.Second
)

// chooseNeighbours keeps the set of watched peers full.
//
// The members of a region stand on a ring in the order of their hashes. Each
// watches those at the same distances, so that each is watched by as many as it
// watches. One neighbour in each other failure domain is added.
func (s *Scheduler) chooseNeighbours(now time.Time) {
	rotate := now.Sub(s.rechose) >= rotation
	if !s.renew && !rotate || s.renew && !s.rechose.IsZero() && now.Sub(s.rechose) < retryPause && len(s.watched) > 0 {
		return
	}
	first := s.rechose.IsZero()
	s.rechose = now
	s.renew = false
	if rotate && !first {
		s.replaceWorst(now)
	}
	regions := s.regionsOf(now)
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		most := s.limits.RemoteNeighbours
		if region == s.options.Self.Place.Region {
			most = s.limits.Neighbours
		}
		s.fill(regions[region], most, region)
	}
}

// regionsOf returns the members that may be watched by region, in the order in
// which they are preferred.
func (s *Scheduler) regionsOf(now time.Time) map[hosts.Region][]hosts.Host {
	regions := make(map[hosts.Region][]hosts.Host)
	for _, h := range s.members {
		regions[h.Place.Region] = append(regions[h.Place.Region], h)
	}
	for r, list := range regions {
		list = s.ringOrder(list)
		list = s.domainsFirst(list)
		regions[r] = slices.DeleteFunc(list, func(h hosts.Host) bool {
			p := s.peers[h.Name]
			return h.Name == s.options.Self.Name || p != nil && now.Before(p.until) && !p.watched
		})
	}
	return regions
}

// ringOrder returns the members at the distances that all hosts share.
func (s *Scheduler) ringOrder(list []hosts.Host) []hosts.Host {
	keys := make(map[hosts.Name]uint64, len(list))
	for _, h := range list {
		keys[h.Name] = hosts.Score("ring", h.Name)
	}
	slices.SortFunc(list, func(a, b hosts.Host) int { return cmp.Compare(keys[a.Name], keys[b.Name]) })
	own := hosts.Score("ring", s.options.Self.Name)
	at, _ := slices.BinarySearchFunc(list, own, func(h hosts.Host, k uint64) int { return cmp.Compare(keys[h.Name], k) })
	shared := rand.New(rand.NewPCG(s.options.Seed, uint64(len(list))))
	ordered := make([]hosts.Host, 0, len(list))
	for _, step := range shared.Perm(len(list)) {
		ordered = append(ordered, list[(at+step)%len(list)])
	}
	return ordered
}

// domainsFirst moves the first member of each failure domain to the front.
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

func (s *Scheduler) fill(list []hosts.Host, most int, region hosts.Region) {
	count := 0
	for _, p := range s.watched {
		if p.host.Place.Region == region {
			count++
		}
	}
	for _, h := range list {
		if count >= most {
			return
		}
		if p := s.peerOf(h.Name); p != nil && !p.watched {
			s.watch(p)
			count++
		}
	}
}

// replaceWorst gives up the near neighbour that can't be asked, or one at
// random, and watches a random member in its place.
func (s *Scheduler) replaceWorst(now time.Time) {
	near := 0
	var worst *peer
	for _, p := range s.watched {
		if !p.near {
			continue
		}
		near++
		if p.asks == 0 && now.Before(p.until) {
			worst = p
		}
	}
	if near < s.limits.Neighbours {
		return
	}
	if worst == nil {
		worst = s.watched[s.random.IntN(len(s.watched))]
	}
	if worst.asks > 0 || !worst.near {
		return
	}
	for range 2 * topRanks {
		h := s.members[s.random.IntN(len(s.members))]
		p := s.peerOf(h.Name)
		if p != nil && p.near && !p.watched && !now.Before(p.until) {
			s.unwatch(worst)
			s.watch(p)
			return
		}
	}
}

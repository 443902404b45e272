package picker

import (
	"slices"

	"currantport.example/core/hosts"
)

const (
	localNeighbors  = 3
	remoteNeighbors = 2
	ringKey         = "entries"
)

// Neighbors returns the entries that an entry names to clients besides itself: those that
// follow it in the ring of its region, and one of each of the next regions. If all regions
// have the same size, every entry is named equally often, so that clients that look up the
// addresses at one of the named entries spread over all of them.
func Neighbors(self hosts.Host, entries []hosts.Host) []hosts.Host {
	rings := ringsOf(self, entries)
	local := rings[self.Place.Region]
	at := slices.IndexFunc(local, func(h hosts.Host) bool { return h.Name == self.Name })
	var chosen []hosts.Host
	for i := 1; i <= min(localNeighbors, len(local)-1); i++ {
		chosen = append(chosen, local[(at+i)%len(local)])
	}
	regions := make([]hosts.Region, 0, len(rings))
	for r := range rings {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	from := slices.Index(regions, self.Place.Region)
	for i := 1; i <= min(remoteNeighbors, len(regions)-1); i++ {
		ring := rings[regions[(from+i)%len(regions)]]
		chosen = append(chosen, ring[at%len(ring)])
	}
	return chosen
}

// ringsOf returns the entries of each region, self included, ordered by score.
func ringsOf(self hosts.Host, entries []hosts.Host) map[hosts.Region][]hosts.Host {
	scored := []scoredHost{{host: self, score: hosts.Score(ringKey, self.Name)}}
	for _, h := range entries {
		if h.Name != self.Name {
			scored = append(scored, scoredHost{host: h, score: hosts.Score(ringKey, h.Name)})
		}
	}
	slices.SortFunc(scored, compareScored)
	rings := make(map[hosts.Region][]hosts.Host)
	for _, s := range scored {
		rings[s.host.Place.Region] = append(rings[s.host.Place.Region], s.host)
	}
	return rings
}

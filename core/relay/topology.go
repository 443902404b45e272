package relay

import (
	"slices"
	"strconv"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

const (
	// hubCount is the number of entries of a failure domain that feed the others.
	hubCount = 3
	// maxFeeds limits the processes that a process may pull from.
	maxFeeds = 6
	// maxStartPeers limits the entries that a process pulls from when it starts.
	maxStartPeers = 8
	// immediateReadRegions is the number of regions that read a table without delay.
	immediateReadRegions = 2
	// maxReadersPerRegion limits the entries of a region that read a table at the same
	// time.
	maxReadersPerRegion = 3
	// takeoverDelay is the time without a change after which the entry of the next
	// rank reads too.
	takeoverDelay = 3 * time.Second
	// maxFeedLoadPercent limits the load of a feed, in percent of the mean load.
	maxFeedLoadPercent = 115
	// hostReaderTerm is how long an entry reads the list of hosts before the next one
	// of its region takes over.
	hostReaderTerm = 20 * time.Second
)

// Self identifies a process by its settings.
type Self struct {
	Host  hosts.Name
	Place hosts.Place
	Role  hosts.Role
}

// entriesByPlace returns the names of the entries that aren't leaving, by failure
// domain.
func entriesByPlace(list hosts.List) map[hosts.Place][]hosts.Name {
	byPlace := make(map[hosts.Place][]hosts.Name)
	for _, h := range list.All() {
		if h.Role == hosts.RoleEntry && h.State != hosts.StateLeaving {
			byPlace[h.Place] = append(byPlace[h.Place], h.Name)
		}
	}
	return byPlace
}

// hubsOf returns the entries that feed the others of their failure domain.
func hubsOf(place hosts.Place, names []hosts.Name) []hosts.Name {
	ranked := hosts.Rank("hub:"+string(place.Region)+":"+string(place.Domain), names)
	return ranked[:min(hubCount, len(ranked))]
}

// Topology holds what follows from one list of hosts for one process: the processes
// that it pulls from and what it reads from the platform. It is immutable.
type Topology struct {
	self Self
	// feeds are the processes that the process may pull from, the preferred one first.
	feeds []hosts.Host
	// feedWidth is the number of feeds that the process pulls from at the same time.
	feedWidth int
	// startPeers are the entries that the process pulls from when it starts.
	startPeers []hosts.Host
	// regionEntries are the entries of the process's region.
	regionEntries []hosts.Name
	// regions are the regions with entries. Their type is that of host names because
	// they are ranked in the same way.
	regions []hosts.Name
	// otherEntries is the number of other live entries.
	otherEntries int
}

// NewTopology returns the topology of a process for a list of hosts.
func NewTopology(self Self, list hosts.List) *Topology {
	byPlace := entriesByPlace(list)
	t := &Topology{self: self, startPeers: findHosts(selectStartPeers(self, byPlace), list)}
	var order []hosts.Name
	order, t.feedWidth = selectFeeds(self, byPlace)
	if preferred, ok := assignedFeed(self, list, byPlace[self.Place]); ok {
		order = append([]hosts.Name{preferred}, slices.DeleteFunc(order, func(n hosts.Name) bool { return n == preferred })...)
	}
	t.feeds = findHosts(order, list)
	for p, names := range byPlace {
		if p.Region == self.Place.Region {
			t.regionEntries = append(t.regionEntries, names...)
		}
		if r := hosts.Name(p.Region); !slices.Contains(t.regions, r) {
			t.regions = append(t.regions, r)
		}
	}
	for _, h := range list.All() {
		if h.Role == hosts.RoleEntry && h.State == hosts.StateLive && h.Name != self.Host {
			t.otherEntries++
		}
	}
	return t
}

// Feeds returns the processes that the process may pull from, the preferred one first,
// and the number of them that it pulls from at the same time.
func (t *Topology) Feeds() ([]hosts.Host, int) { return t.feeds, t.feedWidth }

// ReadsTable reports whether the process reads a table from the platform, given the
// revision that it holds and the time unchanged since that revision arrived. One entry
// in each of immediateReadRegions regions does. They are ranked again at each
// revision, so that the load moves between entries. For each takeoverDelay without a
// change, the entry of the next rank joins in these regions, and one more entry in
// each other region.
func (t *Topology) ReadsTable(kind tables.Kind, revision uint64, unchanged time.Duration) bool {
	if t.self.Role != hosts.RoleEntry {
		return false
	}
	key := string(kind) + ":" + strconv.FormatUint(revision, 10)
	ranks := int(unchanged / takeoverDelay)
	if slices.Contains(truncated(hosts.Rank(key, t.regions), immediateReadRegions), hosts.Name(t.self.Place.Region)) {
		ranks++
	}
	ranked := hosts.Rank(key, t.regionEntries)
	return slices.Contains(truncated(ranked, min(ranks, maxReadersPerRegion)), t.self.Host)
}

// ReadsHosts reports whether the process reads the list of hosts at the given time. In
// each region one entry at a time does, for a hostReaderTerm each.
func (t *Topology) ReadsHosts(now time.Time) bool {
	if t.self.Role != hosts.RoleEntry {
		return false
	}
	term := now.Unix() / int64(hostReaderTerm/time.Second)
	ranked := hosts.Rank("list:"+strconv.FormatInt(term, 10), t.regionEntries)
	return len(ranked) > 0 && ranked[0] == t.self.Host
}

// selectFeeds returns the names of the processes that a process may pull from and the
// number to use at the same time. An agent pulls from an entry of its failure domain
// that isn't a hub, an entry from a hub of its failure domain, and a hub from hubs of
// other failure domains. The names that follow are fallbacks for feeds that don't
// respond.
func selectFeeds(self Self, byPlace map[hosts.Place][]hosts.Name) ([]hosts.Name, int) {
	mine := byPlace[self.Place]
	hubs := hubsOf(self.Place, mine)
	otherHubs := otherDomainHubs(self, byPlace)
	var order []hosts.Name
	width := 1
	switch {
	case self.Role == hosts.RoleAgent:
		order = append(order, hosts.Rank(string(self.Host), subtract(mine, slices.Sorted(slices.Values(hubs))))...)
		order = append(truncated(order, hubCount), hosts.Rank(string(self.Host), hubs)...)
		order = append(truncated(order, maxFeeds-2), otherHubs...)
	case slices.Contains(hubs, self.Host):
		width = 2
		order = append(order, otherHubs...)
		order = append(truncated(order, hubCount), hubs...)
	default:
		order = append(order, hosts.Rank(string(self.Host), hubs)...)
		order = append(order, otherHubs...)
	}
	order = slices.DeleteFunc(order, func(n hosts.Name) bool { return n == self.Host })
	return truncated(order, maxFeeds), width
}

// assignedFeed returns the entry of the failure domain that feeds the process, or
// false for hubs and where there is none. Agents are balanced over the entries that
// aren't hubs, and these over the hubs, so that no entry feeds many more processes
// than others.
func assignedFeed(self Self, list hosts.List, mine []hosts.Name) (hosts.Name, bool) {
	hubs := hubsOf(self.Place, mine)
	slices.Sort(hubs)
	rest := subtract(mine, hubs)
	from, to := rest, hubs
	if self.Role == hosts.RoleAgent {
		from, to = nil, rest
		if len(rest) == 0 {
			to = hubs
		}
		for _, h := range list.WithRole(hosts.RoleAgent) {
			if h.Place == self.Place {
				from = append(from, h.Name)
			}
		}
	}
	if len(to) == 0 || !slices.Contains(from, self.Host) {
		return "", false
	}
	return assignBalanced(from, to)[self.Host], true
}

// assignBalanced assigns each name to the target that it ranks highest among those
// with free capacity. A small change of the list moves few names.
func assignBalanced(from, to []hosts.Name) map[hosts.Name]hosts.Name {
	capacity := (len(from)*maxFeedLoadPercent + len(to)*100 - 1) / (len(to) * 100)
	load := make(map[hosts.Name]int, len(to))
	assignment := make(map[hosts.Name]hosts.Name, len(from))
	for _, n := range from {
		for _, t := range hosts.Rank(string(n), to) {
			if load[t] < capacity {
				load[t]++
				assignment[n] = t
				break
			}
		}
	}
	return assignment
}

// otherDomainHubs returns hubs of other failure domains, at most one of each. It chooses
// them at several distances from the process's own domain in the order of names, so
// that any two domains are connected over a few hops.
func otherDomainHubs(self Self, byPlace map[hosts.Place][]hosts.Name) []hosts.Name {
	places := make([]hosts.Place, 0, len(byPlace)+1)
	for p := range byPlace {
		places = append(places, p)
	}
	if byPlace[self.Place] == nil {
		places = append(places, self.Place)
	}
	slices.SortFunc(places, comparePlaces)
	at := slices.Index(places, self.Place)
	var order []hosts.Name
	chosen := make(map[int]bool)
	steps := []int{1, 4, 2, 8, 3, 6}
	offset := int(hosts.Score("far", self.Host) % 2)
	for i := range steps {
		k := (at + steps[(i+offset)%len(steps)]) % len(places)
		if k == at || chosen[k] {
			continue
		}
		chosen[k] = true
		hubs := hubsOf(places[k], byPlace[places[k]])
		order = append(order, hubs[int(hosts.Score("hub", self.Host)%uint64(len(hubs)))])
	}
	return order
}

func comparePlaces(a, b hosts.Place) int {
	if a.Region != b.Region {
		if a.Region < b.Region {
			return -1
		}
		return 1
	}
	if a.Domain < b.Domain {
		return -1
	}
	if a.Domain > b.Domain {
		return 1
	}
	return 0
}

// selectStartPeers returns the entries that a starting process pulls from: first one
// of each failure domain, so that the loss of one domain leaves others that respond.
func selectStartPeers(self Self, byPlace map[hosts.Place][]hosts.Name) []hosts.Name {
	ranked := make(map[hosts.Name][]hosts.Name, len(byPlace))
	var heads []hosts.Name
	total := 0
	for _, names := range byPlace {
		names = slices.DeleteFunc(slices.Clone(names), func(n hosts.Name) bool { return n == self.Host })
		if len(names) == 0 {
			continue
		}
		total += len(names)
		names = hosts.Rank(string(self.Host), names)
		ranked[names[0]] = names
		heads = append(heads, names[0])
	}
	heads = hosts.Rank(string(self.Host), heads)
	var order []hosts.Name
	for round := 0; len(order) < min(maxStartPeers, total); round++ {
		for _, head := range heads {
			if names := ranked[head]; round < len(names) {
				order = append(order, names[round])
			}
		}
	}
	return truncated(order, maxStartPeers)
}

func truncated(names []hosts.Name, limit int) []hosts.Name { return names[:min(limit, len(names))] }

func findHosts(names []hosts.Name, list hosts.List) []hosts.Host {
	found := make([]hosts.Host, 0, len(names))
	for _, n := range names {
		if h, ok := list.Find(n); ok {
			found = append(found, h)
		}
	}
	return found
}

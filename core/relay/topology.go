package relay

import (
	"slices"
	"strconv"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

const (
	// hubCount is how many entries of a failure domain feed the others.
	hubCount = 3
	// feedCount bounds the processes that a process may pull from.
	feedCount = 6
	// startCount bounds the processes that a starting process asks.
	startCount = 8
	// firstRegions is in how many regions a table is read without delay.
	firstRegions = 2
	// readerCount is how many entries of a region may read a table at a time.
	readerCount = 3
	// takeOver is the time without a change after which the next rank reads too.
	takeOver = 3 * time.Second
	// spreadSlack is the load of a feed at most, in hundredths of the mean.
	spreadSlack = 115
	// listTurn is how long an entry reads the list of hosts before the next one
	// of its region does.
	listTurn = 20 * time.Second
)

// Self is what a process knows about itself from its settings.
type Self struct {
	Host  hosts.Name
	Place hosts.Place
	Role  hosts.Role
}

// entriesOf returns the names of the entries of the list that a process may
// pull from, by failure domain.
func entriesOf(list hosts.List) map[hosts.Place][]hosts.Name {
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

// Topology is what follows from one list of hosts for one process: whom it pulls
// from and what it reads. It is immutable.
type Topology struct {
	self Self
	// feeds are those that the process pulls from, the preferred one first.
	feeds []hosts.Host
	width int
	// peers are the entries that the process asks when it starts.
	peers []hosts.Host
	// region holds the entries of the process's region.
	region []hosts.Name
	// regions are the regions with entries. They are ranked like hosts.
	regions []hosts.Name
	// known is the number of the other live entries.
	known int
}

// NewTopology returns the topology of a process for a list.
func NewTopology(self Self, list hosts.List) *Topology {
	byPlace := entriesOf(list)
	t := &Topology{self: self, peers: hostsOf(startPeers(self, byPlace), list)}
	var order []hosts.Name
	order, t.width = feedsOf(self, byPlace)
	if first, ok := assigned(self, list, byPlace[self.Place]); ok {
		order = append([]hosts.Name{first}, slices.DeleteFunc(order, func(n hosts.Name) bool { return n == first })...)
	}
	t.feeds = hostsOf(order, list)
	for p, names := range byPlace {
		if p.Region == self.Place.Region {
			t.region = append(t.region, names...)
		}
		if r := hosts.Name(p.Region); !slices.Contains(t.regions, r) {
			t.regions = append(t.regions, r)
		}
	}
	for _, h := range list.All() {
		if h.Role == hosts.RoleEntry && h.State == hosts.StateLive && h.Name != self.Host {
			t.known++
		}
	}
	return t
}

// Feeds returns the processes that the process pulls from, the preferred one
// first, and how many of them it pulls from at a time.
func (t *Topology) Feeds() ([]hosts.Host, int) { return t.feeds, t.width }

// ReadsTable reports whether the process reads a table from its source. One entry of
// each of firstRegions regions does, ranked anew at each revision so that the
// duty moves on. For each takeOver that passes without a change the next rank of
// these joins it, and an entry of each other region.
func (t *Topology) ReadsTable(kind tables.Kind, revision uint64, quiet time.Duration) bool {
	if t.self.Role != hosts.RoleEntry {
		return false
	}
	key := string(kind) + ":" + strconv.FormatUint(revision, 10)
	ranks := int(quiet / takeOver)
	if slices.Contains(limited(hosts.Rank(key, t.regions), firstRegions), hosts.Name(t.self.Place.Region)) {
		ranks++
	}
	ranked := hosts.Rank(key, t.region)
	return slices.Contains(limited(ranked, min(ranks, readerCount)), t.self.Host)
}

// ReadsHosts reports whether the process reads the list of hosts now. One entry
// of each region does, in turns.
func (t *Topology) ReadsHosts(now time.Time) bool {
	if t.self.Role != hosts.RoleEntry {
		return false
	}
	turn := now.Unix() / int64(listTurn/time.Second)
	ranked := hosts.Rank("list:"+strconv.FormatInt(turn, 10), t.region)
	return len(ranked) > 0 && ranked[0] == t.self.Host
}

// feedsOf returns whom a process pulls from and from how many at a time. An
// agent pulls from an entry of its failure domain that is no hub, an entry from
// a hub of its failure domain, a hub from the hubs of other failure domains.
// Where these are silent, others follow.
func feedsOf(self Self, byPlace map[hosts.Place][]hosts.Name) ([]hosts.Name, int) {
	mine := byPlace[self.Place]
	hubs := hubsOf(self.Place, mine)
	far := farHubs(self, byPlace)
	var order []hosts.Name
	width := 1
	switch {
	case self.Role == hosts.RoleAgent:
		order = append(order, hosts.Rank(string(self.Host), without(mine, slices.Sorted(slices.Values(hubs))))...)
		order = append(limited(order, hubCount), hosts.Rank(string(self.Host), hubs)...)
		order = append(limited(order, feedCount-2), far...)
	case slices.Contains(hubs, self.Host):
		width = 2
		order = append(order, far...)
		order = append(limited(order, hubCount), hubs...)
	default:
		order = append(order, hosts.Rank(string(self.Host), hubs)...)
		order = append(order, far...)
	}
	order = slices.DeleteFunc(order, func(n hosts.Name) bool { return n == self.Host })
	return limited(order, feedCount), width
}

// assigned returns the entry of the failure domain that feeds the process where
// it is neither a hub nor far from any. Agents are spread over the entries that
// are no hubs and these over the hubs, so that none feeds many more than others.
func assigned(self Self, list hosts.List, mine []hosts.Name) (hosts.Name, bool) {
	hubs := hubsOf(self.Place, mine)
	slices.Sort(hubs)
	rest := without(mine, hubs)
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
	return spread(from, to)[self.Host], true
}

// spread gives each name one of the targets, the one that it ranks highest among
// those that have room. Rows of the list that change move few names.
func spread(from, to []hosts.Name) map[hosts.Name]hosts.Name {
	room := (len(from)*spreadSlack + len(to)*100 - 1) / (len(to) * 100)
	load := make(map[hosts.Name]int, len(to))
	given := make(map[hosts.Name]hosts.Name, len(from))
	for _, n := range from {
		for _, t := range hosts.Rank(string(n), to) {
			if load[t] < room {
				load[t]++
				given[n] = t
				break
			}
		}
	}
	return given
}

// farHubs returns one hub of each other failure domain. The first ones follow
// the process's own in the order of names at growing distances, so that a few
// steps join any two.
func farHubs(self Self, byPlace map[hosts.Place][]hosts.Name) []hosts.Name {
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
	taken := make(map[int]bool)
	steps := []int{1, 4, 2, 8, 3, 6}
	turn := int(hosts.Score("far", self.Host) % 2)
	for i := range steps {
		k := (at + steps[(i+turn)%len(steps)]) % len(places)
		if k == at || taken[k] {
			continue
		}
		taken[k] = true
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

// startPeers returns the entries that a starting process asks: one of each
// failure domain first, so that the loss of one domain leaves others to answer.
func startPeers(self Self, byPlace map[hosts.Place][]hosts.Name) []hosts.Name {
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
	for round := 0; len(order) < min(startCount, total); round++ {
		for _, head := range heads {
			if names := ranked[head]; round < len(names) {
				order = append(order, names[round])
			}
		}
	}
	return limited(order, startCount)
}

func limited(names []hosts.Name, most int) []hosts.Name { return names[:min(most, len(names))] }

func hostsOf(names []hosts.Name, list hosts.List) []hosts.Host {
	found := make([]hosts.Host, 0, len(names))
	for _, n := range names {
		if h, ok := list.Find(n); ok {
			found = append(found, h)
		}
	}
	return found
}

// Package member keeps track of the entries of the fleet. It does no I/O.
//
// # Gossip
//
// Each entry counts a beat and tells it to the entries of its region. Now and then it
// tells a few, of any region, the records of others too. Of two records of a process the
// one with the later incarnation counts, and of one incarnation the one with the higher
// beat. A record whose beat stands still for a while is silent; after a longer time it
// is dropped. An entry hears of those of its own region sooner than of others.
//
// # Incarnations
//
// An incarnation is drawn from the time of day at the start of a process. A process
// that hears a later incarnation under its own name, because the time of day was set
// back, takes one beyond it.
package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval = 300 * time.Millisecond
	// beatRounds is the number of rounds between two beats to the entries of the own
	// region.
	beatRounds = 2
	// nearSilent is when an entry of the own region whose beat stands still isn't used
	// any more. It spans several beats, so that lost messages don't matter. farSilent is
	// the same for other regions, whose beats come by way of others; farEach is added for
	// each entry that is known, since a message carries only some of them.
	nearSilent = 2 * time.Second
	farSilent  = 8 * time.Second
	farEach    = 20 * time.Millisecond
	// dropAfter is when a record is forgotten.
	dropAfter = time.Minute
	// fanout is the number of processes that a round of gossip goes to, startFanout the
	// same in the first startRounds, in which a process gets to know the others.
	fanout      = 2
	startFanout = 6
	startRounds = 12
	// startEntries is the number of entries that a process assumes in these rounds, above
	// that of the users' deployments as grown.
	startEntries = 64
	// listenRounds is the number of rounds between two questions of a process that is no
	// entry.
	listenRounds = 3
	// seedRounds is the number of rounds between two messages to a seed while other
	// entries are known.
	seedRounds = 7
	// nearMost bounds the entries of the own region that get a beat.
	nearMost = 256
	// recordsMost bounds the records in a message, so that it fits in a few packets.
	recordsMost = 24
)

// Member is what is known of an entry.
type Member struct {
	hosts.Host
	// ClientAddress is where callers reach it.
	ClientAddress netip.AddrPort
	// Ready tells that it serves requests.
	Ready       bool
	Incarnation uint64
	// Heartbeat grows by one each round.
	Heartbeat uint64
}

// newer reports whether the record counts rather than the other.
func (m Member) newer(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Heartbeat, o.Heartbeat)) > 0
}

// known is a record and when its beat last grew.
type known struct {
	member Member
	heard  time.Time
}

// Table is what a process knows of the entries. It isn't safe for concurrent use.
type Table struct {
	// self is the own record. An agent has none and only listens.
	self   Member
	own    bool
	seeds  []netip.AddrPort
	random *rand.Rand
	others map[hosts.Name]known
	rounds int
}

// NewTable returns the table of an entry.
func NewTable(self Member, seed uint64) *Table {
	t := NewObserver(self.Place, seed)
	t.self, t.own = self, true
	return t
}

// NewObserver returns the table of a process at a place that is no entry.
func NewObserver(at hosts.Place, seed uint64) *Table {
	return &Table{self: Member{Host: hosts.Host{Place: at}}, random: rand.New(rand.NewPCG(seed, 0)), others: make(map[hosts.Name]known)}
}

// SetSeeds replaces the addresses that are asked while few entries are known.
func (t *Table) SetSeeds(seeds []netip.AddrPort) { t.seeds = slices.Clone(seeds) }

// Self returns the own record.
func (t *Table) Self() Member { return t.self }

// SetState changes the own record. It counts as a beat, so that it spreads at once.
func (t *Table) SetState(s hosts.State, ready bool) bool {
	if t.self.State == s && t.self.Ready == ready {
		return false
	}
	t.self.State, t.self.Ready = s, ready
	t.self.Heartbeat++
	return true
}

// Merge takes the records of a message and reports whether the set of entries or
// their states changed.
func (t *Table) Merge(now time.Time, records []Member) bool {
	changed := false
	for _, m := range records {
		if t.own && m.Name == t.self.Name {
			t.defend(m)
			continue
		}
		k, ok := t.others[m.Name]
		if ok && !m.newer(k.member) {
			continue
		}
		changed = changed || !ok || k.member.State != m.State || k.member.Ready != m.Ready || k.member.Address != m.Address ||
			t.isSilent(now, k)
		t.others[m.Name] = known{member: m, heard: now}
	}
	return changed
}

// defend keeps the own record ahead of an earlier incarnation's.
func (t *Table) defend(m Member) {
	if m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
	}
}

// Message is what a round tells a process.
type Message struct {
	To netip.AddrPort
	// IncludeOthers tells that the records of others go along.
	IncludeOthers bool
}

// NextMessages counts a beat and returns what to tell whom. A process that is no entry asks one
// entry now and then.
func (t *Table) NextMessages(now time.Time) []Message {
	t.self.Heartbeat++
	t.rounds++
	t.forget(now)
	if !t.own {
		return t.question(now)
	}
	var all []Message
	told := make(map[netip.AddrPort]bool)
	most := fanout
	if t.rounds <= startRounds {
		most = startFanout
	}
	for _, a := range t.shuffled(most, func(Member) bool { return true }) {
		all = append(all, Message{To: a, IncludeOthers: true})
		told[a] = true
	}
	if s, ok := t.seed(); ok && !told[s] && (len(all) == 0 || t.rounds%seedRounds == 0) {
		all = append(all, Message{To: s, IncludeOthers: true})
		told[s] = true
	}
	if t.rounds%beatRounds != 0 {
		return all
	}
	return append(all, t.beats(told)...)
}

// Announcements returns what to tell at once after the own state has changed.
func (t *Table) Announcements() []Message { return t.beats(nil) }

// beats returns a beat to each entry of the own region that isn't told already.
func (t *Table) beats(told map[netip.AddrPort]bool) []Message {
	var all []Message
	for _, a := range t.shuffled(nearMost, t.isNear) {
		if !told[a] {
			all = append(all, Message{To: a})
		}
	}
	return all
}

func (t *Table) isNear(m Member) bool { return m.Place.Region == t.self.Place.Region }

// question returns whom a process that is no entry asks: an entry that isn't silent, of its
// own region if there is one. If it asked a silent one now and then, the others would seem
// silent too for want of news.
func (t *Table) question(now time.Time) []Message {
	if t.rounds%listenRounds != 1 && len(t.others) > 0 {
		return nil
	}
	live := func(m Member) bool { return !t.isSilent(now, t.others[m.Name]) }
	var asked []netip.AddrPort
	for _, which := range []func(Member) bool{
		func(m Member) bool { return live(m) && t.isNear(m) }, live, func(Member) bool { return true },
	} {
		if asked = t.shuffled(1, which); len(asked) > 0 {
			break
		}
	}
	if s, ok := t.seed(); ok && (len(asked) == 0 || t.rounds%seedRounds == 0) {
		asked = append(asked, s)
	}
	var all []Message
	for _, a := range asked {
		all = append(all, Message{To: a})
	}
	return all
}

// forget drops entries that have been silent for long.
func (t *Table) forget(now time.Time) {
	maps.DeleteFunc(t.others, func(_ hosts.Name, k known) bool { return now.Sub(k.heard) > dropAfter })
}

// shuffled returns the addresses of some entries.
func (t *Table) shuffled(most int, which func(Member) bool) []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(t.others)) {
		if m := t.others[name].member; which(m) {
			all = append(all, m.Address)
		}
	}
	t.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), most)]
}

// seed returns one of the seeds. Seeds are asked for ever, so that two parts of a fleet
// which lost each other for long meet again.
func (t *Table) seed() (netip.AddrPort, bool) {
	if len(t.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	s := t.seeds[t.random.IntN(len(t.seeds))]
	return s, s != t.self.Address
}

// isSilent reports whether the entry isn't to be used any more.
func (t *Table) isSilent(now time.Time, k known) bool {
	limit := farSilent + time.Duration(len(t.others))*farEach
	if t.isNear(k.member) {
		limit = nearSilent
	}
	return now.Sub(k.heard) >= limit
}

// Records returns those that a message carries, the own one first, and those of others
// if they are asked for.
func (t *Table) Records(now time.Time, others bool) []Member {
	if !others {
		if t.own {
			return []Member{t.self}
		}
		return nil
	}
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(t.others)) {
		if k := t.others[name]; !t.isSilent(now, k) {
			all = append(all, k.member)
		}
	}
	t.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), recordsMost)]
	if t.own {
		all = append([]Member{t.self}, all...)
	}
	return all
}

// Count returns the number of entries that were heard of within the last minute, the own
// one included. A process that is cut off counts the others on, since they still spend
// from what all entries share. One that has just started doesn't know how many there are
// and assumes startEntries: after a loss of all they start together.
func (t *Table) Count() int {
	known := len(t.others)
	if t.own {
		known++
	}
	if t.rounds <= startRounds {
		return max(known, startEntries)
	}
	return known
}

// Live returns the entries that aren't silent, the own one included, ordered by
// name.
func (t *Table) Live(now time.Time) []Member {
	var all []Member
	if t.own {
		all = append(all, t.self)
	}
	for _, k := range t.others {
		if !t.isSilent(now, k) {
			all = append(all, k.member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

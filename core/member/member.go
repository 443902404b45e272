// Package member keeps track of the entries of the fleet. It does no I/O.
//
// # Gossip
//
// Each entry counts a beat and tells others its record and some of those that it
// knows. Of two records of a process the one with the later incarnation counts, and
// of one incarnation the one with the higher beat. A record whose beat stands still
// for a while is silent; after a longer time it is dropped.
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
	// Interval is the time between two rounds of gossip.
	Interval = 300 * time.Millisecond
	// silentAfter is when a process whose beat stands still isn't used any more. It
	// spans several rounds, so that lost messages don't matter.
	silentAfter = 1500 * time.Millisecond
	// dropAfter is when its record is forgotten.
	dropAfter = 20 * time.Second
	// fanout is the number of processes told in a round. A record reaches all within a
	// few rounds.
	fanout = 3
	// listenRounds is the number of rounds between two questions of a process that is no
	// entry.
	listenRounds = 3
	// seedRounds is the number of rounds between two messages to a seed while other
	// entries are known.
	seedRounds = 7
	// announceMost bounds the processes that are told at once that the own state has
	// changed.
	announceMost = 64
	// recordsMost bounds the records in a message, so that it fits in a datagram.
	recordsMost = 16
)

// Member is what is known of an entry.
type Member struct {
	hosts.Host
	// Front is where callers reach it.
	Front netip.AddrPort
	// Ready tells that it serves requests.
	Ready       bool
	Incarnation uint64
	// Beat grows by one each round.
	Beat uint64
}

// newer reports whether the record counts rather than the other.
func (m Member) newer(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Beat, o.Beat)) > 0
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
	t := NewListener(seed)
	t.self, t.own = self, true
	return t
}

// NewListener returns the table of a process that is no entry.
func NewListener(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, 0)), others: make(map[hosts.Name]known)}
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
	t.self.Beat++
	return true
}

// Hear takes the records of a message and reports whether the set of entries or
// their states changed.
func (t *Table) Hear(now time.Time, records []Member) bool {
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
			now.Sub(k.heard) >= silentAfter
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

// Round counts a beat and returns whom to tell. A process that is no entry asks one
// entry now and then.
func (t *Table) Round(now time.Time) []netip.AddrPort {
	t.self.Beat++
	t.rounds++
	if !t.own && t.rounds%listenRounds != 1 && len(t.others) > 0 {
		return nil
	}
	most := fanout
	if !t.own {
		most = 1
	}
	told := t.shuffled(now, most)
	return append(told, t.strangers(told)...)
}

// Announce returns whom to tell at once that the own state has changed.
func (t *Table) Announce(now time.Time) []netip.AddrPort { return t.shuffled(now, announceMost) }

// shuffled returns the addresses of some entries and forgets those that have been
// silent for long.
func (t *Table) shuffled(now time.Time, most int) []netip.AddrPort {
	var near []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(t.others)) {
		k := t.others[name]
		if now.Sub(k.heard) > dropAfter {
			delete(t.others, name)
			continue
		}
		near = append(near, k.member.Address)
	}
	t.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), most)]
}

// strangers returns a seed that isn't told already. Seeds are asked for ever, so that
// two parts of a fleet which lost each other for long meet again.
func (t *Table) strangers(told []netip.AddrPort) []netip.AddrPort {
	if len(t.seeds) == 0 || len(told) > 0 && t.rounds%seedRounds != 0 {
		return nil
	}
	s := t.seeds[t.random.IntN(len(t.seeds))]
	if s == t.self.Address || slices.Contains(told, s) {
		return nil
	}
	return []netip.AddrPort{s}
}

// Records returns those that a message carries, the own one first.
func (t *Table) Records(now time.Time) []Member {
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(t.others)) {
		if k := t.others[name]; now.Sub(k.heard) < silentAfter {
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

// Live returns the entries that aren't silent, the own one included, ordered by
// name.
func (t *Table) Live(now time.Time) []Member {
	var all []Member
	if t.own {
		all = append(all, t.self)
	}
	for _, k := range t.others {
		if now.Sub(k.heard) < silentAfter {
			all = append(all, k.member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Package member implements the membership protocol of the entries. It does no I/O: a Table
// takes records and the current time, and returns the messages to send.
//
// # Gossip
//
// Each entry increments a heartbeat and sends its own record to the entries of its region. In
// each round it also sends a sample of all records to a few entries of any region. Of two
// records of a process the one with the later incarnation wins, and of one incarnation the one
// with the higher heartbeat. An entry whose heartbeat hasn't increased for a while is silent;
// after a longer time its record is dropped.
//
// # Detection of failures
//
// Entries of a region receive each other's heartbeats and find a silent one within seconds,
// however many there are. They report it to other regions as a Suspicion, which is spread with
// priority. In a large fleet the entries of all regions of one or two do so for each other.
// News of the entry that is later than the report refutes it. A region that is lost as a whole has
// nobody left to report: it is silent once nothing new is heard of any of its entries. In a small
// fleet, where each message holds the records of nearly all, the same goes for each entry.
//
// Records carry the age of their news, so that an entry that is long dead isn't taken for live
// because its last heartbeat arrives late, or at an entry that has just started.
//
// # Incarnations
//
// An incarnation is derived from the time of day at the start of a process. A process that
// receives a later incarnation under its own name, because the time of day was set back,
// moves to one beyond it.
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
	// SearchInterval is the time between two rounds of an observer that knows no ready entry, and
	// of an entry that knows no other one. It isn't shorter because all processes search at once
	// when a fleet starts.
	SearchInterval = 100 * time.Millisecond
	// maxSearches is the number of such rounds. In a longer outage the queries of many observers
	// would burden the entries.
	maxSearches = 30
	// heartbeatRounds is the number of rounds between two heartbeats to the entries of the
	// local region.
	heartbeatRounds = 2
	// regionSilenceTimeout is the time without a new heartbeat after which an entry of the
	// local region is silent. It spans several heartbeats to tolerate lost messages.
	regionSilenceTimeout = 2 * time.Second
	// observerSilenceTimeout is the same for other regions at an observer, which hears of an entry
	// now and then; observerTimeoutPerEntry is added for each known entry, since a message carries
	// only some of the records.
	observerSilenceTimeout  = 8 * time.Second
	observerTimeoutPerEntry = 20 * time.Millisecond
	// detectionMargin is the part of the detection time that is left for the age of the last news,
	// its way, and the round after which a silent entry is no longer used.
	detectionMargin = time.Second
	// newsTime is the time without news, for each record that competes for a place in a message, that
	// chance alone gives to about one in ten million of them.
	newsTime = 130 * time.Millisecond
	// maxRelayAge bounds the age of a heartbeat that another entry passes on without saying its age.
	// It is below regionSilenceTimeout, so that an entry whose rounds were interrupted, and that is
	// heard of only through others, doesn't stay silent.
	maxRelayAge = time.Second
	// recordTTL is the time without a new heartbeat after which a record is dropped.
	recordTTL = time.Minute
	// fanout is the number of entries that a round of gossip goes to, startFanout the same
	// in the first startRounds, while a process discovers the others.
	fanout      = 2
	startFanout = 6
	startRounds = 12
	// assumedEntries is the lowest number of entries assumed in these rounds. It is above the
	// size of the users' deployments, growth included.
	assumedEntries = 64
	// observerRounds is the number of rounds between two queries of an observer.
	observerRounds = 3
	// observerLossFactor is how many more responses it takes until a record has come with some
	// certainty, as each holds a random sample.
	observerLossFactor = 4
	// seedRounds is the number of rounds between two messages to a seed while other entries
	// are known.
	seedRounds = 7
	// maxHeartbeats bounds the entries of the local region that receive a heartbeat.
	maxHeartbeats = 256
	// maxRecords bounds the records of others in a message, so that it fits in a few packets.
	maxRecords = 24
	// maxRegionRecords bounds the regions of which a message holds the latest record.
	maxRegionRecords = maxRecords / 2
	// maxUrgentRecords bounds the records in a message that refute a suspicion.
	maxUrgentRecords = maxRecords / 4
	// maxOtherRecords bounds the records of other regions in a response to an observer, which
	// needs them rarely.
	maxOtherRecords = maxRecords / 2
)

// Member is the record of an entry.
type Member struct {
	hosts.Host
	// ClientAddress is where clients connect.
	ClientAddress netip.AddrPort
	// Ready is set while the entry serves requests.
	Ready       bool
	Incarnation uint64
	// Heartbeat increases by one in each round and with each change of state.
	Heartbeat uint64
	// Age is the time since the heartbeat was received from the entry itself. It is negative if the
	// sender of the record doesn't say, and set in messages only.
	Age time.Duration
}

// supersedes reports whether m is a later record of the process than o.
func (m Member) supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Heartbeat, o.Heartbeat)) > 0
}

// record is a member and when its heartbeat last increased.
type record struct {
	member Member
	// updatedAt is when the last heartbeat was received from the entry, by this process or another.
	updatedAt time.Time
	// contactAt is when the entry itself last sent a message to this one.
	contactAt time.Time
	// knownSince is when the first record of the process came.
	knownSince time.Time
	// spreadUntil is the round until which the record is sent with priority.
	spreadUntil int
	// queriedAt is when an observer last queried the entry. The query is unanswered while this
	// is later than updatedAt.
	queriedAt time.Time
}

// isUnanswered reports whether the last query of an observer has brought no newer record.
func (r record) isUnanswered() bool { return r.queriedAt.After(r.updatedAt) }

// Table is a process's view of the entries. It isn't safe for concurrent use. Use NewTable or
// NewObserver.
type Table struct {
	// self is the local record. In the table of an observer only its place is set.
	self    Member
	isEntry bool
	seeds   []netip.AddrPort
	random  *rand.Rand
	others  map[hosts.Name]record
	// sorted holds the names of others in order, or is nil after a change.
	sorted []hosts.Name
	rounds int
	// observerDelay is added to regionSilenceTimeout at an observer.
	observerDelay time.Duration
	// searches counts the rounds of an observer since it last knew a ready entry, or all rounds of
	// an entry in which it knew no other one.
	searches int
	// firstSeed is the index of the seed with which a search begins.
	firstSeed int
	// lastQueried is the entry that an observer queried last.
	lastQueried hosts.Name
	// detection is the time within which an entry that has ended is silent.
	detection time.Duration
	// suspicions are those of entries that weren't heard of since.
	suspicions map[hosts.Name]*suspicion
	// lastRoundAt is when the last round began, reportAfter until when no entry is reported after an
	// interruption.
	lastRoundAt, reportAfter time.Time
	// regionNews is when the last heartbeat of any entry was received, for each region, and regionSizes the
	// number of its entries.
	regionNews  map[hosts.Region]time.Time
	regionSizes map[hosts.Region]int
}

// NewTable returns the table of an entry. Seed initializes the choice of recipients. Detection is the time
// within which an entry that has ended is silent, in a fleet of any size, while others live that can tell.
func NewTable(self Member, seed uint64, detection time.Duration) *Table {
	t := NewObserver(self.Place, seed)
	t.self, t.isEntry, t.detection = self, true, detection
	return t
}

// NewObserver returns the table of a process that follows the entries without being one.
func NewObserver(place hosts.Place, seed uint64) *Table {
	return &Table{
		self: Member{Host: hosts.Host{Place: place}}, random: rand.New(rand.NewPCG(seed, 0)), others: make(map[hosts.Name]record),
		suspicions: make(map[hosts.Name]*suspicion), regionNews: make(map[hosts.Region]time.Time), regionSizes: make(map[hosts.Region]int),
	}
}

// SetSeeds replaces the addresses that are contacted regularly, and always while no entry is
// known.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.seeds = slices.Clone(seeds)
	if len(seeds) > 0 {
		t.firstSeed = t.random.IntN(len(seeds))
	}
}

// Self returns the local record.
func (t *Table) Self() Member { return t.self }

// SetState changes the local record and reports whether it was different. A change increments
// the heartbeat, so that other entries accept it at once.
func (t *Table) SetState(s hosts.State, ready bool) bool {
	if t.self.State == s && t.self.Ready == ready {
		return false
	}
	t.self.State, t.self.Ready = s, ready
	t.self.Heartbeat++
	return true
}

// HasState reports whether the table has a record of this start of the entry that is ready or not
// as in the given one.
func (t *Table) HasState(m Member) bool {
	known, ok := t.others[m.Name]
	return ok && known.member.Incarnation == m.Incarnation && known.member.Ready == m.Ready
}

// Merge adds the records of a message, of which the first is that of its sender, and reports whether
// the set of live entries, their states or their addresses changed.
func (t *Table) Merge(now time.Time, records []Member) bool {
	changed := false
	for i, m := range records {
		if t.isEntry && m.Name == t.self.Name {
			t.raiseIncarnation(m)
			continue
		}
		known, ok := t.others[m.Name]
		if ok && !m.supersedes(known.member) {
			continue
		}
		changed = changed || !ok || known.member.State != m.State || known.member.Ready != m.Ready || known.member.Address != m.Address ||
			t.isSilent(now, known)
		r := record{member: m, updatedAt: now, contactAt: known.contactAt, knownSince: now, queriedAt: known.queriedAt, spreadUntil: known.spreadUntil}
		r.member.Age = 0
		if ok && m.Incarnation == known.member.Incarnation {
			r.knownSince = known.knownSince
		}
		if i > 0 {
			r.updatedAt = t.relayedAt(now, m, known, ok)
		} else {
			r.contactAt = now
		}
		t.add(r)
	}
	return changed
}

// add adds a later record of an entry. It may refute a suspicion.
func (t *Table) add(r record) {
	name, region := r.member.Name, r.member.Place.Region
	if s := t.suspicions[name]; s != nil && (s.incarnation != r.member.Incarnation || !s.raisedAt.After(r.updatedAt)) {
		delete(t.suspicions, name)
		r.spreadUntil = t.rounds + spreadRounds
	}
	if _, ok := t.others[name]; !ok {
		t.sorted = nil
	}
	t.others[name] = r
	if r.updatedAt.After(t.regionNews[region]) {
		t.regionNews[region] = r.updatedAt
	}
}

// relayedAt returns when the heartbeat of a record that another entry passes on was received from the entry
// itself. The last heartbeat of a dead entry may arrive rounds after it was sent, and must not extend its life.
// Observers hear of an entry so rarely that they count from the arrival.
func (t *Table) relayedAt(now time.Time, m Member, known record, isKnown bool) time.Time {
	switch {
	case !t.isEntry:
		return now
	case m.Age >= 0 && known.updatedAt.After(now.Add(-m.Age)):
		return known.updatedAt
	case m.Age >= 0:
		return now.Add(-m.Age)
	case !isKnown || !t.isSameRegion(m) || m.Incarnation != known.member.Incarnation:
		return now
	}
	// Without an age, the number of the heartbeat tells when it was sent. From other regions few come
	// from their sender, so that deviations of its rounds would add up.
	rounds := min(m.Heartbeat-known.member.Heartbeat, uint64(recordTTL/GossipInterval))
	age := now.Sub(known.updatedAt.Add(time.Duration(rounds) * GossipInterval))
	return now.Add(-min(max(age, 0), maxRelayAge))
}

// raiseIncarnation moves the local incarnation beyond that of an earlier process of the same
// name.
func (t *Table) raiseIncarnation(m Member) {
	if m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
	}
}

// IsSearching reports whether an observer knows no ready entry, or an entry no other one, and hasn't
// for long. Its rounds then follow each other at SearchInterval.
func (t *Table) IsSearching(now time.Time) bool {
	switch {
	case t.searches >= maxSearches:
		return false
	case t.isEntry:
		return len(t.others) == 0
	}
	return !t.knowsReady(now)
}

func (t *Table) knowsReady(now time.Time) bool {
	for _, r := range t.others {
		if r.member.Ready && r.member.State == hosts.StateLive && !t.isSilent(now, r) {
			return true
		}
	}
	return false
}

// query records a query of an observer and returns its message.
func (t *Table) query(now time.Time, m Member) Message {
	r := t.others[m.Name]
	r.queriedAt = now
	t.others[m.Name] = r
	t.lastQueried = m.Name
	return Message{To: m.Address}
}

// dropExpired drops the records whose TTL has passed.
func (t *Table) dropExpired(now time.Time) {
	known := len(t.others)
	maps.DeleteFunc(t.others, func(_ hosts.Name, r record) bool { return now.Sub(r.updatedAt) > recordTTL })
	if len(t.others) < known {
		t.sorted = nil
	}
}

// names returns the names of the others in order, so that a choice depends on the seed alone.
func (t *Table) names() []hosts.Name {
	if t.sorted == nil {
		t.sorted = slices.Sorted(maps.Keys(t.others))
	}
	return t.sorted
}

// sample returns the addresses of up to limit matching entries in random order.
func (t *Table) sample(limit int, matches func(Member) bool) []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range t.sampleMembers(limit, matches) {
		all = append(all, m.Address)
	}
	return all
}

// sampleMembers returns up to limit matching entries in random order.
func (t *Table) sampleMembers(limit int, matches func(Member) bool) []Member {
	var all []Member
	for _, name := range t.names() {
		if m := t.others[name].member; matches(m) {
			all = append(all, m)
		}
	}
	t.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), limit)]
}

// pickSeed returns a random seed, and whether there is one other than the process itself. Seeds
// are contacted for as long as the process runs, so that a partitioned fleet merges again even
// after the records of the other part have expired.
func (t *Table) pickSeed() (netip.AddrPort, bool) {
	if len(t.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	s := t.seeds[t.random.IntN(len(t.seeds))]
	return s, s != t.self.Address
}

// nextSeed returns the seed of the current search round, or false if that is the process itself. Seeds
// are used in turn, since a random choice may miss the only reachable one for several rounds.
func (t *Table) nextSeed() (netip.AddrPort, bool) {
	if len(t.seeds) == 0 {
		return netip.AddrPort{}, false
	}
	s := t.seeds[(t.firstSeed+t.searches)%len(t.seeds)]
	return s, s != t.self.Address
}

// Count returns the number of entries with a record, the local one included. Records stay for a
// minute without a heartbeat: an isolated entry keeps counting the others, because they still
// spend from the budgets that all entries share. In its first rounds a process doesn't know how
// many entries there are and assumes at least assumedEntries, because after an outage all
// entries start together.
func (t *Table) Count() int {
	count := len(t.others)
	if t.isEntry {
		count++
	}
	if t.rounds <= startRounds {
		return max(count, assumedEntries)
	}
	return count
}

// Live returns the entries that aren't silent, the local one included, ordered by name.
func (t *Table) Live(now time.Time) []Member {
	var all []Member
	if t.isEntry {
		all = append(all, t.self)
	}
	for _, r := range t.others {
		if !t.isSilent(now, r) {
			all = append(all, r.member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

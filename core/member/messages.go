package member

import (
	"net/netip"
	"time"
)

// Message is a message to send to one process.
type Message struct {
	To netip.AddrPort
	// IncludeOthers is the argument for Records: whether to add the records of other entries.
	IncludeOthers bool
}

// NextMessages starts a round: it increments the heartbeat and returns the messages to send.
// An observer sends a query to one entry every few rounds.
func (t *Table) NextMessages(now time.Time) []Message {
	t.self.Heartbeat++
	if t.isEntry && t.IsSearching(now) {
		return t.searchMessages()
	}
	t.rounds++
	t.dropExpired(now)
	if t.isEntry {
		t.countRegions()
		t.reportSilent(now)
		t.confirm(now)
	}
	if !t.isEntry {
		t.updateObserverDelay()
		if t.searches++; t.knowsReady(now) {
			t.searches = 0
		}
		return t.observerMessages(now)
	}
	var all []Message
	sent := make(map[netip.AddrPort]bool)
	limit := fanout
	if t.rounds <= startRounds || t.countSuspicions() > maxSuspicions {
		limit = startFanout
	}
	// Half of the messages may also go to silent entries, which may be back.
	isLive := func(m Member) bool { return !t.isSilent(now, t.others[m.Name]) }
	isUnsent := func(m Member) bool { return !sent[m.Address] }
	for _, matches := range []func(Member) bool{isLive, isUnsent} {
		for _, a := range t.sample(limit/2, matches) {
			all = append(all, Message{To: a, IncludeOthers: true})
			sent[a] = true
		}
	}
	if s, ok := t.pickSeed(); ok && !sent[s] && (len(all) == 0 || t.rounds%seedRounds == 0) {
		all = append(all, Message{To: s, IncludeOthers: true})
		sent[s] = true
	}
	if t.rounds%heartbeatRounds != 0 {
		return all
	}
	return append(all, t.heartbeats(sent)...)
}

// searchMessages returns the message of an entry that knows no other one. Search rounds aren't counted
// in rounds, so that the first rounds, in which assumedEntries applies, begin once another is known.
func (t *Table) searchMessages() []Message {
	t.searches++
	if s, ok := t.nextSeed(); ok {
		return []Message{{To: s, IncludeOthers: true}}
	}
	return nil
}

// Announcements returns the messages to send at once after the local state has changed.
func (t *Table) Announcements() []Message { return t.heartbeats(nil) }

// heartbeats returns a message to each entry that watches this one and is not in sent.
func (t *Table) heartbeats(sent map[netip.AddrPort]bool) []Message {
	var all []Message
	for _, a := range t.sample(maxHeartbeats, t.sendsHeartbeats) {
		if !sent[a] {
			all = append(all, Message{To: a})
		}
	}
	return all
}

func (t *Table) isSameRegion(m Member) bool { return m.Place.Region == t.self.Place.Region }

// observerMessages returns the queries of an observer: to an entry that isn't silent, of its own
// region if there is one. Querying silent entries would delay the records of the others until
// they seem silent too. For the same reason a query without a response is followed in the next
// round by one to another entry.
func (t *Table) observerMessages(now time.Time) []Message {
	if t.rounds%observerRounds != 1 && !t.IsSearching(now) && len(t.others) > 0 && !t.others[t.lastQueried].isUnanswered() {
		return nil
	}
	live := func(m Member) bool { return !t.isSilent(now, t.others[m.Name]) }
	responsive := func(m Member) bool { return live(m) && !t.others[m.Name].isUnanswered() }
	var all []Message
	for _, matches := range []func(Member) bool{
		func(m Member) bool { return responsive(m) && t.isSameRegion(m) }, responsive, live, func(Member) bool { return true },
	} {
		if targets := t.sampleMembers(1, matches); len(targets) > 0 {
			all = append(all, t.query(now, targets[0]))
			break
		}
	}
	if s, ok := t.pickSeed(); ok && len(all) > 0 && t.rounds%seedRounds == 0 {
		return append(all, Message{To: s})
	}
	if s, ok := t.nextSeed(); ok && len(all) == 0 {
		return []Message{{To: s}}
	}
	return all
}

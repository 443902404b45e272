package member

import (
	"cmp"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// reportTimeout is the time without a new heartbeat after which an entry is reported to other
	// regions. It spans one heartbeat more than regionSilenceTimeout, since a false report takes the
	// entry out of use everywhere until it is refuted.
	reportTimeout = regionSilenceTimeout + heartbeatRounds*GossipInterval
	// contactTimeout is the time without messages of others after which an entry may itself be cut
	// off, so that it reports no others. It is below reportTimeout.
	contactTimeout = 2 * time.Second
	// maxSmallRegion is the number of entries up to which a region may have nobody left to report that
	// one of them is silent. In a large fleet the entries of all small regions watch each other.
	maxSmallRegion = 2
	// returnTime is how long an entry reports no others after an interruption. The heartbeats of all
	// come within half of it.
	returnTime = 2 * heartbeatRounds * GossipInterval
	// maxContacts is the number of entries that must have sent messages within contactTimeout, in a
	// small fleet an eighth of all. In a fleet of any size about six a second do.
	maxContacts = 5
	// maxReporters is the number of reporters that confirm a suspicion. One is enough if there are
	// no others.
	maxReporters = 2
	// maxSuspicions bounds the suspicions in a message. While there are more, messages go to
	// startFanout entries.
	maxSuspicions = 64
	// spreadRounds is the number of rounds in which news is spread with priority after it was
	// learned. With fanout recipients a round it reaches some thousand entries in half of them.
	spreadRounds = 12
)

// Suspicion is the report that an entry is silent, by entries of its region, which receive its
// heartbeats themselves. Entries of other regions receive most heartbeats late, the later the larger the
// fleet is.
type Suspicion struct {
	Name        hosts.Name
	Incarnation uint64
	// Age is the time since the first report.
	Age time.Duration
	// Reporters are entries that find it silent, at most two.
	Reporters []hosts.Name
}

// suspicion is what a table knows of a Suspicion. It is dropped once the entry is heard of that was silent.
type suspicion struct {
	incarnation uint64
	// raisedAt is when the first reporter raised it. News of the entry from a later time refutes it.
	raisedAt  time.Time
	reporters []hosts.Name
	// isConfirmed is set once there are enough reporters.
	isConfirmed bool
	// spreadUntil is the round until which it is spread.
	spreadUntil int
}

// reportSilent raises suspicions of the silent entries of the region.
func (t *Table) reportSilent(now time.Time) {
	isInterrupted := now.Sub(t.lastRoundAt) > heartbeatRounds*GossipInterval
	t.lastRoundAt = now
	if isInterrupted || !t.hasContact(now) {
		t.reportAfter = now.Add(returnTime)
	}
	if now.Before(t.reportAfter) {
		return
	}
	for name, r := range t.others {
		// An entry that has just become known sends no heartbeats to this one yet.
		if !t.watches(t.self, r.member) || now.Sub(r.updatedAt) < reportTimeout || now.Sub(r.knownSince) < reportTimeout {
			continue
		}
		s := t.suspicions[name]
		if s == nil || s.incarnation != r.member.Incarnation {
			s = &suspicion{incarnation: r.member.Incarnation, raisedAt: now}
			t.suspicions[name] = s
		}
		t.addReporter(s, t.self.Name)
	}
}

// watches reports whether an entry receives the heartbeats of another one itself, and so reports its silence.
func (t *Table) watches(m, other Member) bool {
	if m.Place.Region == other.Place.Region {
		return true
	}
	return t.isLargeFleet(len(t.others)) && t.isSmallRegion(m, maxSmallRegion) && t.isSmallRegion(other, maxSmallRegion)
}

// sendsHeartbeats reports whether this entry sends its heartbeats to another one. It begins before the other one
// expects them, as the two may differ in what they know.
func (t *Table) sendsHeartbeats(m Member) bool {
	return t.isSameRegion(m) || t.isLargeFleet(len(t.others)*9/8) && t.isSmallRegion(t.self, 2*maxSmallRegion) && t.isSmallRegion(m, 2*maxSmallRegion)
}

// isLargeFleet reports whether news of one of a number of entries may take longer than the detection time.
func (t *Table) isLargeFleet(entries int) bool { return t.newsTimeout(entries) > t.newsTimeout(0) }

func (t *Table) isSmallRegion(m Member, most int) bool { return t.regionSizes[m.Place.Region] <= most }

// hasContact reports whether there is news of another region, and enough entries have sent messages. Otherwise this
// one may be cut off, alone or with a few others.
func (t *Table) hasContact(now time.Time) bool {
	senders, hasNews := 0, false
	for _, r := range t.others {
		if now.Sub(r.contactAt) <= contactTimeout {
			senders++
		}
		hasNews = hasNews || !t.isSameRegion(r.member) && now.Sub(r.updatedAt) <= contactTimeout
	}
	return hasNews && senders >= min(len(t.others)/8, maxContacts)
}

// addReporter adds a reporter and reports whether it is new and still counts.
func (t *Table) addReporter(s *suspicion, name hosts.Name) bool {
	if len(s.reporters) >= maxReporters || slices.Contains(s.reporters, name) {
		return false
	}
	s.reporters = append(s.reporters, name)
	s.spreadUntil = t.rounds + spreadRounds
	return true
}

// confirm updates which suspicions are confirmed.
func (t *Table) confirm(now time.Time) {
	for name, s := range t.suspicions {
		r, ok := t.others[name]
		if !ok || s.incarnation != r.member.Incarnation || !s.raisedAt.After(r.updatedAt) {
			delete(t.suspicions, name)
			continue
		}
		s.isConfirmed = s.isConfirmed || len(s.reporters) >= maxReporters || t.countReporters(now, r.member) < maxReporters
	}
}

// countReporters returns the number of entries that could report a silent one.
func (t *Table) countReporters(now time.Time, silent Member) int {
	count := 0
	for name, r := range t.others {
		if t.watches(r.member, silent) && name != silent.Name && t.suspicions[name] == nil && !t.isSilent(now, r) {
			count++
		}
	}
	return count
}

// countSuspicions returns the number of those that are spread.
func (t *Table) countSuspicions() int {
	count := 0
	for _, s := range t.suspicions {
		if s.spreadUntil >= t.rounds {
			count++
		}
	}
	return count
}

// Suspicions returns those to send in a message to other entries.
func (t *Table) Suspicions(now time.Time) []Suspicion {
	var all []Suspicion
	for name, s := range t.suspicions {
		if s.spreadUntil >= t.rounds {
			all = append(all, Suspicion{Name: name, Incarnation: s.incarnation, Age: now.Sub(s.raisedAt), Reporters: slices.Clone(s.reporters)})
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int { return cmp.Compare(a.Name, b.Name) })
	t.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxSuspicions)]
}

// MergeSuspicions adds the suspicions of a message and reports whether one was confirmed or refuted.
func (t *Table) MergeSuspicions(now time.Time, all []Suspicion) bool {
	changed := false
	for _, s := range all {
		r, ok := t.others[s.Name]
		if !t.isEntry || !ok || r.member.Incarnation != s.Incarnation {
			continue
		}
		raisedAt := now.Add(-max(s.Age, 0))
		if !raisedAt.After(r.updatedAt) {
			t.refute(s.Name)
			continue
		}
		changed = t.mergeSuspicion(s, raisedAt) || changed
	}
	if changed {
		t.confirm(now)
	}
	return changed
}

// mergeSuspicion reports whether the suspicion is new or has another reporter.
func (t *Table) mergeSuspicion(s Suspicion, raisedAt time.Time) bool {
	known := t.suspicions[s.Name]
	if known == nil {
		known = &suspicion{incarnation: s.Incarnation, raisedAt: raisedAt}
		t.suspicions[s.Name] = known
	}
	if raisedAt.Before(known.raisedAt) {
		known.raisedAt = raisedAt
	}
	changed := false
	for _, name := range s.Reporters {
		changed = t.addReporter(known, name) || changed
	}
	return changed
}

// refute spreads the record of an entry that was suspected and has been heard of since.
func (t *Table) refute(name hosts.Name) {
	r := t.others[name]
	r.spreadUntil = t.rounds + spreadRounds
	t.others[name] = r
}

package member

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// Records returns the records of a message: that of an entry itself first, then a sample of those
// of live entries if others is set.
func (t *Table) Records(now time.Time, others bool) []Member {
	if !others {
		if t.isEntry {
			return []Member{t.self}
		}
		return nil
	}
	all := t.sampleRecords(now)
	if t.isEntry {
		all = append([]Member{t.self}, all...)
	}
	return all
}

// sampleRecords returns records of live entries: the latest one of each region and those that refute a suspicion,
// up to a bound each, then a sample of the others.
func (t *Table) sampleRecords(now time.Time) []Member {
	var live []record
	for _, name := range t.names() {
		if r := t.others[name]; !t.isSilent(now, r) {
			live = append(live, r)
		}
	}
	t.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	if len(live) > maxRecords {
		moved := moveFirst(live, t.latestOfRegions(live), maxRegionRecords)
		moveFirst(live[moved:], func(r record) bool { return r.spreadUntil >= t.rounds }, maxUrgentRecords)
		live = live[:maxRecords]
	}
	all := make([]Member, len(live))
	for i, r := range live {
		all[i] = r.member
		all[i].Age = max(now.Sub(r.updatedAt), 0)
	}
	return all
}

// latestOfRegions returns a function that reports whether a record is the latest one of its region.
func (t *Table) latestOfRegions(all []record) func(r record) bool {
	latest := make(map[hosts.Region]record)
	for _, r := range all {
		if known, ok := latest[r.member.Place.Region]; !ok || r.updatedAt.After(known.updatedAt) {
			latest[r.member.Place.Region] = r
		}
	}
	return func(r record) bool { return latest[r.member.Place.Region].member.Name == r.member.Name }
}

// moveFirst moves up to limit matching records to the beginning and returns their number.
func moveFirst(all []record, matches func(r record) bool, limit int) int {
	moved := 0
	for i := range all {
		if moved < limit && matches(all[i]) {
			all[i], all[moved] = all[moved], all[i]
			moved++
		}
	}
	return moved
}

// RecordsForObserver returns the records of a response to an observer, which is mostly of the same
// region: the record of this entry, then those of live entries of its region, then a sample of
// the others.
func (t *Table) RecordsForObserver(now time.Time) []Member {
	var own []Member
	if t.isEntry {
		own = []Member{t.self}
	}
	return slices.Concat(own, t.sampleLive(now, maxRecords, true), t.sampleLive(now, maxOtherRecords, false))
}

// sampleLive returns up to limit records of live entries, those of the own region or the others.
func (t *Table) sampleLive(now time.Time, limit int, local bool) []Member {
	return t.sampleMembers(limit, func(m Member) bool { return t.isSameRegion(m) == local && !t.isSilent(now, t.others[m.Name]) })
}

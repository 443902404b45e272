package target

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// Assign recomputes which engines are assigned to this entry, its shares, and the owners of limits. Call
// it when the set of live entries changes.
func (f *Fleet) Assign(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.assign()
	f.assignLimits(now)
}

// assign computes the local and the remote assignments and the shares of this entry. All entries
// arrive at the same result without messages. The caller holds the mutex.
func (f *Fleet) assign() {
	entries := f.regionEntries()
	f.assignLocal(entries)
	f.assignAllRemote()
	f.assignShares(entries)
}

// regionEntries returns the sorted names of the live entries of this region.
func (f *Fleet) regionEntries() []hosts.Name {
	var entries []hosts.Name
	for _, h := range f.options.Entries() {
		if h.Place.Region == f.options.Place.Region {
			entries = append(entries, h.Name)
		}
	}
	slices.Sort(entries)
	f.regionSize = max(len(entries), 1)
	return entries
}

// assignLocal assigns each engine of this region to one of the entries, which then knows most
// of its load. Assignment is round-robin over the engines in hash order, so that the numbers
// of engines per entry differ by at most one. The names are sorted.
func (f *Fleet) assignLocal(entries []hosts.Name) {
	index := slices.Index(entries, f.options.Self)
	for _, all := range f.pools {
		var local []*upstream
		for _, u := range all {
			u.assigned = false
			if !f.isRemote(u) && !u.row.Draining {
				local = append(local, u)
			}
		}
		slices.SortFunc(local, compareShareOrder)
		for i, u := range local {
			u.assigned = index >= 0 && i%len(entries) == index
		}
	}
}

// maxRemoteEntries bounds the entries of other regions that use an engine. More of them would
// choose it on load reports that are out of date on arrival.
const maxRemoteEntries = 4

// assignAllRemote computes the remote assignments of all engines of other regions by
// rendezvous rank.
func (f *Fleet) assignAllRemote() {
	entries := f.options.Entries()
	for _, all := range f.pools {
		for _, u := range all {
			u.remoteAssigned, u.remoteEntries = false, 0
			if f.isRemote(u) {
				f.assignRemote(u, entries)
			}
		}
	}
}

// assignRemote computes whether an engine of another region is assigned to this entry.
func (f *Fleet) assignRemote(u *upstream, entries []hosts.Host) {
	region := f.options.Regions[hosts.Domain(u.row.Domain)]
	ahead, others := 0, 0
	// The hash key must be the same in all entries, including those of other releases.
	key := "guest " + u.row.ID
	score := hosts.Score(key, f.options.Self)
	for _, h := range entries {
		if h.Place.Region == region || h.Name == f.options.Self {
			continue
		}
		others++
		if hosts.Score(key, h.Name) > score {
			ahead++
		}
	}
	u.remoteAssigned, u.remoteEntries = ahead < maxRemoteEntries, min(others+1, maxRemoteEntries)
}

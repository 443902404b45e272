package target

import (
	"cmp"
	"slices"

	"currantport.example/core/hosts"
)

// Assign divides the engines of each region among its entries anew. It is called when
// entries come or go.
func (f *Fleet) Assign() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deal()
}

// deal decides which engines this entry uses first and whose guest it is. All entries
// compute the same without messages. The mutex is held.
func (f *Fleet) deal() {
	var entries []hosts.Name
	for _, h := range f.options.Entries() {
		if h.Place.Region == f.options.Place.Region {
			entries = append(entries, h.Name)
		}
	}
	f.dealHomes(entries)
	f.dealGuests()
}

// dealHomes gives each engine of the own region to one entry, which uses it first and so
// knows most of what is at it. The entries take turns, so that none gets more than one
// engine more than another.
func (f *Fleet) dealHomes(entries []hosts.Name) {
	slices.Sort(entries)
	own := slices.Index(entries, f.options.Self)
	for _, all := range f.pools {
		var near []*upstream
		for _, u := range all {
			u.home = false
			if !f.isFar(u) && !u.row.Draining {
				near = append(near, u)
			}
		}
		slices.SortFunc(near, func(a, b *upstream) int {
			return cmp.Compare(hosts.Score("deal", hosts.Name(a.row.ID)), hosts.Score("deal", hosts.Name(b.row.ID)))
		})
		for i, u := range near {
			u.home = own >= 0 && i%len(entries) == own
		}
	}
}

// guestsMost is the number of entries of other regions that use an engine. More would
// send to it on news that is old by the time it arrives.
const guestsMost = 4

// dealGuests chooses the entries of other regions that use each engine, by rendezvous ranks.
func (f *Fleet) dealGuests() {
	entries := f.options.Entries()
	for _, all := range f.pools {
		for _, u := range all {
			u.guest, u.guests = false, 0
			if f.isFar(u) {
				f.dealGuest(u, entries)
			}
		}
	}
}

// dealGuest decides whether this entry is a guest of an engine of another region.
func (f *Fleet) dealGuest(u *upstream, entries []hosts.Host) {
	at := f.options.Regions[hosts.Domain(u.row.Domain)]
	ahead, others := 0, 0
	own := hosts.Score("guest "+u.row.ID, f.options.Self)
	for _, h := range entries {
		if h.Place.Region == at || h.Name == f.options.Self {
			continue
		}
		others++
		if hosts.Score("guest "+u.row.ID, h.Name) > own {
			ahead++
		}
	}
	u.guest, u.guests = ahead < guestsMost, min(others+1, guestsMost)
}

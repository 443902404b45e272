package target

import (
	"cmp"
	"slices"

	"currantport.example/core/hosts"
)

// Deal divides the engines of each region among its entries anew. It is called when
// entries come or go.
func (f *Fleet) Deal() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deal()
}

// deal gives each engine to one entry of its region, which uses it first and so knows
// most of what is at it. All entries deal alike, in turns, so that none gets more than
// one engine more than another. The mutex is held.
func (f *Fleet) deal() {
	var entries []hosts.Name
	for _, h := range f.options.Entries() {
		if h.Place.Region == f.options.Place.Region {
			entries = append(entries, h.Name)
		}
	}
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

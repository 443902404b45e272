package target

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
)

// Even load
//
// In a pool with even load, the slots of the engines of a region are divided equally among its
// entries: the entries, ordered by name, and the engines, ordered by hash, are laid out over the
// same interval, so that an entry has a share in one engine or a few adjacent ones. An entry knows
// without delay what it uses of its shares. Beyond them it uses engines that few other entries use
// for the same purpose, then any. All entries compute the same shares without messages.
//
// It is designed for 6 to 100 entries and load reports that are 200 to 600 ms old, when an engine
// starts 8 to 10 requests per second: entries that all choose among the same engines send several
// requests to one of them before they learn of each other's.

const (
	// maxNearEntries is the number of entries of a region, besides those with a share, that use an
	// engine before others. In the model, 2 leave too many slots idle, and 6 collide as often as
	// they find room.
	maxNearEntries = 4
	// farCost is added to unassignedCost for the other engines of the region. The sum is below the cost of an
	// engine in another region that isn't assigned.
	farCost = 30 * time.Millisecond
	// farReserveDivisor is the part of the slots, as a divisor, that is left free there. With a third, up to 30
	// entries of a region overrun the same engine in the model.
	farReserveDivisor = 2
)

// EvenLoad says which pools have even load.
type EvenLoad int

// The values of EvenLoad.
const (
	// EvenAuto is for pools that need it: where the region has more entries than engines, or engines are
	// evacuated.
	EvenAuto EvenLoad = iota
	// EvenAlways is for all pools.
	EvenAlways
	// EvenNever is for none.
	EvenNever
)

// Usage is the relation of an entry to an engine that it uses.
type Usage string

// The usages. In a pool without even load, all but the assigned engines are other ones.
const (
	// UsageOwn is an assigned engine, or one where a share of this entry is free.
	UsageOwn Usage = "own"
	// UsageNear is an engine of the region that this entry uses when its shares are spent.
	UsageNear Usage = "near"
	// UsageOther is any other engine of the region.
	UsageOther Usage = "other"
	// UsageRemote is an engine of another region.
	UsageRemote Usage = "remote"
)

// evenShare is what an entry may use of an engine of a pool with even load.
type evenShare struct {
	// active is set for the engines of pools with even load.
	active bool
	// share is the part of the engine's slots that belongs to this entry, from 0 to 1.
	share float64
	// near is set if this entry uses the engine when its shares are spent.
	near bool
}

// wantsEvenLoad reports whether a pool needs even load: if the region has more entries than engines, so
// that not every entry is assigned one, or if some engines are evacuated, so that those of other
// failure domains serve their demand.
func (f *Fleet) wantsEvenLoad(all []*upstream, entries int) bool {
	switch f.options.EvenLoad {
	case EvenAlways:
		return true
	case EvenNever:
		return false
	}
	local, engines, evacuated := 0, 0, false
	for _, u := range all {
		if u.row.Slots == 0 {
			continue
		}
		engines++
		switch {
		case f.evacuated[hosts.Domain(u.row.Domain)]:
			evacuated = true
		case !f.isRemote(u) && !u.row.Draining:
			local++
		}
	}
	return evacuated || engines > 0 && entries > local
}

// assignShares computes the shares of this entry in the engines of the region. The names of the entries are
// sorted. The caller holds the mutex.
func (f *Fleet) assignShares(entries []hosts.Name) {
	index := slices.Index(entries, f.options.Self)
	for name, all := range f.pools {
		active := index >= 0 && f.wantsEvenLoad(all, len(entries))
		if f.even[name] != active {
			f.even[name] = active
			f.options.Log.Info("even-load", zap.String("pool", name), zap.Bool("active", active), zap.Int("entries", len(entries)), zap.Int("upstreams", len(all)))
		}
		var local []*upstream
		for _, u := range all {
			u.even = evenShare{active: active}
			if active && !f.isRemote(u) && !u.row.Draining && !f.evacuated[hosts.Domain(u.row.Domain)] {
				local = append(local, u)
			}
		}
		slices.SortFunc(local, byDeal)
		engines, count := float64(len(local)), float64(len(entries))
		low, high := float64(index)*engines/count, float64(index+1)*engines/count
		for i, u := range local {
			u.even.share = max(min(high, float64(i+1))-max(low, float64(i)), 0)
			u.even.near = f.isNear(u, entries)
		}
	}
}

// byDeal orders engines by hash. The hash key must be the same in all entries, including those of other
// releases.
func byDeal(a, b *upstream) int {
	return cmp.Compare(hosts.Score("deal", hosts.Name(a.row.ID)), hosts.Score("deal", hosts.Name(b.row.ID)))
}

// isNear reports whether this entry is among the first by rendezvous rank for the engine.
func (f *Fleet) isNear(u *upstream, entries []hosts.Name) bool {
	key, ahead := "near "+u.row.ID, 0
	score := hosts.Score(key, f.options.Self)
	for _, e := range entries {
		if e != f.options.Self && hosts.Score(key, e) > score {
			ahead++
		}
	}
	return ahead < maxNearEntries
}

// hasFreeShare reports whether less than this entry's share of the engine is in use by it.
func (u *upstream) hasFreeShare() bool {
	places := u.row.Slots + u.row.Slots/queueDivisor
	return float64(u.running) < u.even.share*float64(places)
}

// usage returns the relation of this entry to the engine.
func (f *Fleet) usage(u *upstream) Usage {
	switch {
	case f.isRemote(u):
		return UsageRemote
	case u.even.active && u.hasFreeShare(), !u.even.active && u.assigned, u.ownsLimit():
		return UsageOwn
	case u.even.active && (u.even.near || u.even.share > 0):
		return UsageNear
	}
	return UsageOther
}

// usageCost returns the cost of an engine that isn't this entry's own.
func (f *Fleet) usageCost(u *upstream) time.Duration {
	switch usage := f.usage(u); {
	case usage == UsageOwn, u.ownsLimit():
		return 0
	case usage == UsageOther && u.even.active:
		return unassignedCost + farCost
	}
	return unassignedCost
}

package target

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
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
	// otherCost is added to unassignedCost for engines of UsageOther while slots are scarce. The sum is
	// below the cost of an engine of another region in which this entry has no share.
	otherCost = 30 * time.Millisecond
	// scarceReserveDivisor is the part of the slots, as a divisor, that is left free at engines of
	// UsageOther while slots are scarce. With a third, up to 30 entries of a region overload the same
	// engine in the model.
	scarceReserveDivisor = 2
	// maxFreeRatio is the free part of a region's slots from which they aren't scarce, so that an entry with
	// much demand uses all engines alike. At minFreeRatio and below, engines of UsageOther are used last.
	maxFreeRatio = 0.25
	minFreeRatio = 0.1
	// freeSlotsInterval is the least time between two sums of free slots. Entries with a large pool receive
	// thousands of load reports a second.
	freeSlotsInterval = 20 * time.Millisecond
	// maxCrowding is the number of entries per engine of a region, relative to the mean, above which some of its
	// entries have their shares in other regions.
	maxCrowding = 1.5
	// minSharingEntries is the number of entries of a region from which its engines are shared in any case.
	// In the model, with an engine or more for each entry, shares serve 0.01 to 0.02 more in time with 2
	// entries in a region, 0.03 to 0.06 with 11, and 0.13 to 0.25 with 33.
	minSharingEntries = 12
	// remoteUse is the part of their shares that entries of other regions are assumed to use.
	remoteUse = 0.75
)

// EvenLoad says which pools have even load.
type EvenLoad int

// The values of EvenLoad.
const (
	// EvenAuto is for pools that need it: where a region has more entries than engines or many entries, or
	// engines are evacuated.
	EvenAuto EvenLoad = iota
	// EvenAlways is for all pools.
	EvenAlways
	// EvenNever is for none.
	EvenNever
)

// evenPool is the state of a pool with respect to even load.
type evenPool struct {
	active bool
	// scarcity is 0 if many slots of the region are free, and 1 if hardly any are.
	scarcity float64
	// hasRemoteShares is set if some entries have shares in other regions.
	hasRemoteShares bool
}

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
	// remoteShare is the part of the slots that belongs to entries of other regions.
	remoteShare float64
}

// wantsEvenLoad reports whether a pool needs even load: if a region has more entries than engines, so that
// not every entry is assigned one, or minSharingEntries, or if some engines are evacuated, so that those of
// other failure domains serve their demand. The result is the same in all regions, since entries of one
// may have shares in engines of another. Engines that hold no version yet count, because the result would
// otherwise change while they load it.
func (f *Fleet) wantsEvenLoad(all []*upstream) bool {
	switch f.options.EvenLoad {
	case EvenAlways:
		return true
	case EvenNever:
		return false
	}
	engines := make(map[hosts.Region]int)
	for _, u := range all {
		domain := hosts.Domain(u.row.Domain)
		switch {
		case u.row.Slots == 0 || u.row.Draining:
		case f.evacuated[domain]:
			return true
		default:
			engines[f.options.Regions[domain]]++
		}
	}
	entries := make(map[hosts.Region]int)
	for _, h := range f.options.Entries() {
		entries[h.Place.Region]++
	}
	for r, n := range engines {
		if entries[r] > n || entries[r] >= minSharingEntries {
			return true
		}
	}
	return false
}

// assignShares computes the shares of this entry in the engines of all regions, and which engines of its
// own region it uses beyond them. The names of the region's entries are sorted. The caller holds the mutex.
func (f *Fleet) assignShares(local []hosts.Name) {
	for name, all := range f.pools {
		active := slices.Contains(local, f.options.Self) && f.wantsEvenLoad(all)
		if f.even[name].active != active {
			f.options.Log.Info("even-load", zap.String("pool", name), zap.Bool("active", active), zap.Int("entries", len(local)), zap.Int("upstreams", len(all)))
		}
		scarcity := f.even[name].scarcity
		f.even[name] = evenPool{active: active}
		for _, u := range all {
			u.even = evenShare{active: active}
		}
		if active {
			f.even[name] = evenPool{active: true, scarcity: scarcity, hasRemoteShares: f.assignPoolShares(all, local)}
		}
	}
}

// assignPoolShares computes the shares in the engines of a pool. It reports whether some entries have
// shares in other regions.
func (f *Fleet) assignPoolShares(all []*upstream, local []hosts.Name) bool {
	regions, hasRemoteShares := f.shareRegions(all)
	for _, r := range regions {
		slices.Sort(r.entries)
		index := slices.Index(r.entries, f.options.Self)
		slices.SortFunc(r.engines, compareShareOrder)
		isRemote := make([]bool, len(r.entries))
		for j, e := range r.entries {
			_, isLocal := slices.BinarySearch(local, e)
			isRemote[j] = !isLocal
		}
		width := float64(len(r.engines)) / float64(max(len(r.entries), 1))
		low, high := float64(index)*width, float64(index+1)*width
		for i, u := range r.engines {
			if index >= 0 {
				u.even.share = overlap(low, high, i)
			}
			if !f.isRemote(u) {
				u.even.remoteShare = remoteShareOf(i, width, isRemote)
			}
			u.even.near = !f.isRemote(u) && f.isNear(u, local)
		}
	}
	return hasRemoteShares
}

// overlap returns the part of the interval of engine i, which is from i to i+1, that lies between low and high.
func overlap(low, high float64, i int) float64 {
	return max(min(high, float64(i+1))-max(low, float64(i)), 0)
}

// remoteShareOf returns the part of engine i that belongs to entries of other regions. Entry j has the
// interval from j times width on, of that width.
func remoteShareOf(i int, width float64, isRemote []bool) float64 {
	share := 0.0
	for j := int(float64(i) / width); j < len(isRemote) && float64(j)*width < float64(i+1); j++ {
		if isRemote[j] {
			share += overlap(float64(j)*width, float64(j+1)*width, i)
		}
	}
	return share
}

// shareRegion is a region with the engines that take requests and the entries that share them.
type shareRegion struct {
	name    hosts.Region
	entries []hosts.Name
	engines []*upstream
}

// entriesPerEngine is infinite for a region that has entries and no engines, and NaN for one that has
// neither.
func (r *shareRegion) entriesPerEngine() float64 {
	return float64(len(r.entries)) / float64(len(r.engines))
}

// shareRegions returns the regions with the entries that share their engines. Entries of a region with
// far fewer engines than entries, for example because its engines are evacuated, have their shares in
// another region, and then hasRemoteShares is set.
func (f *Fleet) shareRegions(all []*upstream) (regions []*shareRegion, hasRemoteShares bool) {
	byName := make(map[hosts.Region]*shareRegion)
	region := func(name hosts.Region) *shareRegion {
		if byName[name] == nil {
			byName[name] = &shareRegion{name: name}
		}
		return byName[name]
	}
	entries, engines := 0, 0
	for _, h := range f.options.Entries() {
		r := region(h.Place.Region)
		r.entries = append(r.entries, h.Name)
		entries++
	}
	for _, u := range all {
		domain := hosts.Domain(u.row.Domain)
		if !u.isShared() || f.evacuated[domain] {
			continue
		}
		r := region(f.options.Regions[domain])
		r.engines = append(r.engines, u)
		engines++
	}
	if engines == 0 {
		return nil, false
	}
	regions = slices.SortedFunc(maps.Values(byName), func(a, b *shareRegion) int { return cmp.Compare(a.name, b.name) })
	mean := float64(entries) / float64(engines)
	for _, r := range regions {
		if r.entriesPerEngine() > maxCrowding*mean {
			moveShares(regions, r, mean)
			hasRemoteShares = true
		}
	}
	return regions, hasRemoteShares
}

// moveShares moves entries of a region to the regions with the fewest entries per engine, until it has
// no more than the mean. Entries are moved in hash order, the same in all processes.
func moveShares(regions []*shareRegion, from *shareRegion, mean float64) {
	slices.SortFunc(from.entries, func(a, b hosts.Name) int { return cmp.Compare(hosts.Score("share", a), hosts.Score("share", b)) })
	for keep := int(mean * float64(len(from.engines))); len(from.entries) > keep; {
		to := slices.MinFunc(regions, func(a, b *shareRegion) int { return cmp.Compare(a.entriesPerEngine(), b.entriesPerEngine()) })
		if to == from {
			return
		}
		last := len(from.entries) - 1
		to.entries, from.entries = append(to.entries, from.entries[last]), from.entries[:last]
	}
}

// isShared reports whether the engine's slots are divided into shares. New engines hold no version for
// some seconds. One that replaces its version remains shared, so that shares don't change with each load.
func (u *upstream) isShared() bool { return u.hasServed && !u.row.Draining }

// recordHeld reports whether the versions show for the first time that the engine serves.
func (u *upstream) recordHeld(all []state.HeldVersion) bool {
	if u.hasServed || !slices.ContainsFunc(all, func(h state.HeldVersion) bool { return h.Whole && h.Version > 0 }) {
		return false
	}
	u.hasServed = true
	return true
}

// compareShareOrder orders engines by hash. The hash key must be the same in all entries, including those of other
// releases.
func compareShareOrder(a, b *upstream) int {
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

// isOpen reports whether the engine is in this entry's region and takes requests.
func (f *Fleet) isOpen(now time.Time, u *upstream) bool {
	isClosed := u.health.IsDown(now) || u.demands.isClosed(now)
	return !f.isRemote(u) && !isClosed && u.isShared() && u.isOffered(now) && !f.evacuated[hosts.Domain(u.row.Domain)]
}

// sumFreeSlots computes how much of the slots of the region's engines is free, as far as is known. The caller
// holds the mutex.
func (f *Fleet) sumFreeSlots(now time.Time) {
	if now.Sub(f.freeSlotsAt) < freeSlotsInterval {
		return
	}
	f.freeSlotsAt = now
	for name, p := range f.even {
		if !p.active {
			continue
		}
		free, slots := 0, 0
		for _, u := range f.pools[name] {
			if f.isOpen(now, u) {
				free += max(u.row.Slots-u.load(now).Running, 0)
				slots += u.row.Slots
			}
		}
		p.scarcity = 1
		if slots > 0 {
			p.scarcity = min(max((maxFreeRatio-float64(free)/float64(slots))/(maxFreeRatio-minFreeRatio), 0), 1)
		}
		f.even[name] = p
	}
}

// hasFreeShare reports whether this entry uses less than its share of the engine's slots and queue.
func (u *upstream) hasFreeShare() bool {
	capacity := u.row.Slots + u.row.Slots/queueDivisor
	return float64(u.running) < u.even.share*float64(capacity)
}

// usage returns the relation of this entry to the engine.
func (f *Fleet) usage(u *upstream) Usage {
	switch {
	case u.even.active && u.hasFreeShare(), !u.even.active && u.assigned:
		return UsageOwn
	case f.isRemote(u):
		return UsageRemote
	case u.even.active && (u.even.near || u.even.share > 0):
		return UsageNear
	}
	return UsageOther
}

// usageCost returns the cost of an engine that isn't this entry's own. A share in another region costs
// more than other engines of this one, because bytes between regions are expensive.
func (f *Fleet) usageCost(now time.Time, u *upstream) time.Duration {
	switch usage := f.usage(u); {
	case u.ownsLimit(now), usage == UsageOwn && !f.isRemote(u):
		return 0
	case usage == UsageOther && u.even.active:
		return unassignedCost + time.Duration(f.even[u.row.Pool].scarcity*float64(otherCost))
	}
	return unassignedCost
}

// evenReserve returns the number of slots that this entry leaves free at an engine of UsageOther or
// UsageRemote in a pool with even load.
func (f *Fleet) evenReserve(u *upstream, slots int) int {
	p := f.even[u.row.Pool]
	switch {
	case !f.isRemote(u):
		low, high := float64(slots/regionReserveDivisor), float64(slots/scarceReserveDivisor)
		return int(low + (high-low)*p.scarcity)
	case p.hasRemoteShares:
		return slots / scarceReserveDivisor
	}
	return slots / remoteReserveDivisor
}

// isUsedRemotely reports whether this entry uses the engine, which is in another region.
func (u *upstream) isUsedRemotely() bool { return u.remoteAssigned || u.even.share > 0 }

// remoteShareRunning returns how many requests entries of other regions are assumed to run in their shares of the
// engine. Those entries send no entry loads to this region, and load reports are older.
func (u *upstream) remoteShareRunning() int {
	return int(remoteUse * u.even.remoteShare * float64(u.row.Slots))
}

// PoolLoad is the load of the region's engines of a pool, as far as this entry knows it.
type PoolLoad struct {
	Pool    string
	Engines int
	// Mean and Busiest are the mean and the largest number of requests at an engine.
	Mean, Busiest float64
	// IsEven is set if the pool has even load.
	IsEven bool
	// Scarcity is 0 if many slots are free, and 1 if hardly any are.
	Scarcity float64
	// Slow is the number of engines that this entry considers slow.
	Slow int
}

// PoolLoads returns the loads of the pools that have engines in the region, ordered by name.
func (f *Fleet) PoolLoads(now time.Time) []PoolLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var loads []PoolLoad
	for name, all := range f.pools {
		l := PoolLoad{Pool: name, IsEven: f.even[name].active, Scarcity: f.even[name].scarcity}
		for _, u := range all {
			if u.row.Slots == 0 || !f.isOpen(now, u) {
				continue
			}
			running := float64(u.load(now).Running)
			l.Engines++
			l.Mean += running
			l.Busiest = max(l.Busiest, running)
			if u.slowness.pace > 0 {
				l.Slow++
			}
		}
		if l.Engines > 0 {
			l.Mean /= float64(l.Engines)
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b PoolLoad) int { return cmp.Compare(a.Pool, b.Pool) })
	return loads
}

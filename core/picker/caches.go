package picker

import "slices"

const (
	// maxPrefixes bounds the prefixes that are tracked for one upstream.
	maxPrefixes = 256
	// maxHolders bounds the upstreams that are tracked for one prefix.
	maxHolders = 8
)

// CacheEvent reports that the prefix cache of an engine added or dropped a prefix.
type CacheEvent struct {
	// Prefix is PrefixOf the body of a request.
	Prefix  uint64
	Dropped bool
}

// Caches tracks the prefix caches of engines from their published events. The prefixes of an
// upstream are dropped as soon as events of it were missed. It isn't safe for concurrent use.
type Caches struct {
	// views is keyed by the seed of the upstream, see SeedOf.
	views map[uint64]*cacheView
	// holders is the inverse of views: the seeds of the upstreams by prefix.
	holders map[uint64][]uint64
}

type cacheView struct {
	// serial is the number of events of the engine up to the last one applied.
	serial uint64
	// prefixes are the cached prefixes, the oldest first.
	prefixes []uint64
}

// NewCaches returns a Caches without upstreams.
func NewCaches() *Caches {
	return &Caches{views: make(map[uint64]*cacheView), holders: make(map[uint64][]uint64)}
}

// Holders returns the seeds of the upstreams that have the prefix cached. Callers must not
// retain the slice.
func (c *Caches) Holders(prefix uint64) []uint64 { return c.holders[prefix] }

// LastSerial returns the serial of the last event that was applied for an upstream, or zero if
// there is none.
func (c *Caches) LastSerial(seed uint64) uint64 {
	if v := c.views[seed]; v != nil {
		return v.serial
	}
	return 0
}

// ApplyEvents applies the last events of an upstream. Serial counts the events of the engine
// since its start and belongs to the last one in the slice. Events that were applied before
// are skipped. After a gap in the serials, or a restart of the engine, the prefixes known so
// far are dropped first.
func (c *Caches) ApplyEvents(seed, serial uint64, events []CacheEvent) {
	v := c.views[seed]
	if v == nil {
		v = &cacheView{}
		c.views[seed] = v
	}
	previous := serial - uint64(len(events))
	if previous > v.serial || serial < v.serial {
		c.removePrefixes(seed, v)
		v.serial = previous
	}
	for _, e := range events[v.serial-previous:] {
		c.apply(seed, v, e)
	}
	v.serial = serial
}

// Remove drops the state of an upstream.
func (c *Caches) Remove(seed uint64) {
	if v := c.views[seed]; v != nil {
		c.removePrefixes(seed, v)
		delete(c.views, seed)
	}
}

func (c *Caches) removePrefixes(seed uint64, v *cacheView) {
	for _, p := range v.prefixes {
		c.removeHolder(seed, p)
	}
	v.prefixes = nil
}

func (c *Caches) apply(seed uint64, v *cacheView, e CacheEvent) {
	if i := slices.Index(v.prefixes, e.Prefix); i >= 0 {
		v.prefixes = slices.Delete(v.prefixes, i, i+1)
		c.removeHolder(seed, e.Prefix)
	}
	if e.Dropped || len(c.holders[e.Prefix]) >= maxHolders {
		return
	}
	if len(v.prefixes) == maxPrefixes {
		c.removeHolder(seed, v.prefixes[0])
		v.prefixes = slices.Delete(v.prefixes, 0, 1)
	}
	v.prefixes = append(v.prefixes, e.Prefix)
	c.holders[e.Prefix] = append(c.holders[e.Prefix], seed)
}

func (c *Caches) removeHolder(seed, prefix uint64) {
	remaining := slices.DeleteFunc(c.holders[prefix], func(s uint64) bool { return s == seed })
	if len(remaining) == 0 {
		delete(c.holders, prefix)
		return
	}
	c.holders[prefix] = remaining
}

package picker

import "slices"

const (
	// mostPrefixes bounds what is remembered of one upstream.
	mostPrefixes = 256
	// mostHolders bounds the upstreams that are remembered for one prefix.
	mostHolders = 8
)

// CacheEvent tells that an engine's cache took a prefix in or dropped it.
type CacheEvent struct {
	Prefix  uint64
	Dropped bool
}

// Caches holds what the engines published of their prefix caches. It forgets an
// upstream as soon as events of it were missed. One goroutine at a time may use
// it.
type Caches struct {
	// views is keyed by the seed of the upstream.
	views map[uint64]*cacheView
	// holders is keyed by prefix and agrees with the views.
	holders map[uint64][]uint64
}

type cacheView struct {
	// serial is that of the last event.
	serial uint64
	// prefixes are those held, the oldest first.
	prefixes []uint64
}

// NewCaches returns a view of caches that are not known.
func NewCaches() *Caches {
	return &Caches{views: make(map[uint64]*cacheView), holders: make(map[uint64][]uint64)}
}

// Holders returns the seeds of the upstreams that hold the prefix. Callers must
// not keep the slice.
func (c *Caches) Holders(prefix uint64) []uint64 { return c.holders[prefix] }

// LastSerial returns the serial of the last event that was taken of an upstream.
func (c *Caches) LastSerial(seed uint64) uint64 {
	if v := c.views[seed]; v != nil {
		return v.serial
	}
	return 0
}

// ApplyEvents takes the last events of an upstream. Serial counts the events of the
// engine since its start and is that of the last one in the slice. Events that
// were taken before are passed over.
func (c *Caches) ApplyEvents(seed, serial uint64, events []CacheEvent) {
	v := c.views[seed]
	if v == nil {
		v = &cacheView{}
		c.views[seed] = v
	}
	first := serial - uint64(len(events))
	if first > v.serial || serial < v.serial {
		c.forget(seed, v)
		v.serial = first
	}
	for _, e := range events[v.serial-first:] {
		c.apply(seed, v, e)
	}
	v.serial = serial
}

// Remove drops what is known of an upstream.
func (c *Caches) Remove(seed uint64) {
	if v := c.views[seed]; v != nil {
		c.forget(seed, v)
		delete(c.views, seed)
	}
}

func (c *Caches) forget(seed uint64, v *cacheView) {
	for _, p := range v.prefixes {
		c.unhold(seed, p)
	}
	v.prefixes = nil
}

func (c *Caches) apply(seed uint64, v *cacheView, e CacheEvent) {
	if i := slices.Index(v.prefixes, e.Prefix); i >= 0 {
		v.prefixes = slices.Delete(v.prefixes, i, i+1)
		c.unhold(seed, e.Prefix)
	}
	if e.Dropped || len(c.holders[e.Prefix]) >= mostHolders {
		return
	}
	if len(v.prefixes) == mostPrefixes {
		c.unhold(seed, v.prefixes[0])
		v.prefixes = slices.Delete(v.prefixes, 0, 1)
	}
	v.prefixes = append(v.prefixes, e.Prefix)
	c.holders[e.Prefix] = append(c.holders[e.Prefix], seed)
}

func (c *Caches) unhold(seed, prefix uint64) {
	left := slices.DeleteFunc(c.holders[prefix], func(s uint64) bool { return s == seed })
	if len(left) == 0 {
		delete(c.holders, prefix)
		return
	}
	c.holders[prefix] = left
}

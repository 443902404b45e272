package target

import (
	"maps"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Fork returns a copy of the state of one pool. Choices there have no effect on this fleet and are
// made without randomness: it draws zero. The copy is meant for a few decisions, since it gets no
// further messages.
//
// Whatever decisions change must be copied.
func (f *Fleet) Fork(pool string) *Fleet {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	o := f.options
	o.Random, o.Log, o.Metrics = func() float64 { return 0 }, zap.NewNop(), tally.NoopScope
	c := New(o)
	c.limitedReturns, c.releases, c.evacuated = maps.Clone(f.limitedReturns), maps.Clone(f.releases), f.evacuated
	c.stated = maps.Clone(f.stated)
	c.knownEntries, c.asksSince = f.knownEntries, f.asksSince
	c.seen, c.liveShare, c.regionShares, c.regionViews = maps.Clone(f.seen), f.liveShare, maps.Clone(f.regionShares), maps.Clone(f.regionViews)
	c.hasSnapshot, c.even = f.hasSnapshot, maps.Clone(f.even)
	if m := f.meters[pool]; m != nil {
		c.meters[pool] = m.Clone()
	}
	for _, u := range f.pools[pool] {
		copied := u.clone()
		c.upstreams[u.row.ID] = copied
		c.pools[pool] = append(c.pools[pool], copied)
		if f.limited[u.row.ID] == u {
			c.limited[u.row.ID] = copied
		}
	}
	return c
}

// clone returns an independent copy.
func (u *upstream) clone() *upstream {
	c := *u
	c.demands.limit, c.observed = u.demands.limit.clone(), maps.Clone(u.observed)
	return &c
}

package target

import (
	"maps"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Fork returns a copy of the state of one pool. Choices there have no effect on this fleet, and its
// random numbers are all zero. The copy is meant for a few decisions, since it gets no further messages.
//
// Invariant: state that a decision changes is copied, not shared.
func (f *Fleet) Fork(pool string) *Fleet {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	o := f.options
	o.Random, o.Log, o.Metrics = func() float64 { return 0 }, zap.NewNop(), tally.NoopScope
	c := New(o)
	c.limitedReturns, c.releases, c.evacuated = maps.Clone(f.limitedReturns), maps.Clone(f.releases), f.evacuated
	c.stated = maps.Clone(f.stated)
	c.knownEntries, c.asksSince = f.knownEntries, f.asksSince
	c.seen, c.liveFraction, c.regionFractions, c.regionViews = maps.Clone(f.seen), f.liveFraction, maps.Clone(f.regionFractions), maps.Clone(f.regionViews)
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

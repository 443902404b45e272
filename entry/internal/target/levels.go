package target

import (
	"math"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/entry/internal/level"
)

// PoolDemand is what lately arrived at an entry for a pool, by level.
type PoolDemand struct {
	// Pool is HashOf of the pool's name.
	Pool   uint64
	Counts level.Counts
}

// lastReserveDivisor is the part of an engine's slots, as a divisor, that is reserved against clients
// that return with the last level, for newcomers that can still be in time.
const lastReserveDivisor = 6

// RecordArrival counts a first request to a pool with several levels, and whether it found room
// early.
func (f *Fleet) RecordArrival(now time.Time, reqs Requirements, hasRoom bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.meters[reqs.Pool.Name]
	if m == nil || m.Levels() != reqs.Levels {
		m = level.NewMeter(reqs.Levels)
		f.meters[reqs.Pool.Name] = m
	}
	m.RecordArrival(now, reqs.Level, hasRoom)
}

// maxDemands bounds the pools in one message, which is a single datagram. Each takes up to 110 bytes.
const maxDemands = 64

// Demands returns the counts of this entry for one message. If there are more than maxDemands pools, each
// call returns a random selection.
func (f *Fleet) Demands(now time.Time) []PoolDemand {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []PoolDemand
	for pool, m := range f.meters {
		if f.pools[pool] == nil {
			delete(f.meters, pool)
			continue
		}
		if len(all) < maxDemands {
			all = append(all, PoolDemand{Pool: HashOf(pool), Counts: m.Own(now)})
		}
	}
	return all
}

// ReceiveDemands replaces the counts of another entry of the region. Counts of pools for which this entry
// has had no requests are dropped.
func (f *Fleet) ReceiveDemands(now time.Time, from hosts.Name, all []PoolDemand) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for pool, m := range f.meters {
		hash := HashOf(pool)
		for _, d := range all {
			if d.Pool == hash {
				m.Receive(now, from, d.Counts)
			}
		}
	}
}

// LevelReserve returns the slots of each engine that are reserved against the level of the request.
func (f *Fleet) LevelReserve(now time.Time, reqs Requirements) float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.levelReserve(now, reqs)
}

func (f *Fleet) levelReserve(now time.Time, reqs Requirements) float64 {
	m := f.meters[reqs.Pool.Name]
	if reqs.Levels <= 1 || m == nil || m.Levels() != reqs.Levels || reqs.Exempt {
		return 0
	}
	slots := float64(reqs.Pool.Engine.Slots)
	switch {
	case !reqs.Returned:
		return m.Reserves(now)[reqs.Level] * slots
	case reqs.Level == reqs.Levels-1:
		return (m.Reserves(now)[reqs.Levels] + 1.0/lastReserveDivisor) * slots
	}
	// A response to a client that returns is late in any case, so the request counts as less urgent
	// than those of newcomers of its level.
	return m.Reserves(now)[reqs.Level+1] * slots
}

// urgentReserve returns the slots that the request leaves free at an engine for more urgent ones. If the
// reserve isn't a whole number, it is rounded up at a part of the engines, the same ones for all entries.
func (f *Fleet) urgentReserve(reqs Requirements, u *upstream, reserve float64) int {
	if reqs.Levels <= 1 {
		return 0
	}
	n := int(reserve + float64(HashOf(u.row.ID))/math.MaxUint64)
	for _, h := range reqs.Ahead {
		if h.Allows(f.options.Regions[hosts.Domain(u.row.Domain)]) {
			n++
		}
	}
	return n
}

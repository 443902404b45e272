package level

import (
	"maps"
	"math"
	"time"

	"currantport.example/core/hosts"
)

const (
	// countWindow is the time constant of the counts by level. A burst of several hundred
	// milliseconds stands out in it, and a region's entries count several dozen requests of
	// each level.
	countWindow = time.Second
	// reportTTL is how long the counts of another entry are valid, which sends several in
	// that time.
	reportTTL = 400 * time.Millisecond
	// toleratedShortage is the ratio of requests that may find no room early without a reserve
	// for them. Even if the demand is below the capacity, some find all engines full by chance.
	toleratedShortage = 0.03
	// fullShortage is the ratio from which the reserve for a level is full. A burst that
	// fills all engines reaches it within a sixth of countWindow.
	fullShortage = 0.15
	// levelReserveDivisor bounds the part of an engine's slots, as a divisor, that is reserved
	// for each level. An idle slot costs throughput, and each reserved one divides the number of
	// requests without room by the ratio of the capacity to the demand of the level, so one
	// or two are enough.
	levelReserveDivisor = 8
)

// Counts are the first requests by level, decayed with countWindow. Requests of clients that return
// aren't counted.
type Counts struct {
	Arrived []float64
	// Placed are those of them that found room early: within half of Request.Grace.
	Placed []float64
}

func (c Counts) add(o Counts) {
	for i := range min(len(c.Arrived), len(o.Arrived), len(o.Placed)) {
		c.Arrived[i] += o.Arrived[i]
		c.Placed[i] += o.Placed[i]
	}
}

func newCounts(levels int) Counts {
	return Counts{Arrived: make([]float64, levels), Placed: make([]float64, levels)}
}

// Meter counts the requests for a pool by level, and derives the reserves from the counts of all
// entries of the region. It is not safe for concurrent use.
type Meter struct {
	own     Counts
	countAt time.Time
	others  map[hosts.Name]reportedCounts
}

type reportedCounts struct {
	receivedAt time.Time
	counts     Counts
}

// NewMeter returns a meter without counts.
func NewMeter(levels int) *Meter {
	return &Meter{own: newCounts(levels), others: make(map[hosts.Name]reportedCounts)}
}

// Clone returns an independent copy.
func (m *Meter) Clone() *Meter {
	own := newCounts(m.Levels())
	own.add(m.own)
	return &Meter{own: own, countAt: m.countAt, others: maps.Clone(m.others)}
}

// Levels returns the number of levels.
func (m *Meter) Levels() int { return len(m.own.Arrived) }

func (m *Meter) decay(now time.Time) {
	if d := now.Sub(m.countAt); d > 0 {
		factor := math.Exp(-float64(d) / float64(countWindow))
		for i := range m.own.Arrived {
			m.own.Arrived[i] *= factor
			m.own.Placed[i] *= factor
		}
		m.countAt = now
	}
}

// RecordArrival counts a first request and whether it found room early.
func (m *Meter) RecordArrival(now time.Time, level int, hasRoom bool) {
	m.decay(now)
	m.own.Arrived[level]++
	if hasRoom {
		m.own.Placed[level]++
	}
}

// Own returns the counts of this entry.
func (m *Meter) Own(now time.Time) Counts {
	m.decay(now)
	c := newCounts(m.Levels())
	c.add(m.own)
	return c
}

// Receive replaces the counts of another entry. Counts of an entry that distinguishes another
// number of levels are ignored, because its configuration differs for the moment.
func (m *Meter) Receive(now time.Time, from hosts.Name, c Counts) {
	if len(c.Arrived) != m.Levels() || len(c.Placed) != m.Levels() {
		delete(m.others, from)
		return
	}
	m.others[from] = reportedCounts{receivedAt: now, counts: c}
}

// Reserves returns the parts of an engine's slots that are reserved against each level, and after
// them the part that is reserved against clients that return with the last level. Reserves don't
// decrease from one level to the next.
func (m *Meter) Reserves(now time.Time) []float64 {
	m.decay(now)
	sum := newCounts(m.Levels())
	sum.add(m.own)
	for name, r := range m.others {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(m.others, name)
			continue
		}
		sum.add(r.counts)
	}
	reserves := make([]float64, m.Levels()+1)
	for i, n := range sum.Arrived {
		// One is added to the arrivals, so that the first requests without room count less.
		shortage := max(n-sum.Placed[i], 0) / (n + 1)
		part := (shortage - toleratedShortage) / (fullShortage - toleratedShortage)
		reserves[i+1] = reserves[i] + min(max(part, 0), 1)/levelReserveDivisor
	}
	return reserves
}

package syncer

import (
	"currantport.example/core/state"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/target"
)

// countsPerRequest is what one request adds to a count of wire.Demand, which are in hundredths.
const countsPerRequest = 100

// EncodeDemands returns the wire form of demands. Pools whose counts of arrivals all round down to
// zero are left out.
func EncodeDemands(all []target.PoolDemand) []*wire.Demand {
	var encoded []*wire.Demand
	for _, d := range all {
		m := &wire.Demand{Pool: d.Pool}
		sum := uint32(0)
		for i, n := range d.Counts.Arrived {
			m.Arrived = append(m.Arrived, uint32(n*countsPerRequest))
			m.Placed = append(m.Placed, uint32(d.Counts.Placed[i]*countsPerRequest))
			sum += m.Arrived[i]
		}
		if sum > 0 {
			encoded = append(encoded, m)
		}
	}
	return encoded
}

// DecodeDemands converts the wire form. Malformed demands are left out: those with more than
// state.MaxLevels levels, or with another number of levels in Placed than in Arrived.
func DecodeDemands(all []*wire.Demand) []target.PoolDemand {
	var decoded []target.PoolDemand
	for _, m := range all {
		if len(m.Arrived) != len(m.Placed) || len(m.Arrived) > state.MaxLevels {
			continue
		}
		d := target.PoolDemand{Pool: m.Pool, Counts: level.Counts{}}
		for i, n := range m.Arrived {
			d.Counts.Arrived = append(d.Counts.Arrived, float64(n)/countsPerRequest)
			d.Counts.Placed = append(d.Counts.Placed, float64(m.Placed[i])/countsPerRequest)
		}
		decoded = append(decoded, d)
	}
	return decoded
}

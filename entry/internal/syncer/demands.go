package syncer

import (
	"currantport.example/core/state"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/target"
)

// hundredths is the unit of the counts in a Demand.
const hundredths = 100

// EncodeDemands returns the wire form of demands. Pools without any are left out.
func EncodeDemands(all []target.PoolDemand) []*wire.Demand {
	var encoded []*wire.Demand
	for _, d := range all {
		m := &wire.Demand{Pool: d.Pool}
		sum := uint32(0)
		for i, n := range d.Counts.Arrived {
			m.Arrived = append(m.Arrived, uint32(n*hundredths))
			m.Placed = append(m.Placed, uint32(d.Counts.Placed[i]*hundredths))
			sum += m.Arrived[i]
		}
		if sum > 0 {
			encoded = append(encoded, m)
		}
	}
	return encoded
}

// DecodeDemands converts the wire form. Demands that no process sends are left out.
func DecodeDemands(all []*wire.Demand) []target.PoolDemand {
	var decoded []target.PoolDemand
	for _, m := range all {
		if len(m.Arrived) != len(m.Placed) || len(m.Arrived) > state.MaxLevels {
			continue
		}
		d := target.PoolDemand{Pool: m.Pool, Counts: level.Counts{}}
		for i, n := range m.Arrived {
			d.Counts.Arrived = append(d.Counts.Arrived, float64(n)/hundredths)
			d.Counts.Placed = append(d.Counts.Placed, float64(m.Placed[i])/hundredths)
		}
		decoded = append(decoded, d)
	}
	return decoded
}

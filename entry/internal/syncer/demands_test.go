package syncer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/wire"
	"currantport.example/entry/internal/level"
	"currantport.example/entry/internal/syncer"
	"currantport.example/entry/internal/target"
)

// TestDemandsSurviveTheWire guards against counts that change in a message, and against malformed
// messages that make the entry fail.
func TestDemandsSurviveTheWire(t *testing.T) {
	demand := target.PoolDemand{Pool: 7, Counts: level.Counts{Arrived: []float64{1.25, 0}, Placed: []float64{0.5, 0}}}
	calm := target.PoolDemand{Pool: 8, Counts: level.Counts{Arrived: []float64{0.001, 0}, Placed: []float64{0, 0}}}
	encoded := syncer.EncodeDemands([]target.PoolDemand{demand, calm})
	data, err := proto.Marshal(&wire.Shares{Demands: append(encoded, &wire.Demand{Pool: 9, Arrived: []uint32{1}}, &wire.Demand{Pool: 9, Arrived: make([]uint32, 11), Placed: make([]uint32, 11)})})
	if err != nil {
		t.Fatal(err)
	}
	var m wire.Shares
	if err := proto.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff([]target.PoolDemand{demand}, syncer.DecodeDemands(m.Demands)); d != "" {
		t.Error(d)
	}
}

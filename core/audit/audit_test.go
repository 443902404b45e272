package audit_test

import (
	"strconv"
	"testing"

	"go.uber.org/zap"

	"currantport.example/core/audit"
)

// TestTrailKeepsNewestEntries checks that the newest entries come in order, before and
// after the trail is full.
func TestTrailKeepsNewestEntries(t *testing.T) {
	const length = 1024
	trail := audit.NewTrail(zap.NewNop())
	for added := range uint64(3*length + 7) {
		for _, serial := range []uint64{0, added / 2, added - min(added, 3), added, added + 5} {
			first := max(serial, added-min(added, length)) + 1
			got := trail.After(serial)
			if want := added + 1 - min(first, added+1); uint64(len(got)) != want {
				t.Fatalf("of %d entries %d come after %d, want %d", added, len(got), serial, want)
			}
			for i, e := range got {
				if e.Serial != first+uint64(i) || e.Cause != strconv.FormatUint(e.Serial, 10) {
					t.Fatalf("entry %d after %d is %d, cause %s", i, serial, e.Serial, e.Cause)
				}
			}
		}
		trail.Add(audit.EventHosts, "hosts", strconv.FormatUint(added+1, 10))
	}
}

func BenchmarkAdd(b *testing.B) {
	trail := audit.NewTrail(zap.NewNop())
	for range 2048 {
		trail.Add(audit.EventHosts, "hosts", "full")
	}
	b.ReportAllocs()
	for b.Loop() {
		trail.Add(audit.EventHosts, "hosts", "next")
	}
}

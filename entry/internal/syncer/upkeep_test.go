package syncer_test

import (
	"testing"
	"time"

	"currantport.example/entry/internal/syncer"
)

// TestSharesAreBoundedInAnyFleet bounds what an entry sends to the others of its region, and
// the time between two messages by the time for which one counts.
func TestSharesAreBoundedInAnyFleet(t *testing.T) {
	const most, life = 200, 400 * time.Millisecond
	for _, entries := range []int{0, 1, 2, 8, 16, 40} {
		d := syncer.EntryLoadInterval(entries)
		if rate := float64(entries) / d.Seconds(); rate > most {
			t.Errorf("%d entries get %.0f messages a second", entries, rate)
		}
		if d < 40*time.Millisecond || 2*d > life {
			t.Errorf("%d entries: %s between two messages, of which each counts for %s", entries, d, life)
		}
	}
}

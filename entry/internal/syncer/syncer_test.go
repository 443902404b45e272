package syncer_test

import (
	"testing"
	"time"

	"currantport.example/entry/internal/syncer"
)

// TestEntryLoadMessageRateIsBounded bounds the messages that an entry sends, for regions of any
// size, and keeps two of them within the time for which one is valid.
func TestEntryLoadMessageRateIsBounded(t *testing.T) {
	const maxRate, ttl = 200, 400 * time.Millisecond
	for _, entries := range []int{0, 1, 2, 8, 16, 40} {
		d := syncer.EntryLoadInterval(entries)
		if rate := float64(entries) / d.Seconds(); rate > maxRate {
			t.Errorf("%d entries: %.0f messages a second", entries, rate)
		}
		if d < 40*time.Millisecond || 2*d > ttl {
			t.Errorf("%d entries: %s between two messages, each valid for %s", entries, d, ttl)
		}
	}
}

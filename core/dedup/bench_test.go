package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
)

// BenchmarkKeys measures what a key costs its owner: memory for the record and a
// small response, and time for a request and for a retry.
func BenchmarkKeys(b *testing.B) {
	const count = 30_000
	for b.Loop() {
		o := dedup.DefaultOptions(self)
		o.MaxResponseBytes = 64 << 20
		m := dedup.NewMemory(o, dedup.NewClaims(epoch, self, bounds))
		keys := make([]calls.Key, count)
		for i := range keys {
			keys[i] = m.Mint()
		}
		before := inUse()
		start := time.Now()
		for _, k := range keys {
			a := attemptOf(k, "")
			m.Begin(epoch, a)
			m.Finish(epoch, a, nil)
		}
		run := time.Since(start)
		size := inUse() - before
		start = time.Now()
		for _, k := range keys {
			m.Begin(epoch, attemptOf(k, ""))
		}
		retry := time.Since(start)
		fmt.Printf("bench=keys count=%d mark=%d run=%d resend=%d\n", count, size/count, run.Nanoseconds()/count, retry.Nanoseconds()/count)
		runtime.KeepAlive(m)
	}
}

// inUse returns the number of heap bytes in use.
func inUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

package sender_test

import (
	"fmt"
	"runtime"
	"testing"

	"currantport.example/core/trial"
)

// BenchmarkSend counts the allocations per request, including those of the fake
// agent.
func BenchmarkSend(b *testing.B) {
	const count = 50
	w := newWorld(b, trial.NewScript(nil))
	send := func() {
		if _, r := w.send(idempotentRoute, "", "", false); r != nil {
			b.Fatal(r)
		}
	}
	send()
	for b.Loop() {
		before := mallocs()
		for range count {
			send()
		}
		fmt.Printf("bench=send count=%d allocations=%d\n", count, (mallocs()-before)/count)
	}
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

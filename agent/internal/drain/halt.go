// Package drain stops an agent without cutting requests. The agent refuses new
// work at once, finishes what runs and serves chunks until then.
package drain

import (
	"context"
	"time"

	"currantport.example/core/admit"
)

const interval = 50 * time.Millisecond

// Gate takes requests.
type Gate interface {
	// Drain makes the gate refuse new requests.
	Drain(cause string)
	// InProgress returns the number of requests in progress.
	InProgress() int
}

// Wait drains the gate and returns once nothing runs, the time has passed or
// the context has ended. It reports whether requests are still in progress.
func Wait(ctx context.Context, g Gate, within time.Duration) (cut bool) {
	g.Drain("shutdown")
	d := admit.Drain{Within: within}
	d.Begin(time.Now())
	for d.Phase(time.Now(), g.InProgress()) != admit.PhaseDone {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return g.InProgress() > 0
		}
	}
	return g.InProgress() > 0
}

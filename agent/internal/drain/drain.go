// Package drain shuts an agent down without cutting off requests. The agent refuses
// new requests at once, finishes those in progress and serves chunks until then.
package drain

import (
	"context"
	"time"

	"currantport.example/core/admit"
)

const pollInterval = 50 * time.Millisecond

// Gate accepts requests.
type Gate interface {
	// Drain makes the gate refuse new requests. The cause is recorded in the audit
	// trail.
	Drain(cause string)
	// InProgress returns the number of requests in progress.
	InProgress() int
}

// Wait drains the gate. It returns once no requests are in progress, the timeout
// has passed or the context has ended, and reports whether requests are still in
// progress.
func Wait(ctx context.Context, g Gate, timeout time.Duration) (cut bool) {
	g.Drain("shutdown")
	d := admit.Drain{FinishTimeout: timeout}
	d.Start(time.Now())
	for d.Phase(time.Now(), g.InProgress()) != admit.PhaseDone {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return g.InProgress() > 0
		}
	}
	return g.InProgress() > 0
}

package admit

import "time"

// Phase is a phase of a graceful shutdown.
type Phase string

// The phases of a graceful shutdown, in their order.
const (
	// PhaseOpen accepts requests and advertises the address to clients.
	PhaseOpen Phase = "open"
	// PhaseUnadvertised still accepts requests but no longer advertises the address.
	PhaseUnadvertised Phase = "unnamed"
	// PhaseClosed refuses new requests and finishes those in progress.
	PhaseClosed Phase = "closed"
	// PhaseDone has no requests left, or FinishTimeout has passed.
	PhaseDone Phase = "done"
)

// Drain tracks a graceful shutdown. One goroutine at a time may use it.
type Drain struct {
	// AcceptTime is how long requests are accepted after the shutdown has started. It
	// must be at least the lifetime of the addresses that clients were given.
	AcceptTime time.Duration
	// FinishTimeout limits the time after AcceptTime for the requests in progress.
	FinishTimeout time.Duration

	startedAt time.Time
}

// Start starts the shutdown. It reports false if it has started before.
func (d *Drain) Start(now time.Time) bool {
	if !d.startedAt.IsZero() {
		return false
	}
	d.startedAt = now
	return true
}

// Phase returns the phase at the given time. Running is the number of requests in
// progress.
func (d *Drain) Phase(now time.Time, running int) Phase {
	closes := d.startedAt.Add(d.AcceptTime)
	switch {
	case d.startedAt.IsZero():
		return PhaseOpen
	case now.Before(closes):
		return PhaseUnadvertised
	case running > 0 && now.Before(closes.Add(d.FinishTimeout)):
		return PhaseClosed
	}
	return PhaseDone
}

package admit

import "time"

// Phase is how far a planned stop has come.
type Phase string

// The phases of a planned stop, in their order.
const (
	// PhaseOpen takes requests and is named to callers.
	PhaseOpen Phase = "open"
	// PhaseUnadvertised still takes requests and is no longer named.
	PhaseUnadvertised Phase = "unnamed"
	// PhaseClosed takes no requests and finishes those in progress.
	PhaseClosed Phase = "closed"
	// PhaseDone has nothing left to do.
	PhaseDone Phase = "done"
)

// Drain is a planned stop. It never goes back to an earlier phase. One
// goroutine at a time may use it.
type Drain struct {
	// AcceptTime is how long requests are taken after the stop began: at least the
	// lifetime of the addresses that were given out.
	AcceptTime time.Duration
	// FinishTimeout bounds the time from then until the requests are done.
	FinishTimeout time.Duration

	began time.Time
}

// Start starts the stop. It reports false if it had begun already.
func (d *Drain) Start(now time.Time) bool {
	if !d.began.IsZero() {
		return false
	}
	d.began = now
	return true
}

// Phase returns the phase at the time, with the number of requests in progress.
func (d *Drain) Phase(now time.Time, running int) Phase {
	closes := d.began.Add(d.AcceptTime)
	switch {
	case d.began.IsZero():
		return PhaseOpen
	case now.Before(closes):
		return PhaseUnadvertised
	case running > 0 && now.Before(closes.Add(d.FinishTimeout)):
		return PhaseClosed
	}
	return PhaseDone
}

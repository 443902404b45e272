// Package acks decides from the state of a TCP connection whether its peer is gone. It does no
// I/O.
//
// # Slow and gone peers
//
// A peer that reads nothing closes its window, and its kernel acknowledges each probe of the
// window. A peer that is gone acknowledges nothing. Neither makes progress, so that only what was
// sent since the last acknowledgment tells them apart.
package acks

import (
	"errors"
	"time"
)

// ErrGone is the error of a connection whose peer has acknowledged nothing for too long.
var ErrGone = errors.New("the peer acknowledges nothing")

// minProbes is the number of unanswered window probes that count as silence. One may be lost, and
// the next one follows only after twice the time.
const minProbes = 2

// State is the state of the sending direction of a connection.
type State struct {
	// IsPending is set while data is unsent or unacknowledged.
	IsPending bool
	// Retransmits is how often data in flight was sent again since some of it was acknowledged.
	Retransmits int
	// SentAt is when data was last sent or sent again, AcknowledgedAt when the last acknowledgment
	// was received.
	SentAt, AcknowledgedAt time.Time
	// Probes is the number of probes of the peer's window since the last acknowledgment.
	Probes int
	// RetransmitTimeout is the time after which unacknowledged data is sent again.
	RetransmitTimeout time.Duration
}

// Timer measures for how long a peer has acknowledged nothing. Use NewTimer. It isn't safe for
// concurrent use.
type Timer struct {
	timeout time.Duration
	// writtenAt is when data was first written since none was pending.
	writtenAt time.Time
	// probedAt is when minProbes were first unanswered, or zero.
	probedAt time.Time
}

// NewTimer returns a timer for data written at the given time. A peer without an acknowledgment
// for the timeout is gone.
func NewTimer(writtenAt time.Time, timeout time.Duration) *Timer {
	return &Timer{timeout: timeout, writtenAt: writtenAt}
}

// IsGone reports whether the peer is gone, by the state at the current time. It is called at
// intervals well below the timeout while data is pending.
func (t *Timer) IsGone(now time.Time, s State) bool {
	if s.Probes < minProbes {
		t.probedAt = time.Time{}
	} else if t.probedAt.IsZero() {
		t.probedAt = now
	}
	switch {
	case !t.probedAt.IsZero():
		return now.Sub(t.probedAt) >= t.timeout
	case s.Retransmits == 0 || !s.SentAt.After(s.AcknowledgedAt):
		// Data that was just sent may be acknowledged after a round trip.
		return false
	}
	since := t.writtenAt
	if s.AcknowledgedAt.After(since) {
		since = s.AcknowledgedAt
	}
	// Behind a closed window data is sent again at growing intervals, and the peer acknowledges
	// nothing in between.
	return now.Sub(since) >= t.timeout && now.Sub(s.AcknowledgedAt) >= s.RetransmitTimeout
}

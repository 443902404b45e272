package relay

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// pauseLimit is the gap between two ticks after which a process counts as
	// paused.
	pauseLimit = 2 * time.Second
	// catchUpLimit bounds the wait for other processes. After it a process
	// goes on with what it holds.
	catchUpLimit = 6 * time.Second
	// answersNeeded is how many processes in service a starting process hears.
	answersNeeded = 2
)

// readiness tells whether a process may decide by what it holds. A process that
// starts or wakes hears others first, for at most catchUpLimit. It does no I/O.
type readiness struct {
	// since is when the process started or woke last.
	since time.Time
	// tick is when the process last ran its duties.
	tick  time.Time
	ready bool
	// serving and starting hold who has answered since then.
	serving  map[hosts.Name]bool
	starting map[hosts.Name]bool
	needed   int
}

func newReadiness(now time.Time) *readiness {
	r := &readiness{}
	r.begin(now, answersNeeded)
	return r
}

func (r *readiness) begin(now time.Time, needed int) {
	r.since, r.tick, r.ready, r.needed = now, now, false, needed
	r.serving, r.starting = map[hosts.Name]bool{}, map[hosts.Name]bool{}
}

// advance records that the duties run. It reports whether the process has just
// woken from a pause.
func (r *readiness) advance(now time.Time) bool {
	if now.Sub(r.tick) > pauseLimit {
		r.begin(now, 1)
		return true
	}
	r.tick = now
	if now.Sub(r.since) >= catchUpLimit {
		r.ready = true
	}
	return false
}

// hear records an answer to a request that was sent at the given time. Known is
// the number of all other entries, zero if it isn't known.
func (r *readiness) hear(from hosts.Name, starting bool, sent time.Time, known int) {
	if sent.Before(r.since) || r.ready {
		return
	}
	if starting {
		r.starting[from] = true
	} else {
		r.serving[from] = true
	}
	all := known > 0 && len(r.serving)+len(r.starting) >= known
	if len(r.serving) >= r.needed || all {
		r.ready = true
	}
}

// fresh reports whether the process may decide now.
func (r *readiness) fresh(now time.Time) bool {
	return r.ready && now.Sub(r.tick) <= pauseLimit
}

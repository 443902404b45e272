package relay

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// pauseThreshold is the gap between two ticks after which a process counts as paused.
	pauseThreshold = 2 * time.Second
	// catchUpTimeout bounds the wait for other processes. After it, a process
	// continues with what it holds.
	catchUpTimeout = 6 * time.Second
	// requiredReplies is how many ready processes must reply to a starting process.
	requiredReplies = 2
)

// readiness determines whether a process may act on what it holds. A process that
// starts or resumes waits for the replies of others first, for at most catchUpTimeout.
// It does no I/O.
type readiness struct {
	// startedAt is when the process last started or resumed.
	startedAt time.Time
	// lastTick is when the goroutines of the process last ran.
	lastTick time.Time
	ready    bool
	// readyPeers and startingPeers hold the processes that have replied since
	// startedAt.
	readyPeers    map[hosts.Name]bool
	startingPeers map[hosts.Name]bool
	required      int
}

func newReadiness(now time.Time) *readiness {
	r := &readiness{}
	r.reset(now, requiredReplies)
	return r
}

func (r *readiness) reset(now time.Time, required int) {
	r.startedAt, r.lastTick, r.ready, r.required = now, now, false, required
	r.readyPeers, r.startingPeers = map[hosts.Name]bool{}, map[hosts.Name]bool{}
}

// recordTick records that the goroutines of the process run. It reports whether the
// process has just resumed from a pause.
func (r *readiness) recordTick(now time.Time) bool {
	if now.Sub(r.lastTick) > pauseThreshold {
		r.reset(now, 1)
		return true
	}
	r.lastTick = now
	if now.Sub(r.startedAt) >= catchUpTimeout {
		r.ready = true
	}
	return false
}

// recordReply records a reply to a request that was sent at the given time. The value
// otherEntries is the number of all other entries, or zero if it isn't known.
func (r *readiness) recordReply(from hosts.Name, starting bool, sent time.Time, otherEntries int) {
	if sent.Before(r.startedAt) || r.ready {
		return
	}
	if starting {
		r.startingPeers[from] = true
	} else {
		r.readyPeers[from] = true
	}
	allReplied := otherEntries > 0 && len(r.readyPeers)+len(r.startingPeers) >= otherEntries
	if len(r.readyPeers) >= r.required || allReplied {
		r.ready = true
	}
}

// isCurrent reports whether the process may act on what it holds now.
func (r *readiness) isCurrent(now time.Time) bool {
	return r.ready && now.Sub(r.lastTick) <= pauseThreshold
}

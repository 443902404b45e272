package relay

import (
	"math/rand/v2"
	"time"
)

const (
	// callsPerSecond is what all processes together may spend on direct reads.
	// It is half of what the platform allows, so that a fleet that restarts
	// while other readers go on stays within the whole.
	callsPerSecond = 1000
	// callsPerRound are the calls of one direct read: both tables and the list.
	callsPerRound = 3
	// shortestRound bounds how often a process of a small fleet reads directly.
	shortestRound = time.Second
)

// DirectReadInterval returns the time between two direct reads of a process that is cut off
// from the relay, for a fleet of the given number of processes.
func DirectReadInterval(processes int) time.Duration {
	return max(shortestRound, time.Duration(processes)*callsPerRound*time.Second/callsPerSecond)
}

// budget spaces the direct reads of one process. It does no I/O.
type budget struct {
	processes int
	random    *rand.Rand
	next      time.Time
}

// allow reports whether a direct read may begin now. The first one after a
// pause begins at a random time within a round.
func (b *budget) allow(now time.Time) bool {
	r := DirectReadInterval(b.processes)
	if b.next.IsZero() || now.Sub(b.next) > r {
		b.next = now.Add(time.Duration(b.random.Int64N(int64(r))))
	}
	if now.Before(b.next) {
		return false
	}
	b.next = b.next.Add(r)
	return true
}

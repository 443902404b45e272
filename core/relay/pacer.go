package relay

import (
	"math/rand/v2"
	"time"
)

const (
	// maxCallsPerSecond is what all processes together may spend on direct reads. It
	// is half of what the platform allows, so that a fleet that restarts while other
	// readers continue stays within the whole.
	maxCallsPerSecond = 1000
	// callsPerRead is the number of calls of one direct read: both tables and the list
	// of hosts.
	callsPerRead = 3
	// minDirectReadInterval limits how often a process of a small fleet reads
	// directly.
	minDirectReadInterval = time.Second
)

// DirectReadInterval returns the time between two direct reads of the platform by a
// process that is isolated from the relay, in a fleet of the given number of
// processes.
func DirectReadInterval(processes int) time.Duration {
	return max(minDirectReadInterval, time.Duration(processes)*callsPerRead*time.Second/maxCallsPerSecond)
}

// readPacer spaces the direct reads of one process. It does no I/O.
type readPacer struct {
	processes int
	random    *rand.Rand
	nextRead  time.Time
}

// allow reports whether a direct read may start now. The first one after an interval
// without any starts at a random time within an interval.
func (p *readPacer) allow(now time.Time) bool {
	interval := DirectReadInterval(p.processes)
	if p.nextRead.IsZero() || now.Sub(p.nextRead) > interval {
		p.nextRead = now.Add(time.Duration(p.random.Int64N(int64(interval))))
	}
	if now.Before(p.nextRead) {
		return false
	}
	p.nextRead = p.nextRead.Add(interval)
	return true
}

package proxy

import (
	"sync"
	"time"

	"currantport.example/core/calls"
)

const (
	// waitsMost bounds the routes whose callers' patience is known.
	waitsMost = 4096
	// waitsLife is how long a longest patience counts after it was last seen.
	waitsLife = 30 * time.Second
	// patienceSpread is the part of their longest patience by which callers of one route
	// may differ at first. A caller that states less has waited before.
	patienceSpread = 1.0 / 6
)

// patience is the longest that the callers of a route have stated.
type patience struct {
	longest time.Duration
	seen    time.Time
}

// Timeouts finds out which callers have waited before. A caller that comes back after a
// refusal states what is left of its time, which is less than what the callers of the
// route state at first. The zero value knows of no route. Goroutines share it.
type Timeouts struct {
	mutex  sync.Mutex
	routes map[string]patience
}

// IsRetry reports whether the caller has waited before for the same answer. One that goes
// on with a stream hasn't: it has got its first event.
func (w *Timeouts) IsRetry(route string, c *calls.Call) bool {
	if c.Timeout <= 0 {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	p := w.routes[route]
	if c.Timeout >= p.longest || now.Sub(p.seen) > waitsLife {
		if w.routes == nil || len(w.routes) >= waitsMost {
			w.routes = make(map[string]patience)
		}
		p = patience{longest: c.Timeout, seen: now}
		w.routes[route] = p
	}
	return c.LastEventID == "" && float64(c.Timeout) < (1-patienceSpread)*float64(p.longest)
}

package proxy

import (
	"sync"
	"time"

	"currantport.example/core/calls"
)

const (
	// maxTimeoutRoutes bounds the routes whose client timeouts are kept.
	maxTimeoutRoutes = 4096
	// timeoutTTL is how long the longest timeout of a route counts after it was last
	// observed.
	timeoutTTL = 30 * time.Second
	// timeoutSpreadRatio is the part of the longest timeout by which the timeouts of first
	// requests may differ. A client that states less has waited before.
	timeoutSpreadRatio = 1.0 / 6
)

// routeTimeout is the longest timeout that the clients of a route have stated.
type routeTimeout struct {
	longest    time.Duration
	observedAt time.Time
}

// Timeouts detects retries after a refusal. A client that retries states its remaining
// time, which is less than the timeout of first requests to the route. The zero value is
// ready to use. It is safe for concurrent use.
type Timeouts struct {
	mutex  sync.Mutex
	routes map[string]routeTimeout
}

// IsRetry reports whether the client has waited before for the same response. A client that
// resumes a stream hasn't: it has received its first event.
func (t *Timeouts) IsRetry(route string, c *calls.Call) bool {
	if c.Timeout <= 0 {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	r := t.routes[route]
	if c.Timeout >= r.longest || now.Sub(r.observedAt) > timeoutTTL {
		if t.routes == nil || len(t.routes) >= maxTimeoutRoutes {
			t.routes = make(map[string]routeTimeout)
		}
		r = routeTimeout{longest: c.Timeout, observedAt: now}
		t.routes[route] = r
	}
	return c.LastEventID == "" && float64(c.Timeout) < (1-timeoutSpreadRatio)*float64(r.longest)
}

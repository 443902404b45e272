package gate

import (
	"sync"
	"time"
)

// busyPeriod is how long a host counts as busy after its last request.
const busyPeriod = 2 * time.Second

// Traffic counts the requests in progress at a host. It is safe for concurrent use.
type Traffic struct {
	mutex      sync.Mutex
	inProgress int
	// lastEnd is when a request last ended.
	lastEnd time.Time
}

// NewTraffic returns a counter at zero.
func NewTraffic() *Traffic { return &Traffic{} }

// Begin counts a request. End must follow.
func (t *Traffic) Begin() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inProgress++
}

// End records the end of a request.
func (t *Traffic) End() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inProgress--
	t.lastEnd = time.Now()
}

// InProgress returns the number of requests in progress.
func (t *Traffic) InProgress() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inProgress
}

// IsBusy reports whether requests are in progress or the last one ended within
// busyPeriod.
func (t *Traffic) IsBusy() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.inProgress > 0 || !t.lastEnd.IsZero() && time.Since(t.lastEnd) < busyPeriod
}

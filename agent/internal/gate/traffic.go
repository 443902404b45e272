package gate

import (
	"sync"
	"time"
)

// liveHold is how long a host counts as busy after its last request.
const liveHold = 2 * time.Second

// Traffic counts the requests in progress at a host. Goroutines share it.
type Traffic struct {
	mutex   sync.Mutex
	running int
	// ended is when a request ended last.
	ended time.Time
}

// NewTraffic returns a count of no requests.
func NewTraffic() *Traffic { return &Traffic{} }

// Begin counts a request. Leave must follow.
func (t *Traffic) Begin() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running++
}

// End records the end of a request.
func (t *Traffic) End() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	t.ended = time.Now()
}

// InProgress returns the number of requests in progress.
func (t *Traffic) InProgress() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.running
}

// IsBusy reports whether the host is or was just busy with requests.
func (t *Traffic) IsBusy() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.running > 0 || !t.ended.IsZero() && time.Since(t.ended) < liveHold
}

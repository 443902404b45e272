package sender

import (
	"sync"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/poison"
)

const (
	// provenLife is how long a request that was answered counts as proven, at
	// least, unless more than mostProven others were.
	provenLife = 5 * time.Minute
	mostProven = 4096
)

// leads keep the sendings of one request at one upstream until one of them was
// answered, so that a request which crashes upstreams costs the entry one.
type leads struct {
	mutex sync.Mutex
	// running holds the upstream of each request in progress that isn't proven.
	running map[poison.Fingerprint]*lead
	// proven and older hold the requests that were answered. Older is dropped
	// when proven is as old as provenLife or full.
	proven, older map[poison.Fingerprint]struct{}
	turned        time.Time
}

type lead struct {
	host hosts.Name
	// count is the number of attempts in progress.
	count int
}

func newLeads() *leads {
	return &leads{running: make(map[poison.Fingerprint]*lead), proven: make(map[poison.Fingerprint]struct{})}
}

// begin notes an attempt and returns the upstream that it goes to: the given one
// unless others are in progress elsewhere.
func (l *leads) begin(f poison.Fingerprint, chosen hosts.Name, tried map[hosts.Name]bool) hosts.Name {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isProven(f) {
		return chosen
	}
	r := l.running[f]
	if r == nil {
		r = &lead{host: chosen}
		l.running[f] = r
	}
	r.count++
	if r.host != chosen && tried[r.host] {
		return chosen
	}
	return r.host
}

func (l *leads) isProven(f poison.Fingerprint) bool {
	_, ok := l.proven[f]
	if !ok {
		_, ok = l.older[f]
	}
	return ok
}

// end notes the end of an attempt.
func (l *leads) end(now time.Time, f poison.Fingerprint, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r := l.running[f]; r != nil {
		r.count--
		if r.count <= 0 || answered {
			delete(l.running, f)
		}
	}
	if !answered {
		return
	}
	if now.Sub(l.turned) >= provenLife || len(l.proven) >= mostProven {
		l.proven, l.older, l.turned = make(map[poison.Fingerprint]struct{}), l.proven, now
	}
	l.proven[f] = struct{}{}
}

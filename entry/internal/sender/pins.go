package sender

import (
	"sync"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/poison"
)

const (
	// answeredTTL is the minimum time for which an answered request is remembered,
	// unless more than maxAnswered others follow.
	answeredTTL = 5 * time.Minute
	maxAnswered = 4096
)

// pinner pins concurrent attempts of one request to one upstream until one of them
// was answered, so that a request that crashes upstreams costs the entry only one.
type pinner struct {
	mutex sync.Mutex
	// pins holds the requests in progress that were not answered before.
	pins map[poison.Fingerprint]*pin
	// answered and olderAnswered hold the requests that were answered. When answered
	// is older than answeredTTL or full, it replaces olderAnswered.
	answered, olderAnswered map[poison.Fingerprint]struct{}
	// rotatedAt is the time at which answered was created.
	rotatedAt time.Time
}

// pin is the upstream of one request.
type pin struct {
	host hosts.Name
	// count is the number of attempts in progress.
	count int
}

func newPinner() *pinner {
	return &pinner{pins: make(map[poison.Fingerprint]*pin), answered: make(map[poison.Fingerprint]struct{})}
}

// begin records an attempt and returns its upstream: that of the attempts in progress,
// or the chosen one if there is none, it was tried before, or the request was answered.
func (p *pinner) begin(f poison.Fingerprint, chosen hosts.Name, tried map[hosts.Name]bool) hosts.Name {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isAnswered(f) {
		return chosen
	}
	r := p.pins[f]
	if r == nil {
		r = &pin{host: chosen}
		p.pins[f] = r
	}
	r.count++
	if r.host != chosen && tried[r.host] {
		return chosen
	}
	return r.host
}

func (p *pinner) isAnswered(f poison.Fingerprint) bool {
	_, ok := p.answered[f]
	if !ok {
		_, ok = p.olderAnswered[f]
	}
	return ok
}

// end records the end of an attempt.
func (p *pinner) end(now time.Time, f poison.Fingerprint, answered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if r := p.pins[f]; r != nil {
		r.count--
		if r.count <= 0 || answered {
			delete(p.pins, f)
		}
	}
	if !answered {
		return
	}
	if now.Sub(p.rotatedAt) >= answeredTTL || len(p.answered) >= maxAnswered {
		p.answered, p.olderAnswered, p.rotatedAt = make(map[poison.Fingerprint]struct{}), p.answered, now
	}
	p.answered[f] = struct{}{}
}

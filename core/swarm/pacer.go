package swarm

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// targetDelay is the queueing delay above which the window shrinks.
	targetDelay = 50 * time.Millisecond
	maxWindow   = 16
	minWindow   = 0.5
	growthRate  = 1.0
	lossFactor  = 0.5
	// baseDelayTTL is how long the shortest delay of a link remains valid.
	baseDelayTTL = 2 * time.Minute
)

// Pacer limits the outstanding requests over a link that is shared with other traffic. It
// yields: the window shrinks as soon as the delay of the link exceeds the shortest observed
// one by more than a target.
type Pacer struct {
	// window is the maximum number of outstanding requests, from minWindow to maxWindow.
	window      float64
	inFlight    int
	baseDelay   time.Duration
	baseDelayAt time.Time
	// idleUntil is the end of the pause that a window below one stands for.
	idleUntil time.Time
	// lastArrival is the time at which a piece last arrived over the link.
	lastArrival time.Time
}

// NewPacer returns a pacer with a window of one request.
func NewPacer() *Pacer { return &Pacer{window: 1} }

// RecordDelay records that a piece arrived, and the delay of its first byte.
func (p *Pacer) RecordDelay(now time.Time, delay time.Duration) {
	p.lastArrival = now
	if p.baseDelay == 0 || delay < p.baseDelay || now.Sub(p.baseDelayAt) > baseDelayTTL {
		p.baseDelay = delay
		p.baseDelayAt = now
	}
	step := float64(targetDelay-(delay-p.baseDelay)) / float64(targetDelay)
	if step > 0 {
		step /= max(p.window, 1)
	}
	p.window += growthRate * max(step, -1)
	p.clampWindow(now)
}

// RecordLoss records that a piece was lost.
func (p *Pacer) RecordLoss(now time.Time) {
	p.window *= lossFactor
	p.clampWindow(now)
}

func (p *Pacer) clampWindow(now time.Time) {
	p.window = min(max(p.window, minWindow), maxWindow)
	p.idleUntil = time.Time{}
	if p.window < 1 {
		p.idleUntil = now.Add(time.Duration(float64(targetDelay) / p.window))
	}
}

// MayRequest reports whether one more request may be outstanding. With a window below one, a
// request follows the last piece or loss after a pause.
func (p *Pacer) MayRequest(now time.Time) bool {
	if p.inFlight > 0 {
		return float64(p.inFlight+1) <= p.window
	}
	return !now.Before(p.idleUntil)
}

// isFlowing reports whether a piece arrived over the link within the given time.
func (p *Pacer) isFlowing(now time.Time, within time.Duration) bool {
	return p != nil && !p.lastArrival.IsZero() && now.Sub(p.lastArrival) < within
}

// Window returns the maximum number of outstanding requests.
func (p *Pacer) Window() float64 { return p.window }

func (s *Scheduler) pacerOf(p *peer) *Pacer {
	region := p.host.Place.Region
	c := s.pacers[region]
	if c == nil {
		c = NewPacer()
		s.pacers[region] = c
	}
	return c
}

// addInFlight changes the number of outstanding requests to a peer.
func (s *Scheduler) addInFlight(p *peer, change int) {
	p.requests += change
	if p.local {
		s.localRequests += change
		return
	}
	s.pacerOf(p).inFlight += change
}

// RemoteWindow returns the maximum number of outstanding requests to peers of a remote
// region, or zero if there were none yet.
func (s *Scheduler) RemoteWindow(region hosts.Region) float64 {
	if c := s.pacers[region]; c != nil {
		return c.Window()
	}
	return 0
}

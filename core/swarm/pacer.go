package swarm

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// pacerTarget is the queueing delay at which the pacer stops growing.
	pacerTarget = 50 * time.Millisecond
	pacerMax    = 16
	pacerMin    = 0.5
	pacerGain   = 1.0
	pacerLoss   = 0.5
	// baseLife is how long a shortest delay counts.
	baseLife = 2 * time.Minute
)

// Pacer bounds the pieces under way on a link that is shared with other
// traffic. It gives way: the bound falls as soon as the delay of the link rises
// above the shortest one seen by more than a target.
type Pacer struct {
	// window is the bound, from pacerMin to pacerMax.
	window  float64
	running int
	base    time.Duration
	baseAt  time.Time
	// idle is until when a window below one asks for nothing.
	idle time.Time
	now  time.Time
	// came is when a piece last came over the link.
	came time.Time
}

// NewPacer returns a pacer that starts with one piece under way.
func NewPacer() *Pacer { return &Pacer{window: 1} }

// RecordDelay records the delay of the link that a piece saw.
func (p *Pacer) RecordDelay(now time.Time, delay time.Duration) {
	p.came = now
	if p.base == 0 || delay < p.base || now.Sub(p.baseAt) > baseLife {
		p.base = delay
		p.baseAt = now
	}
	off := float64(pacerTarget-(delay-p.base)) / float64(pacerTarget)
	if off > 0 {
		off /= max(p.window, 1)
	}
	p.window += pacerGain * max(off, -1)
	p.bound(now)
}

// RecordLoss records that a piece was lost.
func (p *Pacer) RecordLoss(now time.Time) {
	p.window *= pacerLoss
	p.bound(now)
}

func (p *Pacer) bound(now time.Time) {
	p.window = min(max(p.window, pacerMin), pacerMax)
	p.now = now
	if p.window < 1 {
		p.idle = now.Add(time.Duration(float64(pacerTarget) / p.window))
	}
}

// MayRequest reports whether one more piece may be under way.
func (p *Pacer) MayRequest() bool {
	if p.running > 0 {
		return float64(p.running+1) <= p.window
	}
	return true
}

// flows reports whether a piece came over the link within a time.
func (p *Pacer) flows(now time.Time, within time.Duration) bool {
	return p != nil && !p.came.IsZero() && now.Sub(p.came) < within
}

// Window returns the bound on the pieces under way.
func (p *Pacer) Window() float64 { return p.window }

func (s *Scheduler) pacer(p *peer) *Pacer {
	region := p.host.Place.Region
	c := s.pacers[region]
	if c == nil {
		c = NewPacer()
		s.pacers[region] = c
	}
	return c
}

// count adds to the number of pieces that are under way from a peer.
func (s *Scheduler) count(p *peer, change int) {
	p.asks += change
	if p.near {
		s.asks += change
		return
	}
	s.pacer(p).running += change
}

// RemoteWindow returns the bound on the pieces under way from a region.
func (s *Scheduler) RemoteWindow(region hosts.Region) float64 {
	if c := s.pacers[region]; c != nil {
		return c.Window()
	}
	return 0
}

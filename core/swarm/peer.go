package swarm

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// smoothing is the weight of the past in a smoothed time, in eighths.
	smoothing = 6
	// slowFactor is how much longer than typical a slow peer takes.
	slowFactor = 4
	// lateFactor is how much longer than typical an ask may take until another
	// peer is asked too. expireFactor is when it is given up.
	lateFactor   = 3
	expireFactor = 8

	minLate      = time.Second
	firstTypical = 4 * time.Second
	minExpire    = 5 * time.Second

	busyWait    = 300 * time.Millisecond
	silentWait  = 5 * time.Second
	slowWait    = 20 * time.Second
	lieWait     = 30 * time.Second
	corruptWait = 10 * time.Minute
	waitGrowth  = 6
	// unableFactor is for how many takeovers a peer that can't bring pieces is
	// passed over at first, unableGrowth how often that doubles.
	unableFactor = 2
	unableGrowth = 2
	probePause   = 2 * time.Second

	// peerWindow bounds the pieces under way from one peer.
	peerWindow = 8
)

// Timing is how long a piece took from a peer.
type Timing struct {
	// Took is from the ask to the last byte.
	Took time.Duration
	// FirstByte is from the ask to the first byte.
	FirstByte time.Duration
	// Waited is how long the ask waited at the sender.
	Waited time.Duration
	// QueueLength is the number of pieces that the sender had still to send.
	QueueLength int
}

// peer is what a host knows of another member.
type peer struct {
	host hosts.Host
	// near tells that the peer stands in the own region.
	near    bool
	watched bool
	// silent tells that the watch of the peer has ended.
	held  Bits
	queue int
	asks  int
	// probes is the number of asks under way to find out whether the peer brings a
	// piece.
	probes int
	// took is the smoothed time of a piece. Zero means none has come.
	took time.Duration
	// delay is the shortest time to a first byte.
	delay time.Duration
	// until is when the peer may be asked again.
	until time.Time
	// faults counts failures since the last piece that came.
	faults int
	// unable is until when the peer is passed over to bring pieces from outside,
	// refusals how often it was found so in a row.
	unable   time.Time
	refusals int
}

// window returns how many pieces may be under way from the peer, matched to the
// delay of the link.
func (p *peer) window() int {
	if p.took <= 0 {
		return 1
	}
	send := max(p.took-p.delay, time.Millisecond)
	return min(2+int(p.delay/send), peerWindow)
}

// cost orders peers by when they are expected to send one more piece.
func (p *peer) cost(typical time.Duration) time.Duration {
	took := p.took
	if took == 0 {
		took = typical
	}
	return took * time.Duration(2*p.asks+p.queue+1)
}

func (p *peer) usable(now time.Time) bool {
	return p.watched && !now.Before(p.until) && p.asks < p.window()
}

// ReceiveHoldings records what a neighbour reports.
func (s *Scheduler) ReceiveHoldings(now time.Time, from hosts.Name, o Holdings) {
	p := s.peers[from]
	if p == nil || !p.watched {
		return
	}
	if o.Full && s.heard.IsZero() {
		s.heard = now
	}
	s.frontier = max(s.frontier, min(o.Frontier, len(s.states)))
	p.queue = o.QueueLength
	if o.Full {
		s.setAble(p)
		s.drop(p)
		p.held = NewBits(len(s.states))
		for i := range s.states {
			if o.Held.Has(i) {
				s.add(now, p, i)
			}
		}
	}
	for _, i := range o.Added {
		s.add(now, p, i)
	}
}

func (s *Scheduler) add(now time.Time, p *peer, i int) {
	if !p.held.Set(i) {
		return
	}
	s.frontier = max(s.frontier, i+1)
	st := &s.states[i]
	if p.near {
		st.count++
		return
	}
	if st.crossed.IsZero() {
		st.crossed = now
	}
}

// setAble takes a peer that has just come to know the version into the ranks.
func (s *Scheduler) setAble(p *peer) {
	s.stale = s.stale || !p.unable.IsZero()
	p.refusals, p.unable = 0, time.Time{}
}

// drop takes what the peer holds out of the counts.
func (s *Scheduler) drop(p *peer) {
	if !p.near {
		return
	}
	for i := range s.states {
		if p.held.Has(i) {
			s.states[i].count--
		}
	}
}

// RecordWatchEnd records that the watch of a neighbour has ended.
func (s *Scheduler) RecordWatchEnd(now time.Time, from hosts.Name) {
	p := s.peers[from]
	if p == nil || !p.watched {
		return
	}
	s.unwatch(p)
	p.faults++
	p.until = later(p.until, now.Add(grow(silentWait, p.faults)))
	s.renew = true
}

// learn updates the times of a peer that has sent a piece.
func (s *Scheduler) learn(now time.Time, p *peer, t Timing) {
	p.faults = 0
	p.queue = t.QueueLength
	p.took = smooth(p.took, t.Took)
	s.typical = smooth(s.typical, t.Took)
	if first := t.FirstByte - t.Waited; first > 0 && (p.delay == 0 || first < p.delay) {
		p.delay = first
	}
	if !p.near {
		s.pacer(p).RecordDelay(now, t.FirstByte-t.Waited)
		return
	}
	if p.took > slowFactor*s.typical && t.Waited < t.Took/2 {
		p.until = later(p.until, now.Add(slowWait))
		p.took = 0
		s.unwatch(p)
		s.renew = true
	}
}

// punish keeps a peer from being asked for a while. What it offers counts no
// more, so that it can't keep others from bringing a piece from outside.
func (s *Scheduler) punish(now time.Time, p *peer, c Cause, probe bool) {
	wait := busyWait
	switch c {
	case CauseBusy:
		p.until = later(p.until, now.Add(wait/2+time.Duration(s.random.Int64N(int64(wait)))))
		return
	case CauseMissing:
		if probe {
			return
		}
		wait = lieWait
	case CauseFailing:
		if probe {
			return
		}
	case CauseCorrupt:
		wait = corruptWait
	default:
		wait = silentWait
		if !p.near {
			s.pacer(p).RecordLoss(now)
		}
	}
	p.faults++
	p.until = later(p.until, now.Add(grow(wait, p.faults-1)))
	s.unwatch(p)
	s.renew = true
}

func (s *Scheduler) watch(p *peer) {
	p.watched = true
	s.watched = append(s.watched, p)
	s.act(Action{Kind: KindWatch, Peer: p.host.Name})
}

// unwatch forgets what the peer holds. Pieces under way go on.
func (s *Scheduler) unwatch(p *peer) {
	if !p.watched {
		return
	}
	s.drop(p)
	p.held = NewBits(len(s.states))
	p.watched = false
	for i, w := range s.watched {
		if w == p {
			s.watched = append(s.watched[:i], s.watched[i+1:]...)
			break
		}
	}
	s.act(Action{Kind: KindUnwatch, Peer: p.host.Name})
}

func smooth(past, now time.Duration) time.Duration {
	if past == 0 {
		return now
	}
	return (past*smoothing + now*(8-smoothing)) / 8
}

func grow(d time.Duration, times int) time.Duration {
	return d << min(max(times, 0), waitGrowth)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

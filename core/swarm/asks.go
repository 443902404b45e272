package swarm

import (
	"math/bits"
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// bypassWait is how long a piece may take over its region before it is taken
// from another one.
const bypassWait = 10 * time.Second

// liveShare divides the window of a host that is busy with live requests.
const liveShare = 2

// late returns how long an ask may take before another peer is asked too.
func (s *Scheduler) late() time.Duration {
	if s.typical == 0 {
		return firstTypical
	}
	return max(lateFactor*s.typical, minLate)
}

// expire gives up what takes too long.
func (s *Scheduler) expire(now time.Time) {
	most := max(minExpire, expireFactor*max(s.typical, firstTypical/2))
	for i := range s.states {
		if !s.asked.Has(i) {
			continue
		}
		for _, a := range slices.Clone(s.states[i].asks) {
			limit := most
			if a.peer == "" {
				limit = sourceDeadline
			}
			if now.Sub(a.since) < limit {
				continue
			}
			s.act(Action{Kind: KindCancel, Peer: a.peer, Piece: i})
			s.RecordFailure(now, a.peer, i, CauseUnavailable, 0)
		}
	}
}

func (s *Scheduler) window() int {
	if s.live {
		return max(1, s.limits.Window/liveShare)
	}
	return s.limits.Window
}

// askPeers fills the window with pieces that neighbours hold.
func (s *Scheduler) askPeers(now time.Time) {
	for s.asks < s.window() {
		i, p := s.nextNear(now)
		if p == nil {
			break
		}
		s.begin(now, p.host.Name, i, false)
	}
	s.askFar(now)
}

// nextNear returns the next piece to ask for and the neighbour to ask.
func (s *Scheduler) nextNear(now time.Time) (int, *peer) {
	offered := NewBits(len(s.states))
	found := false
	for _, p := range s.watched {
		if !p.near || !p.usable(now) {
			continue
		}
		found = true
		for w := range offered {
			offered[w] |= p.held[w]
		}
	}
	if !found {
		return 0, nil
	}
	best := -1
	for w := range offered {
		left := offered[w] &^ s.held[w] &^ s.asked[w]
		for ; left != 0; left &= left - 1 {
			i := w*64 + bits.TrailingZeros64(left)
			if best < 0 || s.before(i, best) {
				best = i
			}
		}
	}
	if best < 0 {
		return 0, nil
	}
	return best, s.cheapest(now, best)
}

// before reports whether piece a is asked for before piece b.
func (s *Scheduler) before(a, b int) bool {
	x, y := &s.states[a], &s.states[b]
	if s.limits.Order == OrderSequential {
		return a < b
	}
	if s.limits.Order == OrderRarest && x.count != y.count {
		return x.count < y.count
	}
	return x.tie < y.tie
}

// cheapest returns the near neighbour that is expected to send the piece first.
func (s *Scheduler) cheapest(now time.Time, i int) *peer {
	var best *peer
	var least time.Duration
	for _, p := range s.watched {
		if !p.near || !p.held.Has(i) || !p.usable(now) || s.isAsked(i, p.host.Name) {
			continue
		}
		cost := p.cost(max(s.typical, time.Millisecond))
		cost += time.Duration(s.random.Int64N(int64(cost)/4 + 1))
		if best == nil || cost < least {
			best, least = p, cost
		}
	}
	return best
}

func (s *Scheduler) isAsked(i int, name hosts.Name) bool {
	return slices.ContainsFunc(s.states[i].asks, func(a ask) bool { return a.peer == name })
}

// askFar takes pieces across the links between regions, each by one host of the
// region.
func (s *Scheduler) askFar(now time.Time) {
	for _, p := range s.watched {
		if p.near || now.Before(p.until) {
			continue
		}
		for w := range p.held {
			left := p.held[w] &^ s.held[w] &^ s.asked[w]
			for ; left != 0 && s.pacer(p).MayRequest(); left &= left - 1 {
				i := w*64 + bits.TrailingZeros64(left)
				if s.mayCross(now, i, p) {
					s.begin(now, p.host.Name, i, false)
				}
			}
		}
	}
}

// mayCross reports whether it is for this host to take the piece from the far
// peer now.
func (s *Scheduler) mayCross(now time.Time, i int, p *peer) bool {
	st := &s.states[i]
	if st.count > 0 || !s.isTurn(now, st, st.crossed) {
		return false
	}
	own := s.options.Self.Place.Region
	if own == st.first || p.host.Place.Region == st.first {
		return true
	}
	return s.mayBypass(now, st, st.crossed)
}

// mayBypass reports whether the piece may come from another region than the one
// that should pass it on, which has been silent for a while.
func (s *Scheduler) mayBypass(now time.Time, st *state, since time.Time) bool {
	return now.Sub(since) > bypassWait && !s.pacers[st.first].flows(now, bypassWait)
}

// farHolder reports whether a usable far neighbour is known to hold the piece.
func (s *Scheduler) farHolder(i int) bool {
	if s.states[i].crossed.IsZero() {
		return false
	}
	return slices.ContainsFunc(s.watched, func(p *peer) bool { return !p.near && p.held.Has(i) && p.faults == 0 })
}

// duplicate asks a second peer for pieces that are late, and for the last ones.
func (s *Scheduler) duplicate(now time.Time) {
	if s.asks >= s.window()+1 {
		return
	}
	last := s.left <= s.window()
	for i := range s.states {
		if !s.asked.Has(i) || s.held.Has(i) || s.states[i].count == 0 {
			continue
		}
		asks := s.states[i].asks
		if len(asks) != 1 || asks[0].peer == "" {
			continue
		}
		age := now.Sub(asks[0].since)
		if age < s.late() && (!last || age < s.typical) {
			continue
		}
		if p := s.cheapest(now, i); p != nil && (p.asks == 0 || age >= s.late()) {
			s.begin(now, p.host.Name, i, false)
			return
		}
	}
	s.bringExtra(now)
}

// bringExtra reads a missing piece from the idle source where time comes first.
func (s *Scheduler) bringExtra(now time.Time) {
	share := extraShare * float64(len(s.states)) / float64(max(len(s.members), 1))
	if s.options.Favor != tables.FavorTime || s.source.running > 0 || now.Before(s.source.until) {
		return
	}
	if s.frontier < len(s.states) || s.asks >= s.window() || float64(s.source.extra)+s.lot() >= share {
		return
	}
	for i := range s.states {
		if s.held.Has(i) || s.asked.Has(i) || !s.states[i].home {
			continue
		}
		s.source.extra++
		s.begin(now, "", i, false)
		return
	}
}

// lot returns a number below one that is the same for each call, so that hosts
// that may bring less than one extra piece do so in proportion.
func (s *Scheduler) lot() float64 {
	return float64(hosts.Score("extra", s.options.Self.Name)>>11) / (1 << 53)
}

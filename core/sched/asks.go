package sched

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// expire gives up what takes too long.
func (s *Scheduler) expire(now time.Time) {
	for i := range s.pieces {
		for _, a := range slices.Clone(s.pieces[i].asks) {
			limit := max(expireLeast, expirePieces*s.pieceTime())
			if a.peer == "" {
				limit = s.sourceLimit()
			}
			if now.Sub(a.since) >= limit {
				s.act(Action{Kind: KindCancel, Peer: a.peer, Piece: i})
				s.RecordFailure(now, a.peer, i, CauseUnavailable)
			}
		}
	}
}

// sourceLimit returns for how long a piece is awaited from the origin. It is short, so that
// a call which the origin got while it was away doesn't hold the piece up once it is back.
func (s *Scheduler) sourceLimit() time.Duration {
	if s.brought == 0 {
		return sourceExpire
	}
	return max(sourceLeast, expirePieces*s.brought)
}

// due returns when a piece is to be brought from the origin whose link is free from a time
// on.
func (s *Scheduler) due(i int, from time.Time) time.Time {
	if s.options.OriginRate <= 0 {
		return from
	}
	return from.Add(time.Duration(float64(i) * float64(s.options.Pieces[i].Size) / s.options.OriginRate * float64(time.Second)))
}

// turn returns when it is for the first rank to bring a piece: at the time that the piece
// has had since the release, so that a fetch that began late doesn't lag behind. The second
// one waits from the last piece that the first one got, later ones from the last piece that was first
// seen anywhere; all wait from their own last failure.
func (s *Scheduler) turn(i int) time.Time {
	due := later(s.due(i, s.began), s.sourceUntil)
	switch s.pieces[i].source {
	case 0:
		if r := s.options.ReleasedAt; !r.IsZero() {
			return later(s.due(i, r), s.sourceUntil)
		}
		return due
	case 1:
		if p := s.peers[s.pieces[i].before]; p != nil {
			due = later(due, p.progress)
		}
		return due
	}
	return later(due, s.news)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// bring takes pieces from the origin whose turn it is.
func (s *Scheduler) bring(now time.Time) {
	if now.Before(s.sourceUntil) {
		return
	}
	for i := range s.pieces {
		p := &s.pieces[i]
		if s.source >= sourceWindow {
			return
		}
		if p.held || len(p.asks) > 0 || p.source < 0 || p.count > 0 || s.farUsable(now, i) {
			continue
		}
		if !now.Before(s.turn(i).Add(time.Duration(p.source) * s.takeover())) {
			s.begin(now, nil, i)
		}
	}
}

// farUsable reports whether a far peer holds the piece and can be asked.
func (s *Scheduler) farUsable(now time.Time, i int) bool {
	if s.pieces[i].far.IsZero() {
		return false
	}
	for _, p := range s.peers {
		if !p.near && p.held != nil && p.held[i] && !now.Before(p.until) {
			return true
		}
	}
	return false
}

// askFar takes pieces over the links between regions whose turn it is.
func (s *Scheduler) askFar(now time.Time) {
	for i := range s.pieces {
		p := &s.pieces[i]
		if s.far >= farWindow {
			return
		}
		if p.held || len(p.asks) > 0 || p.count > 0 || p.far.IsZero() || p.cross < 0 {
			continue
		}
		if now.Before(p.far.Add(time.Duration(p.cross) * s.takeover())) {
			continue
		}
		if best := s.cheapest(now, i, false); best != nil {
			s.begin(now, best, i)
		}
	}
}

// askNear fills the window with pieces that near peers hold, the rarest first.
func (s *Scheduler) askNear(now time.Time) {
	for s.near < s.window() {
		best := -1
		var from *peer
		for i := range s.pieces {
			p := &s.pieces[i]
			if p.held || len(p.asks) > 0 || p.count == 0 || best >= 0 && !s.before(i, best) {
				continue
			}
			if f := s.cheapest(now, i, true); f != nil && s.mayAsk(now, i, f) {
				best, from = i, f
			}
		}
		if best < 0 {
			return
		}
		s.begin(now, from, best)
	}
}

func (s *Scheduler) window() int {
	if s.options.Self.Role == hosts.RoleEntry {
		return entryWindow
	}
	return agentWindow
}

// mayAsk reports whether the host may ask the peer for the piece now. Of the entries
// of a region one takes a piece from an agent and passes it on to the others.
func (s *Scheduler) mayAsk(now time.Time, i int, p *peer) bool {
	if s.options.Self.Role != hosts.RoleEntry || p.host.Role == hosts.RoleEntry {
		return true
	}
	return !now.Before(s.began.Add(time.Duration(s.pieces[i].cross) * s.takeover()))
}

// before reports whether piece a is asked for before piece b.
func (s *Scheduler) before(a, b int) bool {
	x, y := &s.pieces[a], &s.pieces[b]
	if x.count != y.count {
		return x.count < y.count
	}
	return x.tie < y.tie
}

// cheapest returns the peer that is expected to send the piece first, or nil.
func (s *Scheduler) cheapest(now time.Time, i int, near bool) *peer {
	var best *peer
	least := 0.0
	for _, h := range s.members {
		p := s.peers[h.Name]
		if p == nil || p.near != near || p.held == nil || !p.held[i] || now.Before(p.until) || s.isAsked(i, p.host.Name) {
			continue
		}
		took := p.took
		if took == 0 {
			took = s.pieceTime()
		}
		cost := float64(took) * float64(2*p.asks+p.queue+1) * (1 + s.random.Float64()/2)
		if p.host.Role != hosts.RoleEntry {
			cost *= agentCost
		}
		if best == nil || cost < least {
			best, least = p, cost
		}
	}
	return best
}

func (s *Scheduler) isAsked(i int, name hosts.Name) bool {
	return slices.ContainsFunc(s.pieces[i].asks, func(a ask) bool { return a.peer == name })
}

// double asks a second peer for one of the last pieces that is late.
func (s *Scheduler) double(now time.Time) {
	if s.left > lastPieces || s.near > s.window() {
		return
	}
	for i := range s.pieces {
		p := &s.pieces[i]
		if p.held || len(p.asks) != 1 || p.asks[0].peer == "" || now.Sub(p.asks[0].since) < doublePieces*s.pieceTime() {
			continue
		}
		if other := s.cheapest(now, i, true); other != nil {
			s.begin(now, other, i)
			return
		}
	}
}

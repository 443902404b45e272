// Package spread decides how the pieces of a version reach all agents of a pool. It
// does no I/O: events go in, actions come out, and the clock is passed in.
//
// # From the origin
//
// Entries have wide links and pass pieces on; agents have narrow ones that they share
// with answers. So the entries of the region at the origin are ranked for each piece
// by rendezvous hash, and behind them the other entries and the agents. The first
// brings the piece from the origin. Pieces become due one after the other at the rate
// of the origin's link, so that each is sent whole and passed on while the next one is
// on its way. If nobody is known to hold a piece some time after it became due, and the
// first rank hasn't got any other piece meanwhile, the second rank brings it. Later ranks
// wait until nobody gets any piece, and a rank whose own try fails waits anew: when the
// origin comes back after it was away, few should ask it.
//
// # Between regions
//
// In every other region the entries, and behind them the agents, are ranked for each
// piece too. The first takes it from a far holder, so that it crosses the link between
// the regions once.
//
// # Between peers
//
// Each process tells others which pieces it holds, and asks for the piece that the
// fewest hold from the peer that is expected to send it first. Agents ask each other
// only where entries don't serve them. Times follow from how long pieces take, so that
// the same rules serve small and large ones.
//
// # Load it answers
//
// All agents of a pool want the same pieces at once, while their links carry answers.
// The origin can send a few copies in that time, an agent's link about one in both
// directions together. The last agent is done about when its own link has carried one
// copy, and answers wait for at most two pieces on it.
package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// DecideInterval is the longest time between two calls of Decide.
const DecideInterval = 20 * time.Millisecond

const (
	// agentWindow is the number of pieces that an agent asks of near peers at once. Two
	// keep its link busy, and more would hold up the answers on it. entryWindow is the
	// same for an entry.
	agentWindow = 2
	entryWindow = 8
	// farWindow is the same for peers in other regions.
	farWindow = 2
	// sourceWindow is the number of pieces brought from the origin at once.
	sourceWindow = 2
	// firstTypical stands in for the time of a piece until one has come.
	firstTypical = 150 * time.Millisecond
	// takeoverLeast bounds the wait of each rank for the one before it, and
	// takeoverPieces is the same in times of a piece.
	takeoverLeast  = 250 * time.Millisecond
	takeoverPieces = 5
	// expireLeast and expirePieces, in times of a piece, bound the time for which a piece is
	// awaited from a peer.
	expireLeast  = 500 * time.Millisecond
	expirePieces = 8
	// sourceLeast is the same for the origin, which serves others in between. sourceExpire
	// bounds it until a piece has come from there, when many may have begun at once.
	sourceLeast  = time.Second
	sourceExpire = 2 * time.Second
	// doublePieces is the number of times of a piece after which one of the last
	// pieces is asked of a second peer.
	doublePieces = 2
	lastPieces   = 4
	// busyPause and failurePause are how long a peer is passed over. The latter
	// doubles with each failure in a row, up to pauseMost.
	busyPause    = 40 * time.Millisecond
	failurePause = 400 * time.Millisecond
	corruptPause = 3 * time.Second
	// failuresMost is the number of failures in a row after which a peer counts as gone.
	failuresMost = 2
	pauseMost    = 4 * time.Second
	// agentCost is how much longer an agent is expected to take than its times say,
	// since what it sends holds up its answers.
	agentCost = 30
	// groupMost bounds the takeovers for which a group of ranks waits for the one
	// before it.
	groupMost = 3
	// sourcePause is how long the origin is passed over after a failure.
	sourcePause     = 100 * time.Millisecond
	sourcePauseMost = 300 * time.Millisecond
)

// Piece is one piece of the version.
type Piece struct {
	// Key is hashed to rank the members.
	Key  uint64
	Size int64
}

// Options describe a fetch.
type Options struct {
	Self   hosts.Host
	Pieces []Piece
	// Held reports whether the host has a piece at the start.
	Held func(piece int) bool
	// OriginRegion is the region of the origin, or empty if it isn't known.
	OriginRegion hosts.Region
	// OriginRate is that of the origin's link in bytes a second, or zero if it isn't known.
	OriginRate float64
	// ReleasedAt is when the version was released, or zero if it isn't known.
	ReleasedAt time.Time
	Seed       uint64
}

// Kind says what an action does.
type Kind int

// The kinds of action.
const (
	// KindFetchPeer asks a peer for a piece, KindBring the origin.
	KindFetchPeer Kind = iota
	KindFetchOrigin
	// KindCancel gives an ask up.
	KindCancel
)

// Action is what the owner must do. Peer is empty for the origin.
type Action struct {
	Kind  Kind
	Peer  hosts.Name
	Piece int
}

// Cause says why a piece didn't come.
type Cause int

// The causes of a failure.
const (
	CauseUnavailable Cause = iota
	CauseBusy
	CauseMissing
	CauseCorrupt
)

// ask is a piece under way. An empty peer stands for the origin.
type ask struct {
	peer hosts.Name
	// near tells that the peer is in the own region. The peer itself may have left since.
	near  bool
	since time.Time
}

// piece is what is known of one piece.
type piece struct {
	held bool
	asks []ask
	// count is the number of near peers that hold it.
	count int
	// far is when a far peer was first known to hold it.
	far time.Time
	// source and cross are the host's ranks to bring the piece from the origin and
	// over the link between regions. A negative rank means never.
	source int
	cross  int
	// before is the member whose rank to bring it from the origin comes before the
	// own one.
	before hosts.Name
	tie    uint32
}

// peer is what is known of another member.
type peer struct {
	host hosts.Host
	near bool
	held []bool
	// queue is what the peer has still to send, by its last word.
	queue int
	asks  int
	// took is the smoothed time of a piece from the peer.
	took     time.Duration
	until    time.Time
	failures int
	// progress is when the peer got a piece last.
	progress time.Time
}

// Scheduler is the state of one fetch. One goroutine owns it.
type Scheduler struct {
	options Options
	random  *rand.Rand
	began   time.Time
	left    int
	pieces  []piece
	members []hosts.Host
	peers   map[hosts.Name]*peer
	// near, far and source are the pieces under way from each.
	near, far, source int
	sourceUntil       time.Time
	sourceFailures    int
	// news is when a piece was first seen anywhere.
	news time.Time
	seen []bool
	// typical is the smoothed time of a piece.
	typical time.Duration
	// brought is the smoothed time of a piece from the origin, or zero.
	brought time.Duration
	actions []Action
}

// New returns the state of a fetch that begins now and has no members yet.
func New(now time.Time, o Options) *Scheduler {
	s := &Scheduler{
		options: o, began: now, pieces: make([]piece, len(o.Pieces)), peers: make(map[hosts.Name]*peer),
		random: rand.New(rand.NewPCG(o.Seed, hosts.Score("spread", o.Self.Name))), left: len(o.Pieces),
		seen: make([]bool, len(o.Pieces)), news: now,
	}
	for i := range s.pieces {
		s.pieces[i].tie = s.random.Uint32()
		if o.Held != nil && o.Held(i) {
			s.hold(i)
		}
	}
	return s
}

// Missing returns the number of pieces that haven't come.
func (s *Scheduler) Missing() int { return s.left }

func (s *Scheduler) hold(i int) bool {
	if s.pieces[i].held {
		return false
	}
	s.pieces[i].held = true
	s.left--
	return true
}

// see notes that a piece is held somewhere.
func (s *Scheduler) see(now time.Time, i int) {
	if !s.seen[i] {
		s.seen[i], s.news = true, now
	}
}

func (s *Scheduler) peerOf(name hosts.Name) *peer {
	if p := s.peers[name]; p != nil {
		return p
	}
	at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Name == name })
	if at < 0 || name == s.options.Self.Name {
		return nil
	}
	h := s.members[at]
	p := &peer{host: h, near: h.Place.Region == s.options.Self.Place.Region}
	s.peers[name] = p
	return p
}

// ReceiveHoldings records what a peer holds and how much it has still to send.
func (s *Scheduler) ReceiveHoldings(now time.Time, from hosts.Name, held []bool, queue int) {
	p := s.peerOf(from)
	if p == nil || len(held) != len(s.pieces) {
		return
	}
	p.queue = queue
	s.setHeld(now, p, held)
}

func (s *Scheduler) setHeld(now time.Time, p *peer, held []bool) {
	for i := range s.pieces {
		had, has := p.held != nil && p.held[i], held != nil && held[i]
		if has && !had {
			p.progress = now
			s.see(now, i)
		}
		switch {
		case had == has:
		case p.near && has:
			s.pieces[i].count++
		case p.near:
			s.pieces[i].count--
		case s.pieces[i].far.IsZero():
			s.pieces[i].far = now
		}
	}
	p.held = held
}

// RecordArrival records a checked piece and how long it took. Other asks for it are given
// up.
func (s *Scheduler) RecordArrival(now time.Time, from hosts.Name, i int, took time.Duration) {
	s.settle(from, i)
	if !s.hold(i) {
		return
	}
	s.see(now, i)
	for _, a := range slices.Clone(s.pieces[i].asks) {
		s.settle(a.peer, i)
		s.act(Action{Kind: KindCancel, Peer: a.peer, Piece: i})
	}
	if from == "" {
		s.sourceFailures, s.sourceUntil = 0, time.Time{}
		s.brought = smooth(s.brought, took)
		return
	}
	s.typical = smooth(s.typical, took)
	if p := s.peers[from]; p != nil {
		p.failures = 0
		p.took = smooth(p.took, took)
		p.until = now
	}
}

// RecordLocal records a piece that came by another way.
func (s *Scheduler) RecordLocal(now time.Time, i int) {
	if !s.pieces[i].held {
		s.RecordArrival(now, elsewhere, i, s.typical)
	}
}

// elsewhere is no name of a host.
const elsewhere = hosts.Name(" ")

// RecordFailure records that a piece didn't come.
func (s *Scheduler) RecordFailure(now time.Time, from hosts.Name, i int, c Cause) {
	if !s.settle(from, i) {
		return
	}
	if from == "" {
		pause := min(sourcePause<<min(s.sourceFailures, 4), sourcePauseMost)
		if c == CauseCorrupt {
			pause = 0
		}
		s.sourceFailures++
		s.sourceUntil = now.Add(pause/2 + time.Duration(s.random.Int64N(int64(pause)+1)))
		return
	}
	p := s.peers[from]
	if p == nil {
		return
	}
	switch c {
	case CauseBusy:
		p.queue++
		p.until = now.Add(busyPause/2 + time.Duration(s.random.Int64N(int64(busyPause))))
	case CauseMissing:
		if p.held != nil && p.held[i] {
			held := slices.Clone(p.held)
			held[i] = false
			s.setHeld(now, p, held)
		}
	case CauseCorrupt:
		p.until = now.Add(corruptPause)
	case CauseUnavailable:
		p.until = now.Add(min(failurePause<<min(p.failures, 4), pauseMost))
		if p.failures++; p.failures >= failuresMost {
			// What it holds doesn't keep others from bringing pieces until it is
			// heard again.
			s.setHeld(now, p, nil)
		}
	}
}

// settle removes an ask that has ended and reports whether there was one.
func (s *Scheduler) settle(from hosts.Name, i int) bool {
	at := slices.IndexFunc(s.pieces[i].asks, func(a ask) bool { return a.peer == from })
	if at < 0 {
		return false
	}
	near := s.pieces[i].asks[at].near
	s.pieces[i].asks = slices.Delete(s.pieces[i].asks, at, at+1)
	switch {
	case from == "":
		s.source--
	case near:
		s.near--
	default:
		s.far--
	}
	if p := s.peers[from]; p != nil {
		p.asks--
	}
	return true
}

func (s *Scheduler) begin(now time.Time, p *peer, i int) {
	a := ask{since: now}
	kind := KindFetchOrigin
	switch {
	case p == nil:
		s.source++
	case p.near:
		s.near++
	default:
		s.far++
	}
	if p != nil {
		p.asks++
		a.peer, a.near, kind = p.host.Name, p.near, KindFetchPeer
	}
	s.pieces[i].asks = append(s.pieces[i].asks, a)
	s.act(Action{Kind: kind, Peer: a.peer, Piece: i})
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// Decide returns what to do now, in order.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.left > 0 {
		s.expire(now)
		s.bring(now)
		s.askFar(now)
		s.askNear(now)
		s.double(now)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

func smooth(past, now time.Duration) time.Duration {
	if past == 0 {
		return now
	}
	return (past*3 + now) / 4
}

func (s *Scheduler) pieceTime() time.Duration { return cmp.Or(s.typical, firstTypical) }

func (s *Scheduler) takeover() time.Duration { return max(takeoverLeast, takeoverPieces*s.pieceTime()) }

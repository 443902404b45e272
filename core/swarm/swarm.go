// Package swarm decides which piece of a version a host takes from whom. It
// does no I/O: events go in, actions come out, and the clock is passed in.
//
// # Events and actions
//
// A Swarm is the state of one fetch at one host. The owner reports what
// neighbours hold, what has come and what has failed, calls Decide after each
// event and at least every Tick, and carries out the actions.
//
// # From outside
//
// The members are ranked for each piece by rendezvous hash. The first brings
// the piece from the store or the origin; in every other region the first of
// that region brings it across the region link. A later rank asks the earlier
// ones for the piece before it takes over, so that a piece which has come isn't
// brought twice. Pieces become due in order, a few beyond the highest one that
// the fleet is known to hold, so that the origin sends few at a time.
//
// # Between peers
//
// A host watches a bounded set of neighbours and asks for the piece that the
// fewest of them hold, of the neighbour that it expects to answer first. Peers
// that are silent, slow, lying or send corrupt pieces are passed over for a
// while.
package swarm

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// DecideInterval is the longest time between two calls of Decide.
const DecideInterval = 250 * time.Millisecond

// Order says which of the pieces that neighbours hold is asked for first.
type Order string

// The orders. Random order is the zero value of ties in OrderRarest too.
const (
	OrderRarest     Order = "rarest"
	OrderRandom     Order = "random"
	OrderSequential Order = "first"
)

// Limits bound the work of one fetch. Zero values stand for the defaults.
type Limits struct {
	// Neighbours is the number of watched peers in the own region.
	Neighbours int
	// RemoteNeighbours is the number of watched peers in each other region.
	RemoteNeighbours int
	// Window is the number of pieces asked for at once.
	Window int
	Order  Order
}

// Piece is one piece of the version.
type Piece struct {
	// Key is hashed to rank the members.
	Key uint64
	// Size is in bytes.
	Size int64
}

// Options describe a fetch.
type Options struct {
	Self   hosts.Host
	Pieces []Piece
	// Held are the pieces that the host has.
	Held  Bits
	Favor tables.Favor
	// SourceRegion is the region of the store, or empty if it isn't known.
	SourceRegion hosts.Region
	Seed         uint64
	Limits       Limits
}

// Kind says what an action does.
type Kind string

// The kinds of action.
const (
	KindWatch       Kind = "watch"
	KindUnwatch     Kind = "leave"
	KindFetchPeer   Kind = "ask"
	KindFetchSource Kind = "bring"
	KindCancel      Kind = "cancel"
)

// Action is what the owner of a swarm must do.
type Action struct {
	Kind Kind
	// Peer is empty for the store or the origin.
	Peer  hosts.Name
	Piece int
}

// Cause says why a piece didn't come.
type Cause string

// The causes of a failure.
const (
	CauseUnavailable Cause = "silent"
	CauseBusy        Cause = "busy"
	CauseCorrupt     Cause = "corrupt"
	// CauseMissing tells that a live peer doesn't hold the piece.
	CauseMissing Cause = "missing"
	// CauseFailing tells that a live peer doesn't hold the piece and can't
	// bring it from outside.
	CauseFailing Cause = "failing"
	// CauseRefused tells that the source refused for now.
	CauseRefused Cause = "refused"
)

// Holdings is what a neighbour reports.
type Holdings struct {
	// Full tells that Held replaces what was reported before.
	Full bool
	Held Bits
	// Added are pieces that came since the last offer.
	Added []int
	// Frontier is one above the highest piece that the fleet is known to hold.
	Frontier int
	// QueueLength is the number of pieces that the neighbour has still to send.
	QueueLength int
}

// ask is a piece under way. An empty peer stands for the source.
type ask struct {
	peer  hosts.Name
	since time.Time
	probe bool
}

// state is what is known of one piece.
type state struct {
	// asks are under way, at most two.
	asks []ask
	// count is the number of watched peers in the region that hold the piece.
	count int
	// due is when the piece became due to be brought. Zero means not yet.
	due time.Time
	// crossed is when a far peer was first known to hold the piece.
	crossed time.Time
	// ranking orders the members of the own region to bring the piece, from the
	// source where the region is home and else over the region link.
	ranking ranking
	// home tells that the own region takes the piece from the source.
	home bool
	// probed is when an earlier rank was asked last.
	probed time.Time
	// place is that of the own region in the order of the regions.
	place int
	// first is the region that takes the piece from the home region.
	first hosts.Region
	// from are the groups of the region that takes the piece first and of the home
	// region.
	from [2]int
	// call is when the bringer of another region may be asked next, calls how often
	// it was, told when it last answered that it is at the piece.
	call  time.Time
	calls int
	told  time.Time
	// tie orders pieces of the same rarity.
	tie uint32
}

// Scheduler is the state of one fetch. One goroutine owns it.
type Scheduler struct {
	options Options
	limits  Limits
	random  *rand.Rand
	held    Bits
	left    int
	states  []state
	// asked is the set of pieces with an ask under way.
	asked Bits
	// asks is the number of pieces under way from peers in the own region.
	asks int
	// frontier is one above the highest piece that the fleet is known to hold.
	frontier int
	// started is when the first decision was taken, heard when a neighbour first
	// reported.
	started time.Time
	heard   time.Time
	// marked is the number of pieces that have become due.
	marked  int
	members []hosts.Host
	groups  []group
	// own are the members of the own region, or nil.
	own *group
	// stale tells that other members are unable than when the pieces were ranked,
	// able when the first of them may be able again.
	stale bool
	able  time.Time
	peers map[hosts.Name]*peer
	// watched lists the neighbours in the order in which they were chosen.
	watched []*peer
	rechose time.Time
	// reviewed is when every piece was looked at last.
	reviewed time.Time
	renew    bool
	source   source
	// typical is the smoothed time that a piece takes from a peer.
	typical time.Duration
	// pacers yield to other traffic on the links to other regions.
	pacers map[hosts.Region]*Pacer
	// live tells that the host is busy with live requests.
	live    bool
	actions []Action
}

// New returns the state of a fetch that has no members yet.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o, limits: o.Limits.withDefaults(), held: NewBits(len(o.Pieces)), asked: NewBits(len(o.Pieces)),
		random: rand.New(rand.NewPCG(o.Seed, hosts.Score("swarm", o.Self.Name))),
		states: make([]state, len(o.Pieces)), peers: make(map[hosts.Name]*peer),
		pacers: make(map[hosts.Region]*Pacer),
	}
	s.left = len(o.Pieces)
	for i := range o.Pieces {
		s.states[i].tie = s.random.Uint32()
		if o.Held.Has(i) {
			s.hold(i)
		}
	}
	return s
}

func (l Limits) withDefaults() Limits {
	l.Neighbours = cmp.Or(l.Neighbours, defaultNeighbours)
	l.RemoteNeighbours = cmp.Or(l.RemoteNeighbours, defaultFar)
	l.Window = cmp.Or(l.Window, defaultWindow)
	l.Order = cmp.Or(l.Order, OrderRarest)
	return l
}

const (
	defaultNeighbours = 8
	defaultFar        = 2
	defaultWindow     = 10
	// reviewInterval is the shortest time between two looks at every piece.
	reviewInterval = 50 * time.Millisecond
)

// Missing returns the number of pieces that haven't come.
func (s *Scheduler) Missing() int { return s.left }

// Frontier returns one above the highest piece that the fleet is known to hold.
func (s *Scheduler) Frontier() int { return s.frontier }

// SourceFailing reports whether the host can't bring pieces from outside now.
func (s *Scheduler) SourceFailing() bool { return s.source.failures > 0 }

// SetLive tells whether the host is busy with live requests. A busy host asks
// for fewer pieces at once.
func (s *Scheduler) SetLive(live bool) { s.live = live }

func (s *Scheduler) hold(i int) bool {
	if !s.held.Set(i) {
		return false
	}
	s.left--
	s.frontier = max(s.frontier, i+1)
	return true
}

// RecordArrival records a checked piece and how long it took without the time that it
// waited at the sender. The other asks for it are cancelled.
func (s *Scheduler) RecordArrival(now time.Time, from hosts.Name, i int, t Timing) {
	s.settle(from, i)
	if !s.hold(i) {
		return
	}
	for _, a := range slices.Clone(s.states[i].asks) {
		s.act(Action{Kind: KindCancel, Peer: a.peer, Piece: i})
		s.settle(a.peer, i)
	}
	if from == "" {
		s.source.succeed()
		return
	}
	if p := s.peers[from]; p != nil {
		s.learn(now, p, t)
	}
}

// RecordFailure records that a piece didn't come. Wait is when the source asks to come
// back; it is zero for peers.
func (s *Scheduler) RecordFailure(now time.Time, from hosts.Name, i int, c Cause, wait time.Duration) {
	a, ok := s.settle(from, i)
	if !ok {
		return
	}
	if from == "" {
		s.source.fail(now, c, wait, s.random)
		return
	}
	p := s.peers[from]
	if p == nil {
		return
	}
	if a.probe && p.near {
		s.probeFailed(now, p, i, c)
	}
	if a.probe && !p.near {
		s.callFailed(now, p, i, c)
	}
	s.punish(now, p, c, a.probe)
}

// settle removes an ask that has ended.
func (s *Scheduler) settle(from hosts.Name, i int) (ask, bool) {
	st := &s.states[i]
	at := slices.IndexFunc(st.asks, func(a ask) bool { return a.peer == from })
	if at < 0 {
		return ask{}, false
	}
	a := st.asks[at]
	st.asks = slices.Delete(st.asks, at, at+1)
	if len(st.asks) == 0 {
		s.asked.Clear(i)
	}
	if from == "" {
		s.source.running--
		return a, true
	}
	if p := s.peers[from]; p != nil {
		s.count(p, -1)
		if a.probe {
			p.probes--
		}
	}
	return a, true
}

func (s *Scheduler) begin(now time.Time, from hosts.Name, i int, probe bool) {
	s.states[i].asks = append(s.states[i].asks, ask{peer: from, since: now, probe: probe})
	s.asked.Set(i)
	if from == "" {
		s.source.running++
		s.act(Action{Kind: KindFetchSource, Piece: i})
		return
	}
	if p := s.peers[from]; p != nil {
		s.count(p, 1)
		if probe {
			p.probes++
		}
	}
	s.act(Action{Kind: KindFetchPeer, Peer: from, Piece: i})
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// Decide returns what to do now, in order.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.left > 0 {
		s.chooseNeighbours(now)
		s.askPeers(now)
		s.review(now)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// RecordLocal records a piece that came by another way.
func (s *Scheduler) RecordLocal(now time.Time, i int) {
	if !s.held.Has(i) {
		s.RecordArrival(now, foundElsewhere, i, Timing{})
	}
}

// foundElsewhere is no name of a host.
const foundElsewhere = hosts.Name(" ")

// review does what needs a look at every piece, at most every reviewInterval.
func (s *Scheduler) review(now time.Time) {
	if now.Sub(s.reviewed) < reviewInterval {
		return
	}
	s.reviewed = now
	s.expire(now)
	s.markDue(now)
	s.rankAgain(now)
	s.bring(now)
	s.probe(now)
	s.callFar(now)
	s.duplicate(now)
}

// Package swarm schedules the transfers by which one host fetches the pieces of a version
// from other hosts of its pool and from a source, which is the store or the origin. It does
// no I/O: events go in, actions come out, and the caller passes the time.
//
// # Events and actions
//
// A Scheduler is the state of one fetch on one host. Its owner records what neighbors
// hold, what has arrived and what has failed, calls Decide after each event and at least
// every DecideInterval, and executes the actions.
//
// # From the source
//
// The members are ranked for each piece by rendezvous hash. In one region, the first rank
// fetches the piece from the source; in every other region, the first rank of that region
// fetches it over the link between the regions. Before a later rank takes over, it probes
// the earlier ones for the piece, so that a piece which has arrived isn't fetched twice.
// Pieces become due in order, a few beyond the highest one that the fleet is known to hold,
// so that the origin sends few at a time.
//
// # Between peers
//
// A host watches a bounded set of neighbors. It requests the piece that the fewest of them
// hold, from the neighbor that is expected to send it first. Peers that are unavailable or
// slow, report pieces that they don't hold or send corrupt pieces get no requests for a
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

// DecideInterval is the maximum time between two calls of Decide.
const DecideInterval = 250 * time.Millisecond

// Order says which of the pieces that neighbors hold is requested first.
type Order string

// The orders. OrderRarest, the default, breaks ties at random.
const (
	OrderRarest     Order = "rarest"
	OrderRandom     Order = "random"
	OrderSequential Order = "first"
)

// Limits bound the work of one fetch. Zero values stand for the defaults.
type Limits struct {
	// Neighbors is the number of watched peers in the local region.
	Neighbors int
	// RemoteNeighbors is the number of watched peers in each other region.
	RemoteNeighbors int
	// Window is the number of outstanding requests to peers of the local region.
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
	// Held are the pieces that the host already has.
	Held  Bits
	Favor tables.Favor
	// SourceRegion is the region of the store, or empty if it isn't known.
	SourceRegion hosts.Region
	Seed         uint64
	Limits       Limits
}

// Kind is the kind of an action.
type Kind string

// The kinds of action.
const (
	KindWatch       Kind = "watch"
	KindUnwatch     Kind = "leave"
	KindFetchPeer   Kind = "ask"
	KindFetchSource Kind = "bring"
	KindCancel      Kind = "cancel"
)

// Action is what the owner of a Scheduler must do.
type Action struct {
	Kind Kind
	// Peer is the peer to watch or to request the piece from. It is empty for the source.
	Peer  hosts.Name
	Piece int
}

// Cause says why a request for a piece failed.
type Cause string

// The causes of a failure.
const (
	CauseUnavailable Cause = "silent"
	CauseBusy        Cause = "busy"
	CauseCorrupt     Cause = "corrupt"
	// CauseMissing means that a peer responded that it doesn't hold the piece.
	CauseMissing Cause = "missing"
	// CauseFailing means that a peer doesn't hold the piece and can't fetch it from the
	// source.
	CauseFailing Cause = "failing"
	// CauseRefused means that the source refused the request for now.
	CauseRefused Cause = "refused"
)

// Holdings is a report of the pieces that a neighbor holds.
type Holdings struct {
	// Full means that Held replaces all earlier reports.
	Full bool
	Held Bits
	// Added are the pieces that arrived since the last report.
	Added []int
	// Frontier is one above the highest piece that the fleet is known to hold.
	Frontier int
	// QueueLength is the number of pieces that the neighbor still has to send.
	QueueLength int
}

// request is an outstanding request for a piece. An empty peer stands for the source.
type request struct {
	peer      hosts.Name
	startedAt time.Time
	// probe is set if the peer isn't known to hold the piece, and the request finds out
	// whether it does.
	probe bool
}

// piece is the state of one piece.
type piece struct {
	// requests are the outstanding ones, at most two.
	requests []request
	// localHolders is the number of watched peers of the local region that hold the piece.
	localHolders int
	// due is the time at which the piece became due for fetching, or zero if it isn't due
	// yet.
	due time.Time
	// remoteSince is the time at which a remote peer was first known to hold the piece.
	remoteSince time.Time
	// ranking orders the members of the local region for fetching the piece, from the
	// source if fromSource is set and otherwise over the link between the regions.
	ranking ranking
	// fromSource is set if the local region fetches the piece from the source.
	fromSource bool
	// probedAt is the time at which an earlier rank last responded that the piece is on its
	// way.
	probedAt time.Time
	// regionRank is the rank of the local region among all regions.
	regionRank int
	// relayRegion is the region that fetches the piece from the first one.
	relayRegion hosts.Region
	// remoteGroups are the indexes of the groups of the relay region and of the region that
	// fetches the piece from the source.
	remoteGroups [2]int
	// nextQuery is the time from which the remote fetcher may be queried next, queries the
	// number of queries so far, and confirmedAt the time at which it last responded that
	// the piece is on its way.
	nextQuery   time.Time
	queries     int
	confirmedAt time.Time
	// tiebreak orders pieces with the same number of holders.
	tiebreak uint32
}

// Scheduler is the state of one fetch. It must be used from one goroutine.
type Scheduler struct {
	options Options
	limits  Limits
	random  *rand.Rand
	held    Bits
	missing int
	pieces  []piece
	// requested is the set of pieces with an outstanding request.
	requested Bits
	// localRequests is the number of outstanding requests to peers of the local region.
	localRequests int
	// frontier is one above the highest piece that the fleet is known to hold.
	frontier int
	// startedAt is the time of the first decision, reportedAt the time at which a neighbor
	// first reported all its pieces.
	startedAt  time.Time
	reportedAt time.Time
	// dueCount is the number of pieces that have become due.
	dueCount int
	members  []hosts.Host
	groups   []group
	// local is the group of the local region, or nil.
	local *group
	// ranksStale is set if the set of skipped members has changed since the pieces were
	// ranked. skipsEnd is the time at which the first of them may be ranked again.
	ranksStale bool
	skipsEnd   time.Time
	peers      map[hosts.Name]*peer
	// watched lists the neighbors in the order in which they were chosen.
	watched  []*peer
	chosenAt time.Time
	// reviewedAt is the time of the last review.
	reviewedAt     time.Time
	needsNeighbors bool
	source         source
	// typicalTime is the smoothed transfer time of a piece from any peer, or zero.
	typicalTime time.Duration
	// pacers yield to other traffic on the links to other regions.
	pacers map[hosts.Region]*Pacer
	// live is set while the host serves live requests.
	live    bool
	actions []Action
}

// New returns the state of a fetch that has no members yet.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o, limits: o.Limits.withDefaults(), held: NewBits(len(o.Pieces)), requested: NewBits(len(o.Pieces)),
		random: rand.New(rand.NewPCG(o.Seed, hosts.Score("swarm", o.Self.Name))),
		pieces: make([]piece, len(o.Pieces)), peers: make(map[hosts.Name]*peer),
		pacers: make(map[hosts.Region]*Pacer),
	}
	s.missing = len(o.Pieces)
	for i := range o.Pieces {
		s.pieces[i].tiebreak = s.random.Uint32()
		if o.Held.Has(i) {
			s.markHeld(i)
		}
	}
	return s
}

func (l Limits) withDefaults() Limits {
	l.Neighbors = cmp.Or(l.Neighbors, defaultNeighbors)
	l.RemoteNeighbors = cmp.Or(l.RemoteNeighbors, defaultRemoteNeighbors)
	l.Window = cmp.Or(l.Window, defaultWindow)
	l.Order = cmp.Or(l.Order, OrderRarest)
	return l
}

const (
	defaultNeighbors       = 8
	defaultRemoteNeighbors = 2
	defaultWindow          = 10
	// reviewInterval is the minimum time between two reviews of all pieces.
	reviewInterval = 50 * time.Millisecond
)

// Missing returns the number of pieces that haven't arrived.
func (s *Scheduler) Missing() int { return s.missing }

// Frontier returns one above the highest piece that the fleet is known to hold.
func (s *Scheduler) Frontier() int { return s.frontier }

// SourceFailing reports whether requests to the source have failed since the last success.
// Refusals don't count.
func (s *Scheduler) SourceFailing() bool { return s.source.failures > 0 }

// SetLive sets whether the host is serving live requests. If so, the scheduler keeps fewer
// requests for pieces outstanding.
func (s *Scheduler) SetLive(live bool) { s.live = live }

func (s *Scheduler) markHeld(i int) bool {
	if !s.held.Set(i) {
		return false
	}
	s.missing--
	s.frontier = max(s.frontier, i+1)
	return true
}

// RecordArrival records a checked piece and its transfer time. The other requests for it
// are canceled.
func (s *Scheduler) RecordArrival(now time.Time, from hosts.Name, i int, t Timing) {
	s.removeRequest(from, i)
	if !s.markHeld(i) {
		return
	}
	for _, r := range slices.Clone(s.pieces[i].requests) {
		s.emit(Action{Kind: KindCancel, Peer: r.peer, Piece: i})
		s.removeRequest(r.peer, i)
	}
	if from == "" {
		s.source.recordSuccess()
		return
	}
	if p := s.peers[from]; p != nil {
		s.recordTiming(now, p, t)
	}
}

// RecordFailure records that a request failed. retryAfter is the delay that the source
// requested; it is zero for peers.
func (s *Scheduler) RecordFailure(now time.Time, from hosts.Name, i int, c Cause, retryAfter time.Duration) {
	r, ok := s.removeRequest(from, i)
	if !ok {
		return
	}
	if from == "" {
		s.source.recordFailure(now, c, retryAfter, s.random)
		return
	}
	p := s.peers[from]
	if p == nil {
		return
	}
	if r.probe && p.local {
		s.recordProbeReply(now, p, i, c)
	}
	if r.probe && !p.local {
		s.recordFetcherReply(now, p, i, c)
	}
	s.backOff(now, p, c, r.probe)
}

// removeRequest removes a request that has ended.
func (s *Scheduler) removeRequest(from hosts.Name, i int) (request, bool) {
	pc := &s.pieces[i]
	at := slices.IndexFunc(pc.requests, func(r request) bool { return r.peer == from })
	if at < 0 {
		return request{}, false
	}
	r := pc.requests[at]
	pc.requests = slices.Delete(pc.requests, at, at+1)
	if len(pc.requests) == 0 {
		s.requested.Clear(i)
	}
	if from == "" {
		s.source.inFlight--
		return r, true
	}
	if p := s.peers[from]; p != nil {
		s.addInFlight(p, -1)
		if r.probe {
			p.probes--
		}
	}
	return r, true
}

func (s *Scheduler) startRequest(now time.Time, from hosts.Name, i int, probe bool) {
	s.pieces[i].requests = append(s.pieces[i].requests, request{peer: from, startedAt: now, probe: probe})
	s.requested.Set(i)
	if from == "" {
		s.source.inFlight++
		s.emit(Action{Kind: KindFetchSource, Piece: i})
		return
	}
	if p := s.peers[from]; p != nil {
		s.addInFlight(p, 1)
		if probe {
			p.probes++
		}
	}
	s.emit(Action{Kind: KindFetchPeer, Peer: from, Piece: i})
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Decide returns the actions to execute now, in order.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.missing > 0 {
		s.chooseNeighbors(now)
		s.fetchFromPeers(now)
		s.review(now)
	}
	actions := s.actions
	s.actions = nil
	return actions
}

// RecordLocal records a piece that another fetch has added to the cache.
func (s *Scheduler) RecordLocal(now time.Time, i int) {
	if !s.held.Has(i) {
		s.RecordArrival(now, unrequested, i, Timing{})
	}
}

// unrequested is the sender of a piece that came without a request. It isn't a valid host
// name.
const unrequested = hosts.Name(" ")

// review does the work that covers every piece, at most once every reviewInterval.
func (s *Scheduler) review(now time.Time) {
	if now.Sub(s.reviewedAt) < reviewInterval {
		return
	}
	s.reviewedAt = now
	s.expireRequests(now)
	s.markDue(now)
	s.updateRanks(now)
	s.fetchFromSource(now)
	s.probeEarlierRanks(now)
	s.queryRemoteFetchers(now)
	s.duplicateLate(now)
}

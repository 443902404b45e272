// Package sched schedules the transfers by which the pieces of a version reach every
// process of a pool. It does no I/O: events go in, actions come out, and the caller passes
// the clock.
//
// # From the origin
//
// Entries have wide links and forward pieces; agents have narrow links that they share with
// responses. For each piece, the processes are ranked by rendezvous hash: the entries of
// the origin's region first, then the other entries, then the agents. The first rank
// fetches the piece from the origin. Pieces become due one after the other at the rate of
// the origin's link, so that each is sent whole and can be forwarded while the next one is
// on its way. If no process is known to hold a piece some time after it became due, and the
// first rank hasn't received any other piece meanwhile, the second rank fetches it. Later
// ranks wait until no process receives any piece, and a rank whose own attempt fails starts
// waiting again: when the origin recovers from an outage, few processes should send it
// requests.
//
// # After an outage of the origin
//
// While the origin doesn't respond, only the first probeWindow pieces that no process is known
// to hold are requested, by their ranks in turn. The probes of rank r come at intervals that grow
// with the square of r, so that their number hardly grows with that of the processes. Entries from
// which nothing was heard have no rank, and agents probe only if nothing was heard from any entry.
// The first piece that arrives ends the outage for all processes that receive the
// holdings. From then on the first frontWindow pieces that no process is known to hold are
// requested, each by its first rank: together they keep the link of the origin busy, and each
// arrives soon, where requests for all missing pieces would share the link and time out.
//
// # Between regions
//
// In every other region, the entries and then the agents are ranked for each piece too. The
// first rank fetches it from a holder in another region, so that each piece crosses the
// link between two regions once.
//
// # Between peers
//
// Each process reports to others which pieces it holds, and requests the piece with the
// fewest holders from the peer that is expected to send it first. Agents send requests to
// each other only where entries don't serve them. Timeouts and delays follow from the
// observed transfer time of a piece, so that the same rules serve small and large pieces.
//
// # Load
//
// All agents of a pool need the same pieces at once, while their links carry responses. The
// origin can send a few copies of a version in that time, the link of an agent about one,
// counting both directions. The last agent completes about when its own link has carried
// one copy, and a response waits for at most two pieces on that link.
package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// DecideInterval is the maximum time between two calls of Decide.
const DecideInterval = 20 * time.Millisecond

const (
	// agentWindow and entryWindow are the maximum numbers of outstanding requests to peers
	// of the same region. Two keep the link of an agent busy; more would delay the
	// responses on it.
	agentWindow = 2
	entryWindow = 8
	// remoteWindow is the same for peers in other regions.
	remoteWindow = 2
	// originWindow is the maximum number of outstanding requests to the origin.
	originWindow = 2
	// initialPieceTime is the assumed transfer time of a piece until one has arrived.
	initialPieceTime = 150 * time.Millisecond
	// Each rank waits for the one before it for takeoverPieceTimes transfer times of a
	// piece, and at least for minTakeoverDelay.
	minTakeoverDelay   = 250 * time.Millisecond
	takeoverPieceTimes = 5
	// A request to a peer times out after timeoutPieceTimes transfer times of a piece, and
	// not before minPeerTimeout.
	minPeerTimeout    = 500 * time.Millisecond
	timeoutPieceTimes = 8
	// minOriginTimeout is the same for the origin, which serves other processes in between.
	// initialOriginTimeout applies until a piece has arrived from there, since many
	// requests may have started at once. It doubles with each timeout, at most
	// maxOriginDoublings times, for an origin that is slower than that.
	minOriginTimeout     = time.Second
	initialOriginTimeout = 2 * time.Second
	maxOriginDoublings   = 2
	// When at most endgamePieces are missing, a piece that takes longer than
	// duplicatePieceTimes transfer times is requested from a second peer too.
	duplicatePieceTimes = 2
	endgamePieces       = 4
	// Backoffs during which a peer gets no requests. failureBackoff doubles with each
	// consecutive failure, up to maxFailureBackoff.
	busyBackoff    = 40 * time.Millisecond
	failureBackoff = 400 * time.Millisecond
	corruptBackoff = 3 * time.Second
	// maxFailures is the number of consecutive failures after which a peer counts as
	// unavailable.
	maxFailures       = 2
	maxFailureBackoff = 4 * time.Second
	// agentCostFactor multiplies the expected transfer time from an agent, since its
	// uploads delay its responses.
	agentCostFactor = 30
	// maxGroupTakeovers limits the number of takeover delays for which a group of ranks
	// waits for the group before it.
	maxGroupTakeovers = 3
	// originBackoff is the backoff of the origin after a failure. It doubles with each
	// consecutive failure, up to maxOriginBackoff.
	originBackoff    = 100 * time.Millisecond
	maxOriginBackoff = probeBackoff
)

// Piece is one piece of the version.
type Piece struct {
	// Key is hashed to rank the members.
	Key  uint64
	Size int64
}

// Options describe the fetch of one version.
type Options struct {
	Self   hosts.Host
	Pieces []Piece
	// Held reports whether the process holds a piece at the start. Nil means that it holds
	// none.
	Held func(piece int) bool
	// OriginRegion is the region of the origin, or empty if it isn't known.
	OriginRegion hosts.Region
	// OriginRate is the rate of the origin's link in bytes per second, or zero if it isn't
	// known.
	OriginRate float64
	// ReleasedAt is the time at which the version was released, or zero if it isn't known.
	ReleasedAt time.Time
	// AfterOutage is set if the origin was unavailable before the start.
	AfterOutage bool
	Seed        uint64
}

// Kind is the kind of an action.
type Kind int

// The kinds of action.
const (
	// KindFetchPeer requests a piece from a peer, KindFetchOrigin from the origin.
	KindFetchPeer Kind = iota
	KindFetchOrigin
	// KindCancel cancels the request for a piece to a peer or to the origin.
	KindCancel
)

// Action is a step that the caller of Decide must carry out. Peer is empty for the origin.
type Action struct {
	Kind  Kind
	Peer  hosts.Name
	Piece int
}

// Cause is the reason for which a piece wasn't received.
type Cause int

// The causes of a failure.
const (
	CauseUnavailable Cause = iota
	CauseBusy
	CauseMissing
	CauseCorrupt
)

// request is an outstanding request for a piece. An empty peer stands for the origin.
type request struct {
	peer hosts.Name
	// local is set for a peer of the same region. The peer itself may have been removed
	// since.
	local     bool
	startedAt time.Time
}

// piece is the state of one piece.
type piece struct {
	held     bool
	requests []request
	// localHolders is the number of peers of the same region that hold the piece.
	localHolders int
	// remoteSince is the time at which a peer of another region was first known to hold the
	// piece.
	remoteSince time.Time
	// originRank and regionRank are the ranks of this process for fetching the piece from
	// the origin and from another region. A negative rank means never.
	originRank int
	regionRank int
	// agentRank is the originRank without regard to entries.
	agentRank int
	// predecessor is the member whose rank for the origin comes directly before the one of
	// this process.
	predecessor hosts.Name
	tiebreak    uint32
}

// peer is the state of another member.
type peer struct {
	host  hosts.Host
	local bool
	held  []bool
	// queue is the number of pieces that the peer still has to send, as it last reported.
	queue    int
	requests int
	// pieceTime is the smoothed transfer time of a piece from the peer.
	pieceTime   time.Duration
	availableAt time.Time
	failures    int
	// lastProgress is the time at which the peer last received a piece, heardAt that of its last
	// report.
	lastProgress time.Time
	heardAt      time.Time
}

// Scheduler is the state of one fetch. It must be used from one goroutine.
type Scheduler struct {
	options   Options
	random    *rand.Rand
	startedAt time.Time
	missing   int
	pieces    []piece
	members   []hosts.Host
	peers     map[hosts.Name]*peer
	// The numbers of outstanding requests to peers of the same region, to peers of other
	// regions and to the origin.
	localRequests, remoteRequests, originRequests int
	originAvailableAt                             time.Time
	originFailures                                int
	// lastDiscovery is the time at which a piece was first known to be held by any process.
	lastDiscovery time.Time
	discovered    []bool
	// peerPieceTime is the smoothed transfer time of a piece from a peer, or zero.
	peerPieceTime time.Duration
	// originPieceTime is the smoothed transfer time of a piece from the origin, or zero.
	originPieceTime time.Duration
	outage          outage
	actions         []Action
}

// New returns a scheduler for a fetch that starts now. It has no members until SetMembers
// is called.
func New(now time.Time, o Options) *Scheduler {
	s := &Scheduler{
		options: o, startedAt: now, pieces: make([]piece, len(o.Pieces)), peers: make(map[hosts.Name]*peer),
		random: rand.New(rand.NewPCG(o.Seed, hosts.Score("spread", o.Self.Name))), missing: len(o.Pieces),
		discovered: make([]bool, len(o.Pieces)), lastDiscovery: now,
	}
	for i := range s.pieces {
		s.pieces[i].tiebreak = s.random.Uint32()
		if o.Held != nil && o.Held(i) {
			s.markHeld(i)
		}
	}
	if o.AfterOutage {
		s.beginOutage()
		s.outage.current = false
	}
	return s
}

// Missing returns the number of pieces that haven't arrived.
func (s *Scheduler) Missing() int { return s.missing }

func (s *Scheduler) markHeld(i int) bool {
	if s.pieces[i].held {
		return false
	}
	s.pieces[i].held = true
	s.missing--
	return true
}

// markDiscovered records that a piece is held by some process.
func (s *Scheduler) markDiscovered(now time.Time, i int) {
	if s.discovered[i] {
		return
	}
	s.recordDiscovery(now)
	s.endOutage(now, s.lastDiscovery)
	s.discovered[i], s.lastDiscovery = true, now
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
	p := &peer{host: h, local: h.Place.Region == s.options.Self.Place.Region}
	s.peers[name] = p
	return p
}

// ReceiveHoldings records which pieces a peer reports to hold, and how many it still has to
// send. Reports from processes that aren't members are ignored.
func (s *Scheduler) ReceiveHoldings(now time.Time, from hosts.Name, held []bool, queue int) {
	p := s.peerOf(from)
	if p == nil || len(held) != len(s.pieces) {
		return
	}
	p.queue, p.heardAt = queue, now
	s.setHoldings(now, p, held)
}

func (s *Scheduler) setHoldings(now time.Time, p *peer, held []bool) {
	for i := range s.pieces {
		had, has := p.held != nil && p.held[i], held != nil && held[i]
		if has && !had {
			p.lastProgress = now
			s.markDiscovered(now, i)
		}
		switch {
		case had == has:
		case p.local && has:
			s.pieces[i].localHolders++
		case p.local:
			s.pieces[i].localHolders--
		case s.pieces[i].remoteSince.IsZero():
			s.pieces[i].remoteSince = now
		}
	}
	p.held = held
}

// RecordArrival records a verified piece and its transfer time. Other requests for the
// piece are canceled. From is empty for the origin.
func (s *Scheduler) RecordArrival(now time.Time, from hosts.Name, i int, took time.Duration) {
	s.removeRequest(from, i)
	if !s.markHeld(i) {
		return
	}
	s.markDiscovered(now, i)
	for _, r := range slices.Clone(s.pieces[i].requests) {
		s.removeRequest(r.peer, i)
		s.emit(Action{Kind: KindCancel, Peer: r.peer, Piece: i})
	}
	if from == "" {
		s.originFailures, s.originAvailableAt, s.outage.corrupt, s.outage.timeouts = 0, time.Time{}, 0, 0
		s.originPieceTime = smooth(s.originPieceTime, took)
		return
	}
	s.peerPieceTime = smooth(s.peerPieceTime, took)
	if p := s.peers[from]; p != nil {
		p.failures = 0
		p.pieceTime = smooth(p.pieceTime, took)
		p.availableAt = now
	}
}

// RecordLocal records a piece that is held although it wasn't fetched here.
func (s *Scheduler) RecordLocal(now time.Time, i int) {
	if !s.pieces[i].held {
		s.RecordArrival(now, noPeer, i, s.peerPieceTime)
	}
}

// noPeer is the sender of pieces that weren't fetched. It isn't a valid host name.
const noPeer = hosts.Name(" ")

// RecordFailure records that a request failed. From is empty for the origin.
func (s *Scheduler) RecordFailure(now time.Time, from hosts.Name, i int, c Cause) {
	if !s.removeRequest(from, i) {
		return
	}
	if from == "" {
		s.recordOriginFailure(now, c)
		return
	}
	p := s.peers[from]
	if p == nil {
		return
	}
	switch c {
	case CauseBusy:
		p.queue++
		p.availableAt = now.Add(busyBackoff/2 + time.Duration(s.random.Int64N(int64(busyBackoff))))
	case CauseMissing:
		if p.held != nil && p.held[i] {
			held := slices.Clone(p.held)
			held[i] = false
			s.setHoldings(now, p, held)
		}
	case CauseCorrupt:
		p.availableAt = now.Add(corruptBackoff)
	case CauseUnavailable:
		p.availableAt = now.Add(min(failureBackoff<<min(p.failures, 4), maxFailureBackoff))
		if p.failures++; p.failures >= maxFailures {
			// Its holdings don't keep others from fetching pieces until it reports again.
			s.setHoldings(now, p, nil)
		}
	}
}

func (s *Scheduler) recordOriginFailure(now time.Time, c Cause) {
	backoff := min(originBackoff<<min(s.originFailures, 4), maxOriginBackoff)
	s.originFailures++
	if c == CauseCorrupt {
		if s.outage.corrupt++; s.outage.corrupt < maxCorruptPieces {
			backoff = 0
		}
	}
	if backoff > 0 {
		s.beginOutage()
	}
	s.originAvailableAt = now.Add(backoff*3/4 + time.Duration(s.random.Int64N(int64(backoff)/2+1)))
}

// removeRequest removes a request that has ended and reports whether there was one.
func (s *Scheduler) removeRequest(from hosts.Name, i int) bool {
	at := slices.IndexFunc(s.pieces[i].requests, func(r request) bool { return r.peer == from })
	if at < 0 {
		return false
	}
	local := s.pieces[i].requests[at].local
	s.pieces[i].requests = slices.Delete(s.pieces[i].requests, at, at+1)
	switch {
	case from == "":
		s.originRequests--
	case local:
		s.localRequests--
	default:
		s.remoteRequests--
	}
	if p := s.peers[from]; p != nil {
		p.requests--
	}
	return true
}

func (s *Scheduler) startRequest(now time.Time, p *peer, i int) {
	r := request{startedAt: now}
	kind := KindFetchOrigin
	switch {
	case p == nil:
		s.originRequests++
	case p.local:
		s.localRequests++
	default:
		s.remoteRequests++
	}
	if p != nil {
		p.requests++
		r.peer, r.local, kind = p.host.Name, p.local, KindFetchPeer
	}
	s.pieces[i].requests = append(s.pieces[i].requests, r)
	s.emit(Action{Kind: kind, Peer: r.peer, Piece: i})
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Decide returns the actions that are due, in order.
func (s *Scheduler) Decide(now time.Time) []Action {
	if s.missing > 0 {
		s.expireRequests(now)
		s.detectOutage(now)
		s.fetchFromOrigin(now)
		s.fetchFromRemote(now)
		s.fetchFromLocal(now)
		s.duplicateLate(now)
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

func (s *Scheduler) expectedPieceTime() time.Duration {
	return cmp.Or(s.peerPieceTime, initialPieceTime)
}

func (s *Scheduler) takeoverDelay() time.Duration {
	return max(minTakeoverDelay, takeoverPieceTimes*s.expectedPieceTime())
}

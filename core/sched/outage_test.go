package sched_test

import (
	"fmt"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/sched"
)

// maxRecipients is the number of processes that get one report, as in package gather.
const maxRecipients = 32

// sharedLink is a link whose transfers share its rate evenly, as connections do. Canceled
// transfers free their share.
type sharedLink struct {
	world    *world
	rate     float64
	sent     map[*transfer]bool
	at       time.Duration
	serial   int
	downFrom time.Duration
	busy     time.Duration
	bytes    float64
}

type transfer struct {
	left    float64
	arrived func()
}

// advance transmits up to the present.
func (l *sharedLink) advance() {
	if n := len(l.sent); n > 0 {
		l.busy += l.world.now - l.at
		part := (l.world.now - l.at).Seconds() * l.rate / float64(n)
		l.bytes += part * float64(n)
		for t := range l.sent {
			t.left -= part
		}
	}
	l.at = l.world.now
}

// plan schedules the end of the transfer that ends next.
func (l *sharedLink) plan() {
	l.serial++
	serial, least := l.serial, -1.0
	for t := range l.sent {
		if least < 0 || t.left < least {
			least = t.left
		}
	}
	if least < 0 {
		return
	}
	l.world.after(time.Duration(max(least, 0)*float64(len(l.sent))/l.rate*float64(time.Second))+time.Microsecond, func() {
		if l.serial == serial {
			l.finish()
		}
	})
}

func (l *sharedLink) finish() {
	l.advance()
	var done []*transfer
	for t := range l.sent {
		if t.left <= 1e-3 {
			done = append(done, t)
			delete(l.sent, t)
		}
	}
	l.plan()
	for _, t := range done {
		t.arrived()
	}
}

func (l *sharedLink) begin(size float64, arrived func()) *transfer {
	l.advance()
	t := &transfer{left: size, arrived: arrived}
	l.sent[t] = true
	l.plan()
	return t
}

func (l *sharedLink) cancel(t *transfer) {
	l.advance()
	delete(l.sent, t)
	l.plan()
}

// fleet is a world with an origin that shares its link between its requests, processes that
// report as package gather does, and an outage. It models the deployments of docs/PLACING.md:
// 48 pieces of 48 KiB and an origin of 9 Mbit/s.
type fleet struct {
	*world
	origin           *sharedLink
	all              []sched.Piece
	members          []hosts.Host
	downFrom, downTo time.Duration
	// hangs makes the origin silent in the outage instead of refusing requests.
	hangs bool
	// corruptTo is the end of the time in which the origin sends corrupt pieces.
	corruptTo time.Duration
	// requests and refused count the requests to the origin, refused those in the outage.
	requests, refused int
	// mostSent is the maximum number of concurrent transfers from the origin.
	mostSent   int
	firstPiece time.Duration
	inFlight   map[*node]map[int]*transfer
	cursor     map[*node]int
}

const (
	fleetPieces     = 48
	fleetPieceBytes = 48 << 10
	fleetCopy       = fleetPieces * fleetPieceBytes
	fleetOriginRate = 9e6 / 8
)

func newFleet(t *testing.T, entries, agents int, seed uint64) *fleet {
	f := &fleet{world: newWorld(t, 0, 0, seed), inFlight: make(map[*node]map[int]*transfer), cursor: make(map[*node]int)}
	f.origin = &sharedLink{world: f.world, rate: fleetOriginRate, sent: make(map[*transfer]bool)}
	for i := range entries + agents {
		h := hosts.Host{Name: hosts.Name(fmt.Sprintf("h%d", i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", i%3))}}
		if i >= entries {
			h.Role = hosts.RoleAgent
		}
		f.members = append(f.members, h)
	}
	for range fleetPieces {
		f.all = append(f.all, sched.Piece{Key: f.random.Uint64(), Size: fleetPieceBytes})
	}
	for _, h := range f.members {
		rate := agentRate
		if h.Role == hosts.RoleEntry {
			rate = entryRate
		}
		f.nodes = append(f.nodes, f.newNode(h, &link{rate: rate}))
	}
	return f
}

func (f *fleet) newNode(h hosts.Host, l *link) *node {
	n := &node{host: h, link: l, held: make([]bool, fleetPieces)}
	n.scheduler = sched.New(f.clock(), sched.Options{
		Self: h, Pieces: f.all, OriginRegion: "r0", OriginRate: fleetOriginRate, ReleasedAt: epoch, Seed: f.random.Uint64(),
	})
	n.scheduler.SetMembers(f.members)
	f.inFlight[n] = make(map[int]*transfer)
	return n
}

// latency returns the time of a message between a process and another one.
func latency(a, b hosts.Region) time.Duration {
	if a == b {
		return 2 * time.Millisecond
	}
	return 15 * time.Millisecond
}

// loop makes the decisions of a node and sends its reports.
func (f *fleet) loop(n *node) {
	if n.dead {
		return
	}
	f.decide(n)
	f.after(sched.DecideInterval, func() { f.loop(n) })
	interval := 300 * time.Millisecond
	if n.reported < n.count && n.host.Role == hosts.RoleEntry {
		interval = reportInterval
	}
	if f.now-n.reportedAt >= interval && (n.done == 0 || n.reported < n.count) {
		f.reportTo(n)
	}
}

func (f *fleet) decide(n *node) {
	if n.dead || n.done > 0 {
		return
	}
	for _, a := range n.scheduler.Decide(f.clock()) {
		switch {
		case a.Kind == sched.KindFetchOrigin:
			f.requestOrigin(n, a.Piece)
		case a.Kind == sched.KindFetchPeer:
			f.requestPeer(n, f.find(a.Peer), a.Piece)
		case a.Peer == "":
			if t := f.inFlight[n][a.Piece]; t != nil {
				f.origin.cancel(t)
				delete(f.inFlight[n], a.Piece)
			}
		}
	}
}

func (f *fleet) isDown() bool { return f.now >= f.downFrom && f.now < f.downTo }

func (f *fleet) requestOrigin(n *node, i int) {
	delay, requestedAt := latency(n.host.Place.Region, "r0"), f.now
	t := &transfer{}
	f.inFlight[n][i] = t
	f.requests++
	f.after(2*delay, func() {
		switch {
		case f.inFlight[n][i] != t || n.dead:
		case f.isDown():
			f.refused++
			f.fail(n, i)
		default:
			f.inFlight[n][i] = f.origin.begin(fleetPieceBytes, func() {
				f.after(delay, func() { f.arrive(n, i, requestedAt) })
			})
			f.mostSent = max(f.mostSent, len(f.origin.sent))
		}
	})
}

// fail ends a request to the origin.
func (f *fleet) fail(n *node, i int) {
	if f.hangs {
		return
	}
	delete(f.inFlight[n], i)
	f.after(time.Millisecond, func() { n.scheduler.RecordFailure(f.clock(), "", i, sched.CauseUnavailable) })
}

func (f *fleet) arrive(n *node, i int, requestedAt time.Duration) {
	if f.inFlight[n][i] == nil {
		return
	}
	delete(f.inFlight[n], i)
	if f.now < f.corruptTo {
		n.scheduler.RecordFailure(f.clock(), "", i, sched.CauseCorrupt)
		return
	}
	if f.now > f.downTo && f.firstPiece == 0 {
		f.firstPiece = f.now
	}
	f.store(n, "", i, requestedAt)
}

func (f *fleet) store(n *node, from hosts.Name, i int, requestedAt time.Duration) {
	if n.dead {
		return
	}
	n.scheduler.RecordArrival(f.clock(), from, i, f.now-requestedAt)
	if !n.held[i] {
		n.held[i] = true
		if n.count++; n.count == fleetPieces {
			n.done = f.now
			f.reportTo(n)
		}
	}
	f.decide(n)
}

func (f *fleet) requestPeer(n, from *node, i int) {
	delay, requestedAt := latency(n.host.Place.Region, from.host.Place.Region), f.now
	limit := 7
	if from.host.Role == hosts.RoleEntry {
		limit = 38
	}
	f.after(delay, func() {
		switch {
		case from.dead:
		case !from.held[i] || from.sending >= limit:
			cause := sched.CauseBusy
			if !from.held[i] {
				cause = sched.CauseMissing
			}
			f.after(delay, func() { n.scheduler.RecordFailure(f.clock(), from.host.Name, i, cause) })
		default:
			from.sending++
			f.after(from.link.transmit(f.now, fleetPieceBytes)-f.now+delay, func() {
				from.sending--
				f.after(n.link.transmit(f.now, fleetPieceBytes)-f.now, func() { f.store(n, from.host.Name, i, requestedAt) })
			})
		}
	})
}

// reportTo sends the holdings of a node to others, which reply with theirs.
func (f *fleet) reportTo(n *node) {
	n.reportedAt, n.reported = f.now, n.count
	var to []*node
	for _, o := range f.nodes {
		if o != n && !o.dead && (o.host.Role == hosts.RoleEntry || o.host.Place.Region == n.host.Place.Region) {
			to = append(to, o)
		}
	}
	count := min(len(to), maxRecipients)
	for j := range count {
		o := to[(f.cursor[n]+j)%len(to)]
		f.sendHoldings(n, o, func() { f.sendHoldings(o, n, func() {}) })
	}
	if len(to) > 0 {
		f.cursor[n] = (f.cursor[n] + count) % len(to)
	}
}

func (f *fleet) sendHoldings(from, to *node, then func()) {
	held := append([]bool(nil), from.held...)
	f.after(latency(from.host.Place.Region, to.host.Place.Region), func() {
		if to.dead || from.dead {
			return
		}
		if to.done == 0 {
			to.scheduler.ReceiveHoldings(f.clock(), from.host.Name, held, from.sending)
		}
		then()
	})
}

// play simulates until all agents are complete, for 60 s at most.
func (f *fleet) play() {
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(sched.DecideInterval))), func() { f.loop(n) })
	}
	f.after(f.downFrom, func() {
		f.origin.advance()
		for _, n := range f.nodes {
			for i, t := range f.inFlight[n] {
				if f.origin.sent[t] {
					delete(f.origin.sent, t)
					f.fail(n, i)
				}
			}
		}
		f.origin.plan()
	})
	f.simulate(60 * time.Second)
}

// limit returns the earliest time at which the links allow that all agents are complete.
func (f *fleet) limit() time.Duration {
	if f.downTo == f.downFrom {
		return time.Duration(fleetCopy / min(f.origin.rate, agentRate) * float64(time.Second))
	}
	rate := min(f.origin.rate, agentRate)
	return f.downTo + time.Duration((fleetCopy-rate*f.downFrom.Seconds())/rate*float64(time.Second))
}

func TestFleetIsCompleteSoonAfterAnOutage(t *testing.T) {
	for _, size := range []struct{ entries, agents int }{{10, 15}, {34, 45}, {64, 156}} {
		for _, down := range []time.Duration{0, 2 * time.Second, 6 * time.Second} {
			for seed := range uint64(3) {
				f := newFleet(t, size.entries, size.agents, seed)
				f.downFrom, f.downTo = 500*time.Millisecond, 500*time.Millisecond+down
				f.play()
				ratio := float64(f.now) / float64(f.limit())
				after := float64(f.now-f.downTo) / float64(f.limit()-f.downTo)
				t.Logf("entries=%d agents=%d down=%v ratio=%.3f afterreturn=%.2f first=%v copies=%.2f requests=%d refused=%d most=%d", size.entries, size.agents, down, ratio, after,
					f.firstPiece-f.downTo, f.origin.bytes/fleetCopy, f.requests, f.refused, f.mostSent)
			}
		}
	}
}

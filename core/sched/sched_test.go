package sched_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/sched"
)

// The version and the links of the reference deployment: 64 pieces of 32 KiB, the origin's
// link of 9.9 Mbit/s, links of the agents of 7.6 Mbit/s in both directions together.
const (
	pieces         = 64
	pieceBytes     = 32 << 10
	delay          = time.Millisecond
	reportInterval = 40 * time.Millisecond
)

// Link rates in bytes per second.
var originRate, agentRate, entryRate = 9.9e6 / 8, 7.6e6 / 8, 1e9 / 8

// event is a function that runs at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// link transmits bytes one after the other.
type link struct {
	rate float64
	free time.Duration
}

func (l *link) transmit(start time.Duration, size float64) time.Duration {
	l.free = max(l.free, start) + time.Duration(size/l.rate*float64(time.Second))
	return l.free
}

// node is a process that fetches the version.
type node struct {
	host       hosts.Host
	link       *link
	scheduler  *sched.Scheduler
	held       []bool
	count      int
	sending    int
	dead       bool
	done       time.Duration
	reportedAt time.Duration
	// version counts the versions that the node has fetched, from zero. former are the pieces of
	// the version before.
	version int
	former  []bool
	// reported is the number of pieces in the last report.
	reported int
}

// world simulates a fleet in virtual time.
type world struct {
	t      *testing.T
	now    time.Duration
	queue  queue
	serial int
	nodes  []*node
	origin link
	// originDownUntil is the end of an outage in which the origin refuses requests.
	originDownUntil time.Duration
	// corruptRatio is the share of the origin's responses that are corrupt.
	corruptRatio float64
	random       *rand.Rand
	originBytes  float64
	// notBefore is the earliest end of the simulation.
	notBefore        time.Duration
	crossRegionBytes float64
}

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + d, order: w.serial, run: run})
}

var epoch = time.Unix(1e9, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// newWorld returns a fleet with the given numbers of entries and agents in each of three
// regions. The origin is in the first one.
func newWorld(t *testing.T, entries, agents int, seed uint64) *world {
	w := &world{t: t, origin: link{rate: originRate}, random: rand.New(rand.NewPCG(seed, 3))}
	var members []hosts.Host
	for r := range 3 {
		region := hosts.Region(fmt.Sprintf("r%d", r))
		for i := range entries {
			members = append(members, hosts.Host{Name: hosts.Name(fmt.Sprintf("e%d-%d", r, i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: region}})
		}
		for i := range agents {
			members = append(members, hosts.Host{Name: hosts.Name(fmt.Sprintf("a%d-%d", r, i)), Role: hosts.RoleAgent, Place: hosts.Place{Region: region}})
		}
	}
	all := make([]sched.Piece, pieces)
	for i := range all {
		all[i] = sched.Piece{Key: w.random.Uint64(), Size: pieceBytes}
	}
	for _, h := range members {
		rate := agentRate
		if h.Role == hosts.RoleEntry {
			rate = entryRate
		}
		n := &node{host: h, link: &link{rate: rate}, held: make([]bool, pieces)}
		n.scheduler = sched.New(epoch, sched.Options{Self: h, Pieces: all, OriginRegion: "r0", OriginRate: originRate, Seed: seed})
		n.scheduler.SetMembers(members)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) find(name hosts.Name) *node {
	for _, n := range w.nodes {
		if n.host.Name == name {
			return n
		}
	}
	return nil
}

// tick carries out the decisions of a node.
func (w *world) tick(n *node) {
	if n.dead || n.done > 0 {
		return
	}
	for _, a := range n.scheduler.Decide(w.clock()) {
		switch a.Kind {
		case sched.KindFetchOrigin:
			w.fetchFromOrigin(n, a.Piece)
		case sched.KindFetchPeer:
			w.fetchFromPeer(n, w.find(a.Peer), a.Piece)
		case sched.KindCancel:
		}
	}
}

func (w *world) fetchFromOrigin(n *node, i int) {
	if w.now < w.originDownUntil {
		w.after(delay, func() { n.scheduler.RecordFailure(w.clock(), "", i, sched.CauseUnavailable) })
		return
	}
	w.originBytes += pieceBytes
	if n.host.Place.Region != "r0" {
		w.crossRegionBytes += pieceBytes
	}
	requestedAt := w.now
	corrupt := w.random.Float64() < w.corruptRatio
	w.transfer(&w.origin, n.link, func() {
		if corrupt {
			n.scheduler.RecordFailure(w.clock(), "", i, sched.CauseCorrupt)
			return
		}
		w.receive(n, "", i, w.now-requestedAt)
	})
}

// transfer transmits a piece over two links, one after the other.
func (w *world) transfer(from, to *link, arrived func()) {
	w.after(delay, func() {
		w.after(from.transmit(w.now, pieceBytes)-w.now, func() {
			w.after(to.transmit(w.now, pieceBytes)-w.now, arrived)
		})
	})
}

func (w *world) fetchFromPeer(n, from *node, i int) {
	if from == nil || from.dead {
		return
	}
	if !from.held[i] {
		w.after(2*delay, func() { n.scheduler.RecordFailure(w.clock(), from.host.Name, i, sched.CauseMissing) })
		return
	}
	// A server refuses requests when its queue is full.
	limit := 7
	if from.host.Role == hosts.RoleEntry {
		limit = 38
	}
	if from.sending >= limit {
		w.after(2*delay, func() { n.scheduler.RecordFailure(w.clock(), from.host.Name, i, sched.CauseBusy) })
		return
	}
	from.sending++
	if n.host.Place.Region != from.host.Place.Region {
		w.crossRegionBytes += pieceBytes
	}
	requestedAt := w.now
	w.transfer(from.link, n.link, func() {
		from.sending--
		w.receive(n, from.host.Name, i, w.now-requestedAt)
	})
}

func (w *world) receive(n *node, from hosts.Name, i int, took time.Duration) {
	if n.dead {
		return
	}
	n.scheduler.RecordArrival(w.clock(), from, i, took)
	if !n.held[i] {
		n.held[i] = true
		n.count++
		if n.count == pieces {
			n.done = w.now
		}
	}
	interval := 300 * time.Millisecond
	if n.host.Role == hosts.RoleEntry || w.nodes[0].host.Role != hosts.RoleEntry {
		interval = reportInterval
	}
	if w.now-n.reportedAt >= interval || n.count == pieces {
		w.report(n)
	} else {
		w.after(interval, func() { w.report(n) })
	}
	w.tick(n)
}

// report sends the holdings of a node to the others.
func (w *world) report(n *node) {
	if n.dead {
		return
	}
	n.reportedAt = w.now
	held := append([]bool(nil), n.held...)
	entries := false
	for _, o := range w.nodes {
		entries = entries || o.host.Role == hosts.RoleEntry
	}
	for _, o := range w.nodes {
		if o == n || entries && o.host.Role != hosts.RoleEntry && o.host.Place.Region != n.host.Place.Region {
			continue
		}
		w.after(delay, func() { o.scheduler.ReceiveHoldings(w.clock(), n.host.Name, held, n.sending) })
	}
}

// run simulates until all live nodes are complete, for 30 s at most, and returns the time
// at which the last one was.
func (w *world) run() time.Duration {
	for _, n := range w.nodes {
		w.schedule(n)
	}
	return w.simulate(30 * time.Second)
}

// simulate runs the events until all live nodes are complete and returns the time.
func (w *world) simulate(limit time.Duration) time.Duration {
	for len(w.queue) > 0 && w.now < limit {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		if w.isDone() {
			break
		}
	}
	return w.now
}

func (w *world) schedule(n *node) {
	w.tick(n)
	if !n.dead && n.done == 0 {
		w.after(sched.DecideInterval, func() { w.schedule(n) })
	}
}

func (w *world) isDone() bool {
	if w.now < w.notBefore {
		return false
	}
	for _, n := range w.nodes {
		if !n.dead && n.done == 0 {
			return false
		}
	}
	return true
}

// linkBound is the shortest time in which an agent's link transmits the version.
func linkBound() time.Duration { return time.Duration(copyBytes / agentRate * float64(time.Second)) }

const copyBytes = pieces * pieceBytes

func TestVersionReachesAllNearLinkBound(t *testing.T) {
	for _, c := range []struct{ entries, agents int }{{2, 5}, {2, 9}, {12, 20}} {
		w := newWorld(t, c.entries, c.agents, 1)
		took := w.run()
		if share := float64(took) / float64(linkBound()); share > 1.15 {
			t.Errorf("%d entries and %d agents a region: %v, %.2f of the bound", c.entries, c.agents, took, share)
		}
		if copies := w.originBytes / copyBytes; copies > 1.05 {
			t.Errorf("%d and %d: %.2f copies from the origin", c.entries, c.agents, copies)
		}
		if copies := w.crossRegionBytes / copyBytes; copies > 2.1 {
			t.Errorf("%d and %d: %.2f copies between regions", c.entries, c.agents, copies)
		}
	}
}

// TestAgentsFetchWithoutEntries covers the loss of all entries. The link of an agent then
// carries about two copies.
func TestAgentsFetchWithoutEntries(t *testing.T) {
	w := newWorld(t, 0, 9, 1)
	if took := w.run(); took > 4*linkBound() {
		t.Errorf("%v, %.2f of the bound", took, float64(took)/float64(linkBound()))
	}
	if copies := w.originBytes / copyBytes; copies > 1.6 {
		t.Errorf("%.2f copies from the origin", copies)
	}
}

func TestDeadEntryDoesNotDelayFleet(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, 2, 5, seed)
		victim := w.nodes[int(seed)%2]
		w.after(time.Duration(300+200*seed)*time.Millisecond, func() { victim.dead = true })
		if took := w.run(); took > 2*linkBound() {
			t.Errorf("seed %d: %v, %.2f of the bound", seed, took, float64(took)/float64(linkBound()))
		}
	}
}

func TestCorruptPiecesAreRefetched(t *testing.T) {
	w := newWorld(t, 2, 5, 1)
	w.corruptRatio = 0.1
	if took := w.run(); took > 3*linkBound()/2 {
		t.Errorf("%v, %.2f of the bound", took, float64(took)/float64(linkBound()))
	}
}

// TestRecoveredOriginIsNotOverloaded has the origin refuse requests for six seconds in the
// middle of a fetch. With takeover delays that count from the time at which a piece was
// due, all processes sent requests as soon as it recovered, for 12.4 copies.
func TestRecoveredOriginIsNotOverloaded(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, 2, 9, seed)
		w.after(500*time.Millisecond, func() { w.originDownUntil = w.now + 6*time.Second })
		took := w.run()
		if took > 6500*time.Millisecond+2*linkBound() {
			t.Errorf("seed %d: %v", seed, took)
		}
		if copies := w.originBytes / copyBytes; copies > 1.5 {
			t.Errorf("seed %d: %.2f copies from the origin", seed, copies)
		}
	}
}

func TestRemovedMembersGetNoRequests(t *testing.T) {
	w := newWorld(t, 1, 2, 1)
	n := w.nodes[1]
	held := make([]bool, pieces)
	for i := range held {
		held[i] = true
	}
	n.scheduler.ReceiveHoldings(w.clock(), w.nodes[0].host.Name, held, 0)
	n.scheduler.SetMembers([]hosts.Host{n.host})
	for _, a := range n.scheduler.Decide(w.clock()) {
		if a.Peer != "" {
			t.Errorf("piece %[2]d is requested from %[1]s", a.Peer, a.Piece)
		}
	}
}

// TestLateFetchFollowsReleasePace compares a fetch that starts with the release with one
// that starts when all pieces could have passed the origin's link.
func TestLateFetchFollowsReleasePace(t *testing.T) {
	now := time.Unix(1e9, 0)
	self := hosts.Host{Name: "e0", Role: hosts.RoleEntry, Place: hosts.Place{Region: "r0", Domain: "d0"}}
	for late, want := range map[time.Duration]int{0: 1, 10 * time.Second: 8} {
		pieces := make([]sched.Piece, 8)
		for i := range pieces {
			pieces[i] = sched.Piece{Key: uint64(i + 1), Size: 4 << 10}
		}
		s := sched.New(now, sched.Options{
			Self: self, Pieces: pieces, Held: func(int) bool { return false }, OriginRegion: "r0", OriginRate: 8 << 10, ReleasedAt: now.Add(-late),
		})
		s.SetMembers([]hosts.Host{self})
		fetched := 0
		for range 8 {
			for _, a := range s.Decide(now) {
				if a.Peer == "" {
					fetched++
					s.RecordArrival(now, "", a.Piece, time.Millisecond)
				}
			}
		}
		if fetched != want {
			t.Errorf("a fetch that started %v late fetches %d pieces at once, want %d", late, fetched, want)
		}
	}
}

// TestRemovedMembersFreeRequestWindow removes a peer to which the window of requests is
// full. As many pieces must be requested from another peer at once.
func TestRemovedMembersFreeRequestWindow(t *testing.T) {
	for _, region := range []hosts.Region{"home", "far"} {
		place := func(name string, r hosts.Region) hosts.Host {
			return hosts.Host{Name: hosts.Name(name), Role: hosts.RoleEntry, State: hosts.StateLive, Place: hosts.Place{Region: r}}
		}
		self, removed, remaining := place("self", "home"), place("gone", region), place("left", region)
		var all []sched.Piece
		held := make([]bool, 8)
		for i := range held {
			all = append(all, sched.Piece{Key: uint64(i), Size: pieceBytes})
			held[i] = true
		}
		now := time.Unix(1e9, 0)
		s := sched.New(now, sched.Options{Self: self, Pieces: all, Held: func(int) bool { return false }, OriginRegion: "elsewhere", OriginRate: originRate, Seed: 1})
		requested := func(from hosts.Host) int {
			count := 0
			for _, a := range s.Decide(now) {
				if a.Kind == sched.KindFetchPeer && a.Peer == from.Name {
					count++
				}
			}
			return count
		}
		s.SetMembers([]hosts.Host{self, removed, remaining})
		s.ReceiveHoldings(now, removed.Name, held, 0)
		now = now.Add(10 * time.Second)
		before := requested(removed)
		if before == 0 {
			t.Fatalf("%s: no piece is requested", region)
		}
		s.SetMembers([]hosts.Host{self, remaining})
		s.ReceiveHoldings(now, remaining.Name, held, 0)
		now = now.Add(20 * time.Millisecond)
		if n := requested(remaining); n != before {
			t.Errorf("%s: %d pieces are requested from the remaining peer, %d were requested from the removed one", region, n, before)
		}
	}
}

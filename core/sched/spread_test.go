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

// The sizes of the users' sheets: 64 pieces of 32 KiB, the origin's link of 9.9 Mbit/s,
// those of the agents of 7.6 Mbit/s in both directions together.
const (
	pieces     = 64
	pieceBytes = 32 << 10
	delay      = time.Millisecond
	tellDelay  = 40 * time.Millisecond
)

// The rates of links in bytes a second.
var originRate, agentRate, entryRate = 9.9e6 / 8, 7.6e6 / 8, 1e9 / 8

// event is something that happens at a time.
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

// link passes bytes one after the other.
type link struct {
	rate float64
	free time.Duration
}

func (l *link) pass(start time.Duration, size float64) time.Duration {
	l.free = max(l.free, start) + time.Duration(size/l.rate*float64(time.Second))
	return l.free
}

// node is a process that fetches the version.
type node struct {
	host    hosts.Host
	link    *link
	spread  *sched.Scheduler
	held    []bool
	count   int
	sending int
	dead    bool
	done    time.Duration
	told    time.Duration
}

// world is a fleet in virtual time.
type world struct {
	t      *testing.T
	now    time.Duration
	queue  queue
	serial int
	nodes  []*node
	origin link
	// originUntil is until when the origin refuses.
	originUntil time.Duration
	// spoils is the share of pieces that come spoilt from the origin.
	spoils      float64
	random      *rand.Rand
	originBytes float64
	crossed     float64
}

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + d, order: w.serial, run: run})
}

var epoch = time.Unix(1e9, 0)

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// newWorld returns a fleet with the given numbers of entries and agents in each of three
// regions, of which the first holds the origin.
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
		n.spread = sched.New(epoch, sched.Options{Self: h, Pieces: all, OriginRegion: "r0", OriginRate: originRate, Seed: seed})
		n.spread.SetMembers(members)
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

// tick lets a node decide.
func (w *world) tick(n *node) {
	if n.dead || n.done > 0 {
		return
	}
	for _, a := range n.spread.Decide(w.clock()) {
		switch a.Kind {
		case sched.KindFetchOrigin:
			w.bring(n, a.Piece)
		case sched.KindFetchPeer:
			w.ask(n, w.find(a.Peer), a.Piece)
		case sched.KindCancel:
		}
	}
}

func (w *world) bring(n *node, i int) {
	if w.now < w.originUntil {
		w.after(delay, func() { n.spread.RecordFailure(w.clock(), "", i, sched.CauseUnavailable) })
		return
	}
	w.originBytes += pieceBytes
	if n.host.Place.Region != "r0" {
		w.crossed += pieceBytes
	}
	asked := w.now
	spoilt := w.random.Float64() < w.spoils
	w.carry(&w.origin, n.link, func() {
		if spoilt {
			n.spread.RecordFailure(w.clock(), "", i, sched.CauseCorrupt)
			return
		}
		w.arrive(n, "", i, w.now-asked)
	})
}

// carry passes a piece over two links, one after the other.
func (w *world) carry(from, to *link, arrived func()) {
	w.after(delay, func() {
		w.after(from.pass(w.now, pieceBytes)-w.now, func() {
			w.after(to.pass(w.now, pieceBytes)-w.now, arrived)
		})
	})
}

func (w *world) ask(n, from *node, i int) {
	if from == nil || from.dead {
		return
	}
	if !from.held[i] {
		w.after(2*delay, func() { n.spread.RecordFailure(w.clock(), from.host.Name, i, sched.CauseMissing) })
		return
	}
	// A server refuses what it can't send soon.
	most := 7
	if from.host.Role == hosts.RoleEntry {
		most = 38
	}
	if from.sending >= most {
		w.after(2*delay, func() { n.spread.RecordFailure(w.clock(), from.host.Name, i, sched.CauseBusy) })
		return
	}
	from.sending++
	if n.host.Place.Region != from.host.Place.Region {
		w.crossed += pieceBytes
	}
	asked := w.now
	w.carry(from.link, n.link, func() {
		from.sending--
		w.arrive(n, from.host.Name, i, w.now-asked)
	})
}

func (w *world) arrive(n *node, from hosts.Name, i int, took time.Duration) {
	if n.dead {
		return
	}
	n.spread.RecordArrival(w.clock(), from, i, took)
	if !n.held[i] {
		n.held[i] = true
		n.count++
		if n.count == pieces {
			n.done = w.now
		}
	}
	interval := 300 * time.Millisecond
	if n.host.Role == hosts.RoleEntry || w.nodes[0].host.Role != hosts.RoleEntry {
		interval = tellDelay
	}
	if w.now-n.told >= interval || n.count == pieces {
		w.tell(n)
	} else {
		w.after(interval, func() { w.tell(n) })
	}
	w.tick(n)
}

// tell tells others what a node holds.
func (w *world) tell(n *node) {
	if n.dead {
		return
	}
	n.told = w.now
	held := append([]bool(nil), n.held...)
	entries := false
	for _, o := range w.nodes {
		entries = entries || o.host.Role == hosts.RoleEntry
	}
	for _, o := range w.nodes {
		if o == n || entries && o.host.Role != hosts.RoleEntry && o.host.Place.Region != n.host.Place.Region {
			continue
		}
		w.after(delay, func() { o.spread.ReceiveHoldings(w.clock(), n.host.Name, held, n.sending) })
	}
}

// run plays until all live nodes are done, for 30 s at most, and returns when the last
// one was.
func (w *world) run() time.Duration {
	for _, n := range w.nodes {
		w.schedule(n)
	}
	for len(w.queue) > 0 && w.now < 30*time.Second {
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
	for _, n := range w.nodes {
		if !n.dead && n.done == 0 {
			return false
		}
	}
	return true
}

// bound is the least time in which an agent's link carries the version.
func bound() time.Duration { return time.Duration(copyBytes / agentRate * float64(time.Second)) }

const copyBytes = pieces * pieceBytes

func TestVersionReachesAllInAboutTheTimeOfOneLink(t *testing.T) {
	for _, c := range []struct{ entries, agents int }{{2, 5}, {2, 9}, {12, 20}} {
		w := newWorld(t, c.entries, c.agents, 1)
		took := w.run()
		if share := float64(took) / float64(bound()); share > 1.15 {
			t.Errorf("%d entries and %d agents a region: %v, %.2f of the bound", c.entries, c.agents, took, share)
		}
		if copies := w.originBytes / copyBytes; copies > 1.05 {
			t.Errorf("%d and %d: %.2f copies from the origin", c.entries, c.agents, copies)
		}
		if copies := w.crossed / copyBytes; copies > 2.1 {
			t.Errorf("%d and %d: %.2f copies between regions", c.entries, c.agents, copies)
		}
	}
}

// TestAgentsManageWithoutEntries holds while all entries are gone. An agent's link then
// carries about two copies.
func TestAgentsManageWithoutEntries(t *testing.T) {
	w := newWorld(t, 0, 9, 1)
	if took := w.run(); took > 4*bound() {
		t.Errorf("%v, %.2f of the bound", took, float64(took)/float64(bound()))
	}
	if copies := w.originBytes / copyBytes; copies > 1.6 {
		t.Errorf("%.2f copies from the origin", copies)
	}
}

func TestDeadEntryHoldsNobodyUp(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, 2, 5, seed)
		victim := w.nodes[int(seed)%2]
		w.after(time.Duration(300+200*seed)*time.Millisecond, func() { victim.dead = true })
		if took := w.run(); took > 2*bound() {
			t.Errorf("seed %d: %v, %.2f of the bound", seed, took, float64(took)/float64(bound()))
		}
	}
}

func TestSpoiltPiecesAreBroughtAgain(t *testing.T) {
	w := newWorld(t, 2, 5, 1)
	w.spoils = 0.1
	if took := w.run(); took > 3*bound()/2 {
		t.Errorf("%v, %.2f of the bound", took, float64(took)/float64(bound()))
	}
}

// TestOriginThatComesBackIsNotAskedByAll has the origin refuse for six seconds in the
// middle. With ranks that count from the time at which a piece was due, all processes
// asked it at once when it came back, for 12.4 copies.
func TestOriginThatComesBackIsNotAskedByAll(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(t, 2, 9, seed)
		w.after(500*time.Millisecond, func() { w.originUntil = w.now + 6*time.Second })
		took := w.run()
		if took > 6500*time.Millisecond+2*bound() {
			t.Errorf("seed %d: %v", seed, took)
		}
		if copies := w.originBytes / copyBytes; copies > 1.5 {
			t.Errorf("seed %d: %.2f copies from the origin", seed, copies)
		}
	}
}

func TestMembersThatLeaveAreNotAsked(t *testing.T) {
	w := newWorld(t, 1, 2, 1)
	n := w.nodes[1]
	held := make([]bool, pieces)
	for i := range held {
		held[i] = true
	}
	n.spread.ReceiveHoldings(w.clock(), w.nodes[0].host.Name, held, 0)
	n.spread.SetMembers([]hosts.Host{n.host})
	for _, a := range n.spread.Decide(w.clock()) {
		if a.Peer != "" {
			t.Errorf("%s is asked for piece %d", a.Peer, a.Piece)
		}
	}
}

// TestFetchThatBeganLateKeepsThePaceOfTheRelease compares a fetch that begins with the
// release with one that begins when all pieces could have passed the origin's link.
func TestFetchThatBeganLateKeepsThePaceOfTheRelease(t *testing.T) {
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
		brought := 0
		for range 8 {
			for _, a := range s.Decide(now) {
				if a.Peer == "" {
					brought++
					s.RecordArrival(now, "", a.Piece, time.Millisecond)
				}
			}
		}
		if brought != want {
			t.Errorf("a fetch that began %v late brings %d pieces at once, want %d", late, brought, want)
		}
	}
}

// TestMembersThatLeaveFreeTheWindow lets a peer leave that is asked for as many pieces as may
// be asked for at once. Others are asked in its place, at once and for as many.
func TestMembersThatLeaveFreeTheWindow(t *testing.T) {
	for _, region := range []hosts.Region{"home", "far"} {
		place := func(name string, r hosts.Region) hosts.Host {
			return hosts.Host{Name: hosts.Name(name), Role: hosts.RoleEntry, State: hosts.StateLive, Place: hosts.Place{Region: r}}
		}
		self, gone, left := place("self", "home"), place("gone", region), place("left", region)
		var all []sched.Piece
		held := make([]bool, 8)
		for i := range held {
			all = append(all, sched.Piece{Key: uint64(i), Size: pieceBytes})
			held[i] = true
		}
		now := time.Unix(1e9, 0)
		s := sched.New(now, sched.Options{Self: self, Pieces: all, Held: func(int) bool { return false }, OriginRegion: "elsewhere", OriginRate: originRate, Seed: 1})
		asked := func(from hosts.Host) int {
			count := 0
			for _, a := range s.Decide(now) {
				if a.Kind == sched.KindFetchPeer && a.Peer == from.Name {
					count++
				}
			}
			return count
		}
		s.SetMembers([]hosts.Host{self, gone, left})
		s.ReceiveHoldings(now, gone.Name, held, 0)
		now = now.Add(10 * time.Second)
		before := asked(gone)
		if before == 0 {
			t.Fatalf("%s: nothing is asked", region)
		}
		s.SetMembers([]hosts.Host{self, left})
		s.ReceiveHoldings(now, left.Name, held, 0)
		now = now.Add(20 * time.Millisecond)
		if n := asked(left); n != before {
			t.Errorf("%s: %d pieces are asked of the peer that is left, %d were asked of the one that has gone", region, n, before)
		}
	}
}

package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
	"currantport.example/core/mesh"
	"currantport.example/core/wire"
)

const (
	latency = time.Millisecond
	// settleTime is the time within which processes that start discover each other, and
	// notice that one has left or returned.
	settleTime = 3 * time.Second
)

// network carries datagrams between sockets in memory.
type network struct {
	mutex   sync.Mutex
	sockets map[netip.AddrPort]*socket
	// isolated holds the hosts whose datagrams are dropped in both directions, loss is the
	// ratio of datagrams that are lost.
	isolated map[netip.Addr]bool
	loss     float64
	random   *rand.Rand
}

type packet struct {
	from netip.AddrPort
	data []byte
}

type socket struct {
	network *network
	at      netip.AddrPort
	queue   chan packet
	closed  chan struct{}
	once    sync.Once
}

func (n *network) open(at netip.AddrPort) *socket {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	s := &socket{network: n, at: at, queue: make(chan packet, 1024), closed: make(chan struct{})}
	n.sockets[at] = s
	return s
}

func (s *socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-s.queue:
		return copy(b, p.data), p.from, nil
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := s.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.isolated[s.at.Addr()] || n.isolated[to.Addr()] || n.random.Float64() < n.loss {
		return len(b), nil
	}
	p := packet{from: s.at, data: slices.Clone(b)}
	time.AfterFunc(latency, func() {
		n.mutex.Lock()
		other := n.sockets[to]
		n.mutex.Unlock()
		if other == nil {
			return
		}
		select {
		case other.queue <- p:
		default:
		}
	})
	return len(b), nil
}

func (s *socket) Close() error {
	s.once.Do(func() {
		s.network.mutex.Lock()
		delete(s.network.sockets, s.at)
		s.network.mutex.Unlock()
		close(s.closed)
	})
	return nil
}

// fleet is a set of entries and one agent. The first entry is the seed of all.
type fleet struct {
	network *network
	entries []*mesh.Node
	agent   *mesh.Node
	stops   []func()
}

// setIsolated isolates a host or connects it again.
func (n *network) setIsolated(host netip.Addr, isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[host] = isolated
}

// setLoss sets the ratio of datagrams that are lost.
func (n *network) setLoss(ratio float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loss = ratio
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000)
}

func (f *fleet) start(i int, role hosts.Role, incarnation uint64) (*mesh.Node, func()) {
	self := member.Member{ClientAddress: addressOf(i), Incarnation: incarnation}
	self.Host = hosts.Host{
		Name: hosts.Name(fmt.Sprint("e", i)), Role: role, State: hosts.StateLive, Address: addressOf(i),
		Place: hosts.Place{Region: hosts.Region(fmt.Sprint("r", i%3)), Domain: hosts.Domain(fmt.Sprint("d", i%3))},
	}
	n, stop := mesh.New(mesh.Options{Self: self, Socket: f.network.open(addressOf(i)), Seeds: []netip.AddrPort{addressOf(0)}, Seed: uint64(i), Detection: 7 * time.Second, Log: zap.NewNop()})
	n.SetState(hosts.StateLive, true)
	return n, stop
}

// runFleet runs a test of a fleet in virtual time.
func runFleet(t *testing.T, entries int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &fleet{network: &network{sockets: make(map[netip.AddrPort]*socket), isolated: make(map[netip.Addr]bool), random: rand.New(rand.NewPCG(1, 1))}}
		for i := range entries {
			n, stop := f.start(i, hosts.RoleEntry, 1)
			f.entries, f.stops = append(f.entries, n), append(f.stops, stop)
		}
		agent, stop := f.start(200, hosts.RoleAgent, 1)
		f.agent, f.stops = agent, append(f.stops, stop)
		test(f)
		for _, s := range f.stops {
			s()
		}
	})
}

// expectEntries checks how many ready entries each of the nodes knows.
func (f *fleet) expectEntries(t *testing.T, what string, want int, nodes ...*mesh.Node) {
	t.Helper()
	for i, n := range nodes {
		if got := len(n.Entries()); got != want {
			t.Errorf("%s: node %d knows %d entries, want %d", what, i, got, want)
		}
	}
}

// TestProcessesFindEachOtherFromOneSeed starts entries and an agent, with and without loss.
func TestProcessesFindEachOtherFromOneSeed(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		for _, count := range []int{3, 12, 40} {
			t.Run(fmt.Sprint(count, "-loss-", loss), func(t *testing.T) {
				runFleet(t, count, func(f *fleet) {
					f.network.setLoss(loss)
					time.Sleep(settleTime)
					if loss > 0 {
						time.Sleep(settleTime)
					}
					for i, n := range f.entries {
						if known := len(n.Entries()); known < count && loss == 0 || known < count*9/10 {
							t.Errorf("entry %d knows %d of %d", i, known, count)
						}
					}
					// An agent queries one entry at a time, and needs those of its region.
					if n := len(f.agent.Entries()); n < count/2 {
						t.Errorf("the agent knows %d entries of %d", n, count)
					}
				})
			})
		}
	}
}

// TestIsolatedEntryIsDroppedAndReturns isolates one entry. The entries of its region refer clients
// to it, so they must notice first.
func TestIsolatedEntryIsDroppedAndReturns(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		isolated := addressOf(5).Addr()
		f.network.setIsolated(isolated, true)
		time.Sleep(settleTime)
		f.expectEntries(t, "isolated", 7, f.entries[2])
		for range 20 {
			// The agent keeps the other entry of the region meanwhile.
			time.Sleep(2 * settleTime / 20)
			if !slices.ContainsFunc(f.agent.Entries(), func(h hosts.Host) bool { return h.Name == "e2" }) {
				t.Error("the agent lost the remaining entry of its region")
				break
			}
		}
		others := append(slices.Clone(f.entries[:5]), f.entries[6:]...)
		f.expectEntries(t, "isolated for long", 7, append(others, f.agent)...)
		if n := others[0].EntryCount(); n != 8 {
			t.Errorf("the budget is shared among %d entries while one is isolated, want 8", n)
		}
		f.network.setIsolated(isolated, false)
		time.Sleep(settleTime)
		f.expectEntries(t, "reconnected", 8, append(f.entries, f.agent)...)
	})
}

// TestEndedEntryIsReportedToOtherRegions guards the reports of silent entries on their way between processes. Without
// them other regions notice an end after 6 s.
func TestEndedEntryIsReportedToOtherRegions(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		time.Sleep(settleTime)
		f.stops[5]()
		f.stops[5] = func() {}
		time.Sleep(4500 * time.Millisecond)
		for i, e := range f.entries {
			if _, ok := e.Find("e5"); ok && i != 5 {
				t.Errorf("entry %d lists one that ended 4.5 s ago", i)
			}
		}
	})
}

// TestDrainingIsAnnouncedAtOnce checks that entries of the same region, which refer clients to
// each other, are notified without waiting for the next round.
func TestDrainingIsAnnouncedAtOnce(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		f.entries[2].SetState(hosts.StateLeaving, false)
		time.Sleep(member.GossipInterval / 2)
		f.expectEntries(t, "leaving", 7, f.entries[5])
		time.Sleep(settleTime)
		f.expectEntries(t, "left", 7, append(f.entries, f.agent)...)
	})
}

func TestRestartedEntryReplacesItself(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		time.Sleep(settleTime)
		f.stops[5]()
		n, stop := f.start(5, hosts.RoleEntry, 2)
		f.entries[5], f.stops[5] = n, stop
		time.Sleep(settleTime)
		f.expectEntries(t, "restarted", 8, append(f.entries, f.agent)...)
		for i, e := range f.entries {
			if m, ok := e.Find("e5"); !ok || m.Incarnation != 2 {
				t.Errorf("entry %d knows incarnation %d", i, m.Incarnation)
			}
		}
	})
}

// TestStartingEntryLearnsLimits checks that an entry which starts again hears of the limits of
// upstreams from an entry of its region within a round trip of being ready.
func TestStartingEntryLearnsLimits(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		f.entries[2].SetHandlers(mesh.Handlers{ExportLimits: func(int) []*wire.Limit { return []*wire.Limit{{Upstream: "u", Rate: 1, Serial: 1}} }})
		time.Sleep(settleTime)
		f.stops[5]()
		n, stop := f.start(5, hosts.RoleEntry, 2)
		f.entries[5], f.stops[5] = n, stop
		n.SetState(hosts.StateLive, false)
		time.Sleep(settleTime)
		var heard atomic.Pointer[time.Time]
		n.SetHandlers(mesh.Handlers{Limits: func(from hosts.Name, all []*wire.Limit) {
			if from == "e2" && len(all) == 1 && all[0].Upstream == "u" {
				now := time.Now()
				heard.CompareAndSwap(nil, &now)
			}
		}})
		ready := time.Now()
		n.SetState(hosts.StateLive, true)
		time.Sleep(settleTime)
		if at := heard.Load(); at == nil || at.Sub(ready) > 2*latency {
			t.Errorf("heard at %v, ready at %v", at, ready)
		}
	})
}

// TestInvalidDatagramsAreIgnored sends bytes that can't be decoded, and a record without an
// address.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		time.Sleep(settleTime)
		var received atomic.Int32
		f.entries[1].SetHandlers(mesh.Handlers{LoadReport: func(netip.AddrPort, *wire.LoadDigest) { received.Add(1) }})
		foreign := f.network.open(addressOf(99))
		for _, data := range [][]byte{nil, {0xff, 0xff, 0xff}, make([]byte, 20<<10)} {
			if _, err := foreign.WriteToUDPAddrPort(data, addressOf(1)); err != nil {
				t.Fatal(err)
			}
		}
		f.entries[0].Send(&wire.Datagram{Body: &wire.Datagram_Gossip{Gossip: &wire.Gossip{Self: &wire.MemberRecord{Name: "x", State: "live"}}}}, addressOf(1))
		f.entries[0].Send(&wire.Datagram{Body: &wire.Datagram_Load{Load: &wire.LoadDigest{Upstream: "u"}}}, addressOf(1))
		time.Sleep(time.Second)
		f.expectEntries(t, "invalid datagrams", 3, f.entries...)
		if n := received.Load(); n != 1 {
			t.Errorf("%d load reports received, want 1", n)
		}
	})
}

// TestListsOfEntriesAreShared checks that reading the entries copies nothing, however many there
// are, and that the list changes with them and only then.
func TestListsOfEntriesAreShared(t *testing.T) {
	runFleet(t, 40, func(f *fleet) {
		time.Sleep(2 * settleTime)
		n := f.entries[3]
		before := hosts.ListIDOf(n.Entries())
		if allocations := testing.AllocsPerRun(100, func() {
			_, found := n.Find("e7")
			if len(n.Entries()) != 40 || len(n.Members()) != 40 || !found {
				t.Errorf("%d of 40 entries, found %t", len(n.Entries()), found)
			}
		}); allocations > 0 {
			t.Errorf("%v allocations for a look at the entries", allocations)
		}
		time.Sleep(settleTime)
		if hosts.ListIDOf(n.Entries()) != before {
			t.Error("the list was replaced although no entry has changed")
		}
		f.entries[7].SetState(hosts.StateLeaving, false)
		time.Sleep(settleTime)
		if hosts.ListIDOf(n.Entries()) == before || len(n.Entries()) != 39 {
			t.Errorf("%d entries after one left", len(n.Entries()))
		}
	})
}

// TestAgentFindsAReadyEntrySoon starts the agents of a fleet a little before its entries, as after
// the loss of all hosts. Each must know an entry soon after they are ready.
func TestAgentFindsAReadyEntrySoon(t *testing.T) {
	const startDelay, readyDelay, limit = 150 * time.Millisecond, 350 * time.Millisecond, 300 * time.Millisecond
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{network: &network{sockets: make(map[netip.AddrPort]*socket), isolated: make(map[netip.Addr]bool), random: rand.New(rand.NewPCG(seed, 1))}}
			var agents []*mesh.Node
			for i := range 10 {
				n, stop := f.start(200+i+10*int(seed), hosts.RoleAgent, 1)
				agents, f.stops = append(agents, n), append(f.stops, stop)
			}
			time.Sleep(startDelay)
			for i := range 7 {
				n, stop := f.start(i, hosts.RoleEntry, 1)
				n.SetState(hosts.StateLive, false)
				f.entries, f.stops = append(f.entries, n), append(f.stops, stop)
			}
			time.Sleep(readyDelay)
			for _, n := range f.entries {
				n.SetState(hosts.StateLive, true)
			}
			time.Sleep(limit)
			for i, n := range agents {
				if len(n.Entries()) == 0 {
					t.Errorf("seed %d: agent %d knows no ready entry after %s", seed, i, limit)
				}
			}
			for _, stop := range f.stops {
				stop()
			}
		})
	}
}

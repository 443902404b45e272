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
	wayTime = time.Millisecond
	// meetTime is the time in which processes that start know each other, and learn of one
	// that has gone or come back. The users' sheets call a machine calm after it.
	meetTime = 3 * time.Second
)

// ether carries datagrams between sockets in memory.
type ether struct {
	mutex   sync.Mutex
	sockets map[netip.AddrPort]*socket
	// cut holds the hosts that reach nobody, loss is the share of datagrams that are lost.
	cut    map[netip.Addr]bool
	loss   float64
	random *rand.Rand
}

type packet struct {
	from netip.AddrPort
	data []byte
}

type socket struct {
	ether  *ether
	at     netip.AddrPort
	queue  chan packet
	closed chan struct{}
	once   sync.Once
}

func (e *ether) open(at netip.AddrPort) *socket {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := &socket{ether: e, at: at, queue: make(chan packet, 1024), closed: make(chan struct{})}
	e.sockets[at] = s
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
	e := s.ether
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cut[s.at.Addr()] || e.cut[to.Addr()] || e.random.Float64() < e.loss {
		return len(b), nil
	}
	p := packet{from: s.at, data: slices.Clone(b)}
	time.AfterFunc(wayTime, func() {
		e.mutex.Lock()
		other := e.sockets[to]
		e.mutex.Unlock()
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
		s.ether.mutex.Lock()
		delete(s.ether.sockets, s.at)
		s.ether.mutex.Unlock()
		close(s.closed)
	})
	return nil
}

// fleet is a number of entries and one agent. The first entry is the seed of all.
type fleet struct {
	ether   *ether
	entries []*mesh.Node
	agent   *mesh.Node
	stops   []func()
}

// set makes a host reach nobody, or everybody again.
func (e *ether) set(host netip.Addr, cut bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cut[host] = cut
}

// lose sets the share of datagrams that are lost.
func (e *ether) lose(share float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.loss = share
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
	n, stop := mesh.New(mesh.Options{Self: self, Socket: f.ether.open(addressOf(i)), Seeds: []netip.AddrPort{addressOf(0)}, Seed: uint64(i), Log: zap.NewNop()})
	n.SetState(hosts.StateLive, true)
	return n, stop
}

// play runs a test of a fleet in virtual time.
func play(t *testing.T, entries int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &fleet{ether: &ether{sockets: make(map[netip.AddrPort]*socket), cut: make(map[netip.Addr]bool), random: rand.New(rand.NewPCG(1, 1))}}
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

// see checks how many entries each of the nodes knows as serving.
func (f *fleet) see(t *testing.T, what string, want int, nodes ...*mesh.Node) {
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
				play(t, count, func(f *fleet) {
					f.ether.lose(loss)
					time.Sleep(meetTime)
					if loss > 0 {
						time.Sleep(meetTime)
					}
					for i, n := range f.entries {
						if known := len(n.Entries()); known < count && loss == 0 || known < count*9/10 {
							t.Errorf("entry %d knows %d of %d", i, known, count)
						}
					}
					// An agent asks one entry after the other, and needs those of its region.
					if n := len(f.agent.Entries()); n < count/2 {
						t.Errorf("the agent knows %d entries of %d", n, count)
					}
				})
			})
		}
	}
}

// TestEntryThatIsCutOffIsMissedAndComesBack cuts one entry off. Those of its region name it to
// callers first, and miss it first.
func TestEntryThatIsCutOffIsMissedAndComesBack(t *testing.T) {
	play(t, 8, func(f *fleet) {
		time.Sleep(meetTime)
		away := addressOf(5).Addr()
		f.ether.set(away, true)
		time.Sleep(meetTime)
		f.see(t, "cut", 7, f.entries[2])
		for range 20 {
			// An agent doesn't lose sight of the other entry of the region meanwhile.
			time.Sleep(2 * meetTime / 20)
			if !slices.ContainsFunc(f.agent.Entries(), func(h hosts.Host) bool { return h.Name == "e2" }) {
				t.Error("the agent doesn't know the entry that is left in its region")
				break
			}
		}
		others := append(slices.Clone(f.entries[:5]), f.entries[6:]...)
		f.see(t, "cut for long", 7, append(others, f.agent)...)
		if n := others[0].EntryCount(); n != 8 {
			t.Errorf("the budget is shared among %d entries while one is cut off", n)
		}
		f.ether.set(away, false)
		time.Sleep(meetTime)
		f.see(t, "back", 8, append(f.entries, f.agent)...)
	})
}

// TestStopIsHeardAtOnce compares with the interval of rounds: entries of the region, which
// name each other to callers first, don't wait for one.
func TestStopIsHeardAtOnce(t *testing.T) {
	play(t, 8, func(f *fleet) {
		time.Sleep(meetTime)
		f.entries[2].SetState(hosts.StateLeaving, false)
		time.Sleep(member.GossipInterval / 2)
		f.see(t, "leaving", 7, f.entries[5])
		time.Sleep(meetTime)
		f.see(t, "gone", 7, append(f.entries, f.agent)...)
	})
}

func TestEntryThatStartsAnewReplacesItself(t *testing.T) {
	play(t, 8, func(f *fleet) {
		time.Sleep(meetTime)
		f.stops[5]()
		n, stop := f.start(5, hosts.RoleEntry, 2)
		f.entries[5], f.stops[5] = n, stop
		time.Sleep(meetTime)
		f.see(t, "anew", 8, append(f.entries, f.agent)...)
		for i, e := range f.entries {
			if m, ok := e.Find("e5"); !ok || m.Incarnation != 2 {
				t.Errorf("entry %d knows incarnation %d", i, m.Incarnation)
			}
		}
	})
}

// TestForeignDatagramsChangeNothing sends bytes that can't be read, and a record without an
// address.
func TestForeignDatagramsChangeNothing(t *testing.T) {
	play(t, 3, func(f *fleet) {
		time.Sleep(meetTime)
		var heard atomic.Int32
		f.entries[1].SetHandlers(mesh.Handlers{LoadReport: func(netip.AddrPort, *wire.LoadDigest) { heard.Add(1) }})
		foreign := f.ether.open(addressOf(99))
		for _, data := range [][]byte{nil, {0xff, 0xff, 0xff}, make([]byte, 20<<10)} {
			if _, err := foreign.WriteToUDPAddrPort(data, addressOf(1)); err != nil {
				t.Fatal(err)
			}
		}
		f.entries[0].Send(&wire.Datagram{Body: &wire.Datagram_Gossip{Gossip: &wire.Gossip{Self: &wire.MemberRecord{Name: "x", State: "live"}}}}, addressOf(1))
		f.entries[0].Send(&wire.Datagram{Body: &wire.Datagram_Load{Load: &wire.LoadDigest{Upstream: "u"}}}, addressOf(1))
		time.Sleep(time.Second)
		f.see(t, "foreign", 3, f.entries...)
		if n := heard.Load(); n != 1 {
			t.Errorf("%d digests came", n)
		}
	})
}

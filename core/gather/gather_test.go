package gather_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/gather"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/peer"
	"currantport.example/core/wire"
)

const (
	pieceCount = 64
	pieceBytes = 32 << 10
	// originRate and agentRate are the link rates of the reference deployment, in bytes per
	// second.
	originRate = 9.9e6 / 8
	agentRate  = 7.6e6 / 8
	port       = 7000
	// datagramDelay is the one-way delay of a datagram.
	datagramDelay = time.Millisecond
)

func pieceOf(i int) []byte {
	return bytes.Repeat([]byte{byte(i), byte(i >> 8), 7}, pieceBytes)[:pieceBytes]
}

var name = chunks.Sum([]byte("version 2"))

// origin serves the version over one link.
type origin struct {
	mutex sync.Mutex
	free  time.Time
	bytes int
	// corrupt is the number of responses from now on that are corrupt.
	corrupt int
	// downUntil is the end of an outage. Until then the origin refuses requests, or accepts
	// them without a response if hangs is set.
	downUntil time.Time
	hangs     bool
	// refused counts the requests in an outage.
	refused int
}

// checkOutage returns an error during an outage.
func (o *origin) checkOutage(ctx context.Context) error {
	o.mutex.Lock()
	down, hangs := time.Now().Before(o.downUntil), o.hangs
	if down {
		o.refused++
	}
	o.mutex.Unlock()
	if !down {
		return nil
	}
	if hangs {
		<-ctx.Done()
	}
	return errors.New("origin outage")
}

func (o *origin) Manifest(ctx context.Context, _ chunks.Digest) ([]byte, error) {
	if err := o.checkOutage(ctx); err != nil {
		return nil, err
	}
	m := &chunks.Manifest{ChunkBytes: pieceBytes}
	for i := range pieceCount {
		m.Files = append(m.Files, chunks.File{Path: strconv.Itoa(i), Size: pieceBytes, Chunks: []chunks.Digest{chunks.Sum(pieceOf(i))}})
	}
	return m.Encode()
}

func (o *origin) Open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	i, err := strconv.Atoi(part.Path)
	if err != nil {
		return nil, err
	}
	if err := o.checkOutage(ctx); err != nil {
		return nil, err
	}
	o.mutex.Lock()
	now := time.Now()
	o.bytes += pieceBytes
	if o.free.Before(now) {
		o.free = now
	}
	o.free = o.free.Add(transferTime(pieceBytes, originRate))
	wait := o.free.Sub(now)
	data := pieceOf(i)
	if o.corrupt > 0 {
		o.corrupt--
		data[5]++
	}
	o.mutex.Unlock()
	time.Sleep(wait)
	return io.NopCloser(bytes.NewReader(data)), nil
}

// transferTime returns the time in which a link of the given rate transmits the bytes.
func transferTime(size int, rate float64) time.Duration {
	return time.Duration(float64(size) / rate * float64(time.Second))
}

// node is one process.
type node struct {
	host    hosts.Host
	cache   *cache.Cache
	fetcher *gather.Fetcher
	err     error
	took    time.Duration
	dead    atomic.Bool
}

// world simulates a fleet that fetches one version: an entry in each of two regions, and
// agents behind narrow links.
type world struct {
	t       testing.TB
	network *memnet.Network
	origin  *origin
	nodes   []*node
	// interRegion is the link between the regions.
	interRegion *memnet.Link
}

func regionOf(a netip.Addr) byte { return a.As4()[1] }

// newWorld returns a fleet that runs until the clean-up function is called.
func newWorld(t testing.TB, agents int) (*world, func()) {
	w := &world{t: t, origin: &origin{}, interRegion: &memnet.Link{Rate: 22e6 / 8}}
	agentLinks := make(map[netip.Addr]*memnet.Link)
	var mutex sync.Mutex
	w.network = memnet.New(func(from, to netip.Addr) memnet.Path {
		mutex.Lock()
		defer mutex.Unlock()
		p := memnet.Path{Delay: time.Millisecond, Window: 64 << 10}
		for _, a := range []netip.Addr{from, to} {
			// Agents have the last byte from 100 on; the links of entries are unlimited.
			if a.As4()[3] < 100 {
				continue
			}
			if agentLinks[a] == nil {
				agentLinks[a] = &memnet.Link{Rate: agentRate}
			}
			p.Links = append(p.Links, agentLinks[a])
		}
		if regionOf(from) != regionOf(to) {
			p.Links = append(p.Links, w.interRegion)
		}
		return p
	})
	var stops []func()
	for i := range agents + 2 {
		region, last, role := byte(i%2), byte(i), hosts.RoleEntry
		if i >= 2 {
			last, role = byte(98+i), hosts.RoleAgent
		}
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, region, 0, last}), port)
		n := &node{cache: cache.New(), host: hosts.Host{
			Name: hosts.Name(at.Addr().String()), Role: role, State: hosts.StateLive, Address: at,
			Place: hosts.Place{Region: hosts.Region(fmt.Sprint("r", region)), Domain: hosts.Domain(fmt.Sprint("d", region))},
		}}
		w.nodes = append(w.nodes, n)
		stops = append(stops, w.startNode(n, uint64(i)))
	}
	return w, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

func (w *world) startNode(n *node, seed uint64) func() {
	n.cache.AllowUnverified(name)
	server, stopServer := peer.NewServerWithSlots(n.cache, nil, 1)
	client, closeIdle := links.NewPeerClient(w.network.Dialer(n.host.Address.Addr()))
	n.fetcher = gather.New(gather.Options{
		Self: n.host, Cache: n.cache, Source: w.origin, Client: client, Seed: seed, Scope: tally.NoopScope, Log: zap.NewNop(),
		Members: w.members, Origin: func() (hosts.Region, float64) { return "r0", originRate },
		Send: func(d *wire.Datagram, to ...netip.AddrPort) {
			for _, a := range to {
				time.AfterFunc(datagramDelay, func() { w.deliver(n.host.Address, a, d) })
			}
		},
	}, server.QueueLength)
	l, err := w.network.Listen(n.host.Address)
	if err != nil {
		w.t.Fatal(err)
	}
	r := mux.NewRouter()
	path, handler := wire.NewPeerHandler(peer.NewHandler(server), wire.WithoutCompression())
	r.PathPrefix(path).Handler(handler)
	stop := links.Serve(l, r, zap.NewNop(), time.Second)
	return func() {
		stopServer()
		closeIdle()
		stop()
	}
}

func (w *world) members() []hosts.Host {
	var all []hosts.Host
	for _, n := range w.nodes {
		if !n.dead.Load() {
			all = append(all, n.host)
		}
	}
	return all
}

func (w *world) deliver(from, to netip.AddrPort, d *wire.Datagram) {
	for _, n := range w.nodes {
		if n.host.Address == to && !n.dead.Load() {
			n.fetcher.ReceiveHoldings(from, d.GetHolds())
		}
	}
}

// fetch runs the fetch on all processes and returns the time until the last one is
// complete.
func (w *world) fetch(ctx context.Context) time.Duration {
	start := time.Now()
	var group sync.WaitGroup
	for _, n := range w.nodes {
		group.Go(func() {
			_, n.err = n.fetcher.Fetch(ctx, name)
			n.took = time.Since(start)
		})
	}
	group.Wait()
	return time.Since(start)
}

// check verifies that each live process holds each piece.
func (w *world) check() {
	for _, n := range w.nodes {
		if n.dead.Load() {
			continue
		}
		if n.err != nil {
			w.t.Errorf("%s: %v", n.host.Name, n.err)
			continue
		}
		for i := range pieceCount {
			if data, ok := n.cache.Chunk(chunks.Sum(pieceOf(i))); !ok || !bytes.Equal(data, pieceOf(i)) {
				w.t.Errorf("%s lacks piece %d", n.host.Name, i)
			}
		}
	}
}

const versionBytes = pieceCount * pieceBytes

// play runs a test of a fleet in virtual time. Each fetch must end within a minute.
func play(t *testing.T, agents int, test func(ctx context.Context, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWorld(t, agents)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		test(ctx, w)
		cancel()
		stop()
	})
}

// TestFleetFetchesAboutOneCopyFromOrigin checks that a fleet gets a version for about one
// copy of the origin's bytes and one across each pair of regions, in about the time that
// the narrowest link needs.
func TestFleetFetchesAboutOneCopyFromOrigin(t *testing.T) {
	for _, agents := range []int{2, 8} {
		play(t, agents, func(ctx context.Context, w *world) {
			took := w.fetch(ctx)
			w.check()
			if copies := float64(w.origin.bytes) / versionBytes; copies > 1.5 {
				t.Errorf("%d agents: %.2f copies from the origin", agents, copies)
			}
			if copies := float64(w.interRegion.Bytes()) / versionBytes; copies > 1.5 {
				t.Errorf("%d agents: %.2f copies between the regions", agents, copies)
			}
			// Twice the time in which an agent's link transmits the version.
			if limit := 2 * transferTime(versionBytes, agentRate); took > limit {
				t.Errorf("%d agents: took %s, want at most %s", agents, took, limit)
			}
		})
	}
}

func TestCorruptPiecesAreNotStored(t *testing.T) {
	play(t, 4, func(ctx context.Context, w *world) {
		w.origin.corrupt = 20
		w.fetch(ctx)
		w.check()
	})
}

// TestFetchSurvivesOriginOutage has the origin fail in the middle of a fetch. After it has
// recovered, the rest takes hardly longer than its link needs.
func TestFetchSurvivesOriginOutage(t *testing.T) {
	const outage = 5 * time.Second
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("hangs=", hangs), func(t *testing.T) {
			play(t, 4, func(ctx context.Context, w *world) {
				go func() {
					time.Sleep(700 * time.Millisecond)
					w.origin.mutex.Lock()
					w.origin.downUntil, w.origin.hangs = time.Now().Add(outage), hangs
					w.origin.mutex.Unlock()
				}()
				took := w.fetch(ctx)
				w.check()
				if limit := outage + 2*transferTime(versionBytes, agentRate); took > limit {
					t.Errorf("took %s with an origin outage of %s, want at most %s", took, outage, limit)
				}
			})
		})
	}
}

// TestReturnOfTheOriginIsNoticedByFewProbes has an origin that is unavailable when the fetch starts,
// so that no process has the manifest. It guards against requests of each process every 0.3 s, and
// against a process that waits without a timeout for a response of the origin.
func TestReturnOfTheOriginIsNoticedByFewProbes(t *testing.T) {
	const outage, agents = 6 * time.Second, 20
	for _, hangs := range []bool{false, true} {
		play(t, agents, func(ctx context.Context, w *world) {
			w.origin.downUntil, w.origin.hangs = time.Now().Add(outage), hangs
			took := w.fetch(ctx)
			w.check()
			copies := float64(w.origin.bytes) / versionBytes
			t.Logf("hangs=%t took %v, %d requests in the outage, %.2f copies", hangs, took, w.origin.refused, copies)
			if limit := outage + 3*transferTime(versionBytes, agentRate)/2; took > limit || w.origin.refused > 100 || copies > 1.2 {
				t.Errorf("hangs %t: took %v, %d requests in the outage, %.2f copies", hangs, took, w.origin.refused, copies)
			}
		})
	}
}

// TestLostHolderDoesNotDelayFetch kills the entry of a region in the middle of the fetch,
// or drops all of its traffic silently.
func TestLostHolderDoesNotDelayFetch(t *testing.T) {
	for _, fault := range []string{"kill", "silence"} {
		t.Run(fault, func(t *testing.T) {
			play(t, 6, func(ctx context.Context, w *world) {
				lost := w.nodes[1]
				ctx, cancel := context.WithCancel(ctx)
				go func() {
					time.Sleep(time.Second)
					lost.dead.Store(true)
					if fault == "kill" {
						w.network.Kill(lost.host.Address.Addr())
						return
					}
					for _, n := range w.nodes {
						w.network.Silence(lost.host.Address.Addr(), n.host.Address.Addr())
						w.network.Silence(n.host.Address.Addr(), lost.host.Address.Addr())
					}
				}()
				go func() {
					time.Sleep(20 * time.Second)
					cancel()
				}()
				w.fetch(ctx)
				w.check()
				for _, n := range w.nodes {
					if !n.dead.Load() && n.took > 12*time.Second {
						t.Errorf("%s took %s", n.host.Name, n.took)
					}
				}
			})
		})
	}
}

// BenchmarkFetch prints the time in which a fleet fetches a version, in virtual time.
func BenchmarkFetch(*testing.B) {
	for _, agents := range []int{8, 16, 40} {
		synctest.Test(&testing.T{}, func(t *testing.T) {
			w, stop := newWorld(t, agents)
			took := w.fetch(context.Background())
			stop()
			fmt.Printf("bench=weights hosts=%d time=%.2fs origin=%.2f across=%.2f\n", agents, took.Seconds(),
				float64(w.origin.bytes)/versionBytes, float64(w.interRegion.Bytes())/versionBytes)
		})
	}
}

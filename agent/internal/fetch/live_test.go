package fetch_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/agent/internal/fetch"
	"currantport.example/agent/internal/gate"
	"currantport.example/core/chunks"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/peer"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
)

// A roll-out alongside live requests, over links of the sizes that the specification names.
const (
	liveHosts      = 9
	livePieces     = 96
	liveChunkBytes = 256 << 10
	// liveHostRate is the rate of a host's link each way, liveRegionRate the one of the
	// link between two regions, in bytes per second.
	liveHostRate   = 5 << 20
	liveRegionRate = 20_000_000 / 8
	// responseTime is how long the upstream takes to respond to a request.
	responseTime = 200 * time.Millisecond
	// meanRequestInterval is the mean time between two requests to a host.
	meanRequestInterval = 60 * time.Millisecond
	requestBytes        = 2 << 10
	responseBytes       = 4 << 10
	// baselineTime is how long requests are measured without a roll-out.
	baselineTime = 30 * time.Second
)

// liveTrial is a fleet with live requests.
type liveTrial struct {
	regions int
	// unaware means that the fetchers don't know of the requests.
	unaware bool
	// withoutRequests means that no requests are sent.
	withoutRequests bool

	fleet   *fleet
	traffic map[*node]*gate.Traffic
	mutex   sync.Mutex
	took    []time.Duration
	failed  int
}

// liveMeasure holds the times of the requests and of the roll-out. baseline and rollout are
// 99th percentiles.
type liveMeasure struct {
	baseline, rollout time.Duration
	took              time.Duration
	origin            float64
	failed            int
}

func (l *liveTrial) run(favor tables.Favor) liveMeasure {
	var m liveMeasure
	synctest.Test(new(testing.T), func(t *testing.T) { m = l.runInBubble(t, favor) })
	return m
}

func (l *liveTrial) runInBubble(t *testing.T, favor tables.Favor) liveMeasure {
	w := newWeights(1, livePieces, liveChunkBytes)
	l.traffic = map[*node]*gate.Traffic{}
	l.fleet = newFleet(shape{
		hosts: liveHosts, regions: l.regions, domains: 1, remoteDelay: time.Millisecond,
		rates: rates{origin: 2 * liveHostRate, host: liveHostRate, region: liveRegionRate},
	}, w)
	f := l.fleet
	f.home = "region0"
	f.serve, f.live = l.serve, l.isLive
	client, closeIdle := links.NewPeerClient(f.network.Dialer(l.newEntry().host.Address.Addr()))
	f.startAll()
	defer f.stopAll()
	defer closeIdle()
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i, n := range f.nodes {
		if !l.withoutRequests {
			c := &liveClient{trial: l, client: client, node: n, random: rand.New(rand.NewPCG(uint64(i), 1)), group: &clients}
			clients.Go(func() { c.run(ctx) })
		}
	}
	var m liveMeasure
	time.Sleep(baselineTime)
	m.baseline = l.percentile()
	m.took = f.fetchAll(t, w, favor, time.Hour, noneExcused)
	m.rollout = l.percentile()
	stop()
	clients.Wait()
	m.origin = float64(f.origin.bytes) / float64(w.bytes)
	m.failed = l.failed
	return m
}

// newEntry returns a host of the first region with an unlimited link.
func (l *liveTrial) newEntry() *node {
	n := &node{up: &memnet.Link{}, down: &memnet.Link{}}
	n.host.Place = l.fleet.nodes[0].host.Place
	n.host.Address = netip.MustParseAddrPort("10.9.0.1:80")
	l.fleet.nodesByAddr[n.host.Address.Addr()] = n
	return n
}

func (l *liveTrial) isLive(n *node) bool { return !l.unaware && l.traffic[n].IsBusy() }

// serve adds the route of the requests to the server of a host.
func (l *liveTrial) serve(n *node, m *http.ServeMux) {
	t := gate.NewTraffic()
	l.traffic[n] = t
	m.HandleFunc("/run", func(w http.ResponseWriter, r *http.Request) {
		t.Begin()
		defer t.End()
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(responseTime)
		_, _ = w.Write(make([]byte, responseBytes))
	})
}

// percentile returns the 99th percentile of the requests since the last call.
func (l *liveTrial) percentile() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := l.took
	l.took = nil
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

func (l *liveTrial) record(took time.Duration, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.failed++
		return
	}
	l.took = append(l.took, took)
}

// liveClient sends requests to one host.
type liveClient struct {
	trial  *liveTrial
	client *http.Client
	node   *node
	random *rand.Rand
	group  *sync.WaitGroup
}

func (c *liveClient) run(ctx context.Context) {
	for waitFor(ctx, time.Duration(c.random.ExpFloat64()*float64(meanRequestInterval))) {
		c.group.Go(c.send)
	}
}

func (c *liveClient) send() {
	start := time.Now()
	r, err := c.client.Post("http://"+c.node.host.Address.String()+"/run", "text/plain", bytes.NewReader(make([]byte, requestBytes)))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	c.trial.record(time.Since(start), err)
}

// TestFetchYieldsToLiveRequests counts the chunks in flight to a host whose neighbors hold
// everything.
func TestFetchYieldsToLiveRequests(t *testing.T) {
	const maxLivePeak = 7
	for _, live := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWeights(1, 4*trialPieces, trialChunkBytes)
			f := newFleet(shape{hosts: 2 * trialHosts}, w)
			f.live = func(*node) bool { return live }
			full := &fullPeers{weights: w}
			f.wrap = func(fetch.Peers, *node) fetch.Peers { return full }
			n := f.nodes[0]
			f.start(n, f.sourceFor(n))
			defer f.stopAll()
			if _, err := n.fetcher.Fetch(t.Context(), f.pool(w, tables.FavorTime)); err != nil {
				t.Fatal(err)
			}
			if yields := full.peak <= maxLivePeak; yields != live {
				t.Errorf("live %t: up to %d chunks were in flight", live, full.peak)
			}
		})
	}
}

// fullPeers are peers that hold everything and take a second to send a chunk.
type fullPeers struct {
	weights  *weights
	mutex    sync.Mutex
	inFlight int
	peak     int
}

// Manifest implements fetch.Peers.
func (p *fullPeers) Manifest(context.Context, netip.AddrPort, chunks.Digest, time.Duration) ([]byte, error) {
	return p.weights.encoded, nil
}

// Watch implements fetch.Peers.
func (p *fullPeers) Watch(ctx context.Context, _ netip.AddrPort, _ chunks.Digest, pieces int, receive func(swarm.Holdings)) error {
	all := swarm.NewBits(pieces)
	for i := range pieces {
		all.Set(i)
	}
	for receive(swarm.Holdings{Full: true, Held: all, Frontier: pieces}); waitFor(ctx, peer.IdleInterval); {
		receive(swarm.Holdings{Frontier: pieces})
	}
	return ctx.Err()
}

// Chunk implements fetch.Peers.
func (p *fullPeers) Chunk(ctx context.Context, _ netip.AddrPort, digest chunks.Digest, _ int64) (fetch.Delivery, error) {
	p.addInFlight(1)
	defer p.addInFlight(-1)
	if !waitFor(ctx, time.Second) {
		return fetch.Delivery{}, ctx.Err()
	}
	m, err := chunks.DecodeManifest(p.weights.encoded)
	if err != nil {
		return fetch.Delivery{}, err
	}
	for _, k := range m.Pieces(p.weights.digest) {
		if k.Digest == digest {
			r := k.Range
			return fetch.Delivery{
				Data:   bytes.Clone(p.weights.files[r.Path][r.Offset : r.Offset+r.Length]),
				Timing: swarm.Timing{Took: time.Second, FirstByte: time.Second},
			}, nil
		}
	}
	return fetch.Delivery{}, peer.ErrMissing
}

func (p *fullPeers) addInFlight(change int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight += change
	p.peak = max(p.peak, p.inFlight)
}

// BenchmarkLive measures how a roll-out and live requests slow each other down.
func BenchmarkLive(b *testing.B) {
	for _, regions := range []int{1, 3} {
		b.Run(fmt.Sprint(regions), func(b *testing.B) {
			for b.Loop() {
				alone := (&liveTrial{regions: regions, withoutRequests: true}).run(tables.FavorTime)
				for _, blind := range []bool{true, false} {
					m := (&liveTrial{regions: regions, unaware: blind}).run(tables.FavorTime)
					fmt.Printf("bench=live hosts=%d regions=%d yields=%t steady=%s rollout=%s p99=%.2f time=%.2f origin=%.2f failed=%d\n",
						liveHosts, regions, !blind, m.baseline, m.rollout, float64(m.rollout)/float64(m.baseline), float64(m.took)/float64(alone.took), m.origin, m.failed)
				}
			}
		})
	}
}

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

// A roll-out beside live requests, over links of the sizes that the brief names.
const (
	liveHosts  = 9
	livePieces = 96
	liveLength = 256 << 10
	// liveHostRate is a host's link each way, livePairRate that of two regions.
	liveHostRate = 5 << 20
	livePairRate = 20_000_000 / 8
	// serviceTime is how long the upstream takes for a request.
	serviceTime = 200 * time.Millisecond
	// requestWait is the mean time between two requests to a host.
	requestWait  = 60 * time.Millisecond
	requestBytes = 2 << 10
	replyBytes   = 4 << 10
	// steadyTime is for how long requests are measured without a roll-out.
	steadyTime = 30 * time.Second
)

// liveTrial is a fleet under live requests.
type liveTrial struct {
	regions int
	// blind tells that the agents don't see the requests.
	blind bool
	// quiet tells that there are no requests.
	quiet bool

	fleet   *fleet
	traffic map[*node]*gate.Traffic
	mutex   sync.Mutex
	took    []time.Duration
	failed  int
}

// liveMeasure is what requests and the roll-out took.
type liveMeasure struct {
	steady, rollout time.Duration
	took            time.Duration
	origin          float64
	failed          int
}

func (l *liveTrial) run(favor tables.Favor) liveMeasure {
	var m liveMeasure
	synctest.Test(new(testing.T), func(t *testing.T) { m = l.inBubble(t, favor) })
	return m
}

func (l *liveTrial) inBubble(t *testing.T, favor tables.Favor) liveMeasure {
	w := newWeights(1, livePieces, liveLength)
	l.traffic = map[*node]*gate.Traffic{}
	l.fleet = newFleet(shape{
		hosts: liveHosts, regions: l.regions, domains: 1, far: time.Millisecond,
		rates: rates{origin: 2 * liveHostRate, host: liveHostRate, region: livePairRate},
	}, w)
	f := l.fleet
	f.home = "region0"
	f.serve, f.live = l.serve, l.isLive
	client, closeIdle := links.NewPeerClient(f.network.Dialer(l.entry().host.Address.Addr()))
	f.startAll()
	defer f.stopAll()
	defer closeIdle()
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, n := range f.nodes {
		if !l.quiet {
			c := &liveCaller{trial: l, client: client, node: n, random: rand.New(rand.NewPCG(uint64(i), 1)), group: &callers}
			callers.Go(func() { c.run(ctx) })
		}
	}
	var m liveMeasure
	time.Sleep(steadyTime)
	m.steady = l.percentile()
	m.took = f.fetchAll(t, w, favor, time.Hour, nobody)
	m.rollout = l.percentile()
	stop()
	callers.Wait()
	m.origin = float64(f.origin.bytes) / float64(w.bytes)
	m.failed = l.failed
	return m
}

// entry returns a host of the first region whose own link has no bound.
func (l *liveTrial) entry() *node {
	n := &node{up: &memnet.Link{}, down: &memnet.Link{}}
	n.host.Place = l.fleet.nodes[0].host.Place
	n.host.Address = netip.MustParseAddrPort("10.9.0.1:80")
	l.fleet.byAddr[n.host.Address.Addr()] = n
	return n
}

func (l *liveTrial) isLive(n *node) bool { return !l.blind && l.traffic[n].IsBusy() }

// serve adds the requests to what a host answers.
func (l *liveTrial) serve(n *node, m *http.ServeMux) {
	t := gate.NewTraffic()
	l.traffic[n] = t
	m.HandleFunc("/run", func(w http.ResponseWriter, r *http.Request) {
		t.Begin()
		defer t.End()
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(serviceTime)
		_, _ = w.Write(make([]byte, replyBytes))
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

func (l *liveTrial) note(took time.Duration, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.failed++
		return
	}
	l.took = append(l.took, took)
}

// liveCaller sends requests to one host.
type liveCaller struct {
	trial  *liveTrial
	client *http.Client
	node   *node
	random *rand.Rand
	group  *sync.WaitGroup
}

func (c *liveCaller) run(ctx context.Context) {
	for waitFor(ctx, time.Duration(c.random.ExpFloat64()*float64(requestWait))) {
		c.group.Go(c.call)
	}
}

func (c *liveCaller) call() {
	start := time.Now()
	r, err := c.client.Post("http://"+c.node.host.Address.String()+"/run", "text/plain", bytes.NewReader(make([]byte, requestBytes)))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	c.trial.note(time.Since(start), err)
}

// TestFetchYieldsToLiveRequests counts the chunks under way to a host whose
// neighbours hold everything.
func TestFetchYieldsToLiveRequests(t *testing.T) {
	const most = 7
	for _, live := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWeights(1, 4*trialPieces, trialLength)
			f := newFleet(shape{hosts: 2 * trialHosts}, w)
			f.live = func(*node) bool { return live }
			full := &fullPeers{weights: w}
			f.wrap = func(fetch.Peers, *node) fetch.Peers { return full }
			n := f.nodes[0]
			f.start(n, f.reader(n))
			defer f.stopAll()
			if _, err := n.fetcher.Fetch(t.Context(), f.pool(w, tables.FavorTime)); err != nil {
				t.Fatal(err)
			}
			if yields := full.peak <= most; yields != live {
				t.Errorf("live %t: up to %d chunks were under way", live, full.peak)
			}
		})
	}
}

// fullPeers are peers that hold everything and take a second for a chunk.
type fullPeers struct {
	weights *weights
	mutex   sync.Mutex
	running int
	peak    int
}

// Manifest implements fetch.Peers.
func (p *fullPeers) Manifest(context.Context, netip.AddrPort, chunks.Digest, time.Duration) ([]byte, error) {
	return p.weights.encoded, nil
}

// Watch implements fetch.Peers.
func (p *fullPeers) Watch(ctx context.Context, _ netip.AddrPort, _ chunks.Digest, pieces int, heard func(swarm.Offer)) error {
	all := swarm.NewBits(pieces)
	for i := range pieces {
		all.Set(i)
	}
	for heard(swarm.Offer{Full: true, Held: all, Frontier: pieces}); waitFor(ctx, peer.IdleInterval); {
		heard(swarm.Offer{Frontier: pieces})
	}
	return ctx.Err()
}

// Chunk implements fetch.Peers.
func (p *fullPeers) Chunk(ctx context.Context, _ netip.AddrPort, digest chunks.Digest, _ int64) (fetch.Delivery, error) {
	p.count(1)
	defer p.count(-1)
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
				Timing: swarm.Timing{Took: time.Second, First: time.Second},
			}, nil
		}
	}
	return fetch.Delivery{}, peer.ErrMissing
}

func (p *fullPeers) count(change int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running += change
	p.peak = max(p.peak, p.running)
}

// BenchmarkLive measures what a roll-out costs live requests, and they cost it.
func BenchmarkLive(b *testing.B) {
	for _, regions := range []int{1, 3} {
		b.Run(fmt.Sprint(regions), func(b *testing.B) {
			for b.Loop() {
				alone := (&liveTrial{regions: regions, quiet: true}).run(tables.FavorTime)
				for _, blind := range []bool{true, false} {
					m := (&liveTrial{regions: regions, blind: blind}).run(tables.FavorTime)
					fmt.Printf("bench=live hosts=%d regions=%d yields=%t steady=%s rollout=%s p99=%.2f time=%.2f origin=%.2f failed=%d\n",
						liveHosts, regions, !blind, m.steady, m.rollout, float64(m.rollout)/float64(m.steady), float64(m.took)/float64(alone.took), m.origin, m.failed)
				}
			}
		})
	}
}

package fetch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"go.uber.org/zap"

	"currantport.example/agent/internal/fetch"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/peer"
	"currantport.example/core/roster"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// weights is a version that the fake origin holds.
type weights struct {
	digest  chunks.Digest
	encoded []byte
	files   map[string][]byte
	bytes   int64
}

// newWeights returns a version of one file with the given number of chunks.
func newWeights(seed uint64, count, length int) *weights {
	r := rand.New(rand.NewPCG(seed, 1))
	data := make([]byte, count*length)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return weightsOf(map[string][]byte{"model": data}, length)
}

func weightsOf(files map[string][]byte, length int) *weights {
	tree := fstest.MapFS{}
	w := &weights{files: files}
	for name, data := range files {
		tree[name] = &fstest.MapFile{Data: data}
		w.bytes += int64(len(data))
	}
	m, err := chunks.Build(tree, int64(length), nil)
	if err != nil {
		panic(err)
	}
	w.encoded, _ = m.Encode()
	w.digest = chunks.Sum(w.encoded)
	return w
}

// origin is a fake of the store and the origin.
type origin struct {
	versions map[chunks.Digest]*weights
	link     *memnet.Link
	// beforeRead is called before each read. Its error says how the read fails.
	beforeRead func(h hosts.Name, part chunks.Range) error

	mutex sync.Mutex
	bytes int64
}

// originReader reads the origin from one host.
type originReader struct {
	origin *origin
	host   hosts.Name
	links  []*memnet.Link
	delay  time.Duration
}

// originWindow limits the bytes in flight from the origin, as a fixed receive window does.
const originWindow = 64 << 10

var errOriginDown = errors.New("the origin is down")

// Manifest implements chunks.Source.
func (r *originReader) Manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	data := r.origin.versions[digest].encoded
	return data, r.transfer(ctx, chunks.Range{Manifest: digest}, len(data))
}

// Open implements chunks.Source.
func (r *originReader) Open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	data := r.origin.versions[part.Manifest].files[part.Path][part.Offset : part.Offset+part.Length]
	err := r.transfer(ctx, part, len(data))
	var corrupt *corruptError
	if errors.As(err, &corrupt) {
		data, err = bytes.Repeat([]byte{1}, len(data)), nil
	}
	return io.NopCloser(bytes.NewReader(data)), err
}

type corruptError struct{}

func (*corruptError) Error() string { return "corrupt" }

func (r *originReader) transfer(ctx context.Context, part chunks.Range, size int) error {
	var failure error
	if r.origin.beforeRead != nil {
		failure = r.origin.beforeRead(r.host, part)
	}
	var corrupt *corruptError
	if failure != nil && !errors.As(failure, &corrupt) {
		if errors.Is(failure, context.Canceled) {
			<-ctx.Done()
		}
		return failure
	}
	r.origin.mutex.Lock()
	r.origin.bytes += int64(size)
	r.origin.mutex.Unlock()
	links := append([]*memnet.Link{r.origin.link}, r.links...)
	for ; size > originWindow; size -= originWindow {
		if err := passLinks(ctx, links, r.delay, originWindow); err != nil {
			return err
		}
	}
	return passLinks(ctx, links, r.delay, size)
}

func passLinks(ctx context.Context, all []*memnet.Link, delay time.Duration, size int) error {
	start := time.Now()
	due := start
	for _, l := range all {
		if d := l.Transmit(start, size); d.After(due) {
			due = d
		}
	}
	select {
	case <-time.After(time.Until(due.Add(delay))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shape is the size of a fleet and the properties of its links.
type shape struct {
	hosts   int
	regions int
	// domains is the number of failure domains in a region.
	domains int
	rates   rates
	// remoteDelay is the delay between regions.
	remoteDelay time.Duration
	// window limits the bytes in flight on a connection.
	window int
	// direct means that hosts reach each other without connections.
	direct bool
}

// rates are the rates of the links in bytes per second. Zero means unlimited.
type rates struct{ origin, host, region memnet.Rate }

// node is one host of a fleet.
type node struct {
	host     hosts.Host
	up, down *memnet.Link
	cache    *cache.Cache
	server   *peer.Server
	roster   *roster.Roster
	direct   *directPeers
	fetcher  *fetch.Fetcher
	stop     func()
	// cancel cancels the current fetch.
	cancel context.CancelFunc
}

// fleet is a simulated fleet of agents without engines.
type fleet struct {
	shape       shape
	network     *memnet.Network
	origin      *origin
	nodes       []*node
	mutex       sync.Mutex
	regionLinks map[[2]hosts.Region]*memnet.Link
	nodesByAddr map[netip.Addr]*node
	roster      hosts.List
	// activeRows are the active pool rows, if they differ from those given to Fetch.
	activeRows map[string]tables.Pool
	limits     swarm.Limits
	// wrap injects faults between a host and the others. It may be nil.
	wrap func(p fetch.Peers, n *node) fetch.Peers
	home hosts.Region
	// serve adds routes to the server of a host, live reports whether the host is serving
	// live requests. They may be nil.
	serve func(n *node, m *http.ServeMux)
	live  func(n *node) bool
}

func newFleet(s shape, versions ...*weights) *fleet {
	f := &fleet{
		shape: s, origin: &origin{versions: map[chunks.Digest]*weights{}, link: &memnet.Link{Rate: s.rates.origin}},
		activeRows: map[string]tables.Pool{}, regionLinks: map[[2]hosts.Region]*memnet.Link{}, nodesByAddr: map[netip.Addr]*node{},
	}
	for _, w := range versions {
		f.origin.versions[w.digest] = w
	}
	f.network = memnet.New(f.path)
	for i := range s.hosts {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	return f
}

func (f *fleet) newNode(i int) *node {
	region := i % max(f.shape.regions, 1)
	n := &node{
		host: hosts.Host{
			Name: hosts.Name(fmt.Sprintf("host%04d", i)), Role: hosts.RoleAgent, State: hosts.StateLive,
			Place: hosts.Place{
				Region: hosts.Region(fmt.Sprintf("region%d", region)),
				Domain: hosts.Domain(fmt.Sprintf("region%d.%d", region, i/max(f.shape.regions, 1)%max(f.shape.domains, 1))),
			},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 80),
		},
		up: &memnet.Link{Rate: f.shape.rates.host}, down: &memnet.Link{Rate: f.shape.rates.host},
	}
	f.nodesByAddr[n.host.Address.Addr()] = n
	return n
}

// path returns the path from one host to another.
func (f *fleet) path(from, to netip.Addr) memnet.Path {
	a, b := f.nodesByAddr[from], f.nodesByAddr[to]
	p := memnet.Path{Delay: 500 * time.Microsecond, Window: f.shape.window, Links: []*memnet.Link{a.up, b.down}}
	if l := f.regionLink(a.host.Place.Region, b.host.Place.Region); l != nil {
		p.Delay = f.shape.remoteDelay
		p.Links = append(p.Links, l)
	}
	return p
}

// regionLink returns the link from one region to another, or nil inside a region.
func (f *fleet) regionLink(a, b hosts.Region) *memnet.Link {
	if a == b {
		return nil
	}
	k := [2]hosts.Region{a, b}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.regionLinks[k] == nil {
		f.regionLinks[k] = &memnet.Link{Rate: f.shape.rates.region}
	}
	return f.regionLinks[k]
}

func (f *fleet) activeRow(name string) (tables.Pool, bool) {
	p, ok := f.activeRows[name]
	return p, ok
}

// currentRoster returns the platform's list of the hosts.
func (f *fleet) currentRoster() hosts.List {
	if f.roster.Len() == 0 {
		f.publish()
	}
	return f.roster
}

// publish sends the current list of hosts to every host.
func (f *fleet) publish() {
	var all []hosts.Host
	for _, n := range f.nodes {
		all = append(all, n.host)
	}
	f.roster = hosts.NewList(all)
	for _, n := range f.nodes {
		if n.roster != nil {
			n.roster.Set(f.roster)
		}
	}
}

func (f *fleet) sourceFor(n *node) *originReader {
	r := &originReader{origin: f.origin, host: n.host.Name, links: []*memnet.Link{n.down}, delay: time.Millisecond}
	if l := f.regionLink("region0", n.host.Place.Region); l != nil {
		r.links = append(r.links, l)
	}
	return r
}

// start starts the agent of a host with an empty cache.
func (f *fleet) start(n *node, source chunks.Source) {
	n.cache = cache.New()
	server, stopServer := peer.NewServer(n.cache, f.liveOf(n))
	n.server = server
	list := roster.New()
	n.roster = list
	list.Set(f.currentRoster())
	peers, disconnect := f.connect(n)
	if f.wrap != nil {
		peers = f.wrap(peers, n)
	}
	n.fetcher = fetch.New(fetch.Options{
		Self: n.host, Cache: n.cache, Source: source, Roster: list, Peers: peers, Log: zap.NewNop(),
		SourceRegion: f.home, Limits: f.limits, PoolRow: f.activeRow, Live: f.liveOf(n), Seed: 1,
	})
	n.stop = func() {
		stopServer()
		disconnect()
		n.stop, n.server = nil, nil
	}
}

// liveOf returns the function that reports whether the host is serving live requests, or
// nil.
func (f *fleet) liveOf(n *node) func() bool {
	if f.live == nil {
		return nil
	}
	return func() bool { return f.live(n) }
}

// connect returns how the host reaches the others, and starts its server for them.
func (f *fleet) connect(n *node) (fetch.Peers, func()) {
	if f.shape.direct {
		n.direct = &directPeers{fleet: f, node: n}
		return n.direct, func() {}
	}
	client, closeIdle := links.NewPeerClient(f.network.Dialer(n.host.Address.Addr()))
	l, err := f.network.Listen(n.host.Address)
	if err != nil {
		panic(err)
	}
	m := http.NewServeMux()
	m.Handle(wire.NewPeerHandler(peer.NewHandler(n.server)))
	if f.serve != nil {
		f.serve(n, m)
	}
	stopServe := links.Serve(l, m, zap.NewNop(), time.Second)
	return fetch.NewRemotePeers(client), func() {
		f.network.Kill(n.host.Address.Addr())
		stopServe()
		closeIdle()
	}
}

func (f *fleet) pool(w *weights, favor tables.Favor, names ...hosts.Name) tables.Pool {
	if len(names) == 0 {
		for _, n := range f.nodes {
			names = append(names, n.host.Name)
		}
	}
	return tables.Pool{Name: "pool", Kind: tables.PoolModel, Model: "m", Version: "v", Manifest: w.digest, Hosts: names, Favor: favor}
}

// stopAll stops every agent and waits until the bytes in flight have arrived.
func (f *fleet) stopAll() {
	var group sync.WaitGroup
	for _, n := range f.nodes {
		if n.stop != nil {
			group.Go(n.stop)
		}
	}
	group.Wait()
	time.Sleep(time.Minute)
}

// checkWhole fails the test unless the cache of the node holds every chunk.
func checkWhole(tb testing.TB, n *node, w *weights) {
	tb.Helper()
	v, ok := n.cache.Version(w.digest)
	if !ok {
		tb.Errorf("%s doesn't hold the manifest", n.host.Name)
		return
	}
	for _, p := range v.Pieces {
		data, ok := n.cache.Chunk(p.Digest)
		if !ok || !chunks.Verify(p.Digest, data) {
			tb.Errorf("%s lacks chunk %s", n.host.Name, p.Digest)
			return
		}
	}
}

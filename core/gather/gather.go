// Package gather brings the pieces of a version into the cache of a process, from other
// processes where they hold them and else from the origin, and tells others which
// pieces it holds.
//
// # Sessions
//
// A session is the fetch of one version: one goroutine owns a spread.Spread and carries
// out its actions. A transfer brings one piece in a goroutine of its own and reports to
// the session by a bounded ring.
//
// # Manifests
//
// Where a version is known by model and number only, nothing vouches for its manifest.
// Agents compare what they have: one that meets another manifest, or pieces that don't
// fit its own from more than one source, asks the origin again.
package gather

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

const (
	// markBytes is the length of the start of a manifest's digest by which agents
	// compare manifests.
	markBytes = 8
	// tellMost bounds the agents that are told in one round.
	tellMost = 32
)

// Options are the parts of a gatherer.
type Options struct {
	// Self is the host of the agent.
	Self   hosts.Host
	Cache  *cache.Cache
	Source chunks.Source
	// Members returns the live entries and the agents, the own host included.
	Members func() []hosts.Host
	// OnRequested is called when another process asks for a version that isn't here. It may
	// be nil.
	OnRequested func(name chunks.Digest)
	// Origin returns the region of the origin and the rate of its link in bytes a
	// second, or zero values if they aren't known.
	Origin func() (hosts.Region, float64)
	// ReleasedAt returns when a version was released, or zero. It may be nil.
	ReleasedAt func(name chunks.Digest) time.Time
	Client     *http.Client
	// Send tells other processes something.
	Send func(d *wire.Datagram, to ...netip.AddrPort)
	Seed uint64
	// Scope gets the counters of pieces.
	Scope tally.Scope
	Log   *zap.Logger
}

// Fetcher fetches versions and tells what it holds of them. Goroutines share it.
type Fetcher struct {
	options Options
	remote  *remote
	// origin and peers count the pieces that came from each, failed those that didn't
	// come or were corrupt.
	origin tally.Counter
	peers  tally.Counter
	failed tally.Counter
	// queue returns the number of pieces that the agent has still to send.
	queue func() int

	mutex sync.Mutex
	// session is the fetch in progress, or nil.
	session *session
}

// New returns a gatherer. Queue returns the number of pieces that the agent has still
// to send.
func New(o Options, queue func() int) *Fetcher {
	of := func(source string) tally.Counter {
		return o.Scope.Tagged(map[string]string{"source": source}).Counter("pieces")
	}
	return &Fetcher{
		options: o, remote: &remote{client: o.Client}, queue: queue, origin: of("origin"), peers: of("process"), failed: o.Scope.Counter("pieces_failed"),
	}
}

// Manifest brings the manifest of a version into the cache.
func (g *Fetcher) Manifest(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	s := newSession(g, name)
	g.enter(s)
	defer g.leave(s)
	return s.manifest(ctx)
}

// Fetch brings every piece of a version into the cache. It returns once all are there
// or the context has ended.
func (g *Fetcher) Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	s := newSession(g, name)
	g.enter(s)
	defer g.leave(s)
	return s.run(ctx)
}

func (g *Fetcher) enter(s *session) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.session = s
}

func (g *Fetcher) leave(s *session) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.session == s {
		g.session = nil
	}
}

func (g *Fetcher) current() *session {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.session
}

// ReceiveHoldings takes what another agent tells of a version.
func (g *Fetcher) ReceiveHoldings(from netip.AddrPort, h *wire.Holds) {
	var name chunks.Digest
	if copy(name[:], h.Version) != len(name) {
		return
	}
	if h.Ask {
		if d, ok := g.holds(name, false); ok {
			g.options.Send(d, from)
		} else if g.options.OnRequested != nil {
			g.options.OnRequested(name)
		}
	}
	if s := g.current(); s != nil && s.name == name {
		s.hear(from, h)
	}
}

// holds builds what is told of a version. It is false if the agent holds nothing of
// it.
func (g *Fetcher) holds(name chunks.Digest, ask bool) (*wire.Datagram, bool) {
	h := &wire.Holds{Version: name[:], Ask: ask, Queue: uint32(g.queue())}
	v, ok := g.options.Cache.Version(name)
	if ok {
		h.Manifest = markOf(v)
		h.Bitmap = pack(g.options.Cache.Held(v))
	}
	return &wire.Datagram{Body: &wire.Datagram_Holds{Holds: h}}, ok
}

// markOf returns the start of the digest of a manifest.
func markOf(v *cache.Version) []byte {
	d := chunks.Sum(v.Encoded)
	return d[:markBytes]
}

func keyOf(d chunks.Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// pack writes a bit for each piece, the lowest first.
func pack(held []bool) []byte {
	data := make([]byte, (len(held)+7)/8)
	for i, h := range held {
		if h {
			data[i/8] |= 1 << (i % 8)
		}
	}
	return data
}

// unpack reads what pack writes. It is nil if the length doesn't fit.
func unpack(data []byte, count int) []bool {
	if len(data) != (count+7)/8 {
		return nil
	}
	held := make([]bool, count)
	for i := range held {
		held[i] = data[i/8]&(1<<(i%8)) != 0
	}
	return held
}

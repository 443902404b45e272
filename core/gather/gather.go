// Package gather fetches the pieces of a version into the cache of a process, from other
// processes that hold them or else from the origin, and reports to others which pieces the
// cache holds.
//
// # Sessions
//
// A session is the fetch of one version: one goroutine owns a sched.Scheduler and carries
// out its actions. Each transfer fetches one piece in a goroutine of its own and reports to
// the session through a bounded ring.
//
// # Manifests
//
// Where a version is known by model and number only, there is no digest to verify its
// manifest against. Processes therefore compare their manifests: one that receives holdings
// for a different manifest, or repeatedly receives pieces that don't match its own
// manifest, fetches the manifest from the origin again.
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
	// manifestPrefixBytes is the length of the prefix of a manifest's digest by which
	// processes compare manifests.
	manifestPrefixBytes = 8
	// maxRecipients is the maximum number of processes that get one report.
	maxRecipients = 32
)

// Options configure a fetcher.
type Options struct {
	// Self is this process.
	Self   hosts.Host
	Cache  *cache.Cache
	Source chunks.Source
	// Members returns the live entries and the agents, including this process.
	Members func() []hosts.Host
	// OnRequested is called when another process requests a version of which this one holds
	// nothing. It may be nil.
	OnRequested func(name chunks.Digest)
	// Origin returns the region of the origin and the rate of its link in bytes per second,
	// or zero values if they aren't known.
	Origin func() (hosts.Region, float64)
	// ReleasedAt returns the time at which a version was released, or zero. It may be nil.
	ReleasedAt func(name chunks.Digest) time.Time
	Client     *http.Client
	// Send sends a datagram to other processes.
	Send func(d *wire.Datagram, to ...netip.AddrPort)
	Seed uint64
	// Scope receives the counters of pieces.
	Scope tally.Scope
	Log   *zap.Logger
}

// Fetcher fetches versions and reports what the cache holds of them. It is safe for
// concurrent use.
type Fetcher struct {
	options Options
	remote  *peerClient
	// The counters of pieces fetched from the origin and from peers, and of pieces that
	// couldn't be fetched or were corrupt.
	fromOrigin tally.Counter
	fromPeers  tally.Counter
	failed     tally.Counter
	// outages counts how often the origin became unavailable during a fetch.
	outages tally.Counter
	// queueLength returns the number of pieces that this process still has to send.
	queueLength func() int

	mutex sync.Mutex
	// session is the fetch in progress, or nil.
	session *session
}

// New returns a fetcher. Queue returns the number of pieces that this process still has to
// send.
func New(o Options, queue func() int) *Fetcher {
	counter := func(source string) tally.Counter {
		return o.Scope.Tagged(map[string]string{"source": source}).Counter("pieces")
	}
	return &Fetcher{
		options: o, remote: &peerClient{client: o.Client}, queueLength: queue, fromOrigin: counter("origin"), fromPeers: counter("process"), failed: o.Scope.Counter("pieces_failed"),
		outages: o.Scope.Counter("origin_outages"),
	}
}

// Manifest fetches the manifest of a version into the cache. It retries until it has the
// manifest or the context has ended.
func (f *Fetcher) Manifest(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	s := newSession(f, name)
	f.setSession(s)
	defer f.clearSession(s)
	return s.ensureManifest(ctx)
}

// Fetch fetches every piece of a version into the cache. It returns when the cache holds
// all of them or the context has ended.
func (f *Fetcher) Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	s := newSession(f, name)
	f.setSession(s)
	defer f.clearSession(s)
	return s.run(ctx)
}

func (f *Fetcher) setSession(s *session) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.session = s
}

func (f *Fetcher) clearSession(s *session) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.session == s {
		f.session = nil
	}
}

func (f *Fetcher) currentSession() *session {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.session
}

// ReceiveHoldings handles a report of another process on its holdings of a version.
func (f *Fetcher) ReceiveHoldings(from netip.AddrPort, h *wire.Holds) {
	var name chunks.Digest
	if copy(name[:], h.Version) != len(name) {
		return
	}
	if h.Ask {
		if d, ok := f.holdings(name, false); ok {
			f.options.Send(d, from)
		} else if f.options.OnRequested != nil {
			f.options.OnRequested(name)
		}
	}
	if s := f.currentSession(); s != nil && s.name == name {
		s.receiveHoldings(from, h)
	}
}

// holdings builds the report on a version. With requestReport set, it asks the recipient
// for a report of its own. The second result is false if this process has no manifest of
// the version.
func (f *Fetcher) holdings(name chunks.Digest, requestReport bool) (*wire.Datagram, bool) {
	h := &wire.Holds{Version: name[:], Ask: requestReport, Queue: uint32(f.queueLength())}
	v, ok := f.options.Cache.Version(name)
	if ok {
		h.Manifest = manifestPrefix(v)
		h.Bitmap = packBits(f.options.Cache.Held(v))
	}
	return &wire.Datagram{Body: &wire.Datagram_Holds{Holds: h}}, ok
}

// manifestPrefix returns the prefix of the digest of a manifest.
func manifestPrefix(v *cache.Version) []byte {
	d := chunks.Sum(v.Encoded)
	return d[:manifestPrefixBytes]
}

func pieceKey(d chunks.Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

// packBits encodes one bit per piece, the lowest first.
func packBits(held []bool) []byte {
	data := make([]byte, (len(held)+7)/8)
	for i, h := range held {
		if h {
			data[i/8] |= 1 << (i % 8)
		}
	}
	return data
}

// unpackBits decodes the form of packBits. It returns nil if the length doesn't match.
func unpackBits(data []byte, count int) []bool {
	if len(data) != (count+7)/8 {
		return nil
	}
	held := make([]bool, count)
	for i := range held {
		held[i] = data[i/8]&(1<<(i%8)) != 0
	}
	return held
}

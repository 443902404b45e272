// Package fetch brings the chunks of a version into the cache of an agent, from
// peers where they hold them and else from the store or the origin.
//
// # Sessions
//
// Each Fetch is a session: one goroutine owns a swarm.Swarm and carries out its
// actions. A transfer brings one piece and a watcher follows one neighbour, each
// in a goroutine of its own; they report to the session by a bounded ring.
//
// # Edges
//
// Peers reaches the agents of other hosts; Remote does so over the network. A
// chunks.Source reaches the store or the origin.
package fetch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/roster"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
)

// Progress is how far the fetch of a version has come. Sizes are in bytes.
type Progress struct {
	Chunks      int
	Held        int
	OriginBytes uint64
	PeerBytes   uint64
	// Error is why the last fetch failed, or empty.
	Error string
}

// Options are the parts of a fetcher.
type Options struct {
	// Self is the host of the agent.
	Self   hosts.Host
	Cache  *cache.Cache
	Source chunks.Source
	Roster *roster.Roster
	Peers  Peers
	Log    *zap.Logger
	// SourceRegion is the region of the store, or empty if it isn't known.
	SourceRegion hosts.Region
	Limits       swarm.Limits
	// PoolRow returns the pool row in force, whose hosts may change while a version is
	// fetched. It may be nil.
	PoolRow func(name string) (tables.Pool, bool)
	// Seed sets the jitter of retries and the choice of peers for manifests.
	Seed uint64
	// Live reports whether the host is busy with live requests. It may be nil.
	Live func() bool
}

// Fetcher fetches versions. Goroutines share it.
type Fetcher struct {
	options Options

	mutex    sync.Mutex
	progress map[chunks.Digest]Progress
	random   *rand.Rand
}

// New returns a fetcher for the agent of a host.
func New(o Options) *Fetcher {
	return &Fetcher{
		options: o, progress: make(map[chunks.Digest]Progress),
		random: rand.New(rand.NewPCG(o.Seed, hosts.Score("fetch", o.Self.Name))),
	}
}

// Progress returns how far the fetch of a version has come.
func (f *Fetcher) Progress(manifest chunks.Digest) Progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.progress[manifest]
}

// Fetch brings every chunk of the pool's version into the cache. It returns
// once all are checked or the context has ended.
func (f *Fetcher) Fetch(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	v, err := f.Manifest(ctx, pool)
	if err != nil {
		return nil, err
	}
	if err := newSession(f, pool, v).run(ctx); err != nil {
		return nil, oops.In("fetch").With("manifest", pool.Manifest).Wrap(err)
	}
	return v, nil
}

// Manifest brings the manifest of the pool's version into the cache.
func (f *Fetcher) Manifest(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	v, err := f.manifest(ctx, pool)
	if err != nil {
		return nil, oops.In("fetch").With("manifest", pool.Manifest).Wrap(err)
	}
	return v, nil
}

// draw returns a random number below n.
func (f *Fetcher) draw(n int64) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Int64N(n)
}

// members returns the live hosts of the pool, the own one included, ordered by
// name. A pool without hosts has all that the roster lists.
func (f *Fetcher) members(pool tables.Pool) []hosts.Host {
	list := f.options.Roster.Now()
	self := f.options.Self
	all := []hosts.Host{self}
	if len(pool.Hosts) == 0 {
		for _, h := range list.All() {
			if h.Name != self.Name && h.State == hosts.StateLive {
				all = append(all, h)
			}
		}
	}
	for _, n := range pool.Hosts {
		if h, ok := list.Find(n); ok && n != self.Name && h.State == hosts.StateLive {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b hosts.Host) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

func (f *Fetcher) record(manifest chunks.Digest, change func(p *Progress)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.progress[manifest]
	change(&p)
	f.progress[manifest] = p
}

// Package fetch fetches the chunks of a version into the cache of an agent: from peers that
// hold them, and otherwise from the store or the origin.
//
// # Sessions
//
// Each call of Fetch is a session: one goroutine owns a swarm.Scheduler and executes its
// actions. A transfer fetches one piece and a watcher follows one neighbor, each in its
// own goroutine; they report to the session through a bounded ring.
//
// # Interfaces
//
// Peers reaches the agents of other hosts; RemotePeers implements it over the network. A
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

// Progress is the progress of fetching a version, in chunks and bytes.
type Progress struct {
	Chunks      int
	Held        int
	OriginBytes uint64
	PeerBytes   uint64
	// Error says why the last attempt failed. It is empty after a success.
	Error string
}

// Options hold the dependencies and settings of a Fetcher.
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
	// PoolRow returns the active row of a pool, whose hosts may change while a version is
	// being fetched. It may be nil.
	PoolRow func(name string) (tables.Pool, bool)
	// Seed seeds the jitter of backoffs and the choice of peers for manifests.
	Seed uint64
	// Live reports whether the host is serving live requests. It may be nil.
	Live func() bool
}

// Fetcher fetches versions. It is safe for concurrent use.
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

// Progress returns the progress of fetching a version.
func (f *Fetcher) Progress(manifest chunks.Digest) Progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.progress[manifest]
}

// Fetch fetches every chunk of the pool's version into the cache. It retries until all
// chunks are verified or the context ends.
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

// Manifest fetches the manifest of the pool's version into the cache. It retries until the
// context ends.
func (f *Fetcher) Manifest(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	v, err := f.ensureManifest(ctx, pool)
	if err != nil {
		return nil, oops.In("fetch").With("manifest", pool.Manifest).Wrap(err)
	}
	return v, nil
}

// randomBelow returns a random number in [0, n).
func (f *Fetcher) randomBelow(n int64) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Int64N(n)
}

// members returns the live hosts of the pool including this one, ordered by name. A pool
// without hosts consists of all hosts of the roster.
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

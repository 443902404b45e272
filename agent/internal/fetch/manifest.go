package fetch

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

const (
	// maxManifestPeers is the maximum number of peers that get a request for a manifest at
	// once.
	maxManifestPeers = 4
	// manifestPollTimeout is how long a peer waits for the manifest if it doesn't hold it
	// yet.
	manifestPollTimeout = 2 * time.Second
	// manifestTimeout limits a request for a manifest to the source.
	manifestTimeout = 20 * time.Second
	// minResponseTimeout is the time beyond manifestPollTimeout after which the first
	// attempt ends, so that an unresponsive peer doesn't delay it. It doubles with each
	// attempt, at most maxResponseDoublings times.
	minResponseTimeout   = 3 * time.Second
	maxResponseDoublings = 3
	// takeoverDelay is the time for which each rank waits for the one before it.
	takeoverDelay = 3 * time.Second
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 5 * time.Second
	// maxTakeoverRanks limits the number of takeover delays for which a rank waits.
	maxTakeoverRanks = 32
)

var errNoManifest = errors.New("no peer holds the manifest yet")

// ensureManifest returns the version from the cache. It fetches the manifest if it is
// missing there.
func (f *Fetcher) ensureManifest(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	start := time.Now()
	for attempt := 0; ; attempt++ {
		if v, ok := f.options.Cache.Version(pool.Manifest); ok {
			return v, nil
		}
		v, err := f.tryManifest(ctx, pool, start, attempt)
		if err == nil {
			return v, nil
		}
		f.record(pool.Manifest, func(p *Progress) { p.Error = err.Error() })
		if !clocks.Sleep(ctx, f.backoff(err, attempt)) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

func (f *Fetcher) backoff(err error, attempt int) time.Duration {
	backoff := minBackoff
	if !errors.Is(err, errNoManifest) {
		backoff = min(minBackoff<<min(attempt, 8), maxBackoff)
	}
	var refused *edges.RefusedError
	if errors.As(err, &refused) {
		backoff = max(backoff, refused.RetryAfter)
	}
	return backoff + time.Duration(f.randomBelow(int64(backoff)))
}

func (f *Fetcher) tryManifest(ctx context.Context, pool tables.Pool, start time.Time, attempt int) (*cache.Version, error) {
	members := f.members(pool)
	rank := f.manifestRank(pool, members)
	responseTimeout := min(minResponseTimeout<<min(attempt, maxResponseDoublings), manifestTimeout)
	if rank == 0 || time.Since(start) > time.Duration(min(rank, maxTakeoverRanks))*takeoverDelay {
		if v := f.manifestFromPeers(ctx, pool, members, 0, responseTimeout); v != nil {
			return v, nil
		}
		return f.manifestFromSource(ctx, pool.Manifest)
	}
	if v := f.manifestFromPeers(ctx, pool, members, manifestPollTimeout, responseTimeout); v != nil {
		return v, nil
	}
	return nil, errNoManifest
}

func (f *Fetcher) manifestRank(pool tables.Pool, members []hosts.Host) int {
	names := make([]hosts.Name, len(members))
	for i, h := range members {
		names[i] = h.Name
	}
	return slices.Index(hosts.Rank(pool.Manifest.String(), names), f.options.Self.Name)
}

func (f *Fetcher) manifestFromSource(ctx context.Context, digest chunks.Digest) (*cache.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := f.options.Source.Manifest(ctx, digest)
	if err != nil {
		return nil, err
	}
	f.record(digest, func(p *Progress) { p.OriginBytes += uint64(len(encoded)) })
	return f.options.Cache.AddManifest(digest, encoded)
}

// manifestFromPeers sends a request to some random peers at once and returns the version as
// soon as one has sent the manifest, or nil.
func (f *Fetcher) manifestFromPeers(ctx context.Context, pool tables.Pool, members []hosts.Host, wait, responseTimeout time.Duration) *cache.Version {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	var group sync.WaitGroup
	for range maxManifestPeers {
		h := members[f.randomBelow(int64(len(members)))]
		if h.Name == f.options.Self.Name {
			continue
		}
		r := &manifestRequest{fetcher: f, host: h, digest: pool.Manifest, wait: wait, cancel: cancel}
		group.Go(func() { r.run(ctx) })
	}
	group.Wait()
	v, _ := f.options.Cache.Version(pool.Manifest)
	return v
}

// manifestRequest is a request for a manifest to one peer.
type manifestRequest struct {
	fetcher *Fetcher
	host    hosts.Host
	digest  chunks.Digest
	wait    time.Duration
	// cancel cancels all requests of the same attempt.
	cancel context.CancelFunc
}

func (r *manifestRequest) run(ctx context.Context) {
	o := r.fetcher.options
	encoded, err := o.Peers.Manifest(ctx, r.host.Address, r.digest, r.wait)
	if err != nil {
		return
	}
	if _, err := o.Cache.AddManifest(r.digest, encoded); err == nil {
		r.cancel()
	}
}

func pieceKey(d chunks.Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

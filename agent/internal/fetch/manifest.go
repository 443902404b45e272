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
	// manifestPeers is the number of peers that are asked for a manifest at once.
	manifestPeers = 4
	// manifestWait is how long a peer is waited for until it holds it.
	manifestWait    = 2 * time.Second
	manifestTimeout = 20 * time.Second
	// manifestSilence is how long the first peers are waited for beyond that, so
	// that a silent one doesn't hold up the round. It doubles with each round.
	manifestSilence = 3 * time.Second
	manifestGrowth  = 3
	// manifestTakeover is the wait of each rank for the one before it.
	manifestTakeover = 3 * time.Second
	manifestRetry    = 100 * time.Millisecond
	manifestRetryMax = 5 * time.Second
	// manifestRanks bounds the takeovers that a rank waits.
	manifestRanks = 32
)

var errNoManifest = errors.New("no peer holds the manifest yet")

// manifest brings the manifest of the pool's version into the cache.
func (f *Fetcher) manifest(ctx context.Context, pool tables.Pool) (*cache.Version, error) {
	start := time.Now()
	for retry := 0; ; retry++ {
		if v, ok := f.options.Cache.Version(pool.Manifest); ok {
			return v, nil
		}
		v, err := f.manifestRound(ctx, pool, start, retry)
		if err == nil {
			return v, nil
		}
		f.record(pool.Manifest, func(p *Progress) { p.Error = err.Error() })
		if !clocks.Sleep(ctx, f.backOff(err, retry)) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

func (f *Fetcher) backOff(err error, retry int) time.Duration {
	wait := manifestRetry
	if !errors.Is(err, errNoManifest) {
		wait = min(manifestRetry<<min(retry, 8), manifestRetryMax)
	}
	var refused *edges.RefusedError
	if errors.As(err, &refused) {
		wait = max(wait, refused.RetryAfter)
	}
	return wait + time.Duration(f.draw(int64(wait)))
}

func (f *Fetcher) manifestRound(ctx context.Context, pool tables.Pool, start time.Time, retry int) (*cache.Version, error) {
	members := f.members(pool)
	rank := f.manifestRank(pool, members)
	silence := min(manifestSilence<<min(retry, manifestGrowth), manifestTimeout)
	if rank == 0 || time.Since(start) > time.Duration(min(rank, manifestRanks))*manifestTakeover {
		if v := f.manifestFromPeers(ctx, pool, members, 0, silence); v != nil {
			return v, nil
		}
		return f.manifestFromSource(ctx, pool.Manifest)
	}
	if v := f.manifestFromPeers(ctx, pool, members, manifestWait, silence); v != nil {
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

// manifestFromPeers asks some random peers at once and returns what came first.
func (f *Fetcher) manifestFromPeers(ctx context.Context, pool tables.Pool, members []hosts.Host, wait, silence time.Duration) *cache.Version {
	ctx, cancel := context.WithTimeout(ctx, wait+silence)
	defer cancel()
	var group sync.WaitGroup
	for range manifestPeers {
		h := members[f.draw(int64(len(members)))]
		if h.Name == f.options.Self.Name {
			continue
		}
		e := &enquiry{fetcher: f, host: h, digest: pool.Manifest, wait: wait, cancel: cancel}
		group.Go(func() { e.run(ctx) })
	}
	group.Wait()
	v, _ := f.options.Cache.Version(pool.Manifest)
	return v
}

// enquiry asks one peer for a manifest.
type enquiry struct {
	fetcher *Fetcher
	host    hosts.Host
	digest  chunks.Digest
	wait    time.Duration
	// cancel ends the enquiries of the same round.
	cancel context.CancelFunc
}

func (e *enquiry) run(ctx context.Context) {
	o := e.fetcher.options
	encoded, err := o.Peers.Manifest(ctx, e.host.Address, e.digest, e.wait)
	if err != nil {
		return
	}
	if _, err := o.Cache.AddManifest(e.digest, encoded); err == nil {
		e.cancel()
	}
}

func keyOf(d chunks.Digest) uint64 { return binary.LittleEndian.Uint64(d[:]) }

package gather

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
)

// ensureManifest fetches the manifest of the version into the cache. The first rank
// requests it from the origin; the others request it from a process that holds it, and
// after a delay from the origin. While the origin is unavailable, the requests of each rank are
// that delay apart, so that few processes probe it.
func (s *session) ensureManifest(ctx context.Context) (*cache.Version, error) {
	o := s.fetcher.options
	startedAt := time.Now()
	retryAt, failures := startedAt, 0
	for {
		if v, ok := o.Cache.Version(s.name); ok {
			s.afterOutage = failures > 0 || time.Since(startedAt) > lateManifest
			return v, nil
		}
		if time.Since(s.reportedAt) >= maxReportInterval {
			s.report(true)
		}
		if at, ok := s.manifestHolder(); ok {
			if s.manifestFromPeer(ctx, at) != nil {
				continue
			}
		}
		if time.Since(retryAt) >= time.Duration(s.manifestRank())*manifestTakeoverDelay {
			_, err := s.manifestFromOrigin(ctx, manifestTimeout<<min(failures/manifestTries, 2))
			if err == nil {
				continue
			}
			failures++
			retryAt = time.Now().Add(manifestBackoff*3/4 + rand.N(manifestBackoff/2))
			o.Log.Info("manifest-failed", zap.Error(err), zap.Int("failures", failures))
		}
		if !clocks.Sleep(ctx, manifestPollInterval) {
			return nil, ctx.Err()
		}
	}
}

// manifestRank returns the rank of this process for fetching the manifest from the origin:
// entries before agents, and those of the origin's region first.
func (s *session) manifestRank() int {
	region, _ := s.fetcher.options.Origin()
	groups := make([][]hosts.Name, 4)
	for _, h := range s.fetcher.options.Members() {
		at := 0
		if h.Role != hosts.RoleEntry {
			at = 2
		}
		if h.Place.Region != region {
			at++
		}
		groups[at] = append(groups[at], h.Name)
	}
	rank := 0
	for _, g := range groups {
		if i := slices.Index(hosts.Rank(s.name.String(), g), s.fetcher.options.Self.Name); i >= 0 {
			return rank + i
		}
		rank += min(len(g), maxManifestTakeovers)
	}
	return 0
}

// manifestHolder returns a process that has reported to hold the manifest.
func (s *session) manifestHolder() (netip.AddrPort, bool) {
	var at netip.AddrPort
	found := false
	for range s.events.Len() {
		e := <-s.events.Values()
		if e.holds != nil && len(e.holds.Manifest) > 0 {
			at, found = e.from, true
		}
	}
	return at, found
}

func (s *session) manifestFromPeer(ctx context.Context, at netip.AddrPort) *cache.Version {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := s.fetcher.remote.manifest(ctx, at, s.name, 0)
	if err != nil {
		return nil
	}
	v, err := s.fetcher.options.Cache.AddManifest(s.name, encoded)
	if err != nil {
		s.fetcher.options.Log.Warn("manifest-refused", zap.String("from", at.String()), zap.Error(err))
		return nil
	}
	return v
}

// manifestFromOrigin requests the manifest from the origin. The timeout must be short, because
// meanwhile the process doesn't learn of others that hold the manifest.
func (s *session) manifestFromOrigin(ctx context.Context, timeout time.Duration) (*cache.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := s.fetcher.options.Source.Manifest(ctx, s.name)
	if err != nil {
		return nil, err
	}
	return s.fetcher.options.Cache.AddManifest(s.name, encoded)
}

// refetchManifest replaces a suspect manifest by the one that the origin returns.
func (s *session) refetchManifest(ctx context.Context) {
	s.refetchedAt, s.corruptPieces = time.Now(), 0
	encoded, err := s.fetcher.options.Source.Manifest(ctx, s.name)
	if err != nil {
		s.fetcher.options.Log.Info("manifest-failed", zap.Error(err))
		clocks.Sleep(ctx, manifestTakeoverDelay)
		return
	}
	s.fetcher.options.Cache.DropManifest(s.name)
	if _, err := s.fetcher.options.Cache.AddManifest(s.name, encoded); err != nil {
		s.fetcher.options.Log.Warn("manifest-refused", zap.Error(err))
	}
}

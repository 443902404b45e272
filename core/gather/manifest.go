package gather

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
)

// manifest brings the manifest of the version into the cache. The first rank asks the
// origin; the others ask an agent that has it, and the origin after a while.
func (s *session) manifest(ctx context.Context) (*cache.Version, error) {
	o := s.gatherer.options
	began := time.Now()
	failures := 0
	for {
		if v, ok := o.Cache.Version(s.name); ok {
			return v, nil
		}
		if time.Since(s.told) >= askInterval {
			s.tellAll(true)
		}
		if at, ok := s.holder(); ok {
			if v := s.manifestOf(ctx, at); v != nil {
				return v, nil
			}
		}
		if time.Since(began) >= time.Duration(s.manifestRank()+failures)*manifestTakeover {
			v, err := s.manifestOfOrigin(ctx)
			if err == nil {
				return v, nil
			}
			failures++
			o.Log.Info("manifest-failed", zap.Error(err), zap.Int("failures", failures))
		}
		if !clocks.Sleep(ctx, manifestStep) {
			return nil, ctx.Err()
		}
	}
}

// manifestRank returns the place of the host among those that ask the origin: entries
// before agents, and those of the origin's region first.
func (s *session) manifestRank() int {
	home, _ := s.gatherer.options.Origin()
	groups := make([][]hosts.Name, 4)
	for _, h := range s.gatherer.options.Members() {
		at := 0
		if h.Role != hosts.RoleEntry {
			at = 2
		}
		if h.Place.Region != home {
			at++
		}
		groups[at] = append(groups[at], h.Name)
	}
	before := 0
	for _, g := range groups {
		if i := slices.Index(hosts.Rank(s.name.String(), g), s.gatherer.options.Self.Name); i >= 0 {
			return before + i
		}
		before += min(len(g), manifestGroup)
	}
	return 0
}

// holder returns an agent that has told that it has the manifest.
func (s *session) holder() (netip.AddrPort, bool) {
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

func (s *session) manifestOf(ctx context.Context, at netip.AddrPort) *cache.Version {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	encoded, err := s.gatherer.remote.manifest(ctx, at, s.name, 0)
	if err != nil {
		return nil
	}
	v, err := s.gatherer.options.Cache.AddManifest(s.name, encoded)
	if err != nil {
		s.gatherer.options.Log.Warn("manifest-refused", zap.String("from", at.String()), zap.Error(err))
		return nil
	}
	return v
}

func (s *session) manifestOfOrigin(ctx context.Context) (*cache.Version, error) {
	encoded, err := s.gatherer.options.Source.Manifest(ctx, s.name)
	if err != nil {
		return nil, err
	}
	return s.gatherer.options.Cache.AddManifest(s.name, encoded)
}

// renewManifest asks the origin for a manifest that is in doubt and keeps what it
// says.
func (s *session) renewManifest(ctx context.Context) {
	s.doubted, s.spoilt = time.Now(), 0
	encoded, err := s.gatherer.options.Source.Manifest(ctx, s.name)
	if err != nil {
		s.gatherer.options.Log.Info("manifest-failed", zap.Error(err))
		clocks.Sleep(ctx, manifestTakeover)
		return
	}
	s.gatherer.options.Cache.DropManifest(s.name)
	if _, err := s.gatherer.options.Cache.AddManifest(s.name, encoded); err != nil {
		s.gatherer.options.Log.Warn("manifest-refused", zap.Error(err))
	}
}

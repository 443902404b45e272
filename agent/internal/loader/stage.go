package loader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/shell"
)

// stagePollInterval is the time between two checks for pieces that aren't staged.
const stagePollInterval = 200 * time.Millisecond

// stager stages the pieces of one version at the engine, which has capacity for one version
// of a model.
type stager struct {
	options Options

	mutex  sync.Mutex
	target targetVersion
	// verifiedAt is the time at which each piece of the target was last known to be staged
	// and valid. A piece has the number of its chunk in cache.Version.Sequence.
	verifiedAt []time.Time
	// lost holds the pieces of the target whose storing got no response. The engine may still store
	// them, over a later piece; replaceable are those over which it may store one of another version.
	lost        map[int]bool
	replaceable map[int]bool
}

func newStager(o Options) (*stager, func()) {
	s := &stager{options: o, lost: make(map[int]bool), replaceable: make(map[int]bool)}
	g := shell.NewGroup()
	g.Go(s.loop)
	return s, g.Stop
}

// setTarget sets the version to stage.
func (s *stager) setTarget(t targetVersion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target != t {
		s.target, s.verifiedAt = t, nil
		maps.Copy(s.replaceable, s.lost)
		clear(s.lost)
	}
}

// reset marks every piece as not staged, since the engine has restarted.
func (s *stager) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.verifiedAt = nil
	clear(s.lost)
	clear(s.replaceable)
}

// current returns the target and its version, which is nil while the manifest isn't cached.
func (s *stager) current() (targetVersion, *cache.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target.version == 0 {
		return s.target, nil
	}
	v, ok := s.options.Cache.Version(s.options.Namer.Name(s.target.model, s.target.version))
	if !ok {
		return s.target, nil
	}
	if len(s.verifiedAt) != len(v.Sequence) {
		s.verifiedAt = make([]time.Time, len(v.Sequence))
	}
	return s.target, v
}

// unverified returns the pieces that aren't known to be staged, or were last verified
// before the given time.
func (s *stager) unverified(since time.Time) []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []int
	for i, at := range s.verifiedAt {
		if at.IsZero() || at.Before(since) {
			all = append(all, i)
		}
	}
	return all
}

func (s *stager) markVerified(t targetVersion, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target == t && n < len(s.verifiedAt) {
		s.verifiedAt[n] = clocks.Now()
	}
}

// validAge returns the time since a piece was last known to be valid, or zero if it never was.
func (s *stager) validAge(n int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if n >= len(s.verifiedAt) || s.verifiedAt[n].IsZero() {
		return 0
	}
	return clocks.Since(s.verifiedAt[n])
}

// oldestCheck returns the time since the check of the piece that was verified first.
func (s *stager) oldestCheck() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.verifiedAt) == 0 {
		return 0
	}
	return clocks.Since(slices.MinFunc(s.verifiedAt, time.Time.Compare))
}

// markLost records that storing a piece got no response.
func (s *stager) markLost(t targetVersion, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target == t {
		s.lost[n] = true
	} else {
		s.replaceable[n] = true
	}
}

// expired returns the pieces to read back before an order: those that were verified before the given
// time, and those that may have been replaced since.
func (s *stager) expired(since time.Time) []int {
	all := s.unverified(since)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n := range s.replaceable {
		if n < len(s.verifiedAt) && !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

// loop stages pieces as they are added to the cache.
func (s *stager) loop(ctx context.Context) {
	t := time.NewTicker(stagePollInterval)
	defer t.Stop()
	for {
		changed := s.options.Cache.Changed()
		s.stageMissing(ctx)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stageMissing stages the cached pieces that aren't staged.
func (s *stager) stageMissing(ctx context.Context) {
	t, v := s.current()
	if v == nil {
		return
	}
	for _, n := range s.unverified(time.Time{}) {
		if data, ok := s.options.Cache.Chunk(v.Sequence[n]); ok {
			s.stagePiece(ctx, t, n, data)
		}
	}
}

func (s *stager) stagePiece(ctx context.Context, t targetVersion, n int, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.options.Engine.Stage(ctx, t.model, n, data); err != nil {
		s.options.Log.Debug("stage-failed", zap.Int("piece", n), zap.Error(err))
		s.markLost(t, n)
		return false
	}
	s.markVerified(t, n)
	return true
}

// isComplete reports whether every piece of the version is staged.
func (s *stager) isComplete(t targetVersion) bool {
	current, v := s.current()
	return v != nil && current == t && len(s.unverified(time.Time{})) == 0
}

// verify reads back the staged pieces whose verification has expired and replaces corrupt
// ones. It reports whether all are valid.
func (s *stager) verify(ctx context.Context) bool {
	t, v := s.current()
	if v == nil {
		return false
	}
	valid := true
	for _, n := range s.expired(clocks.Now().Add(-verifiedTTL)) {
		digest := v.Sequence[n]
		data, err := s.options.Engine.ReadStaged(ctx, t.model, n)
		if err == nil && chunks.Verify(digest, data) {
			s.markVerified(t, n)
			continue
		}
		s.options.Log.Warn("staged-piece-corrupt", zap.Int("version", t.version), zap.Int("piece", n), zap.Duration("valid", s.validAge(n)), zap.Error(err))
		data, ok := s.options.Cache.Chunk(digest)
		valid = ok && s.stagePiece(ctx, t, n, data) && valid
	}
	return valid
}

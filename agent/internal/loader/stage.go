package loader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/clocks"
	"currantport.example/core/shell"
)

// stagePollInterval is the time between two checks for pieces that aren't staged or are to be read back.
const stagePollInterval = 200 * time.Millisecond

// stagedPiece is what is known of a staged piece.
type stagedPiece struct {
	// validAt is the latest time at which the piece is known to have been staged and valid: when the call
	// that stored it, or read it back, was sent. Zero means that it isn't known to be staged.
	validAt time.Time
	// isSuspect is set from a failed read-back until the piece is known to be valid again.
	isSuspect bool
}

// stager stages the pieces of one version at the engine, which has capacity for one version
// of a model, and reads them back before and after an order.
type stager struct {
	options Options
	// wake wakes the loop. checked wakes the loader after pieces were read back.
	wake    chan struct{}
	checked chan struct{}

	mutex  sync.Mutex
	target targetVersion
	// version is the one that the pieces belong to, nil before its manifest is cached. Another manifest of
	// the target makes it another one.
	version *cache.Version
	// pieces are those of the version by their number in cache.Version.Sequence.
	pieces []stagedPiece
	// lost holds the pieces of the target whose storing got no response. The engine may still store
	// them, over a later piece; overwritable are those over which it may store one of another version.
	lost         map[int]bool
	overwritable map[int]bool
	startedAt    time.Time
	// storing is the number of calls that store a piece, storedAt when the last one ended.
	storing  int
	storedAt time.Time
	// checkSince is when the current check before an order began, checkUntil when it ends unless it is
	// extended.
	checkSince time.Time
	checkUntil time.Time
	// isHeld is set while no piece may be stored: from the first order of a version until its load is
	// validated. A corrupt piece that is replaced in between would hide that it was loaded.
	isHeld bool
	// acceptedBy is the time by which the engine has accepted an order of the target, or zero.
	acceptedBy time.Time
}

func newStager(o Options) (*stager, func()) {
	s := &stager{
		options: o, wake: make(chan struct{}, 1), checked: make(chan struct{}, 1),
		lost: make(map[int]bool), overwritable: make(map[int]bool), startedAt: clocks.Now(),
	}
	g := shell.NewGroup()
	g.Go(s.loop)
	return s, g.Stop
}

// setTarget sets the version to stage.
func (s *stager) setTarget(t targetVersion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changeTarget(t)
}

// changeTarget is setTarget. The caller holds the mutex.
func (s *stager) changeTarget(t targetVersion) {
	if s.target != t {
		s.target, s.pieces, s.acceptedBy = t, nil, time.Time{}
		maps.Copy(s.overwritable, s.lost)
		clear(s.lost)
	}
}

// reset marks every piece as not staged, since the engine has restarted. Pieces are held as before, as the new
// process may have accepted an order.
func (s *stager) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pieces = nil
	clear(s.lost)
	clear(s.overwritable)
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
	if s.version != v || len(s.pieces) != len(v.Sequence) {
		s.version, s.pieces = v, make([]stagedPiece, len(v.Sequence))
	}
	return s.target, v
}

// hasVersion reports whether the manifest of the target is known.
func (s *stager) hasVersion() bool {
	_, v := s.current()
	return v != nil
}

// hasTarget reports whether the version is the target.
func (s *stager) hasTarget(t targetVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.target == t
}

// missing returns the pieces that aren't known to be staged, or none while no piece may be stored.
func (s *stager) missing() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []int
	for n := range s.pieces {
		if !s.isHeld && s.pieces[n].validAt.IsZero() {
			all = append(all, n)
		}
	}
	return all
}

// markValid records that a piece of a version was staged and valid at a time up to now.
func (s *stager) markValid(v *cache.Version, n int, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version != v || n >= len(s.pieces) || s.isHeld && s.lost[n] {
		// A lost store may have replaced the piece since the engine accepted the order.
		return
	}
	p := &s.pieces[n]
	p.isSuspect = false
	if at.After(p.validAt) {
		p.validAt = at
	}
}

// markLost records that storing a piece got no response.
func (s *stager) markLost(t targetVersion, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target == t {
		s.lost[n] = true
	} else {
		s.overwritable[n] = true
	}
}

// loop stages pieces as they are added to the cache, and reads them back while a check is in progress.
func (s *stager) loop(ctx context.Context) {
	t := time.NewTicker(stagePollInterval)
	defer t.Stop()
	for {
		changed := s.options.Cache.Changed()
		s.stageMissing(ctx)
		s.readBack(ctx)
		select {
		case <-changed:
		case <-s.wake:
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
	for _, n := range s.missing() {
		if data, ok := s.options.Cache.Chunk(v.Sequence[n]); ok {
			s.stagePiece(ctx, t, v, n, data)
		}
	}
}

// stagePiece stores a piece of the target, unless its version has changed or no piece may be stored.
func (s *stager) stagePiece(ctx context.Context, t targetVersion, v *cache.Version, n int, data []byte) {
	if ctx.Err() != nil || !s.beginStore(v) {
		return
	}
	defer s.endStore()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := clocks.Now()
	if err := s.options.Engine.Stage(ctx, t.model, n, data); err != nil {
		s.options.Log.Debug("stage-failed", zap.Int("piece", n), zap.Error(err))
		s.markLost(t, n)
		return
	}
	s.markValid(v, n, sentAt)
}

func (s *stager) beginStore(v *cache.Version) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version != v || s.isHeld {
		return false
	}
	s.storing++
	return true
}

func (s *stager) endStore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storing--
	s.storedAt = clocks.Now()
}

// isComplete reports whether every piece of the version is staged.
func (s *stager) isComplete(t targetVersion) bool {
	current, v := s.current()
	if v == nil || current != t {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !slices.ContainsFunc(s.pieces, func(p stagedPiece) bool { return p.validAt.IsZero() })
}

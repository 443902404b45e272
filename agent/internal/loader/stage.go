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
	// exposure is the longest time for which the piece may have been corrupt before it was replaced,
	// since the pending order was sent first.
	exposure time.Duration
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
	// them, over a later piece; replaceable are those over which it may store one of another version.
	lost        map[int]bool
	replaceable map[int]bool
	// storing is the number of calls that store a piece, storedAt when the last one ended.
	storing  int
	storedAt time.Time
	// checkSince is when the current check before an order began, checkUntil when it ends unless it is
	// extended.
	checkSince time.Time
	checkUntil time.Time
	// acceptedBy is the time by which the engine has accepted an order of the target, or zero. While it is
	// set, pieces are read back and none is stored.
	acceptedBy time.Time
}

func newStager(o Options) (*stager, func()) {
	s := &stager{
		options: o, wake: make(chan struct{}, 1), checked: make(chan struct{}, 1),
		lost: make(map[int]bool), replaceable: make(map[int]bool),
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
		maps.Copy(s.replaceable, s.lost)
		clear(s.lost)
	}
}

// reset marks every piece as not staged, since the engine has restarted.
func (s *stager) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pieces, s.acceptedBy = nil, time.Time{}
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
	if s.version != v || len(s.pieces) != len(v.Sequence) {
		s.version, s.pieces = v, make([]stagedPiece, len(v.Sequence))
	}
	return s.target, v
}

// missing returns the pieces that aren't known to be staged, or none while no piece may be stored.
func (s *stager) missing() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []int
	for n := range s.pieces {
		if s.acceptedBy.IsZero() && s.pieces[n].validAt.IsZero() {
			all = append(all, n)
		}
	}
	return all
}

// markValid records that a piece was staged and valid at a time up to now. In case isStored it was stored
// since, over one that may have been corrupt.
func (s *stager) markValid(t targetVersion, n int, at time.Time, isStored bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target != t || n >= len(s.pieces) {
		return
	}
	p := &s.pieces[n]
	if p.isSuspect || isStored {
		p.exposure, p.isSuspect = max(p.exposure, clocks.Since(p.validAt)), false
	}
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
		s.replaceable[n] = true
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
			s.stagePiece(ctx, t, n, data)
		}
	}
}

// stagePiece stores a piece of the target, unless the target has changed or no piece may be stored.
func (s *stager) stagePiece(ctx context.Context, t targetVersion, n int, data []byte) {
	if ctx.Err() != nil || !s.beginStore(t) {
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
	s.markValid(t, n, sentAt, true)
}

func (s *stager) beginStore(t targetVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target != t || !s.acceptedBy.IsZero() {
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

package loader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/engine"
)

const (
	// maxCorruptTime is the time for which a piece may have been corrupt when the engine loaded it.
	maxCorruptTime = 3 * time.Second
	// verifiedTTL is the age from which a piece is read back again during a check.
	verifiedTTL = 1500 * time.Millisecond
	// maxCheckAge is the age of the oldest read-back up to which an order is sent.
	maxCheckAge = 2 * time.Second
	// maxCheckTime is the duration of a check after which an order is sent with older read-backs. The
	// pieces are then read back after the order.
	maxCheckTime = 4 * time.Second
	// checkLease is the time for which a check goes on after it was requested. A process that stands
	// still for longer begins a new one.
	checkLease = 2 * callTimeout
	// earlierAgentTime is the time after the start of the agent within which the engine may store pieces and
	// accept orders that an earlier agent has sent.
	earlierAgentTime = 10 * time.Second
	// readers is the number of pieces that are read back at the same time.
	readers = 4
)

// validity is what is known of a load.
type validity string

const (
	// validityPending is a load of which a piece may have been corrupt for longer than maxCorruptTime.
	validityPending validity = "pending"
	// validityValid is a load of which none was.
	validityValid validity = "valid"
	// validityAssumed is a load that the agent has found at its start and can't validate.
	validityAssumed validity = "assumed"
	// validityUnknown is a load of which that can't be determined any more.
	validityUnknown validity = "unknown"
)

// requestCheck has the staged pieces read back until checkLease has passed.
func (s *stager) requestCheck() {
	s.mutex.Lock()
	now := clocks.Now()
	isNew := !now.Before(s.checkUntil)
	if isNew {
		s.checkSince = now
	}
	s.checkUntil = now.Add(checkLease)
	s.mutex.Unlock()
	if isNew {
		s.wakeLoop()
	}
}

func (s *stager) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// isChecked reports whether the pieces have been read back as recently as an order requires, or as the
// machine allows.
func (s *stager) isChecked() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := clocks.Now()
	if len(s.pieces) == 0 || !now.Before(s.checkUntil) {
		return false
	}
	isSlow := now.Sub(s.checkSince) >= maxCheckTime
	for n, p := range s.pieces {
		isRead := !p.validAt.Before(s.checkSince)
		isRecent := now.Sub(p.validAt) <= maxCheckAge && (isRead || !s.overwritable[n])
		if isDone := isRecent || isSlow && isRead; p.isSuspect || !isDone {
			return false
		}
	}
	return true
}

// isRead reports whether each piece was read back during the check, whether or not it is valid.
func (s *stager) isRead() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.pieces) > 0 && !slices.ContainsFunc(s.pieces, func(p stagedPiece) bool { return !p.isSuspect && p.validAt.Before(s.checkSince) })
}

// checkAge returns the age of the oldest read-back of the pieces that are known to be staged.
func (s *stager) checkAge() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	oldest := clocks.Now()
	for _, p := range s.pieces {
		if !p.validAt.IsZero() && p.validAt.Before(oldest) {
			oldest = p.validAt
		}
	}
	return clocks.Since(oldest)
}

// hold keeps pieces from being stored until release. It reports false while one is being stored.
func (s *stager) hold() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.storing > 0 {
		return false
	}
	s.isHeld = true
	return true
}

// release ends hold and the validation of a load.
func (s *stager) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isHeld, s.acceptedBy = false, time.Time{}
}

// seal records that the engine has accepted an order of the version by a time, while pieces are held.
func (s *stager) seal(t targetVersion, acceptedBy time.Time) {
	s.mutex.Lock()
	if s.target == t && s.isHeld {
		s.acceptedBy = acceptedBy
	}
	s.mutex.Unlock()
	s.wakeLoop()
}

// sealForeign is hold and seal for an order that this agent didn't send, which was accepted after a time. The
// result is false if pieces were stored since.
func (s *stager) sealForeign(acceptedAfter, acceptedBy time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.storing > 0 || s.storedAt.After(acceptedAfter) {
		return false
	}
	s.acceptedBy, s.isHeld, s.pieces = acceptedBy, true, nil
	return true
}

// retarget is setTarget while the load of an order that this agent didn't send is validated.
func (s *stager) retarget(t targetVersion) {
	s.mutex.Lock()
	acceptedBy := s.acceptedBy
	s.changeTarget(t)
	s.acceptedBy = acceptedBy
	s.mutex.Unlock()
	s.wakeLoop()
}

// loadValidity returns what is known of the load of the target, and the longest time for which a piece that
// was known to be valid before may have been corrupt when it was loaded.
func (s *stager) loadValidity(t targetVersion) (validity, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.target != t || s.acceptedBy.IsZero() {
		return validityUnknown, 0
	}
	result, longest := validityValid, time.Duration(0)
	if len(s.pieces) == 0 {
		result = validityPending
	}
	for n := range s.pieces {
		p := &s.pieces[n]
		if !p.validAt.IsZero() {
			longest = max(longest, s.acceptedBy.Sub(p.validAt))
		}
		switch {
		case s.isProven(n):
		case p.isSuspect, s.lost[n]:
			return validityUnknown, longest
		default:
			result = validityPending
		}
	}
	return result, longest
}

// isProven reports whether a piece had been corrupt for at most maxCorruptTime when it was loaded. The
// caller holds the mutex.
func (s *stager) isProven(n int) bool {
	age := s.acceptedBy.Sub(s.pieces[n].validAt)
	mayBeReplaced := s.overwritable[n] || s.acceptedBy.Sub(s.startedAt) < earlierAgentTime
	return age <= 0 || age <= maxCorruptTime && !mayBeReplaced
}

// due returns the pieces to read back now.
func (s *stager) due() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []int
	now := clocks.Now()
	isChecking := now.Before(s.checkUntil)
	for n, p := range s.pieces {
		isDue := false
		switch {
		case !s.acceptedBy.IsZero():
			isDue = !s.isProven(n) && !p.isSuspect
		case isChecking && s.isHeld:
			isDue = !p.isSuspect && now.Sub(p.validAt) >= verifiedTTL
		case isChecking && !p.validAt.IsZero():
			isDue = p.isSuspect || now.Sub(p.validAt) >= verifiedTTL || s.overwritable[n] && p.validAt.Before(s.checkSince)
		}
		if isDue {
			all = append(all, n)
		}
	}
	return all
}

// readBack reads the due pieces back and replaces corrupt ones.
func (s *stager) readBack(ctx context.Context) {
	t, v := s.current()
	if v == nil {
		return
	}
	due := s.due()
	if len(due) == 0 {
		return
	}
	r := &reader{stager: s, target: t, version: v, due: make(chan int, len(due))}
	for _, n := range due {
		r.due <- n
	}
	close(r.due)
	var group sync.WaitGroup
	for range min(readers, len(due)) {
		group.Go(func() { r.run(ctx) })
	}
	group.Wait()
	select {
	case s.checked <- struct{}{}:
	default:
	}
}

// reader reads pieces back.
type reader struct {
	stager  *stager
	target  targetVersion
	version *cache.Version
	// due holds the numbers of the pieces that are still to be read.
	due chan int
}

func (r *reader) run(ctx context.Context) {
	for n := range r.due {
		if ctx.Err() == nil {
			r.read(ctx, n)
		}
	}
}

func (r *reader) read(ctx context.Context, n int) {
	s, sentAt := r.stager, clocks.Now()
	data, err := s.options.Engine.ReadStaged(ctx, r.target.model, n)
	if err == nil && chunks.Verify(r.version.Sequence[n], data) {
		s.markValid(r.version, n, sentAt)
		return
	}
	age, isHeld := s.markSuspect(r.version, n, err)
	s.options.Log.Warn("staged-piece-corrupt", zap.Int("version", r.target.version), zap.Int("piece", n), zap.Duration("valid", age), zap.Bool("held", isHeld), zap.Error(err))
	if data, ok := s.options.Cache.Chunk(r.version.Sequence[n]); ok && !isHeld {
		s.stagePiece(ctx, r.target, r.version, n, data)
	}
}

// markSuspect records that a read-back of a piece has failed. It returns the time since the piece was
// last known to be valid, and whether pieces are held. Then a read-back without a response is repeated.
func (s *stager) markSuspect(v *cache.Version, n int, err error) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.version != v || n >= len(s.pieces) {
		return 0, s.isHeld
	}
	p := &s.pieces[n]
	p.isSuspect = p.isSuspect || err == nil || errors.Is(err, engine.ErrNotStaged) || !s.isHeld
	if p.validAt.IsZero() {
		return 0, s.isHeld
	}
	return clocks.Since(p.validAt), s.isHeld
}

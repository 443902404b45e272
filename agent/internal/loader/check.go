package loader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
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
		isRecent := now.Sub(p.validAt) <= maxCheckAge && (isRead || !s.replaceable[n])
		if isDone := isRecent || isSlow && isRead; p.isSuspect || !isDone {
			return false
		}
	}
	return true
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

// beginOrder records that the first order of a version is about to be sent.
func (s *stager) beginOrder() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n := range s.pieces {
		s.pieces[n].exposure = 0
	}
}

// seal records that the engine has accepted an order of the version by a time. From then on no piece
// is stored, until setTarget or unseal.
func (s *stager) seal(t targetVersion, acceptedBy time.Time) {
	s.mutex.Lock()
	if s.target == t && s.acceptedBy.IsZero() {
		s.acceptedBy = acceptedBy
	}
	s.mutex.Unlock()
	s.wakeLoop()
}

// sealForeign is seal for an order that this agent didn't send, which was accepted after a time. The
// result is false if pieces were stored since.
func (s *stager) sealForeign(acceptedAfter, acceptedBy time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.storing > 0 || s.storedAt.After(acceptedAfter) {
		return false
	}
	s.acceptedBy, s.pieces = acceptedBy, nil
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

// unseal ends the validation of a load.
func (s *stager) unseal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.acceptedBy = time.Time{}
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
			longest = max(longest, p.exposure, s.acceptedBy.Sub(p.validAt))
		}
		switch {
		case p.exposure > maxCorruptTime:
			return validityUnknown, longest
		case s.isProven(n):
		case p.isSuspect:
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
	return age <= 0 || age <= maxCorruptTime && !s.replaceable[n]
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
		case isChecking && !p.validAt.IsZero():
			isDue = p.isSuspect || now.Sub(p.validAt) >= verifiedTTL || s.replaceable[n] && p.validAt.Before(s.checkSince)
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
		s.markValid(r.target, n, sentAt, false)
		return
	}
	age, isSealed := s.markSuspect(r.target, n, err)
	s.options.Log.Warn("staged-piece-corrupt", zap.Int("version", r.target.version), zap.Int("piece", n), zap.Duration("valid", age), zap.Bool("loaded", isSealed), zap.Error(err))
	if data, ok := s.options.Cache.Chunk(r.version.Sequence[n]); ok && !isSealed {
		s.stagePiece(ctx, r.target, n, data)
	}
}

// markSuspect records that a read-back of a piece has failed. It returns the time since the piece was
// last known to be valid, and whether the engine has accepted an order. After that, a read-back without
// a response is repeated.
func (s *stager) markSuspect(t targetVersion, n int, err error) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isSealed := !s.acceptedBy.IsZero()
	if s.target != t || n >= len(s.pieces) {
		return 0, isSealed
	}
	p := &s.pieces[n]
	p.isSuspect = p.isSuspect || err == nil || !isSealed
	if p.validAt.IsZero() {
		return 0, isSealed
	}
	return clocks.Since(p.validAt), isSealed
}

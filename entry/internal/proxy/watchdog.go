package proxy

import (
	"context"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// recheckInterval is the time between two looks for another upstream in place of one that has been
// silent for too long. Clients leave a stream soon after that.
const recheckInterval = 200 * time.Millisecond

// watchdog cancels an attempt whose upstream is silent for too long. A healthy upstream may be
// silent and go on, so that it is only left early for another one that can take the request.
type watchdog struct {
	lifecycle *lifecycle
	cancel    context.CancelFunc

	mutex sync.Mutex
	timer *time.Timer
	// timeout is how long to wait for progress, dueAt when it ends. At limit the attempt is
	// canceled in any case.
	timeout time.Duration
	dueAt   time.Time
	limit   time.Time
	// attempts and reqs are the retry state and the requirements for the next upstream. They are
	// copies, since the attempt may end while another upstream is looked for.
	attempts tries.Attempts
	reqs     target.Requirements
	expired  bool
	stopped  bool
}

func newWatchdog(l *lifecycle, cancel context.CancelFunc) *watchdog {
	return &watchdog{lifecycle: l, cancel: cancel}
}

// reset restarts the timer.
func (w *watchdog) reset(timeout time.Duration, limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timeout, w.limit = timeout, limit
	w.attempts, w.reqs = *w.lifecycle.attempts, w.lifecycle.requirements()
	w.arm(timeout)
}

// extend moves the limit, which no deadline to start the request bounds any more.
func (w *watchdog) extend(limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = limit
}

// shorten moves the limit to an earlier time. It may be called with the mutex of the fleet held.
func (w *watchdog) shorten(limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !limit.Before(w.limit) {
		return
	}
	w.limit = limit
	if limit.Before(w.dueAt) {
		w.schedule(limit)
	}
}

// arm starts the timer. The caller holds the mutex.
func (w *watchdog) arm(timeout time.Duration) {
	dueAt := time.Now().Add(timeout)
	if w.limit.Before(dueAt) {
		dueAt = w.limit
	}
	w.schedule(dueAt)
}

func (w *watchdog) schedule(dueAt time.Time) {
	w.dueAt = dueAt
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(dueAt), w.run)
		return
	}
	w.timer.Reset(time.Until(dueAt))
}

func (w *watchdog) run() {
	now := time.Now()
	w.mutex.Lock()
	dueAt, isOver, attempts, reqs := w.dueAt, !now.Before(w.limit), w.attempts, w.reqs
	isDue := !w.stopped && !now.Before(dueAt)
	w.mutex.Unlock()
	if !isDue {
		return
	}
	reqs.Homes = w.lifecycle.homes()
	// The fleet must not be called with the mutex held, since it calls shorten.
	mayCancel := isOver || attempts.MayRetry(now) && w.lifecycle.reserveRetry(reqs)
	if !w.finishCheck(dueAt, mayCancel) {
		w.lifecycle.releaseReserved()
	}
}

// finishCheck cancels the attempt or waits on. It returns false if the attempt has ended or made
// progress since the check began.
func (w *watchdog) finishCheck(dueAt time.Time, mayCancel bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || !w.dueAt.Equal(dueAt) {
		return false
	}
	if mayCancel {
		w.expired = true
		w.cancel()
		return true
	}
	w.arm(min(w.timeout, recheckInterval))
	return true
}

func (w *watchdog) hasFired() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.expired
}

func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reserveRetry reports whether another upstream can take the request at once, takes the retry from
// the budget and reserves the place. All streams of a silent upstream look for one at a time.
func (l *lifecycle) reserveRetry(reqs target.Requirements) bool {
	var available bool
	fleet := l.handler.options.Fleet
	if reqs.Levels > 1 {
		reqs.Ahead = l.handler.queues.ahead(l.pool.Name, reqs)
	}
	if l.pool.Engine == nil {
		available = fleet.HasPlain(clocks.Now(), reqs)
	} else {
		available = fleet.HasEngine(clocks.Now(), reqs)
	}
	if !available || !l.handler.trySpend(l.pool.Name) {
		return false
	}
	f, _ := l.choose(clocks.Now(), reqs)
	if f == nil {
		return false
	}
	l.reserved.Store(f)
	return true
}

// releaseReserved ends a reserved attempt that isn't needed.
func (l *lifecycle) releaseReserved() {
	if f := l.reserved.Swap(nil); f != nil {
		f.Finish(clocks.Now(), target.OutcomeNeutral)
	}
}

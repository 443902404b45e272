package proxy

import (
	"context"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/entry/internal/target"
)

// watchdog cancels an attempt whose upstream is silent for too long. A sound upstream may fall
// silent and go on, so that it is only left early for another one that can take the request.
type watchdog struct {
	lifecycle *lifecycle
	cancel    context.CancelFunc

	mutex sync.Mutex
	timer *time.Timer
	// patience is how long to wait for progress, dueAt when it ends. At limit the attempt is
	// canceled in any case.
	patience time.Duration
	dueAt    time.Time
	limit    time.Time
	// reqs are the requirements for the next upstream.
	reqs    target.Requirements
	expired bool
	stopped bool
}

func newWatchdog(l *lifecycle, cancel context.CancelFunc) *watchdog {
	return &watchdog{lifecycle: l, cancel: cancel}
}

// reset restarts the timer.
func (w *watchdog) reset(patience time.Duration, limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.patience, w.limit, w.reqs = patience, limit, w.lifecycle.requirements()
	w.arm()
}

// extend moves the limit.
func (w *watchdog) extend(limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = limit
}

// arm starts the timer. The caller holds the mutex.
func (w *watchdog) arm() {
	d := min(w.patience, time.Until(w.limit))
	w.dueAt = time.Now().Add(d)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.run)
		return
	}
	w.timer.Reset(d)
}

func (w *watchdog) run() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if w.stopped || now.Before(w.dueAt) {
		return
	}
	if now.Before(w.limit) && !w.lifecycle.reserveRetry(now, w.reqs) {
		w.arm()
		return
	}
	w.expired = true
	w.cancel()
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
func (l *lifecycle) reserveRetry(now time.Time, reqs target.Requirements) bool {
	if !l.attempts.MayRetry(now) {
		return false
	}
	var available bool
	fleet := l.handler.options.Fleet
	if l.pool.Engine == nil {
		available = fleet.HasPlain(clocks.Now(), l.pool.Name, reqs.Exclude)
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

package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// recheckInterval is the time between two looks for another upstream in place of one that has been
// silent for too long. Clients leave a stream soon after that.
const recheckInterval = 200 * time.Millisecond

// watchdog asks other upstreams beside one that is silent for too long. A healthy upstream may be silent and
// go on, so that it is only left early once another one has responded.
type watchdog struct {
	lifecycle *lifecycle
	// request is the context of the request, and cancel ends that of the attempt.
	request context.Context //nolint:containedctx // attempts beside the watched one outlive its context
	cancel  context.CancelFunc

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
	// cause is why the attempt was canceled, or empty.
	cause   cause
	stopped bool
	// hasEnded is set once the watched attempt has failed, and failedBefore is the length of failed then.
	hasEnded     bool
	failedBefore int
	// isWriting is set while a part of the response is written to the client. A client that reads slowly
	// isn't a silent upstream.
	isWriting bool
	// started is set once the client has received a part of the stream, and lastEventID the id of the
	// last event of it.
	started     bool
	lastEventID string
	// successors are the attempts in progress at other upstreams. failed are the earlier ones.
	successors []*successor
	failed     []failedSuccessor
}

func newWatchdog(l *lifecycle, request context.Context, cancel context.CancelFunc) *watchdog { //nolint:revive // the context is kept
	return &watchdog{lifecycle: l, request: request, cancel: cancel}
}

// reset restarts the timer.
func (w *watchdog) reset(timeout time.Duration, limit time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timeout, w.limit = timeout, limit
	w.attempts, w.reqs = *w.lifecycle.attempts, w.lifecycle.requirements()
	w.started, w.lastEventID = w.lifecycle.stream.started, w.lifecycle.stream.lastEventID
	for _, f := range w.failed {
		w.exclude(f)
	}
	w.dropSuccessors()
	w.isWriting = false
	w.arm(timeout)
}

// claim reports whether the watched attempt may write the next part of the response. It may not if it was
// given up, since the rest would be missing. No successor is started until reset, and only the deadline
// bounds the attempt.
func (w *watchdog) claim() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cause != "" || !w.lifecycle.beginResponse() {
		return false
	}
	w.dropSuccessors()
	w.isWriting, w.limit = true, w.lifecycle.deadline
	return true
}

// dropSuccessors ends the attempts at other upstreams. The caller holds the mutex.
func (w *watchdog) dropSuccessors() {
	for _, s := range w.successors {
		s.cancel()
		w.recordFailed(failedSuccessor{successor: s, result: tries.ResultLost, isCanceled: true})
	}
	w.successors = nil
}

// recordFailed counts a failed attempt at another upstream. The caller holds the mutex.
func (w *watchdog) recordFailed(f failedSuccessor) {
	w.failed = append(w.failed, f)
	w.exclude(f)
}

// exclude keeps the upstream of a failed attempt from being asked again. The caller holds the mutex.
func (w *watchdog) exclude(f failedSuccessor) {
	w.attempts.RecordBeside(f.result)
	w.excludeID(f.successor.inFlight.Row.ID)
}

func (w *watchdog) excludeID(id string) {
	w.reqs.Exclude = append(slices.Clip(w.reqs.Exclude), id)
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
	defer w.lifecycle.containBeside()
	now := time.Now()
	w.mutex.Lock()
	dueAt, isOver, attempts, reqs := w.dueAt, !now.Before(w.limit), w.attempts, w.reqs
	inProgress := len(w.successors)
	if !w.hasEnded {
		inProgress++
	}
	// MayRunBeside counts one of them.
	for range inProgress - 1 {
		attempts.RecordBeside(tries.ResultLost)
	}
	isDue := !w.stopped && !now.Before(dueAt) && (isOver || !w.isWriting)
	w.mutex.Unlock()
	if !isDue {
		return
	}
	if isOver {
		w.finishCheck(dueAt, true)
		return
	}
	// The fleet must not be called with the mutex held, since it calls shorten.
	reqs.Homes = w.lifecycle.homes()
	var next *target.InFlight
	if attempts.MayRunBeside(time.Now()) && w.lifecycle.mayRisk(inProgress) {
		next = w.lifecycle.reserveRetry(reqs)
	}
	w.succeed(dueAt, next, reqs)
}

// succeed has another upstream take over the request if one can. The silent one is left only once the
// other has responded: it may decline or be lost, and the silent one may go on.
func (w *watchdog) succeed(dueAt time.Time, next *target.InFlight, reqs target.Requirements) {
	if next == nil {
		w.finishCheck(dueAt, false)
		return
	}
	if !w.startSuccessor(dueAt, next, reqs) {
		next.Finish(clocks.Now(), target.OutcomeNeutral)
	}
}

// maxSuspectRuns bounds the upstreams that run a request at the same time once one of them was lost. It may
// be the request that crashes them.
const maxSuspectRuns = 2

// mayRisk reports whether another upstream may run a request that a number of upstreams run already.
func (l *lifecycle) mayRisk(inProgress int) bool {
	if l.suspected.Load() && inProgress >= maxSuspectRuns {
		return false
	}
	return !l.handler.options.Crashes.IsQuarantined(l.identity)
}

// startSuccessor returns false if the attempt has ended or made progress since the check began.
func (w *watchdog) startSuccessor(dueAt time.Time, f *target.InFlight, reqs target.Requirements) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || w.isWriting || !w.dueAt.Equal(dueAt) {
		return false
	}
	s := newSuccessor(w, f, reqs)
	w.successors = append(w.successors, s)
	w.excludeID(f.Row.ID)
	go s.run()
	w.arm(w.timeout)
	return true
}

// finishSuccessor gives the watched attempt up for a successor that has responded, or waits on for the
// watched one. It returns false if the successor was dropped.
func (w *watchdog) finishSuccessor(s *successor, result tries.Result, c cause) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := slices.Index(w.successors, s)
	if i < 0 {
		return false
	}
	w.successors = slices.Delete(w.successors, i, i+1)
	if result == tries.ResultAnswered {
		w.dropSuccessors()
		w.cause, w.stopped = causeSuccessor, true
		w.lifecycle.prepared.Store(s)
		w.cancel()
		return true
	}
	w.recordFailed(failedSuccessor{successor: s, result: result, cause: c})
	if !w.stopped {
		w.arm(min(w.timeout, recheckInterval))
	}
	return true
}

// awaitSuccessors waits for the successors in progress after the watched attempt has failed, until one
// has responded. Further ones may be started meanwhile.
func (w *watchdog) awaitSuccessors(result tries.Result) {
	w.recordEnd(result)
	for s := w.anySuccessor(); s != nil; s = w.anySuccessor() {
		<-s.done
	}
}

// recordEnd counts the watched attempt, which has failed. Another upstream may be asked at once in place of one
// that hasn't run the request.
func (w *watchdog) recordEnd(result tries.Result) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hasEnded, w.failedBefore, w.limit = true, len(w.failed), w.requestLimit()
	w.attempts.RecordBeside(result)
	if len(w.successors) > 0 && (result == tries.ResultDeclined || result == tries.ResultUnsent) {
		w.arm(0)
	}
}

func (w *watchdog) anySuccessor() *successor {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.successors) == 0 {
		w.stopped = true
		return nil
	}
	return w.successors[0]
}

// finishCheck cancels the attempt or waits on, unless it has ended or made progress since the check began. A
// response that has begun since then has moved the limit.
func (w *watchdog) finishCheck(dueAt time.Time, mayCancel bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopped || !w.dueAt.Equal(dueAt) {
		return
	}
	if mayCancel && !time.Now().Before(w.limit) {
		w.cause = w.lifecycle.causeAt(w.limit)
		w.cancel()
		w.limit = w.requestLimit()
		if len(w.successors) == 0 || !time.Now().Before(w.limit) {
			return
		}
	}
	w.arm(min(w.timeout, recheckInterval))
}

// requestLimit returns the time at which attempts at all upstreams end. The caller holds the mutex.
func (w *watchdog) requestLimit() time.Time {
	if w.started {
		return w.lifecycle.deadline
	}
	return w.lifecycle.firstEventLimit()
}

// fired returns why the watchdog has canceled the attempt, or an empty cause.
func (w *watchdog) fired() cause {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cause
}

func (w *watchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	w.dropSuccessors()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// failures returns the attempts at other upstreams that have failed, and how many of them had when the watched
// attempt ended.
func (w *watchdog) failures() (failed []failedSuccessor, before int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failed, w.failedBefore
}

// reserveRetry reserves the place at another upstream that can take the request at once, and takes the
// retry from the budget. It returns nil without both. The requests of a silent upstream look for one at the
// same moment, and a retry must not be spent on a place that another one takes.
func (l *lifecycle) reserveRetry(reqs target.Requirements) *target.InFlight {
	l.handler.reserving.Lock()
	defer l.handler.reserving.Unlock()
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
		return nil
	}
	f, _ := l.choose(clocks.Now(), reqs)
	return f
}

// releasePrepared ends a prepared attempt that isn't needed.
func (l *lifecycle) releasePrepared() {
	if s := l.prepared.Swap(nil); s != nil {
		s.discard()
	}
}

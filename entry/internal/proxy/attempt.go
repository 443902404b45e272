package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/events"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// dialTimeout bounds the wait for a connection to an upstream. It covers several round
// trips but no retransmission of a lost packet.
const dialTimeout = 300 * time.Millisecond

// attempt sends the request to an upstream and forwards the response.
func (l *lifecycle) attempt(ctx context.Context, f *target.InFlight) tries.Result {
	l.attempted = append(l.attempted, f.Row.ID)
	l.recordAsked(f.Row.ID, false)
	if !l.counted {
		l.counted = true
		l.handler.metrics.waitTime.RecordDuration(time.Since(l.arrived))
		l.handler.recordRequest(l.pool.Name)
	}
	l.survived, l.sentAt = false, clocks.Now()
	// Counts only if the exchange panics.
	defer f.Finish(l.sentAt, target.OutcomeNeutral)
	outer := ctx
	s := l.prepared.Swap(nil)
	if s == nil {
		s = &successor{inFlight: f, sentAt: l.sentAt}
		s.request, s.cancel = context.WithCancel(ctx)
	} else {
		l.sentAt = s.sentAt
	}
	defer s.cancel()
	wd := newWatchdog(l, outer, s.cancel)
	defer wd.stop()
	result, outcome, err := l.exchange(s.request, s, wd)
	e := l.endOf(s, result, l.causeOf(outer, s.request, wd, result))
	switch {
	case outcome == target.OutcomeFailed && errors.Is(outer.Err(), context.Canceled):
		outcome = target.OutcomeNeutral
	case outcome == target.OutcomeFailed && wd.fired() != "":
		outcome = target.OutcomeTimeout
	}
	f.Finish(clocks.Now(), outcome)
	l.logAttempt(f, result, l.sentAt, e, err)
	l.recordAsked(f.Row.ID, l.prepared.Load() != nil || errors.Is(err, conns.ErrTooLate))
	if result != tries.ResultAnswered {
		wd.awaitSuccessors(result)
	}
	wd.stop()
	l.recordBeside(wd.failures())
	return result
}

// recordBeside records the attempts beside another one that have failed or were canceled, and how many of them
// had when that one ended.
func (l *lifecycle) recordBeside(failed []failedSuccessor, before int) {
	for i, b := range failed {
		s := b.successor
		l.attempts.RecordBeside(b.result)
		l.attempted = append(l.attempted, s.inFlight.Row.ID)
		l.recordAsked(s.inFlight.Row.ID, b.isCanceled)
		if !b.isCanceled {
			// A canceled attempt may still be ending.
			l.lastFailure = cmp.Or(l.lastFailure, s.failure)
		}
		if i >= before && b.cause != "" {
			l.cause, l.logFields = b.cause, attemptFields(s.inFlight, s.sentAt)
		}
	}
}

// recordAsked records an attempt at an upstream, and whether the entry has canceled it for another one or was too
// late to send it.
func (l *lifecycle) recordAsked(id string, isCanceled bool) {
	l.canceled = slices.DeleteFunc(l.canceled, func(i string) bool { return i == id })
	if isCanceled {
		l.canceled = append(l.canceled, id)
	}
}

// exchange sends the request and returns the result of the attempt.
func (l *lifecycle) exchange(ctx context.Context, s *successor, wd *watchdog) (tries.Result, target.Outcome, error) {
	f := s.inFlight
	if s.response != nil {
		defer s.response.Close()
		wd.reset(l.gapTimeout(), l.deadline)
		if s.unary != nil {
			return l.finishUnary(wd, s.response, s.reply, s.unary)
		}
		return l.forwardStream(ctx, f, wd, s.response, s.reply, s.events)
	}
	conn, err := l.connect(ctx, f)
	if err != nil {
		return l.connectFailed(ctx, f, err)
	}
	wd.reset(l.firstByteTimeout(f), earliest(l.startLimit(f), l.stallEnd()))
	f.OnStartDeadline(wd.shorten)
	s.attempt = l.buildAttempt(f, l.stream.lastEventID, l.level, l.levels)
	response, err := l.send(ctx, conn, s)
	s.response = response
	if err != nil {
		return l.responseLost(ctx, f, err)
	}
	defer response.Close()
	reply := l.handler.options.UpstreamCodec.ClassifyResponse(&l.call, response.Status, response.Header)
	if result, outcome, err := l.classify(f, response, reply); err != nil {
		return result, outcome, err
	}
	if l.admission.Route.Stream && reply.Success {
		return l.forwardStream(ctx, f, wd, response, reply, &eventSource{reader: events.NewReader(response.Body, l.handler.events)})
	}
	if l.stream.started {
		return failedWithinStream(response.Status)
	}
	return l.forwardUnary(ctx, f, wd, response, reply)
}

// send sends the request of an attempt and returns the head of the response.
func (l *lifecycle) send(ctx context.Context, conn *conns.Conn, s *successor) (*conns.Response, error) {
	s.attempt.Remaining = time.Until(l.deadline)
	r := l.handler.options.UpstreamCodec.BuildRequest(&l.call, s.attempt)
	r.MayBeSent = s.inFlight.MayBeSent
	return conn.Do(ctx, r)
}

// buildAttempt returns what the request to an upstream says beside the call and the time that is left.
func (l *lifecycle) buildAttempt(f *target.InFlight, lastEventID string, level, levels int) calls.Attempt {
	a := calls.Attempt{Upstream: f.Row, LastEventID: lastEventID}
	if l.admission.Workspace != nil {
		a.Workspace = l.admission.Workspace.Name
	}
	if f.ExactVersion {
		a.Version = f.Version
	}
	if levels > 1 {
		a.Priority, a.HasPriority = level, true
	}
	return a
}

// classify records what a response says of its upstream. The error is not nil if it isn't an answer to
// the request.
func (l *lifecycle) classify(f *target.InFlight, response *conns.Response, reply calls.Reply) (tries.Result, target.Outcome, error) {
	l.recordDemands(f, reply)
	switch reply.Kind {
	case calls.ReplyMoved:
		response.Discard()
		return tries.ResultDeclined, target.OutcomeMismatch, declinedError(response.Status)
	case calls.ReplyDeclined:
		response.Discard()
		return tries.ResultDeclined, target.OutcomeShed, declinedError(response.Status)
	case calls.ReplyMismatched:
		return tries.ResultLost, target.OutcomeFailed, errMismatched
	}
	f.RecordVersion(clocks.Now(), reply.Version)
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// failedWithinStream returns the result of an upstream that was to resume a stream and failed. Its
// response can't be forwarded, since only events may follow the head of a stream.
func failedWithinStream(status int) (tries.Result, target.Outcome, error) {
	outcome := target.OutcomeNeutral
	if status >= http.StatusInternalServerError {
		outcome = target.OutcomeFailed
	}
	return tries.ResultFailed, outcome, fmt.Errorf("status %d within a stream", status)
}

func (l *lifecycle) connect(ctx context.Context, f *target.InFlight) (*conns.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	// A request that must run at most once gets a new connection: on a reused one it could
	// be lost without a trace if the upstream closes it.
	return l.handler.options.Conns.Acquire(ctx, f.Row.Address, !l.admission.Route.IsRetryable())
}

func (l *lifecycle) connectFailed(ctx context.Context, f *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	if ctx.Err() != nil {
		return tries.ResultUnsent, target.OutcomeNeutral, err
	}
	if isConnectionRefused(err) {
		l.handler.options.Crashes.RecordCrash(f.Row.ID, "connection refused")
	}
	return tries.ResultUnsent, target.OutcomeConnectFailed, err
}

// responseLost classifies a request that got no response.
func (l *lifecycle) responseLost(ctx context.Context, f *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	var lost *conns.LostError
	if errors.As(err, &lost) && lost.State == conns.SendStateUnsent {
		return tries.ResultUnsent, target.OutcomeNeutral, err
	}
	if ctx.Err() != nil {
		return tries.ResultLost, target.OutcomeFailed, err
	}
	l.recordSuspect(f)
	return tries.ResultLost, target.OutcomeFailed, err
}

// recordSuspect records that the request may have crashed the upstream, and probes the
// upstream for evidence.
func (l *lifecycle) recordSuspect(f *target.InFlight) {
	identity := l.identity
	if l.survived {
		identity.Parts = nil
	}
	l.suspect(f, identity, l.sentAt)
}

func (l *lifecycle) suspect(f *target.InFlight, identity crash.Request, sentAt time.Time) {
	if f.Row.Draining || l.handler.options.Fleet.IsLeaving(f.Row.ID) {
		return
	}
	l.suspected.Store(true)
	l.handler.metrics.suspects.Inc(1)
	l.handler.options.Crashes.RecordLoss(identity, f.Row.ID, sentAt)
	p := &probe{handler: l.handler, row: f.Row}
	go p.run()
}

// recordSurvival records that the upstream has written a response to the prompt and lives.
func (l *lifecycle) recordSurvival() {
	if !l.survived {
		l.survived = true
		l.handler.options.Crashes.RecordSurvival(l.identity)
	}
}

// recordAnswer records that the upstream has written a whole response to the request and lives. Where a
// response ends with its connection, the end may be that of an upstream that crashed.
func (l *lifecycle) recordAnswer(response *conns.Response, isWhole bool) {
	if isWhole && !response.IsCloseDelimited() {
		l.handler.options.Crashes.RecordAnswer(l.identity)
	}
}

// startLimit returns the time by which a response must have begun.
func (l *lifecycle) startLimit(f *target.InFlight) time.Time {
	if !f.StartDeadline.IsZero() && f.StartDeadline.Before(l.deadline) {
		return f.StartDeadline
	}
	return l.deadline
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// firstByteTimeout returns how long to wait for the first byte of a response before another
// upstream is tried.
func (l *lifecycle) firstByteTimeout(f *target.InFlight) time.Duration {
	remaining := time.Until(l.startLimit(f))
	route := l.admission.Route
	if !route.IsRetryable() {
		return remaining
	}
	if !l.attempts.MayRunBeside(time.Now()) {
		return remaining
	}
	if l.pool.Engine == nil {
		return min(remaining*2/5, plainTimeoutFactor*l.objective())
	}
	timeout := min(remaining/2, max(engineTimeoutFactor*f.Predicted, l.objective())+engineTimeoutSlack)
	// A stream can't be continued on a later version, so that this is the last time to ask another engine.
	if lastAt := time.Until(f.Cutoff) - cutoffLead; l.stream.started && lastAt > 0 {
		timeout = min(timeout, lastAt)
	}
	return timeout
}

const (
	// plainTimeoutFactor is how many latency objectives to wait for a plain service while
	// another one can be tried.
	plainTimeoutFactor = 2
	// engineTimeoutFactor is how many times the predicted time to the first event to wait
	// for an engine; engineTimeoutSlack is added.
	engineTimeoutFactor = 3
	engineTimeoutSlack  = 400 * time.Millisecond
	// cutoffLead is how long before the cut-off of its version another engine is asked to continue a stream.
	cutoffLead = 20 * time.Millisecond
)

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

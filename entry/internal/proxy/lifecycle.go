package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/state"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

const (
	// dialTimeout bounds the wait for a connection to an upstream. It covers several round
	// trips but no retransmission of a lost packet.
	dialTimeout = 300 * time.Millisecond
	// capacityWaitDivisor divides the latency objective: the result is how long a request
	// may wait for free capacity before it is refused.
	capacityWaitDivisor = 8
	// capacityPollInterval is the time between two checks for free capacity.
	capacityPollInterval = 5 * time.Millisecond
	// defaultObjective is the latency objective of routes without one.
	defaultObjective = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request that was refused
	// because of load.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retriesPerTimeout is the minimum number of such waits that fit into a client's
	// timeout.
	retriesPerTimeout = 3
	// holdSpread is the time over which clients return that were refused because of holds.
	holdSpread = time.Second
	// noUpstreamRetryAfter is when to retry if no upstream is available.
	noUpstreamRetryAfter = 1600 * time.Millisecond
)

// lifecycle is the state of one request.
type lifecycle struct {
	handler   *Handler
	writer    http.ResponseWriter
	arrived   time.Time
	deadline  time.Time
	view      View
	call      calls.Call
	admission Admission
	pool      *state.Pool
	attempts  *tries.Attempts
	attempted []string
	// identity identifies the request and the parts of its prompt in the crash marks.
	identity crash.Request
	// sentAt is when the attempt began.
	sentAt time.Time
	// survived is set once the upstream of the attempt has survived the prompt.
	survived bool
	stream   streamWriter
	// lastFailure is an upstream's failure response, which is forwarded if no other attempt
	// succeeds.
	lastFailure *bufferedResponse
	// reserved is the next attempt if it was chosen, and its retry taken from the budget, before the
	// last one was given up.
	reserved atomic.Pointer[target.InFlight]
	// isRetry is true if the client was refused before.
	isRetry bool
	// level is the urgency of the request among the levels of its pool, levelReserve the slots of
	// each engine that were reserved against it.
	level, levels int
	levelReserve  float64
	// counted is true once the first attempt has been counted.
	counted bool
	status  int
	// ending is how the request ended, for the log.
	ending    string
	refusal   *calls.Refusal
	events    int
	firstByte time.Duration
	// maxGap is the longest time between two events, lastEventAt the time of the last one.
	maxGap      time.Duration
	lastEventAt time.Time
	logFields   []zap.Field
}

// Endings of requests, for the log. A broken response is aborted towards the client.
const (
	endingAnswered = "answered"
	endingBroken   = "broken"
)

// run serves an admitted request to its end.
func (l *lifecycle) run(ctx context.Context) {
	route := l.admission.Route
	l.stream = streamWriter{writer: l.writer, lastEventID: l.call.LastEventID}
	l.identity = crash.NewRequest(l.call.Target, l.call.Credential, l.call.Body, l.call.PromptParts)
	l.attempts = tries.New(route, l.deadline)
	defer l.releaseReserved()
	ctx, cancel := context.WithDeadline(ctx, l.deadline)
	defer cancel()
	if l.handler.options.Crashes.IsQuarantined(l.identity) {
		l.refuse(calls.NotRun(calls.ReasonQuarantined, maxRetryAfter, "the request has crashed upstreams"))
		return
	}
	for {
		inFlight, refusal := l.acquireUpstream(ctx)
		if inFlight == nil {
			l.finish(l.attempts.NextUnplaced(), refusal)
			return
		}
		result := l.attempt(ctx, inFlight)
		if l.ending == endingBroken {
			panic(http.ErrAbortHandler)
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			l.abandon()
			return
		}
		if l.ending != "" {
			return
		}
		step := l.attempts.Next(time.Now(), result, l.trySpend)
		if step != tries.StepRetry {
			l.finish(step, nil)
			return
		}
		l.handler.metrics.retries.Inc(1)
		if l.stream.started {
			l.handler.metrics.resumed.Inc(1)
		}
		if l.handler.options.Crashes.IsQuarantined(l.identity) {
			l.finish(l.attempts.NextUnplaced(), calls.NotRun(calls.ReasonQuarantined, maxRetryAfter, "the request has crashed upstreams"))
			return
		}
	}
}

func (l *lifecycle) trySpend() bool {
	return l.reserved.Load() != nil || l.handler.trySpend(l.pool.Name)
}

// acquireUpstream chooses an upstream. If no engine has free capacity it waits for a short
// while.
func (l *lifecycle) acquireUpstream(ctx context.Context) (*target.InFlight, *calls.Refusal) {
	if f := l.reserved.Swap(nil); f != nil {
		return f, nil
	}
	if l.pool == nil && !l.choosePool() {
		return nil, noPoolRefusal()
	}
	l.isRetry = l.handler.timeouts.IsRetry(l.admission.Route.Name, &l.call)
	reqs := l.requirements()
	if reqs.Levels > 1 {
		return l.acquireByLevel(ctx, reqs)
	}
	until := l.arrived.Add(l.objective() / capacityWaitDivisor)
	var grant target.GrantRequest
	for {
		if !l.isRetry {
			reqs.Remaining = l.poolObjective() - time.Since(l.arrived)
		}
		now := clocks.Now()
		reqs.Homes = l.homes()
		f, full := l.choose(now, reqs)
		if f != nil {
			return f, nil
		}
		limited, hasLimited := l.handler.options.Fleet.AwaitLimited(now, reqs, &grant)
		next := capacityPollInterval
		if full == 0 {
			next = max(next, limited)
		}
		canWait := full > 0 || hasLimited
		if !canWait || time.Now().Add(next).After(until) || !clocks.Sleep(ctx, capacityPollInterval) {
			l.handler.metrics.countExclusions(l.handler.options.Fleet.Exclusions(clocks.Now(), reqs))
			return nil, l.placementRefusal(reqs, full, limited, hasLimited)
		}
	}
}

// requirements returns what the request needs from its next upstream.
func (l *lifecycle) requirements() target.Requirements {
	r := target.Requirements{
		Pool: l.pool, Model: l.call.Model, PromptTokens: l.call.Prompt, Version: l.stream.version, Exclude: l.attempted,
		MaxEventGap: l.admission.Route.MaxEventGap, Homes: l.homes(),
	}
	if l.pool.Engine != nil {
		l.level, l.levels = l.handler.options.Mirror.Snapshot().Urgency(l.pool.Name, l.admission.Route, l.admission.Workspace)
	}
	if l.levels > 1 {
		r.Level, r.Levels, r.Returned = l.level, l.levels, l.isRetry
	}
	if l.admission.Workspace != nil {
		r.Workspace = l.admission.Workspace.Name
	}
	return r
}

// homes returns the regions that may serve the request. The configuration in force decides, and that
// of the request's arrival where it no longer lists the route or the key.
func (l *lifecycle) homes() state.Homes {
	route, workspace := l.admission.Route, l.admission.Workspace
	s := l.handler.options.Mirror.Snapshot()
	if r := s.Match(l.call.Host, l.call.Path); r != nil {
		route = r
	}
	if workspace != nil {
		if w := s.Workspace(l.call.Credential); w != nil {
			workspace = w
		}
	}
	return state.HomesOf(route, workspace)
}

// choose assigns the request to an upstream. If the engines that could serve it are full, it
// returns the time after which one may not be.
func (l *lifecycle) choose(now time.Time, reqs target.Requirements) (*target.InFlight, time.Duration) {
	if l.pool.Engine == nil {
		return l.handler.options.Fleet.ChoosePlain(now, reqs), 0
	}
	return l.handler.options.Fleet.ChooseEngine(now, reqs)
}

func (l *lifecycle) objective() time.Duration {
	if o := l.admission.Route.Objective; o > 0 {
		return o
	}
	return defaultObjective
}

// poolObjective returns the objective by which requests to the pool are admitted. All
// requests share it; otherwise those with a longer one would take the capacity of the
// others.
func (l *lifecycle) poolObjective() time.Duration {
	if o := l.view.State.Objective(l.pool.Name); o > 0 {
		return o
	}
	return l.objective()
}

// retryAfter returns when a client that was refused because of load should retry: when
// there will be capacity, but not so early that IsRetry can't tell the retry, which goes
// first, from a first request. The times are spread, so that requests refused together
// aren't retried together.
func (l *lifecycle) retryAfter(wait time.Duration) time.Duration {
	shortest, longest := l.shortestReturn(), maxRetryAfter
	if timeout := l.call.Timeout; timeout > 0 {
		longest = min(longest, timeout/retriesPerTimeout)
	}
	spread := time.Duration(l.handler.options.Random() * float64(longest-shortest))
	return min(max(wait, shortest)+max(spread, 0), max(longest, shortest))
}

// shortestReturn returns the shortest time after which a client may return, so that IsRetry can tell the
// retry.
func (l *lifecycle) shortestReturn() time.Duration {
	return max(minRetryAfter, time.Duration(timeoutSpreadRatio*float64(l.call.Timeout)))
}

// listedTargets returns the route's pools that are listed, and the sum of their weights.
func (l *lifecycle) listedTargets() ([]state.Target, int) {
	var listed []state.Target
	sum := 0
	for _, g := range l.admission.Route.Targets {
		if l.view.State.Pool(g.Pool) != nil {
			listed = append(listed, g)
			sum += g.Weight
		}
	}
	return listed, sum
}

// choosePool draws one of the route's pools by weight.
func (l *lifecycle) choosePool() bool {
	listed, sum := l.listedTargets()
	at := int(l.handler.options.Random() * float64(sum))
	for _, g := range listed {
		if at < g.Weight {
			l.pool = l.view.State.Pool(g.Pool)
			return true
		}
		at -= g.Weight
	}
	return false
}

// finish ends the request after its last attempt.
func (l *lifecycle) finish(step tries.Step, refusal *calls.Refusal) {
	reason := l.attempts.Reason(time.Now())
	switch {
	case step == tries.StepAbort || l.stream.started:
		l.ending = endingBroken
		panic(http.ErrAbortHandler)
	case l.lastFailure != nil:
		l.writeResponse(l.lastFailure)
	case step == tries.StepRefuse && refusal != nil:
		l.refuse(refusal)
	case step == tries.StepRefuse:
		l.refuse(calls.NotRun(reason, l.retryAfter(0), "no upstream took the request"))
	default:
		l.refuse(calls.Unknown(reason, 0, "the request may have run"))
	}
}

// abandon ends a request whose client has disconnected. A client that has closed only its sending
// direction would get an empty success if the handler returned.
func (l *lifecycle) abandon() {
	if l.ending == "" {
		l.ending = "left"
	}
	if l.ending != endingAnswered {
		panic(http.ErrAbortHandler)
	}
}

// contain ends a request whose handling has panicked. It is deferred.
func (l *lifecycle) contain() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	l.handler.options.Log.Error("handler-panicked", zap.String("id", string(l.call.ID)), zap.Any("cause", cause), zap.Stack("stack"))
	if l.status != 0 {
		l.ending = endingBroken
		panic(http.ErrAbortHandler)
	}
	l.refuse(calls.Unknown(calls.ReasonLost, 0, "the handler failed"))
}

func (l *lifecycle) refuse(r *calls.Refusal) {
	l.ending, l.refusal = string(r.Outcome), r
	l.status = calls.StatusOf(r)
	l.handler.options.ClientCodec.WriteRefusal(l.writer, &l.call, r)
}

// attempt sends the request to an upstream and forwards the response.
func (l *lifecycle) attempt(ctx context.Context, f *target.InFlight) tries.Result {
	l.attempted = append(l.attempted, f.Row.ID)
	if !l.counted {
		l.counted = true
		l.handler.metrics.waitTime.RecordDuration(time.Since(l.arrived))
		l.handler.recordRequest(l.pool.Name)
	}
	l.survived, l.sentAt = false, clocks.Now()
	// Counts only if the exchange panics.
	defer f.Finish(l.sentAt, target.OutcomeNeutral)
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wd := newWatchdog(l, cancel)
	defer wd.stop()
	result, outcome, err := l.exchange(ctx, f, wd)
	switch {
	case outcome == target.OutcomeFailed && errors.Is(outer.Err(), context.Canceled):
		outcome = target.OutcomeNeutral
	case outcome == target.OutcomeFailed && wd.hasFired():
		outcome = target.OutcomeTimeout
	}
	f.Finish(clocks.Now(), outcome)
	l.logAttempt(f, result, l.sentAt, err)
	return result
}

// exchange sends the request and returns the result of the attempt.
func (l *lifecycle) exchange(ctx context.Context, f *target.InFlight, wd *watchdog) (tries.Result, target.Outcome, error) {
	conn, err := l.connect(ctx, f)
	if err != nil {
		return l.connectFailed(ctx, f, err)
	}
	wd.reset(l.firstByteTimeout(f), l.startLimit(f))
	f.OnStartDeadline(wd.shorten)
	a := calls.Attempt{Upstream: f.Row, Remaining: time.Until(l.deadline), LastEventID: l.stream.lastEventID}
	if l.admission.Workspace != nil {
		a.Workspace = l.admission.Workspace.Name
	}
	if f.ExactVersion {
		a.Version = f.Version
	}
	if l.levels > 1 {
		a.Priority, a.HasPriority = l.level, true
	}
	response, err := conn.Do(ctx, l.handler.options.UpstreamCodec.BuildRequest(&l.call, a))
	if err != nil {
		return l.responseLost(ctx, f, err)
	}
	defer response.Close()
	reply := l.handler.options.UpstreamCodec.ClassifyResponse(&l.call, response.Status, response.Header)
	l.recordDemands(f, reply)
	switch reply.Kind {
	case calls.ReplyDeclined, calls.ReplyMoved:
		response.Discard()
		if reply.Kind == calls.ReplyMoved {
			return tries.ResultDeclined, target.OutcomeMismatch, declinedError(response.Status)
		}
		return tries.ResultDeclined, target.OutcomeShed, declinedError(response.Status)
	case calls.ReplyMismatched:
		return tries.ResultLost, target.OutcomeFailed, errMismatched
	}
	f.RecordVersion(clocks.Now(), reply.Version)
	if l.admission.Route.Stream && reply.Success {
		return l.forwardStream(ctx, f, wd, response, reply)
	}
	return l.forwardUnary(ctx, f, wd, response, reply)
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
	if f.Row.Draining || l.handler.options.Fleet.IsLeaving(f.Row.ID) {
		return
	}
	l.handler.metrics.suspects.Inc(1)
	identity := l.identity
	if l.survived {
		identity.Parts = nil
	}
	l.handler.options.Crashes.RecordLoss(identity, f.Row.ID, l.sentAt)
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

// startLimit returns the time by which a response must have begun.
func (l *lifecycle) startLimit(f *target.InFlight) time.Time {
	if !f.StartDeadline.IsZero() && f.StartDeadline.Before(l.deadline) {
		return f.StartDeadline
	}
	return l.deadline
}

// firstByteTimeout returns how long to wait for the first byte of a response before another
// upstream is tried.
func (l *lifecycle) firstByteTimeout(f *target.InFlight) time.Duration {
	remaining := time.Until(l.startLimit(f))
	route := l.admission.Route
	if !route.IsRetryable() {
		return remaining
	}
	if l.attempts.Count()+1 >= route.MaxAttempts {
		return remaining
	}
	if l.pool.Engine == nil {
		return min(remaining*2/5, plainTimeoutFactor*l.objective())
	}
	return min(remaining/2, max(engineTimeoutFactor*f.Predicted, l.objective())+engineTimeoutSlack)
}

const (
	// plainTimeoutFactor is how many latency objectives to wait for a plain service while
	// another one can be tried.
	plainTimeoutFactor = 2
	// engineTimeoutFactor is how many times the predicted time to the first event to wait
	// for an engine; engineTimeoutSlack is added.
	engineTimeoutFactor = 3
	engineTimeoutSlack  = 400 * time.Millisecond
)

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

package proxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/crash"
	"currantport.example/core/state"
	"currantport.example/core/tries"
	"currantport.example/core/watch"
	"currantport.example/entry/internal/target"
)

const (
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
	// minSpreadDivisor divides the range of such waits. The result is the least part of it over
	// which clients are spread.
	minSpreadDivisor = 4
	// holdSpread is the time over which clients return that were refused because of holds.
	holdSpread = time.Second
	// noUpstreamRetryAfter is when to retry if no upstream is available.
	noUpstreamRetryAfter = 1600 * time.Millisecond
)

// lifecycle is the state of one request.
type lifecycle struct {
	handler *Handler
	writer  http.ResponseWriter
	// conn is the connection of the client, or nil if it isn't watched.
	conn      *watch.Conn
	arrived   time.Time
	deadline  time.Time
	view      View
	call      calls.Call
	admission Admission
	pool      *state.Pool
	attempts  *tries.Attempts
	attempted []string
	// canceled are those of them whose last attempt the entry has canceled for another one, or was too late to
	// send. They may be asked again if no other one takes the request.
	canceled []string
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
	// freeBytes frees the memory of the request body. It is nil until the body is read.
	freeBytes func()
	// buffer tells whether the request may buffer a long response.
	buffer atomic.Int32
	// suspected is set once an upstream was lost with the request.
	suspected atomic.Bool
	// prepared is the next attempt if it has begun to respond before the last one was given up.
	prepared atomic.Pointer[successor]
	// ended is set once the server is about to close the connection of the client.
	ended atomic.Bool
	// stage tells whether a part of the response has been written, or never will be.
	stage atomic.Int32
	// isRetry is true if the client was refused before.
	isRetry bool
	// level is the level of urgency of the request, below levels, their number in its pool.
	// levelReserve is how many slots of each engine were last reserved for more urgent requests.
	level, levels int
	levelReserve  float64
	// counted is true once the first attempt has been counted.
	counted bool
	status  int
	// ending is how the request ended, for the log.
	ending string
	// cause is what ended the request or its last attempt.
	cause     cause
	refusal   *calls.Refusal
	events    int
	firstByte time.Duration
	// maxGap is the longest time between two events, lastEventAt the time of the last one.
	maxGap      time.Duration
	lastEventAt time.Time
	// silence is how long the client had received nothing when it left.
	silence   time.Duration
	logFields []zap.Field
}

// Endings of requests, for the log. A broken response is aborted towards the client, and endingLeft means
// that the client has closed its connection first.
const (
	endingAnswered = "answered"
	endingBroken   = "broken"
	endingLeft     = "left"
	// endingUnwritten means that the response couldn't be written to the client.
	endingUnwritten = "unwritten"
)

// The stages of a response. When the server is about to close the connections, the request is answered at once
// if its response hasn't begun.
const (
	stageWaiting int32 = iota
	stageBegun
	stageEnded
)

// beginResponse reports whether a part of the response may be written.
func (l *lifecycle) beginResponse() bool {
	return l.stage.CompareAndSwap(stageWaiting, stageBegun) || l.stage.Load() == stageBegun
}

// run serves an admitted request to its end.
func (l *lifecycle) run(ctx context.Context) {
	route := l.admission.Route
	l.stream = streamWriter{writer: l.writer, lastEventID: l.call.LastEventID}
	l.identity = crash.NewRequest(l.call.Target, l.call.Credential, l.call.Body, l.call.PromptParts)
	l.attempts = tries.New(route, l.deadline)
	defer l.releasePrepared()
	ctx, cancel := context.WithDeadline(ctx, l.deadline)
	defer cancel()
	stop := context.AfterFunc(l.handler.ending, func() {
		l.ended.Store(true)
		if l.stage.CompareAndSwap(stageWaiting, stageEnded) {
			cancel()
		}
	})
	defer stop()
	if l.handler.options.Crashes.IsQuarantined(l.identity) {
		l.refuse(calls.NotRun(calls.ReasonQuarantined, maxRetryAfter, "the request has crashed upstreams"))
		return
	}
	for {
		inFlight := l.place(ctx)
		if inFlight == nil {
			return
		}
		result := l.attempt(ctx, inFlight)
		if l.ending == endingBroken {
			panic(http.ErrAbortHandler)
		}
		if l.hasLeft(ctx) {
			l.abandon()
			return
		}
		if l.ending != "" {
			return
		}
		step := l.next(result)
		if step != tries.StepRetry {
			l.finish(step, nil)
			return
		}
		l.handler.metrics.retries.Inc(1)
		if l.stream.started {
			l.handler.metrics.resumed.Inc(1)
		}
		if l.prepared.Load() == nil && l.handler.options.Crashes.IsQuarantined(l.identity) {
			l.finish(l.attempts.NextUnplaced(), calls.NotRun(calls.ReasonQuarantined, maxRetryAfter, "the request has crashed upstreams"))
			return
		}
	}
}

// next returns the step after an attempt. One that has begun to respond beside it takes its place.
func (l *lifecycle) next(result tries.Result) tries.Step {
	switch {
	case l.prepared.Load() == nil:
	case l.ended.Load():
		l.cause = causeStop
		// The next attempt isn't used, but its upstream has run the request.
		l.attempts.RecordBeside(tries.ResultLost)
	default:
		l.attempts.RecordBeside(result)
		return tries.StepRetry
	}
	return l.attempts.Next(time.Now(), result, l.trySpend)
}

// place acquires the upstream of the next attempt. It returns nil if it has ended the request instead.
func (l *lifecycle) place(ctx context.Context) *target.InFlight {
	if s := l.prepared.Load(); s != nil {
		return s.inFlight
	}
	if l.isStalled() {
		l.finishUnplaced(nil)
		return nil
	}
	if refusal := l.leavingRefusal(); refusal != nil {
		l.finishUnplaced(refusal)
		return nil
	}
	f, refusal := l.acquireUpstream(ctx)
	if l.hasLeft(ctx) {
		if f != nil {
			f.Finish(clocks.Now(), target.OutcomeNeutral)
		}
		l.abandon()
		return nil
	}
	if f == nil {
		l.finishUnplaced(refusal)
	}
	return f
}

// hasLeft reports whether the client has left, by the context of the request.
func (l *lifecycle) hasLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !l.ended.Load()
}

func (l *lifecycle) trySpend() bool {
	return !l.ended.Load() && !l.isStalled() && l.handler.trySpend(l.pool.Name)
}

// acquireUpstream chooses an upstream. If no engine has free capacity it waits for a short
// while.
func (l *lifecycle) acquireUpstream(ctx context.Context) (*target.InFlight, *calls.Refusal) {
	if l.pool == nil && !l.choosePool() {
		return nil, l.noPoolRefusal()
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
		f, full := l.chooseAgain(now, reqs)
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

// homes returns the regions that may serve the request by the configuration in force. If that no
// longer has the route or the key, the row known at the request's arrival counts.
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

// chooseAgain is choose, where upstreams whose attempts were canceled are a last resort.
func (l *lifecycle) chooseAgain(now time.Time, reqs target.Requirements) (*target.InFlight, time.Duration) {
	f, full := l.choose(now, reqs)
	if f != nil || len(l.canceled) == 0 {
		return f, full
	}
	f, other := l.choose(now, withoutExcluded(reqs, l.canceled))
	return f, cmp.Or(full, other)
}

// withoutExcluded returns the requirements without some of the upstreams that they exclude.
func withoutExcluded(r target.Requirements, ids []string) target.Requirements {
	r.Exclude = slices.DeleteFunc(slices.Clone(r.Exclude), func(id string) bool { return slices.Contains(ids, id) })
	return r
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
// first, from a first request. The times are spread up to the longest one, so that requests
// refused together aren't retried together, also if there is no capacity before that.
func (l *lifecycle) retryAfter(wait time.Duration) time.Duration {
	shortest, longest := l.shortestReturn(), maxRetryAfter
	if timeout := l.call.Timeout; timeout > 0 {
		longest = min(longest, timeout/retriesPerTimeout)
	}
	longest = max(longest, shortest)
	earliest := min(max(wait, shortest), longest-(longest-shortest)/minSpreadDivisor)
	return earliest + time.Duration(l.handler.options.Random()*float64(longest-earliest))
}

// shortestReturn returns the shortest time after which a client may return, so that IsRetry can tell the
// retry.
func (l *lifecycle) shortestReturn() time.Duration {
	return max(minRetryAfter, time.Duration(timeoutSpreadRatio*float64(l.call.Timeout)))
}

// listedTargets returns the route's targets whose pools have a row, and the sum of their weights.
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

// finishUnplaced ends a request that finds no upstream any more.
func (l *lifecycle) finishUnplaced(refusal *calls.Refusal) {
	switch {
	case l.ended.Load():
		l.cause = causeStop
	case !time.Now().Before(l.deadline):
		l.cause = causeDeadline
	case l.isStalled():
		l.cause = causeSilence
	}
	l.finish(l.attempts.NextUnplaced(), refusal)
}

// finish ends the request after its last attempt.
func (l *lifecycle) finish(step tries.Step, refusal *calls.Refusal) {
	reason := l.attempts.Reason(time.Now())
	if l.isStalled() {
		reason = calls.ReasonStalled
	}
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
		l.ending, l.cause, l.silence = endingLeft, causeClient, l.silentFor()
		l.handler.metrics.leftSilence.RecordDuration(l.silence)
	}
	if l.ending != endingAnswered {
		panic(http.ErrAbortHandler)
	}
}

// silentFor returns how long the client has received nothing.
func (l *lifecycle) silentFor() time.Duration {
	if l.events > 0 {
		return time.Since(l.lastEventAt)
	}
	return time.Since(l.arrived)
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
	l.logPanic(cause)
	l.cause = causePanic
	if l.status != 0 {
		l.ending = endingBroken
		panic(http.ErrAbortHandler)
	}
	l.refuse(calls.Unknown(calls.ReasonLost, 0, "the handler failed"))
}

// containBeside keeps a panic beside the handling of a request from ending the process. It is deferred.
func (l *lifecycle) containBeside() {
	if cause := recover(); cause != nil {
		l.logPanic(cause)
	}
}

func (l *lifecycle) logPanic(cause any) {
	l.handler.options.Log.Error("handler-panicked", zap.String("id", string(l.call.ID)), zap.Any("cause", cause), zap.Stack("stack"))
}

func (l *lifecycle) refuse(r *calls.Refusal) {
	l.ending, l.refusal = string(r.Outcome), r
	l.status = calls.StatusOf(r)
	l.handler.options.ClientCodec.WriteRefusal(l.writer, &l.call, r)
}

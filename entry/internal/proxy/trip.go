package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// dialTimeout bounds the wait for a connection to an upstream, which is several
	// round trips away from a lost packet's second try.
	dialTimeout = 300 * time.Millisecond
	// holdShare is the part of the latency objective for which a request may wait
	// for room at an engine before it is refused.
	holdShare = 8
	// holdStep is the time between two looks for room.
	holdStep = 5 * time.Millisecond
	// defaultObjective stands in for routes without an objective.
	defaultObjective = 500 * time.Millisecond
	// comeBackLeast and comeBackMost bound when a refused caller is told to come
	// back.
	comeBackLeast = 250 * time.Millisecond
	comeBackMost  = 2 * time.Second
	// patienceWaits is the least number of such waits that fit into a caller's time.
	patienceWaits = 3
	// noneWait is when to come back if no upstream can answer.
	noneWait = time.Second
)

// trip is one request on its way.
type trip struct {
	courses   *Handler
	writer    http.ResponseWriter
	arrived   time.Time
	deadline  time.Time
	view      View
	call      calls.Call
	admission Admission
	pool      *state.Pool
	tries     *tries.Attempts
	tried     []string
	// fingerprint names the request for the crash marks.
	fingerprint crash.Fingerprint
	sink        sink
	// kept is the failure of an upstream that is handed on if no other try succeeds.
	kept *unary
	// returned tells that the caller has been refused before.
	returned bool
	// began tells that a first sending has been counted.
	began  bool
	status int
	// ending says how the request ended, for the log.
	ending  string
	refusal *calls.Refusal
	events  int
	first   time.Duration
	// pause is the longest time between two events, last when the last one came.
	pause  time.Duration
	last   time.Time
	detail []zap.Field
}

// run serves an admitted request to its end.
func (t *trip) run(ctx context.Context) {
	route := t.admission.Route
	t.sink = sink{writer: t.writer, after: t.call.LastEventID}
	t.fingerprint = crash.FingerprintOf(t.call.Target, t.call.Credential, t.call.Body)
	t.tries = tries.New(route, t.deadline)
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	if t.courses.options.Crashes.IsQuarantined(t.fingerprint) {
		t.refuse(calls.NotRun(calls.ReasonQuarantined, comeBackMost, "the request has crashed upstreams"))
		return
	}
	for {
		flight, refusal := t.place(ctx)
		if flight == nil {
			t.finish(t.tries.NextUnplaced(), refusal)
			return
		}
		result := t.attempt(ctx, flight)
		if errors.Is(ctx.Err(), context.Canceled) {
			t.leave()
			return
		}
		if t.ending != "" {
			return
		}
		step := t.tries.Next(time.Now(), result, t.spend)
		if step != tries.StepRetry {
			t.finish(step, nil)
			return
		}
		t.courses.metrics.again.Inc(1)
		if t.sink.began {
			t.courses.metrics.resumed.Inc(1)
		}
		if t.courses.options.Crashes.IsQuarantined(t.fingerprint) {
			t.finish(t.tries.NextUnplaced(), calls.NotRun(calls.ReasonQuarantined, comeBackMost, "the request has crashed upstreams"))
			return
		}
	}
}

func (t *trip) spend() bool { return t.courses.spend(t.pool.Name) }

// place chooses an upstream. It holds the request for a short while if there is no
// room.
func (t *trip) place(ctx context.Context) (*target.InFlight, *calls.Refusal) {
	if t.pool == nil && !t.choosePool() {
		return nil, calls.NotRun(calls.ReasonNoPool, noneWait, "the route's pools aren't listed")
	}
	if t.pool.Engine == nil {
		if w := t.courses.options.Fleet.ChoosePlain(time.Now(), t.pool.Name, t.tried); w != nil {
			return w, nil
		}
		return nil, calls.NotRun(calls.ReasonNoUpstream, noneWait, "no upstream takes requests")
	}
	need := target.Requirements{
		Pool: t.pool, Model: t.call.Model, PromptTokens: t.call.Prompt, Version: t.sink.version, Exclude: t.tried,
		MaxEventGap: t.admission.Route.MaxEventGap,
	}
	t.returned = t.courses.waits.IsRetry(t.admission.Route.Name, &t.call)
	until := t.arrived.Add(t.objective() / holdShare)
	for {
		if !t.returned {
			need.Remaining = t.shared() - time.Since(t.arrived)
		}
		w, wait := t.courses.options.Fleet.ChooseEngine(time.Now(), need)
		if w != nil {
			return w, nil
		}
		if wait == 0 {
			return nil, calls.NotRun(calls.ReasonNoUpstream, noneWait, "no engine serves the version")
		}
		if time.Now().Add(holdStep).After(until) || !clocks.Sleep(ctx, holdStep) {
			return nil, calls.NotRun(calls.ReasonOverload, t.comeBack(wait), "the engines are full")
		}
	}
}

func (t *trip) objective() time.Duration {
	if o := t.admission.Route.Objective; o > 0 {
		return o
	}
	return defaultObjective
}

// shared returns the objective by which requests to the pool are admitted. It is the same
// for all, or those with a longer one would take the places of the others.
func (t *trip) shared() time.Duration {
	if o := t.view.State.Objective(t.pool.Name); o > 0 {
		return o
	}
	return t.objective()
}

// comeBack returns when a caller that was refused for load should come back: when there
// will be room, but not before it can be told from a caller that comes for the first time,
// who goes first. The times are spread, so that those refused together don't return
// together.
func (t *trip) comeBack(wait time.Duration) time.Duration {
	least, most := comeBackLeast, comeBackMost
	if p := t.call.Timeout; p > 0 {
		least = max(least, time.Duration(patienceSpread*float64(p)))
		most = min(most, p/patienceWaits)
	}
	spread := time.Duration(t.courses.options.Random() * float64(most-least))
	return min(max(wait, least)+max(spread, 0), max(most, least))
}

// choosePool draws one of the route's pools by weight.
func (t *trip) choosePool() bool {
	var listed []state.Target
	sum := 0
	for _, g := range t.admission.Route.Targets {
		if t.view.State.Pool(g.Pool) != nil {
			listed = append(listed, g)
			sum += g.Weight
		}
	}
	at := int(t.courses.options.Random() * float64(sum))
	for _, g := range listed {
		if at < g.Weight {
			t.pool = t.view.State.Pool(g.Pool)
			return true
		}
		at -= g.Weight
	}
	return false
}

// finish ends the request after its last try.
func (t *trip) finish(step tries.Step, refusal *calls.Refusal) {
	reason := t.tries.Reason(time.Now())
	switch {
	case step == tries.StepAbort || t.sink.began:
		t.ending = "broken"
		panic(http.ErrAbortHandler)
	case t.kept != nil:
		t.hand(t.kept)
	case step == tries.StepRefuse && refusal != nil:
		t.refuse(refusal)
	case step == tries.StepRefuse:
		t.refuse(calls.NotRun(reason, t.comeBack(0), "no upstream took the request"))
	default:
		t.refuse(calls.Unknown(reason, 0, "the request may have run"))
	}
}

// leave ends a request whose caller has gone.
func (t *trip) leave() {
	if t.ending == "" {
		t.ending = "left"
	}
	if t.sink.began {
		panic(http.ErrAbortHandler)
	}
}

func (t *trip) refuse(r *calls.Refusal) {
	t.ending, t.refusal = string(r.Outcome), r
	t.status = calls.StatusOf(r)
	t.courses.options.Callers.WriteRefusal(t.writer, &t.call, r)
}

// attempt sends the request to the upstream of a flight and hands the answer on.
func (t *trip) attempt(ctx context.Context, w *target.InFlight) tries.Result {
	t.tried = append(t.tried, w.Row.ID)
	if !t.began {
		t.began = true
		t.courses.metrics.held.RecordDuration(time.Since(t.arrived))
		t.courses.first(t.pool.Name)
	}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := newGuard(cancel)
	defer g.stop()
	start := time.Now()
	result, outcome, err := t.exchange(ctx, w, g)
	switch {
	case outcome == target.OutcomeFailed && errors.Is(outer.Err(), context.Canceled):
		outcome = target.OutcomeNeutral
	case outcome == target.OutcomeFailed && g.fired():
		outcome = target.OutcomeTimeout
	}
	w.Finish(time.Now(), outcome)
	t.logAttempt(w, result, start, err)
	return result
}

// exchange sends the request and returns how that went.
func (t *trip) exchange(ctx context.Context, w *target.InFlight, g *guard) (tries.Result, target.Outcome, error) {
	conn, err := t.connect(ctx, w)
	if err != nil {
		return t.unconnected(ctx, w, err)
	}
	g.reset(t.firstLimit(w))
	a := calls.Attempt{Upstream: w.Row, Remaining: time.Until(t.deadline), LastEventID: t.sink.after}
	if t.admission.Workspace != nil {
		a.Workspace = t.admission.Workspace.Name
	}
	if w.ExactVersion {
		a.Version = w.Version
	}
	answer, err := conn.Do(ctx, t.courses.options.Upstreams.BuildRequest(&t.call, a))
	if err != nil {
		return t.lost(ctx, w, err)
	}
	defer answer.Close()
	reply := t.courses.options.Upstreams.ClassifyResponse(&t.call, answer.Status, answer.Header)
	switch reply.Kind {
	case calls.ReplyDeclined, calls.ReplyMoved:
		drain(answer)
		if reply.Kind == calls.ReplyMoved {
			return tries.ResultDeclined, target.OutcomeMismatch, declinedError(answer.Status)
		}
		return tries.ResultDeclined, target.OutcomeShed, declinedError(answer.Status)
	case calls.ReplyMismatched:
		return tries.ResultLost, target.OutcomeFailed, errForeign
	}
	w.RecordVersion(reply.Version)
	if t.admission.Route.Stream && reply.Success {
		return t.stream(ctx, w, g, answer, reply)
	}
	return t.unary(ctx, w, answer, reply)
}

func (t *trip) connect(ctx context.Context, w *target.InFlight) (*conns.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	// A request that may not run twice gets a connection of its own: on a kept one
	// it could be lost without a word if the upstream closes it.
	return t.courses.options.Conns.Acquire(ctx, w.Row.Address, !t.admission.Route.IsRetryable())
}

func (t *trip) unconnected(ctx context.Context, w *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	if ctx.Err() != nil {
		return tries.ResultUnsent, target.OutcomeNeutral, err
	}
	if isRefused(err) {
		t.courses.options.Crashes.RecordCrash(w.Row.ID, "connection refused")
	}
	return tries.ResultUnsent, target.OutcomeConnectFailed, err
}

// lost judges a request that got no answer.
func (t *trip) lost(ctx context.Context, w *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	var l *conns.LostError
	if errors.As(err, &l) && l.State == conns.SendStateUnsent {
		return tries.ResultUnsent, target.OutcomeNeutral, err
	}
	if ctx.Err() != nil {
		return tries.ResultLost, target.OutcomeFailed, err
	}
	t.suspect(w)
	return tries.ResultLost, target.OutcomeFailed, err
}

// suspect notes that the upstream may have crashed by the request.
func (t *trip) suspect(w *target.InFlight) {
	if w.Row.Draining {
		return
	}
	t.courses.metrics.suspects.Inc(1)
	t.courses.options.Crashes.RecordLoss(t.fingerprint, w.Row.ID)
	p := &probe{courses: t.courses, row: w.Row}
	go p.run()
}

// firstLimit returns how long the first byte of an answer is awaited.
func (t *trip) firstLimit(w *target.InFlight) time.Duration {
	left := time.Until(t.deadline)
	route := t.admission.Route
	if !route.IsRetryable() {
		return left
	}
	if !w.StartDeadline.IsZero() {
		left = min(left, time.Until(w.StartDeadline))
	}
	if t.tries.Count()+1 >= route.MaxAttempts {
		return left
	}
	if t.pool.Engine == nil {
		return min(left*2/5, plainPatience*t.objective())
	}
	return min(left/2, max(enginePatience*w.Predicted, t.objective())+engineSlack)
}

const (
	// plainPatience is the number of latency objectives for which a plain service is
	// awaited while another one may be asked.
	plainPatience = 2
	// enginePatience is the number of predicted times to the first event for which an
	// engine is awaited, and engineSlack is added.
	enginePatience = 3
	engineSlack    = 400 * time.Millisecond
)

// drainBytes bounds what is read of an answer that isn't handed on.
const drainBytes = 16 << 10

// drain reads a short answer to its end, so that its connection can be kept.
func drain(a *conns.Response) {
	_, _ = io.CopyN(io.Discard, a.Body, drainBytes)
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

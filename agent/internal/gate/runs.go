package gate

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/links"
	"currantport.example/core/poison"
	"currantport.example/core/wire"
)

// run is one attempt at the gate.
type run struct {
	gate    *Gate
	message *wire.RunRequest
	request calls.Request
	attempt dedup.Attempt
	// fingerprint is the same for all attempts of the request.
	fingerprint poison.Fingerprint
	replies     *replyStream
	// upstreamLost is set if the connection to the upstream was lost during the
	// run.
	upstreamLost bool
}

// Run implements wire.GateHandler.
func (g *Gate) Run(ctx context.Context, r *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunReply]) error {
	request := requestOf(r.Msg)
	a := &run{
		gate: g, message: r.Msg, request: request, attempt: attemptOf(request), fingerprint: poison.FingerprintOf(request),
		replies: &replyStream{id: r.Msg.Id, stream: s, corker: links.CorkerOf(ctx)},
	}
	g.options.Registry.Merge(poison.Decode(r.Msg.Marks), "an entry")
	return a.serve(ctx)
}

func (r *run) serve(ctx context.Context) error {
	// The request counts before it is admitted. So once a draining gate reports
	// zero in progress, none can start any more.
	r.gate.traffic.Begin()
	defer r.gate.traffic.End()
	decision, ended := r.begin()
	for decision.Action == dedup.ActionJoin {
		if !r.join(ctx, ended) {
			return r.replies.refuse(dedup.Decision{Refusal: calls.Unknown(calls.ReasonRunning, retryAfter, "a request with this key is running")})
		}
		decision, ended = r.begin()
	}
	switch decision.Action {
	case dedup.ActionReplay:
		return r.replies.replay(r.gate.self.Host, r.gate.token(), decision.Response)
	case dedup.ActionStart:
		return r.execute(ctx)
	default:
		return r.replies.refuse(decision)
	}
}

// begin returns the decision on the attempt and, for ActionJoin, the channel that
// is closed when the run in progress ends.
func (r *run) begin() (dedup.Decision, chan struct{}) {
	g := r.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.recordRoute(r.message) {
		return dedup.Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryAfter, "the entry chose by an old routes table")}, nil
	}
	now := time.Now()
	decision := g.memory.Begin(now, r.attempt)
	if decision.Action != dedup.ActionStart {
		return decision, g.waiting[r.attempt.Key]
	}
	if refusal := g.check(r.message); refusal != nil {
		return g.memory.RecordNotRun(now, r.attempt, refusal), nil
	}
	if r.attempt.HasKey() {
		g.waiting[r.attempt.Key] = make(chan struct{})
	}
	return decision, nil
}

// check refuses requests that can't start now.
func (g *Gate) check(m *wire.RunRequest) *calls.Refusal {
	if g.Leaving() {
		return calls.NotRun(calls.ReasonLeaving, retryAfter, "the host is leaving")
	}
	if refusal := g.checkPool(m.Pool); refusal != nil {
		return refusal
	}
	return g.checkVersion(m.Version)
}

// join waits for the end of the run in progress and reports false if the deadline
// passes first.
func (r *run) join(ctx context.Context, ended chan struct{}) bool {
	t := time.NewTimer(time.Until(r.request.Deadline))
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

func (r *run) execute(ctx context.Context) error {
	if r.attempt.HasKey() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), r.request.Deadline.Add(runGrace))
		defer cancel()
	}
	response, refusal := r.callIsolated(ctx)
	decision := r.finish(response, refusal)
	if refusal != nil {
		return r.replies.refuse(decision, r.gate.options.Registry.MarksOf(r.fingerprint)...)
	}
	return r.replies.end(int32(r.gate.InProgress()))
}

// callIsolated runs the request concurrently with others, or alone if it is a
// suspect.
func (r *run) callIsolated(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	registry, isolator := r.gate.options.Registry, r.gate.isolator
	alone, refusal := r.acquire(ctx)
	if refusal != nil {
		return nil, refusal
	}
	defer isolator.release(alone)
	epoch := isolator.currentEpoch()
	response, refusal := r.call(ctx)
	switch {
	case r.upstreamLost && ctx.Err() == nil:
		isolator.endEpoch(epoch)
		r.gate.options.Broadcast(registry.RecordLoss(r.fingerprint, epoch))
	case alone && refusal == nil:
		r.gate.options.Broadcast(registry.Clear(r.fingerprint)...)
	}
	return response, refusal
}

// acquire waits until the request may run and evaluates it again then: another
// attempt of it may have been lost meanwhile.
func (r *run) acquire(ctx context.Context) (alone bool, refusal *calls.Refusal) {
	registry, isolator := r.gate.options.Registry, r.gate.isolator
	for first := true; ; first = false {
		status, wait := registry.Evaluate(r.fingerprint)
		if status == poison.StatusQuarantined {
			return false, calls.NotRun(calls.ReasonQuarantined, wait, "upstreams were lost each time this request ran")
		}
		alone = status == poison.StatusSuspect
		if alone && first {
			sleep(ctx, poison.MarkDelay)
			continue
		}
		if !isolator.acquire(ctx, alone) {
			return false, calls.NotRun(calls.ReasonOverload, retryAfter, "the upstream is busy with a request that must run alone")
		}
		if current, _ := registry.Evaluate(r.fingerprint); current == status {
			return alone, nil
		}
		isolator.release(alone)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// finish records the end of the run and wakes the attempts that wait for it.
func (r *run) finish(response *dedup.Response, refusal *calls.Refusal) dedup.Decision {
	g := r.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if ended := g.waiting[r.attempt.Key]; ended != nil {
		close(ended)
		delete(g.waiting, r.attempt.Key)
	}
	if refusal != nil && refusal.Outcome == calls.OutcomeNotRun {
		return g.memory.RecordNotRun(time.Now(), r.attempt, refusal)
	}
	g.memory.Finish(time.Now(), r.attempt, response)
	return dedup.Decision{Refusal: refusal}
}

// call sends the request to the upstream and forwards the response. It returns the
// response to record, if there is one.
func (r *run) call(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	response, err := r.gate.options.Service.Run(ctx, r.request)
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		return nil, calls.NotRun(calls.ReasonUpstream, retryAfter, err.Error())
	}
	if err != nil {
		var lost *engine.ConnectionLostError
		r.upstreamLost = errors.As(err, &lost)
		return nil, calls.Unknown(calls.ReasonUpstream, retryAfter, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.Version != r.message.Version && r.gate.options.Engine != nil {
		return nil, calls.Unknown(calls.ReasonVersion, retryAfter, "the upstream answered with version "+response.Version)
	}
	if !r.request.Stream {
		// The client receives nothing before the whole response is there, so the
		// head is sent with the first part.
		r.replies.corker.Cork()
	}
	record := &recorder{response: dedup.Response{Version: response.Version, Status: response.Status, Media: response.Media}}
	err = r.replies.start(r.gate.self.Host, r.gate.token(), &record.response, false)
	if err != nil && !r.attempt.HasKey() {
		return nil, calls.Unknown(calls.ReasonCanceled, 0, err.Error())
	}
	return r.forward(response.Body, record)
}

// forward sends the body to the entry. The run of a request with a key continues if
// that fails.
func (r *run) forward(body io.Reader, record *recorder) (*dedup.Response, *calls.Refusal) {
	b := r.gate.buffers.Get().(*partBuffer)
	defer r.gate.buffers.Put(b)
	buffer := b[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 && r.attempt.HasKey() {
			record.add(buffer[:n])
		}
		if n > 0 {
			if sendErr := r.replies.data(buffer[:n]); sendErr != nil && !r.attempt.HasKey() {
				return nil, calls.Unknown(calls.ReasonCanceled, 0, sendErr.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return record.result(), nil
		}
		r.replies.corker.Uncork()
		if err != nil {
			r.upstreamLost = true
			return nil, calls.Unknown(calls.ReasonUpstream, retryAfter, "the answer of the upstream was cut: "+err.Error())
		}
	}
}

const maxRecordBytes = 1 << 20

// recorder records a response of at most maxRecordBytes.
type recorder struct {
	response dedup.Response
	tooLong  bool
}

func (r *recorder) add(data []byte) {
	r.tooLong = r.tooLong || len(r.response.Body)+len(data) > maxRecordBytes
	if r.tooLong {
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, data...)
}

// result returns the response, or nil if it was too long.
func (r *recorder) result() *dedup.Response {
	if r.tooLong {
		return nil
	}
	return &r.response
}

func requestOf(m *wire.RunRequest) calls.Request {
	return calls.Request{
		ID: calls.ID(m.Id), Route: m.Route, Workspace: m.Workspace, Key: calls.Key(m.Key), Token: m.Token,
		Deadline: time.Now().Add(time.Duration(m.Timeout) * time.Millisecond), Priority: int(m.Priority),
		Stream: m.Stream, Media: m.Media, Body: m.Body,
	}
}

func attemptOf(r calls.Request) dedup.Attempt {
	return dedup.Attempt{
		ID: r.ID, Key: dedup.ScopedKeyOf(r), Token: dedup.ParseToken(r.Token),
		Digest: dedup.DigestOf(r.Workspace, r.Route, r.Media, r.Body),
	}
}

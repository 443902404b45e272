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

// suspectDelay is how long a suspect waits before it runs. Meanwhile the marks of
// other attempts that were lost at the same moment arrive.
const suspectDelay = 100 * time.Millisecond

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
	u := &run{
		gate: g, message: r.Msg, request: request, attempt: attemptOf(request), fingerprint: poison.FingerprintOf(request),
		replies: &replyStream{id: r.Msg.Id, stream: s, corker: links.CorkerOf(ctx)},
	}
	g.options.Registry.Merge(poison.Decode(r.Msg.Marks), "an entry")
	return u.serve(ctx)
}

func (u *run) serve(ctx context.Context) error {
	// The request counts before it is admitted. So once a draining gate reports
	// zero in progress, none can start any more.
	u.gate.traffic.Begin()
	defer u.gate.traffic.End()
	decision, ended := u.begin()
	for decision.Action == dedup.ActionJoin {
		if !u.join(ctx, ended) {
			return u.replies.refuse(dedup.Decision{Refusal: calls.Unknown(calls.ReasonRunning, retryBackoff, "a request with this key is running")})
		}
		decision, ended = u.begin()
	}
	switch decision.Action {
	case dedup.ActionReplay:
		return u.replies.replay(u.gate.self.Host, u.gate.token(), decision.Response)
	case dedup.ActionStart:
		return u.execute(ctx)
	default:
		return u.replies.refuse(decision)
	}
}

// begin returns the decision on the attempt and, for ActionJoin, the channel that
// is closed when the run in progress ends.
func (u *run) begin() (dedup.Decision, chan struct{}) {
	g := u.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.recordRoute(u.message) {
		return dedup.Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryBackoff, "the entry chose by an old routes table")}, nil
	}
	now := time.Now()
	decision := g.memory.Begin(now, u.attempt)
	if decision.Action != dedup.ActionStart {
		return decision, g.waiting[u.attempt.Key]
	}
	if refusal := g.check(u.message); refusal != nil {
		return g.memory.RecordNotRun(now, u.attempt, refusal), nil
	}
	if u.attempt.HasKey() {
		g.waiting[u.attempt.Key] = make(chan struct{})
	}
	return decision, nil
}

// check refuses requests that can't start now.
func (g *Gate) check(m *wire.RunRequest) *calls.Refusal {
	if g.Leaving() {
		return calls.NotRun(calls.ReasonLeaving, retryBackoff, "the host is leaving")
	}
	if refusal := g.checkPool(m.Pool); refusal != nil {
		return refusal
	}
	return g.checkVersion(m.Version)
}

// join waits for the end of the run in progress and reports false if the deadline
// passes first.
func (u *run) join(ctx context.Context, ended chan struct{}) bool {
	t := time.NewTimer(time.Until(u.request.Deadline))
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

func (u *run) execute(ctx context.Context) error {
	if u.attempt.HasKey() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), u.request.Deadline.Add(runGrace))
		defer cancel()
	}
	response, refusal := u.callIsolated(ctx)
	decision := u.finish(response, refusal)
	if refusal != nil {
		return u.replies.refuse(decision, u.gate.options.Registry.MarksOf(u.fingerprint)...)
	}
	return u.replies.end(int32(u.gate.InProgress()))
}

// callIsolated runs the request concurrently with others, or alone if it is a
// suspect.
func (u *run) callIsolated(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	registry, isolator := u.gate.options.Registry, u.gate.isolator
	alone, refusal := u.acquire(ctx)
	if refusal != nil {
		return nil, refusal
	}
	defer isolator.release(alone)
	epoch := isolator.currentEpoch()
	response, refusal := u.call(ctx)
	switch {
	case u.upstreamLost && ctx.Err() == nil:
		isolator.endEpoch(epoch)
		u.gate.options.Broadcast(registry.RecordLoss(u.fingerprint, epoch))
	case alone && refusal == nil:
		u.gate.options.Broadcast(registry.Clear(u.fingerprint)...)
	}
	return response, refusal
}

// acquire waits until the request may run and evaluates it again then: another
// attempt of it may have been lost meanwhile.
func (u *run) acquire(ctx context.Context) (alone bool, refusal *calls.Refusal) {
	registry, isolator := u.gate.options.Registry, u.gate.isolator
	for first := true; ; first = false {
		verdict, wait := registry.Evaluate(u.fingerprint)
		if verdict == poison.StatusQuarantined {
			return false, calls.NotRun(calls.ReasonQuarantined, wait, "upstreams were lost each time this request ran")
		}
		alone = verdict == poison.StatusSuspect
		if alone && first {
			sleep(ctx, suspectDelay)
			continue
		}
		if !isolator.acquire(ctx, alone) {
			return false, calls.NotRun(calls.ReasonOverload, retryBackoff, "the upstream is busy with a request that must run alone")
		}
		if current, _ := registry.Evaluate(u.fingerprint); current == verdict {
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
func (u *run) finish(response *dedup.Response, refusal *calls.Refusal) dedup.Decision {
	g := u.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if ended := g.waiting[u.attempt.Key]; ended != nil {
		close(ended)
		delete(g.waiting, u.attempt.Key)
	}
	if refusal != nil && refusal.Outcome == calls.OutcomeNotRun {
		return g.memory.RecordNotRun(time.Now(), u.attempt, refusal)
	}
	g.memory.Finish(time.Now(), u.attempt, response)
	return dedup.Decision{Refusal: refusal}
}

// call sends the request to the upstream and forwards the response. It returns the
// response to record, if there is one.
func (u *run) call(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	response, err := u.gate.options.Service.Run(ctx, u.request)
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		return nil, calls.NotRun(calls.ReasonUpstream, retryBackoff, err.Error())
	}
	if err != nil {
		var lost *engine.ConnectionLostError
		u.upstreamLost = errors.As(err, &lost)
		return nil, calls.Unknown(calls.ReasonUpstream, retryBackoff, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.Version != u.message.Version && u.gate.options.Engine != nil {
		return nil, calls.Unknown(calls.ReasonVersion, retryBackoff, "the upstream answered with version "+response.Version)
	}
	if !u.request.Stream {
		// The client receives nothing before the whole response is there, so the
		// head is sent with the first part.
		u.replies.corker.Cork()
	}
	record := &recorder{response: dedup.Response{Version: response.Version, Status: response.Status, Media: response.Media}}
	err = u.replies.start(u.gate.self.Host, u.gate.token(), &record.response, false)
	if err != nil && !u.attempt.HasKey() {
		return nil, calls.Unknown(calls.ReasonCanceled, 0, err.Error())
	}
	return u.forward(response.Body, record)
}

// forward sends the body to the entry. The run of a request with a key continues if
// that fails.
func (u *run) forward(body io.Reader, record *recorder) (*dedup.Response, *calls.Refusal) {
	b := u.gate.buffers.Get().(*partBuffer)
	defer u.gate.buffers.Put(b)
	buffer := b[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 && u.attempt.HasKey() {
			record.add(buffer[:n])
		}
		if n > 0 {
			if sendErr := u.replies.data(buffer[:n]); sendErr != nil && !u.attempt.HasKey() {
				return nil, calls.Unknown(calls.ReasonCanceled, 0, sendErr.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return record.result(), nil
		}
		u.replies.corker.Uncork()
		if err != nil {
			u.upstreamLost = true
			return nil, calls.Unknown(calls.ReasonUpstream, retryBackoff, "the answer of the upstream was cut: "+err.Error())
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

package gate

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/links"
	"currantport.example/core/wire"
)

// suspectWait is how long a suspect waits before it runs, so that other sendings
// which were lost at the same moment bring their marks.
const suspectWait = 100 * time.Millisecond

// run is one attempt at the gate.
type run struct {
	gate    *Gate
	message *wire.RunRequest
	request calls.Request
	attempt dedup.Attempt
	// fingerprint identifies the request through all its resends.
	fingerprint blame.Fingerprint
	reply       *replies
	// lost tells that the upstream was lost during the run.
	lost bool
}

// Run implements wire.GateHandler.
func (g *Gate) Run(ctx context.Context, r *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunReply]) error {
	request := requestOf(r.Msg)
	u := &run{
		gate: g, message: r.Msg, request: request, attempt: attemptOf(request), fingerprint: blame.FingerprintOf(request),
		reply: &replies{id: r.Msg.Id, stream: s, hold: links.CorkerOf(ctx)},
	}
	g.options.Registry.Merge(blame.Decode(r.Msg.Marks), "an entry")
	return u.serve(ctx)
}

func (u *run) serve(ctx context.Context) error {
	// A request counts as running before it is admitted, so that Running is
	// zero only if none slips in afterwards.
	u.gate.traffic.Begin()
	defer u.gate.traffic.End()
	verdict, joined := u.begin()
	for verdict.Action == dedup.ActionJoin {
		if !u.join(ctx, joined) {
			return u.reply.refuse(dedup.Decision{Refusal: calls.Unknown(calls.ReasonRunning, retryWait, "a request with this key is running")})
		}
		verdict, joined = u.begin()
	}
	switch verdict.Action {
	case dedup.ActionReplay:
		return u.reply.replay(u.gate.self.Host, u.gate.token(), verdict.Response)
	case dedup.ActionStart:
		return u.execute(ctx)
	default:
		return u.reply.refuse(verdict)
	}
}

// begin returns the verdict on the attempt, and for ActionJoin what to wait for.
func (u *run) begin() (dedup.Decision, chan struct{}) {
	g := u.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.learn(u.message) {
		return dedup.Decision{Refusal: calls.Unknown(calls.ReasonOwner, retryWait, "the entry chose by an old routes table")}, nil
	}
	now := time.Now()
	verdict := g.memory.Begin(now, u.attempt)
	if verdict.Action != dedup.ActionStart {
		return verdict, g.waiting[u.attempt.Key]
	}
	if refusal := g.check(u.message); refusal != nil {
		return g.memory.RecordNotRun(now, u.attempt, refusal), nil
	}
	if u.attempt.HasKey() {
		g.waiting[u.attempt.Key] = make(chan struct{})
	}
	return verdict, nil
}

// check refuses what can't start now.
func (g *Gate) check(m *wire.RunRequest) *calls.Refusal {
	if g.Leaving() {
		return calls.NotRun(calls.ReasonLeaving, retryWait, "the host is leaving")
	}
	if refusal := g.checkPool(m.Pool); refusal != nil {
		return refusal
	}
	return g.checkVersion(m.Version)
}

// join waits for the end of the run in progress.
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
	answer, refusal := u.callInLane(ctx)
	verdict := u.finish(answer, refusal)
	if refusal != nil {
		return u.reply.refuse(verdict, u.gate.options.Registry.Of(u.fingerprint)...)
	}
	return u.reply.end(int32(u.gate.InProgress()))
}

// callInLane runs the request beside others, or alone if it is a suspect.
func (u *run) callInLane(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	book, lanes := u.gate.options.Registry, u.gate.lanes
	alone, refusal := u.enter(ctx)
	if refusal != nil {
		return nil, refusal
	}
	defer lanes.leave(alone)
	life := lanes.current()
	answer, refusal := u.call(ctx)
	switch {
	case u.lost && ctx.Err() == nil:
		lanes.lose(life)
		u.gate.options.Broadcast(book.Lose(u.fingerprint, life))
	case alone && refusal == nil:
		u.gate.options.Broadcast(book.Clear(u.fingerprint)...)
	}
	return answer, refusal
}

// enter waits for a place in the lane that the request belongs to, and judges it
// again once it has one: another sending of it may have been lost meanwhile.
func (u *run) enter(ctx context.Context) (alone bool, refusal *calls.Refusal) {
	book, lanes := u.gate.options.Registry, u.gate.lanes
	for first := true; ; first = false {
		verdict, wait := book.Judge(u.fingerprint)
		if verdict == blame.VerdictRefuse {
			return false, calls.NotRun(calls.ReasonQuarantined, wait, "upstreams were lost each time this request ran")
		}
		alone = verdict == blame.VerdictAlone
		if alone && first {
			pause(ctx, suspectWait)
			continue
		}
		if !lanes.enter(ctx, alone) {
			return false, calls.NotRun(calls.ReasonOverload, retryWait, "the upstream is busy with a request that must run alone")
		}
		if again, _ := book.Judge(u.fingerprint); again == verdict {
			return alone, nil
		}
		lanes.leave(alone)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// finish records the end of the run and wakes those that wait for it.
func (u *run) finish(answer *dedup.Response, refusal *calls.Refusal) dedup.Decision {
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
	g.memory.Finish(time.Now(), u.attempt, answer)
	return dedup.Decision{Refusal: refusal}
}

// call gives the request to the upstream and passes its answer on. It returns
// the answer to record, if there is one.
func (u *run) call(ctx context.Context) (*dedup.Response, *calls.Refusal) {
	a, err := u.gate.options.Service.Run(ctx, u.request)
	var unsent *engine.NotStartedError
	if errors.As(err, &unsent) {
		return nil, calls.NotRun(calls.ReasonUpstream, retryWait, err.Error())
	}
	if err != nil {
		var lost *engine.ConnectionLostError
		u.lost = errors.As(err, &lost)
		return nil, calls.Unknown(calls.ReasonUpstream, retryWait, err.Error())
	}
	defer func() { _ = a.Body.Close() }()
	if a.Version != u.message.Version && u.gate.options.Engine != nil {
		return nil, calls.Unknown(calls.ReasonVersion, retryWait, "the upstream answered with version "+a.Version)
	}
	if !u.request.Stream {
		// The caller sees nothing before the whole answer has come, so the head
		// waits for the first part.
		u.reply.hold.Cork()
	}
	kept := &recorder{answer: dedup.Response{Version: a.Version, Status: a.Status, Media: a.Media}}
	err = u.reply.start(u.gate.self.Host, u.gate.token(), &kept.answer, false)
	if err != nil && !u.attempt.HasKey() {
		return nil, calls.Unknown(calls.ReasonCanceled, 0, err.Error())
	}
	return u.forward(a.Body, kept)
}

// forward passes the body on. The run of a key goes on if that fails.
func (u *run) forward(body io.Reader, kept *recorder) (*dedup.Response, *calls.Refusal) {
	b := u.gate.buffers.Get().(*part)
	defer u.gate.buffers.Put(b)
	buffer := b[:]
	for {
		n, err := body.Read(buffer)
		if n > 0 && u.attempt.HasKey() {
			kept.add(buffer[:n])
		}
		if n > 0 {
			if sent := u.reply.data(buffer[:n]); sent != nil && !u.attempt.HasKey() {
				return nil, calls.Unknown(calls.ReasonCanceled, 0, sent.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return kept.whole(), nil
		}
		u.reply.hold.Uncork()
		if err != nil {
			u.lost = true
			return nil, calls.Unknown(calls.ReasonUpstream, retryWait, "the answer of the upstream was cut: "+err.Error())
		}
	}
}

const maxRecordBytes = 1 << 20

// recorder keeps an answer that isn't too long.
type recorder struct {
	answer dedup.Response
	long   bool
}

func (r *recorder) add(data []byte) {
	r.long = r.long || len(r.answer.Body)+len(data) > maxRecordBytes
	if r.long {
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, data...)
}

// whole returns the answer, or nil if it was too long.
func (r *recorder) whole() *dedup.Response {
	if r.long {
		return nil
	}
	return &r.answer
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

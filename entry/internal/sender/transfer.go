package sender

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
)

var (
	errTruncated = errors.New("the answer ended early")
	errGap       = errors.New("a part of the answer is missing")
	errOrder     = errors.New("the answer came before its head")
)

// transfer moves the answer of one attempt into the sink. Replies that belong to
// another attempt or that came before are dropped and counted.
type transfer struct {
	id      calls.ID
	sink    Sink
	metrics tally.Scope
	// want is the version that the answer must come from. Empty means any.
	want    string
	version string
	token   string
	owner   hosts.Name
	// marks are those of a refusal.
	marks    []blame.Mark
	sequence uint64
	bytes    uint64
	started  bool
	ended    bool
	began    time.Time
	// first is the time to the first reply, zero if none came.
	first   time.Duration
	running int
	// begun tells that the caller may have seen a part of the answer.
	begun atomic.Bool
}

// giveUp returns a function that cancels an attempt unless it has begun.
func (t *transfer) giveUp(cancel func()) func() {
	return func() {
		if !t.begun.Load() {
			cancel()
		}
	}
}

// report returns what the attempt showed of the upstream.
func (t *transfer) report(ctx context.Context, err error) fleet.Report {
	r := fleet.Report{Running: -1, TimeToFirstPart: t.first}
	if t.ended {
		r.Running = t.running
	}
	var refusal *calls.Refusal
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &refusal):
		r.Overloaded = refusal.Reason == calls.ReasonOverload
		r.Stale = refusal.Reason == calls.ReasonVersion || refusal.Reason == calls.ReasonLeaving || refusal.Reason == calls.ReasonStarting
	default:
		r.Lost = true
	}
	return r
}

func (t *transfer) run(ctx context.Context, c wire.GateClient, m *wire.RunRequest) error {
	stream, err := c.Run(ctx, connect.NewRequest(m))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for !t.ended && stream.Receive() {
		if err := t.take(stream.Msg()); err != nil {
			return err
		}
	}
	if t.ended {
		return nil
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func (t *transfer) take(r *wire.RunReply) error {
	if drop := t.dropReason(r); drop != "" {
		t.metrics.Tagged(map[string]string{"cause": drop}).Counter("dropped").Inc(1)
		return nil
	}
	if r.Sequence > t.sequence {
		return errGap
	}
	t.sequence++
	switch step := r.Step.(type) {
	case *wire.RunReply_Started:
		return t.start(step.Started)
	case *wire.RunReply_Data:
		if !t.started {
			return errOrder
		}
		t.bytes += uint64(len(step.Data))
		t.begun.Store(true)
		return t.sink.Data(step.Data)
	case *wire.RunReply_Ended:
		if !t.started || step.Ended.Bytes != t.bytes {
			return errTruncated
		}
		t.ended = true
		t.running = int(step.Ended.Running)
	case *wire.RunReply_Refused:
		t.owner = hosts.Name(step.Refused.Owner)
		t.marks = blame.Decode(step.Refused.Marks)
		return refusalOf(step.Refused)
	}
	return nil
}

// dropReason says why a reply doesn't count, or nothing if it does.
func (t *transfer) dropReason(r *wire.RunReply) string {
	switch {
	case r.Id != string(t.id):
		return "foreign"
	case r.Sequence < t.sequence:
		return "doubled"
	}
	return ""
}

// start takes the head of the answer. Only a recorded answer may come from an
// earlier version.
func (t *transfer) start(m *wire.Started) error {
	t.first = time.Since(t.began)
	t.started, t.version, t.token = true, m.Version, m.Token
	if t.want != "" && m.Version != t.want && !m.Replayed {
		return calls.Unknown(calls.ReasonVersion, retryWait, "the answer came from version "+m.Version)
	}
	return t.sink.Head(m.Version, int(m.Status), m.Media)
}

func refusalOf(r *wire.Refused) *calls.Refusal {
	return &calls.Refusal{
		Outcome: calls.Outcome(r.Outcome), Reason: calls.Reason(r.Reason), Detail: r.Detail,
		RetryAfter: time.Duration(r.Wait) * time.Millisecond, Token: r.Token,
	}
}

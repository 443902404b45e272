package sender

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/poison"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
)

var (
	errTruncated = errors.New("the answer ended early")
	errGap       = errors.New("a part of the answer is missing")
	errOrder     = errors.New("the answer came before its head")
)

// transfer writes the response of one attempt to the sink. Duplicate replies and
// replies to another attempt are dropped and counted.
type transfer struct {
	id      calls.ID
	sink    Sink
	metrics tally.Scope
	// wantVersion is the version that must serve the response. Empty means any.
	wantVersion string
	version     string
	token       string
	owner       hosts.Name
	// marks holds the crash marks of a refusal.
	marks     []poison.Mark
	sequence  uint64
	bytes     uint64
	started   bool
	ended     bool
	startedAt time.Time
	// timeToFirstReply is zero before the first reply.
	timeToFirstReply time.Duration
	running          int
	// forwarded is true once the client may have received part of the response.
	forwarded atomic.Bool
}

// cancelUnlessForwarded returns a function that cancels an attempt unless part of its
// response was forwarded.
func (t *transfer) cancelUnlessForwarded(cancel func()) func() {
	return func() {
		if !t.forwarded.Load() {
			cancel()
		}
	}
}

// report returns the result of the attempt for the load of the upstream.
func (t *transfer) report(ctx context.Context, err error) fleet.Report {
	r := fleet.Report{Running: -1, TimeToFirstPart: t.timeToFirstReply}
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
		if err := t.handle(stream.Msg()); err != nil {
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

func (t *transfer) handle(r *wire.RunReply) error {
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
		return t.handleStarted(step.Started)
	case *wire.RunReply_Data:
		if !t.started {
			return errOrder
		}
		t.bytes += uint64(len(step.Data))
		t.forwarded.Store(true)
		return t.sink.Data(step.Data)
	case *wire.RunReply_Ended:
		if !t.started || step.Ended.Bytes != t.bytes {
			return errTruncated
		}
		t.ended = true
		t.running = int(step.Ended.Running)
	case *wire.RunReply_Refused:
		t.owner = hosts.Name(step.Refused.Owner)
		t.marks = poison.Decode(step.Refused.Marks)
		return refusalOf(step.Refused)
	}
	return nil
}

// dropReason returns why a reply is dropped, or the empty string if it isn't.
func (t *transfer) dropReason(r *wire.RunReply) string {
	switch {
	case r.Id != string(t.id):
		return "foreign"
	case r.Sequence < t.sequence:
		return "doubled"
	}
	return ""
}

// handleStarted handles the head of the response. Only a replayed response may come
// from an earlier version.
func (t *transfer) handleStarted(m *wire.Started) error {
	t.timeToFirstReply = time.Since(t.startedAt)
	t.started, t.version, t.token = true, m.Version, m.Token
	if t.wantVersion != "" && m.Version != t.wantVersion && !m.Replayed {
		return calls.Unknown(calls.ReasonVersion, retryAfter, "the answer came from version "+m.Version)
	}
	return t.sink.Head(m.Version, int(m.Status), m.Media)
}

func refusalOf(r *wire.Refused) *calls.Refusal {
	return &calls.Refusal{
		Outcome: calls.Outcome(r.Outcome), Reason: calls.Reason(r.Reason), Detail: r.Detail,
		RetryAfter: time.Duration(r.Wait) * time.Millisecond, Token: r.Token,
	}
}

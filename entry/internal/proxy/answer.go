package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/conns"
	"currantport.example/core/events"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

const (
	// wholeBytes is the length up to which an answer is read whole before it is
	// handed on.
	wholeBytes = 256 << 10
	copyBytes  = 32 << 10
	// gapShare is the number of longest pauses after which a silent stream is given
	// up for another engine, and gapLeast the least such time.
	gapShare = 3
	gapLeast = 1200 * time.Millisecond
)

var errForeign = errors.New("the answer belongs to another request")

// declinedError tells that an upstream has not run the request.
type declinedError int

// Error implements error.
func (e declinedError) Error() string { return "declined with status " + strconv.Itoa(int(e)) }

// guard ends a try that brings nothing for too long.
type guard struct {
	cancel context.CancelFunc
	timer  *time.Timer
	ended  atomic.Bool
}

func newGuard(cancel context.CancelFunc) *guard { return &guard{cancel: cancel} }

// reset gives the try another span of time.
func (g *guard) reset(d time.Duration) {
	if g.timer == nil {
		g.timer = time.AfterFunc(d, g.run)
		return
	}
	g.timer.Reset(d)
}

func (g *guard) run() {
	g.ended.Store(true)
	g.cancel()
}

func (g *guard) fired() bool { return g.ended.Load() }

func (g *guard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
}

// unary is an answer that was read whole.
type unary struct {
	status int
	header http.Header
	body   []byte
	// rest brings what follows the body of a long answer, or is nil.
	rest   io.Reader
	length int64
}

// unary reads a short answer whole and hands it on. A failure of an upstream is kept
// if the request may be sent again.
func (t *trip) unary(ctx context.Context, w *target.InFlight, a *conns.Response, reply calls.Reply) (tries.Result, target.Outcome, error) {
	w.RecordFirstEvent(time.Now())
	u := &unary{status: a.Status, header: t.courses.options.Upstreams.ResponseHeader(a.Header), length: a.Length}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	if err != nil {
		if ctx.Err() == nil {
			t.suspect(w)
		}
		return tries.ResultLost, target.OutcomeFailed, err
	}
	u.body = body
	if len(body) == wholeBytes {
		u.rest = a.Body
	}
	if a.Status >= http.StatusInternalServerError {
		t.kept = u
		return tries.ResultFailed, target.OutcomeFailed, fmt.Errorf("status %d", a.Status)
	}
	if !reply.Success && a.Status < http.StatusMultipleChoices {
		return tries.ResultLost, target.OutcomeFailed, errForeign
	}
	t.hand(u)
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// hand gives an answer to the caller.
func (t *trip) hand(u *unary) {
	t.ending, t.status = "answered", u.status
	if t.first == 0 {
		t.first = time.Since(t.arrived)
	}
	h := t.writer.Header()
	for name, values := range u.header {
		h[name] = values
	}
	if u.rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(u.body)))
	} else if u.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(u.length, 10))
	}
	t.writer.WriteHeader(u.status)
	if _, err := t.writer.Write(u.body); err != nil {
		t.ending = "unwritten"
		return
	}
	if u.rest == nil {
		return
	}
	if _, err := io.CopyBuffer(t.writer, u.rest, make([]byte, copyBytes)); err != nil {
		t.ending = "broken"
		panic(http.ErrAbortHandler)
	}
}

// sink hands a stream on to the caller.
type sink struct {
	writer http.ResponseWriter
	began  bool
	// after is the id of the last event that the caller has, or empty.
	after string
	// version is that of the weights of the first event, or zero.
	version int
}

// begin sends the head of the first upstream's answer.
func (s *sink) begin(status int, h http.Header, version int) {
	s.began, s.version = true, version
	own := s.writer.Header()
	for name, values := range h {
		own[name] = values
	}
	own.Del("Content-Length")
	s.writer.WriteHeader(status)
}

// follows reports whether an event comes after those that the caller has.
func (s *sink) follows(id string) bool {
	last, err := strconv.ParseInt(s.after, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next > last
}

// put hands an event on.
func (s *sink) put(e events.Event, more bool) error {
	if e.ID != "" {
		s.after = e.ID
	}
	if _, err := s.writer.Write(e.Data); err != nil {
		return err
	}
	if more {
		return nil
	}
	return http.NewResponseController(s.writer).Flush()
}

// stream hands the events of an answer on as they come.
func (t *trip) stream(ctx context.Context, w *target.InFlight, g *guard, a *conns.Response, reply calls.Reply) (tries.Result, target.Outcome, error) {
	framed := a.Length >= 0 || !a.IsCloseDelimited()
	r := events.NewReader(a.Body)
	for {
		e, err := r.Next()
		// Bytes after the last whole event belong to an answer whose end is certain.
		if err != nil && (!framed || !errors.Is(err, events.ErrPartial)) {
			if errors.Is(err, io.EOF) {
				return t.endStream(a, reply)
			}
			return t.brokeOff(ctx, w, err)
		}
		if !t.sink.began {
			w.RecordFirstEvent(time.Now())
			t.first = time.Since(t.arrived)
			t.status = a.Status
			t.sink.begin(a.Status, t.courses.options.Upstreams.ResponseHeader(a.Header), cmp.Or(reply.Version, w.Version))
		}
		w.RecordFirstEvent(time.Now())
		g.reset(t.gapLimit())
		if e.ID != "" && !t.sink.follows(e.ID) {
			continue
		}
		t.count()
		if err := t.sink.put(e, r.HasBuffered()); err != nil {
			t.ending = "unwritten"
			return tries.ResultAnswered, target.OutcomeNeutral, err
		}
	}
}

// count counts an event that is handed on.
func (t *trip) count() {
	now := time.Now()
	if t.events > 0 {
		t.pause = max(t.pause, now.Sub(t.last))
	}
	t.events++
	t.last = now
}

// endStream ends a stream that is whole.
func (t *trip) endStream(a *conns.Response, reply calls.Reply) (tries.Result, target.Outcome, error) {
	if !t.sink.began {
		t.status = a.Status
		t.sink.begin(a.Status, t.courses.options.Upstreams.ResponseHeader(a.Header), reply.Version)
	}
	t.ending = "answered"
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// brokeOff judges a stream that ended before its end.
func (t *trip) brokeOff(ctx context.Context, w *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	if ctx.Err() == nil {
		t.suspect(w)
	}
	if t.sink.began {
		return tries.ResultTruncated, target.OutcomeFailed, err
	}
	return tries.ResultLost, target.OutcomeFailed, err
}

// gapLimit returns how long the next event is awaited.
func (t *trip) gapLimit() time.Duration {
	if gap := t.admission.Route.MaxEventGap; gap > 0 {
		return max(gapShare*gap, gapLeast)
	}
	return time.Until(t.deadline)
}

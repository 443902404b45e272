package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/events"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

const (
	// maxBufferedBytes is the length up to which a response is read whole before it is
	// forwarded, unless too many are.
	maxBufferedBytes = 256 << 10
	copyBufferBytes  = 32 << 10
	// gapTimeoutFactor is the number of maximum event gaps after which a silent stream is
	// moved to another engine if one can resume it, and minGapTimeout the minimum of that time.
	gapTimeoutFactor = 3
	minGapTimeout    = 1200 * time.Millisecond
	// survivalTime is how long after the first event of a stream its upstream counts as having
	// survived the prompt.
	survivalTime = 500 * time.Millisecond
)

var (
	errMismatched = errors.New("the response belongs to another request")
	errGivenUp    = errors.New("the response was given up")
	errWithdrawn  = errors.New("the request was withdrawn")
	errPanicked   = errors.New("the handling of the response failed")
	errNoEvent    = errors.New("the connection was closed before the first event")
)

// declinedError reports that an upstream has not run the request. Its value is the HTTP
// status.
type declinedError int

// Error implements error.
func (e declinedError) Error() string { return "declined with status " + strconv.Itoa(int(e)) }

// bufferedResponse is a response of which the beginning, usually all of it, was read.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// remainder is the rest of a body that is longer than what may be buffered, or nil.
	remainder io.Reader
	// length is the Content-Length, or empty if it isn't known.
	length string
}

// lengthOf returns the Content-Length of a response of which the body, or its beginning, was read.
// A response without a body may state the length of another one.
func (l *lifecycle) lengthOf(response *conns.Response, b *bufferedResponse) string {
	switch {
	case l.call.Method == http.MethodHead, response.Status == http.StatusNoContent, response.Status == http.StatusNotModified:
		return response.Header.Get("Content-Length")
	case b.remainder == nil:
		return strconv.Itoa(len(b.body))
	case response.Length >= 0:
		return strconv.FormatInt(response.Length, 10)
	}
	return ""
}

// forwardUnary reads a short response whole and forwards it. An upstream's short failure is kept
// instead, since the request may be retried.
func (l *lifecycle) forwardUnary(ctx context.Context, f *target.InFlight, wd *watchdog, response *conns.Response, reply calls.Reply) (tries.Result, target.Outcome, error) {
	f.RecordFirstEvent(clocks.Now())
	if !l.admission.Route.IsRetryable() {
		// The upstream has begun the request, so that only the deadline bounds it.
		wd.reset(time.Until(l.deadline), l.deadline)
	} else {
		wd.extend(l.deadline)
	}
	b, err := l.readUnary(response)
	if err != nil {
		if ctx.Err() == nil {
			l.recordSuspect(f)
		}
		return tries.ResultLost, target.OutcomeFailed, err
	}
	return l.finishUnary(wd, response, reply, b)
}

// readUnary reads a response, or the beginning of a long one.
func (l *lifecycle) readUnary(response *conns.Response) (*bufferedResponse, error) {
	b := &bufferedResponse{status: response.Status, header: l.handler.options.UpstreamCodec.ResponseHeader(response.Header)}
	limit := l.maxBuffered(response.Length)
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)))
	if err != nil {
		return nil, err
	}
	b.body = body
	if len(body) == limit {
		b.remainder = response.Body
	}
	b.length = l.lengthOf(response, b)
	return b, nil
}

// finishUnary forwards a response that was read, unless it is a short failure.
func (l *lifecycle) finishUnary(wd *watchdog, response *conns.Response, reply calls.Reply, b *bufferedResponse) (tries.Result, target.Outcome, error) {
	if response.Status >= http.StatusInternalServerError && b.remainder == nil {
		l.lastFailure = b
		return tries.ResultFailed, target.OutcomeFailed, fmt.Errorf("status %d", response.Status)
	}
	if !reply.Success && response.Status < http.StatusMultipleChoices {
		return tries.ResultLost, target.OutcomeFailed, errMismatched
	}
	if reply.Success {
		l.recordSurvival()
		l.recordAnswer(response, b.remainder == nil)
	}
	if !wd.claim() {
		return l.notClaimed()
	}
	l.writeResponse(b)
	if b.remainder != nil && l.ending == endingAnswered {
		// The request can't be retried any more, so that only its deadline bounds the response.
		wd.stop()
		source := &errorReader{Reader: b.remainder}
		_, err := io.CopyBuffer(l.writer, source, make([]byte, copyBufferBytes))
		switch {
		case err != nil && source.err == nil:
			l.ending = endingUnwritten
			return tries.ResultAnswered, target.OutcomeNeutral, err
		case err != nil:
			l.ending = endingBroken
			return tries.ResultTruncated, target.OutcomeFailed, err
		}
	}
	if response.Status >= http.StatusInternalServerError {
		return tries.ResultAnswered, target.OutcomeFailed, fmt.Errorf("status %d", response.Status)
	}
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// errorReader keeps the error of its source, to tell it from one of the writer.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF {
		r.err = err
	}
	return n, err
}

// writeResponse writes a response to the client, without the remainder.
func (l *lifecycle) writeResponse(b *bufferedResponse) {
	l.ending, l.status = endingAnswered, b.status
	if l.firstByte == 0 {
		l.firstByte = time.Since(l.arrived)
	}
	h := l.writer.Header()
	for name, values := range b.header {
		h[name] = values
	}
	if b.length != "" {
		h.Set("Content-Length", b.length)
	}
	l.writer.WriteHeader(b.status)
	if _, err := l.writer.Write(b.body); err != nil {
		l.ending, l.cause = endingUnwritten, causeClient
	}
}

// streamWriter forwards a stream to the client.
type streamWriter struct {
	writer  http.ResponseWriter
	started bool
	// lastEventID is the id of the last event that was forwarded, or empty.
	lastEventID string
	// version is the version of the weights that produced the first event, or zero.
	version int
}

// writeHead writes the head of the first upstream's response.
func (s *streamWriter) writeHead(status int, h http.Header, version int) {
	s.started, s.version = true, version
	header := s.writer.Header()
	for name, values := range h {
		header[name] = values
	}
	header.Del("Content-Length")
	s.writer.WriteHeader(status)
}

// isNew reports whether an event comes after those that the client has received.
func (s *streamWriter) isNew(id string) bool {
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err != nil || next > last
}

// writeEvent writes an event to the client, and flushes unless more follows at once.
func (s *streamWriter) writeEvent(e events.Event, more bool) error {
	if _, err := s.writer.Write(e.Data); err != nil {
		return err
	}
	if more {
		return nil
	}
	return http.NewResponseController(s.writer).Flush()
}

// forwardStream forwards the events of a response as they arrive. A stream that ends within an
// event was interrupted, whatever its framing.
func (l *lifecycle) forwardStream(ctx context.Context, f *target.InFlight, wd *watchdog, response *conns.Response, reply calls.Reply, source *eventSource) (tries.Result, target.Outcome, error) {
	defer source.reader.Release()
	var firstEventAt time.Time
	for {
		e, err := source.Next()
		if errors.Is(err, io.EOF) {
			return l.endStream(ctx, f, wd, response, reply, e, !firstEventAt.IsZero())
		}
		if err != nil {
			return l.streamLost(ctx, f, err)
		}
		f.RecordFirstEvent(clocks.Now())
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
		} else if time.Since(firstEventAt) >= survivalTime {
			l.recordSurvival()
		}
		// An upstream that repeats what the client has makes no progress.
		if e.ID != "" && !l.stream.isNew(e.ID) {
			continue
		}
		if !wd.claim() {
			return l.notClaimed()
		}
		if !l.stream.started {
			l.firstByte = time.Since(l.arrived)
			l.status = response.Status
			l.stream.writeHead(response.Status, l.handler.options.UpstreamCodec.ResponseHeader(response.Header), cmp.Or(reply.Version, f.Version))
		}
		l.recordEvent(e)
		if err := l.stream.writeEvent(e, source.reader.HasBuffered()); err != nil {
			l.ending = endingUnwritten
			return tries.ResultAnswered, target.OutcomeNeutral, err
		}
		wd.reset(l.gapTimeout(), l.deadline)
	}
}

// endStream ends a response whose events have all been forwarded. The rest is what follows the last one.
func (l *lifecycle) endStream(ctx context.Context, f *target.InFlight, wd *watchdog, response *conns.Response, reply calls.Reply, rest events.Event, hasEvents bool) (tries.Result, target.Outcome, error) {
	// Without framing, the end may be that of an upstream that crashed.
	if response.IsCloseDelimited() && !hasEvents && (l.stream.started || l.stream.lastEventID == "") {
		return l.streamLost(ctx, f, errNoEvent)
	}
	if !response.IsCloseDelimited() && hasEvents {
		l.recordSurvival()
	}
	l.recordAnswer(response, true)
	if !l.stream.started && !wd.claim() {
		return l.notClaimed()
	}
	return l.finishStream(response, reply, rest)
}

// recordEvent counts an event that is forwarded and measures the gap before it.
func (l *lifecycle) recordEvent(e events.Event) {
	if e.ID != "" {
		l.stream.lastEventID = e.ID
	}
	now := time.Now()
	if l.events > 0 {
		l.maxGap = max(l.maxGap, now.Sub(l.lastEventAt))
	}
	l.events++
	l.lastEventAt = now
}

// finishStream ends a complete stream. The rest is what follows its last event.
func (l *lifecycle) finishStream(response *conns.Response, reply calls.Reply, rest events.Event) (tries.Result, target.Outcome, error) {
	if !l.stream.started {
		l.status = response.Status
		l.stream.writeHead(response.Status, l.handler.options.UpstreamCodec.ResponseHeader(response.Header), reply.Version)
	}
	l.ending = endingAnswered
	if _, err := l.writer.Write(rest.Data); err != nil {
		l.ending = endingUnwritten
		return tries.ResultAnswered, target.OutcomeNeutral, err
	}
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// streamLost classifies a stream that was interrupted.
func (l *lifecycle) streamLost(ctx context.Context, f *target.InFlight, err error) (tries.Result, target.Outcome, error) {
	if ctx.Err() == nil {
		l.recordSuspect(f)
	}
	if l.stream.started {
		return tries.ResultTruncated, target.OutcomeFailed, err
	}
	return tries.ResultLost, target.OutcomeFailed, err
}

// notClaimed classifies a response that was given up before the next part of it was written.
func (l *lifecycle) notClaimed() (tries.Result, target.Outcome, error) {
	outcome := target.OutcomeFailed
	if l.ended.Load() {
		outcome = target.OutcomeNeutral
	}
	if l.stream.started {
		return tries.ResultTruncated, outcome, errGivenUp
	}
	return tries.ResultLost, outcome, errGivenUp
}

// gapTimeout returns how long to wait for the next event before another engine resumes the stream.
func (l *lifecycle) gapTimeout() time.Duration {
	if gap := l.admission.Route.MaxEventGap; gap > 0 {
		return max(gapTimeoutFactor*gap, minGapTimeout)
	}
	return time.Until(l.deadline)
}

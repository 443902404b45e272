package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/events"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// successor is an attempt at another upstream while the one that is silent may still go on. It ends with
// its first new event, or with a whole response, from where lifecycle.attempt takes over, or fails.
type successor struct {
	watchdog *watchdog
	inFlight *target.InFlight
	// request is the context of the response, whoever reads it.
	request context.Context //nolint:containedctx // the response outlives run
	cancel  context.CancelFunc
	// withdrawal cancels the attempt if it hasn't begun by the end of its version, or before the client
	// gives up waiting for the first event.
	withdrawal *time.Timer
	// limit is the time of the withdrawal.
	limit   time.Time
	sentAt  time.Time
	attempt calls.Attempt
	// withinStream is set if the client has received a part of the response.
	withinStream bool
	// response is set once its head was read, reply and either events or unary by run if the attempt has
	// succeeded.
	response *conns.Response
	reply    calls.Reply
	events   *eventSource
	unary    *bufferedResponse
	// failure is the failure with which the upstream has responded, or nil. It may be read once the attempt has
	// failed, but not if it was canceled.
	failure *bufferedResponse
	// done is closed when run has ended.
	done chan struct{}
}

// failedSuccessor is a successor that has failed, or that was canceled since another upstream went on or
// responded first.
type failedSuccessor struct {
	successor  *successor
	result     tries.Result
	cause      cause
	isCanceled bool
}

// newSuccessor returns an attempt for the request of the watchdog, whose mutex the caller holds.
func newSuccessor(w *watchdog, f *target.InFlight, reqs target.Requirements) *successor {
	l := w.lifecycle
	s := &successor{watchdog: w, inFlight: f, sentAt: clocks.Now(), withinStream: w.started, done: make(chan struct{})}
	s.request, s.cancel = context.WithCancel(w.request)
	s.limit = l.startLimit(f)
	if !w.started {
		s.limit = earliest(s.limit, l.firstEventLimit())
	}
	s.withdrawal = time.AfterFunc(time.Until(s.limit), s.cancel)
	s.attempt = l.buildAttempt(f, w.lastEventID, reqs.Level, reqs.Levels)
	return s
}

func (s *successor) run() {
	defer close(s.done)
	result, outcome, err := s.begin()
	s.withdrawal.Stop()
	l := s.watchdog.lifecycle
	c := l.causeOfSuccessor(s, result)
	if errors.Is(err, errPanicked) {
		c = causePanic
	}
	if !s.watchdog.finishSuccessor(s, result, c) {
		s.discard()
		return
	}
	if result != tries.ResultAnswered {
		l.logSuccessor(s, resultNames[result], l.endOf(s, result, c), err)
		s.inFlight.Finish(clocks.Now(), outcome)
		s.cancel()
	}
}

// shorten moves the time of the withdrawal to an earlier one.
func (s *successor) shorten(limit time.Time) {
	if limit.Before(s.limit) {
		s.limit = limit
		s.withdrawal.Reset(time.Until(limit))
	}
}

// begin calls send, and takes a panic for a lost attempt.
func (s *successor) begin() (result tries.Result, outcome target.Outcome, err error) {
	defer s.contain(&result, &outcome, &err)
	return s.send()
}

// contain is deferred by begin.
func (s *successor) contain(result *tries.Result, outcome *target.Outcome, err *error) {
	if cause := recover(); cause != nil {
		s.watchdog.lifecycle.logPanic(cause)
		if s.response != nil {
			s.response.Close()
		}
		*result, *outcome, *err = tries.ResultLost, target.OutcomeNeutral, errPanicked
	}
}

// send sends the request and reads the response: of a stream up to the first event that the client lacks.
func (s *successor) send() (tries.Result, target.Outcome, error) {
	l, f := s.watchdog.lifecycle, s.inFlight
	conn, err := l.connect(s.request, f)
	if err != nil {
		return l.connectFailed(s.request, f, err)
	}
	f.OnStartDeadline(s.shorten)
	response, err := l.send(s.request, conn, s)
	s.response = response
	if err != nil {
		var lost *conns.LostError
		if errors.As(err, &lost) && lost.State == conns.SendStateUnsent {
			return tries.ResultUnsent, target.OutcomeNeutral, err
		}
		return s.lost(err)
	}
	result, outcome, err := s.receive(response)
	if err != nil {
		response.Close()
	}
	return result, outcome, err
}

// receive reads what decides whether a response replaces that of the silent upstream.
func (s *successor) receive(response *conns.Response) (tries.Result, target.Outcome, error) {
	l := s.watchdog.lifecycle
	s.reply = l.handler.options.UpstreamCodec.ClassifyResponse(&l.call, response.Status, response.Header)
	if result, outcome, err := l.classify(s.inFlight, response, s.reply); err != nil {
		return result, outcome, err
	}
	switch {
	case l.admission.Route.Stream && s.reply.Success:
		return s.receiveStream(response)
	case s.withinStream:
		return failedWithinStream(response.Status)
	}
	return s.receiveUnary(response)
}

func (s *successor) receiveStream(response *conns.Response) (tries.Result, target.Outcome, error) {
	s.events = &eventSource{reader: events.NewReader(response.Body, s.watchdog.lifecycle.handler.events)}
	err := s.events.readAhead(s.attempt.LastEventID)
	// Without framing, the end may be that of an upstream that crashed.
	if err == nil && s.events.firstErr != nil && response.IsCloseDelimited() {
		err = errNoEvent
	}
	if err == nil {
		err = s.recordBegun()
	}
	if err != nil {
		s.events.reader.Release()
		return s.lost(err)
	}
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

func (s *successor) receiveUnary(response *conns.Response) (tries.Result, target.Outcome, error) {
	if err := s.recordBegun(); err != nil {
		return s.lost(err)
	}
	b, err := s.watchdog.lifecycle.readUnary(response)
	switch {
	case err != nil:
		return s.lost(err)
	case response.Status >= http.StatusInternalServerError:
		if b.remainder == nil {
			s.failure = b
		}
		return tries.ResultFailed, target.OutcomeFailed, fmt.Errorf("status %d", response.Status)
	case !s.reply.Success && response.Status < http.StatusMultipleChoices:
		return tries.ResultLost, target.OutcomeFailed, errMismatched
	}
	s.unary = b
	return tries.ResultAnswered, target.OutcomeSuccess, nil
}

// recordBegun records that the upstream has begun the request, which isn't withdrawn from then on. It returns
// an error if it was.
func (s *successor) recordBegun() error {
	s.inFlight.RecordFirstEvent(clocks.Now())
	if !s.withdrawal.Stop() {
		s.cancel()
		return errWithdrawn
	}
	return nil
}

// lost returns the result of an attempt whose response was interrupted.
func (s *successor) lost(err error) (tries.Result, target.Outcome, error) {
	if s.request.Err() != nil {
		outcome := target.OutcomeTimeout
		if errors.Is(s.watchdog.request.Err(), context.Canceled) {
			outcome = target.OutcomeNeutral
		}
		return tries.ResultLost, outcome, err
	}
	l := s.watchdog.lifecycle
	l.suspect(s.inFlight, l.identity, s.sentAt)
	return tries.ResultLost, target.OutcomeFailed, err
}

// discard ends an attempt that isn't needed.
func (s *successor) discard() {
	s.cancel()
	if s.response != nil {
		s.response.Close()
	}
	if s.events != nil {
		s.events.reader.Release()
	}
	s.watchdog.lifecycle.logSuccessor(s, resultDropped, attemptEnd{}, nil)
	s.inFlight.Finish(clocks.Now(), target.OutcomeNeutral)
}

// eventSource reads the events of a response, of which the first one may have been read ahead.
type eventSource struct {
	reader   *events.Reader
	first    events.Event
	firstErr error
	isAhead  bool
}

// readAhead reads up to the first event after the one with the id, or to the end of the stream.
func (s *eventSource) readAhead(lastID string) error {
	written := streamWriter{lastEventID: lastID}
	s.first, s.firstErr = s.reader.Next()
	for s.firstErr == nil && s.first.ID != "" && !written.isNew(s.first.ID) {
		s.first, s.firstErr = s.reader.Next()
	}
	if s.isAhead = s.firstErr == nil || errors.Is(s.firstErr, io.EOF); !s.isAhead {
		return s.firstErr
	}
	return nil
}

// Next returns the next event as events.Reader.Next does.
func (s *eventSource) Next() (events.Event, error) {
	if s.isAhead {
		s.isAhead = false
		return s.first, s.firstErr
	}
	return s.reader.Next()
}

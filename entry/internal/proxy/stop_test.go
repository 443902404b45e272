package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/calls"
)

// TestPlannedStopAnswersLateRequests stops an entry while requests arrive whose upstream takes longer than
// the stop. It guards against requests that are taken late in a stop and get no answer at its end.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	for name, c := range map[string]struct {
		// headAt and bodyAt are when the two parts of the request are sent, after the stop has begun.
		headAt, bodyAt time.Duration
		ran            bool
		status         int
		outcome        calls.Outcome
	}{
		"sent while requests are taken": {headAt: 2900 * time.Millisecond, bodyAt: 2900 * time.Millisecond, ran: true, status: http.StatusBadGateway, outcome: calls.OutcomeUnknown},
		"sent after that":               {headAt: 3200 * time.Millisecond, bodyAt: 3200 * time.Millisecond, status: http.StatusServiceUnavailable, outcome: calls.OutcomeNotRun},
		"its body sent after that":      {headAt: 2 * time.Second, bodyAt: 4 * time.Second, status: http.StatusServiceUnavailable, outcome: calls.OutcomeNotRun},
		"its body not sent":             {headAt: 2500 * time.Millisecond, bodyAt: time.Minute, status: http.StatusServiceUnavailable, outcome: calls.OutcomeNotRun},
	} {
		for _, path := range []string{"/slow/x", "/slowly/x"} {
			play(t, 2, func(w io.Writer, v visit) {
				select {
				case <-v.ended:
				case <-time.After(30 * time.Second):
					good(w, v.id, "late")
				}
			}, func(w *world) {
				front := w.serve()
				defer front.stop()
				// The connection is open before the stop begins.
				conn := front.dial()
				defer func() { _ = conn.Close() }()
				s := &stopper{front: front, done: make(chan struct{})}
				go s.run()
				defer func() { <-s.done }()
				text := wholeRequest(path, "first")
				time.Sleep(c.headAt)
				fmt.Fprint(conn, text[:len(text)-2])
				time.AfterFunc(c.bodyAt-c.headAt, func() { fmt.Fprint(conn, text[len(text)-2:]) })
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Errorf("%s, %s: no answer: %v", name, path, err)
					return
				}
				_ = response.Body.Close()
				ran := len(w.received()) > 0
				if response.StatusCode != c.status || response.Header.Get("Outcome") != string(c.outcome) || ran != c.ran {
					t.Errorf("%s, %s: status %d, %q, ran %t", name, path, response.StatusCode, response.Header.Get("Outcome"), ran)
				}
			})
		}
	}
}

// stopper stops the server of an entry and closes its connections, as the program does.
type stopper struct {
	front *front
	done  chan struct{}
}

func (s *stopper) run() {
	defer close(s.done)
	s.front.server.Stop(context.Background())
	s.front.closeServer()
}

// TestPlannedStopLeavesBegunResponsesUntilItsEnd has responses that have begun end shortly before a stop closes
// the connections. It guards against those that are cut when the requests without a response are answered.
func TestPlannedStopLeavesBegunResponsesUntilItsEnd(t *testing.T) {
	for _, path := range []string{"/long/x", "/slow/x"} {
		for _, left := range []time.Duration{300 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond} {
			play(t, 1, func(w io.Writer, v visit) {
				begin(w, v.id)
				event(w, numbered(1)+strings.Repeat("x", 300<<10))
				time.Sleep(shutdownTime - left)
				event(w, numbered(2))
				end(w)
			}, func(w *world) {
				front := w.serve()
				defer front.stop()
				conn := front.dial()
				defer func() { _ = conn.Close() }()
				s := &stopper{front: front, done: make(chan struct{})}
				fmt.Fprint(conn, wholeRequest(path, "first"))
				go s.run()
				defer func() { <-s.done }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Errorf("%s, %v: no answer: %v", path, left, err)
					return
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || !strings.HasSuffix(string(body), numbered(2)) {
					t.Errorf("%s, ends %v before the end of the stop: %d bytes, %v", path, left, len(body), err)
				}
			})
		}
	}
}

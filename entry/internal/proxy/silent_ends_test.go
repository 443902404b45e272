package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/calls"
)

// pathDelay is that of the simulated network.
const pathDelay = time.Millisecond

// TestClientThatLeavesAsUpstreamsRespondLeavesNothing has a client close its connection at the moment at
// which a silent upstream goes on and another one responds.
func TestClientThatLeavesAsUpstreamsRespondLeavesNothing(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/any/x", "/flow/x", "/many/x"} {
		for _, begun := range begunCases(path) {
			for _, other := range []string{wayWhole, wayFails, wayCrashes} {
				t.Run(fmt.Sprintf("%s, begun %t, other %s", strings.Split(path, "/")[1], begun, other), func(t *testing.T) {
					for _, offset := range momentOffsets() {
						for _, leaves := range momentOffsets() {
							c := momentCase{path: path, begun: begun, first: wayWhole, other: other, offset: offset}
							c.runLeaving(t, leaves)
						}
					}
				})
			}
		}
	}
}

// begunCases returns whether a response may have begun before its upstream falls silent: only a stream may.
func begunCases(path string) []bool {
	if path == "/any/x" {
		return []bool{false}
	}
	return []bool{false, true}
}

func (c momentCase) runLeaving(t *testing.T, leaves time.Duration) {
	play(t, 2, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		c.at = time.Now().Add(silence)
		conn := front.dial()
		fmt.Fprint(conn, wholeRequest(c.path, "first"))
		time.Sleep(time.Until(c.at.Add(leaves)))
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
		w.checkNothingLeft(t)
		next := front.dial()
		defer func() { _ = next.Close() }()
		fmt.Fprint(next, wholeRequest(c.path, "next"))
		c.checkNext(t, bufio.NewReader(next))
	})
}

// TestStopAsUpstreamsRespondLeavesNoRequestWithoutResponse stops the entry, or ends its requests, at the
// moment at which a silent upstream goes on and another one responds.
func TestStopAsUpstreamsRespondLeavesNoRequestWithoutResponse(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(f *front){
		"requests end": func(f *front) { f.world.handler.EndRequests() },
		"stop":         func(f *front) { (&stopper{front: f, done: make(chan struct{})}).run() },
	} {
		for _, path := range []string{"/any/x", "/flow/x"} {
			for _, begun := range begunCases(path) {
				for _, first := range []string{wayWhole, wayFails} {
					t.Run(fmt.Sprintf("%s, %s, begun %t, first %s", name, strings.Split(path, "/")[1], begun, first), func(t *testing.T) {
						for _, offset := range momentOffsets() {
							for _, at := range momentOffsets() {
								c := momentCase{path: path, begun: begun, first: first, other: wayWhole, offset: offset}
								c.runStopped(t, at, stop, name == "stop")
							}
						}
					})
				}
			}
		}
	}
}

func (c momentCase) runStopped(t *testing.T, at time.Duration, stop func(f *front), mustBeWhole bool) {
	play(t, 2, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		c.at = time.Now().Add(silence)
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		stopped := make(chan struct{})
		time.AfterFunc(time.Until(c.at.Add(pathDelay+at)), func() {
			defer close(stopped)
			stop(front)
		})
		fmt.Fprint(conn, wholeRequest(c.path, "first"))
		r := bufio.NewReader(conn)
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("stop %v later: no response: %v", at, err)
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		isWhole := err == nil && response.StatusCode == http.StatusOK && string(body) == c.body()
		// A failure is forwarded, and a stream that has begun can't be refused any more.
		isEnded := err == nil && (response.Header.Get("Outcome") == string(calls.OutcomeUnknown) || c.first == wayFails && string(body) == "oops") ||
			err != nil && c.path == "/flow/x" && len(body) > 0 && strings.HasPrefix(c.body(), string(body))
		switch {
		case isWhole:
		case mustBeWhole, !isEnded:
			t.Errorf("stop %v later, other %v: status %d, %q, %v", at, c.offset, response.StatusCode, body, err)
		}
		if mustBeWhole {
			c.sendNext(t, conn, r, response.Close)
		}
		<-stopped
		w.checkNothingLeft(t)
	})
}

// sendNext sends the next request to a stopping entry, which answers it unless it has closed the connection.
func (c *momentCase) sendNext(t *testing.T, conn net.Conn, r *bufio.Reader, isLast bool) {
	t.Helper()
	if isLast {
		return
	}
	fmt.Fprint(conn, wholeRequest(c.path, "next"))
	if status, body, err := readWhole(r); err != nil || status == http.StatusOK && body != c.body() {
		t.Errorf("next: status %d, %q, %v", status, body, err)
	}
}

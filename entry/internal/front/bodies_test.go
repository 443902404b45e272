package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/tables"
	"currantport.example/entry/internal/front"
)

// post sends a request over a connection of its own, with a part of its body.
func post(t *testing.T, server *httptest.Server, timeout time.Duration, length, sent int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "POST /v1/routes/draft HTTP/1.1\r\nHost: h\r\nWorkspace: harbour\r\nContent-Type: application/json\r\nRequest-Timeout: %s\r\nContent-Length: %d\r\n\r\n%s",
		timeout, length, strings.Repeat("x", sent))
	return c
}

// answer returns the status of the response and its body.
func answer(c net.Conn) (int, string, error) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

func serveBounded(t *testing.T) *httptest.Server {
	t.Helper()
	f := front.New(front.Options{
		Sender: &fakeSender{parts: []string{"x"}}, Queues: stub{}, Lookup: stub{}, Tables: &tables.Active{},
		Trail: audit.NewTrail(zap.NewNop()), AddressTTL: time.Second, DrainTimeout: time.Second, BodyBytes: 4 * calls.MaxBodyBytes, Log: zap.NewNop(),
	})
	r := mux.NewRouter()
	f.Register(r)
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s
}

// TestStalledBodyIsRefusedAtItsTimeout stops before the end of a body.
func TestStalledBodyIsRefusedAtItsTimeout(t *testing.T) {
	s := serveBounded(t)
	c := post(t, s, 200*time.Millisecond, 100, 99)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if status, text, err := answer(c); err != nil || !strings.Contains(text, `"outcome":"not-run"`) || !strings.Contains(text, `"reason":"deadline"`) {
		t.Errorf("status %d, %s, %v", status, text, err)
	}
}

// TestStalledBodiesGiveWayToOthers has more bodies stall than fit into memory.
func TestStalledBodiesGiveWayToOthers(t *testing.T) {
	s := serveBounded(t)
	var stalled []net.Conn
	for range 20 {
		stalled = append(stalled, post(t, s, time.Minute, calls.MaxBodyBytes, calls.MaxBodyBytes-1))
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, text, err := answer(post(t, s, time.Minute, calls.MaxBodyBytes, calls.MaxBodyBytes))
		if status == http.StatusOK {
			break
		}
		if err != nil || !strings.Contains(text, `"reason":"memory"`) || time.Now().After(deadline) {
			t.Fatalf("status %d, %s, %v", status, text, err)
		}
	}
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if status, text, err := answer(c); err == nil && status == http.StatusServiceUnavailable && strings.Contains(text, `"reason":"memory"`) {
			refused++
		}
	}
	// Three fit at a time.
	if refused < 17 {
		t.Errorf("%d of 20 stalled requests were refused", refused)
	}
}

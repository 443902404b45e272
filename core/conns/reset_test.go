package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"currantport.example/core/conns"
	"currantport.example/core/links"
)

// earlyResponder is an upstream that responds to a long request at once, without a length, and then ends the
// connection while the request is still being written.
type earlyResponder struct {
	listener net.Listener
	pause    time.Duration
	end      func(c *net.TCPConn)
}

const earlyBytes = 3000

func (u *earlyResponder) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.serve(c.(*net.TCPConn))
	}
}

func (u *earlyResponder) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n%s", strings.Repeat("x", earlyBytes))
	time.Sleep(u.pause)
	u.end(c)
}

// reset closes a connection such that the peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// halfClose ends the response and reads the rest of the request.
func halfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// closeLater ends the response in order while the request goes on, and the connection later.
func closeLater(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c, 1<<20)
	reset(c)
}

// closeAtOnce ends the response in order and then resets the connection.
func closeAtOnce(c *net.TCPConn) {
	_ = c.CloseWrite()
	reset(c)
}

// exchangeEarly sends requests with a body to an early responder, and returns how many of the responses were taken
// as complete.
func exchangeEarly(t *testing.T, bodyBytes, tries int, pause time.Duration, end func(c *net.TCPConn)) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go (&earlyResponder{listener: l, pause: pause, end: end}).run()
	p, stop := conns.New(links.ExternalDialer(nil), nil)
	defer stop()
	complete := 0
	for range tries {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		c, err := p.Acquire(ctx, netip.MustParseAddrPort(l.Addr().String()), true)
		if err != nil {
			t.Fatal(err)
		}
		if response, err := c.Do(ctx, request("r", strings.Repeat("y", bodyBytes))); err == nil {
			if data, err := io.ReadAll(response.Body); err == nil && len(data) > 0 {
				complete++
			}
			response.Close()
		}
		cancel()
	}
	return complete
}

// TestResetDuringRequestIsNoEndOfResponse has an upstream reset a connection whose request is still being written.
// The kernel reports that to the read or the write, whichever comes first; the other one sees an ordinary end. It runs
// on real sockets, since networks in memory don't do that.
func TestResetDuringRequestIsNoEndOfResponse(t *testing.T) {
	for _, bodyBytes := range []int{8 << 10, 256 << 10, 4 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			if n := exchangeEarly(t, bodyBytes, 60, pause, reset); n > 0 {
				t.Errorf("%d bytes, reset after %v: %d of 60 responses were taken as complete", bodyBytes, pause, n)
			}
		}
	}
}

func TestEarlyResponseEndsInOrder(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){"half-close": halfClose, "half-close, then reset": closeLater, "half-close and reset": closeAtOnce} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			if n := exchangeEarly(t, 4<<20, 20, pause, end); n != 20 {
				t.Errorf("%s after %v: %d of 20 responses were taken as complete", name, pause, n)
			}
		}
	}
}

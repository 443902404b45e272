package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"currantport.example/core/conns"
	"currantport.example/core/links"
)

// TestCanceledRequestThatWasNotReadIsReset has an upstream read only after its request was canceled, or
// respond before that. It runs in real time, since virtual time has no sockets.
func TestCanceledRequestThatWasNotReadIsReset(t *testing.T) {
	for name, answers := range map[string]bool{"not read": false, "answered": true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var dialer net.Dialer
		p, stop := conns.New(links.Dialer(dialer.DialContext), nil)
		u := &lateReader{listener: l, answers: answers, canceled: make(chan struct{}), end: make(chan error, 1)}
		go u.run()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		c, err := p.Acquire(ctx, netip.MustParseAddrPort(l.Addr().String()), true)
		if err != nil {
			t.Fatal(err)
		}
		if response, err := c.Do(ctx, request("r1", "body")); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Close()
		}
		time.Sleep(50 * time.Millisecond)
		close(u.canceled)
		if err := <-u.end; errors.Is(err, syscall.ECONNRESET) == answers {
			t.Errorf("%s: the upstream sees the end of the connection as: %v", name, err)
		}
		stop()
		_ = l.Close()
	}
}

// lateReader is an upstream that reads its request once that was canceled, unless it answers. It reports
// how the connection ends.
type lateReader struct {
	listener net.Listener
	answers  bool
	canceled chan struct{}
	end      chan error
}

func (u *lateReader) run() {
	c, err := u.listener.Accept()
	if err != nil {
		u.end <- err
		return
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if u.answers {
		if _, err := http.ReadRequest(r); err != nil {
			u.end <- err
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\npart")
	}
	<-u.canceled
	_, err = io.Copy(io.Discard, r)
	u.end <- err
}

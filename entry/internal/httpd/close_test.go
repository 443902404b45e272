package httpd_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/entry/internal/httpd"
)

// lateListener accepts a last connection while it is being closed.
type lateListener struct {
	delay   time.Duration
	closing chan struct{}
	done    chan struct{}
	server  net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	select {
	case <-l.closing:
		return l.server, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close returns a while after the connection was accepted.
func (l *lateListener) Close() error {
	l.closing <- struct{}{}
	close(l.done)
	for begun := time.Now(); time.Since(begun) < l.delay; {
	}
	return nil
}

func (l *lateListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(clientAddress) }

// closer closes a server.
type closer struct {
	stop   func()
	closed chan struct{}
}

func (c *closer) run() {
	c.stop()
	close(c.closed)
}

// TestServerClosesWhileAConnectionArrives closes servers at various times around the arrival of a
// connection. It runs in real time, in which the moments differ.
func TestServerClosesWhileAConnectionArrives(t *testing.T) {
	for i := range 2000 {
		a, b := net.Pipe()
		l := &lateListener{delay: time.Duration(i%400) * 50 * time.Nanosecond, closing: make(chan struct{}), done: make(chan struct{}), server: a}
		_, stop := httpd.New(httpd.Options{Listener: l, Handler: http.NotFoundHandler(), Refuse: http.NotFoundHandler(), Log: zap.NewNop()})
		c := &closer{stop: stop, closed: make(chan struct{})}
		go c.run()
		select {
		case <-c.closed:
		case <-time.After(10 * time.Second):
			t.Fatalf("server %d doesn't close", i)
		}
		_ = b.Close()
	}
}

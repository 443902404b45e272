package links

import (
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// boundedReceiveBuffer bounds what the kernel receives for a connection of a bounded server.
	boundedReceiveBuffer = 32 << 10
	// BoundedConnBytes is the memory that a connection of a bounded server takes at most.
	BoundedConnBytes = boundedReceiveBuffer + 24<<10
)

// ServeBounded is Serve for clients outside of the system, whose requests are short and answered at once. It speaks
// HTTP/1.1 only and keeps at most maxConns connections: a new one replaces the one that has received nothing for the
// longest time.
func ServeBounded(l net.Listener, h http.Handler, maxConns int, log *zap.Logger, shutdownTimeout time.Duration) func() {
	s := newServer(h, log)
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	go s.run(&boundedListener{Listener: l, maxConns: max(maxConns, 1), conns: make(map[*boundedConn]struct{})})
	return func() { s.stop(shutdownTimeout) }
}

// boundedListener keeps a bounded number of connections.
type boundedListener struct {
	net.Listener
	maxConns int

	mutex sync.Mutex
	// conns has at most maxConns connections.
	conns map[*boundedConn]struct{}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if b, ok := c.(readBufferSetter); ok {
		// A failure leaves the buffer to the kernel.
		_ = b.SetReadBuffer(boundedReceiveBuffer)
	}
	k := &boundedConn{Conn: c, listener: l, receivedAt: time.Now()}
	if old := l.add(k); old != nil {
		_ = old.Close()
	}
	return k, nil
}

// add adds a connection and returns the one that it replaces, or nil.
func (l *boundedListener) add(c *boundedConn) *boundedConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var old *boundedConn
	if len(l.conns) >= l.maxConns {
		for k := range l.conns {
			if old == nil || k.receivedAt.Before(old.receivedAt) {
				old = k
			}
		}
		delete(l.conns, old)
	}
	l.conns[c] = struct{}{}
	return old
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// receivedAt is when something was last received. The mutex of the listener guards it.
	receivedAt time.Time
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mutex.Lock()
		defer c.listener.mutex.Unlock()
		c.receivedAt = time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, as net.TCPConn does.
func (c *boundedConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

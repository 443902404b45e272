package links

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"currantport.example/core/acks"
)

const (
	// ackTimeout is the time without an acknowledgment after which a peer is gone. The next check
	// is within SilenceTimeout.
	ackTimeout = SilenceTimeout - ackCheckInterval - 100*time.Millisecond
	// ackCheckInterval is the time between two checks while data is pending.
	ackCheckInterval = 500 * time.Millisecond
	// deliveryTimeout is how long the kernel keeps pending data of a closed connection for a peer
	// that reads nothing. No request lasts longer unless its route says so.
	deliveryTimeout = 30 * time.Second
)

// conn is a TCP connection that is reset once its peer is gone. A peer that reads nothing but
// acknowledges is there.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mutex sync.Mutex
	// acks is set while data may be pending, check once that was so.
	acks  *acks.Timer
	check *time.Timer
	// writes is the number of calls of Write in progress.
	writes int
	// isGone is set before the connection is reset, isClosed when it is closed or reset.
	isGone, isClosed bool
}

// newConn returns a connection that checks its peer, or the given one where that isn't possible.
func newConn(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c
	}
	return &conn{Conn: c, raw: raw}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.explain(err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.startWrite()
	n, err := c.Conn.Write(p)
	c.endWrite()
	return n, c.explain(err)
}

// explain returns acks.ErrGone in place of the error of a connection that was reset for it.
func (c *conn) explain(err error) error {
	if err == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isGone {
		return acks.ErrGone
	}
	return err
}

// startWrite begins to check the peer unless that is in progress.
func (c *conn) startWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes++
	if c.acks != nil || c.isClosed {
		return
	}
	c.acks = acks.NewTimer(time.Now(), ackTimeout)
	if c.check == nil {
		c.check = time.AfterFunc(ackCheckInterval, c.run)
		return
	}
	c.check.Reset(ackCheckInterval)
}

func (c *conn) endWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes--
}

// run checks the peer, and again later while data may be pending.
func (c *conn) run() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed {
		return
	}
	now := time.Now()
	s, err := readAckState(c.raw, now)
	switch {
	case err != nil, !s.IsPending && c.writes == 0:
		c.acks = nil
		return
	case !s.IsPending:
		c.acks = acks.NewTimer(now, ackTimeout)
		c.check.Reset(ackCheckInterval)
		return
	case !c.acks.IsGone(now, s):
		c.check.Reset(ackCheckInterval)
		return
	}
	c.isGone, c.isClosed = true, true
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isGone {
		return nil
	}
	c.isClosed = true
	if c.check != nil {
		c.check.Stop()
	}
	if c.acks != nil {
		boundDelivery(c.raw, deliveryTimeout)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what Close does with unsent data, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SetReadBuffer sets the size of the receive buffer, as net.TCPConn does.
func (c *conn) SetReadBuffer(bytes int) error {
	if b, ok := c.Conn.(readBufferSetter); ok {
		return b.SetReadBuffer(bytes)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// listener accepts connections that check their peer.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// checkedDialer opens connections that check their peer.
type checkedDialer struct{ dialer net.Dialer }

func (d *checkedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

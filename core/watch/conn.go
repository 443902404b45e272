package watch

import (
	"errors"
	"net"
	"sync"
	"time"

	"currantport.example/core/acks"
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	watcher    *Watcher
	acceptedAt time.Time
	// requests is the number of requests that were handled or are. Only the server's goroutine uses it.
	requests int
	// reading holds a token while a goroutine reads from the connection, so that the bytes stay in
	// order.
	reading chan struct{}

	mutex sync.Mutex
	// ahead holds bytes that were received during a request and that the server hasn't read yet.
	ahead []byte
	// err is the error that ended the receiving direction, or nil while it is open. Ahead is empty
	// then.
	err error
}

// AcceptedAt returns when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// Requests returns the number of requests on the connection, with the one in progress. Only the handler of
// a request may call it.
func (c *Conn) Requests() int { return c.requests }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading <- struct{}{}
	defer c.release()
	if n, err := c.readAhead(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.end(err)
	return n, err
}

// TryRead reads what has been received, without waiting for more. If that is nothing, the error is
// os.ErrDeadlineExceeded.
func (c *Conn) TryRead(p []byte) (int, error) {
	c.reading <- struct{}{}
	defer c.release()
	if n, err := c.readAhead(p); n > 0 || err != nil {
		return n, err
	}
	n, err := receive(c.Conn, p)
	c.end(err)
	return n, err
}

func (c *Conn) release() { <-c.reading }

// readAhead reads buffered bytes. The error is the one that ended the connection.
func (c *Conn) readAhead(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	n := copy(p, c.ahead)
	c.drop(n)
	return n, nil
}

// drop removes n buffered bytes. The caller holds the mutex.
func (c *Conn) drop(n int) {
	c.watcher.buffered.Add(int64(-n))
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
}

// hasRoom reports whether another read may be buffered.
func (c *Conn) hasRoom() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.ahead)+readBytes <= maxAheadBytes && c.watcher.buffered.Load()+readBytes <= c.watcher.maxBytes
}

// buffer adds received bytes.
func (c *Conn) buffer(p []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead = append(c.ahead, p...)
	c.watcher.buffered.Add(int64(len(p)))
}

// end records the end of the receiving direction. Expired deadlines don't end it.
func (c *Conn) end(err error) {
	if err == nil || isTimeout(err) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil {
		c.err = err
		if errors.Is(err, acks.ErrGone) {
			c.watcher.gone.Inc(1)
		}
	}
	c.drop(len(c.ahead))
}

// HasEnded reports whether the client is known to have closed the connection.
func (c *Conn) HasEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err != nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.end(net.ErrClosed)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, as net/http does before it closes a connection whose client
// may still be sending.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// SetReadBuffer sets the size of the receive buffer where the connection has one. A failure leaves that to the
// kernel.
func (c *Conn) SetReadBuffer(bytes int) {
	if t, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = t.SetReadBuffer(bytes)
	}
}

// SetLinger sets what Close does with unsent data, as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

package watch

import (
	"net"
	"sync"
	"time"
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	watcher *Watcher
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
	return len(c.ahead)+readBytes <= maxAheadBytes && c.watcher.buffered.Load()+readBytes <= maxTotalBytes
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

// SetLinger sets what Close does with unsent data, as net.TCPConn does.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}

// session watches a connection from the end of a request's body until its handler returns.
type session struct {
	conn   *Conn
	cancel func()
	// started is set by the goroutine of the handler.
	started bool
	stopped chan struct{}
	done    chan struct{}
	// first is the buffer of the first read.
	first [1]byte
	// holdsToken is set if run has ended because of an expired deadline and left the token of the
	// connection to close. It is valid once done is closed.
	holdsToken bool

	mutex sync.Mutex
	// isReading is true while run waits for bytes, isClosed from the beginning of close on.
	isReading, isClosed bool
}

func newSession(c *Conn, cancel func()) *session {
	return &session{conn: c, cancel: cancel, stopped: make(chan struct{}), done: make(chan struct{})}
}

// start begins to watch the connection.
func (s *session) start() {
	if s.started {
		return
	}
	s.started = true
	go s.run()
}

// close ends the session. The server may read from the connection again afterwards.
func (s *session) close() {
	defer s.cancel()
	if !s.started {
		return
	}
	close(s.stopped)
	interrupted := s.interrupt()
	<-s.done
	if interrupted {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	if s.holdsToken {
		s.conn.release()
	}
}

// interrupt ends the wait for bytes, if there is one, by an expired deadline, and reports whether it
// was set.
func (s *session) interrupt() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosed = true
	if s.isReading {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return s.isReading
}

func (s *session) setReading(isReading bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isReading = isReading && !s.isClosed
	return s.isReading
}

// run reads what the client sends ahead. It takes turns with net/http, which reads at most one byte.
func (s *session) run() {
	defer close(s.done)
	select {
	case s.conn.reading <- struct{}{}:
	case <-s.stopped:
		return
	}
	// Without the token the server can't read with the expired deadline of close.
	s.holdsToken = true
	s.readAll()
}

// readAll reads until the connection ends, a bound is reached or the session is closed.
func (s *session) readAll() {
	// Few clients send anything ahead.
	if !s.read(s.first[:]) {
		return
	}
	s.conn.watcher.ahead.Inc(1)
	p := make([]byte, readBytes)
	for s.conn.hasRoom() {
		if !s.read(p) {
			return
		}
	}
	s.conn.watcher.full.Inc(1)
}

// read buffers what is received next. It returns false if the connection has ended or the session is
// closed.
func (s *session) read(p []byte) bool {
	if !s.setReading(true) {
		return false
	}
	n, err := s.conn.Conn.Read(p)
	s.setReading(false)
	s.conn.buffer(p[:n])
	if err == nil {
		return true
	}
	if !isTimeout(err) {
		s.recordEnd(err)
	}
	return false
}

// recordEnd ends the connection and cancels the request.
func (s *session) recordEnd(err error) {
	s.conn.end(err)
	s.conn.watcher.closed.Inc(1)
	s.cancel()
}

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
	// first is the buffer of the first read, and rest that of the others.
	first [1]byte
	rest  []byte
	// hasAhead is set once the client has sent something ahead.
	hasAhead bool
	// holdsToken is true while the session has the token of the connection. It keeps it until close, so
	// that the server never reads with the expired deadline that interrupts run. It is set by start or
	// run, and read by close once run has ended.
	holdsToken bool

	mutex sync.Mutex
	// isReading is true while run waits for bytes, isClosed from the beginning of close on.
	isReading, isClosed bool
}

func newSession(c *Conn, cancel func()) *session {
	return &session{conn: c, cancel: cancel, stopped: make(chan struct{}), done: make(chan struct{})}
}

// start begins to watch the connection. A close that has been received already cancels the request
// before start returns, so that nothing is sent for a client that left before its request was read.
func (s *session) start() {
	if s.started {
		return
	}
	s.started = true
	select {
	case s.conn.reading <- struct{}{}:
		s.holdsToken = true
		s.poll()
	default:
	}
	go s.run()
}

// poll reads what has been received already.
func (s *session) poll() {
	for s.hasRoom() {
		p := s.space()
		if n, err := receive(s.conn.Conn, p); !s.record(p[:n], err) {
			return
		}
	}
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
	if !s.holdsToken {
		select {
		case s.conn.reading <- struct{}{}:
		case <-s.stopped:
			return
		}
		s.holdsToken = true
	}
	if !s.conn.HasEnded() {
		s.readAll()
	}
}

// readAll reads until the connection ends, a bound is reached or the session is closed.
func (s *session) readAll() {
	for s.hasRoom() && s.setReading(true) {
		p := s.space()
		n, err := s.conn.Conn.Read(p)
		s.setReading(false)
		if !s.record(p[:n], err) {
			return
		}
	}
}

// hasRoom reports whether more bytes may be buffered.
func (s *session) hasRoom() bool {
	if s.conn.hasRoom() {
		return true
	}
	s.conn.watcher.full.Inc(1)
	return false
}

// space returns the buffer for the next read. It is small at first, since few clients send anything
// ahead.
func (s *session) space() []byte {
	if !s.hasAhead {
		return s.first[:]
	}
	if s.rest == nil {
		s.rest = make([]byte, readBytes)
	}
	return s.rest
}

// record takes the result of a read. It returns false if no other one may follow.
func (s *session) record(p []byte, err error) bool {
	if len(p) > 0 && !s.hasAhead {
		s.hasAhead = true
		s.conn.watcher.ahead.Inc(1)
	}
	s.conn.buffer(p)
	if err != nil && !isTimeout(err) {
		s.conn.end(err)
		s.conn.watcher.closed.Inc(1)
		s.cancel()
	}
	return err == nil
}

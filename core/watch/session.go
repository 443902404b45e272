package watch

import (
	"sync"
	"time"
)

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
		// net/http is reading, and may not have seen yet what it has received.
		if isAtEnd(s.conn.Conn) {
			s.cancel()
		}
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

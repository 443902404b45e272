package memnet

import (
	"cmp"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// defaultWindowBytes bounds the bytes in flight in one direction of a connection.
	defaultWindowBytes = 1 << 20
	// maxSegmentBytes is the largest unit in which a link transmits.
	maxSegmentBytes = 16 << 10
)

// conn is one end of a TCP-like connection. It implements net.Conn.
type conn struct {
	network  *Network
	local    netip.AddrPort
	remote   netip.AddrPort
	incoming *pipe
	outgoing *pipe
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.incoming.receive(b) }

// TryRead reads without waiting. If nothing has been received the error is os.ErrDeadlineExceeded.
func (c *conn) TryRead(b []byte) (int, error) { return c.incoming.tryReceive(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.outgoing.send(b) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.incoming.closeReader()
	c.outgoing.closeWriter()
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.conns, c)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.incoming.setReadDeadline(t)
	c.outgoing.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.outgoing.setWriteDeadline(t)
	return nil
}

// segment is data in flight that becomes readable at its due time.
type segment struct {
	due  time.Time
	data []byte
}

// pipe is one direction of a connection. Its window provides flow control.
type pipe struct {
	path   Path
	window int

	mutex sync.Mutex
	// segments are in flight or unread, in order of arrival. buffered is their
	// total length in bytes.
	segments []segment
	buffered int
	// writerClosed and readerClosed tell which end has closed the pipe. On a silent
	// pipe, a close isn't visible to the other end and data is discarded.
	writerClosed  bool
	readerClosed  bool
	silent        bool
	readDeadline  time.Time
	writeDeadline time.Time
	// changed is closed and replaced on every state change, to wake blocked ends.
	changed chan struct{}
}

func newPipe(path Path) *pipe {
	return &pipe{path: path, window: cmp.Or(path.Window, defaultWindowBytes), changed: make(chan struct{})}
}

func (p *pipe) send(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(maxSegmentBytes, len(b)-sent)
		if err := p.sendSegment(b[sent : sent+n]); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

func (p *pipe) sendSegment(b []byte) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		switch {
		case p.writerClosed || p.readerClosed && !p.silent:
			return net.ErrClosed
		case isExpired(p.writeDeadline):
			return os.ErrDeadlineExceeded
		case p.silent:
			return nil
		case p.buffered < p.window:
			p.enqueue(b)
			return nil
		}
		p.wait(p.writeDeadline)
	}
}

func (p *pipe) enqueue(b []byte) {
	start := time.Now()
	due := start
	for _, l := range p.path.Links {
		if d := l.Transmit(start, len(b)); d.After(due) {
			due = d
		}
	}
	due = due.Add(p.path.Delay)
	p.segments = append(p.segments, segment{due: due, data: append([]byte(nil), b...)})
	p.buffered += len(b)
	p.notify()
}

func (p *pipe) receive(b []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		until := p.readDeadline
		if len(p.segments) > 0 && !p.silent {
			due := p.segments[0].due
			if !due.After(time.Now()) {
				return p.dequeue(b), nil
			}
			if until.IsZero() || due.Before(until) {
				until = due
			}
		}
		switch {
		case isExpired(p.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case p.readerClosed:
			return 0, net.ErrClosed
		case p.writerClosed && len(p.segments) == 0 && !p.silent:
			return 0, io.EOF
		}
		p.wait(until)
	}
}

func (p *pipe) tryReceive(b []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.silent:
	case p.readerClosed:
		return 0, net.ErrClosed
	case len(p.segments) > 0 && !p.segments[0].due.After(time.Now()):
		return p.dequeue(b), nil
	case p.writerClosed && len(p.segments) == 0:
		return 0, io.EOF
	}
	return 0, os.ErrDeadlineExceeded
}

func (p *pipe) dequeue(b []byte) int {
	s := &p.segments[0]
	n := copy(b, s.data)
	s.data = s.data[n:]
	p.buffered -= n
	if len(s.data) == 0 {
		p.segments[0].data = nil
		p.segments = p.segments[1:]
	}
	p.notify()
	return n
}

// wait releases the lock until the state changes or the time is reached. A zero
// time means no limit.
func (p *pipe) wait(until time.Time) {
	change := p.changed
	p.mutex.Unlock()
	defer p.mutex.Lock()
	if until.IsZero() {
		<-change
		return
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-change:
	case <-t.C:
	}
}

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) closeWriter() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writerClosed = true
	p.notify()
}

func (p *pipe) closeReader() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readerClosed = true
	p.notify()
}

func (p *pipe) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent = true
	p.notify()
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readDeadline = t
	p.notify()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writeDeadline = t
	p.notify()
}

func isExpired(t time.Time) bool { return !t.IsZero() && !t.After(time.Now()) }

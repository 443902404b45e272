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
	// windowBytes bounds what is under way in one direction of a connection.
	windowBytes = 1 << 20
	// segmentBytes is how much passes a link at once.
	segmentBytes = 16 << 10
)

// conn is one end of a connection.
type conn struct {
	network *Network
	local   netip.AddrPort
	remote  netip.AddrPort
	read    *pipe
	write   *pipe
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.read.receive(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.write.send(b) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.read.closeReader()
	c.write.closeWriter()
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
	c.read.setReadDeadline(t)
	c.write.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.setWriteDeadline(t)
	return nil
}

// segment is a part of what is under way.
type segment struct {
	due  time.Time
	data []byte
}

// pipe is one direction of a connection.
type pipe struct {
	path   Path
	window int

	mutex sync.Mutex
	// segments are under way, in the order in which they arrive.
	segments []segment
	held     int
	// ended tells that the writer has closed the pipe, left that the reader has.
	// The other end of a silent pipe never learns of it.
	ended   bool
	left    bool
	silent  bool
	readBy  time.Time
	writeBy time.Time
	// change is closed and replaced whenever a waiting end must look again.
	change chan struct{}
}

func newPipe(path Path) *pipe {
	return &pipe{path: path, window: cmp.Or(path.Window, windowBytes), change: make(chan struct{})}
}

func (p *pipe) send(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(segmentBytes, len(b)-sent)
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
		case p.ended || p.left && !p.silent:
			return net.ErrClosed
		case isPast(p.writeBy):
			return os.ErrDeadlineExceeded
		case p.silent:
			return nil
		case p.held < p.window:
			p.put(b)
			return nil
		}
		p.wait(p.writeBy)
	}
}

func (p *pipe) put(b []byte) {
	start := time.Now()
	due := start
	for _, l := range p.path.Links {
		if d := l.Transmit(start, len(b)); d.After(due) {
			due = d
		}
	}
	due = due.Add(p.path.Delay)
	p.segments = append(p.segments, segment{due: due, data: append([]byte(nil), b...)})
	p.held += len(b)
	p.announce()
}

func (p *pipe) receive(b []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		until := p.readBy
		if len(p.segments) > 0 && !p.silent {
			due := p.segments[0].due
			if !due.After(time.Now()) {
				return p.take(b), nil
			}
			if until.IsZero() || due.Before(until) {
				until = due
			}
		}
		switch {
		case isPast(p.readBy):
			return 0, os.ErrDeadlineExceeded
		case p.left:
			return 0, net.ErrClosed
		case p.ended && len(p.segments) == 0 && !p.silent:
			return 0, io.EOF
		}
		p.wait(until)
	}
}

func (p *pipe) take(b []byte) int {
	s := &p.segments[0]
	n := copy(b, s.data)
	s.data = s.data[n:]
	p.held -= n
	if len(s.data) == 0 {
		p.segments[0].data = nil
		p.segments = p.segments[1:]
	}
	p.announce()
	return n
}

// wait gives the lock up until something changes or the time has come.
func (p *pipe) wait(until time.Time) {
	change := p.change
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

func (p *pipe) announce() {
	close(p.change)
	p.change = make(chan struct{})
}

func (p *pipe) closeWriter() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	p.announce()
}

func (p *pipe) closeReader() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.left = true
	p.announce()
}

func (p *pipe) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent = true
	p.announce()
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readBy = t
	p.announce()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writeBy = t
	p.announce()
}

func isPast(t time.Time) bool { return !t.IsZero() && !t.After(time.Now()) }

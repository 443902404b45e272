package httpd

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"currantport.example/core/watch"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew is that of a connection on which nothing was received.
	phaseNew phase = iota
	// phaseIdle lasts from the end of a response to the first byte of the next request.
	phaseIdle
	// phaseHead lasts until the head of a request is whole.
	phaseHead
	// phaseActive lasts until the response is written.
	phaseActive
)

// clientConn is the connection of a client. The limits on idle connections and on the time for a head that
// are in force when a wait ends extend those of net/http, which are the ones at its beginning. A request
// whose first byte was received counts as begun.
type clientConn struct {
	*watch.Conn
	server *Server

	mutex sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
}

func newClientConn(s *Server, c net.Conn) *clientConn {
	k := &clientConn{Conn: s.watcher.Wrap(c), server: s, since: time.Now()}
	k.SetReadBuffer(receiveBuffer)
	return k
}

// unusedSince returns since when the connection has no request, and false if it has one or has just been accepted.
func (c *clientConn) unusedSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.since, c.phase == phaseIdle || c.phase != phaseActive && time.Since(c.since) >= lateTime
}

// connContext adds the connection to the context of its requests. It is an http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if k, ok := c.(*clientConn); ok {
		c = k.Conn
	}
	return watch.ConnContext(ctx, c)
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if c.extend() {
				continue
			}
			n, err = c.readLast(p, err)
		}
		c.recordReceived(p[:n])
		return n, err
	}
}

// extend moves the read deadline, which has passed, if the client may use the connection for longer.
func (c *clientConn) extend() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	until := c.since
	switch {
	case c.phase == phaseHead:
		until = until.Add(c.server.inForce.Load().headerTimeout)
	case c.phase == phaseIdle && !c.server.closing.Load():
		until = until.Add(c.server.inForce.Load().idleTimeout)
	}
	return until.After(time.Now()) && c.SetReadDeadline(until) == nil
}

// readLast reads what was received before the connection is closed for being idle. An expired deadline hides
// it. The error is returned if that is nothing.
func (c *clientConn) readLast(p []byte, expired error) (int, error) {
	if !c.isWaiting() || c.SetReadDeadline(time.Time{}) != nil {
		return 0, expired
	}
	n, err := c.TryRead(p)
	if n == 0 {
		return 0, expired
	}
	if errDeadline := c.SetReadDeadline(time.Now().Add(c.server.inForce.Load().headerTimeout)); errDeadline != nil {
		return n, errDeadline
	}
	return n, err
}

// isWaiting reports whether no byte of the next request was received.
func (c *clientConn) isWaiting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase == phaseNew || c.phase == phaseIdle
}

// recordReceived notes the beginning of a request. Some clients send an empty line after a body.
func (c *clientConn) recordReceived(p []byte) {
	if len(bytes.Trim(p, "\r\n")) > 0 && c.isWaiting() {
		c.setPhase(phaseHead)
	}
}

func (c *clientConn) setPhase(p phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.since = p, time.Now()
}

// observe records the state that net/http reports.
func (c *clientConn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.setPhase(phaseActive)
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.server.forget(c)
	case http.StateNew:
	}
}

// closeUnused makes net/http close the connection if no request has begun on it. It reports whether a request
// is in progress, and whether the connection is worth waiting for.
func (c *clientConn) closeUnused() (isActive, isLate bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isRecent := time.Since(c.since) < lateTime
	if c.phase == phaseIdle || c.phase == phaseNew && !isRecent {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.phase == phaseActive, c.phase == phaseIdle || c.phase != phaseActive && isRecent
}

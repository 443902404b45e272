// Package conns speaks HTTP/1.1 to upstreams over connections that it keeps.
//
// # Why not http.Transport
//
// A request that may not run twice must never be sent again behind the back of the
// process, and an answer must never reach another request than its own. Transport
// repeats requests over connections that it found closed, and takes whatever bytes
// come next on a kept connection for the answer. A Conn sends one request at a time,
// once, and tells what is known of its fate.
//
// # Kept connections
//
// A connection is kept only if the answer before was whole, nothing follows it, the
// upstream did not announce to close, and the request was read to its end. A kept
// connection on which anything has arrived meanwhile, or which the upstream may be
// about to close, isn't used again.
package conns

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantport.example/core/links"
	"currantport.example/core/shell"
)

const (
	// keptMost bounds the idle connections to one upstream.
	keptMost = 8
	// keptIdle is how long a connection is kept idle if the upstream states no time.
	// Links of the fleet may drop idle connections without notice.
	keptIdle = 4 * time.Second
	// closeMargin is how long before the upstream's own limit a connection isn't
	// used any more.
	closeMargin = 500 * time.Millisecond
	// sweepInterval is the time between two looks for connections that are too old.
	sweepInterval = time.Second
	readBuffer    = 8 << 10
)

// Pool holds the connections to the upstreams of a process. Goroutines share it.
type Pool struct {
	dial links.Dialer
	// opened and closed are called for each connection. They may be nil.
	opened func()

	mutex sync.Mutex
	// idle holds the connections to each upstream, the most recently used last.
	idle map[netip.AddrPort][]*Conn
}

// New returns a pool without connections. Opened is called for each connection that
// is made; it may be nil. The clean-up function closes the idle ones.
func New(dial links.Dialer, opened func()) (*Pool, func()) {
	p := &Pool{dial: dial, opened: opened, idle: make(map[netip.AddrPort][]*Conn)}
	g := shell.NewGroup()
	g.Go(p.run)
	return p, func() {
		g.Stop()
		p.CloseRemoved(func(netip.AddrPort) bool { return true })
	}
}

// run closes idle connections that are too old.
func (p *Pool) run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mutex.Lock()
	var old []*Conn
	for at, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(list[len(kept):])
		p.idle[at] = kept
		if len(kept) == 0 {
			delete(p.idle, at)
		}
	}
	p.mutex.Unlock()
	closeAll(old)
}

// CloseRemoved closes the idle connections to the upstreams that the function names.
func (p *Pool) CloseRemoved(gone func(netip.AddrPort) bool) {
	p.mutex.Lock()
	var old []*Conn
	for at, list := range p.idle {
		if gone(at) {
			old = append(old, list...)
			delete(p.idle, at)
		}
	}
	p.mutex.Unlock()
	closeAll(old)
}

func closeAll(list []*Conn) {
	for _, c := range list {
		c.Close()
	}
}

// Acquire returns a connection to the upstream. A fresh one carries no request before.
func (p *Pool) Acquire(ctx context.Context, at netip.AddrPort, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(at)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dial(ctx, "tcp", at.String())
	if err != nil {
		return nil, err
	}
	if p.opened != nil {
		p.opened()
	}
	return &Conn{raw: raw, pool: p, at: at, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *Pool) take(at netip.AddrPort) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[at]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[at] = list[:len(list)-1]
	if !time.Now().Before(c.until) {
		c.Close()
		return nil
	}
	return c
}

// Conn is a connection to an upstream. One goroutine owns it.
type Conn struct {
	raw    net.Conn
	pool   *Pool
	at     netip.AddrPort
	reader *bufio.Reader
	// used counts the requests that were sent.
	used int
	// until is when the connection isn't kept any longer.
	until time.Time
	// closed is set by Close, which another goroutine may call.
	closed sync.Once
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.used > 1 }

// Close ends the connection. It may be called more than once and by any goroutine.
func (c *Conn) Close() { c.closed.Do(func() { _ = c.raw.Close() }) }

// keep gives the connection back to the pool. The answer of the last request is
// whole and has the given header.
func (c *Conn) keep(h http.Header) {
	idle := keptIdle
	if limit, ok := keepAliveOf(h); ok {
		idle = min(idle, limit-closeMargin)
	}
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.until = time.Now().Add(idle)
	c.pool.mutex.Lock()
	list := c.pool.idle[c.at]
	full := len(list) >= keptMost
	if !full {
		c.pool.idle[c.at] = append(list, c)
	}
	c.pool.mutex.Unlock()
	if full {
		c.Close()
	}
}

// keepAliveOf returns the time after which the upstream closes an idle connection.
func keepAliveOf(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

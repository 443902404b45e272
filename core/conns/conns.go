// Package conns is an HTTP/1.1 client for upstreams with a pool of persistent connections.
//
// # Why not http.Transport
//
// A request that must run at most once must never be resent without the knowledge of the
// process, and a response must never reach another request. http.Transport resends requests
// when a reused connection turns out to be closed, and takes whatever bytes come next on a
// reused connection as the response. A Conn sends one request at a time, once, and reports
// whether any byte of it was sent.
//
// # Reuse
//
// A connection is reused only if the previous response was complete, no bytes follow it,
// the upstream did not announce to close, and the request was read completely. An idle
// connection that has received bytes, or that the upstream may be about to close, isn't
// reused.
//
// # Bounds
//
// The bytes of a head and of a body that isn't forwarded are bounded, and the time for the
// latter. The connection is closed when a bound is reached. The context of a request bounds the
// time for its head and its body, and the reader of the body its bytes.
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
	"sync/atomic"
	"time"

	"currantport.example/core/links"
	"currantport.example/core/shell"
)

const (
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 8
	// idleTimeout is how long a connection stays idle if the upstream states no time. Links
	// of the fleet may drop idle connections without notice.
	idleTimeout = 4 * time.Second
	// closeMargin is how long before the upstream's own idle timeout a connection is no
	// longer reused.
	closeMargin = 500 * time.Millisecond
	// sweepInterval is the time between two searches for expired idle connections.
	sweepInterval   = time.Second
	readBufferBytes = 8 << 10
)

// Pool holds the connections to the upstreams of a process. It is safe for concurrent use.
type Pool struct {
	dial links.Dialer
	// opened is called for each new connection. It may be nil.
	opened func()

	mutex sync.Mutex
	// idle holds the idle connections to each upstream, the most recently used last.
	idle map[netip.AddrPort][]*Conn
}

// New returns an empty pool. Opened is called for each new connection; it may be nil. The
// clean-up function closes the idle connections.
func New(dial links.Dialer, opened func()) (*Pool, func()) {
	p := &Pool{dial: dial, opened: opened, idle: make(map[netip.AddrPort][]*Conn)}
	g := shell.NewGroup()
	g.Go(p.run)
	return p, func() {
		g.Stop()
		p.CloseRemoved(func(netip.AddrPort) bool { return true })
	}
}

// run closes expired idle connections.
func (p *Pool) run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.closeExpired(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mutex.Lock()
	var old []*Conn
	for at, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
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

// CloseRemoved closes the idle connections to the upstreams for which removed returns true.
func (p *Pool) CloseRemoved(removed func(netip.AddrPort) bool) {
	p.mutex.Lock()
	var old []*Conn
	for at, list := range p.idle {
		if removed(at) {
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

// Acquire returns a connection to the upstream. With fresh set, it is a new one that has
// carried no request. The error is that of the dialer.
func (p *Pool) Acquire(ctx context.Context, at netip.AddrPort, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.popIdle(at)
		if c == nil {
			break
		}
		if c.isReusable() {
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
	l := &limit{raw: raw}
	return &Conn{raw: raw, pool: p, address: at, limit: l, reader: bufio.NewReaderSize(l, readBufferBytes)}, nil
}

func (p *Pool) popIdle(at netip.AddrPort) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[at]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[at] = list[:len(list)-1]
	if !time.Now().Before(c.expires) {
		c.Close()
		return nil
	}
	return c
}

// Conn is a connection to an upstream. It is owned by one goroutine.
type Conn struct {
	raw     net.Conn
	pool    *Pool
	address netip.AddrPort
	limit   *limit
	reader  *bufio.Reader
	// used counts the requests that were sent.
	used int
	// expires is when the idle connection may no longer be reused.
	expires time.Time
	// answered is set once the response to the last request has begun, which shows that the upstream has
	// read the request.
	answered atomic.Bool
	// closed guards Close, which any goroutine may call.
	closed sync.Once
}

// Reused reports whether the connection carried a request before the current one.
func (c *Conn) Reused() bool { return c.used > 1 }

// Close closes the connection. It may be called more than once and by any goroutine.
func (c *Conn) Close() { c.closed.Do(func() { _ = c.raw.Close() }) }

// cancel closes the connection during a request. If the upstream may not have read the request yet, the
// connection is reset, so that what hasn't been delivered is dropped; an orderly close would deliver it,
// however late. Once the upstream has answered, the close is orderly, since one that is lost on the way
// is sent again and a reset isn't.
func (c *Conn) cancel() {
	if l, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok && !c.answered.Load() {
		_ = l.SetLinger(0)
	}
	c.Close()
}

// release returns the connection to the pool. The last response was read completely and has
// the given header.
func (c *Conn) release(h http.Header) {
	idle := idleTimeout
	if limit, ok := keepAliveTimeout(h); ok {
		idle = min(idle, limit-closeMargin)
	}
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.expires = time.Now().Add(idle)
	c.pool.mutex.Lock()
	list := c.pool.idle[c.address]
	full := len(list) >= maxIdle
	if !full {
		c.pool.idle[c.address] = append(list, c)
	}
	c.pool.mutex.Unlock()
	if full {
		c.Close()
	}
}

// keepAliveTimeout returns the idle timeout that the upstream announced, if any.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
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

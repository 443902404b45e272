// Package httpd accepts the connections of clients and serves HTTP on them.
//
// # Limits
//
// The limits on request headers and idle connections are configured and may change.
// Connections that were accepted before keep their limits, but longer times apply to them too.
//
// # Memory
//
// The number of connections is bounded, and what the kernel receives for each of them. Where a new one exceeds the
// bound, the connection without a request that has been unused for the longest time is closed for it; if all have
// requests, the new one is closed. Bodies that aren't read are discarded after the response, so that the client
// receives it.
//
// # Shutdown
//
// A server that shuts down keeps accepting for a while, since clients cache addresses; it
// tells each client to close its connection. Then it refuses new requests and waits for
// those in progress. At its end it closes the connections without a request, and waits for
// the requests that have just begun to arrive.
package httpd

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/shell"
	"currantport.example/core/state"
	"currantport.example/core/watch"
)

const (
	// defaultMaxHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply while no
	// limits are configured, defaultAheadBytes if the options have none.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultAheadBytes     = 16 << 20
	// idleSlack is added to the configured idle timeout, so that a request sent at the last
	// moment doesn't cross the close.
	idleSlack = 500 * time.Millisecond
	// receiveBuffer bounds what the kernel receives for a connection. It is bodyReceiveBuffer in the middle of an
	// announced body, from longBytes on: the memory of such a body is reserved, and a small buffer would slow down
	// clients with long round trips.
	receiveBuffer     = 32 << 10
	bodyReceiveBuffer = 256 << 10
	longBytes         = 64 << 10
)

// ConnBytes is the memory that a connection takes at most, besides that of its request.
const ConnBytes = receiveBuffer + 24<<10

// Options are the dependencies and settings of a Server.
type Options struct {
	Listener net.Listener
	Handler  http.Handler
	// Refuse handles requests that arrive late in a shutdown.
	Refuse http.Handler
	// Refusing is called when a shutdown begins to refuse requests. It may be nil.
	Refusing func()
	// Ending is called shortly before a shutdown closes the connections of requests that are still in
	// progress, so that they can be answered. It may be nil.
	Ending func()
	// MaxConns bounds the open connections. Zero means no bound.
	MaxConns int
	// AheadBytes bounds what all clients have sent ahead of responses. Zero means 16 MiB.
	AheadBytes int64
	// DrainTime is how long a server that shuts down still serves requests.
	DrainTime time.Duration
	// ShutdownTimeout bounds the whole shutdown.
	ShutdownTimeout time.Duration
	// Scope is for the metrics. It may be nil.
	Scope tally.Scope
	Log   *zap.Logger
}

// Server accepts the connections of clients.
type Server struct {
	options    Options
	watcher    *watch.Watcher
	inProgress atomic.Int64
	// replaced counts the connections that were closed because there were too many.
	replaced tally.Counter
	// draining and then refusing are set during a shutdown.
	draining atomic.Bool
	refusing atomic.Bool
	// closing is set when a shutdown closes the connections without a request.
	closing atomic.Bool
	// inForce holds the current limits.
	inForce atomic.Pointer[limits]

	mutex  sync.Mutex
	limits state.Limits
	// conns are the open connections.
	conns map[*clientConn]struct{}
	// current serves new connections. servers holds it and the earlier ones that still have some.
	current *connServer
	servers map[*connServer]struct{}
	group   *shell.Group
}

// New starts accepting connections. The clean-up function closes the server and all
// connections at once.
func New(o Options) (*Server, func()) {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Server{
		options: o, watcher: watch.New(o.Scope, cmp.Or(o.AheadBytes, defaultAheadBytes)), replaced: o.Scope.Counter("client_replaced"),
		conns: make(map[*clientConn]struct{}), servers: make(map[*connServer]struct{}), group: shell.NewGroup(),
	}
	s.replaceServer()
	s.group.Go(s.run)
	return s, s.close
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// limits are the limits of connections, with defaults for those that aren't configured.
type limits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

func newLimits(l state.Limits) *limits {
	r := &limits{headerBytes: defaultMaxHeaderBytes, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	if l.HeaderBytes > 0 {
		r.headerBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		r.headerTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		r.idleTimeout = l.IdleTimeout + idleSlack
	}
	return r
}

// SetLimits sets the limits of connections that are accepted from now on. Open ones follow the times that
// are longer than their own.
func (s *Server) SetLimits(l state.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limits == l {
		return
	}
	s.limits = l
	s.replaceServer()
}

// replaceServer starts a server with the current limits. The caller holds the mutex, except
// in New.
func (s *Server) replaceServer() {
	l := newLimits(s.limits)
	s.inForce.Store(l)
	h := &http.Server{
		Handler: watch.Handler(s), ErrorLog: zap.NewStdLog(s.options.Log.Named("http")),
		MaxHeaderBytes: l.headerBytes, ReadHeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout,
		ConnContext: connContext,
	}
	if s.current != nil {
		s.current.listener.stop()
	}
	c := &connServer{owner: s, http: h, listener: newConnListener(s.options.Listener.Addr()), isServing: true}
	h.ConnState = c.observe
	s.current = c
	s.servers[c] = struct{}{}
	s.group.Go(c.run)
}

// run accepts connections and hands them to the current server.
func (s *Server) run(ctx context.Context) {
	for {
		c, err := s.options.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.options.Log.Warn("accept-failed", zap.Error(err))
			time.Sleep(acceptBackoff)
			continue
		}
		k := newClientConn(s, c)
		if !s.add(k) {
			_ = k.Close()
			continue
		}
		if !s.dispatch(ctx, k) {
			_ = k.Close()
			s.forget(k)
		}
	}
}

// add adds a connection. Where there are too many, it replaces an unused one. It returns false if there is none.
func (s *Server) add(c *clientConn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.options.MaxConns > 0 && len(s.conns) >= s.options.MaxConns {
		s.replaced.Inc(1)
		if !s.closeLeastUsed() {
			return false
		}
	}
	s.conns[c] = struct{}{}
	return true
}

// closeLeastUsed closes the connection without a request that has been unused for the longest time, and returns
// false if there is none. The caller holds the mutex.
func (s *Server) closeLeastUsed() bool {
	var least *clientConn
	var leastSince time.Time
	for c := range s.conns {
		if since, ok := c.unusedSince(); ok && (least == nil || since.Before(leastSince)) {
			least, leastSince = c, since
		}
	}
	if least == nil {
		return false
	}
	// net/http closes it too, but not before it has noticed.
	delete(s.conns, least)
	_ = least.Close()
	return true
}

func (s *Server) forget(c *clientConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// dispatch hands a connection to the current server, which may be replaced meanwhile. It returns
// false if this server is closed.
func (s *Server) dispatch(ctx context.Context, c net.Conn) bool {
	for ctx.Err() == nil {
		s.mutex.Lock()
		l := s.current.listener
		s.mutex.Unlock()
		if l.deliver(c) {
			return true
		}
	}
	return false
}

// acceptBackoff keeps a failing listener from using up the processor.
const acceptBackoff = 20 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	defer s.resetAborted(r)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Body == nil || r.Body == http.NoBody {
		s.handle(w, r)
		return
	}
	b := &requestBody{ReadCloser: r.Body, header: w.Header(), conn: watch.ConnOf(r), length: r.ContentLength}
	r.Body = b
	s.handle(w, r)
	// A request that is aborted ends with its connection.
	s.endBody(w, r, b)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if s.refusing.Load() {
		s.options.Refuse.ServeHTTP(w, r)
		return
	}
	s.options.Handler.ServeHTTP(w, r)
}

// resetAborted makes the server reset the connection of a response that is being aborted, if
// nothing but the end of the connection marks that of the response.
func (s *Server) resetAborted(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if c := watch.ConnOf(r); c != nil && !r.ProtoAtLeast(1, 1) {
		if err := c.SetLinger(0); err != nil {
			s.options.Log.Debug("reset-failed", zap.Error(err))
		}
	}
	panic(cause)
}

// Stop shuts the server down gracefully and returns the number of requests that were still
// in progress, or whose responses weren't written.
func (s *Server) Stop(ctx context.Context) int {
	start := time.Now()
	s.draining.Store(true)
	clocks.Sleep(ctx, s.options.DrainTime)
	s.refusing.Store(true)
	if s.options.Refusing != nil {
		s.options.Refusing()
	}
	// Requests of clients that still use the address are refused during this wait, so that
	// they go to another entry.
	for s.InProgress() > 0 && ctx.Err() == nil && time.Since(start) < s.options.ShutdownTimeout-answerTime {
		clocks.Sleep(ctx, drainPollInterval)
	}
	clocks.Sleep(ctx, min(minRefuseTime, s.options.ShutdownTimeout-answerTime-time.Since(start)))
	_ = s.options.Listener.Close()
	if s.options.Ending != nil {
		s.options.Ending()
	}
	s.closing.Store(true)
	active, others := s.closeUnused()
	for active+others > 0 && ctx.Err() == nil && time.Since(start) < s.options.ShutdownTimeout {
		clocks.Sleep(ctx, drainPollInterval)
		active, others = s.closeUnused()
	}
	return active
}

// closeUnused closes the connections without a request. It returns the number of those with one, until its
// response is written, and of the others that may be in use or will end soon.
func (s *Server) closeUnused() (active, others int) {
	s.mutex.Lock()
	all := slices.Collect(maps.Keys(s.conns))
	s.mutex.Unlock()
	for _, c := range all {
		switch isActive, isLate := c.closeUnused(); {
		case isActive:
			active++
		case isLate:
			others++
		}
	}
	return active, others
}

const (
	// drainPollInterval is the time between two checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// minRefuseTime is how long a server without requests still refuses new ones before it
	// closes its listener.
	minRefuseTime = 300 * time.Millisecond
	// answerTime is the part of the shutdown in which requests that are still in progress are answered.
	answerTime = 200 * time.Millisecond
	// lateTime is how long the end of a shutdown waits for a request on a new connection, and for the rest of
	// a head.
	lateTime = 500 * time.Millisecond
)

func (s *Server) close() {
	_ = s.options.Listener.Close()
	s.mutex.Lock()
	s.current.listener.stop()
	all := slices.Collect(maps.Keys(s.servers))
	s.mutex.Unlock()
	// Close waits until a connection that has just arrived is counted, which takes the mutex.
	for _, c := range all {
		_ = c.http.Close()
	}
	s.group.Stop()
}

// connServer serves the connections that were accepted under the same limits.
type connServer struct {
	owner    *Server
	http     *http.Server
	listener *connListener
	// isServing is set until the server takes no more connections. The owner's mutex guards it and
	// conns, the number of open connections.
	isServing bool
	conns     int
}

func (c *connServer) run(context.Context) {
	if err := c.http.Serve(c.listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		c.owner.options.Log.Error("server-failed", zap.Error(err))
	}
	c.owner.mutex.Lock()
	defer c.owner.mutex.Unlock()
	c.isServing = false
	c.forgetUnused()
}

// observe is called when the state of a connection changes.
func (c *connServer) observe(conn net.Conn, state http.ConnState) {
	if k, ok := conn.(*clientConn); ok {
		k.observe(state)
	}
	if state != http.StateNew && state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.owner.mutex.Lock()
	defer c.owner.mutex.Unlock()
	if state == http.StateNew {
		c.conns++
		return
	}
	c.conns--
	c.forgetUnused()
}

// forgetUnused drops a replaced server without connections. The caller holds the mutex.
func (c *connServer) forgetUnused() {
	if !c.isServing && c.conns == 0 {
		delete(c.owner.servers, c)
	}
}

// connListener is a net.Listener for connections that were accepted by another listener.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	stopped chan struct{}
	once    sync.Once
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), stopped: make(chan struct{})}
}

func (l *connListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *connListener) stop() { l.once.Do(func() { close(l.stopped) }) }

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.stop()
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

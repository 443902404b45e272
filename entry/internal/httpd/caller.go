// Package caller accepts the connections of callers.
//
// # Limits
//
// What a caller may send and how long a connection may be idle is configured and may
// change. Connections that were accepted before keep the limits of that time.
//
// # Stop
//
// A server that stops goes on accepting for a while, since callers keep addresses; it
// tells each caller to close its connection. Then it refuses new requests and waits
// for those in progress.
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/shell"
	"currantport.example/core/state"
)

const (
	// defaultHeader, defaultHeaderTimeout and defaultIdle are the limits while none
	// are configured.
	defaultHeader        = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdle          = 60 * time.Second
	// idleSlack is how much longer than configured a connection may be idle, so that
	// a request which comes at the last moment doesn't cross the close.
	idleSlack = 500 * time.Millisecond
)

// Options are the parts of a server.
type Options struct {
	Listener net.Listener
	Handler  http.Handler
	// Refuse answers requests that come too late in a stop.
	Refuse http.Handler
	// DrainTime is how long a stopping server still takes requests.
	DrainTime time.Duration
	// ShutdownTimeout bounds the whole stop.
	ShutdownTimeout time.Duration
	Log             *zap.Logger
}

// Server accepts the connections of callers.
type Server struct {
	options Options
	running atomic.Int64
	// leaving and closed are set in the order of a stop.
	leaving atomic.Bool
	closed  atomic.Bool

	mutex  sync.Mutex
	limits state.Limits
	// current serves new connections, all have served some.
	current *http.Server
	pipe    *pipe
	all     []*http.Server
	group   *shell.Group
}

// New starts to accept. The clean-up function stops at once.
func New(o Options) (*Server, func()) {
	s := &Server{options: o, group: shell.NewGroup()}
	s.renew()
	s.group.Go(s.run)
	return s, s.close
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.running.Load()) }

// SetLimits changes the limits of connections that are accepted from now on.
func (s *Server) SetLimits(l state.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limits == l {
		return
	}
	s.limits = l
	s.renew()
}

// renew makes a server with the limits. The mutex is held, or nothing runs yet.
func (s *Server) renew() {
	l := s.limits
	h := &http.Server{
		Handler: s, ErrorLog: zap.NewStdLog(s.options.Log.Named("http")),
		MaxHeaderBytes: defaultHeader, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle,
	}
	if l.HeaderBytes > 0 {
		h.MaxHeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		h.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		h.IdleTimeout = l.IdleTimeout + idleSlack
	}
	if s.pipe != nil {
		s.pipe.end()
	}
	s.pipe = newPipe(s.options.Listener.Addr())
	s.current = h
	s.all = append(s.all, h)
	s.group.Go((&acceptor{server: h, pipe: s.pipe, log: s.options.Log}).run)
}

// run accepts connections and gives them to the current server.
func (s *Server) run(ctx context.Context) {
	for {
		c, err := s.options.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.options.Log.Warn("accept-failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		if !s.hand(c) {
			_ = c.Close()
		}
	}
}

// hand gives a connection to the current server, which may just be replaced.
func (s *Server) hand(c net.Conn) bool {
	for range 3 {
		s.mutex.Lock()
		p := s.pipe
		s.mutex.Unlock()
		if p.put(c) {
			return true
		}
	}
	return false
}

// acceptPause keeps a failing listener from taking the processor.
const acceptPause = 20 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.closed.Load() {
		s.options.Refuse.ServeHTTP(w, r)
		return
	}
	s.options.Handler.ServeHTTP(w, r)
}

// Stop ends the server gracefully and returns the number of requests that it cut.
func (s *Server) Stop(ctx context.Context) int {
	began := time.Now()
	s.leaving.Store(true)
	clocks.Sleep(ctx, s.options.DrainTime)
	s.closed.Store(true)
	// Callers that still hold the address are told to go elsewhere until then.
	for s.InProgress() > 0 && ctx.Err() == nil && time.Since(began) < s.options.ShutdownTimeout {
		clocks.Sleep(ctx, drainStep)
	}
	clocks.Sleep(ctx, min(refuseTime, s.options.ShutdownTimeout-time.Since(began)))
	_ = s.options.Listener.Close()
	for s.InProgress() > 0 && ctx.Err() == nil && time.Since(began) < s.options.ShutdownTimeout {
		clocks.Sleep(ctx, drainStep)
	}
	return s.InProgress()
}

const (
	// drainStep is the time between two looks at the requests in progress.
	drainStep = 20 * time.Millisecond
	// refuseTime is how long a server that has nothing left to do still refuses
	// requests before it closes its address.
	refuseTime = 300 * time.Millisecond
)

func (s *Server) close() {
	_ = s.options.Listener.Close()
	s.mutex.Lock()
	for _, h := range s.all {
		_ = h.Close()
	}
	s.pipe.end()
	s.mutex.Unlock()
	s.group.Stop()
}

// acceptor runs one HTTP server.
type acceptor struct {
	server *http.Server
	pipe   *pipe
	log    *zap.Logger
}

func (a *acceptor) run(context.Context) {
	if err := a.server.Serve(a.pipe); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		a.log.Error("server-failed", zap.Error(err))
	}
}

// pipe is a listener whose connections were accepted by another one.
type pipe struct {
	address net.Addr
	conns   chan net.Conn
	ended   chan struct{}
	once    sync.Once
}

func newPipe(address net.Addr) *pipe {
	return &pipe{address: address, conns: make(chan net.Conn), ended: make(chan struct{})}
}

func (p *pipe) put(c net.Conn) bool {
	select {
	case p.conns <- c:
		return true
	case <-p.ended:
		return false
	}
}

func (p *pipe) end() { p.once.Do(func() { close(p.ended) }) }

// Accept implements net.Listener.
func (p *pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipe) Close() error {
	p.end()
	return nil
}

// Addr implements net.Listener.
func (p *pipe) Addr() net.Addr { return p.address }

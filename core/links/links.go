// Package links opens the connections between processes so that one that has
// gone silent is found and replaced.
//
// # Clients
//
// Connections between the system's own processes speak HTTP/2 without
// encryption and send pings. A connection without a sign of life for
// SilenceLimit is closed, and its calls fail. Connections to outside systems
// speak HTTP/1.1, which has no pings. The kernel's probes find silent ones: with
// keep-alive while nothing is under way, with TCP_USER_TIMEOUT otherwise, and
// NewSteadyClient gives up any connection without bytes for SilenceLimit. All
// clients drop an idle connection before it can have been silent for long.
//
// # Servers
//
// Serve accepts both protocols on one address and closes silent connections
// under the same limits.
//
// # Queues
//
// The bytes under way to a call are bounded, so that bulk transfers leave links
// that they share with live requests almost without a queue.
package links

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"
)

const (
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	// SilenceTimeout is when a silent connection has been found at the latest.
	SilenceTimeout = pingInterval + pingTimeout
	// TCPUserTimeout is the TCP_USER_TIMEOUT of every connection. The kernel ends an
	// idle one at the first probe after it, which it sends once a second.
	TCPUserTimeout = 1900 * time.Millisecond

	probeInterval     = time.Second
	dialTimeout       = time.Second
	headerTimeout     = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// clientIdleTimeout is less than SilenceLimit, so that no connection that has
	// been silent for that long is used again. It also spares the pings of
	// connections that aren't in use.
	clientIdleTimeout = 2 * time.Second
	// keptIdleTimeout is longer than the time between two calls over a kept
	// connection, keptPingInterval than that between two pings of the other end.
	keptIdleTimeout  = 4 * time.Second
	keptPingInterval = 1250 * time.Millisecond
	maxHeader        = 64 << 10
	// streamBuffer bounds the bytes under way to a call between the system's own
	// processes, steadyBuffer those under way to a connection to the outside. A call
	// that takes many bytes so keeps no long queue on links that it shares.
	streamBuffer = 36 << 10
	steadyBuffer = 64 << 10
	idlePerHost  = 64
)

// Dialer opens a connection. A nil Dialer means the network of the machine.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Network is what a process opens its connections with.
type Network struct {
	Dial   Dialer
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

// SystemNetwork returns the network of the machine.
func SystemNetwork() Network { return Network{Listen: Listen} }

// NewPeerClient returns a client for the system's own processes. The clean-up
// function closes its idle connections.
func NewPeerClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, MaxReceiveBufferPerStream: streamBuffer}
	return &http.Client{Transport: t}, t.CloseIdleConnections
}

// NewPersistentClient returns a client for the system's own processes that keeps
// connections between calls which follow each other within SilenceLimit. The other
// end pings them, so that its own pings come only if those don't. The clean-up
// function closes its idle connections.
func NewPersistentClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.IdleConnTimeout = keptIdleTimeout
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: keptPingInterval, PingTimeout: SilenceTimeout - keptPingInterval}
	return &http.Client{Transport: t}, t.CloseIdleConnections
}

// NewClient returns a client for outside systems that may take long to answer,
// such as an upstream. The clean-up function closes its idle connections.
func NewClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.MaxIdleConnsPerHost = idlePerHost
	return &http.Client{Transport: t}, t.CloseIdleConnections
}

// NewDownloadClient returns a client for outside systems that answer within
// SilenceLimit and then keep bytes coming, such as a weight store. The clean-up
// function closes its idle connections.
func NewDownloadClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.MaxIdleConnsPerHost = idlePerHost
	s := steadyDialer{dial: t.DialContext}
	t.DialContext = s.dialSteady
	return &http.Client{Transport: t}, t.CloseIdleConnections
}

func newTransport(dial Dialer) *http.Transport {
	return &http.Transport{
		DialContext:        ExternalDialer(dial),
		DisableCompression: true,
		IdleConnTimeout:    clientIdleTimeout,
	}
}

// ExternalDialer returns what opens connections to outside systems. A nil Dialer means
// the network of the machine.
func ExternalDialer(dial Dialer) Dialer {
	if dial == nil {
		dial = newDialer().DialContext
	}
	return boundedDialer{dial: dial}.dialBounded
}

// boundedDialer gives up an attempt after dialTimeout.
type boundedDialer struct{ dial Dialer }

func (b boundedDialer) dialBounded(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return b.dial(ctx, network, address)
}

// steadyDialer opens connections that fail once they are silent.
type steadyDialer struct{ dial Dialer }

func (s steadyDialer) dialSteady(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := s.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if b, ok := c.(buffered); ok {
		if err := b.SetReadBuffer(steadyBuffer); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return &steadyConn{Conn: c}, nil
}

// buffered is a connection whose bytes under way can be bounded.
type buffered interface{ SetReadBuffer(bytes int) error }

// steadyConn fails a read or write that takes longer than SilenceLimit.
type steadyConn struct{ net.Conn }

// Read implements net.Conn.
func (c *steadyConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *steadyConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive(),
		ControlContext:  limitUnacknowledged,
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: pingInterval, Interval: probeInterval, Count: 3}
}

// Listen opens a TCP listener whose connections find a silent other end.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: limitUnacknowledgedListen}
	return c.Listen(ctx, "tcp", address.String())
}

// WithoutDate leaves the date out of the answers of a handler that only processes of
// the system call, which spares a seventh of a short answer's bytes.
func WithoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Serve answers on the listener until the clean-up function is called, which
// waits for the requests in progress, at most for the given time.
func Serve(l net.Listener, h http.Handler, log *zap.Logger, stopWithin time.Duration) func() {
	s := &server{log: log, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeader,
		Protocols:         serverProtocols(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		ErrorLog:          zap.NewStdLog(log.Named("http")),
	}, done: make(chan struct{})}
	go s.run(l)
	return func() { s.stop(stopWithin) }
}

func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

type server struct {
	log  *zap.Logger
	http *http.Server
	done chan struct{}
}

func (s *server) run(l net.Listener) {
	defer close(s.done)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener-failed", zap.String("address", l.Addr().String()), zap.Error(err))
	}
}

func (s *server) stop(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn("requests-cut", zap.Error(err))
		_ = s.http.Close()
	}
	<-s.done
}

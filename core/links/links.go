// Package links opens connections between processes such that silent connections are
// detected and replaced.
//
// # Clients
//
// Connections between the system's own processes use unencrypted HTTP/2 with pings. A
// connection without a sign of life for SilenceTimeout is closed, and its calls fail.
// Connections to external systems use HTTP/1.1, which has no pings. A peer that is gone is
// detected by the acknowledgments that are missing: those of keep-alive probes while
// nothing is pending, else those of data and of probes of its window. A peer that reads
// slowly, or not at all, acknowledges and keeps its connection. TCP_USER_TIMEOUT doesn't
// tell the two apart. NewDownloadClient also closes any connection without data for
// SilenceTimeout. All clients drop an idle connection before it can have been silent for
// long.
//
// Responses whose heads are malformed, or whose end may be that of a broken connection, are errors (Transport).
//
// # Servers
//
// Serve accepts both protocols on one address and closes silent connections under the
// same limits. ServeBounded also bounds the number of connections.
//
// # Queues
//
// The bytes in flight to a call are bounded, so that bulk transfers build up almost no
// queue on links that they share with live requests.
package links

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/watch"
)

const (
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	// SilenceTimeout is the time within which a silent connection is detected.
	SilenceTimeout = pingInterval + pingTimeout
	// probeInterval is the time between keep-alive probes, and until the first one.
	probeInterval = time.Second
	// maxProbes is the number of unanswered keep-alive probes after which the kernel closes a
	// connection, a probeInterval after the last one. With one that is below SilenceTimeout.
	maxProbes         = 1
	dialTimeout       = time.Second
	headerTimeout     = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// clientIdleTimeout is less than SilenceTimeout, so that no connection that has
	// been silent for that long is reused. It also avoids pings on unused connections.
	clientIdleTimeout = 2 * time.Second
	// persistentIdleTimeout is longer than the time between two calls over a persistent
	// connection, persistentPingInterval is longer than the ping interval of the other
	// end.
	persistentIdleTimeout  = 4 * time.Second
	persistentPingInterval = 1250 * time.Millisecond
	maxHeaderBytes         = 64 << 10
	// streamReceiveBuffer bounds the bytes in flight to a call between the system's own
	// processes, downloadReceiveBuffer those to a connection to an external system. This
	// keeps the queues of large downloads on shared links short.
	streamReceiveBuffer   = 36 << 10
	downloadReceiveBuffer = 64 << 10
	maxIdlePerHost        = 64
)

// Dialer opens a connection. A nil Dialer uses the network of the machine.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Network opens the connections and listeners of a process.
type Network struct {
	Dial   Dialer
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

// SystemNetwork returns the network of the machine.
func SystemNetwork() Network { return Network{Listen: Listen} }

// NewPeerClient returns a client for the system's own processes. The clean-up function
// closes its idle connections.
func NewPeerClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, MaxReceiveBufferPerStream: streamReceiveBuffer}
	return &http.Client{Transport: NewTransport(t)}, t.CloseIdleConnections
}

// NewPersistentClient returns a client for the system's own processes that keeps
// connections open between calls that follow each other within SilenceTimeout. The
// other end pings them, so this client sends pings only if those are missing. The
// clean-up function closes its idle connections.
func NewPersistentClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.IdleConnTimeout = persistentIdleTimeout
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: persistentPingInterval, PingTimeout: SilenceTimeout - persistentPingInterval}
	return &http.Client{Transport: NewTransport(t)}, t.CloseIdleConnections
}

// NewClient returns a client for external systems that may take long to respond, such as
// an upstream. The clean-up function closes its idle connections.
func NewClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.MaxIdleConnsPerHost = maxIdlePerHost
	return &http.Client{Transport: NewTransport(t)}, t.CloseIdleConnections
}

// NewDownloadClient returns a client for external systems that respond within
// SilenceTimeout and then send data without longer gaps, such as a weight store. The
// clean-up function closes its idle connections.
func NewDownloadClient(dial Dialer) (*http.Client, func()) {
	t := newTransport(dial)
	t.MaxIdleConnsPerHost = maxIdlePerHost
	d := downloadDialer{dial: t.DialContext}
	t.DialContext = d.dialDownload
	return &http.Client{Transport: NewTransport(t)}, t.CloseIdleConnections
}

func newTransport(dial Dialer) *http.Transport {
	return &http.Transport{
		DialContext:        ExternalDialer(dial),
		DisableCompression: true,
		IdleConnTimeout:    clientIdleTimeout,
		// An external system in trouble may send a head without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// ExternalDialer returns a Dialer for external systems that gives up an attempt after
// one second. A nil Dialer uses the network of the machine.
func ExternalDialer(dial Dialer) Dialer {
	if dial == nil {
		dial = newDialer().dial
	}
	return timeoutDialer{dial: dial}.dialWithTimeout
}

// timeoutDialer cancels an attempt after dialTimeout.
type timeoutDialer struct{ dial Dialer }

func (d timeoutDialer) dialWithTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.dial(ctx, network, address)
}

// downloadDialer opens connections with a bounded receive buffer that fail when they
// are silent.
type downloadDialer struct{ dial Dialer }

func (d downloadDialer) dialDownload(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if b, ok := c.(readBufferSetter); ok {
		if err := b.SetReadBuffer(downloadReceiveBuffer); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return &deadlineConn{Conn: c}, nil
}

// readBufferSetter is a connection whose bytes in flight can be bounded.
type readBufferSetter interface{ SetReadBuffer(bytes int) error }

// deadlineConn fails a read or write that takes longer than SilenceTimeout.
type deadlineConn struct{ net.Conn }

// Read implements net.Conn.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func newDialer() *checkedDialer {
	return &checkedDialer{dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive()}}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes}
}

// Listen opens a TCP listener whose connections detect a peer that is gone.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive()}
	l, err := c.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

// WithoutDate omits the Date header from the responses of a handler that only the
// system's own processes call. It makes up a seventh of a short response.
func WithoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// Serve serves requests on the listener until the clean-up function is called, which
// waits for the requests in progress for at most shutdownTimeout.
func Serve(l net.Listener, h http.Handler, log *zap.Logger, shutdownTimeout time.Duration) func() {
	s := newServer(h, log)
	go s.run(l)
	return func() { s.stop(shutdownTimeout) }
}

func newServer(h http.Handler, log *zap.Logger) *server {
	return &server{log: log, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         serverProtocols(),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		ErrorLog:          zap.NewStdLog(log.Named("http")),
		ConnContext:       watch.ConnContext,
	}, done: make(chan struct{})}
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

func (s *server) stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn("requests-cut", zap.Error(err))
		_ = s.http.Close()
	}
	<-s.done
}

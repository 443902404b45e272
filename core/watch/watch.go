// Package watch reports that a client has closed its connection while its request is handled.
//
// # Why not net/http alone
//
// net/http watches the connection of an HTTP/1 client during a request, but only until it has
// received a byte. A client that has sent its next request ahead, or an empty line after a body, could
// then disconnect unnoticed.
//
// # Bytes sent ahead
//
// What a client sends ahead is buffered, up to a bound for each connection and one for all. Beyond
// that, flow control stops the client, and a close behind the bytes that weren't received isn't seen.
// Buffered bytes are served in order while the client stays. Once it has closed the connection they
// are dropped, so that none of its requests is handled any more.
//
// A client that closes only its sending direction counts as one that has left, as in net/http.
package watch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"currantport.example/core/clocks"
)

const (
	// maxAheadBytes bounds the bytes that are buffered for a connection.
	maxAheadBytes = 256 << 10
	// readBytes is the most that is read at a time.
	readBytes = 2 << 10
)

// Watcher watches the connections of the clients of a server. It is safe for concurrent use.
type Watcher struct {
	// maxBytes bounds the bytes that are buffered for all connections.
	maxBytes int64
	// buffered is the number of bytes buffered for all connections.
	buffered atomic.Int64
	// ahead counts the requests with bytes sent ahead, and full those whose bytes reached a bound.
	ahead, full tally.Counter
	// closed counts the closes that were seen during a request, other than by net/http, and dropped the
	// requests that weren't handled because of an earlier close.
	closed, dropped tally.Counter
	// gone counts the clients that no longer acknowledged what was sent.
	gone tally.Counter
}

// New returns a Watcher with metrics in the scope. It buffers at most maxBytes of all connections together.
func New(scope tally.Scope, maxBytes int64) *Watcher {
	return &Watcher{
		maxBytes: maxBytes,
		ahead:    scope.Counter("client_ahead"), full: scope.Counter("client_ahead_full"),
		closed: scope.Counter("client_closed"), dropped: scope.Counter("client_dropped"),
		gone: scope.Counter("client_gone"),
	}
}

// Wrap returns a connection whose requests can be watched.
func (w *Watcher) Wrap(c net.Conn) *Conn {
	return &Conn{Conn: c, watcher: w, acceptedAt: clocks.Now(), reading: make(chan struct{}, 1)}
}

// Listen returns a listener of connections whose requests can be watched.
func (w *Watcher) Listen(l net.Listener) net.Listener { return listener{Listener: l, watcher: w} }

type listener struct {
	net.Listener
	watcher *Watcher
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.watcher.Wrap(c), nil
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests. It is an http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if it isn't watched. Requests of HTTP/2 share
// theirs and aren't, since they are canceled one by one.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if r.ProtoMajor != 1 {
		return nil
	}
	return c
}

// Handler returns a handler that watches the connection of each request from the end of its body on. The
// context of the request is canceled when the client has closed the connection. Requests that were
// received before a close and not yet handled are aborted.
func Handler(next http.Handler) http.Handler { return handler{next: next} }

type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := ConnOf(r)
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	if c.HasEnded() {
		c.watcher.dropped.Inc(1)
		panic(http.ErrAbortHandler)
	}
	c.requests++
	ctx, cancel := context.WithCancel(r.Context())
	s := newSession(c, cancel)
	defer s.close()
	r = r.WithContext(ctx)
	if r.Body == nil || r.Body == http.NoBody {
		s.start()
	} else {
		r.Body = &body{ReadCloser: r.Body, session: s}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request. Its end starts the session.
type body struct {
	io.ReadCloser
	session *session
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.session.start()
	}
	return n, err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

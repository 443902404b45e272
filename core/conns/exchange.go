package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"currantport.example/core/heads"
)

const (
	// maxMismatched is the number of mismatched responses that are skipped before the
	// connection is closed.
	maxMismatched = 2
	// mismatchedTimeout bounds the wait for the body of a mismatched response. The matching
	// one is lost if the connection is closed.
	mismatchedTimeout = time.Second
	// discardTimeout bounds the wait for the body of a response that isn't forwarded. Only a
	// connection is lost if it is closed.
	discardTimeout = 50 * time.Millisecond
	// concurrentWriteBytes is the length above which a request is written while the
	// response is read, since an upstream may respond before it has read everything.
	concurrentWriteBytes = 4 << 10
	// maxCopiedBytes bounds the part of a body that is copied, to be written with the head.
	maxCopiedBytes = 16 << 10
	// writeErrorTimeout bounds the wait for the error of a write that has failed, where the state of the connection
	// isn't known.
	writeErrorTimeout = 100 * time.Millisecond
	// maxInterim bounds the 1xx responses before the final one.
	maxInterim = 8
)

// SendState is how much of a request without a response was sent.
type SendState int

// The send states of a request.
const (
	// SendStateUnsent guarantees that no byte of the request has left the process.
	SendStateUnsent SendState = iota
	// SendStateUnknown leaves open whether the upstream has run the request.
	SendStateUnknown
)

// LostError reports a request without a response.
type LostError struct {
	State SendState
	Err   error
}

// Error implements error.
func (e *LostError) Error() string {
	if e.State == SendStateUnsent {
		return "not sent: " + e.Err.Error()
	}
	return "sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// ErrTooLate is the error of a request that Request.MayBeSent kept from being sent.
var ErrTooLate = errors.New("the request may not be sent any more")

var (
	errMismatched = errors.New("only responses to other requests were received")
	errUpgrade    = errors.New("the upstream switched protocols")
	errInterim    = errors.New("too many interim responses")
	errCanceled   = errors.New("request canceled")
	errClosed     = errors.New("the response was closed before its end")
	errReset      = errors.New("the connection was reset before the end of the response")
)

// Request is one request to an upstream. Its header holds only end-to-end fields; the
// connection adds the rest.
type Request struct {
	Method string
	// Target is the path and the query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to the request, by its header. IsFirst is true if the
	// upstream has written nothing else on the connection, so that the response can't be an earlier one.
	Matches func(h http.Header, isFirst bool) bool
	// MayBeSent is called right before the first byte is written. If it returns false the request isn't sent,
	// and the error is ErrTooLate. Nil means that the request may always be sent.
	MayBeSent func() bool
}

// Response is the head of a response. The owner reads Body to its end or calls Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known in advance.
	Length int64
	// Body returns io.EOF only at the proper end of the response, never after Close.
	Body io.Reader

	conn       *Conn
	raw        *http.Response
	exchange   *exchange
	lastReadAt time.Time
	// ended is true once the response was read to its end or closed, whole only in the
	// first case.
	ended      bool
	whole      bool
	stopCancel func() bool
	// reusable is true if the connection may carry another request.
	reusable bool
}

// exchange is a request in progress on a connection.
type exchange struct {
	conn *Conn
	// data is the head with the beginning of the body, and rest that of the body.
	data, rest []byte
	mayBeSent  func() bool
	// written is closed once the request has been written or writing has failed.
	written chan struct{}
	err     error
	sent    atomic.Bool
}

func (x *exchange) run() {
	defer close(x.written)
	x.write()
}

func (x *exchange) write() {
	if x.mayBeSent != nil && !x.mayBeSent() {
		x.err = ErrTooLate
		// Ends the wait for a response.
		x.conn.Close()
		return
	}
	n, err := x.conn.raw.Write(x.data)
	if n > 0 {
		x.sent.Store(true)
	}
	if err == nil && len(x.rest) > 0 {
		_, err = x.conn.raw.Write(x.rest)
	}
	x.err = err
}

func (x *exchange) sendState() SendState {
	if x.sent.Load() {
		return SendStateUnknown
	}
	return SendStateUnsent
}

// wasReset reports whether the connection, whose end was read, was reset. The kernel reports an error once, to a read
// or a write, and the other one sees an ordinary end; so the read knows of a reset only by the write. A connection
// that the upstream closed in order and reset after that fails writes with EPIPE.
func (x *exchange) wasReset() bool {
	select {
	case <-x.written:
	default:
		switch isOpen, ok := canWrite(x.conn.raw); {
		case ok && isOpen:
			return false
		case ok:
			<-x.written
		default:
			// The write has failed already if it knows of a reset. Only its goroutine needs time to say so.
			select {
			case <-x.written:
			case <-time.After(writeErrorTimeout):
				return false
			}
		}
	}
	return x.err != nil && !errors.Is(x.err, syscall.EPIPE)
}

// Do sends a request once and returns the head of its response. The connection is closed
// when the context ends before the response has been read, and on any failure; the error is
// then a LostError.
func (c *Conn) Do(ctx context.Context, r *Request) (*Response, error) {
	c.used++
	x := &exchange{conn: c, mayBeSent: r.MayBeSent, written: make(chan struct{})}
	x.data, x.rest = r.encode()
	if ctx.Err() != nil {
		return nil, c.fail(ctx, func() bool { return true }, x, ctx.Err())
	}
	c.answered.Store(false)
	stop := context.AfterFunc(ctx, c.cancel)
	concurrent := len(x.data) > concurrentWriteBytes
	if concurrent {
		go x.run()
	} else {
		x.run()
		if x.err != nil {
			return nil, c.fail(ctx, stop, x, x.err)
		}
	}
	raw, err := c.readHead(r) //nolint:bodyclose // Response.Close closes it
	if err != nil {
		if concurrent {
			c.Close()
			<-x.written
			if errors.Is(x.err, ErrTooLate) {
				err = x.err
			}
		}
		return nil, c.fail(ctx, stop, x, err)
	}
	c.answered.Store(true)
	response := &Response{
		Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength,
		conn: c, raw: raw, exchange: x, stopCancel: stop, lastReadAt: time.Now(),
	}
	response.reusable = !raw.Close && raw.ProtoAtLeast(1, 1)
	response.Body = &responseBody{response: response}
	return response, nil
}

func (c *Conn) fail(ctx context.Context, stop func() bool, x *exchange, err error) error {
	stop()
	c.Close()
	if ctx.Err() != nil {
		err = errors.Join(errCanceled, ctx.Err())
	}
	return &LostError{State: x.sendState(), Err: err}
}

// readHead reads response heads until one belongs to the request.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	interim, mismatched := 0, 0
	for {
		c.limit.set(maxHeadBytes)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		c.limit.remove()
		if err := heads.Check(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case response.StatusCode < http.StatusOK:
			if interim++; interim > maxInterim {
				return nil, errInterim
			}
			continue
		case r.Matches(response.Header, !c.Reused() && mismatched == 0):
			return response, nil
		}
		if mismatched++; mismatched > maxMismatched || response.Close {
			return nil, errMismatched
		}
		if err := c.skip(response, mismatchedTimeout); err != nil {
			return nil, errors.Join(errMismatched, err)
		}
	}
}

// skip reads the body of a response that isn't forwarded. On a failure the connection must be closed.
func (c *Conn) skip(response *http.Response, timeout time.Duration) error {
	c.limit.set(maxSkippedBytes)
	defer c.limit.remove()
	if err := c.raw.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if err := heads.CheckFields(response.Trailer); err != nil {
		return err
	}
	return c.raw.SetReadDeadline(time.Time{})
}

// encode returns the request with a Content-Length, however the client framed it. The rest is a part of the body
// that isn't copied, since each attempt would keep a copy of its own.
func (r *Request) encode() (data, rest []byte) {
	copied := min(len(r.Body), maxCopiedBytes)
	size := len(r.Method) + len(r.Target) + len(r.Host) + copied + 64
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body[:copied]...), r.Body[copied:]
}

// responseBody reads the body and returns the connection to the pool at its end.
type responseBody struct{ response *Response }

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	r := b.response
	if r.whole {
		return 0, io.EOF
	}
	if r.ended {
		return 0, errClosed
	}
	n, err := r.raw.Body.Read(p)
	if n > 0 {
		r.lastReadAt = time.Now()
	}
	if err == io.EOF {
		if errEnd := r.checkEnd(); errEnd != nil {
			r.Close()
			return n, errEnd
		}
		r.finish()
	}
	return n, err
}

// checkEnd returns an error if what looks like the end of the response is none.
func (r *Response) checkEnd() error {
	if r.IsCloseDelimited() && r.exchange.wasReset() {
		return errReset
	}
	return heads.CheckFields(r.raw.Trailer)
}

// LastReadAt returns when the last bytes of the response were read.
func (r *Response) LastReadAt() time.Time { return r.lastReadAt }

// finish ends a response that was read completely.
func (r *Response) finish() {
	r.ended, r.whole = true, true
	if !r.stopCancel() {
		// The context has ended, so the connection is being closed.
		r.conn.Close()
		return
	}
	select {
	case <-r.exchange.written:
	default:
		// The upstream responded before it read the whole request. The rest of the request
		// must not be parsed as another one.
		r.conn.Close()
		return
	}
	if !r.reusable || r.exchange.err != nil {
		r.conn.Close()
		return
	}
	r.conn.release(r.Header)
}

// Close ends the response early. The connection is closed unless the response was read to
// its end.
func (r *Response) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.stopCancel()
	r.conn.Close()
}

// Discard ends a response that isn't forwarded. If it is short, it is read to its end, so that
// its connection can be reused.
func (r *Response) Discard() {
	if r.ended {
		return
	}
	if !r.reusable || r.conn.skip(r.raw, discardTimeout) != nil {
		r.Close()
		return
	}
	r.finish()
}

// IsCloseDelimited reports whether the response ends only when the connection closes.
func (r *Response) IsCloseDelimited() bool {
	return r.Length < 0 && len(r.raw.TransferEncoding) == 0 && r.raw.Body != http.NoBody
}

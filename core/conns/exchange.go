package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// strayMost is the number of answers to other requests that are passed over
	// before the connection is given up.
	strayMost = 2
	// strayBytes bounds such an answer.
	strayBytes = 64 << 10
	// asideBytes is the length of a request from which on it is written beside the
	// reading of the answer, since an upstream may answer before it has read all.
	asideBytes = 4 << 10
	// interimMost bounds the 1xx answers before the final one.
	interimMost = 8
)

// SendState is what is known of a request that got no answer.
type SendState int

// The fates of a request.
const (
	// SendStateUnsent proves that no byte of the request has left the process.
	SendStateUnsent SendState = iota
	// SendStateUnknown leaves open whether the upstream has run the request.
	SendStateUnknown
)

// LostError tells that a request got no answer.
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

var (
	errStray     = errors.New("answers to other requests came instead")
	errUpgrade   = errors.New("the upstream changed the protocol")
	errInterim   = errors.New("too many interim answers")
	errCancelled = errors.New("given up")
)

// Request is one request to an upstream. Its header holds only what concerns both
// ends of the way; the connection adds the rest.
type Request struct {
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to the request, by its header.
	Matches func(status int, h http.Header) bool
}

// Response is the head of an answer. The owner reads Body to its end or calls Close.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if it isn't known beforehand.
	Length int64
	// Body returns io.EOF only at the proper end of the answer.
	Body io.Reader

	conn     *Conn
	response *http.Response
	exchange *exchange
	ended    bool
	stopWait func() bool
	// keepable tells that the connection may carry another request.
	keepable bool
}

// exchange is a request under way on a connection.
type exchange struct {
	conn *Conn
	data []byte
	// wrote is closed once the request has been written or writing has failed.
	wrote chan struct{}
	err   error
	sent  atomic.Bool
}

func (x *exchange) run() {
	defer close(x.wrote)
	x.write()
}

func (x *exchange) write() {
	n, err := x.conn.raw.Write(x.data)
	if n > 0 {
		x.sent.Store(true)
	}
	x.err = err
}

func (x *exchange) fate() SendState {
	if x.sent.Load() {
		return SendStateUnknown
	}
	return SendStateUnsent
}

// Do sends a request once and returns the head of its answer. The connection is
// closed when the context ends before the answer has been read, and on any failure;
// the error is then a LostError.
func (c *Conn) Do(ctx context.Context, r *Request) (*Response, error) {
	c.used++
	x := &exchange{conn: c, data: r.encode(), wrote: make(chan struct{})}
	stop := context.AfterFunc(ctx, c.Close)
	aside := len(x.data) > asideBytes
	if aside {
		go x.run()
	} else {
		x.run()
		if x.err != nil {
			return nil, c.lose(ctx, stop, x, x.err)
		}
	}
	response, err := c.readHead(r) //nolint:bodyclose // Answer.Close ends it
	if err != nil {
		if aside {
			c.Close()
			<-x.wrote
		}
		return nil, c.lose(ctx, stop, x, err)
	}
	a := &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		conn: c, response: response, exchange: x, stopWait: stop,
	}
	a.keepable = !response.Close && response.ProtoAtLeast(1, 1)
	a.Body = &answerBody{answer: a}
	return a, nil
}

func (c *Conn) lose(ctx context.Context, stop func() bool, x *exchange, err error) error {
	stop()
	c.Close()
	if ctx.Err() != nil {
		err = errors.Join(errCancelled, ctx.Err())
	}
	return &LostError{State: x.fate(), Err: err}
}

// readHead reads heads until one belongs to the request.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	interim, stray := 0, 0
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case response.StatusCode < http.StatusOK:
			if interim++; interim > interimMost {
				return nil, errInterim
			}
			continue
		case r.Matches(response.StatusCode, response.Header):
			return response, nil
		}
		if stray++; stray > strayMost || response.Close {
			return nil, errStray
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes)); err != nil || n == strayBytes {
			return nil, errStray
		}
	}
}

// encode writes the request with its length, whichever way the caller sent it.
func (r *Request) encode() []byte {
	size := len(r.Method) + len(r.Target) + len(r.Host) + len(r.Body) + 64
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
	return append(b, r.Body...)
}

// answerBody reads the body and gives the connection back at its end.
type answerBody struct{ answer *Response }

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	a := b.answer
	if a.ended {
		return 0, io.EOF
	}
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.finish()
	}
	return n, err
}

// finish ends an answer that is whole.
func (a *Response) finish() {
	a.ended = true
	if !a.stopWait() {
		// The context has ended, so that the connection is being closed.
		a.conn.Close()
		return
	}
	select {
	case <-a.exchange.wrote:
	default:
		// The upstream answered before it read the whole request. What is left
		// of the request may not be taken for another one.
		a.conn.Close()
		return
	}
	if !a.keepable || a.exchange.err != nil {
		a.conn.Close()
		return
	}
	a.conn.keep(a.Header)
}

// Close gives the answer up. The connection is closed unless the answer has been
// read to its end.
func (a *Response) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stopWait()
	a.conn.Close()
}

// SetReadTimeout bounds the wait for the next bytes of the answer. Zero means no
// bound.
func (a *Response) SetReadTimeout(d time.Duration) error {
	if d == 0 {
		return a.conn.raw.SetReadDeadline(time.Time{})
	}
	return a.conn.raw.SetReadDeadline(time.Now().Add(d))
}

// IsCloseDelimited reports whether only the end of the connection ends the answer.
func (a *Response) IsCloseDelimited() bool {
	return a.Length < 0 && len(a.response.TransferEncoding) == 0
}

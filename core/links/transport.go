package links

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"currantport.example/core/heads"
)

// maxUncheckedBytes is the length up to which a request is written at once, so that the upstream can't respond before
// that.
const maxUncheckedBytes = 4 << 10

// ErrEndUnknown is returned at the end of a response that has neither a length nor chunks, and began while its request
// was still being written. A reset of the connection may have been reported to the write alone.
var ErrEndUnknown = errors.New("the end of the response may be that of a broken connection")

// Transport is an http.RoundTripper that returns responses only if their heads are sound and, at the end of their
// bodies, whole.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses the connections of another one.
func NewTransport(base *http.Transport) *Transport { return &Transport{base: base} }

// WithoutReuse returns a transport that uses each connection for one request.
func (t *Transport) WithoutReuse() *Transport {
	c := t.base.Clone()
	c.DisableKeepAlives = true
	return NewTransport(c)
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	isLong := r.Body != nil && r.Body != http.NoBody && (r.ContentLength < 0 || r.ContentLength > maxUncheckedBytes)
	x := &exchange{}
	// HTTP/2 has neither interim responses nor ends that need a check, and its heads are checked by net/http.
	if p := t.base.Protocols; p == nil || p.HTTP1() {
		r = r.WithContext(x.trace(r.Context(), isLong))
	}
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := heads.Check(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.ProtoMajor != 1 || response.Body == http.NoBody {
		return response, nil
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	hasTrailer := len(response.TransferEncoding) > 0
	if endsUnknown := !isFramed && isLong && !x.written.Load(); endsUnknown || hasTrailer {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, endsUnknown: endsUnknown}
	}
	return response, nil
}

// exchange is a request in progress.
type exchange struct {
	// written is set once the request has been written.
	written atomic.Bool
}

// trace returns a context in which the exchange sees interim responses and, for a long request, the end of the write.
func (x *exchange) trace(ctx context.Context, isLong bool) context.Context {
	t := &httptrace.ClientTrace{Got1xxResponse: checkInterim}
	if isLong {
		t.WroteRequest = func(i httptrace.WroteRequestInfo) { x.written.Store(i.Err == nil) }
	}
	return httptrace.WithClientTrace(ctx, t)
}

func checkInterim(status int, h textproto.MIMEHeader) error {
	return heads.Check(status, http.Header(h))
}

// checkedBody is a body whose end needs a check.
type checkedBody struct {
	io.ReadCloser
	response    *http.Response
	endsUnknown bool
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.endsUnknown {
		return n, ErrEndUnknown
	}
	if err := heads.CheckFields(b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}

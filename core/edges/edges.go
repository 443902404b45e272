// Package edges holds HTTP clients for the external systems of a process. Each
// implements an interface of a domain package.
//
// # Platform
//
// Config reads and watches the configuration service, Fleet reads the list of
// hosts, and Weights reads the weight store or the origin.
//
// # Upstreams
//
// Engine is a client of a model engine, Plain of a plain service. ClientCodec and
// UpstreamCodec are the interfaces through which an entry supports a platform's own
// HTTP protocol.
//
// docs/EDGES.md specifies the protocol of each system.
package edges

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"
)

const (
	encodingGzip = "gzip"
	// maxGzipOverhead is more than compression may add to a body.
	maxGzipOverhead = 64 << 10
)

// RefusedError means that an external system refused a call temporarily.
type RefusedError struct {
	Status int
	// RetryAfter is the requested delay before the next attempt, or zero if the
	// response has none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, retry after %s", e.Status, e.RetryAfter)
}

var (
	// ErrNotFound means that the external system doesn't have the requested item.
	ErrNotFound = errors.New("not found at the external system")
	// ErrMalformed means that the external system violated its protocol.
	ErrMalformed = errors.New("malformed response of the external system")
)

func get(ctx context.Context, c *http.Client, u url.URL, headers http.Header) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, oops.In("edges").Wrap(err)
	}
	for name, values := range headers {
		r.Header[name] = values
	}
	response, err := c.Do(r)
	if err != nil {
		return nil, oops.In("edges").With("url", u.Path).Wrap(err)
	}
	if err := checkStatus(response); err != nil {
		_ = response.Body.Close()
		return nil, oops.In("edges").With("url", u.Path).Wrap(err)
	}
	return response, nil
}

func checkStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusPartialContent, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &RefusedError{Status: response.StatusCode, RetryAfter: retryAfter(response.Header)}
	}
	return fmt.Errorf("%w: status %d", ErrMalformed, response.StatusCode)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// acceptGzip returns the header that allows a compressed response. Setting it
// turns off the decompression by net/http; use readBody.
func acceptGzip() http.Header { return http.Header{"Accept-Encoding": {encodingGzip}} }

// readBody reads the body of a response that may be compressed. maxBytes bounds
// the uncompressed length, and with it the compressed one, which may stand for nothing.
func readBody(response *http.Response, maxBytes int64) ([]byte, error) {
	if response.Header.Get("Content-Encoding") != encodingGzip {
		return readAll(response.Body, maxBytes)
	}
	z, err := gzip.NewReader(io.LimitReader(response.Body, maxBytes+maxGzipOverhead))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return readAll(z, maxBytes)
}

func readAll(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxBytes)
	}
	return data, nil
}

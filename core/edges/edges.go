// Package edges adapts the outside systems that a process meets to the
// interfaces of the domain packages, one HTTP adapter for each.
//
// # Platform
//
// Config reads and watches the configuration service, Fleet reads the list of
// hosts, Weights reads the weight store or the origin.
//
// # Upstreams
//
// Engine speaks with a model engine, Plain with a plain service.
//
// docs/EDGES.md states the protocol of each.
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

const encodingGzip = "gzip"

// RefusedError tells that an outside system refused a call for now.
type RefusedError struct {
	Status int
	// RetryAfter is when the system asks to come back. Zero means that it didn't say.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d, come back in %s", e.Status, e.RetryAfter)
}

var (
	// ErrNotFound tells that the outside system doesn't hold what was asked for.
	ErrNotFound = errors.New("missing at the outside system")
	// ErrMalformed tells that the outside system broke its protocol.
	ErrMalformed = errors.New("malformed answer of the outside system")
)

func get(ctx context.Context, c *http.Client, u url.URL, headers http.Header) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, oops.In("edges").Wrap(err)
	}
	for name, values := range headers {
		r.Header[name] = values
	}
	a, err := c.Do(r)
	if err != nil {
		return nil, oops.In("edges").With("url", u.Path).Wrap(err)
	}
	if err := checkStatus(a); err != nil {
		_ = a.Body.Close()
		return nil, oops.In("edges").With("url", u.Path).Wrap(err)
	}
	return a, nil
}

func checkStatus(a *http.Response) error {
	switch a.StatusCode {
	case http.StatusOK, http.StatusPartialContent, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &RefusedError{Status: a.StatusCode, RetryAfter: retryAfter(a.Header)}
	}
	return fmt.Errorf("%w: status %d", ErrMalformed, a.StatusCode)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// packed returns the header that allows a compressed answer.
func packed() http.Header { return http.Header{"Accept-Encoding": {encodingGzip}} }

// readBody reads the body of an answer that may be compressed. The bound is that
// of the plain body.
func readBody(a *http.Response, most int64) ([]byte, error) {
	if a.Header.Get("Content-Encoding") != encodingGzip {
		return readAll(a.Body, most)
	}
	z, err := gzip.NewReader(a.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return readAll(z, most)
}

func readAll(r io.Reader, most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > most {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, most)
	}
	return data, nil
}

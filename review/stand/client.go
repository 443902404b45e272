package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a consumer got for a request.
type answer struct {
	id     string
	sentAt time.Time
	status int
	signed string
	body   string
	err    error
}

// lastID makes the ids of requests unique.
var lastID atomic.Int64

func nextID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastID.Add(1)) }

// request is one consumer attempt.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
	header                            map[string]string
}

// send sends a request to an entry on a new connection, and reads the answer to its end.
func send(at string, q request) answer {
	a := answer{id: q.id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+at+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = q.host
	r.Header.Set("X-Currantport-Attempt-Id", q.id)
	r.Header.Set("X-Currantport-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Api-Key", q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signed = response.StatusCode, response.Header.Get("X-Currantport-Response-Signature")
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, %v", a.status, a.err)
	}
	return fmt.Sprintf("%d", a.status)
}

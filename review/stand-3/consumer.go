package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a consumer got for an attempt.
type answer struct {
	status     int
	retryAfter time.Duration
	err        error
}

var attempts atomic.Int64

// client opens a connection for each request, as a consumer's new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one consumer attempt to an entry.
func (w *world) send(e *entry, method, host, path, body, key string, deadline time.Duration, note string) answer {
	attempt := fmt.Sprintf("%016x", attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.calls+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set(headerID, attempt)
	r.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", key)
	w.mutex.Lock()
	w.sent = append(w.sent, time.Now())
	w.mutex.Unlock()
	w.record.add("consumer sends %s to %s: %s", attempt, e.name, note)
	response, err := client.Do(r)
	if err != nil {
		w.record.add("consumer gets no answer to %s: %v", attempt, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, err: err}
	if s, errParse := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); errParse == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	w.record.add("consumer gets %d to %s, MAC %q, whole %t", a.status, attempt, response.Header.Get(headerMAC), err == nil)
	return a
}

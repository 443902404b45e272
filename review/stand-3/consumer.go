package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
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

// ask sends a request as a consumer with one retry does, to one of the entries, and reports whether it was served. It
// honours Retry-After up to a third of the time that is left. A request that may not run twice is sent again only
// after a promise that it has not run, or if no connection was established.
func (w *world) ask(entries func() []*entry, method, host, path, body, key string, deadline time.Duration, note string) bool {
	began := time.Now()
	var failed *entry
	for range 2 {
		left := deadline - time.Since(began)
		if left <= 0 {
			return false
		}
		e := choose(entries(), failed)
		a := w.send(e, method, host, path, body, key, left, note)
		if a.err == nil && a.status == http.StatusOK {
			return true
		}
		isPromise := a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
		if method != http.MethodGet && !isPromise && !errors.Is(a.err, syscall.ECONNREFUSED) {
			return false
		}
		if a.err != nil {
			failed = e
		}
		time.Sleep(min(a.retryAfter, (deadline-time.Since(began))/3))
	}
	return false
}

// choose returns one of the entries at random, not the one that has failed unless it is the only one.
func choose(all []*entry, failed *entry) *entry {
	others := slices.DeleteFunc(slices.Clone(all), func(e *entry) bool { return e == failed })
	if len(others) == 0 {
		return all[0]
	}
	return others[rand.IntN(len(others))]
}

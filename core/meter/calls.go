package meter

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
)

const (
	statusClass   = 100
	leastDuration = time.Millisecond
	durationSteps = 16
	unnamedPath   = "other"
)

// HTTPMiddleware returns a middleware that counts the HTTP calls to a router by path and
// status class, and how long they take.
func HTTPMiddleware(scope tally.Scope) mux.MiddlewareFunc {
	c := &counted{scope: scope, buckets: tally.MustMakeExponentialDurationBuckets(leastDuration, 2, durationSteps)}
	return func(next http.Handler) http.Handler { return &callHandler{counted: c, next: next} }
}

// counted holds what the calls to one router are counted in. A router builds its
// middleware anew for each call, so this lasts longer than a callHandler.
type counted struct {
	scope   tally.Scope
	buckets tally.Buckets
	// series holds a *series for each seriesKey that has occurred.
	series sync.Map
}

// callHandler counts the calls to the next handler.
type callHandler struct {
	counted *counted
	next    http.Handler
}

// seriesKey names the calls that are counted together.
type seriesKey struct {
	path  string
	class int
}

// series counts the calls of one key.
type series struct {
	calls   tally.Counter
	seconds tally.Histogram
}

// ServeHTTP implements http.Handler.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	o := &observer{ResponseWriter: w, status: http.StatusOK}
	defer func() {
		s := h.counted.find(seriesKey{path: pathOf(r), class: o.status / statusClass})
		s.calls.Inc(1)
		s.seconds.RecordDuration(time.Since(start))
	}()
	h.next.ServeHTTP(o, r)
}

func (c *counted) find(k seriesKey) *series {
	if s, ok := c.series.Load(k); ok {
		return s.(*series)
	}
	scope := c.scope.Tagged(map[string]string{"path": k.path, "class": strconv.Itoa(k.class)})
	s, _ := c.series.LoadOrStore(k, &series{calls: scope.Counter("calls"), seconds: scope.Histogram("seconds", c.buckets)})
	return s.(*series)
}

// pathOf returns the template of the route, so that the number of series stays
// bounded.
func pathOf(r *http.Request) string {
	route := mux.CurrentRoute(r)
	if route == nil {
		return unnamedPath
	}
	path, err := route.GetPathTemplate()
	if err != nil {
		return unnamedPath
	}
	return path
}

// observer remembers the status of an answer.
type observer struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (o *observer) WriteHeader(status int) {
	o.status = status
	o.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (o *observer) Flush() { _ = http.NewResponseController(o.ResponseWriter).Flush() }

// Unwrap lets a response controller reach the writer below.
func (o *observer) Unwrap() http.ResponseWriter { return o.ResponseWriter }

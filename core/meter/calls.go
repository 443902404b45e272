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
	statusClassSize = 100
	minDuration     = time.Millisecond
	durationBuckets = 16
	unmatchedPath   = "other"
)

// HTTPMiddleware returns a middleware that counts the HTTP calls to a router by path
// template and status class, and records their duration.
func HTTPMiddleware(scope tally.Scope) mux.MiddlewareFunc {
	c := &callMetrics{scope: scope, buckets: tally.MustMakeExponentialDurationBuckets(minDuration, 2, durationBuckets)}
	return func(next http.Handler) http.Handler { return &callHandler{metrics: c, next: next} }
}

// callMetrics holds the series of one router. A router applies its middleware again for
// each call, so they can't be kept in a callHandler.
type callMetrics struct {
	scope   tally.Scope
	buckets tally.Buckets
	// series maps each seriesKey seen so far to its *series.
	series sync.Map
}

// callHandler counts the calls to the next handler.
type callHandler struct {
	metrics *callMetrics
	next    http.Handler
}

// seriesKey identifies calls that are counted together.
type seriesKey struct {
	path  string
	class int
}

// series are the metrics of one seriesKey.
type series struct {
	calls   tally.Counter
	seconds tally.Histogram
}

// ServeHTTP implements http.Handler.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	defer func() {
		s := h.metrics.seriesOf(seriesKey{path: pathOf(r), class: recorder.status / statusClassSize})
		s.calls.Inc(1)
		s.seconds.RecordDuration(time.Since(start))
	}()
	h.next.ServeHTTP(recorder, r)
}

func (c *callMetrics) seriesOf(k seriesKey) *series {
	if s, ok := c.series.Load(k); ok {
		return s.(*series)
	}
	scope := c.scope.Tagged(map[string]string{"path": k.path, "class": strconv.Itoa(k.class)})
	s, _ := c.series.LoadOrStore(k, &series{calls: scope.Counter("calls"), seconds: scope.Histogram("seconds", c.buckets)})
	return s.(*series)
}

// pathOf returns the path template of the route, so that the number of series stays
// bounded.
func pathOf(r *http.Request) string {
	route := mux.CurrentRoute(r)
	if route == nil {
		return unmatchedPath
	}
	path, err := route.GetPathTemplate()
	if err != nil {
		return unmatchedPath
	}
	return path
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (r *statusRecorder) Flush() { _ = http.NewResponseController(r.ResponseWriter).Flush() }

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// Package guard keeps a process from serving requests with stale tables.
//
// A process that has just started or has resumed after a pause may hold older tables than the
// rest of the fleet. Until it has caught up, requests to routes are refused as not run.
package guard

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"currantport.example/core/calls"
)

const (
	routesPrefix = "/v1/routes/"
	// retryAfter is the delay after which a refused client should retry.
	retryAfter = time.Second
)

// New returns a middleware that refuses requests to routes while isCurrent returns false.
// Other paths pass.
func New(isCurrent func() bool) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return &handler{isCurrent: isCurrent, next: next}
	}
}

type handler struct {
	isCurrent func() bool
	next      http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, routesPrefix) && !h.isCurrent() {
		id := calls.ID(uuid.NewString())
		if head, err := calls.ReadHead(r.Header); err == nil && head.ID != "" {
			id = head.ID
		}
		calls.WriteProblem(w, id, calls.NotRun(calls.ReasonStarting, retryAfter, "the process has not caught up with the tables in force"))
		return
	}
	h.next.ServeHTTP(w, r)
}

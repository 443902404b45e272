// Package plain is a fake plain service whose calls aren't idempotent: each call
// makes a booking.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"currantport.example/stand/internal/engine"
)

const maxBodyBytes = 2 << 20

// Service makes bookings and counts them by idempotency key. The zero value is
// ready to use.
type Service struct {
	counts   engine.RunCounts
	bookings atomic.Int64
}

// Register adds the handlers to a router.
func (s *Service) Register(r *mux.Router) {
	r.HandleFunc("/v1/run/{route}", s.serveRun).Methods(http.MethodPost)
	r.HandleFunc("/v1/runs", s.counts.Serve).Methods(http.MethodGet)
}

func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	s.counts.Add(r.Header.Get("Idempotency-Key"))
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"booking": s.bookings.Add(1), "key": r.Header.Get("Idempotency-Key"),
	})
}

package links

import (
	"context"
	"net/http"
)

// holdKey is the key of the hold in the context of a call.
type holdKey struct{}

// Corker keeps back the flushes of the handler of one call, so that short pieces
// of an answer leave together. It belongs to the goroutine of the handler. A nil
// Corker lets everything through.
type Corker struct {
	http.ResponseWriter
	holds bool
}

// CorkerOf returns the hold of the call, or nil if there is none.
func CorkerOf(ctx context.Context) *Corker {
	h, _ := ctx.Value(holdKey{}).(*Corker)
	return h
}

// Cork starts to keep flushes back. What is written leaves at the latest when
// the buffer of the connection is full or the handler returns.
func (h *Corker) Cork() {
	if h != nil {
		h.holds = true
	}
}

// Uncork sends what was written and lets later flushes through.
func (h *Corker) Uncork() {
	if h == nil || !h.holds {
		return
	}
	h.holds = false
	h.Flush()
}

// Flush implements http.Flusher.
func (h *Corker) Flush() {
	if !h.holds {
		_ = http.NewResponseController(h.ResponseWriter).Flush()
	}
}

// Unwrap lets a response controller reach the writer below.
func (h *Corker) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// WithCorker gives each call to the handler a hold.
func WithCorker(next http.Handler) http.Handler { return holdHandler{next} }

type holdHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h holdHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hold := &Corker{ResponseWriter: w}
	h.next.ServeHTTP(hold, r.WithContext(context.WithValue(r.Context(), holdKey{}, hold)))
}

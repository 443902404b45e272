package links

import (
	"context"
	"net/http"
)

// corkerKey is the context key of the Corker of a call.
type corkerKey struct{}

// Corker delays the flushes of the handler of one call, so that short parts of a
// response are sent together. Only the goroutine of the handler may use it. Cork and
// Uncork do nothing on a nil Corker.
type Corker struct {
	http.ResponseWriter
	corked bool
}

// CorkerOf returns the Corker of the call, or nil if there is none.
func CorkerOf(ctx context.Context) *Corker {
	c, _ := ctx.Value(corkerKey{}).(*Corker)
	return c
}

// Cork starts to delay flushes. Written data is sent at the latest when the buffer of
// the connection is full or the handler returns.
func (c *Corker) Cork() {
	if c != nil {
		c.corked = true
	}
}

// Uncork sends the written data and stops delaying flushes.
func (c *Corker) Uncork() {
	if c == nil || !c.corked {
		return
	}
	c.corked = false
	c.Flush()
}

// Flush implements http.Flusher.
func (c *Corker) Flush() {
	if !c.corked {
		_ = http.NewResponseController(c.ResponseWriter).Flush()
	}
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (c *Corker) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WithCorker gives each call of the handler a Corker.
func WithCorker(next http.Handler) http.Handler { return corkHandler{next} }

type corkHandler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h corkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &Corker{ResponseWriter: w}
	h.next.ServeHTTP(c, r.WithContext(context.WithValue(r.Context(), corkerKey{}, c)))
}

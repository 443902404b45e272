package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestTwoSilentUpstreamsAreFollowedByAThird has two upstreams be silent for good. It guards against a
// request or a stream that waits for the second one although a sound one could take it.
func TestTwoSilentUpstreamsAreFollowedByAThird(t *testing.T) {
	for _, begun := range []bool{false, true} {
		play(t, 3, func(w io.Writer, v visit) {
			if begun && v.number == 0 {
				begin(w, v.id)
				event(w, numbered(1))
			}
			if v.number < 2 {
				<-v.ended
				return
			}
			begin(w, v.id)
			if v.after == "" {
				event(w, numbered(1))
			}
			event(w, numbered(2))
			end(w)
		}, func(w *world) {
			began := time.Now()
			a := w.request(context.Background(), "/many/x")
			if a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1)+numbered(2) {
				t.Errorf("begun %t: aborted %t, status %d, %q after %v", begun, a.aborted, a.Code, a.Body, time.Since(began))
			}
		})
	}
}

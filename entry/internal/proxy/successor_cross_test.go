package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"
)

// TestFailureOfASuccessorCrossesTheResponseOfTheSilentUpstream guards against a data race between the request and the
// attempt that it has just canceled. Both upstreams respond at the same moment.
func TestFailureOfASuccessorCrossesTheResponseOfTheSilentUpstream(t *testing.T) {
	// Virtual time begins then.
	respondAt := time.Date(2000, 1, 1, 0, 0, 1, 500e6, time.UTC)
	for range 200 {
		play(t, 2, func(w io.Writer, v visit) {
			time.Sleep(time.Until(respondAt))
			if v.number == 0 {
				good(w, v.id, "ok")
				return
			}
			fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", v.id)
		}, func(w *world) {
			if a := w.request(context.Background(), "/any/x"); a.Body.String() != "ok" {
				t.Errorf("status %d, %q", a.Code, a.Body)
			}
			if len(w.received()) != 2 {
				t.Errorf("%d attempts, want 2", len(w.received()))
			}
		})
	}
}

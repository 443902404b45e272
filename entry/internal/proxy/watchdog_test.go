package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestResponseDuringTheCheckForAnotherUpstreamRaces has failures arrive around the time at which the
// entry looks for another upstream. Only the race detector fails it, in some runs.
func TestResponseDuringTheCheckForAnotherUpstreamRaces(t *testing.T) {
	for sleep := 190 * time.Millisecond; sleep < 205*time.Millisecond; sleep += 500 * time.Microsecond {
		playWith(t, 2, plenty, func(w io.Writer, v visit) {
			time.Sleep(sleep)
			fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", v.id)
		}, func(w *world) {
			if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusInternalServerError || len(w.received()) != 2 {
				t.Errorf("a failure after %v: %d, %d attempts", sleep, a.Code, len(w.received()))
			}
		})
	}
}

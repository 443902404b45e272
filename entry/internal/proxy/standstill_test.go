package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRequestBesideASilentOneStatesTheTimeThatIsLeft has each connection take long. A request must not state more
// time than its client still waits.
func TestRequestBesideASilentOneStatesTheTimeThatIsLeft(t *testing.T) {
	for _, path := range repeatable {
		play(t, 2, func(w io.Writer, v visit) {
			if v.number == 0 {
				<-v.ended
				return
			}
			framingLength.write(w, v.id, numbered(1))
		}, func(w *world) {
			w.dialed = func(int) { time.Sleep(200 * time.Millisecond) }
			began := time.Now()
			a := w.request(context.Background(), path)
			if a.aborted || a.Code != http.StatusOK {
				t.Errorf("%s: status %d, aborted %t", path, a.Code, a.aborted)
			}
			for _, v := range w.received() {
				if left := timeoutOf(path) - v.at.Sub(began); v.remaining > left+2*time.Millisecond {
					t.Errorf("%s: request %d says %v, %v are left", path, v.number, v.remaining, left)
				}
			}
		})
	}
}

// timeoutOf returns the timeout of the route of a path.
func timeoutOf(path string) time.Duration {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r.Timeout
		}
	}
	return 0
}

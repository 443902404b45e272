package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// stallTimeout is how long clients of the routes stall and wait go without an event before they leave.
const stallTimeout = 3200 * time.Millisecond

// TestRequestAtASilentUpstreamIsAnsweredBeforeItsClientLeaves has upstreams stand still with a request,
// so that they would see the close of a client that leaves only later.
func TestRequestAtASilentUpstreamIsAnsweredBeforeItsClientLeaves(t *testing.T) {
	for _, path := range []string{"/stall/x", "/wait/x"} {
		for _, head := range []bool{false, true} {
			for upstreams := 1; upstreams <= 3; upstreams++ {
				play(t, upstreams, func(w io.Writer, v visit) {
					if head {
						begin(w, v.id)
					}
					time.Sleep(6 * time.Second)
				}, func(w *world) {
					ctx, leave := context.WithTimeout(context.Background(), stallTimeout)
					defer leave()
					a := w.request(ctx, path)
					if a.aborted || a.Code != http.StatusBadGateway || ctx.Err() != nil {
						t.Errorf("%s, %d upstreams, head %t: aborted %t, status %d, client left %t", path, upstreams, head, a.aborted, a.Code, ctx.Err() != nil)
					}
				})
			}
		}
	}
}

func TestFirstEventIsAwaitedForAsLongAsItsClientWaits(t *testing.T) {
	for _, path := range []string{"/stall/x", "/wait/x"} {
		for _, silence := range []time.Duration{2 * time.Second, 3 * time.Second} {
			play(t, 1, func(w io.Writer, v visit) {
				time.Sleep(silence)
				framingChunks.write(w, v.id, numbered(1))
			}, func(w *world) {
				if a := w.request(context.Background(), path); a.aborted || a.Body.String() != numbered(1) {
					t.Errorf("%s, silent for %v: aborted %t, status %d", path, silence, a.aborted, a.Code)
				}
			})
		}
	}
}

func TestStreamThatHasBegunIsNotCutForSilence(t *testing.T) {
	for _, path := range []string{"/stall/x", "/wait/x"} {
		for _, silence := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
			play(t, 1, pausing(silence, 0), func(w *world) {
				if a := w.request(context.Background(), path); a.aborted || a.Body.String() != numbered(1)+numbered(2) {
					t.Errorf("%s, silent for %v: aborted %t, %q", path, silence, a.aborted, a.Body)
				}
			})
		}
	}
}

package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/clocks"
)

// TestPanicLeavesNoRequestWithoutResponse has a codec panic before and after the request is sent.
func TestPanicLeavesNoRequestWithoutResponse(t *testing.T) {
	for _, path := range []string{"/once/x", "/any/x", "/flow/x"} {
		for name, headers := range map[string][]string{"before": {"Panic", "1"}, "after": nil} {
			core, logged := observer.New(zap.ErrorLevel)
			playLogged(t, 2, plenty, zap.New(core), func(w io.Writer, v visit) { answered(w, v.id, "Panic: 1") }, func(w *world) {
				a := w.request(context.Background(), path, headers...)
				if a.aborted || a.Code != http.StatusBadGateway {
					t.Errorf("%s, %s: aborted %t, status %d", path, name, a.aborted, a.Code)
				}
				if n := logged.FilterMessage("handler-panicked").Len(); n != 1 {
					t.Errorf("%s, %s: logged %d times", path, name, n)
				}
				if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) > 0 {
					t.Errorf("%s, %s: still counted: %+v", path, name, loads)
				}
			})
		}
	}
}

// TestPanicMidwayDoesNotLookComplete has the handler panic after it has begun the response.
func TestPanicMidwayDoesNotLookComplete(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, numbered(1)) }, func(w *world) {
		for _, path := range []string{"/once/x", "/flow/x"} {
			w.wrap = func(r http.ResponseWriter) http.ResponseWriter { return brokenWriter{r} }
			if a := w.request(context.Background(), path); !a.aborted {
				t.Errorf("%s: status %d, %q", path, a.Code, a.Body)
			}
		}
	})
}

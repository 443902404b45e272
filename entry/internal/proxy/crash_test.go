package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/calls"
)

func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	const upstreams, maxCrashes = 12, 5
	play(t, upstreams, func(w io.Writer, v visit) {
		if strings.Contains(v.parts, "bad") {
			v.crash()
			return
		}
		good(w, v.id, "fine")
	}, func(w *world) {
		ctx := context.Background()
		for i := range 2 * upstreams {
			a := w.request(ctx, fmt.Sprint("/any/bad", i), "Id", fmt.Sprint("b", i), "Parts", "first,bad")
			if a.Code == http.StatusOK {
				t.Errorf("request %d got a response", i)
			}
			if b := w.request(ctx, fmt.Sprint("/any/good", i), "Id", fmt.Sprint("g", i), "Parts", "first"); b.Code != http.StatusOK {
				t.Errorf("request %d without the part got status %d", i, b.Code)
			}
			if i == 2*upstreams-1 && a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
				t.Errorf("the last request ended as %q", a.Header().Get("Outcome"))
			}
			time.Sleep(150 * time.Millisecond)
		}
		crashes := 0
		for _, v := range w.received() {
			if strings.Contains(v.parts, "bad") {
				crashes++
			}
		}
		if crashes > maxCrashes {
			t.Errorf("%d upstreams crashed, want at most %d", crashes, maxCrashes)
		}
	})
}

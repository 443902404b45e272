package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"currantport.example/core/clocks"
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

// TestSilentStreamMovesSoonAfterAnotherUpstreamIsBack has the only other upstream be down when the
// entry first looks for another, 1.2 s after the last event. Clients leave after 2 s without one.
func TestSilentStreamMovesSoonAfterAnotherUpstreamIsBack(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		if v.number == 0 {
			event(w, numbered(1))
			<-v.ended
			return
		}
		event(w, numbered(2))
		end(w)
	}, func(w *world) {
		w.publish(1)
		w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		time.AfterFunc(1300*time.Millisecond, func() {
			w.publish(2)
			w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		})
		begun := time.Now()
		a := w.request(context.Background(), "/flow/x")
		if took := time.Since(begun); a.aborted || a.Body.String() != numbered(1)+numbered(2) || took > 1900*time.Millisecond {
			t.Errorf("after %v: aborted %t, %q", took, a.aborted, a.Body)
		}
	})
}

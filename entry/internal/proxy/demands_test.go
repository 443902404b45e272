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

// TestLeavingUpstreamFinishesItsStreams lets both upstreams state in their first response, one of
// them a stream, that they leave. The stream goes on to its end; later requests are refused.
func TestLeavingUpstreamFinishesItsStreams(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.number > 0 {
			answered(w, v.id, "Leaving: 1")
			return
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", v.id)
		for i := range 3 {
			event(w, numbered(i+1))
			time.Sleep(100 * time.Millisecond)
		}
		end(w)
	}, func(w *world) {
		stream := &pending{world: w, path: "/flow/x", done: make(chan response, 1)}
		go stream.run()
		time.Sleep(50 * time.Millisecond)
		if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusOK {
			t.Errorf("the other upstream: status %d", a.Code)
		}
		for range 3 {
			if a := w.request(context.Background(), "/any/x"); a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
				t.Errorf("both leave: status %d", a.Code)
			}
		}
		if a := <-stream.done; a.aborted || strings.Count(a.Body.String(), "data:") != 3 {
			t.Errorf("the stream: aborted %t, %q", a.aborted, a.Body)
		}
		if n := len(w.received()); n != 2 {
			t.Errorf("%d requests reached the upstreams, want 2", n)
		}
	})
}

// pending is a request in progress.
type pending struct {
	world *world
	path  string
	done  chan response
}

func (p *pending) run() { p.done <- p.world.request(context.Background(), p.path) }

// TestHeldUpstreamsRefuseAtOnce lets all upstreams ask for a pause. Requests in that time are
// refused at once with a time by which the pause has ended; then they are served.
func TestHeldUpstreamsRefuseAtOnce(t *testing.T) {
	const hold = 4 * time.Second
	began := time.Time{}
	play(t, 2, func(w io.Writer, v visit) {
		if time.Since(began) < hold {
			heldBack(w, v.id, hold.String())
			return
		}
		good(w, v.id, "served")
	}, func(w *world) {
		began = time.Now()
		w.request(context.Background(), "/open/x")
		for range 35 {
			time.Sleep(100 * time.Millisecond)
			sent := time.Now()
			a := w.request(context.Background(), "/open/x")
			wait, err := time.ParseDuration(a.Header().Get("Wait"))
			if a.Header().Get("Outcome") != string(calls.OutcomeNotRun) || err != nil || time.Now().Add(wait).Before(began.Add(hold)) || wait > hold+time.Second {
				t.Fatalf("status %d, %v after %s", a.Code, a.Header(), time.Since(began))
			}
			if took := time.Since(sent); took > 10*time.Millisecond {
				t.Errorf("the refusal took %s", took)
			}
		}
		if n := len(w.received()); n != 2 {
			t.Errorf("%d requests reached the upstreams, want one each", n)
		}
		time.Sleep(hold)
		if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
			t.Errorf("after the holds: status %d", a.Code)
		}
	})
}

// TestInvalidHoldIsIgnored checks a response with a time that can't be read.
func TestInvalidHoldIsIgnored(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) {
		if v.number == 0 {
			heldBack(w, v.id, strings.Repeat("soon", 100))
			return
		}
		good(w, v.id, "served")
	}, func(w *world) {
		w.request(context.Background(), "/open/x")
		if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
			t.Errorf("status %d", a.Code)
		}
	})
}

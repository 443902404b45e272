package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"currantport.example/core/crash"
)

// TestQuarantinedRequestIsNotAskedBesideASilentUpstream has another entry find out that a request crashes
// upstreams while it is at a silent one.
func TestQuarantinedRequestIsNotAskedBesideASilentUpstream(t *testing.T) {
	for _, path := range repeatable {
		play(t, 3, func(w io.Writer, v visit) {
			if v.number == 0 {
				time.Sleep(silence)
				framingLength.write(w, v.id, numbered(1))
				return
			}
			v.crash()
		}, func(w *world) {
			time.AfterFunc(100*time.Millisecond, func() {
				q := crash.NewRequest(path, "secret", []byte("body"), nil)
				for _, id := range []string{"x", "y", "z"} {
					w.crashes.RecordLoss(q, id, time.Now())
					w.crashes.RecordCrash(id, "connection refused")
				}
				if !w.crashes.IsQuarantined(q) {
					t.Error("not quarantined")
				}
			})
			a := w.request(context.Background(), path)
			if n := len(w.received()); a.aborted || a.Code != http.StatusOK || n != 1 {
				t.Errorf("%s: aborted %t, status %d, at %d upstreams", path, a.aborted, a.Code, n)
			}
		})
	}
}

// TestRequestThatCrashesSilentUpstreamsCostsFewOfThem has upstreams be silent before a request crashes them,
// which is sent again, or shares a part of its prompt with others.
func TestRequestThatCrashesSilentUpstreamsCostsFewOfThem(t *testing.T) {
	const upstreams, requests = 40, 12
	for name, c := range map[string]struct {
		path  string
		begun bool
		// one, whole and parts are how many upstreams one request may cost, all equal ones, and all with an
		// equal part.
		one, whole, parts int
	}{
		"short":                           {path: "/any/x", one: 2, whole: 2, parts: 4},
		"stream":                          {path: "/flow/x", one: 2, whole: 2, parts: 4},
		"stream that has begun":           {path: "/flow/x", begun: true, one: 2, whole: 2, parts: 4},
		"five attempts":                   {path: "/many/x", one: 5, whole: 5, parts: 5},
		"five attempts, stream has begun": {path: "/many/x", begun: true, one: 3, whole: 3, parts: 6},
	} {
		for _, silent := range []time.Duration{0, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond} {
			for _, parts := range []string{"", "first,bad"} {
				t.Run(fmt.Sprintf("%s, %v, %q", name, silent, parts), func(t *testing.T) {
					play(t, upstreams, crashing(c.begun, silent), func(w *world) {
						for i := range requests {
							path := c.path
							if parts != "" {
								path = fmt.Sprint(path, i)
							}
							w.request(context.Background(), path, "Id", fmt.Sprint("b", i), "Parts", parts)
							if n := len(w.received()); i == 0 && n > c.one {
								t.Errorf("one request crashed %d upstreams", n)
							}
							time.Sleep(500 * time.Millisecond)
							w.confirm()
						}
						if n := len(w.received()); parts == "" && n > c.whole || n > c.parts {
							t.Errorf("%d upstreams crashed", n)
						}
					})
				})
			}
		}
	}
}

// crashing returns a script of upstreams that are silent and crash, perhaps within a stream.
func crashing(begun bool, silent time.Duration) func(w io.Writer, v visit) {
	return func(w io.Writer, v visit) {
		if begun {
			begin(w, v.id)
		}
		if begun && v.after == "" {
			event(w, numbered(1))
		}
		time.Sleep(silent)
		v.crash()
	}
}

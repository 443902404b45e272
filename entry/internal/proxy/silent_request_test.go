package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/state"
)

// failed writes a failure of an upstream.
func failed(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nId: %s\r\nContent-Length: 4\r\n\r\noops", id)
}

// repeatable are the routes whose requests another upstream may take over.
var repeatable = []string{"/any/x", "/flow/x", "/many/x"}

// TestSilentRequestIsAnsweredByWhicheverUpstreamIsFirst has upstreams be silent before their response. It
// guards against a sound upstream that is given up before another one has responded.
func TestSilentRequestIsAnsweredByWhicheverUpstreamIsFirst(t *testing.T) {
	for _, path := range repeatable {
		for _, other := range []time.Duration{0, 300 * time.Millisecond, time.Second, 1700 * time.Millisecond, 4 * time.Second} {
			play(t, 2, func(w io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(silence)
				} else {
					time.Sleep(other)
				}
				framingChunks.write(w, v.id, numbered(1))
			}, func(w *world) {
				began := time.Now()
				a := w.request(context.Background(), path)
				if a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1) {
					t.Errorf("%s, %v: aborted %t, status %d, %q", path, other, a.aborted, a.Code, a.Body)
				}
				if took, bound := time.Since(began), silence+200*time.Millisecond; took > bound {
					t.Errorf("%s, %v: took %v, want at most %v", path, other, took, bound)
				}
			})
		}
	}
}

// TestSilentRequestSurvivesFailuresElsewhere has the other upstreams fail, decline or be lost, each in
// turn, while the first one is silent.
func TestSilentRequestSurvivesFailuresElsewhere(t *testing.T) {
	for _, path := range repeatable {
		for upstreams := 2; upstreams <= 5; upstreams++ {
			for shift := range 3 {
				play(t, upstreams, func(w io.Writer, v visit) {
					if v.number == 0 {
						time.Sleep(silence)
						framingLength.write(w, v.id, numbered(1))
						return
					}
					switch (v.number + shift) % 3 {
					case 0:
						failed(w, v.id)
					case 1:
						declined(w, v.id)
					case 2:
						v.crash()
					}
				}, func(w *world) {
					if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1) {
						t.Errorf("%s, %d upstreams, shift %d: aborted %t, status %d, %q", path, upstreams, shift, a.aborted, a.Code, a.Body)
					}
				})
			}
		}
	}
}

// TestFailureOfAnotherUpstreamIsForwardedIfTheSilentOneIsLost has the upstream that is asked beside a silent
// one fail, and the silent one close its connection.
func TestFailureOfAnotherUpstreamIsForwardedIfTheSilentOneIsLost(t *testing.T) {
	for _, path := range []string{"/any/x", "/flow/x"} {
		play(t, 2, func(w io.Writer, v visit) {
			if v.number == 0 {
				time.Sleep(silence)
				return
			}
			failed(w, v.id)
		}, func(w *world) {
			if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusInternalServerError || a.Body.String() != "oops" {
				t.Errorf("%s: aborted %t, status %d, %q", path, a.aborted, a.Code, a.Body)
			}
		})
	}
}

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

// TestFewerUpstreamsAreAskedThanTheRouteAllows has all upstreams be silent and counts those that got the
// request, and those that still have it once it has ended.
func TestFewerUpstreamsAreAskedThanTheRouteAllows(t *testing.T) {
	for path, most := range map[string]int{"/any/x": 2, "/flow/x": 2, "/many/x": 5, "/once/x": 1, "/live/x": 1} {
		play(t, 8, func(_ io.Writer, v visit) { <-v.ended }, func(w *world) {
			if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusGatewayTimeout {
				t.Errorf("%s: aborted %t, status %d", path, a.aborted, a.Code)
			}
			time.Sleep(10 * time.Millisecond)
			visits := w.received()
			if len(visits) > most {
				t.Errorf("%s: %d upstreams got the request, want at most %d", path, len(visits), most)
			}
			for _, v := range visits {
				select {
				case <-v.ended:
				default:
					t.Errorf("%s: upstream %d works on", path, v.upstream)
				}
			}
		})
	}
}

// TestResponseIsOfOneVersion has two engines with different versions respond within a moment of each
// other, so that either may be the first.
func TestResponseIsOfOneVersion(t *testing.T) {
	for offset := -3 * time.Millisecond; offset <= 3*time.Millisecond; offset += 100 * time.Microsecond {
		synctest.Test(t, func(t *testing.T) {
			firstAt := time.Now().Add(silence)
			w, apply, stop := newEngineWorld(t, 2, func(w io.Writer, v visit) {
				at := firstAt
				if v.number > 0 {
					at = at.Add(offset)
				}
				time.Sleep(time.Until(at))
				begin(w, v.id)
				for i := range 3 {
					event(w, fmt.Sprintf("id: %d\ndata: u%d\n\n", i+1, v.upstream))
					time.Sleep(time.Millisecond)
				}
				end(w)
			})
			defer stop()
			other := encoded(state.EncodeUpstream(&state.Upstream{ID: "u1", Pool: "p", Address: address(1), Domain: "d", Slots: 4, Held: []state.HeldVersion{{Model: "m", Version: 2, Whole: true}}}))
			apply(engineRow(0), other)
			a := w.request(context.Background(), "/flow/x")
			body := a.Body.String()
			if a.aborted || strings.Count(body, "data: ") != 3 || strings.Contains(body, "u0") && strings.Contains(body, "u1") {
				t.Errorf("%v: aborted %t, status %d, %q", offset, a.aborted, a.Code, body)
			}
		})
	}
}

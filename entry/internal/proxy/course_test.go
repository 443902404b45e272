package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/calls"
	"currantport.example/entry/internal/proxy"
)

func TestAnswerGoesToItsCaller(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, "hello") }, func(w *world) {
		a := w.ask(context.Background(), "/once/x")
		if a.Code != http.StatusOK || a.Body.String() != "hello" || a.Header().Get("Signature") != "s" {
			t.Errorf("%d %q %v", a.Code, a.Body, a.Header())
		}
		if v := w.seen()[0]; v.workspace != "harbour" || v.body != "body" {
			t.Errorf("the upstream got %+v", v)
		}
	})
}

// TestLostAnswerIsNeverRepeatedUnlessAllowed has the first upstream lose its answer.
func TestLostAnswerIsNeverRepeatedUnlessAllowed(t *testing.T) {
	for path, want := range map[string]struct{ status, sendings int }{
		"/once/x": {http.StatusBadGateway, 1}, "/any/x": {http.StatusOK, 2}, "/rush/x": {http.StatusBadGateway, 1},
	} {
		play(t, 3, func(w io.Writer, v visit) {
			if v.number > 0 {
				good(w, v.id, "second")
			}
		}, func(w *world) {
			a := w.ask(context.Background(), path)
			if a.Code != want.status || len(w.seen()) != want.sendings {
				t.Errorf("%s: status %d after %d sendings, want %d after %d", path, a.Code, len(w.seen()), want.status, want.sendings)
			}
			if want.status != http.StatusOK && a.Header().Get("Outcome") != string(calls.OutcomeUnknown) {
				t.Errorf("%s: outcome %q", path, a.Header().Get("Outcome"))
			}
		})
	}
}

func TestDeclinedRequestGoesElsewhereAndIsRefusedTruly(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.number == 0 {
			declined(w, v.id)
			return
		}
		good(w, v.id, "taken")
	}, func(w *world) {
		if a := w.ask(context.Background(), "/once/x"); a.Code != http.StatusOK || len(w.seen()) != 2 {
			t.Errorf("status %d after %d sendings", a.Code, len(w.seen()))
		}
	})
	play(t, 2, func(w io.Writer, v visit) { declined(w, v.id) }, func(w *world) {
		began := time.Now()
		a := w.ask(context.Background(), "/once/x")
		if a.Header().Get("Outcome") != string(calls.OutcomeNotRun) || a.Header().Get("Wait") == "0s" {
			t.Errorf("status %d, %v", a.Code, a.Header())
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the refusal was held back for %v", took)
		}
	})
}

// TestRunAndDeclinedIsUnknown loses the first answer of a request that may be repeated;
// all others decline.
func TestRunAndDeclinedIsUnknown(t *testing.T) {
	play(t, 4, func(w io.Writer, v visit) {
		if v.number > 0 {
			declined(w, v.id)
		}
	}, func(w *world) {
		a := w.ask(context.Background(), "/any/x")
		if a.Header().Get("Outcome") != string(calls.OutcomeUnknown) {
			t.Errorf("status %d, %v: it may have run", a.Code, a.Header())
		}
	})
}

func TestAnswerToAnotherRequestReachesNobody(t *testing.T) {
	play(t, 1, func(w io.Writer, _ visit) { good(w, "another", "secret of another") }, func(w *world) {
		a := w.ask(context.Background(), "/once/x")
		if a.Code != http.StatusBadGateway || strings.Contains(a.Body.String(), "secret") {
			t.Errorf("%d %q", a.Code, a.Body)
		}
	})
}

func TestUnsignedSuccessReachesNobody(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", v.id)
	}, func(w *world) {
		if a := w.ask(context.Background(), "/once/x"); a.Code != http.StatusBadGateway {
			t.Errorf("%d %q", a.Code, a.Body)
		}
	})
}

// TestStreamGoesOnWithoutAGap breaks a stream off within its third event.
func TestStreamGoesOnWithoutAGap(t *testing.T) {
	whole := numbered(1) + numbered(2) + numbered(3) + numbered(4)
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		if v.number == 0 {
			event(w, numbered(1)+numbered(2)+"id: 3\nda")
			time.Sleep(50 * time.Millisecond)
			return
		}
		event(w, numbered(2))
		event(w, numbered(3))
		event(w, numbered(4))
		end(w)
	}, func(w *world) {
		a := w.ask(context.Background(), "/flow/x")
		if a.broken || a.Body.String() != whole {
			t.Errorf("broken %t, %q", a.broken, a.Body)
		}
		if seen := w.seen(); len(seen) != 2 || seen[1].after != "2" {
			t.Errorf("%+v", seen)
		}
	})
}

func TestStreamThatMayNotGoOnIsBrokenOff(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		event(w, numbered(1))
		time.Sleep(50 * time.Millisecond)
	}, func(w *world) {
		a := w.ask(context.Background(), "/rush/x")
		if !a.broken || len(w.seen()) != 1 {
			t.Errorf("broken %t after %d sendings: %q", a.broken, len(w.seen()), a.Body)
		}
	})
}

// TestSilentStreamGoesOnElsewhere lets the first upstream stop without a word.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
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
		began := time.Now()
		a := w.ask(context.Background(), "/flow/x")
		if a.Body.String() != numbered(1)+numbered(2) {
			t.Errorf("%q", a.Body)
		}
		// Callers leave after a gap of two seconds.
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
	})
}

// TestCallWithoutCallerIsCancelled has the caller leave before the first byte and in the
// middle of a stream. The upstream must know within half a second.
func TestCallWithoutCallerIsCancelled(t *testing.T) {
	for _, path := range []string{"/once/x", "/flow/x"} {
		play(t, 2, func(w io.Writer, v visit) {
			if path == "/flow/x" {
				begin(w, v.id)
				event(w, numbered(1))
			}
			<-v.ended
		}, func(w *world) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			left, leave := context.WithCancel(context.Background())
			context.AfterFunc(ctx, leave)
			began := time.Now()
			w.ask(left, path)
			<-w.seen()[0].ended
			if took := time.Since(began); took > 800*time.Millisecond || len(w.seen()) != 1 {
				t.Errorf("%s: the upstream was told after %v, %d sendings", path, took, len(w.seen()))
			}
		})
	}
}

// TestOldCopyRefusesKeys lets the copy of the keys grow older than a key that was taken
// away may be served.
func TestOldCopyRefusesKeys(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, "ok") }, func(w *world) {
		if a := w.ask(context.Background(), "/any/x", "Key", "unknown"); a.Code != http.StatusUnauthorized {
			t.Errorf("an unknown key: %d", a.Code)
		}
		time.Sleep(3 * time.Second)
		if a := w.ask(context.Background(), "/any/x", "Key", "unknown"); a.Code != http.StatusServiceUnavailable {
			t.Errorf("an unknown key with a copy that may lack it: %d", a.Code)
		}
		if a := w.ask(context.Background(), "/any/x"); a.Code != http.StatusOK {
			t.Errorf("a known key: %d", a.Code)
		}
		time.Sleep(1500 * time.Millisecond)
		if a := w.ask(context.Background(), "/any/x"); a.Code != http.StatusServiceUnavailable || a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
			t.Errorf("a key that may have been taken away: %d", a.Code)
		}
		if a := w.ask(context.Background(), "/open/x"); a.Code != http.StatusOK {
			t.Errorf("a route without keys: %d", a.Code)
		}
	})
}

func TestSlowUpstreamEndsAtTheTimeout(t *testing.T) {
	play(t, 1, func(_ io.Writer, v visit) { <-v.ended }, func(w *world) {
		began := time.Now()
		a := w.ask(context.Background(), "/once/x", "Patience", "1500")
		if took := time.Since(began); a.Code != http.StatusGatewayTimeout || took > 1600*time.Millisecond {
			t.Errorf("status %d after %v", a.Code, took)
		}
	})
}

func TestLongBodyIsAnsweredWhole(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, string(long)) }, func(w *world) {
		if a := w.ask(context.Background(), "/once/x"); !bytes.Equal(a.Body.Bytes(), long) {
			t.Errorf("%d of %d bytes", a.Body.Len(), len(long))
		}
	})
}

// TestReturningCallersAreKnown lets callers of a route state times that differ a little.
func TestReturningCallersAreKnown(t *testing.T) {
	var w proxy.Timeouts
	ask := func(patience time.Duration, after string) bool {
		return w.IsRetry("r", &calls.Call{Timeout: patience, LastEventID: after})
	}
	for _, patience := range []time.Duration{6 * time.Second, 5200 * time.Millisecond, 5900 * time.Millisecond} {
		if ask(patience, "") {
			t.Errorf("a caller that waits for %v comes for the first time", patience)
		}
	}
	if !ask(4900*time.Millisecond, "") {
		t.Error("a caller that comes back after a second isn't known")
	}
	if ask(3*time.Second, "12") || ask(0, "") {
		t.Error("a stream that goes on, or a caller that states nothing, counts as one that comes back")
	}
}

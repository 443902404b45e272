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
	"currantport.example/core/state"
	"currantport.example/entry/internal/proxy"
)

func TestResponseReachesItsClient(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, "hello") }, func(w *world) {
		a := w.request(context.Background(), "/once/x")
		if a.Code != http.StatusOK || a.Body.String() != "hello" || a.Header().Get("Signature") != "s" {
			t.Errorf("%d %q %v", a.Code, a.Body, a.Header())
		}
		if v := w.received()[0]; v.workspace != "harbour" || v.body != "body" {
			t.Errorf("the upstream received %+v", v)
		}
	})
}

// TestLostResponseIsRetriedOnlyIfAllowed has the first upstream lose its response.
func TestLostResponseIsRetriedOnlyIfAllowed(t *testing.T) {
	for path, want := range map[string]struct{ status, attempts int }{
		"/once/x": {http.StatusBadGateway, 1}, "/any/x": {http.StatusOK, 2}, "/rush/x": {http.StatusBadGateway, 1},
	} {
		play(t, 3, func(w io.Writer, v visit) {
			if v.number > 0 {
				good(w, v.id, "second")
			}
		}, func(w *world) {
			a := w.request(context.Background(), path)
			if a.Code != want.status || len(w.received()) != want.attempts {
				t.Errorf("%s: status %d after %d attempts, want %d after %d", path, a.Code, len(w.received()), want.status, want.attempts)
			}
			if want.status != http.StatusOK && a.Header().Get("Outcome") != string(calls.OutcomeUnknown) {
				t.Errorf("%s: outcome %q", path, a.Header().Get("Outcome"))
			}
		})
	}
}

func TestDeclinedRequestIsRetriedThenRefused(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.number == 0 {
			declined(w, v.id)
			return
		}
		good(w, v.id, "taken")
	}, func(w *world) {
		if a := w.request(context.Background(), "/once/x"); a.Code != http.StatusOK || len(w.received()) != 2 {
			t.Errorf("status %d after %d attempts", a.Code, len(w.received()))
		}
	})
	play(t, 2, func(w io.Writer, v visit) { declined(w, v.id) }, func(w *world) {
		began := time.Now()
		a := w.request(context.Background(), "/once/x")
		if a.Header().Get("Outcome") != string(calls.OutcomeNotRun) || a.Header().Get("Wait") == "0s" {
			t.Errorf("status %d, %v", a.Code, a.Header())
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
	})
}

// TestLostThenDeclinedIsUnknown loses the first response to a retryable request; all other
// upstreams decline.
func TestLostThenDeclinedIsUnknown(t *testing.T) {
	play(t, 4, func(w io.Writer, v visit) {
		if v.number > 0 {
			declined(w, v.id)
		}
	}, func(w *world) {
		a := w.request(context.Background(), "/any/x")
		if a.Header().Get("Outcome") != string(calls.OutcomeUnknown) {
			t.Errorf("status %d, %v: it may have run", a.Code, a.Header())
		}
	})
}

func TestMismatchedResponseIsNotForwarded(t *testing.T) {
	play(t, 1, func(w io.Writer, _ visit) { good(w, "another", "secret of another") }, func(w *world) {
		a := w.request(context.Background(), "/once/x")
		if a.Code != http.StatusBadGateway || strings.Contains(a.Body.String(), "secret") {
			t.Errorf("%d %q", a.Code, a.Body)
		}
	})
}

func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", v.id)
	}, func(w *world) {
		if a := w.request(context.Background(), "/once/x"); a.Code != http.StatusBadGateway {
			t.Errorf("%d %q", a.Code, a.Body)
		}
	})
}

// TestStreamResumesWithoutGap interrupts a stream within its third event.
func TestStreamResumesWithoutGap(t *testing.T) {
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
		a := w.request(context.Background(), "/flow/x")
		if a.aborted || a.Body.String() != whole {
			t.Errorf("aborted %t, %q", a.aborted, a.Body)
		}
		if seen := w.received(); len(seen) != 2 || seen[1].after != "2" {
			t.Errorf("%+v", seen)
		}
	})
}

func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		event(w, numbered(1))
		time.Sleep(50 * time.Millisecond)
	}, func(w *world) {
		a := w.request(context.Background(), "/rush/x")
		if !a.aborted || len(w.received()) != 1 {
			t.Errorf("aborted %t after %d attempts: %q", a.aborted, len(w.received()), a.Body)
		}
	})
}

// TestSilentStreamResumesAtAnotherUpstream has the first upstream stop sending while its connection
// stays open.
func TestSilentStreamResumesAtAnotherUpstream(t *testing.T) {
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
		a := w.request(context.Background(), "/flow/x")
		if a.Body.String() != numbered(1)+numbered(2) {
			t.Errorf("%q", a.Body)
		}
		// Clients give up after a gap of two seconds.
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
	})
}

// TestDisconnectedClientCancelsAttempt has the client disconnect before the first byte and
// in the middle of a stream. The upstream must notice within half a second.
func TestDisconnectedClientCancelsAttempt(t *testing.T) {
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
			clientCtx, disconnect := context.WithCancel(context.Background())
			context.AfterFunc(ctx, disconnect)
			began := time.Now()
			w.request(clientCtx, path)
			<-w.received()[0].ended
			if took := time.Since(began); took > 800*time.Millisecond || len(w.received()) != 1 {
				t.Errorf("%s: the upstream noticed after %v, %d attempts", path, took, len(w.received()))
			}
		})
	}
}

// TestAbandonedRequestGetsNoSuccess ends the context of a request as a client does that closes only
// its sending direction. The server responds with an empty success for a handler that returns.
func TestAbandonedRequestGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/once/x", "/any/x", "/flow/x"} {
		play(t, 2, func(_ io.Writer, v visit) { <-v.ended }, func(w *world) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			clientCtx, disconnect := context.WithCancel(context.Background())
			context.AfterFunc(ctx, disconnect)
			if a := w.request(clientCtx, path); !a.aborted {
				t.Errorf("%s: status %d", path, a.Code)
			}
		})
	}
}

// TestStaleReplicaRefusesKeys lets the replica become too stale to serve a key that may
// have been revoked.
func TestStaleReplicaRefusesKeys(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, "ok") }, func(w *world) {
		if a := w.request(context.Background(), "/any/x", "Key", "unknown"); a.Code != http.StatusUnauthorized {
			t.Errorf("an unknown key: %d", a.Code)
		}
		time.Sleep(3 * time.Second)
		if a := w.request(context.Background(), "/any/x", "Key", "unknown"); a.Code != http.StatusServiceUnavailable {
			t.Errorf("an unknown key with a replica that may lack it: %d", a.Code)
		}
		if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusOK {
			t.Errorf("a known key: %d", a.Code)
		}
		time.Sleep(1500 * time.Millisecond)
		if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusServiceUnavailable || a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
			t.Errorf("a key that may have been revoked: %d", a.Code)
		}
		if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
			t.Errorf("a route without keys: %d", a.Code)
		}
	})
}

// TestRevokedKeysAreRefusedByEveryKindOfRoute revokes keys until none is left and moves one to another
// workspace. It guards against requests that run without a key once the last one is revoked.
func TestRevokedKeysAreRefusedByEveryKindOfRoute(t *testing.T) {
	keys := func(name string, keys ...string) state.Row {
		return encoded(state.EncodeWorkspace(&state.Workspace{Name: name, Keys: keys}))
	}
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, v.workspace) }, func(w *world) {
		check := func(step, key string, status int, workspace string) {
			t.Helper()
			for _, path := range []string{"/any/x", "/once/x"} {
				a := w.request(context.Background(), path, "Key", key)
				if a.Code != status || workspace != "" && a.Body.String() != workspace {
					t.Errorf("%s, %s with %q: status %d, %q", step, path, key, a.Code, a.Body.String())
				}
			}
		}
		check("before", "secret", http.StatusOK, "harbour")
		w.apply(keys("harbour", "other"), keys("quay", "secret"))
		check("moved", "secret", http.StatusOK, "quay")
		w.apply(keys("quay"))
		check("revoked", "secret", http.StatusUnauthorized, "")
		check("revoked", "other", http.StatusOK, "harbour")
		w.apply(keys("harbour"))
		for _, key := range []string{"secret", "other", "never", ""} {
			check("none left", key, http.StatusUnauthorized, "")
		}
		if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
			t.Errorf("a route without keys: %d", a.Code)
		}
		w.apply(keys("harbour", "third"))
		check("added", "third", http.StatusOK, "harbour")
		check("added", "secret", http.StatusUnauthorized, "")
	})
}

func TestSlowUpstreamEndsAtTheTimeout(t *testing.T) {
	play(t, 1, func(_ io.Writer, v visit) { <-v.ended }, func(w *world) {
		began := time.Now()
		a := w.request(context.Background(), "/once/x", "Timeout", "1500")
		if took := time.Since(began); a.Code != http.StatusGatewayTimeout || took > 1600*time.Millisecond {
			t.Errorf("status %d after %v", a.Code, took)
		}
	})
}

func TestLongResponseIsForwardedWhole(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	play(t, 1, func(w io.Writer, v visit) { good(w, v.id, string(long)) }, func(w *world) {
		if a := w.request(context.Background(), "/once/x"); !bytes.Equal(a.Body.Bytes(), long) {
			t.Errorf("%d of %d bytes", a.Body.Len(), len(long))
		}
	})
}

// TestRetryIsDetectedByTimeout has clients of a route state timeouts that differ slightly.
func TestRetryIsDetectedByTimeout(t *testing.T) {
	var timeouts proxy.Timeouts
	isRetry := func(timeout time.Duration, lastEventID string) bool {
		return timeouts.IsRetry("r", &calls.Call{Timeout: timeout, LastEventID: lastEventID})
	}
	for _, timeout := range []time.Duration{6 * time.Second, 5200 * time.Millisecond, 5900 * time.Millisecond} {
		if isRetry(timeout, "") {
			t.Errorf("a first request with timeout %v counts as a retry", timeout)
		}
	}
	if !isRetry(4900*time.Millisecond, "") {
		t.Error("a retry after a second isn't detected")
	}
	if isRetry(3*time.Second, "12") || isRetry(0, "") {
		t.Error("a resumed stream or a request without a timeout counts as a retry")
	}
}

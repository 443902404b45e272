package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/state"
)

// withdrawalTime is how long after a release an entry withdraws what hasn't begun on the version before.
const withdrawalTime = versionTimeout - 400*time.Millisecond

// limitOffsets are the times around a limit, each several times since the order of what happens at the
// same time isn't determined.
func limitOffsets() []time.Duration {
	var all []time.Duration
	for d := -2 * time.Millisecond; d <= 2*time.Millisecond; d += 100 * time.Microsecond {
		all = append(all, d)
	}
	for range 40 {
		all = append(all, 0)
	}
	return all
}

// TestResponseThatBeginsAsTheClientsPatienceEndsIsNotCut has the first part of a response arrive at the time
// at which a request without one is given up. It guards against a response that is begun and cut.
func TestResponseThatBeginsAsTheClientsPatienceEndsIsNotCut(t *testing.T) {
	const limit = stallTimeout - 150*time.Millisecond
	for _, path := range []string{"/stall/x", "/wait/x"} {
		for _, offset := range limitOffsets() {
			var at time.Time
			play(t, 1, func(w io.Writer, v visit) {
				time.Sleep(time.Until(at))
				writeParts(w, v)
			}, func(w *world) {
				front := w.serve()
				defer front.stop()
				conn := front.dial()
				defer func() { _ = conn.Close() }()
				at = time.Now().Add(limit + offset)
				fmt.Fprint(conn, wholeRequest(path, "first"))
				checkWholeOrRefused(t, conn, fmt.Sprintf("%s, %v", path, offset))
				w.checkNothingLeft(t)
			})
		}
	}
}

// writeParts writes two events, the second one a while after the first.
func writeParts(w io.Writer, v visit) {
	begin(w, v.id)
	if v.after == "" {
		event(w, numbered(1))
		time.Sleep(200 * time.Millisecond)
	}
	event(w, numbered(2))
	end(w)
}

// checkWholeOrRefused reads a response of the events of writeParts or a refusal.
func checkWholeOrRefused(t *testing.T, conn io.Reader, name string) {
	t.Helper()
	status, body, err := readWhole(bufio.NewReader(conn))
	isWhole := status == http.StatusOK && body == numbered(1)+numbered(2)
	if err != nil || !isWhole && status < http.StatusInternalServerError {
		t.Errorf("%s: status %d, %q, %v", name, status, body, err)
	}
}

// TestResponseThatBeginsAsItsVersionEndsIsNotCut has an engine begin a response at the time at which the
// entry withdraws the request, as the only one, or beside a silent one.
func TestResponseThatBeginsAsItsVersionEndsIsNotCut(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/rush/x", "/flow/x", "/any/x"} {
		for _, engines := range []int{1, 2} {
			for _, begun := range []bool{false, true} {
				if begun && (path != "/flow/x" || engines == 1) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d engines, begun %t", path, engines, begun), func(t *testing.T) {
					for _, offset := range limitOffsets() {
						playVersionEnd(t, path, engines, begun, offset)
					}
				})
			}
		}
	}
}

func playVersionEnd(t *testing.T, path string, engines int, begun bool, offset time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		released := time.Now()
		w, apply, stop := newEngineWorld(t, engines, func(w io.Writer, v visit) {
			if begun && v.number == 0 {
				begin(w, v.id)
				event(w, numbered(1))
				time.Sleep(time.Until(released.Add(withdrawalTime + 300*time.Millisecond)))
				event(w, numbered(2))
				end(w)
				return
			}
			if v.number < engines-1 {
				<-v.ended
				return
			}
			time.Sleep(time.Until(released.Add(withdrawalTime + offset - pathDelay)))
			writeParts(w, v)
		})
		for i := range engines {
			apply(engineRow(i))
		}
		apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		front := w.serve()
		defer stop()
		defer front.stop()
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		// The other engine is asked before the entry stops using the version.
		time.Sleep(versionTimeout - 3200*time.Millisecond)
		fmt.Fprint(conn, wholeRequest(path, "first"))
		status, body, err := readWhole(bufio.NewReader(conn))
		isWhole := status == http.StatusOK && body == numbered(1)+numbered(2)
		if err != nil || !isWhole && (begun || status < http.StatusInternalServerError) {
			t.Errorf("%v later: status %d, %q, %v", offset, status, body, err)
		}
		w.checkNothingLeft(t)
	})
}

// TestShortResponseBesideASilentUpstreamOutlivesItsVersion has the engine that is asked beside a silent one
// begin a response before its version ends, and take until after that to complete it.
func TestShortResponseBesideASilentUpstreamOutlivesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, apply, stop := newEngineWorld(t, 2, func(w io.Writer, v visit) {
			if v.number == 0 {
				<-v.ended
				return
			}
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfi", v.id)
			time.Sleep(1500 * time.Millisecond)
			fmt.Fprint(w, "ne")
		})
		defer stop()
		apply(engineRow(0), engineRow(1), encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		time.Sleep(versionTimeout - 2500*time.Millisecond)
		if a := w.request(context.Background(), "/any/x"); a.aborted || a.Code != http.StatusOK || a.Body.String() != "fine" {
			t.Errorf("aborted %t, status %d, %q", a.aborted, a.Code, a.Body)
		}
	})
}

// TestReleaseDoesNotExtendTheClientsPatience has a version released while two engines are silent. It guards
// against a request that the end of the version bounds alone from then on.
func TestReleaseDoesNotExtendTheClientsPatience(t *testing.T) {
	for _, releasedAfter := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w, apply, stop := newEngineWorld(t, 3, func(_ io.Writer, v visit) { <-v.ended })
			defer stop()
			apply(engineRow(0), engineRow(1), engineRow(2))
			time.AfterFunc(releasedAfter, func() { apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2}))) })
			began := time.Now()
			a := w.request(context.Background(), "/wait/x")
			if took := time.Since(began); a.aborted || a.Code < http.StatusInternalServerError || took > stallTimeout {
				t.Errorf("released after %v: aborted %t, status %d after %v", releasedAfter, a.aborted, a.Code, took)
			}
			w.checkNothingLeft(t)
		})
	}
}

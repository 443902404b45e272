package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
)

// TestResponseOfASuccessorIsNotHeldBackForAFurtherOne has the second upstream respond about when the timer for a third one fires.
func TestResponseOfASuccessorIsNotHeldBackForAFurtherOne(t *testing.T) {
	t.Parallel()
	for _, third := range []string{"silent", "responds"} {
		held, leaked, cases := 0, 0, 0
		for sleep := 190 * time.Millisecond; sleep < 205*time.Millisecond; sleep += 500 * time.Microsecond {
			for range 5 {
				cases++
				play(t, 8, func(w io.Writer, v visit) {
					switch {
					case v.number == 0, v.number >= 2 && third == "silent":
						<-v.ended
						return
					case v.number == 1:
						time.Sleep(sleep)
					}
					framingLength.write(w, v.id, numbered(1))
				}, func(w *world) {
					began := time.Now()
					a := w.request(context.Background(), "/many/x")
					took := time.Since(began)
					if a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1) {
						t.Errorf("%v: aborted %t, status %d, %q", sleep, a.aborted, a.Code, a.Body)
					}
					if took > 600*time.Millisecond {
						held++
					}
					time.Sleep(50 * time.Millisecond)
					if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) > 0 {
						leaked++
					}
				})
			}
		}
		if held+leaked > 0 {
			t.Errorf("third %s: of %d cases %d answers held back, %d with a place still counted", third, cases, held, leaked)
		}
	}
}

// TestSlowClientIsNotTakenForASilentUpstream has a client read nothing for 4 s of a stream of 64 events of 8 KiB.
func TestSlowClientIsNotTakenForASilentUpstream(t *testing.T) {
	for path, most := range map[string]int{"/flow/x": 2, "/many/x": 5} {
		play(t, 8, func(w io.Writer, v visit) {
			if v.id != "q" {
				good(w, v.id, "x")
				return
			}
			begin(w, v.id)
			var after int
			fmt.Sscan(v.after, &after)
			for i := after + 1; i <= 64; i++ {
				event(w, fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 8<<10)))
				time.Sleep(5 * time.Millisecond)
			}
			end(w)
		}, func(w *world) {
			front := w.serve()
			defer front.stop()
			conn := front.dial()
			defer func() { _ = conn.Close() }()
			fmt.Fprint(conn, wholeRequest(path, "q"))
			time.Sleep(4 * time.Second)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("%s: %v", path, err)
				return
			}
			body, err := io.ReadAll(response.Body)
			time.Sleep(2 * time.Second)
			if n := strings.Count(string(body), "id: "); err != nil || n != 64 {
				t.Errorf("%s: %d events, %v", path, n, err)
			}
			if n := len(w.received()); n > most {
				t.Errorf("%s: %d upstreams got the request, the route allows %d", path, n, most)
			}
			if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) > 0 {
				t.Errorf("%s: places still counted 2 s after the end: %+v", path, loads)
			}
		})
	}
}

// TestResponseBegunBesideASilentEngineOutlivesItsVersion has the second engine begin a whole response before its version
// ends and complete it after.
func TestResponseBegunBesideASilentEngineOutlivesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w, apply, stop := newEngineWorld(t, 2, func(w io.Writer, v visit) {
			if v.number == 0 {
				<-v.ended
				return
			}
			time.Sleep(time.Until(began.Add(5 * time.Second)))
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfi", v.id)
			select {
			case <-v.ended:
			case <-time.After(5 * time.Second):
			}
			fmt.Fprint(w, "ne")
		})
		defer stop()
		apply(engineRow(0), engineRow(1))
		release := time.AfterFunc(time.Second, func() { apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2}))) })
		defer release.Stop()
		a := w.request(context.Background(), "/slowly/x")
		if a.Code != http.StatusOK || a.Body.String() != "fine" {
			t.Errorf("status %d, %q after %v, %d visits", a.Code, a.Body, time.Since(began), len(w.received()))
		}
	})
}

// TestThirdEngineIsAskedOnceTheVersionOfTheFirstHasEnded has two engines be silent, of which the first one's version ends.
func TestThirdEngineIsAskedOnceTheVersionOfTheFirstHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w, apply, stop := newEngineWorld(t, 3, func(w io.Writer, v visit) {
			if v.number < 2 {
				<-v.ended
				return
			}
			framingLength.write(w, v.id, numbered(1))
		})
		defer stop()
		row := func(i, version int) state.Row {
			return encoded(state.EncodeUpstream(&state.Upstream{ID: fmt.Sprint("u", i), Pool: "p", Address: address(i), Domain: "d", Slots: 4, Held: []state.HeldVersion{{Model: "m", Version: version, Whole: true}}}))
		}
		apply(row(0, 1))
		apply(encoded(state.EncodeRoute(&state.Route{
			Name: "trio", Host: "h", Prefix: "/trio/", Idempotent: true, Targets: []state.Target{{Pool: "p", Weight: 1}},
			MaxAttempts: 4, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond,
		})))
		time.AfterFunc(10*time.Millisecond, func() {
			apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		})
		time.AfterFunc(7300*time.Millisecond, func() { apply(row(1, 2)) })
		time.AfterFunc(7590*time.Millisecond, func() { apply(row(2, 2)) })
		a := w.request(context.Background(), "/trio/x")
		if a.Code != http.StatusOK {
			t.Errorf("status %d after %v", a.Code, time.Since(began))
		}
	})
}

package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// TestDeclineBesideLostAttemptsAllowsNoFurtherRun has the first upstream decline late, and those that are asked
// beside it be lost after that.
func TestDeclineBesideLostAttemptsAllowsNoFurtherRun(t *testing.T) {
	for path, most := range map[string]int{"/any/x": 2, "/flow/x": 2, "/many/x": 5} {
		for _, crashes := range []bool{false, true} {
			declines := 0
			play(t, 8, func(w io.Writer, v visit) {
				switch v.number {
				case 0:
					time.Sleep(1300 * time.Millisecond)
					declined(w, v.id)
					declines++
					return
				case 1:
					time.Sleep(1500 * time.Millisecond)
				default:
					time.Sleep(600 * time.Millisecond)
				}
				if crashes {
					v.crash()
				}
			}, func(w *world) {
				a := w.request(context.Background(), path)
				if n := len(w.received()) - declines; n > most {
					t.Errorf("%s, crashes %t: %d upstreams ran it, the route allows %d, status %d", path, crashes, n, most, a.Code)
				}
			})
		}
	}
}

// TestBrokenStreamIsContinuedAtACanceledEngineWhileAThirdIsFull has a stream go on at a silent engine, which then
// breaks off. The engine that was asked beside it is free.
func TestBrokenStreamIsContinuedAtACanceledEngineWhileAThirdIsFull(t *testing.T) {
	for _, third := range []string{"none", "full", "free"} {
		t.Run(third, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, apply, stop := newEngineWorld(t, 3, func(w io.Writer, v visit) {
					switch v.number {
					case 0:
						begin(w, v.id)
						event(w, numbered(1))
						time.Sleep(silence)
						event(w, numbered(2))
						time.Sleep(200 * time.Millisecond)
					case 1:
						<-v.ended
					default:
						begin(w, v.id)
						event(w, numbered(3))
						end(w)
					}
				})
				defer stop()
				apply(engineRow(0), engineRow(1))
				if third != "none" {
					time.AfterFunc(silence, func() {
						apply(engineRow(2))
						n := 0
						if third == "full" {
							n = 60
						}
						w.fleet.ReceiveLoadReport(clocks.Now(), "u2", target.LoadReport{Serial: 1, Running: n, Pace: 1, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
					})
				}
				a := w.request(context.Background(), "/many/x")
				if want := numbered(1) + numbered(2) + numbered(3); a.aborted || a.Body.String() != want {
					t.Errorf("third %s: aborted %t, %q, %d visits", third, a.aborted, a.Body, len(w.received()))
				}
			})
		})
	}
}

// TestReleaseWithdrawsWhatIsAskedBesideASilentEngine has a release come while two engines are silent.
func TestReleaseWithdrawsWhatIsAskedBesideASilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var mutex sync.Mutex
		until := make(map[int]time.Duration)
		w, apply, stop := newEngineWorld(t, 2, func(_ io.Writer, v visit) {
			<-v.ended
			mutex.Lock()
			until[v.upstream] = time.Since(began)
			mutex.Unlock()
		})
		defer stop()
		apply(engineRow(0), engineRow(1))
		release := time.AfterFunc(2*time.Second, func() { apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2}))) })
		defer release.Stop()
		w.request(context.Background(), "/slowly/x")
		time.Sleep(10 * time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		if len(until) != 2 {
			t.Errorf("%d engines", len(until))
		}
		for u, at := range until {
			if at > 2*time.Second+versionTimeout {
				t.Errorf("engine %d may begin it until %v after the release", u, at-2*time.Second)
			}
		}
	})
}

// TestSlowClientCostsNoRetry has a client read nothing for 4 s of a stream of 64 events of 8 KiB.
func TestSlowClientCostsNoRetry(t *testing.T) {
	for _, path := range []string{"/flow/x", "/many/x"} {
		play(t, 8, func(w io.Writer, v visit) {
			begin(w, v.id)
			var after int
			_, _ = fmt.Sscan(v.after, &after)
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
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if n := len(w.received()); n != 1 {
				t.Errorf("%s: %d upstreams were asked", path, n)
			}
		})
	}
}

// TestSilentUpstreamAfterADeclineIsFollowedByAnother has the first upstream decline or refuse connections, and the
// second one be silent for good.
func TestSilentUpstreamAfterADeclineIsFollowedByAnother(t *testing.T) {
	for _, path := range []string{"/any/x", "/flow/x", "/wait/x", "/many/x"} {
		for _, first := range []string{"declines", "refuses"} {
			t.Run(fmt.Sprint(path[1:5], first), func(t *testing.T) {
				play(t, 4, func(w io.Writer, v visit) {
					switch {
					case v.upstream == 0 && first == "declines":
						declined(w, v.id)
					case v.upstream == 1, v.upstream == 0:
						<-v.ended
					default:
						framingLength.write(w, v.id, numbered(1))
					}
				}, func(w *world) {
					if first == "refuses" {
						w.network.Kill(address(0).Addr())
					}
					began := time.Now()
					a := w.request(context.Background(), path)
					if a.Code != http.StatusOK {
						t.Errorf("%s, first %s: status %d after %v, %d visits", path, first, a.Code, time.Since(began), len(w.received()))
					}
				})
			})
		}
	}
}

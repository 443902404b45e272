package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/state"
)

// standstills are how long an entry stands still between the choice of an upstream and the request.
var standstills = []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second}

// TestNoRequestIsSentToAVersionThatEndedSinceTheChoice has an entry choose an engine of a replaced version before
// the cut-off and stand still before it sends the request.
func TestNoRequestIsSentToAVersionThatEndedSinceTheChoice(t *testing.T) {
	for _, path := range []string{"/long/x", "/slow/x", "/slowly/x"} {
		for _, standstill := range standstills {
			for chosenAt := 4 * time.Second; chosenAt < cutoffTime; chosenAt += 500 * time.Millisecond {
				name := fmt.Sprintf("%s, chosen %v after the release, standing still for %v", path, chosenAt, standstill)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playStandstill(t, path, chosenAt, standstill) })
				})
			}
		}
	}
}

func playStandstill(t *testing.T, path string, chosenAt, standstill time.Duration) {
	t.Helper()
	released := time.Now()
	w, apply, stop := newEngineWorld(t, 1, func(w io.Writer, v visit) {
		if at := time.Since(released); at > cutoffTime+10*time.Millisecond {
			t.Errorf("received %v after the release", at)
		}
		framingLength.write(w, v.id, numbered(1))
	})
	defer stop()
	w.dialed = func(int) { time.Sleep(standstill) }
	apply(engineRow(0))
	apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
	time.Sleep(chosenAt)
	a := w.request(context.Background(), path)
	isRun := len(w.received()) > 0
	if isNotRun := a.Header().Get("Outcome") == string(calls.OutcomeNotRun); isNotRun == isRun {
		t.Errorf("received %t, status %d, %q", isRun, a.Code, a.Header().Get("Outcome"))
	}
}

// TestNoRequestIsSentToAVersionWhoseReleaseIsLearnedSinceTheChoice has an entry learn of a release, of which it may
// have been unaware for long, between the choice of an engine and the request.
func TestNoRequestIsSentToAVersionWhoseReleaseIsLearnedSinceTheChoice(t *testing.T) {
	for _, path := range []string{"/long/x", "/slow/x", "/slowly/x"} {
		for _, unaware := range []time.Duration{0, 5 * time.Second, 6500 * time.Millisecond, 7 * time.Second, 9 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				w, apply, stop := newEngineWorld(t, 1, func(w io.Writer, v visit) { framingLength.write(w, v.id, numbered(1)) })
				defer stop()
				apply(engineRow(0))
				time.Sleep(unaware)
				w.dialed = func(int) { apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2}))) }
				a := w.request(context.Background(), path)
				isRun := len(w.received()) > 0
				if isNotRun := a.Header().Get("Outcome") == string(calls.OutcomeNotRun); isRun != (unaware < cutoffTime) || isNotRun == isRun {
					t.Errorf("%s, unaware for %v: received %t, status %d, %q", path, unaware, isRun, a.Code, a.Header().Get("Outcome"))
				}
			})
		}
	}
}

// TestNoRequestIsSentToAnUpstreamThatDrainsSinceTheChoice has an upstream drain while an entry stands still
// between its choice and the request.
func TestNoRequestIsSentToAnUpstreamThatDrainsSinceTheChoice(t *testing.T) {
	for _, path := range []string{"/long/x", "/slow/x", "/slowly/x"} {
		for _, standstill := range standstills {
			var drained time.Time
			play(t, 2, func(w io.Writer, v visit) {
				if !drained.IsZero() && v.upstream == 0 && time.Since(drained) > drainBound {
					t.Errorf("%s: received %v after the drain", path, time.Since(drained))
				}
				framingLength.write(w, v.id, numbered(1))
			}, func(w *world) {
				drain := func(id int) {
					w.apply(encoded(state.EncodeUpstream(&state.Upstream{ID: fmt.Sprint("u", id), Pool: "p", Address: address(id), Domain: "d", Draining: true})))
					w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
				}
				drain(1)
				w.dialed = func(number int) {
					if number == 0 {
						drained = time.Now()
						time.Sleep(standstill)
						w.apply(encoded(state.EncodeUpstream(&state.Upstream{ID: "u1", Pool: "p", Address: address(1), Domain: "d"})))
						drain(0)
					}
				}
				a := w.request(context.Background(), path)
				if a.aborted || a.Code != http.StatusOK {
					t.Errorf("%s, %v: status %d, aborted %t", path, standstill, a.Code, a.aborted)
				}
			})
		}
	}
}

// drainBound is the time after which a draining upstream gets no requests.
const drainBound = 2 * time.Second

// TestRequestIsSentAgainToAnUpstreamChosenBeforeAStandstill has the only upstream be chosen before a standstill.
func TestRequestIsSentAgainToAnUpstreamChosenBeforeAStandstill(t *testing.T) {
	for _, path := range []string{"/long/x", "/slow/x", "/slowly/x"} {
		play(t, 1, func(w io.Writer, v visit) { framingLength.write(w, v.id, numbered(1)) }, func(w *world) {
			w.dialed = func(number int) {
				if number == 0 {
					time.Sleep(3 * time.Second)
				}
			}
			if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusOK || len(w.received()) != 1 {
				t.Errorf("%s: status %d, aborted %t, received %d", path, a.Code, a.aborted, len(w.received()))
			}
		})
	}
}

// TestRequestBesideASilentOneStatesTheTimeThatIsLeft has the connection to the second upstream take long.
func TestRequestBesideASilentOneStatesTheTimeThatIsLeft(t *testing.T) {
	for _, path := range repeatable {
		play(t, 2, func(w io.Writer, v visit) {
			if v.number == 0 {
				<-v.ended
				return
			}
			framingLength.write(w, v.id, numbered(1))
		}, func(w *world) {
			w.dialed = func(int) { time.Sleep(200 * time.Millisecond) }
			began := time.Now()
			a := w.request(context.Background(), path)
			if a.aborted || a.Code != http.StatusOK {
				t.Errorf("%s: status %d, aborted %t", path, a.Code, a.aborted)
			}
			for _, v := range w.received() {
				if left := timeoutOf(path) - v.at.Sub(began); v.remaining > left+2*time.Millisecond {
					t.Errorf("%s: request %d says %v, %v are left", path, v.number, v.remaining, left)
				}
			}
		})
	}
}

// timeoutOf returns the timeout of the route of a path.
func timeoutOf(path string) time.Duration {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r.Timeout
		}
	}
	return 0
}

// TestRequestThatRanBesideADeclineIsNotReportedAsNotRun has the first upstream decline a request that another one runs,
// and the entry stop and stand still while the other one responds. What ran must not be sent again.
func TestRequestThatRanBesideADeclineIsNotReportedAsNotRun(t *testing.T) {
	for _, path := range repeatable {
		for _, respondsAfter := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond} {
			var hasDeclined atomic.Bool
			log := zap.NewNop().WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core {
				return zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel), func(e zapcore.Entry) error {
					if e.Message == "attempt" && hasDeclined.CompareAndSwap(false, true) {
						time.Sleep(500 * time.Millisecond)
					}
					return nil
				})
			}))
			playLogged(t, 2, plenty, log, func(w io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(400 * time.Millisecond)
					declined(w, v.id)
					return
				}
				time.Sleep(respondsAfter)
				framingLength.write(w, v.id, numbered(1))
			}, func(w *world) {
				stop := time.AfterFunc(700*time.Millisecond, w.handler.EndRequests)
				defer stop.Stop()
				a := w.request(context.Background(), path)
				if len(w.received()) != 2 || a.Header().Get("Outcome") == string(calls.OutcomeNotRun) {
					t.Errorf("%s, responds after %v: status %d, %q, received %d", path, respondsAfter, a.Code, a.Header().Get("Outcome"), len(w.received()))
				}
				w.checkNothingLeft(t)
			})
		}
	}
}

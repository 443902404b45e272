package proxy_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/feed"
	"currantport.example/core/state"
	"currantport.example/core/trial"
)

// limitSpan and limitSlack are those of the users' rule: in no span may an upstream get more than
// one and a half times what its limit allows, and limitSlack requests more.
const (
	limitSpan  = 4 * time.Second
	limitSlack = 5
)

// TestLimitThatUpstreamNamesIsKept guards against an entry that sends an upstream as many requests
// as ever although the upstream names a limit in each response.
func TestLimitThatUpstreamNamesIsKept(t *testing.T) {
	var times []time.Time
	play(t, 2, func(w io.Writer, v visit) {
		if v.upstream == 0 {
			times = append(times, time.Now())
			answered(w, v.id, "Limit: 1")
			return
		}
		good(w, v.id, "served")
	}, func(w *world) {
		for range 200 {
			if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
				t.Errorf("status %d though another upstream has no limit", a.Code)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if most, allowed := trial.MostWithin(times, limitSpan), 6+limitSlack; most > allowed {
			t.Errorf("%d requests in %s, allowed %d", most, limitSpan, allowed)
		}
		if len(times) < 10 {
			t.Errorf("%d requests in 20 s use less than half of the limit", len(times))
		}
	})
}

// TestInvalidLimitIsLoggedOnce lets an upstream give the same value that names no limit in each
// response. It is used as without one.
func TestInvalidLimitIsLoggedOnce(t *testing.T) {
	core, logged := observer.New(zap.WarnLevel)
	playLogged(t, 1, plenty, zap.New(core), func(w io.Writer, v visit) { answered(w, v.id, "Limit: few") }, func(w *world) {
		for range 5 {
			if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
				t.Errorf("status %d", a.Code)
			}
		}
	})
	if n := logged.FilterMessage("limit-invalid").Len(); n != 1 {
		t.Errorf("%d lines", n)
	}
}

// TestRefusalBecauseOfLimitsComesTrue lets clients that are refused because the only upstream takes two
// requests a second return when they were told to. They are refused at once, and served then.
func TestRefusalBecauseOfLimitsComesTrue(t *testing.T) {
	play(t, 1, func(w io.Writer, v visit) { answered(w, v.id, "Limit: 2") }, func(w *world) {
		w.request(context.Background(), "/open/x")
		refused := time.Now()
		var waits []time.Duration
		for range 6 {
			a := w.request(context.Background(), "/open/x")
			wait, err := time.ParseDuration(a.Header().Get("Wait"))
			if err != nil || a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
				t.Fatalf("status %d, %v", a.Code, a.Header())
			}
			waits = append(waits, wait)
		}
		if took := time.Since(refused); took > 10*time.Millisecond {
			t.Errorf("the refusals took %s", took)
		}
		for i, wait := range waits {
			time.Sleep(time.Until(refused.Add(wait)))
			if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
				t.Errorf("client %d was told to return after %s: status %d, %v", i, wait, a.Code, a.Header())
			}
		}
	})
}

// TestColdTimeInAResponseIsKept guards against an entry that ignores the cold time in a response, or that
// still limits the upstream once it is warm.
func TestColdTimeInAResponseIsKept(t *testing.T) {
	var times []time.Time
	var warm time.Time
	play(t, 2, func(w io.Writer, v visit) {
		if v.upstream == 0 {
			times = append(times, time.Now())
			answered(w, v.id, "Cold: "+max(time.Until(warm), 0).String())
			return
		}
		good(w, v.id, "served")
	}, func(w *world) {
		pool := encoded(state.EncodePool(&state.Pool{Name: "p", Cold: 10 * time.Second, ColdRate: 2}))
		pool.Revision = w.mirror.Head() + 1
		if _, err := w.mirror.Apply(feed.Update{Head: pool.Revision, Rows: []state.Row{pool}, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
			t.Fatal(err)
		}
		w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		warm = time.Now().Add(5 * time.Second)
		for range 400 {
			if a := w.request(context.Background(), "/open/x"); a.Code != http.StatusOK {
				t.Errorf("status %d though another upstream is warm", a.Code)
			}
			time.Sleep(25 * time.Millisecond)
		}
		cold := slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.After(warm.Add(time.Second)) })
		if most, allowed := trial.MostWithin(cold, time.Second), 3+limitSlack; most > allowed || len(cold) < 6 {
			t.Errorf("%d requests in a second, allowed %d; %d while it was cold", most, allowed, len(cold))
		}
		if len(times)-len(cold) < 50 {
			t.Errorf("%d requests after the cold time", len(times)-len(cold))
		}
	})
}

package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/budget"
	"currantport.example/core/calls"
	"currantport.example/core/feed"
	"currantport.example/core/state"
	"currantport.example/entry/internal/proxy"
)

// TestProcessWithoutRowsRefusesTemporarily checks that a process whose configuration is
// missing or unconfirmed refuses requests as not run and states when to retry.
func TestProcessWithoutRowsRefusesTemporarily(t *testing.T) {
	for _, v := range []proxy.View{{State: &state.Snapshot{}}, {State: &state.Snapshot{}, Confirmed: true}, {State: &state.Snapshot{Configured: true}}} {
		_, r := proxy.Bounds{MaxKeyStaleness: time.Second, MaxMissStaleness: time.Second}.Admit(v, &calls.Call{Host: "h", Path: "/any/x"})
		if r == nil || r.Reason != calls.ReasonStarting || r.Outcome != calls.OutcomeNotRun || r.RetryAfter <= 0 {
			t.Errorf("configured %t, confirmed %t: %v", v.State.Configured, v.Confirmed, r)
		}
	}
}

// TestStartingEntryDelaysRetries guards against clients that return before engines can serve them after
// a loss of power, since most retry only once and engines take longer to start than entries. It also
// guards against a Retry-After of more than a third of the client's timeout.
func TestStartingEntryDelaysRetries(t *testing.T) {
	for timeout, want := range map[string][2]time.Duration{
		"6000": {1500 * time.Millisecond, 2 * time.Second}, "1500": {400 * time.Millisecond, 500 * time.Millisecond},
	} {
		play(t, 0, nil, func(w *world) {
			w.startWithoutRows(func() float64 { return 0.5 })
			a := w.request(context.Background(), "/any/x", "Timeout", timeout)
			wait, err := time.ParseDuration(a.Header().Get("Wait"))
			if err != nil || wait < want[0] || wait > want[1] || a.Header().Get("Outcome") != string(calls.OutcomeNotRun) {
				t.Errorf("timeout %s: retry after %s, %v", timeout, wait, a.Header())
			}
		})
	}
}

// TestRetriesStayWithinBudget sends requests to upstreams that all fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	limits := budget.Limits{Ratio: 0.1, Slack: 5, Window: 10 * time.Second}
	failed := func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", v.id)
	}
	playWith(t, 4, limits, failed, func(w *world) {
		const requests = 50
		for i := range requests {
			w.request(context.Background(), "/any/x", "Id", fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		retries := len(w.received()) - requests
		if limit := int(limits.Ratio*requests + limits.Slack); retries <= 0 || retries > limit {
			t.Errorf("%d retries of %d requests, want at most %d", retries, requests, limit)
		}
	})
}

// startWithoutRows replaces the handler by one that has no rows yet.
func (w *world) startWithoutRows(random func() float64) {
	w.mirror = feed.NewMirror()
	w.handler = proxy.New(proxy.Options{
		Mirror: w.mirror, Fleet: w.fleet, Conns: w.conns, ClientCodec: codec{}, UpstreamCodec: codec{}, Crashes: w.crashes,
		Random: random, Scope: w.scope, Log: zap.NewNop(),
	})
}

// TestRetriesAreSpread guards against clients that all get the longest Retry-After, and so return at once,
// if there won't be capacity before that.
func TestRetriesAreSpread(t *testing.T) {
	for _, timeout := range []string{"1500", "6000", "9000"} {
		play(t, 0, nil, func(w *world) {
			w.startWithoutRows(rand.New(rand.NewPCG(1, 1)).Float64)
			times := make(map[string]int)
			for range 100 {
				times[w.request(context.Background(), "/any/x", "Timeout", timeout).Header().Get("Wait")]++
			}
			for wait, n := range times {
				if n > 5 {
					t.Errorf("timeout %s: %d of 100 clients return after %s", timeout, n, wait)
				}
			}
		})
	}
}

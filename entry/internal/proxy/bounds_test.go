package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"currantport.example/core/budget"
	"currantport.example/core/calls"
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

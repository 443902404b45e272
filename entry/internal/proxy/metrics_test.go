package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"
)

// TestEndingsAndAttemptsAreCounted checks that each refusal reason, result of an attempt,
// resumed stream and suspect has a counter.
func TestEndingsAndAttemptsAreCounted(t *testing.T) {
	script := func(w io.Writer, v visit) {
		switch {
		case v.id == "lost":
		case v.id == "declined":
			declined(w, v.id)
		case v.id == "flow" && v.after == "":
			begin(w, v.id)
			event(w, numbered(1))
		case v.id == "flow":
			begin(w, v.id)
			event(w, numbered(2))
			end(w)
		default:
			good(w, v.id, "x")
		}
	}
	play(t, 2, script, func(w *world) {
		for _, c := range [][2]string{{"good", "/any/x"}, {"lost", "/once/x"}, {"declined", "/once/x"}, {"flow", "/flow/x"}, {"none", "/none/x"}} {
			w.request(context.Background(), c[1], "Id", c[0])
		}
		got := make(map[string]int64)
		for _, c := range w.scope.Snapshot().Counters() {
			got[fmt.Sprint(c.Name(), c.Tags())] = c.Value()
		}
		for name, minimum := range map[string]int64{
			"requestsmap[ending:answered reason:]": 2, "requestsmap[ending:unknown reason:lost]": 1, "requestsmap[ending:not-run reason:no-upstream]": 1,
			"requestsmap[ending:not-run reason:no-route]": 1, "attemptsmap[result:answered]": 2, "attemptsmap[result:lost]": 1,
			"attemptsmap[result:declined]": 2, "suspectsmap[]": 2, "resumedmap[]": 1,
		} {
			if got[name] < minimum {
				t.Errorf("%s is %d, want at least %d, in %v", name, got[name], minimum, got)
			}
		}
		histograms := w.scope.Snapshot().Histograms()
		for _, name := range []string{"seconds+", "first_seconds+", "held_seconds+", "copyage_seconds+"} {
			if len(histograms[name].Durations()) == 0 {
				t.Errorf("nothing is recorded in %s: %v", name, histograms)
			}
		}
	})
}

package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/budget"
)

// TestRetriesOfAllEntriesStayWithinBudget draws the load of several entries and checks
// every window: there are at most as many retries as the ratio allows for the requests of
// the window, of the one before or of the one half a window earlier, plus the slack.
func TestRetriesOfAllEntriesStayWithinBudget(t *testing.T) {
	limits := budget.Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		all := make([]*budget.Budget, entries)
		for i := range all {
			all[i] = budget.New(limits)
		}
		const step = 100 * time.Millisecond
		start := time.Unix(1e9, 0)
		var requests, retries []int
		load := 0
		for i := range 400 {
			now := start.Add(time.Duration(i) * step)
			sent, retried := 0, 0
			if i%10 == 0 {
				load = rapid.IntRange(0, 3).Draw(t, "load")
			}
			for _, b := range all {
				for range load {
					b.RecordRequest(now)
					sent++
				}
				for range 2 * load {
					if b.TrySpend(now, entries) {
						retried++
					}
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
		}
		width := int(limits.Window / step)
		for end := 2 * width; end <= len(requests); end++ {
			sum := func(all []int) (n int) {
				for _, v := range all {
					n += v
				}
				return n
			}
			allowed := max(sum(requests[end-width:end]), sum(requests[end-2*width:end-width]), sum(requests[end-width-width/2:end-width/2]))
			if n := sum(retries[end-width : end]); float64(n) > limits.Ratio*float64(allowed)+limits.Slack {
				t.Fatalf("%d retries for %d requests in the window that ends at step %d", n, allowed, end)
			}
		}
	})
}

func TestSlackIsAvailableWithoutRequests(t *testing.T) {
	b := budget.New(budget.Limits{Ratio: 0.2, Slack: 10, Window: time.Second})
	now, n := time.Now(), 0
	for b.TrySpend(now, 2) {
		n++
	}
	if n != 4 {
		t.Errorf("%d retries from a share of 5", n)
	}
	if !b.TrySpend(now.Add(1100*time.Millisecond), 2) {
		t.Error("the budget isn't renewed after the window")
	}
}

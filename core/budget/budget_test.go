package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/budget"
)

// TestRepeatsOfAllEntriesStayInTheBudget draws what several entries send and checks
// every window: repeats are at most the ratio of the requests in the window or in the
// one before, and the slack.
func TestRepeatsOfAllEntriesStayInTheBudget(t *testing.T) {
	limits := budget.Limits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		all := make([]*budget.Budget, entries)
		for i := range all {
			all[i] = budget.New(limits)
		}
		const step = 100 * time.Millisecond
		start := time.Unix(1e9, 0)
		var requests, repeats []int
		load := 0
		for i := range 400 {
			now := start.Add(time.Duration(i) * step)
			sent, again := 0, 0
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
						again++
					}
				}
			}
			requests, repeats = append(requests, sent), append(repeats, again)
		}
		width := int(limits.Window / step)
		for end := 2 * width; end <= len(requests); end++ {
			sum := func(all []int) (n int) {
				for _, v := range all {
					n += v
				}
				return n
			}
			most := max(sum(requests[end-width:end]), sum(requests[end-2*width:end-width]), sum(requests[end-width-width/2:end-width/2]))
			if n := sum(repeats[end-width : end]); float64(n) > limits.Ratio*float64(most)+limits.Slack {
				t.Fatalf("%d repeats for %d requests in the window that ends at step %d", n, most, end)
			}
		}
	})
}

func TestSlackIsThereWithoutRequests(t *testing.T) {
	b := budget.New(budget.Limits{Ratio: 0.2, Slack: 10, Window: time.Second})
	now, n := time.Now(), 0
	for b.TrySpend(now, 2) {
		n++
	}
	if n != 4 {
		t.Errorf("%d repeats of a share of 5", n)
	}
	if !b.TrySpend(now.Add(1100*time.Millisecond), 2) {
		t.Error("the budget doesn't come back")
	}
}

package tries_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/state"
	"currantport.example/core/tries"
)

func yes() bool { return true }

func no() bool { return false }

func TestStepsOfEachKindOfRoute(t *testing.T) {
	once := state.Route{MaxAttempts: 2}
	safe := state.Route{MaxAttempts: 2, Idempotent: true}
	stream := state.Route{MaxAttempts: 2, Stream: true}
	resumable := state.Route{MaxAttempts: 2, Stream: true, Resumable: true}
	for _, c := range []struct {
		name   string
		route  state.Route
		result tries.Result
		spend  func() bool
		want   tries.Step
	}{
		{"an answer", once, tries.ResultAnswered, yes, tries.StepDone},
		{"a failure of a request that may run twice", safe, tries.ResultFailed, yes, tries.StepRetry},
		{"a failure of one that may not", once, tries.ResultFailed, yes, tries.StepDone},
		{"a failure without budget", safe, tries.ResultFailed, no, tries.StepDone},
		{"nothing was sent", once, tries.ResultUnsent, no, tries.StepRetry},
		{"declined", once, tries.ResultDeclined, yes, tries.StepRetry},
		{"declined without budget", once, tries.ResultDeclined, no, tries.StepRefuse},
		{"lost", once, tries.ResultLost, yes, tries.StepUnknown},
		{"lost and repeatable", safe, tries.ResultLost, yes, tries.StepRetry},
		{"lost without budget", safe, tries.ResultLost, no, tries.StepUnknown},
		{"a stream broken off", stream, tries.ResultTruncated, yes, tries.StepAbort},
		{"a stream lost", stream, tries.ResultLost, yes, tries.StepUnknown},
		{"a resumable stream broken off", resumable, tries.ResultTruncated, yes, tries.StepRetry},
		{"a resumable stream without budget", resumable, tries.ResultTruncated, no, tries.StepAbort},
	} {
		now := time.Now()
		s := tries.New(&c.route, now.Add(time.Second))
		if got := s.Next(now, c.result, c.spend); got != c.want {
			t.Errorf("%s: step %d, want %d", c.name, got, c.want)
		}
		late := tries.New(&c.route, now)
		if got := late.Next(now, c.result, c.spend); got == tries.StepRetry {
			t.Errorf("%s: tried again at the deadline", c.name)
		}
	}
}

// TestRulesOfRepeats draws routes and results and checks what must hold at any time.
func TestRulesOfRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &state.Route{
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Stream: rapid.Bool().Draw(t, "stream"), Resumable: rapid.Bool().Draw(t, "resumable"),
		}
		now := time.Now()
		s := tries.New(route, now.Add(time.Second))
		ran, spent := 0, 0
		for range 20 {
			r := rapid.SampledFrom([]tries.Result{
				tries.ResultAnswered, tries.ResultFailed, tries.ResultUnsent, tries.ResultDeclined, tries.ResultLost, tries.ResultTruncated,
			}).Draw(t, "result")
			if r != tries.ResultUnsent && r != tries.ResultDeclined {
				ran++
			}
			step := s.Next(now, r, func() bool { spent++; return true })
			if step == tries.StepRefuse && ran > 0 {
				t.Fatal("a request that may have run is told not to have")
			}
			if step != tries.StepRetry {
				return
			}
			if ran > 0 && !route.IsRetryable() {
				t.Fatal("a request that may not run twice is sent again")
			}
			if ran >= route.MaxAttempts {
				t.Fatalf("sent again after %d of %d runs", ran, route.MaxAttempts)
			}
			if r != tries.ResultUnsent && spent == 0 {
				t.Fatal("a repeat that isn't in the budget")
			}
		}
		t.Fatal("the request never ends")
	})
}

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

func TestNextStepForEachRouteKind(t *testing.T) {
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
		{"a response", once, tries.ResultAnswered, yes, tries.StepDone},
		{"a failure of a retryable request", safe, tries.ResultFailed, yes, tries.StepRetry},
		{"a failure of a request that isn't retryable", once, tries.ResultFailed, yes, tries.StepDone},
		{"a failure without budget", safe, tries.ResultFailed, no, tries.StepDone},
		{"nothing was sent", once, tries.ResultUnsent, no, tries.StepRetry},
		{"declined", once, tries.ResultDeclined, yes, tries.StepRetry},
		{"declined without budget", once, tries.ResultDeclined, no, tries.StepRefuse},
		{"lost", once, tries.ResultLost, yes, tries.StepUnknown},
		{"lost and retryable", safe, tries.ResultLost, yes, tries.StepRetry},
		{"lost without budget", safe, tries.ResultLost, no, tries.StepUnknown},
		{"a truncated stream", stream, tries.ResultTruncated, yes, tries.StepAbort},
		{"a lost stream", stream, tries.ResultLost, yes, tries.StepUnknown},
		{"a truncated resumable stream", resumable, tries.ResultTruncated, yes, tries.StepRetry},
		{"a resumable stream without budget", resumable, tries.ResultTruncated, no, tries.StepAbort},
	} {
		now := time.Now()
		s := tries.New(&c.route, now.Add(time.Second))
		if got := s.Next(now, c.result, c.spend); got != c.want {
			t.Errorf("%s: step %d, want %d", c.name, got, c.want)
		}
		late := tries.New(&c.route, now)
		if got := late.Next(now, c.result, c.spend); got == tries.StepRetry {
			t.Errorf("%s: retried at the deadline", c.name)
		}
	}
}

// TestInvariantsOfRetries draws routes and results and checks what must hold after each
// attempt.
func TestInvariantsOfRetries(t *testing.T) {
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
				t.Fatal("a request that may have run is reported as not run")
			}
			if step != tries.StepRetry {
				return
			}
			if ran > 0 && !route.IsRetryable() {
				t.Fatal("a request that must run at most once is retried after it may have run")
			}
			if ran >= route.MaxAttempts {
				t.Fatalf("retried after %d of %d runs", ran, route.MaxAttempts)
			}
			if r != tries.ResultUnsent && spent == 0 {
				t.Fatal("a retry that wasn't taken from the budget")
			}
		}
		t.Fatal("the request never ends")
	})
}

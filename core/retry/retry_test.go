package retry_test

import (
	"testing"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// noBudget is a retry budget that is used up.
func noBudget() bool { return false }

func newAttempts(trySpend func() bool) *retry.Attempts {
	return retry.NewAttempts(epoch, calls.Request{Deadline: epoch.Add(time.Second)}, trySpend)
}

func refused(reason calls.Reason) retry.Result {
	return retry.Result{Refusal: calls.NotRun(reason, time.Second, "")}
}

// TestDeclinesKeepTheAttempts checks that upstreams which decline a request because of what they
// serve use up neither its attempts nor the budget, up to a bound.
func TestDeclinesKeepTheAttempts(t *testing.T) {
	for _, reason := range []calls.Reason{calls.ReasonVersion, calls.ReasonLeaving, calls.ReasonStarting, calls.ReasonNoPool} {
		a := newAttempts(noBudget)
		declines := 0
		for a.Next(epoch, refused(reason)).Step == retry.StepRetry {
			declines++
		}
		if declines < 3 || declines > 16 {
			t.Errorf("%s: %d retries, want more than the three attempts of a request and at most 16", reason, declines)
		}
	}
}

// TestAttemptsAreLimited checks the bound for attempts that may have run or were refused for load,
// next to declines.
func TestAttemptsAreLimited(t *testing.T) {
	a := newAttempts(func() bool { return true })
	for i, c := range []struct {
		result retry.Result
		want   retry.Step
	}{
		{refused(calls.ReasonVersion), retry.StepRetry},
		{refused(calls.ReasonOverload), retry.StepRetry},
		{refused(calls.ReasonVersion), retry.StepRetry},
		{refused(calls.ReasonOverload), retry.StepRetry},
		{refused(calls.ReasonOverload), retry.StepDone},
	} {
		if got := a.Next(epoch, c.result).Step; got != c.want {
			t.Errorf("attempt %d: step %d, want %d", i, got, c.want)
		}
	}
	if got := newAttempts(noBudget).Next(epoch, refused(calls.ReasonOverload)).Step; got != retry.StepDone {
		t.Errorf("a refusal for load without budget: step %d", got)
	}
	if got := newAttempts(noBudget).Next(epoch.Add(time.Second), refused(calls.ReasonVersion)).Step; got != retry.StepDone {
		t.Errorf("a decline at the deadline: step %d", got)
	}
}

// TestUnknownOutcomeIsNoDecline checks that an upstream that changed its version during the run
// isn't taken as one that declined.
func TestUnknownOutcomeIsNoDecline(t *testing.T) {
	a := newAttempts(noBudget)
	if d := a.Next(epoch, retry.Result{Refusal: calls.Unknown(calls.ReasonVersion, 0, "")}); d.Step != retry.StepSettle {
		t.Errorf("step %d, want the attempt settled", d.Step)
	}
}

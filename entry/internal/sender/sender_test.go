package sender_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/poison"
	"currantport.example/core/trial"
)

// sink holds a response. The client receives the parts of a stream at once.
type sink struct {
	stream bool
	body   string
}

func (s *sink) Head(string, int, string) error { return nil }

func (s *sink) Data(data []byte) error {
	s.body += string(data)
	return nil
}

func (s *sink) Started() bool { return s.stream && s.body != "" }

func (s *sink) Reset() {
	if !s.Started() {
		s.body = ""
	}
}

var (
	steps  = []trial.Step{stepArrive, stepRun, stepHead, stepPart, stepEnd, stepSettle}
	faults = []trial.Fault{trial.Kill, trial.Cut, trial.Silence, trial.Pause, trial.Duplicate, trial.Delay, trial.Corrupt}
)

// sampleCases returns all single faults and a seeded sample of the pairs.
func sampleCases() []trial.Case {
	all := trial.Pairs(steps, faults)
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return append(trial.Singles(steps, faults), all[:200]...)
}

func (w *world) send(route string, key calls.Key, token string, stream bool) (*sink, *calls.Refusal) {
	k := &sink{stream: stream}
	deadline := time.Now().Add(2 * time.Second)
	ctx, cancel := context.WithDeadline(w.t.Context(), deadline)
	defer cancel()
	r := w.sender.Send(ctx, calls.Request{ID: "r", Route: route, Workspace: "meadow", Key: key, Token: token, Deadline: deadline, Stream: stream}, k)
	if r == nil && k.body != fullBody {
		w.t.Errorf("the response is %q", k.body)
	}
	if late := time.Since(deadline); late > 1100*time.Millisecond {
		w.t.Errorf("the request ended %s after the deadline", late)
	}
	return k, r
}

// TestKeyedRequestRunsAtMostOnce sends a key three times with injected faults.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	trial.Run(t, sampleCases(), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, s)
		key, refusal := w.sender.Mint(t.Context(), keyedRoute)
		if refusal != nil {
			t.Fatal(refusal)
		}
		refused := false
		for range 3 {
			_, r := w.send(keyedRoute, key, "", false)
			if refused && (r == nil || r.Outcome == calls.OutcomeUnknown) && w.runCount() > 0 {
				t.Errorf("a key that was reported as not run has run: %v", r)
			}
			refused = refused || r != nil && r.Outcome == calls.OutcomeNotRun
			if refused && w.runCount() > 0 {
				t.Errorf("reported as not run, ran %d times", w.runCount())
			}
		}
		time.Sleep(10 * time.Second)
		if w.runCount() > 1 || refused && w.runCount() > 0 {
			t.Errorf("ran %d times, reported as not run: %t", w.runCount(), refused)
		}
	})
}

// TestIdempotentResponseIsCompleteOrFails sends a request without a key, streamed and
// buffered, with injected faults.
func TestIdempotentResponseIsCompleteOrFails(t *testing.T) {
	trial.Run(t, sampleCases(), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, trial.NewScript(nil))
		// The entry needs a token of the host to settle an attempt as fenced.
		w.send(idempotentRoute, "", "", false)
		w.script = s
		for _, stream := range []bool{false, true} {
			before := w.runCount()
			k, r := w.send(idempotentRoute, "", "", stream)
			time.Sleep(10 * time.Second)
			if r != nil && r.Outcome == calls.OutcomeNotRun && w.runCount() > before {
				t.Errorf("reported as not run, ran: %v", r)
			}
			if r != nil && stream && k.body != "" && r.Outcome != calls.OutcomeUnknown {
				t.Errorf("a truncated stream ends with %v", r)
			}
		}
	})
}

// TestDuplicateAndMismatchedRepliesAreDropped checks that duplicate replies and replies
// to another attempt are counted and don't change the response.
func TestDuplicateAndMismatchedRepliesAreDropped(t *testing.T) {
	cases := []trial.Case{
		{{Step: stepPart, Fault: trial.Duplicate, Count: 2}, {Step: stepHead, Fault: trial.Delay}},
		{{Step: stepEnd, Fault: trial.Delay}, {Step: stepHead, Fault: trial.Duplicate}},
	}
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		w := newWorld(t, s)
		if _, r := w.send(idempotentRoute, "", "", true); r != nil {
			t.Errorf("refused: %v", r)
		}
		dropped := int64(0)
		for _, c := range w.scope.Snapshot().Counters() {
			dropped += c.Value()
		}
		if want := int64(len(s.Injected())); dropped != want || w.runCount() != 1 {
			t.Errorf("dropped %d of %d, runs %d", dropped, want, w.runCount())
		}
	})
}

func TestCanceledRequestEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, trial.NewScript(trial.Case{{Step: stepArrive, Fault: trial.Pause}}))
		ctx, cancel := context.WithTimeout(t.Context(), 0)
		cancel()
		start := time.Now()
		r := w.sender.Send(ctx, calls.Request{Route: idempotentRoute, Deadline: start.Add(time.Hour)}, &sink{})
		if r == nil || r.Outcome == calls.OutcomeAnswered || time.Since(start) > time.Second+maxSettleTime {
			t.Errorf("got %v after %s", r, time.Since(start))
		}
	})
}

// TestStaleEntryChoosesNoUpstream covers an entry that was paused after it had accepted
// the request, before the first and before the second attempt.
func TestStaleEntryChoosesNoUpstream(t *testing.T) {
	cases := map[string]struct {
		script trial.Case
		behind bool
		reason calls.Reason
	}{
		"before the first attempt":  {behind: true, reason: calls.ReasonStarting},
		"before the second attempt": {script: trial.Case{{Step: stepArrive, Fault: trial.Kill}}, reason: calls.ReasonLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, trial.NewScript(c.script))
				w.isBehind.Store(c.behind)
				w.onFault = func() { w.isBehind.Store(true) }
				_, r := w.send(idempotentRoute, "", "", false)
				if r == nil || r.Reason != c.reason || w.runCount() > 0 {
					t.Errorf("refused with %v, ran %d times", r, w.runCount())
				}
			})
		})
	}
}

const maxSettleTime = 100 * time.Millisecond

// TestSuspectWaitsForMarksOfOtherEntries covers a crash suspect whose second mark arrives
// from another entry that has no retry left. The request must not run a third time.
func TestSuspectWaitsForMarksOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, trial.NewScript(nil))
		fingerprint := poison.FingerprintOf(calls.Request{Route: idempotentRoute})
		w.registry.RecordLoss(fingerprint, "first")
		time.AfterFunc(poison.MarkDelay/2, func() { w.registry.RecordLoss(fingerprint, "second") })
		r := w.sender.Send(t.Context(), calls.Request{Route: idempotentRoute, Deadline: time.Now().Add(time.Second)}, &sink{})
		if r == nil || r.Reason != calls.ReasonQuarantined || w.runCount() != 0 {
			t.Errorf("refused with %v, ran %d times", r, w.runCount())
		}
	})
}

package timing_test

import (
	"testing"
	"time"

	"currantport.example/core/state"
	"currantport.example/core/timing"
)

// engine is modeled on the data sheets of the users' engines.
var engine = &state.Engine{
	Slots: 16, Stride: 5, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 38800 * time.Nanosecond, StepTimePerContext: 22700 * time.Nanosecond,
	PrefillRate: 19100, PrefillPairTime: 1470 * time.Microsecond, PromptTokens: 977, OutputTokens: 94,
}

func TestFirstEventIncludesPrefillSlotAndPass(t *testing.T) {
	idle := timing.FirstEvent(engine, timing.Load{Pace: 1}, 1000)
	for name, l := range map[string]timing.Load{
		"unread prompts": {Unread: 4000, Pace: 1}, "a full batch": {Running: 20, Pace: 1}, "a slow engine": {Pace: 3},
	} {
		if got := timing.FirstEvent(engine, l, 1000); got < idle+100*time.Millisecond {
			t.Errorf("%s: %v, idle %v", name, got, idle)
		}
	}
	if short := timing.FirstEvent(engine, timing.Load{Pace: 1}, 100); idle-short < 40*time.Millisecond {
		t.Errorf("a long prompt takes %v, a short one %v", idle, short)
	}
}

func TestRateOfFullEngine(t *testing.T) {
	// 94 tokens for 16 requests in steps of 9.5 ms, plus 51 ms of prefill for each.
	if r := timing.Rate(engine, 1); r < 8 || r > 11 {
		t.Errorf("%.1f requests a second", r)
	}
	if r := timing.Rate(engine, 2); r > 5.5 {
		t.Errorf("%.1f requests a second at half the speed", r)
	}
}

func TestPrefillDelaysBatch(t *testing.T) {
	if p := timing.EventGap(engine, timing.Load{Pace: 1}, 4000); p != 0 {
		t.Errorf("an empty batch is delayed by %v", p)
	}
	if p := timing.EventGap(engine, timing.Load{Running: 8, Unread: 4000, Pace: 1}, 4000); p < 400*time.Millisecond {
		t.Errorf("8,000 tokens delay a batch by %v", p)
	}
}

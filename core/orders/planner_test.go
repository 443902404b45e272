package orders_test

import (
	"testing"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/engine"
	"currantport.example/core/orders"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

var epoch = time.Unix(1_000_000, 0)

func desiredOf(number byte, revision tables.Revision) orders.Desired {
	return orders.Desired{Revision: revision, Model: "writer", Target: turns.Target{Version: string('a' + rune(number)), Manifest: chunks.Digest{number}}}
}

func serving(number byte, fence engine.Fence) engine.State {
	w := desiredOf(number, 0)
	return engine.State{Fence: fence, Model: w.Model, Version: w.Target.Version, Manifest: w.Target.Manifest, StartID: "first"}
}

func loading(fence engine.Fence) engine.State {
	return engine.State{Fence: fence, Loading: true, StartID: "first"}
}

// step is one decision. Times are relative to the epoch.
type step struct {
	at      time.Duration
	desired orders.Desired
	state   engine.State
	// observationAge is the age of the observation at the decision.
	observationAge time.Duration
	// confirmedAt is when the table was confirmed last.
	confirmedAt time.Duration
	want        orders.Kind
	// fails means that the order that follows fails.
	fails bool
}

// Each case is a sequence of decisions of one planner. Every order must have a higher
// fence than the engine's and than the one before.
func TestDecisions(t *testing.T) {
	fence := orders.FenceOf
	second := time.Second
	cases := map[string][]step{
		"empty engine":    {{desired: desiredOf(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad}},
		"served":          {{desired: desiredOf(1, 5), state: serving(1, 3), want: orders.KindDone}},
		"old observation": {{desired: desiredOf(1, 5), observationAge: 2 * second, want: orders.KindRead}},
		"engine has an order of a newer table": {
			{desired: desiredOf(1, 5), state: serving(2, fence(6)+1), want: orders.KindWait},
			{at: second, desired: desiredOf(1, 5), state: serving(2, fence(6)+1), confirmedAt: second, want: orders.KindWait},
			{at: 2 * second, desired: desiredOf(1, 7), state: serving(2, fence(6)+1), want: orders.KindLoad},
		},
		"engine loaded a newer order and restarted": {
			{desired: desiredOf(1, 5), state: loading(fence(6)), want: orders.KindWait},
			{at: second, desired: desiredOf(1, 5), state: engine.State{StartID: "second"}, want: orders.KindLoad},
		},
		"resumed after a long pause": {
			{desired: desiredOf(1, 5), state: serving(1, fence(5)), want: orders.KindDone},
			{at: 30 * second, desired: desiredOf(1, 5), state: serving(2, 0), observationAge: 30 * second, want: orders.KindRead},
			{at: 31 * second, desired: desiredOf(2, 6), state: serving(1, 0), want: orders.KindWait},
			{at: 32 * second, desired: desiredOf(2, 6), state: serving(1, 0), confirmedAt: 29 * second, want: orders.KindWait},
			{at: 33 * second, desired: desiredOf(2, 6), state: serving(1, 0), confirmedAt: 32 * second, want: orders.KindLoad},
		},
		"resumed without a confirmation": {
			{desired: desiredOf(1, 5), state: serving(1, fence(5)), want: orders.KindDone},
			{at: 30 * second, desired: desiredOf(2, 6), state: serving(1, 0), want: orders.KindWait},
			{at: 31 * second, desired: desiredOf(2, 6), state: serving(1, 0), want: orders.KindWait},
			{at: 32 * second, desired: desiredOf(2, 6), state: serving(1, 0), want: orders.KindWait},
			{at: 33 * second, desired: desiredOf(2, 6), state: serving(1, 0), want: orders.KindWait},
		},
		"another agent's order on an engine without fences": {
			{desired: desiredOf(1, 5), state: serving(1, 0), want: orders.KindDone},
			{at: second, desired: desiredOf(1, 5), state: serving(2, 0), want: orders.KindWait},
			{at: 2500 * time.Millisecond, desired: desiredOf(1, 5), state: serving(2, 0), want: orders.KindWait},
			{at: 4 * second, desired: desiredOf(1, 5), state: serving(2, 0), confirmedAt: 3 * second, want: orders.KindLoad},
		},
		"a late order of an older table": {
			{desired: desiredOf(1, 5), state: serving(1, fence(5)), want: orders.KindDone},
			{at: second, desired: desiredOf(1, 5), state: serving(2, fence(4)), want: orders.KindWait},
			{at: 2 * second, desired: desiredOf(1, 5), state: serving(2, fence(4)), want: orders.KindLoad},
		},
		"load of this agent in progress": {
			{desired: desiredOf(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad},
			{at: second, desired: desiredOf(1, 6), state: loading(fence(5)), want: orders.KindWait},
			{at: 2 * second, desired: desiredOf(2, 7), state: loading(fence(5)), want: orders.KindLoad},
		},
		"failures back off until the row changes": {
			{desired: desiredOf(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad, fails: true},
			{at: second, desired: desiredOf(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad, fails: true},
			{at: 2 * second, desired: desiredOf(1, 5), state: engine.State{StartID: "first"}, want: orders.KindWait},
			{at: 2 * second, desired: desiredOf(2, 6), state: engine.State{StartID: "first"}, want: orders.KindLoad},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var d orders.Planner
			var last engine.Fence
			for i, s := range steps {
				now := epoch.Add(s.at)
				got := d.Decide(orders.Input{
					Desired: s.desired, Now: now, ConfirmedAt: epoch.Add(s.confirmedAt),
					Observation: orders.Observation{State: s.state, RequestedAt: now.Add(-s.observationAge), ReceivedAt: now.Add(-s.observationAge)},
				})
				if got.Kind != s.want {
					t.Errorf("step %d: got %s (%s), want %s", i, got.Kind, got.Cause, s.want)
				}
				if got.Kind != orders.KindLoad {
					continue
				}
				if got.Fence <= s.state.Fence || got.Fence <= last || orders.RevisionOf(got.Fence) != s.desired.Revision {
					t.Errorf("step %d: fence %d after %d and %d at the engine", i, got.Fence, last, s.state.Fence)
				}
				last = got.Fence
				d.RecordOrder(s.desired, got.Fence)
				if s.fails {
					d.RecordFailure(false, now)
				}
			}
		})
	}
}

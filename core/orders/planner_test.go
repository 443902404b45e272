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

func wish(number byte, revision tables.Revision) orders.Desired {
	return orders.Desired{Revision: revision, Model: "writer", Target: turns.Target{Version: string('a' + rune(number)), Manifest: chunks.Digest{number}}}
}

func state(number byte, fence engine.Fence) engine.State {
	w := wish(number, 0)
	return engine.State{Fence: fence, Model: w.Model, Version: w.Target.Version, Manifest: w.Target.Manifest, StartID: "first"}
}

func loading(fence engine.Fence) engine.State {
	return engine.State{Fence: fence, Loading: true, StartID: "first"}
}

// step is one decision. Times are since the epoch.
type step struct {
	at    time.Duration
	wish  orders.Desired
	state engine.State
	// age is that of the reading.
	age time.Duration
	// confirmed is when the table was confirmed last.
	confirmed time.Duration
	want      orders.Kind
	// fail tells that the order that follows fails.
	fail bool
}

func TestDecisions(t *testing.T) {
	fence := orders.FenceOf
	second := time.Second
	cases := map[string][]step{
		"empty engine": {{wish: wish(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad}},
		"served":       {{wish: wish(1, 5), state: state(1, 3), want: orders.KindDone}},
		"old reading":  {{wish: wish(1, 5), age: 2 * second, want: orders.KindRead}},
		"engine has an order of a newer table": {
			{wish: wish(1, 5), state: state(2, fence(6)+1), want: orders.KindWait},
			{at: second, wish: wish(1, 5), state: state(2, fence(6)+1), confirmed: second, want: orders.KindWait},
			{at: 2 * second, wish: wish(1, 7), state: state(2, fence(6)+1), want: orders.KindLoad},
		},
		"engine served a newer order and lost it": {
			{wish: wish(1, 5), state: loading(fence(6)), want: orders.KindWait},
			{at: second, wish: wish(1, 5), state: engine.State{StartID: "second"}, want: orders.KindLoad},
		},
		"woken late": {
			{wish: wish(1, 5), state: state(1, fence(5)), want: orders.KindDone},
			{at: 30 * second, wish: wish(1, 5), state: state(2, 0), age: 30 * second, want: orders.KindRead},
			{at: 31 * second, wish: wish(2, 6), state: state(1, 0), want: orders.KindWait},
			{at: 32 * second, wish: wish(2, 6), state: state(1, 0), confirmed: 29 * second, want: orders.KindWait},
			{at: 33 * second, wish: wish(2, 6), state: state(1, 0), confirmed: 32 * second, want: orders.KindLoad},
		},
		"woken late and alone": {
			{wish: wish(1, 5), state: state(1, fence(5)), want: orders.KindDone},
			{at: 30 * second, wish: wish(2, 6), state: state(1, 0), want: orders.KindWait},
			{at: 31 * second, wish: wish(2, 6), state: state(1, 0), want: orders.KindWait},
			{at: 32 * second, wish: wish(2, 6), state: state(1, 0), want: orders.KindWait},
			{at: 33 * second, wish: wish(2, 6), state: state(1, 0), want: orders.KindWait},
		},
		"another agent's order on an engine without fences": {
			{wish: wish(1, 5), state: state(1, 0), want: orders.KindDone},
			{at: second, wish: wish(1, 5), state: state(2, 0), want: orders.KindWait},
			{at: 2500 * time.Millisecond, wish: wish(1, 5), state: state(2, 0), want: orders.KindWait},
			{at: 4 * second, wish: wish(1, 5), state: state(2, 0), confirmed: 3 * second, want: orders.KindLoad},
		},
		"a late order of an older table": {
			{wish: wish(1, 5), state: state(1, fence(5)), want: orders.KindDone},
			{at: second, wish: wish(1, 5), state: state(2, fence(4)), want: orders.KindWait},
			{at: 2 * second, wish: wish(1, 5), state: state(2, fence(4)), want: orders.KindLoad},
		},
		"own load in progress": {
			{wish: wish(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad},
			{at: second, wish: wish(1, 6), state: loading(fence(5)), want: orders.KindWait},
			{at: 2 * second, wish: wish(2, 7), state: loading(fence(5)), want: orders.KindLoad},
		},
		"failures back off until the row changes": {
			{wish: wish(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad, fail: true},
			{at: second, wish: wish(1, 5), state: engine.State{StartID: "first"}, want: orders.KindLoad, fail: true},
			{at: 2 * second, wish: wish(1, 5), state: engine.State{StartID: "first"}, want: orders.KindWait},
			{at: 2 * second, wish: wish(2, 6), state: engine.State{StartID: "first"}, want: orders.KindLoad},
		},
	}
	for name, all := range cases {
		t.Run(name, func(t *testing.T) {
			var d orders.Planner
			var last engine.Fence
			for i, s := range all {
				now := epoch.Add(s.at)
				got := d.Decide(orders.Input{
					Desired: s.wish, Now: now, ConfirmedAt: epoch.Add(s.confirmed),
					Observation: orders.Observation{State: s.state, RequestedAt: now.Add(-s.age), ReceivedAt: now.Add(-s.age)},
				})
				if got.Kind != s.want {
					t.Errorf("step %d: got %s (%s), want %s", i, got.Kind, got.Cause, s.want)
				}
				if got.Kind != orders.KindLoad {
					continue
				}
				if got.Fence <= s.state.Fence || got.Fence <= last || orders.RevisionOf(got.Fence) != s.wish.Revision {
					t.Errorf("step %d: fence %d after %d and %d at the engine", i, got.Fence, last, s.state.Fence)
				}
				last = got.Fence
				d.RecordOrder(s.wish, got.Fence)
				if s.fail {
					d.RecordFailure(false, now)
				}
			}
		})
	}
}

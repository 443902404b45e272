package target_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// plain returns an upstream of the plain service.
func plain(i int, started time.Time) state.Upstream {
	u := engine(i, "d0", 0)
	u.Pool, u.Held, u.Started = "s", nil, started
	return u
}

func (w *world) plainUpstream(now time.Time) string {
	f := w.fleet.ChoosePlain(now, toPlain())
	if f == nil {
		return "none"
	}
	defer f.Finish(now, target.OutcomeSuccess)
	return f.Row.ID
}

// TestLeavingUpstreamGetsNoRequests checks that an upstream which said that it leaves is unused
// until its process has ended, whatever the platform's rows say.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	w := newWorld(t, "e0")
	u := plain(0, start)
	w.publish(start, w.upstream(u))
	f := w.fleet.ChoosePlain(start, toPlain())
	if !f.RecordLeaving(start) || f.RecordLeaving(start) {
		t.Error("the first report isn't told from the second")
	}
	f.Finish(start, target.OutcomeSuccess)
	now := start
	expect := func(what, want string) {
		t.Helper()
		if got := w.plainUpstream(now); got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("leaving", "none")
	w.publish(now, w.upstream(u))
	expect("the same row again", "none")
	w.publish(now, state.Row{Key: "upstream/s/u0"})
	now = now.Add(time.Minute)
	w.publish(now, w.upstream(u))
	expect("removed and listed again", "none")
	w.publish(now, w.upstream(plain(0, start.Add(time.Second))))
	expect("started again", "u0")
}

// TestLapsedFleetKeepsItsDemands has all upstreams, of which each leaves, lapse at once and be listed
// again.
func TestLapsedFleetKeepsItsDemands(t *testing.T) {
	const fleet = 12000
	w := newWorld(t, "e0")
	var listed, removed []state.Row
	var leaving []target.LeavingUpstream
	for i := range fleet {
		u := plain(i, start)
		r := w.upstream(u)
		listed, removed = append(listed, r), append(removed, state.Row{Key: r.Key})
		leaving = append(leaving, target.LeavingUpstream{ID: u.ID, Started: u.Started})
	}
	w.publish(start, listed...)
	w.fleet.ReceiveLeaving(start, "e1", leaving)
	w.publish(start, removed...)
	now := start.Add(time.Second)
	w.publish(now, listed...)
	if got := w.plainUpstream(now); got != "none" {
		t.Errorf("a second after the fleet lapsed: %s", got)
	}
}

// TestLeavingIsToldToOthers checks what an entry tells others, and that agents' reports count.
func TestLeavingIsToldToOthers(t *testing.T) {
	a, b := newWorld(t, "e0"), newWorld(t, "e1")
	u, e := plain(0, start), engine(1, "d0", 1)
	e.Started = start
	for _, w := range []*world{a, b} {
		w.publish(start, w.upstream(u), w.upstream(e))
	}
	f := a.fleet.ChoosePlain(start, toPlain())
	f.RecordLeaving(start)
	b.fleet.ReceiveLeaving(start, "e0", a.fleet.AnnouncedLeaving(start))
	if got := b.plainUpstream(start); got != "none" {
		t.Errorf("another entry still sends to %s", got)
	}
	if n := len(a.fleet.AnnouncedLeaving(start.Add(time.Minute))); n != 0 {
		t.Errorf("%d announcements after a minute", n)
	}
	b.fleet.ReceiveLeaving(start, "e0", []target.LeavingUpstream{{ID: "u1", Started: start.Add(-time.Second)}, {ID: "unknown"}})
	if got, _ := b.place(start, b.requirements()); got != "u1" {
		t.Errorf("the announcement of an earlier process counts: %s", got)
	}
	b.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Leaving: true, Started: start, Held: e.Held})
	if got, _ := b.place(start, b.requirements()); got == "u1" {
		t.Error("an engine that leaves by its agent's report gets a request")
	}
}

// TestHeldUpstreamIsLeftAlone checks that a hold is kept whole, is no one else's, and that the
// soonest of a pool is known.
func TestHeldUpstreamIsLeftAlone(t *testing.T) {
	w, other := newWorld(t, "e0"), newWorld(t, "e1")
	for _, v := range []*world{w, other} {
		v.publish(start, v.upstream(plain(0, start)), v.upstream(plain(1, start)))
	}
	for _, d := range []time.Duration{4 * time.Second, 2 * time.Second} {
		f := w.fleet.ChoosePlain(start, toPlain())
		f.Hold(start, d)
		f.Hold(start, d/2)
		f.Finish(start, target.OutcomeShed)
	}
	if got := w.fleet.SoonestHold(start, toPlain()); got != 2*time.Second {
		t.Errorf("soonest hold %s, want 2s", got)
	}
	for ms := range 2000 {
		if got := w.plainUpstream(start.Add(time.Duration(ms) * time.Millisecond)); got != "none" {
			t.Fatalf("after %d ms: %s", ms, got)
		}
	}
	if got := w.plainUpstream(start.Add(2 * time.Second)); got == "none" {
		t.Error("none after the soonest hold")
	}
	other.fleet.ReceiveEntryLoads(start, "e0", w.fleet.EntryLoads(start))
	if got := other.plainUpstream(start); got == "none" {
		t.Error("the hold of one entry keeps another one away")
	}
	if got := other.fleet.SoonestHold(start, toPlain()); got != 0 {
		t.Errorf("a hold of another entry counts as own: %s", got)
	}
}

// TestHoldsOfHoursAreBounded checks that a value far too long doesn't take an upstream out of use
// for longer than the bound.
func TestHoldsOfHoursAreBounded(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(plain(0, start)))
	f := w.fleet.ChoosePlain(start, toPlain())
	f.Hold(start, 24*time.Hour)
	f.Finish(start, target.OutcomeShed)
	if got := w.plainUpstream(start.Add(9 * time.Minute)); got != "none" {
		t.Errorf("used after nine minutes: %s", got)
	}
	if got := w.plainUpstream(start.Add(11 * time.Minute)); got != "u0" {
		t.Errorf("unused after eleven minutes: %s", got)
	}
}

// TestDemandsHoldInAnyOrder plays rows, responses and restarts of two upstreams in any order. An
// upstream gets no request while its process leaves or its hold lasts.
func TestDemandsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, "e0")
		now := start
		started := []time.Time{start, start}
		listed := []bool{true, true}
		leaving := make([]bool, 2)
		held := make([]time.Time, 2)
		for i := range started {
			w.publish(now, w.upstream(plain(i, started[i])))
		}
		for range 30 {
			i := rapid.IntRange(0, 1).Draw(rt, "upstream")
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				started[i], listed[i], leaving[i], held[i] = started[i].Add(time.Second), true, false, time.Time{}
				w.publish(now, w.upstream(plain(i, started[i])))
			case 1:
				listed[i] = false
				w.publish(now, state.Row{Key: fmt.Sprint("upstream/s/u", i)})
			case 2:
				listed[i] = true
				w.publish(now, w.upstream(plain(i, started[i])))
			}
			f := w.fleet.ChoosePlain(now, toPlain())
			if f == nil {
				continue
			}
			k := int(f.Row.ID[1] - '0')
			if !listed[k] || leaving[k] || now.Before(held[k]) {
				rt.Fatalf("%s gets a request: listed %t, leaving %t, held for %s", f.Row.ID, listed[k], leaving[k], held[k].Sub(now))
			}
			switch rapid.IntRange(0, 2).Draw(rt, "response") {
			case 0:
				leaving[k] = true
				f.RecordLeaving(now)
			case 1:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "hold")) * time.Millisecond
				held[k] = now.Add(d)
				f.Hold(now, d)
			}
			f.Finish(now, target.OutcomeShed)
		}
	})
}

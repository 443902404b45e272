package target_test

import (
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/trial"
	"currantport.example/entry/internal/target"
)

// isCold reports whether the only upstream gets fewer than 20 requests at once.
func (w *world) isCold(now time.Time) bool {
	for range 20 {
		if w.plainUpstream(now) == "none" {
			return true
		}
	}
	return false
}

const coldPoolTime = 10 * time.Second

// newColdWorld returns the world of an entry with a pool of cold upstreams, with the upstream in its first
// snapshot unless that is nil.
func newColdWorld(t *testing.T, self hosts.Name, first *state.Upstream) *world {
	return newColdWorldAt(t, start, self, first)
}

// newColdWorldAt is newColdWorld at another time.
func newColdWorldAt(t *testing.T, at time.Time, self hosts.Name, first *state.Upstream) *world {
	w := newEmptyWorld(t, self, func() []hosts.Host { return entries })
	rows := []state.Row{w.row(state.EncodePool(&state.Pool{Name: "s", Cold: coldPoolTime, ColdRate: 0.1}))}
	if first != nil {
		rows = append(rows, w.upstream(*first))
	}
	w.publish(at, rows...)
	return w
}

func ptr[T any](v T) *T { return &v }

// TestWhichProcessesAreCold guards against an upstream that isn't limited although its row or its start
// shows that it is cold, and against one that is limited without that or for too long.
func TestWhichProcessesAreCold(t *testing.T) {
	const cold = coldPoolTime
	end := cold + 3*time.Second
	old, now := start.Add(-time.Hour), start
	row := func(started time.Time, left time.Duration, states bool) state.Upstream {
		u := plain(0, started)
		u.ColdFor, u.HasCold = left, states
		return u
	}
	draining := func(u state.Upstream) state.Upstream { u.Slots = 7; return u }
	for _, c := range []struct {
		name string
		// first is in the first snapshot, rows come one second apart from then on.
		first *state.Upstream
		rows  []state.Upstream
		// coldUntil is the time after the first snapshot until which the upstream is limited.
		coldUntil time.Duration
	}{
		{"listed at the start of the entry without the field", ptr(row(now, 0, false)), nil, 0},
		{"listed at the start of the entry, cold", ptr(row(now, cold, true)), nil, end},
		{"new without the field", nil, []state.Upstream{row(now, 0, false)}, time.Second + end},
		{"new without the field, old", nil, []state.Upstream{row(old, 0, false)}, time.Second + end},
		{"new, states zero, just started", nil, []state.Upstream{row(now, 0, true)}, time.Second + end},
		{"new, states zero, old", nil, []state.Upstream{row(old, 0, true)}, 0},
		{"new, states less", nil, []state.Upstream{row(now, 4*time.Second, true)}, time.Second + 7*time.Second},
		{"the same value again", ptr(row(now, cold, true)), []state.Upstream{row(now, cold, true), row(now, cold, true)}, end},
		{"another value", ptr(row(now, cold, true)), []state.Upstream{draining(row(now, cold, true))}, time.Second + end},
		{"listed all along, then cold", ptr(row(old, 0, true)), []state.Upstream{row(old, cold, true)}, time.Second + end},
		{"listed all along, another row without the field", ptr(row(old, 0, false)), []state.Upstream{draining(row(old, 0, false))}, 0},
		{"the start changes", ptr(row(old, 0, false)), []state.Upstream{row(now, 0, false)}, time.Second + end},
		{"states zero in the end", ptr(row(now, cold, true)), []state.Upstream{row(now, 0, true)}, time.Second + 3*time.Second},
		{"a clock five seconds ahead", nil, []state.Upstream{row(now.Add(5*time.Second), 0, true)}, time.Second + end},
		{"a clock five seconds behind", nil, []state.Upstream{row(now.Add(-5*time.Second), 0, true)}, time.Second + end},
	} {
		w := newColdWorld(t, "e0", c.first)
		for i, u := range c.rows {
			w.publish(start.Add(time.Duration(i+1)*time.Second), w.upstream(u))
		}
		last := start.Add(time.Duration(len(c.rows)) * time.Second)
		if got := w.isCold(last); got != (c.coldUntil > 0) {
			t.Errorf("%s: cold at first: %t", c.name, got)
		}
		if c.coldUntil > 0 && (!w.isCold(start.Add(c.coldUntil-100*time.Millisecond)) || w.isCold(start.Add(c.coldUntil+time.Millisecond))) {
			t.Errorf("%s: not cold for %s", c.name, c.coldUntil)
		}
	}
}

// coldOwner returns the entry that owns the limit of the first upstream, and another one of its region.
func coldOwner() (owner, other hosts.Name) {
	if hosts.Score("limit u0", "e0") > hosts.Score("limit u0", "e1") {
		return "e0", "e1"
	}
	return "e1", "e0"
}

// TestOwnerLearnsOfTheColdTimeByAnAsk has an entry ask an owner that knows of no cold time, with and
// without the upstream in its list. It guards against an ask without a response, after which the upstream
// is unused for half a second, and against an owner that ignores the cold time in the ask.
func TestOwnerLearnsOfTheColdTimeByAnAsk(t *testing.T) {
	owner, other := coldOwner()
	u := plain(0, start)
	told := newColdWorld(t, other, ptr(u))
	told.fleet.ChoosePlain(start, toPlain()).RecordCold(start, coldPoolTime)
	for _, isListed := range []bool{true, false} {
		w := newColdWorld(t, owner, nil)
		if isListed {
			w = newColdWorld(t, owner, ptr(u))
		}
		now := start.Add(3 * time.Second)
		var g target.GrantRequest
		told.fleet.AwaitLimited(now, toPlain(), &g)
		asks := told.fleet.TakeAsks(now)[owner]
		if len(asks) != 1 || asks[0].Limit.Cold != coldPoolTime-3*time.Second {
			t.Fatalf("asks: %+v", asks)
		}
		if grants := w.fleet.ReceiveAsks(now, other, asks); len(grants) != 1 || grants[0].Count == 0 && grants[0].Wait == 0 {
			t.Errorf("listed %t: grants %+v", isListed, grants)
		}
		w.publish(now, w.upstream(u))
		if !w.isCold(now) {
			t.Errorf("listed %t: the owner doesn't consider the upstream cold", isListed)
		}
	}
}

// TestHeardColdTimesDontGrow lets entries report a cold time to each other for its whole length, each
// message 250 ms old. It guards against a cold time that never ends because it is passed on unchanged.
func TestHeardColdTimesDontGrow(t *testing.T) {
	const age = 250 * time.Millisecond
	owner, other := coldOwner()
	u := plain(0, start)
	a, b, first := newColdWorld(t, owner, ptr(u)), newColdWorld(t, other, ptr(u)), newColdWorld(t, "f0", ptr(u))
	first.fleet.ChoosePlain(start, toPlain()).RecordCold(start, coldPoolTime)
	for _, w := range []*world{a, b} {
		w.fleet.ReceiveLimits(start.Add(age), "f0", first.fleet.Limits(start, 1))
	}
	now := start.Add(age)
	for ; now.Before(start.Add(coldPoolTime + 4*time.Second)); now = now.Add(2 * age) {
		var g target.GrantRequest
		b.fleet.AwaitLimited(now, toPlain(), &g)
		grants := a.fleet.ReceiveAsks(now.Add(age), other, b.fleet.TakeAsks(now)[owner])
		b.fleet.ReceiveGrants(now.Add(2*age), grants)
	}
	if a.isCold(now) || b.isCold(now) {
		t.Error("the upstream still counts as cold")
	}
}

// TestResponsesCorrectTheColdTime guards against a cold time that outlasts a response which states its end,
// and against one that ends by the response to an earlier request.
func TestResponsesCorrectTheColdTime(t *testing.T) {
	owner, _ := coldOwner()
	w := newColdWorld(t, owner, ptr(plain(0, start)))
	earlier, f := w.fleet.ChoosePlain(start, toPlain()), w.fleet.ChoosePlain(start, toPlain())
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	if !f.RecordCold(at(1), 2*coldPoolTime) || earlier.RecordCold(at(1.5), 0) || !w.isCold(at(2)) {
		t.Error("a response to a request of before ends the cold time")
	}
	later := w.fleet.ChoosePlain(at(15), toPlain())
	if later == nil || !later.RecordCold(at(15.1), 0) || !w.isCold(at(18)) || w.isCold(at(18.2)) {
		t.Error("a later response doesn't end the cold time")
	}
}

// TestStricterLimitHolds names a limit at a cold upstream, once below the cold rate and once above. It
// guards against either of them replacing the stricter one.
func TestStricterLimitHolds(t *testing.T) {
	for _, named := range []float64{2, 50} {
		const rate = 14
		c := newColdCrowd(t, 1, 34, rate)
		c.named = always(named)
		c.list(1, true)
		c.run(200, coldTime+10*time.Second)
		strictest := min(named, rate)
		if most := c.mostCold(); most > allowedCold(strictest) {
			t.Errorf("%g a second named: %d requests in %s, allowed %d", named, most, coldSpan, allowedCold(strictest))
		}
		if most := trial.MostWithin(c.sent, limitSpan); most > allowed(named) {
			t.Errorf("%g a second named: %d requests in %s, allowed %d", named, most, limitSpan, allowed(named))
		}
		if used := float64(len(after(c.sent, c.now.Add(-5*time.Second)))) / 5 / named; used < 0.75 {
			t.Errorf("%g a second named: %.2f of it is used after the cold time", named, used)
		}
	}
}

// TestWithoutColdTimesDecisionsAreTheSame guards pools whose upstreams may be cold, while none is, against
// other decisions than in pools without a cold time.
func TestWithoutColdTimesDecisionsAreTheSame(t *testing.T) {
	cold := state.Pool{Cold: coldTime, ColdRate: 2}
	for seed := range uint64(3) {
		var sent [][]time.Time
		var served []outcome
		for _, p := range []state.Pool{{}, cold} {
			p.Name = "s"
			c := newCrowd(t, seed, 24, func(now time.Time) (float64, bool) { return 20, now.Sub(start) > 3*time.Second })
			c.pool = &p
			for _, e := range c.members {
				c.boot(e)
			}
			c.run(100, 10*time.Second)
			sent = append(sent, c.sent)
			q := p
			q.Name, q.Engine = "p", engineSpec
			b := newSimulationOf(t, seed, 6, 8, &q)
			b.run(150, 5*time.Second)
			served = append(served, b.outcome(func(*request) bool { return true }))
		}
		if !slices.EqualFunc(sent[0], sent[1], time.Time.Equal) || served[0] != served[1] || served[0].total == 0 {
			t.Errorf("seed %d: %d and %d requests, %+v and %+v", seed, len(sent[0]), len(sent[1]), served[0], served[1])
		}
	}
}

// TestRefusedClientsReturnWhenTheUpstreamIsWarm guards against retry times that follow from the cold rate
// alone and lie long after the upstream is warm.
func TestRefusedClientsReturnWhenTheUpstreamIsWarm(t *testing.T) {
	u := plain(0, start)
	u.ColdFor = time.Second
	w := newColdWorld(t, "e0", &u)
	for range 50 {
		if wait := w.fleet.LimitedRetryDelay(start, "s", 500*time.Millisecond); wait < 500*time.Millisecond || wait > 5*time.Second {
			t.Fatalf("a client waits for %s", wait)
		}
	}
}

// TestColdEngineIsKeptToItsRate has a cold engine beside a warm one that is full. It guards against a choice
// of engines that ignores the cold rate or hardly uses it.
func TestColdEngineIsKeptToItsRate(t *testing.T) {
	const rate = 2
	owner, _ := coldOwner()
	w := newEmptyWorld(t, owner, func() []hosts.Host { return entries })
	cold, warm := engine(0, "d0", 1), engine(1, "d0", 1)
	cold.ColdFor, warm.HasCold = coldTime, true
	w.publish(start, w.row(state.EncodePool(&state.Pool{Name: "p", Cold: coldTime, ColdRate: rate, Engine: engineSpec})), w.upstream(cold), w.upstream(warm))
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Running: 100, Held: warm.Held})
	var sent []time.Time
	for now := start; now.Before(start.Add(coldTime + coldSpan)); now = now.Add(tick) {
		w.fleet.ReceiveLoadReport(now, "u1", target.LoadReport{Serial: uint64(now.UnixNano()), Pace: 1, Running: 100, Held: warm.Held})
		if id, f := w.place(now, w.requirements()); f != nil {
			if f.Finish(now, target.OutcomeSuccess); id == "u0" {
				sent = append(sent, now)
			}
		}
	}
	if most := trial.MostWithin(sent, coldSpan); most > allowedCold(rate) || len(sent) < 5*rate {
		t.Errorf("%d requests in %s, allowed %d, %d in all", most, coldSpan, allowedCold(rate), len(sent))
	}
}

// TestStartedEntryDoesNotRenewAColdTime has an entry start long after an upstream's row stated that it is cold, and
// ask an owner that knows that this is over. It guards against either of them limiting the upstream again
// for the time in the row.
func TestStartedEntryDoesNotRenewAColdTime(t *testing.T) {
	owner, other := coldOwner()
	u := plain(0, start)
	u.ColdFor = coldPoolTime
	w, late := newColdWorld(t, owner, nil), newColdWorldAt(t, start.Add(time.Minute), other, &u)
	w.publish(start, w.upstream(u))
	now := start.Add(time.Minute)
	if !late.isCold(now) {
		t.Fatal("an entry that starts ignores the row")
	}
	var g target.GrantRequest
	late.fleet.AwaitLimited(now, toPlain(), &g)
	grants := w.fleet.ReceiveAsks(now, other, late.fleet.TakeAsks(now)[owner])
	late.fleet.ReceiveGrants(now, grants)
	if len(grants) != 1 || grants[0].Count == 0 || w.isCold(now) {
		t.Errorf("the owner considers the upstream cold: %+v", grants)
	}
	if late.isCold(now.Add(coldPoolTime / 2)) {
		t.Error("the entry still considers the upstream cold")
	}
}

package target_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// twins are two fleets that receive the same. Only the first is asked for explanations.
type twins struct {
	asked, silent *world
	now           time.Time
	// running are the same requests at both.
	running [][2]*target.InFlight
	serial  uint64
}

const (
	twinEngines  = 6
	twinServices = 4
)

func newTwins(t *testing.T) *twins {
	o := target.Options{Self: "e0", Entries: func() []hosts.Host { return entries }, Random: func() float64 { return 0 }, Log: zap.NewNop()}
	w := &twins{asked: newWorldWith(t, o), silent: newWorldWith(t, o), now: start}
	for _, v := range []*world{w.asked, w.silent} {
		for i := range twinEngines {
			v.publish(start, v.upstream(engine(i, fmt.Sprintf("d%d", i%2), 1)))
		}
		for i := range twinServices {
			s := plain(i, time.Time{})
			s.ID, s.Domain = fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%2)
			v.publish(start, v.upstream(s))
		}
	}
	return w
}

// change has both fleets receive one message, row or response, to which they must respond alike.
func (w *twins) change(t *rapid.T) {
	i := rapid.IntRange(0, twinEngines-1).Draw(t, "upstream")
	domain := rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "domain")
	n := rapid.IntRange(0, 6).Draw(t, "number")
	id := fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"u", "s"}).Draw(t, "kind"), i)
	e := engine(i, domain, n/2)
	e.Draining = n == 5
	w.serial++
	limit := target.UpstreamLimit{ID: id, Limit: quota.Limit{Rate: rapid.SampledFrom([]float64{1, 20}).Draw(t, "rate"), Serial: w.serial}}
	change := rapid.SampledFrom([]func(v *world) any{
		func(v *world) any { return v.publishAt(w.now, v.upstream(e)) },
		func(v *world) any {
			v.fleet.ReceiveLoadReport(w.now, id, target.LoadReport{Serial: w.serial, Running: n, Pace: float64(1 + n/3), Closed: n == 5, Held: heldVersion(1 + n/3)})
			return nil
		},
		func(v *world) any { return v.fleet.ReceiveAsks(w.now, "e1", []target.Ask{{Limit: limit, Count: 2}}) },
		func(v *world) any {
			v.fleet.ReceiveLimits(w.now, "e1", []target.UpstreamLimit{limit})
			v.fleet.ReceiveGrants(w.now, []target.Grant{{Limit: limit, Count: n / 2}})
			return nil
		},
		func(v *world) any { return v.publishAt(w.now, evacuation(v, domain, n < 2)) },
		func(v *world) any {
			v.fleet.ReceiveEntryLoads(w.now, "e1", []target.EntryLoad{{Upstream: target.HashOf(id), Running: n, Unread: 500 * n, Held: time.Duration(n/3) * time.Second}})
			return nil
		},
		func(v *world) any {
			return v.publishAt(w.now, v.row(state.EncodeRelease(state.Release{Model: "m", Version: 1 + n/2})))
		},
		func(v *world) any {
			v.fleet.SetKnownEntries(n)
			return nil
		},
	}).Draw(t, "change")
	if asked, silent := change(w.asked), change(w.silent); !reflect.DeepEqual(asked, silent) {
		t.Fatalf("%v, without explain %v", asked, silent)
	}
}

// publishAt is publish with a result for change.
func (w *world) publishAt(now time.Time, row state.Row) any {
	w.publish(now, row)
	return nil
}

// evacuation returns the row of an evacuation, or its removal.
func evacuation(w *world, domain string, isOrdered bool) state.Row {
	row := w.row(state.EncodeEvacuation(state.Evacuation{Domain: hosts.Domain(domain)}))
	if !isOrdered {
		row.Value = nil
	}
	return row
}

// end ends a random request in progress, in some cases after its upstream asked for a pause.
func (w *twins) end(t *rapid.T) {
	if len(w.running) == 0 || rapid.IntRange(0, 2).Draw(t, "end") > 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "ended")
	outcome := rapid.IntRange(int(target.OutcomeSuccess), int(target.OutcomeMismatch)).Draw(t, "outcome")
	hold := rapid.IntRange(0, 2).Draw(t, "hold")
	for _, f := range w.running[i] {
		if outcome == int(target.OutcomeSuccess) {
			f.RecordFirstEvent(w.now)
		}
		f.Hold(w.now, time.Duration(hold)*time.Second)
		f.Finish(w.now, target.Outcome(outcome))
	}
	w.running = slices.Delete(w.running, i, i+1)
}

// requirements draws a request.
func (w *twins) requirements(t *rapid.T) target.Requirements {
	reqs := w.asked.requirements()
	reqs.Remaining = time.Duration(rapid.IntRange(0, 1000).Draw(t, "remaining")) * time.Millisecond
	reqs.PromptTokens = rapid.IntRange(1, 8000).Draw(t, "prompt")
	reqs.Pool = w.asked.snapshot.Pool(rapid.SampledFrom([]string{"p", "p", "s"}).Draw(t, "pool"))
	reqs.Homes = rapid.SampledFrom([]state.Homes{{}, {}, homesOf("r0"), homesOf("r1")}).Draw(t, "homes")
	reqs.Exclude = rapid.SampledFrom([][]string{nil, {"u1", "s1"}}).Draw(t, "tried")
	return reqs
}

func homesOf(all ...hosts.Region) state.Homes { return state.HomesOf(&state.Route{Homes: all}, nil) }

// choose has a fleet choose. It returns the id of the upstream, or none, and the sum of the times that a
// refused client is told.
func choose(now time.Time, f *target.Fleet, reqs target.Requirements) (r *target.InFlight, id string, wait time.Duration) {
	if reqs.Pool.Engine == nil {
		r = f.ChoosePlain(now, reqs)
	} else {
		r, wait = f.ChooseEngine(now, reqs)
	}
	if r != nil {
		id = r.Row.ID
	}
	limited, _ := f.AwaitLimited(now, reqs, &target.GrantRequest{})
	return r, id, wait + limited + f.LimitedRetryDelay(now, reqs.Pool.Name, limited)
}

// ask has the first fleet explain a choice, and make it on a copy.
func (w *twins) ask(t *rapid.T, reqs target.Requirements) target.Explanation {
	e := w.asked.fleet.Explain(w.now, reqs)
	choose(w.now, w.asked.fleet.Fork(reqs.Pool.Name), reqs)
	for _, c := range e.Candidates {
		sum := 0.0
		for _, part := range c.Costs {
			sum += part.Value
		}
		mayGet := len(c.Exclusions) == 0 && c.Free >= c.Needed
		if math.Abs(sum-c.Cost) > 1e-6 || c.IsAdmitted != mayGet || c.Row.ID == e.Choice && !mayGet || e.Margin < 0 {
			t.Fatalf("choice %q, margin %v: %+v", e.Choice, e.Margin, c)
		}
	}
	return e
}

// choose has both fleets choose for the same request, after the first was asked for the choice.
func (w *twins) choose(t *rapid.T) {
	reqs := w.requirements(t)
	e := w.ask(t, reqs)
	r, id, wait := choose(w.now, w.asked.fleet, reqs)
	other, otherID, otherWait := choose(w.now, w.silent.fleet, reqs)
	if e.Choice != id || id != otherID || wait != otherWait {
		t.Fatalf("explained %q, chosen %q, %s, without explain %q, %s", e.Choice, id, wait, otherID, otherWait)
	}
	if r != nil {
		w.running = append(w.running, [2]*target.InFlight{r, other})
	}
}

// TestExplainNamesTheNextChoice draws at least 1,000 states. It guards against an explanation that
// differs from the choice, and against one that changes the state of limits, grants, turns or upstreams.
func TestExplainNamesTheNextChoice(t *testing.T) {
	states := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newTwins(t)
		for range 20 {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 33, 120, 1500}).Draw(rt, "ms")) * time.Millisecond)
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				w.change(rt)
			}
			w.end(rt)
			if rapid.Bool().Draw(rt, "only asked") {
				w.ask(rt, w.requirements(rt))
				w.now = w.now.Add(3 * time.Millisecond)
			}
			w.choose(rt)
			states++
		}
	})
	if states < 1000 && !t.Failed() {
		t.Errorf("%d states", states)
	}
}

// TestExplainNamesEachExclusion guards against an explanation that shows the first reason only, so that
// an operator who removes it finds the next one.
func TestExplainNamesEachExclusion(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(1, "d1", 1)
	u.Draining = true
	w.publish(start, w.upstream(u), evacuation(w, "d1", true))
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true, Held: heldVersion(3)})
	reqs := w.requirements()
	reqs.Homes, reqs.Exclude, reqs.Version = homesOf("r0"), []string{"u1"}, 2
	e := w.fleet.Explain(start.Add(time.Second), reqs)
	want := []target.Exclusion{
		target.ExclusionHome, target.ExclusionEvacuated, target.ExclusionDraining, target.ExclusionTried, target.ExclusionClosed, target.ExclusionVersion,
	}
	if c := e.Candidates[0]; !slices.Equal(c.Exclusions, want) || c.LoadAge != time.Second || c.Version != 3 || c.IsEnding || e.Choice != "" {
		t.Errorf("%+v", c)
	}
}

// TestExplainNamesTheEndOfAVersion guards against an explanation that shows an engine as usable and not
// that its version is about to take no more requests.
func TestExplainNamesTheEndOfAVersion(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
	c := w.fleet.Explain(start, w.requirements()).Candidates[0]
	if !c.IsEnding || c.EndsIn <= 0 || c.EndsIn >= versionTimeout || !c.IsAdmitted {
		t.Errorf("after the release: %+v", c)
	}
	for at, want := range map[time.Duration]int{c.EndsIn - time.Millisecond: 0, c.EndsIn: 1} {
		if got := w.fleet.Explain(start.Add(at), w.requirements()).Candidates[0]; len(got.Exclusions) != want {
			t.Errorf("after %s: %+v", at, got)
		}
	}
}

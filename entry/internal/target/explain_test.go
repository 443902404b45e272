package target_test

import (
	"fmt"
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

func newTwins(t *testing.T) *twins {
	o := target.Options{
		Self: "e0", Entries: func() []hosts.Host { return entries }, Random: func() float64 { return 0 }, Log: zap.NewNop(),
	}
	return &twins{asked: newWorldWith(t, o), silent: newWorldWith(t, o), now: start}
}

func (w *twins) both(do func(v *world)) {
	do(w.asked)
	do(w.silent)
}

const (
	twinEngines  = 6
	twinServices = 4
)

// change has both fleets receive one message or response.
func (w *twins) change(t *rapid.T) {
	i := rapid.IntRange(0, twinEngines-1).Draw(t, "upstream")
	domain := rapid.SampledFrom([]string{"d0", "d1"}).Draw(t, "domain")
	version := rapid.IntRange(0, 2).Draw(t, "version")
	kind := rapid.SampledFrom([]string{"u", "s"}).Draw(t, "kind")
	limit := target.UpstreamLimit{ID: fmt.Sprintf("%s%d", kind, i), Limit: quota.Limit{Rate: rapid.SampledFrom([]float64{1, 20}).Draw(t, "rate"), Serial: w.serial}}
	w.serial++
	switch rapid.IntRange(0, 10).Draw(t, "change") {
	case 0:
		e := engine(i, domain, version)
		e.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
		w.both(func(v *world) { v.publish(w.now, v.upstream(e)) })
	case 1:
		r := target.LoadReport{
			Serial: w.serial, Running: rapid.IntRange(0, 6).Draw(t, "running"), Pace: rapid.Float64Range(1, 3).Draw(t, "pace"),
			Closed: rapid.IntRange(0, 4).Draw(t, "closed") == 0, Held: heldVersion(max(version, 1)),
		}
		w.both(func(v *world) { v.fleet.ReceiveLoadReport(w.now, limit.ID, r) })
	case 2:
		w.both(func(v *world) { v.fleet.ReceiveLimits(w.now, "e1", []target.UpstreamLimit{limit}) })
	case 3:
		asks := []target.Ask{{Limit: limit, Count: 2}}
		var grants [][]target.Grant
		w.both(func(v *world) { grants = append(grants, v.fleet.ReceiveAsks(w.now, "e1", asks)) })
		if !reflect.DeepEqual(grants[0], grants[1]) {
			t.Fatalf("grants %v, without explain %v", grants[0], grants[1])
		}
	case 4:
		w.both(func(v *world) {
			v.fleet.ReceiveLimits(w.now, "e1", []target.UpstreamLimit{limit})
			v.fleet.ReceiveGrants(w.now, []target.Grant{{Limit: limit, Count: 1}})
		})
	case 5:
		w.both(func(v *world) {
			row := v.row(state.EncodeEvacuation(state.Evacuation{Domain: hosts.Domain(domain)}))
			if version > 0 {
				row.Value = nil
			}
			v.publish(w.now, row)
		})
	case 6:
		loads := []target.EntryLoad{{Upstream: target.HashOf(limit.ID), Running: version, Unread: 500 * version, Held: time.Duration(version) * time.Second}}
		w.both(func(v *world) { v.fleet.ReceiveEntryLoads(w.now, "e1", loads) })
	case 7:
		w.both(func(v *world) {
			v.publish(w.now, v.row(state.EncodeRelease(state.Release{Model: "m", Version: 1 + version})))
		})
	case 8:
		w.both(func(v *world) { v.fleet.SetKnownEntries(3 * version) })
	default:
		w.end(t)
	}
}

// end ends a request that runs.
func (w *twins) end(t *rapid.T) {
	if len(w.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "ended")
	outcome := target.Outcome(rapid.IntRange(int(target.OutcomeSuccess), int(target.OutcomeMismatch)).Draw(t, "outcome"))
	hold := time.Duration(rapid.IntRange(0, 3).Draw(t, "hold")) * time.Second
	for _, f := range w.running[i] {
		if outcome == target.OutcomeSuccess {
			f.RecordFirstEvent(w.now)
		}
		if hold > time.Second {
			f.Hold(w.now, hold)
		}
		f.Finish(w.now, outcome)
	}
	w.running = slices.Delete(w.running, i, i+1)
}

// requirements draws a request.
func (w *twins) requirements(t *rapid.T) target.Requirements {
	reqs := w.asked.requirements()
	reqs.Remaining = time.Duration(rapid.IntRange(0, 1000).Draw(t, "remaining")) * time.Millisecond
	reqs.PromptTokens = rapid.IntRange(1, 8000).Draw(t, "prompt")
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		reqs.Pool = w.asked.snapshot.Pool("s")
	}
	if homes := rapid.IntRange(0, 5).Draw(t, "homes"); homes < 2 {
		reqs.Homes = state.HomesOf(&state.Route{Homes: []hosts.Region{hosts.Region(fmt.Sprintf("r%d", homes))}}, nil)
	}
	if rapid.Bool().Draw(t, "tried") {
		reqs.Exclude = []string{"u1", "s1"}
	}
	return reqs
}

// choose has a fleet choose, and returns the sum of the times that a refused client is told.
func choose(now time.Time, f *target.Fleet, reqs target.Requirements) (r *target.InFlight, wait time.Duration) {
	if reqs.Pool.Engine == nil {
		r = f.ChoosePlain(now, reqs)
	} else {
		r, wait = f.ChooseEngine(now, reqs)
	}
	limited, _ := f.AwaitLimited(now, reqs, &target.GrantRequest{})
	return r, wait + limited + f.LimitedRetryDelay(now, reqs.Pool.Name, limited)
}

// ask has the first fleet explain a choice, and make it on a copy.
func (w *twins) ask(reqs target.Requirements) target.Explanation {
	e := w.asked.fleet.Explain(w.now, reqs)
	choose(w.now, w.asked.fleet.Fork(reqs.Pool.Name), reqs)
	return e
}

// choose has both fleets choose for the same request, after the first was asked for the choice.
func (w *twins) choose(t *rapid.T) {
	reqs := w.requirements(t)
	e := w.ask(reqs)
	var chosen [2]*target.InFlight
	var waits [2]time.Duration
	chosen[0], waits[0] = choose(w.now, w.asked.fleet, reqs)
	chosen[1], waits[1] = choose(w.now, w.silent.fleet, reqs)
	if asked, silent := idOf(chosen[0]), idOf(chosen[1]); e.Choice != asked || asked != silent || waits[0] != waits[1] {
		t.Fatalf("explained %q, chosen %q, without explain %q; waits %v", e.Choice, asked, silent, waits)
	}
	checkExplanation(t, &e)
	if chosen[0] != nil {
		w.running = append(w.running, chosen)
	}
}

func idOf(f *target.InFlight) string {
	if f == nil {
		return ""
	}
	return f.Row.ID
}

// checkExplanation checks that the parts of an explanation agree.
func checkExplanation(t *rapid.T, e *target.Explanation) {
	for _, c := range e.Candidates {
		sum := 0.0
		for _, part := range c.Costs {
			sum += part.Value
		}
		switch {
		case sum < c.Cost-1e-6 || sum > c.Cost+1e-6:
			t.Fatalf("%s: the parts are %v, the sum %v", c.Row.ID, c.Costs, c.Cost)
		case c.IsAdmitted && (len(c.Exclusions) > 0 || c.Free < c.Needed):
			t.Fatalf("%s: admitted in spite of %v, %d of %d places", c.Row.ID, c.Exclusions, c.Free, c.Needed)
		case !c.IsAdmitted && len(c.Exclusions) == 0 && c.Free >= c.Needed:
			t.Fatalf("%s: not admitted without a reason", c.Row.ID)
		case e.Choice == c.Row.ID && !c.IsAdmitted:
			t.Fatalf("%s: chosen and not admitted", c.Row.ID)
		}
	}
	if e.Margin < 0 {
		t.Fatalf("the margin is %v", e.Margin)
	}
}

// TestExplainNamesTheNextChoice draws at least 1,000 states. It guards against an explanation that
// differs from the choice, and against one that changes the state of limits, grants, turns or upstreams.
func TestExplainNamesTheNextChoice(t *testing.T) {
	states := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newTwins(t)
		w.both(func(v *world) {
			for i := range twinEngines {
				v.publish(start, v.upstream(engine(i, fmt.Sprintf("d%d", i%2), 1)))
			}
			for i := range twinServices {
				s := plain(i, time.Time{})
				s.ID, s.Domain = fmt.Sprintf("s%d", i), fmt.Sprintf("d%d", i%2)
				v.publish(start, v.upstream(s))
			}
		})
		for range 20 {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 33, 120, 1500}).Draw(rt, "ms")) * time.Millisecond)
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				w.change(rt)
			}
			if rapid.Bool().Draw(rt, "only asked") {
				w.ask(w.requirements(rt))
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
// an operator removes it in vain.
func TestExplainNamesEachExclusion(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(1, "d1", 1)
	u.Draining = true
	w.publish(start, w.upstream(u), w.row(state.EncodeEvacuation(state.Evacuation{Domain: "d1"})))
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true, Held: heldVersion(3)})
	reqs := w.requirements()
	reqs.Homes, reqs.Exclude, reqs.Version = state.HomesOf(&state.Route{Homes: []hosts.Region{"r0"}}, nil), []string{"u1"}, 2
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

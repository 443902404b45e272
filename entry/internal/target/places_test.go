package target_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

func observed(t *testing.T) (*world, *observer.ObservedLogs) {
	core, logged := observer.New(zap.InfoLevel)
	return newWorldWith(t, target.Options{
		Self: "e0", Entries: func() []hosts.Host { return entries }, Random: func() float64 { return 0 }, Log: zap.New(core),
	}), logged
}

// TestHomeConflictIsLoggedOnceForEachChange guards against conflicts that aren't logged, and against a line
// for each snapshot, of which there are several a second.
func TestHomeConflictIsLoggedOnceForEachChange(t *testing.T) {
	w, logged := observed(t)
	route := func(name string, homes ...hosts.Region) state.Row {
		return w.row(state.EncodeRoute(&state.Route{Name: name, Host: "h", Prefix: "/" + name + "/", MaxAttempts: 1, Targets: []state.Target{{Pool: "p", Weight: 1}}, Homes: homes}))
	}
	workspace := func(homes ...hosts.Region) state.Row {
		return w.row(state.EncodeWorkspace(&state.Workspace{Name: "w", Keys: []string{"k"}, Homes: homes}))
	}
	for _, step := range []struct {
		name string
		rows []state.Row
		// want are the fields of the lines: route, workspace and unknown region.
		want [][3]string
	}{
		{"common region", []state.Row{route("a", "r0", "r1"), route("b"), workspace("r1")}, nil},
		{"no common region", []state.Row{route("a", "r0")}, [][3]string{{"a", "w", ""}}},
		{"another row", []state.Row{w.upstream(engine(0, "d0", 1))}, nil},
		{"unknown region", []state.Row{route("b", "r1", "r9")}, [][3]string{{"b", "", "r9"}}},
		{"settled", []state.Row{workspace()}, nil},
		{"again, and unknown", []state.Row{workspace("r8")}, [][3]string{{"", "w", "r8"}, {"a", "w", ""}, {"b", "w", ""}}},
	} {
		w.publish(start, step.rows...)
		var got [][3]string
		for _, e := range logged.FilterMessage("home-conflict").TakeAll() {
			f := e.ContextMap()
			got = append(got, [3]string{f["route"].(string), f["workspace"].(string), f["unknown"].(string)})
		}
		if d := cmp.Diff(step.want, got); d != "" {
			t.Errorf("%s: %s", step.name, d)
		}
		logged.TakeAll()
	}
}

// TestEvacuationIsCompleteWithTheLastRequest guards against an evacuation that looks complete while
// requests run in the domain, also at an upstream that is no longer listed.
func TestEvacuationIsCompleteWithTheLastRequest(t *testing.T) {
	w, logged := observed(t)
	w.publish(start, w.upstream(engine(0, "d0", 1)))
	_, first := w.place(start, w.requirements())
	_, second := w.place(start, w.requirements())
	w.publish(start, evacuation(w, "d0", true), evacuation(w, "d1", true))
	w.publish(start, state.Row{Key: "upstream/p/u0"})
	check := func(want, drained int) {
		t.Helper()
		if got := w.fleet.EvacuatedRunning(); got["d0"] != want || len(got) != 2 {
			t.Errorf("in progress: %v, want %d", got, want)
		}
		if n := logged.FilterMessage("domain-drained").Len(); n != drained {
			t.Errorf("%d lines domain-drained", n)
		}
	}
	check(2, 0)
	first.Finish(start, target.OutcomeSuccess)
	first.Finish(start, target.OutcomeSuccess)
	check(1, 0)
	second.Finish(start, target.OutcomeSuccess)
	check(0, 1)
	w.publish(start, evacuation(w, "d0", false))
	if got := w.fleet.EvacuatedRunning(); len(got) != 1 {
		t.Errorf("evacuated after the end: %v", got)
	}
}

// TestHoldOutsideTheBoundsSetsNoRetry guards against a refusal that waits for an upstream which could
// never serve the request.
func TestHoldOutsideTheBoundsSetsNoRetry(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(0, "d0", 1)))
	_, f := w.place(start, w.requirements())
	f.Hold(start, versionTimeout)
	reqs := w.requirements()
	reqs.Homes = homesOf("r1")
	if got := w.fleet.SoonestHold(start, reqs); got != 0 {
		t.Errorf("outside the homes: %s", got)
	}
	w.publish(start, evacuation(w, "d0", true))
	if got := w.fleet.SoonestHold(start, w.requirements()); got != 0 {
		t.Errorf("evacuated: %s", got)
	}
}

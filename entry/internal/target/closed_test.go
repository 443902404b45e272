package target_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// startedEngine returns an engine of the first failure domain whose process started at the given time.
func startedEngine(i int, started time.Time, version int) state.Upstream {
	u := engine(i, "d0", version)
	u.Started = started
	return u
}

// closedReport returns the report of an agent that is about to have its engine replace a version.
func closedReport(serial uint64, started time.Time, version int) target.LoadReport {
	return target.LoadReport{Serial: serial, Started: started, Pace: 1, Closed: true, Held: heldVersion(version)}
}

// openReport returns the report of an agent whose engine serves a version.
func openReport(serial uint64, started time.Time, version int) target.LoadReport {
	return target.LoadReport{Serial: serial, Started: started, Pace: 1, Held: heldVersion(version)}
}

// TestClosedEngineStaysClosedWhileItsAgentIsSilent has an engine load version 2, which its row names a
// second after the last load report. It guards against requests on a load that the agent hasn't checked,
// and against an engine that is lost for good with its agent.
func TestClosedEngineStaysClosedWhileItsAgentIsSilent(t *testing.T) {
	second := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		last target.LoadReport
		// listed is the start of the process by the row, or zero if that is start.
		listed time.Time
		// change is what the entry learns 4 s after the last report. It may be nil.
		change func(w *world, now time.Time)
		// opens is the time from which the engine is used.
		opens float64
	}{
		"nothing is learned":       {last: closedReport(1, start, 1), opens: 10},
		"a report without a start": {last: closedReport(1, time.Time{}, 1), opens: 10},
		"the row is published again": {last: closedReport(1, start, 1), opens: 10, change: func(w *world, now time.Time) {
			w.publish(now, w.upstream(startedEngine(1, start, 2)))
		}},
		"the row lapses and returns": {last: closedReport(1, start, 1), opens: 10, change: func(w *world, now time.Time) {
			w.publish(now, state.Row{Key: "upstream/p/u1"})
			w.publish(now, w.upstream(startedEngine(1, start, 2)))
		}},
		"a report that is still closed": {last: closedReport(1, start, 1), opens: 14, change: func(w *world, now time.Time) {
			w.fleet.ReceiveLoadReport(now, "u1", closedReport(2, start, 2))
		}},
		"an open report": {last: closedReport(1, start, 1), opens: 4, change: func(w *world, now time.Time) {
			w.fleet.ReceiveLoadReport(now, "u1", openReport(2, start, 2))
		}},
		"an open report of an agent whose clock was set back": {last: closedReport(9, start, 1), opens: 4, change: func(w *world, now time.Time) {
			w.fleet.ReceiveLoadReport(now, "u1", openReport(2, start, 2))
		}},
		"a restart": {last: closedReport(1, start, 1), opens: 4, change: func(w *world, now time.Time) {
			w.publish(now, w.upstream(startedEngine(1, second(3), 2)))
		}},
		"the row of a process that has reported": {last: closedReport(1, start, 1), listed: second(-60), opens: 10, change: func(w *world, now time.Time) {
			w.publish(now, w.upstream(startedEngine(1, start, 2)))
		}},
		"the last report was open": {last: openReport(1, start, 1), opens: 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "e0")
			listed := start
			if !c.listed.IsZero() {
				listed = c.listed
			}
			w.publish(start, w.upstream(startedEngine(1, listed, 1)))
			w.fleet.ReceiveLoadReport(start, "u1", c.last)
			w.publish(second(1), w.upstream(startedEngine(1, listed, 2)))
			for i := range 151 {
				after := float64(i) / 10
				if i == 40 && c.change != nil {
					c.change(w, second(after))
				}
				id, f := w.place(second(after), w.requirements())
				if f != nil {
					f.Finish(second(after), target.OutcomeSuccess)
				}
				if isUsed := id == "u1"; isUsed != (after >= c.opens) {
					t.Fatalf("%.1f s after the last report: %s, want it to be used from %.1f s on", after, id, c.opens)
				}
			}
		})
	}
}

// TestEnginesReturnAfterAllAgentsWereKilled kills the agents of a pool while its engines, half of which
// hold a version, are about to load. It guards against a pool that serves nothing for longer than 12 s.
func TestEnginesReturnAfterAllAgentsWereKilled(t *testing.T) {
	const engines = 8
	for name, c := range map[string]struct {
		// returned is the number of agents that report again after 4 s.
		returned int
		within   time.Duration
	}{
		"all return":     {returned: engines, within: 4 * time.Second},
		"a half returns": {returned: engines / 2, within: 4 * time.Second},
		"none returns":   {returned: 0, within: 10 * time.Second},
	} {
		w := newWorld(t, "e0")
		for i := range engines {
			w.publish(start, w.upstream(startedEngine(i, start, i%2)))
			w.fleet.ReceiveLoadReport(start, fmt.Sprint("u", i), closedReport(1, start, i%2))
		}
		for i := range engines {
			w.publish(start.Add(2*time.Second), w.upstream(startedEngine(i, start, 2)))
		}
		for i := range c.returned {
			w.fleet.ReceiveLoadReport(start.Add(4*time.Second), fmt.Sprint("u", i), openReport(2, start, 2))
		}
		used := func(now time.Time) int {
			n := 0
			for _, d := range w.fleet.Explain(now, w.requirements()).Candidates {
				if d.IsAdmitted {
					n++
				}
			}
			return n
		}
		if got := used(start.Add(c.within)); got < max(c.returned, engines/4) {
			t.Errorf("%s: %d of %d engines are used %s after the kill", name, got, engines, c.within)
		}
		if got := used(start.Add(9900 * time.Millisecond)); got != c.returned {
			t.Errorf("%s: %d engines are used before the bound, %d have reported", name, got, c.returned)
		}
	}
}

// TestSilentClosedEngineHasNoFreeSlots guards against slots of an engine that gets no requests in the
// figures by which entries use others.
func TestSilentClosedEngineHasNoFreeSlots(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(startedEngine(0, start, 1)), w.upstream(startedEngine(1, start, 1)))
	w.fleet.ReceiveLoadReport(start, "u1", closedReport(1, start, 1))
	for after, want := range map[time.Duration]int{time.Second: 1, 3 * time.Second: 1, 9900 * time.Millisecond: 1, 10 * time.Second: 2} {
		if l := w.fleet.PoolLoads(start.Add(after))[0]; l.Engines != want {
			t.Errorf("%s after the last report: %d open engines, want %d", after, l.Engines, want)
		}
	}
}

// TestClosedEngineIsSubscribedToUntilItOpens has the last request end at an engine of another region that
// isn't assigned to the entry. It guards against an engine whose agent is taken for silent because the
// entry has ended its subscription.
func TestClosedEngineIsSubscribedToUntilItOpens(t *testing.T) {
	all := entriesOfTwoRegions(40)
	for _, e := range all {
		w := newWorldOf(t, e.Name, func() []hosts.Host { return all })
		w.publish(start, w.upstream(engine(1, "d1", 1)), w.upstream(engine(2, "d0", 1)))
		isSubscribed := func(after time.Duration) bool {
			return slices.ContainsFunc(w.fleet.Subscriptions(start.Add(after), w.snapshot), func(s target.Subscription) bool { return s.Row.ID == "u1" })
		}
		if e.Place.Region != "r0" || isSubscribed(0) {
			continue
		}
		w.fleet.ReceiveLoadReport(start, "u1", closedReport(1, time.Time{}, 1))
		if !isSubscribed(time.Second) || !isSubscribed(9*time.Second) || isSubscribed(11*time.Second) {
			t.Errorf("subscribed to a closed engine after 1 s: %t, 9 s: %t, 11 s: %t", isSubscribed(time.Second), isSubscribed(9*time.Second), isSubscribed(11*time.Second))
		}
		w.fleet.ReceiveLoadReport(start, "u1", openReport(2, time.Time{}, 1))
		if isSubscribed(time.Second) {
			t.Error("subscribed to an engine that has opened")
		}
		return
	}
	t.Fatal("each entry is assigned to the engine")
}

// TestExplainNamesTheSilenceOfAClosedEngine guards against an explanation from which an operator can't tell
// an engine that loads from one whose agent is gone, or that hides what else keeps requests away.
func TestExplainNamesTheSilenceOfAClosedEngine(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(startedEngine(1, start, 1)))
	w.fleet.ReceiveLoadReport(start, "u1", closedReport(1, start, 1))
	reqs := w.requirements()
	reqs.Version = 2
	for after, want := range map[time.Duration]time.Duration{time.Second: 0, 3 * time.Second: 3 * time.Second, 10 * time.Second: 0} {
		c := w.fleet.Explain(start.Add(after), reqs).Candidates[0]
		exclusions := []target.Exclusion{target.ExclusionClosed, target.ExclusionVersion}
		if after == 10*time.Second {
			exclusions = exclusions[1:]
		}
		if c.Silence != want || !slices.Equal(c.Exclusions, exclusions) {
			t.Errorf("%s after the last report: silent for %s, excluded %v", after, c.Silence, c.Exclusions)
		}
	}
}

// TestSilenceOfAClosedEngineIsLoggedOnce guards against an engine that gets no requests without a line that says
// so, and against a line each second.
func TestSilenceOfAClosedEngineIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	w := newWorldWith(t, target.Options{Self: "e0", Entries: func() []hosts.Host { return entries }, Random: func() float64 { return 0.5 }, Log: zap.New(core)})
	w.publish(start, w.upstream(startedEngine(1, start, 1)), w.upstream(startedEngine(2, start, 1)))
	w.fleet.ReceiveLoadReport(start, "u1", closedReport(1, start, 1))
	w.fleet.ReceiveLoadReport(start, "u2", openReport(1, start, 1))
	for i := range 12 {
		w.fleet.Subscriptions(start.Add(time.Duration(i)*time.Second), w.snapshot)
	}
	lines := logs.FilterMessage("engine-closed-silent").All()
	if len(lines) != 1 || lines[0].ContextMap()["upstream"] != "u1" || lines[0].ContextMap()["left"] != 8*time.Second {
		t.Errorf("%v", lines)
	}
}

package target_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// TestReplacedVersionServesUntilDeadline follows a release and a second one that is published
// before all engines serve the first.
func TestReplacedVersionServesUntilDeadline(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 2)))
	at := func(d time.Duration, version int) string {
		n := w.requirements()
		n.Version = version
		id, f := w.place(start.Add(d), n)
		if f != nil {
			f.Finish(start.Add(d), target.OutcomeSuccess)
		}
		return id
	}
	w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
	w.publish(start.Add(2*time.Second), w.row(state.EncodeRelease(state.Release{Model: "m", Version: 3})))
	for _, c := range []struct {
		after   time.Duration
		version int
		want    string
	}{
		{3 * time.Second, 1, "u1"},
		{6 * time.Second, 1, "u1"},
		{6800 * time.Millisecond, 1, "none, wait false"},
		{6800 * time.Millisecond, 2, "u2"},
		{8 * time.Second, 2, "u2"},
		{8800 * time.Millisecond, 2, "none, wait false"},
	} {
		if got := at(c.after, c.version); got != c.want {
			t.Errorf("version %d after %v: %s, want %s", c.version, c.after, got, c.want)
		}
	}
}

// TestManyReleasesDoNotProlongAVersion publishes a release each second until one more than an entry
// remembers, or many of them at once.
func TestManyReleasesDoNotProlongAVersion(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		count    int
	}{
		"within the time of a version": {700 * time.Millisecond, 11},
		"over a minute":                {800 * time.Millisecond, 75},
		"at once":                      {time.Millisecond, 5000},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "e0")
			w.publish(start, w.upstream(engine(1, "d0", 1)))
			releasedAt := start.Add(time.Second)
			for i := range c.count {
				w.publish(releasedAt.Add(time.Duration(i)*c.interval), w.row(state.EncodeRelease(state.Release{Model: "m", Version: i + 2})))
			}
			now := releasedAt.Add(max(time.Duration(c.count-1)*c.interval, versionTimeout-time.Second))
			if id, f := w.place(now, w.requirements()); f != nil {
				t.Errorf("%v after the release of version 2: %s with version %d until %v after it", now.Sub(releasedAt), id, f.Version, f.StartDeadline.Sub(releasedAt))
			}
		})
	}
}

// TestQuickReleasesLeaveEnginesInUse publishes releases in quick succession. An engine stays in use
// until the first of those that it lacks expires.
func TestQuickReleasesLeaveEnginesInUse(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	for i := range 20 {
		w.publish(start.Add(time.Duration(i)*300*time.Millisecond), w.row(state.EncodeRelease(state.Release{Model: "m", Version: i + 2})))
	}
	if id, _ := w.place(start.Add(6*time.Second), w.requirements()); id != "u1" {
		t.Errorf("6 s after the first release: %s", id)
	}
	w.publish(start.Add(6*time.Second), w.upstream(engine(1, "d0", 10)))
	if id, f := w.place(start.Add(8800*time.Millisecond), w.requirements()); f == nil || !f.StartDeadline.Before(start.Add(9*300*time.Millisecond+versionTimeout)) {
		t.Errorf("version 10, which was replaced 6.1 s before: %s", id)
	}
}

// TestReleaseSeenLateKeepsItsDeadline has an entry miss updates for 3 s. The release may have been
// published right after the last confirmation of its tables.
func TestReleaseSeenLateKeepsItsDeadline(t *testing.T) {
	const missed = 3 * time.Second
	w, m := newWorld(t, "e0"), feed.NewMirror()
	update := func(at time.Time, rows ...state.Row) {
		w.revision++
		for i := range rows {
			rows[i].Revision = w.revision
		}
		if _, err := m.Apply(feed.Update{Head: w.revision, Rows: rows, ConfirmedAt: at, LastContact: at}); err != nil {
			t.Fatal(err)
		}
		w.fleet.ApplySnapshot(at, m.Snapshot())
	}
	pool := w.row(state.EncodePool(w.snapshot.Pool("p")))
	update(start, pool, w.upstream(engine(1, "d0", 1)))
	update(start.Add(missed), w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
	if id, _ := w.place(start.Add(missed), w.requirements()); id != "u1" {
		t.Errorf("right after the release was seen: %s", id)
	}
	_, f := w.place(start.Add(versionTimeout-2*time.Second), w.requirements())
	if f == nil || f.StartDeadline.After(start.Add(versionTimeout)) {
		t.Error("a request to the replaced version may start after the end of that version")
	}
	if id, _ := w.place(start.Add(versionTimeout), w.requirements()); id != "none, wait false" {
		t.Errorf("a version that was replaced up to %v ago: %s", versionTimeout, id)
	}
}

// TestReleaseBetweenTwoSnapshotsEndsOlderVersions publishes two releases before the entry applies
// either.
func TestReleaseBetweenTwoSnapshotsEndsOlderVersions(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 2)))
	skipped := w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2}))
	skipped.NotBefore = start
	w.revision++
	w.builder.Apply(w.revision, []state.Row{skipped})
	appliedAt := start.Add(3 * time.Second)
	w.publish(appliedAt, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 3})))
	reqs := w.requirements()
	reqs.Version = 1
	if id, f := w.place(start.Add(versionTimeout-time.Second), reqs); f != nil {
		t.Errorf("%s serves version 1 until %v after the release of version 2", id, f.StartDeadline.Sub(start))
	}
	reqs.Version = 2
	if id, _ := w.place(start.Add(versionTimeout+time.Second), reqs); id != "u2" {
		t.Errorf("version 2, which was replaced 6 s before: %s", id)
	}
}

// TestReleaseBeforeStartKeepsItsDeadline starts an entry after version 3 was released, which replaced
// version 2. The release counts as expired, as it did before, unless its age is known: an entry that
// knew none refused all requests for up to 8 s.
func TestReleaseBeforeStartKeepsItsDeadline(t *testing.T) {
	stated := func(version int, age time.Duration) []target.StatedRelease {
		return []target.StatedRelease{{Model: "m", Version: version, Age: age}}
	}
	for name, c := range map[string]struct {
		held int
		// rowAge is the age in the row, or zero if it is unknown.
		rowAge time.Duration
		// first and second are what two agents state.
		first, second []target.StatedRelease
		// end is the time from the start of the entry by which the last request must begin.
		end time.Duration
	}{
		"unknown age":                          {held: 2},
		"age in the row":                       {held: 2, rowAge: 3 * time.Second, end: 5 * time.Second},
		"age in the row, two versions back":    {held: 1, rowAge: 3 * time.Second},
		"one agent":                            {held: 2, first: stated(3, 3*time.Second), end: 5 * time.Second},
		"the oldest of two":                    {held: 2, first: stated(3, 3*time.Second), second: stated(3, 4*time.Second), end: 4 * time.Second},
		"the oldest of two, first":             {held: 2, first: stated(3, 4*time.Second), second: stated(3, 3*time.Second), end: 4 * time.Second},
		"of the newest, two versions back":     {held: 1, first: stated(3, 3*time.Second)},
		"of the next, two versions back":       {held: 1, first: stated(2, 4*time.Second), second: stated(3, 3*time.Second), end: 4 * time.Second},
		"of a version that isn't released yet": {held: 2, first: stated(4, time.Second)},
		"expired":                              {held: 2, first: stated(3, 9*time.Second)},
		"invalid":                              {held: 2, first: stated(3, -time.Second)},
	} {
		w := &world{t: t, fleet: target.New(target.Options{
			Entries: func() []hosts.Host { return entries }, Regions: regions, VersionTimeout: versionTimeout, Random: func() float64 { return 0 }, Log: zap.NewNop(),
		})}
		release := w.row(state.EncodeRelease(state.Release{Model: "m", Version: 3}))
		if c.rowAge > 0 {
			release.NotBefore = start.Add(-c.rowAge)
		}
		snapshot, _ := w.builder.Apply(1, []state.Row{
			release, w.upstream(engine(1, "d0", c.held)), w.upstream(engine(2, "d0", 0)),
			w.row(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{Slots: 4, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}}})),
		})
		w.snapshot = snapshot
		w.fleet.ApplySnapshot(start, snapshot)
		w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Held: heldVersion(c.held), Releases: stated(3, time.Millisecond)})
		w.fleet.Subscriptions(start, snapshot)
		// Reports that are received late count from the subscription.
		w.fleet.ReceiveLoadReport(start.Add(time.Second), "u1", target.LoadReport{Serial: 2, Pace: 1, Held: heldVersion(c.held), Releases: c.first})
		w.fleet.ReceiveLoadReport(start.Add(time.Second), "u2", target.LoadReport{Serial: 2, Pace: 1, Releases: c.second})
		w.fleet.ReceiveLoadReport(start.Add(time.Second), "u1", target.LoadReport{Serial: 3, Pace: 1, Held: heldVersion(c.held), Releases: c.first})
		_, f := w.place(start.Add(time.Second), w.requirements())
		if (f != nil) != (c.end > 0) {
			t.Errorf("%s: served %t", name, f != nil)
			continue
		}
		if f != nil && (f.StartDeadline.After(start.Add(c.end)) || f.StartDeadline.Before(start.Add(c.end-2*time.Second))) {
			t.Errorf("%s: requests begin until %v, want up to %v", name, f.StartDeadline.Sub(start), c.end)
		}
	}
}

// TestIsolatedEntryFollowsEngineVersions has an engine move to a new version that the entry
// learns only from the engine's responses.
func TestIsolatedEntryFollowsEngineVersions(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	now := start.Add(3 * time.Second)
	id, f := w.place(now, w.requirements())
	if id != "u1" || !f.ExactVersion || f.Version != 1 {
		t.Fatalf("%s, version %d, exact %t", id, f.Version, f.ExactVersion)
	}
	f.Finish(now, target.OutcomeMismatch)
	if id, _ := w.place(now.Add(500*time.Millisecond), w.requirements()); id != "none, wait false" {
		t.Errorf("right after a mismatch: %s", id)
	}
	now = now.Add(1100 * time.Millisecond)
	n := w.requirements()
	n.Version = 1
	if id, _ := w.place(now, n); id != "none, wait false" {
		t.Errorf("a stream of the replaced version: %s", id)
	}
	id, f = w.place(now, w.requirements())
	if id != "u1" || f.ExactVersion || f.Version != 0 {
		t.Fatalf("after the backoff: %s, version %d, exact %t", id, f.Version, f.ExactVersion)
	}
	f.RecordVersion(now, 2)
	f.Finish(now, target.OutcomeSuccess)
	if id, f = w.place(now, w.requirements()); id != "u1" || f.Version != 2 {
		t.Errorf("after a response: %s, version %d", id, f.Version)
	}
}

// TestReleaseOfUnknownAgeLeavesEnginesInUse has an entry learn from another one of a release that
// a restored store has lost, while no engine serves it yet.
func TestReleaseOfUnknownAgeLeavesEnginesInUse(t *testing.T) {
	w, m := newWorld(t, "e0"), feed.NewMirror()
	update := func(at time.Time, u feed.Update) {
		w.revision++
		u.Head, u.ConfirmedAt, u.LastContact = w.revision, at, at
		for i := range u.Rows {
			u.Rows[i].Revision = w.revision
		}
		if _, err := m.Apply(u); err != nil {
			t.Fatal(err)
		}
		w.fleet.ApplySnapshot(at, m.Snapshot())
	}
	update(start, feed.Update{Rows: []state.Row{w.row(state.EncodePool(w.snapshot.Pool("p"))), w.upstream(engine(1, "d0", 1))}})
	seenAt := start.Add(time.Minute)
	update(seenAt.Add(-time.Millisecond), feed.Update{})
	update(seenAt, feed.Update{Retained: []feed.RetainedRow{{Row: w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2}))}}})
	if id, _ := w.place(seenAt.Add(time.Second), w.requirements()); id != "u1" {
		t.Errorf("a second after the release: %s", id)
	}
}

func heldVersion(version int) []state.HeldVersion {
	return []state.HeldVersion{{Model: "m", Version: version, Whole: true}}
}

// respond sends a request, to which the engine responds 100 ms later with the version.
func (w *world) respond(at time.Time, version int) {
	w.t.Helper()
	_, f := w.place(at, w.requirements())
	if f == nil {
		w.t.Fatalf("no engine after %v", at.Sub(start))
	}
	f.RecordVersion(at.Add(100*time.Millisecond), version)
	f.Finish(at.Add(200*time.Millisecond), target.OutcomeSuccess)
}

// TestEngineThatWentBackKeepsTheDeadlineOfItsVersion has an engine return to version 1, by its load
// report and by its response, while version 2 is current.
func TestEngineThatWentBackKeepsTheDeadlineOfItsVersion(t *testing.T) {
	report := func(w *world, at time.Time) {
		w.fleet.ReceiveLoadReport(at, "u1", target.LoadReport{Serial: 2, Pace: 1, Held: heldVersion(1)})
	}
	for name, goBack := range map[string]func(w *world, at time.Time){
		"report":   report,
		"response": func(w *world, at time.Time) { w.respond(at, 1) },
		"rejection": func(w *world, at time.Time) {
			_, f := w.place(at, w.requirements())
			f.Finish(at, target.OutcomeMismatch)
			report(w, at.Add(100*time.Millisecond))
		},
	} {
		w := newWorld(t, "e0")
		w.publish(start, w.upstream(engine(1, "d0", 1)), w.row(state.EncodeRelease(state.Release{Model: "m", Version: 1})))
		w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		w.fleet.ReceiveLoadReport(start.Add(3*time.Second), "u1", target.LoadReport{Serial: 1, Pace: 1, Held: heldVersion(2)})
		w.respond(start.Add(3*time.Second), 2)
		goBack(w, start.Add(6*time.Second))
		if _, f := w.place(start.Add(6150*time.Millisecond), w.requirements()); f == nil || f.Version != 1 || f.StartDeadline.After(start.Add(versionTimeout)) {
			t.Errorf("%s: before the end of version 1: %+v", name, f)
		}
		if id, _ := w.place(start.Add(7*time.Second), w.requirements()); id != "none, wait false" {
			t.Errorf("%s: a version that was replaced 7 s ago: %s", name, id)
		}
	}
}

// TestOlderObservationOfAVersionDoesNotOutlastANewerOne has load reports and responses arrive around
// a load of version 2, and checks the version that the entry expects right after each.
func TestOlderObservationOfAVersionDoesNotOutlastANewerOne(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	serial := uint64(0)
	report := func(at time.Time, version int) {
		serial++
		w.fleet.ReceiveLoadReport(at, "u1", target.LoadReport{Serial: serial, Pace: 1, Held: heldVersion(version)})
	}
	for _, c := range []struct {
		name    string
		after   time.Duration
		observe func(at time.Time, version int)
		version int
		want    int
	}{
		{"a response before any report", 0, w.respond, 1, 1},
		{"the first report after the load", 150 * time.Millisecond, report, 2, 2},
		{"a response of the next version", time.Second, w.respond, 3, 3},
		{"a report on its way during that response", 1050 * time.Millisecond, report, 2, 2},
		{"the next report", 1250 * time.Millisecond, report, 3, 3},
		{"a response after the last report", 1500 * time.Millisecond, w.respond, 4, 4},
		{"a response long after it", 9 * time.Second, w.respond, 5, 5},
		{"a report after that", 9200 * time.Millisecond, report, 5, 5},
		{"a response of an older version", 9300 * time.Millisecond, w.respond, 4, 4},
		{"a report that may be older than that", 9500 * time.Millisecond, report, 5, 4},
		{"a report that isn't", 10500 * time.Millisecond, report, 5, 5},
	} {
		at := start.Add(c.after)
		c.observe(at, c.version)
		_, f := w.place(at.Add(time.Second/10), w.requirements())
		if f == nil || f.Version != c.want {
			t.Fatalf("%s: %+v, want version %d", c.name, f, c.want)
		}
		f.Finish(at, target.OutcomeSuccess)
	}
}

// TestLoadReportOfTheProcessBeforeIsIgnored restarts an engine under its id. A report of the process
// before arrives late, and says that it serves a version.
func TestLoadReportOfTheProcessBeforeIsIgnored(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(1, "d0", 2)
	u.Started = start
	w.publish(start, w.upstream(u))
	u = engine(1, "d0", 0)
	u.Started = start.Add(time.Second)
	w.publish(start.Add(time.Second), w.upstream(u))
	w.fleet.ReceiveLoadReport(start.Add(1100*time.Millisecond), "u1", target.LoadReport{Serial: 1, Started: start, Pace: 1, Held: heldVersion(2)})
	if id, f := w.place(start.Add(1200*time.Millisecond), w.requirements()); id != "none, wait false" {
		t.Errorf("an engine that serves nothing is taken for one of version %d: %s", f.Version, id)
	}
}

// TestRejectionAfterGoingBackKeepsTheDeadlineOfItsVersion has an engine return to version 1. The row
// or the load report that says so overtakes the response that declines a request for version 2.
func TestRejectionAfterGoingBackKeepsTheDeadlineOfItsVersion(t *testing.T) {
	for name, hasReports := range map[string]bool{"row": false, "report": true} {
		w := newWorld(t, "e0")
		serial := uint64(0)
		observe := func(after time.Duration, version int) {
			if serial++; hasReports {
				w.fleet.ReceiveLoadReport(start.Add(after), "u1", target.LoadReport{Serial: serial, Pace: 1, Held: heldVersion(version)})
				return
			}
			w.publish(start.Add(after), w.upstream(engine(1, "d0", version)))
		}
		w.publish(start, w.upstream(engine(1, "d0", 1)), w.row(state.EncodeRelease(state.Release{Model: "m", Version: 1})))
		w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		observe(7900*time.Millisecond, 2)
		_, f := w.place(start.Add(8*time.Second), w.requirements())
		if f == nil || f.Version != 2 {
			t.Fatalf("%s: before the engine goes back: %+v", name, f)
		}
		observe(8100*time.Millisecond, 1)
		f.Finish(start.Add(8200*time.Millisecond), target.OutcomeMismatch)
		observe(9*time.Second, 1)
		for after := 8300 * time.Millisecond; after < 9800*time.Millisecond; after += 100 * time.Millisecond {
			if id, f := w.place(start.Add(after), w.requirements()); f != nil {
				t.Errorf("%s: %v after version 1 was replaced: %s as version %d, to start before %v", name, after, id, f.Version, f.StartDeadline)
			}
		}
	}
}

// TestReportOfAnUnknownModelIsIgnored guards against a malformed load report that ends the process.
func TestReportOfAnUnknownModelIsIgnored(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(0, "d0", 1)
	w.publish(start, w.row(state.EncodeUpstream(&u)))
	w.fleet.Subscriptions(start, w.snapshot)
	for _, r := range []target.StatedRelease{{Model: "unknown", Age: time.Second}, {Model: "m", Version: -1, Age: time.Second}, {Age: time.Second}} {
		w.fleet.ReceiveLoadReport(start, u.ID, target.LoadReport{Serial: 1, Held: u.Held, Releases: []target.StatedRelease{r}})
	}
	if f, _ := w.fleet.ChooseEngine(start, target.Requirements{Pool: w.snapshot.Pool("p"), Model: "m", Remaining: time.Second}); f == nil {
		t.Error("no engine is chosen after malformed reports")
	}
}

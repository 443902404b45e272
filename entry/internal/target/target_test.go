package target_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

const versionTimeout = 8 * time.Second

var (
	start   = time.Unix(1e9, 0)
	regions = map[hosts.Domain]hosts.Region{"d0": "r0", "d1": "r1"}
	entries = []hosts.Host{{Name: "e0", Place: hosts.Place{Region: "r0"}}, {Name: "e1", Place: hosts.Place{Region: "r0"}}, {Name: "f0", Place: hosts.Place{Region: "r1"}}}
)

// world is one entry's fleet and the snapshots that the platform publishes to it.
type world struct {
	t        *testing.T
	fleet    *target.Fleet
	builder  state.Builder
	revision state.Revision
	snapshot *state.Snapshot
}

func newWorld(t *testing.T, self hosts.Name) *world {
	return newWorldOf(t, self, func() []hosts.Host { return entries })
}

// newWorldOf returns the world of an entry of the first region, with the given live entries.
func newWorldOf(t *testing.T, self hosts.Name, entries func() []hosts.Host) *world {
	w := &world{t: t, fleet: target.New(target.Options{
		Self: self, Place: hosts.Place{Region: "r0", Domain: "d0"}, Entries: entries, Regions: regions,
		VersionTimeout: versionTimeout, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})}
	w.publish(start, w.row(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{
		Slots: 4, Stride: 5, StepTime: 9 * time.Millisecond, PrefillRate: 19100, PromptTokens: 1000, OutputTokens: 90, Models: []state.Model{{Name: "m"}}, Layers: 2,
	}})), w.row(state.EncodePool(&state.Pool{Name: "s"})))
	return w
}

func (w *world) row(r state.Row, err error) state.Row {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

func (w *world) publish(now time.Time, rows ...state.Row) {
	w.revision++
	for i, r := range rows {
		if state.IsRelease(r.Key) {
			rows[i].NotBefore = now
		}
	}
	snapshot, rowErrors := w.builder.Apply(w.revision, rows)
	if len(rowErrors) > 0 {
		w.t.Fatal(rowErrors)
	}
	w.snapshot = snapshot
	w.fleet.ApplySnapshot(now, snapshot)
}

func (w *world) upstream(u state.Upstream) state.Row { return w.row(state.EncodeUpstream(&u)) }

func engine(i int, domain string, version int) state.Upstream {
	return state.Upstream{
		ID: fmt.Sprintf("u%d", i), Pool: "p", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), Domain: domain,
		Slots: 4, Held: []state.HeldVersion{{Model: "m", Version: version, Whole: version > 0}},
	}
}

func (w *world) requirements() target.Requirements {
	return target.Requirements{Pool: w.snapshot.Pool("p"), Model: "m", PromptTokens: 1000, MaxEventGap: 400 * time.Millisecond, Remaining: time.Second}
}

// place chooses an engine for a request and returns its id, or "none" and whether a retry
// delay was given.
func (w *world) place(now time.Time, reqs target.Requirements) (string, *target.InFlight) {
	f, wait := w.fleet.ChooseEngine(now, reqs)
	if f == nil {
		return fmt.Sprintf("none, wait %t", wait > 0), nil
	}
	return f.Row.ID, f
}

func TestOnlyEnginesWithTheVersionServe(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(0, "d0", 0)))
	if id, _ := w.place(start, w.requirements()); id != "none, wait false" {
		t.Errorf("an engine without a version: %s", id)
	}
	draining := engine(1, "d0", 1)
	draining.Draining = true
	partial := engine(2, "d0", 1)
	partial.Held[0].Whole = false
	w.publish(start, w.upstream(draining), w.upstream(partial))
	if id, _ := w.place(start, w.requirements()); id != "none, wait false" {
		t.Errorf("a draining engine or one with a partial version: %s", id)
	}
	w.publish(start, w.upstream(engine(3, "d1", 1)))
	if id, f := w.place(start, w.requirements()); id != "u3" || f.Version != 1 {
		t.Errorf("%s", id)
	}
}

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
	if id, f := w.place(start.Add(9*time.Second), w.requirements()); f == nil || !f.StartDeadline.Before(start.Add(9*300*time.Millisecond+versionTimeout)) {
		t.Errorf("version 10, which was replaced 6.3 s before: %s", id)
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

func TestReleaseBeforeStartTakesEffectAtOnce(t *testing.T) {
	w := &world{t: t, fleet: target.New(target.Options{
		Entries: func() []hosts.Host { return entries }, Regions: regions, VersionTimeout: versionTimeout, Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})}
	w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})), w.upstream(engine(1, "d0", 1)),
		w.row(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{Slots: 4, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}}})))
	if id, _ := w.place(start, w.requirements()); id != "none, wait false" {
		t.Errorf("a version that was replaced before the start of the entry: %s", id)
	}
}

func TestLoadReportOverridesRow(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
	if id, _ := w.place(start, w.requirements()); id != "none, wait false" {
		t.Errorf("a closed engine: %s", id)
	}
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 2, Pace: 1, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true})
	if id, _ := w.place(start, w.requirements()); id != "u1" {
		t.Errorf("an older load report was applied: %s", id)
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

func TestFullEnginesMakeRequestsWait(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 1)))
	var last *target.InFlight
	placed := 0
	for {
		id, f := w.place(start, w.requirements())
		if f == nil {
			if id != "none, wait true" {
				t.Errorf("%s", id)
			}
			break
		}
		last = f
		placed++
	}
	if placed < 8 || placed > 12 {
		t.Errorf("%d requests at two engines with four slots each", placed)
	}
	last.Finish(start, target.OutcomeSuccess)
	if _, f := w.place(start, w.requirements()); f == nil {
		t.Error("a finished request still occupies a slot")
	}
}

// TestLoadOfOtherEntriesIsCounted has another entry report an engine as full, and lets the report
// expire.
func TestLoadOfOtherEntriesIsCounted(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 1)))
	w.fleet.ReceiveEntryLoads(start, "e1", []target.EntryLoad{{Upstream: target.HashOf("u1"), Running: 9, Unread: 9000}})
	if id, f := w.place(start, w.requirements()); id != "u2" || f.Running != 0 {
		t.Errorf("%s was chosen", id)
	}
	w.fleet.ReceiveEntryLoads(start.Add(time.Second), "other", nil)
	chosen := make(map[string]bool)
	for range 4 {
		id, _ := w.place(start.Add(time.Second), w.requirements())
		chosen[id] = true
	}
	if !chosen["u1"] {
		t.Error("an expired entry load still counts")
	}
}

// TestEnginesAreAssignedAcrossRegionEntries checks that two entries prefer different engines,
// and together all of them.
func TestEnginesAreAssignedAcrossRegionEntries(t *testing.T) {
	used := make(map[string]int)
	for _, self := range []hosts.Name{"e0", "e1"} {
		w := newWorld(t, self)
		for i := range 6 {
			w.publish(start, w.upstream(engine(i, "d0", 1)))
		}
		first := make(map[string]bool)
		for range 3 {
			id, _ := w.place(start, w.requirements())
			first[id] = true
		}
		if len(first) != 3 {
			t.Errorf("%s prefers %v", self, first)
		}
		for id := range first {
			used[id]++
		}
	}
	if len(used) != 6 {
		t.Errorf("preferred engines: %v", used)
	}
}

// entriesOfTwoRegions returns entries that alternate between two regions.
func entriesOfTwoRegions(count int) []hosts.Host {
	var all []hosts.Host
	for i := range count {
		all = append(all, hosts.Host{Name: hosts.Name(fmt.Sprintf("x%02d", i)), Place: hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", i%2))}})
	}
	return all
}

// TestRemoteEntriesPerEngineAreBounded counts the remote entries of an engine. It also checks
// that entries without an assignment still use the engine if there is no other.
func TestRemoteEntriesPerEngineAreBounded(t *testing.T) {
	all := entriesOfTwoRegions(40)
	remotes := 0
	for _, e := range all {
		if e.Place.Region != "r0" {
			continue
		}
		w := newWorldOf(t, e.Name, func() []hosts.Host { return all })
		w.publish(start, w.upstream(engine(1, "d1", 1)), w.upstream(engine(2, "d0", 1)))
		for _, i := range w.fleet.Subscriptions(w.snapshot) {
			if i.Row.ID == "u1" {
				remotes++
			}
		}
		remaining, _ := w.builder.Apply(9, []state.Row{{Key: "upstream/p/u2"}})
		w.fleet.ApplySnapshot(start, remaining)
		if id, _ := w.place(start, w.requirements()); id != "u1" {
			t.Errorf("%s has only an engine of another region and chose %s", e.Name, id)
		}
	}
	if remotes != 4 {
		t.Errorf("%d of 20 entries of the other region use an engine", remotes)
	}
}

// TestRemoteEntriesAccountForEachOther sends to an engine of another region between two load
// reports until the entry considers it full. One of several remote entries must stop earlier
// than a single one.
func TestRemoteEntriesAccountForEachOther(t *testing.T) {
	sent := func(entries []hosts.Host) int {
		for _, e := range entries {
			w := newWorldOf(t, e.Name, func() []hosts.Host { return entries })
			w.publish(start, w.upstream(engine(1, "d1", 1)))
			if e.Place.Region != "r0" || len(w.fleet.Subscriptions(w.snapshot)) == 0 {
				continue
			}
			n := 0
			for _, f := w.place(start, w.requirements()); f != nil; _, f = w.place(start, w.requirements()) {
				n++
			}
			return n
		}
		return 0
	}
	alone, shared := sent(entriesOfTwoRegions(2)), sent(entriesOfTwoRegions(40))
	if shared >= alone || shared == 0 {
		t.Errorf("one of four remote entries sends %d requests at once, a single one %d", shared, alone)
	}
}

func TestRestartedUpstreamStartsWithoutHistory(t *testing.T) {
	w := newWorld(t, "e0")
	u := state.Upstream{ID: "x", Pool: "s", Address: netip.MustParseAddrPort("10.0.1.1:80"), Domain: "d0", Started: start}
	w.publish(start, w.upstream(u))
	for range 3 {
		w.fleet.ChoosePlain(start, "s", nil).Finish(start, target.OutcomeConnectFailed)
	}
	other := u
	other.ID, other.Address = "y", netip.MustParseAddrPort("10.0.1.2:80")
	w.publish(start, w.upstream(other))
	if f := w.fleet.ChoosePlain(start, "s", nil); f.Row.ID != "y" {
		t.Errorf("%s was chosen though it is down", f.Row.ID)
	}
	u.Started = start.Add(time.Second)
	w.publish(start, w.upstream(u))
	if f := w.fleet.ChoosePlain(start, "s", []string{"y"}); f.Row.ID != "x" || f.Running != 0 {
		t.Error("state of the previous process was kept")
	}
}

func TestSlowAndFailingServicesAreAvoided(t *testing.T) {
	w := newWorld(t, "e0")
	for i := range 3 {
		u := state.Upstream{ID: fmt.Sprintf("s%d", i), Pool: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80), Domain: "d0"}
		w.publish(start, w.upstream(u))
	}
	now := start
	counts := make(map[string]int)
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		f := w.fleet.ChoosePlain(now, "s", nil)
		counts[f.Row.ID]++
		switch f.Row.ID {
		case "s0":
			f.Finish(now, target.OutcomeFailed)
		case "s1":
			f.RecordFirstEvent(now.Add(400 * time.Millisecond))
			f.Finish(now.Add(400*time.Millisecond), target.OutcomeSuccess)
		default:
			f.RecordFirstEvent(now.Add(30 * time.Millisecond))
			f.Finish(now.Add(30*time.Millisecond), target.OutcomeSuccess)
		}
	}
	if counts["s2"] < 250 || counts["s0"] == 0 {
		t.Errorf("requests by service: %v; want most at the healthy one and occasional probes of the failing one", counts)
	}
}

func TestRemovedUpstreamAddressesAreReturned(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(1, "d0", 1)
	w.publish(start, w.upstream(u))
	snapshot, _ := w.builder.Apply(9, []state.Row{{Key: "upstream/p/u1"}})
	if removed := w.fleet.ApplySnapshot(start, snapshot); len(removed) != 1 || removed[0] != u.Address {
		t.Errorf("removed: %v", removed)
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
		if _, f := w.place(start.Add(6300*time.Millisecond), w.requirements()); f == nil || f.Version != 1 || f.StartDeadline.After(start.Add(versionTimeout)) {
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

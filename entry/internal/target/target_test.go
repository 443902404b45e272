package target_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

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
	return newWorldWith(t, target.Options{Self: self, Entries: entries, Random: func() float64 { return 0.5 }, Log: zap.NewNop()})
}

func newWorldWith(t *testing.T, o target.Options) *world {
	w := newEmptyWorldWith(t, o)
	w.publish(start, w.row(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{
		Slots: 4, Stride: 5, StepTime: 9 * time.Millisecond, PrefillRate: 19100, PromptTokens: 1000, OutputTokens: 90, Models: []state.Model{{Name: "m"}}, Layers: 2,
	}})), w.row(state.EncodePool(&state.Pool{Name: "s"})))
	return w
}

// newEmptyWorld is newWorldOf before the first snapshot.
func newEmptyWorld(t *testing.T, self hosts.Name, entries func() []hosts.Host) *world {
	return newEmptyWorldWith(t, target.Options{Self: self, Entries: entries, Random: func() float64 { return 0.5 }, Log: zap.NewNop()})
}

func newEmptyWorldWith(t *testing.T, o target.Options) *world {
	o.Place, o.Regions, o.VersionTimeout = hosts.Place{Region: "r0", Domain: "d0"}, regions, versionTimeout
	return &world{t: t, fleet: target.New(o)}
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
		for _, i := range w.fleet.Subscriptions(start, w.snapshot) {
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
			if e.Place.Region != "r0" || len(w.fleet.Subscriptions(start, w.snapshot)) == 0 {
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
		w.fleet.ChoosePlain(start, toPlain()).Finish(start, target.OutcomeConnectFailed)
	}
	other := u
	other.ID, other.Address = "y", netip.MustParseAddrPort("10.0.1.2:80")
	w.publish(start, w.upstream(other))
	if f := w.fleet.ChoosePlain(start, toPlain()); f.Row.ID != "y" {
		t.Errorf("%s was chosen though it is down", f.Row.ID)
	}
	u.Started = start.Add(time.Second)
	w.publish(start, w.upstream(u))
	if f := w.fleet.ChoosePlain(start, toPlain("y")); f.Row.ID != "x" || f.Running != 0 {
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
		f := w.fleet.ChoosePlain(now, toPlain())
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

// toPlain returns the requirements of a request to the plain service "s" that was already tried at
// some upstreams.
func toPlain(tried ...string) target.Requirements {
	return target.Requirements{Pool: &state.Pool{Name: "s"}, Exclude: tried}
}

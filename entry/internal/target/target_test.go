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

const within = 8 * time.Second

var (
	start   = time.Unix(1e9, 0)
	regions = map[hosts.Domain]hosts.Region{"d0": "r0", "d1": "r1"}
	entries = []hosts.Host{{Name: "e0", Place: hosts.Place{Region: "r0"}}, {Name: "e1", Place: hosts.Place{Region: "r0"}}, {Name: "f0", Place: hosts.Place{Region: "r1"}}}
)

// world is what the platform publishes to one entry.
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

// newWorldOf returns the world of an entry of the first region among others.
func newWorldOf(t *testing.T, self hosts.Name, entries func() []hosts.Host) *world {
	w := &world{t: t, fleet: target.New(target.Options{
		Self: self, Place: hosts.Place{Region: "r0", Domain: "d0"}, Entries: entries, Regions: regions,
		VersionTimeout: within, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
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
	snapshot, faults := w.builder.Apply(w.revision, rows)
	if len(faults) > 0 {
		w.t.Fatal(faults)
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

func (w *world) need() target.Requirements {
	return target.Requirements{Pool: w.snapshot.Pool("p"), Model: "m", PromptTokens: 1000, MaxEventGap: 400 * time.Millisecond, Remaining: time.Second}
}

// place gives a request to an engine and returns its id, or why there is none.
func (w *world) place(now time.Time, n target.Requirements) (string, *target.InFlight) {
	f, wait := w.fleet.ChooseEngine(now, n)
	if f == nil {
		return fmt.Sprintf("none, wait %t", wait > 0), nil
	}
	return f.Row.ID, f
}

func TestOnlyEnginesWithTheVersionServe(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(0, "d0", 0)))
	if id, _ := w.place(start, w.need()); id != "none, wait false" {
		t.Errorf("an empty engine: %s", id)
	}
	draining := engine(1, "d0", 1)
	draining.Draining = true
	partial := engine(2, "d0", 1)
	partial.Held[0].Whole = false
	w.publish(start, w.upstream(draining), w.upstream(partial))
	if id, _ := w.place(start, w.need()); id != "none, wait false" {
		t.Errorf("an engine that drains or holds a part: %s", id)
	}
	w.publish(start, w.upstream(engine(3, "d1", 1)))
	if id, f := w.place(start, w.need()); id != "u3" || f.Version != 1 {
		t.Errorf("%s", id)
	}
}

// TestOldVersionServesUntilItsTimeIsNearlyOver walks through the time of a release and
// of one that follows before the first is everywhere.
func TestOldVersionServesUntilItsTimeIsNearlyOver(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 2)))
	at := func(d time.Duration, version int) string {
		n := w.need()
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

func TestReleaseFromBeforeTheStartLeavesNoTime(t *testing.T) {
	w := &world{t: t, fleet: target.New(target.Options{
		Entries: func() []hosts.Host { return entries }, Regions: regions, VersionTimeout: within, Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})}
	w.publish(start, w.row(state.EncodeRelease(state.Release{Model: "m", Version: 2})), w.upstream(engine(1, "d0", 1)),
		w.row(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{Slots: 4, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}}})))
	if id, _ := w.place(start, w.need()); id != "none, wait false" {
		t.Errorf("a version that was replaced before the start: %s", id)
	}
}

func TestDigestGoesBeforeTheRow(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
	if id, _ := w.place(start, w.need()); id != "none, wait false" {
		t.Errorf("a closed engine: %s", id)
	}
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 2, Pace: 1, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
	w.fleet.ReceiveLoadReport(start, "u1", target.LoadReport{Serial: 1, Pace: 1, Closed: true})
	if id, _ := w.place(start, w.need()); id != "u1" {
		t.Errorf("an older digest counts: %s", id)
	}
}

// TestEntryThatIsCutOffFollowsItsEngines has an engine go on to a version of which the
// entry hears nothing but what the engine itself answers.
func TestEntryThatIsCutOffFollowsItsEngines(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)))
	now := start.Add(3 * time.Second)
	id, f := w.place(now, w.need())
	if id != "u1" || !f.ExactVersion || f.Version != 1 {
		t.Fatalf("%s, version %d, strict %t", id, f.Version, f.ExactVersion)
	}
	f.Finish(now, target.OutcomeMismatch)
	if id, _ := w.place(now.Add(500*time.Millisecond), w.need()); id != "none, wait false" {
		t.Errorf("right after it declined: %s", id)
	}
	now = now.Add(1100 * time.Millisecond)
	n := w.need()
	n.Version = 1
	if id, _ := w.place(now, n); id != "none, wait false" {
		t.Errorf("a stream of the version that is gone: %s", id)
	}
	id, f = w.place(now, w.need())
	if id != "u1" || f.ExactVersion || f.Version != 0 {
		t.Fatalf("later: %s, version %d, strict %t", id, f.Version, f.ExactVersion)
	}
	f.RecordVersion(2)
	f.Finish(now, target.OutcomeSuccess)
	if id, f = w.place(now, w.need()); id != "u1" || f.Version != 2 {
		t.Errorf("after an answer: %s, version %d", id, f.Version)
	}
}

func TestFullEnginesMakeRequestsWait(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 1)))
	var last *target.InFlight
	placed := 0
	for {
		id, f := w.place(start, w.need())
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
		t.Errorf("%d requests at two engines with four places", placed)
	}
	last.Finish(start, target.OutcomeSuccess)
	if _, f := w.place(start, w.need()); f == nil {
		t.Error("an ended request still takes a place")
	}
}

// TestLoadOfOtherEntriesCounts has another entry fill an engine.
func TestLoadOfOtherEntriesCounts(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(engine(1, "d0", 1)), w.upstream(engine(2, "d0", 1)))
	w.fleet.ReceiveEntryLoads(start, "e1", []target.EntryLoad{{Upstream: target.HashOf("u1"), Running: 9, Unread: 9000}})
	if id, f := w.place(start, w.need()); id != "u2" || f.Running != 0 {
		t.Errorf("%s is chosen", id)
	}
	w.fleet.ReceiveEntryLoads(start.Add(time.Second), "other", nil)
	seen := make(map[string]bool)
	for range 4 {
		id, _ := w.place(start.Add(time.Second), w.need())
		seen[id] = true
	}
	if !seen["u1"] {
		t.Error("what a silent entry told counts for ever")
	}
}

// TestEnginesAreDealtAmongTheEntriesOfTheRegion proves that two entries use different
// engines first, and all of them.
func TestEnginesAreDealtAmongTheEntriesOfTheRegion(t *testing.T) {
	used := make(map[string]int)
	for _, self := range []hosts.Name{"e0", "e1"} {
		w := newWorld(t, self)
		for i := range 6 {
			w.publish(start, w.upstream(engine(i, "d0", 1)))
		}
		first := make(map[string]bool)
		for range 3 {
			id, _ := w.place(start, w.need())
			first[id] = true
		}
		if len(first) != 3 {
			t.Errorf("%s uses %v first", self, first)
		}
		for id := range first {
			used[id]++
		}
	}
	if len(used) != 6 {
		t.Errorf("engines used first: %v", used)
	}
}

// many returns entries of two regions.
func many(count int) []hosts.Host {
	var all []hosts.Host
	for i := range count {
		all = append(all, hosts.Host{Name: hosts.Name(fmt.Sprintf("x%02d", i)), Place: hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", i%2))}})
	}
	return all
}

// TestFewEntriesOfOtherRegionsUseAnEngine counts them, and has those that don't use it find
// no other engine.
func TestFewEntriesOfOtherRegionsUseAnEngine(t *testing.T) {
	all := many(40)
	guests := 0
	for _, e := range all {
		if e.Place.Region != "r0" {
			continue
		}
		w := newWorldOf(t, e.Name, func() []hosts.Host { return all })
		w.publish(start, w.upstream(engine(1, "d1", 1)), w.upstream(engine(2, "d0", 1)))
		for _, i := range w.fleet.Subscriptions(w.snapshot) {
			if i.Row.ID == "u1" {
				guests++
			}
		}
		gone, _ := w.builder.Apply(9, []state.Row{{Key: "upstream/p/u2"}})
		w.fleet.ApplySnapshot(start, gone)
		if id, _ := w.place(start, w.need()); id != "u1" {
			t.Errorf("%s has only an engine of another region and uses %s", e.Name, id)
		}
	}
	if guests != 4 {
		t.Errorf("%d of 20 entries of the other region use an engine", guests)
	}
}

// TestGuestsExpectTheOthersToSendAsMuch sends to an engine of another region between two
// digests until it is taken for full.
func TestGuestsExpectTheOthersToSendAsMuch(t *testing.T) {
	sent := func(entries []hosts.Host) int {
		for _, e := range entries {
			w := newWorldOf(t, e.Name, func() []hosts.Host { return entries })
			w.publish(start, w.upstream(engine(1, "d1", 1)))
			if e.Place.Region != "r0" || len(w.fleet.Subscriptions(w.snapshot)) == 0 {
				continue
			}
			n := 0
			for _, f := w.place(start, w.need()); f != nil; _, f = w.place(start, w.need()) {
				n++
			}
			return n
		}
		return 0
	}
	alone, shared := sent(many(2)), sent(many(40))
	if shared >= alone || shared == 0 {
		t.Errorf("one of four guests sends %d requests at once, the only one %d", shared, alone)
	}
}

func TestRestartedUpstreamIsAnotherOne(t *testing.T) {
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
		t.Errorf("%s is chosen though it is down", f.Row.ID)
	}
	u.Started = start.Add(time.Second)
	w.publish(start, w.upstream(u))
	if f := w.fleet.ChoosePlain(start, "s", []string{"y"}); f.Row.ID != "x" || f.Running != 0 {
		t.Error("what was known of an earlier start counts")
	}
}

func TestSlowAndFailingServicesAreLeftAlone(t *testing.T) {
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
		t.Errorf("requests by service: %v; the good one should get most, the failing one a try now and then", counts)
	}
}

func TestUpstreamsThatGoAreTold(t *testing.T) {
	w := newWorld(t, "e0")
	u := engine(1, "d0", 1)
	w.publish(start, w.upstream(u))
	snapshot, _ := w.builder.Apply(9, []state.Row{{Key: "upstream/p/u1"}})
	if gone := w.fleet.ApplySnapshot(start, snapshot); len(gone) != 1 || gone[0] != u.Address {
		t.Errorf("gone: %v", gone)
	}
}

package state_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

func route(name, host, prefix string) *state.Route {
	return &state.Route{
		Name: name, Host: host, Prefix: prefix, Targets: []state.Target{{Pool: "p", Weight: 1}},
		Timeout: time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2,
	}
}

func encodeRow[T any](t interface{ Fatal(...any) }, encode func(T) (state.Row, error), value T) state.Row {
	r, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	var b state.Builder
	var rows []state.Row
	for _, r := range []*state.Route{
		route("root", "a.example", "/"), route("x", "a.example", "/x/"), route("xy", "a.example", "/x/y/"),
		route("xz", "a.example", "/x/z/"), route("other", "b.example", "/x/y/z/"),
	} {
		rows = append(rows, encodeRow(t, state.EncodeRoute, r))
	}
	s, invalid := b.Apply(1, rows)
	if len(invalid) > 0 {
		t.Fatal(invalid)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/y/z/1", "xy"},
		{"a.example", "/x/z/", "xz"},
		{"a.example:8080", "/x/z/q", "xz"},
		{"b.example", "/x/", ""},
		{"b.example", "/x/y/z/", "other"},
		{"c.example", "/", ""},
		{"a.example", "x/", ""},
		{"a.example", "//x/", "root"},
	} {
		got := ""
		if r := s.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestMatchAgreesWithLinearSearch compares the index with a search through all routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.StringMatching(`[ab]{1,2}`)
		path := rapid.Map(rapid.SliceOfN(part, 0, 4), func(p []string) string { return "/" + strings.Join(append(p, ""), "/") })
		prefixes := rapid.SliceOfNDistinct(path, 1, 8, rapid.ID).Draw(t, "prefixes")
		var b state.Builder
		var rows []state.Row
		for _, p := range prefixes {
			rows = append(rows, encodeRow(t, state.EncodeRoute, route("r"+p, "h", p)))
		}
		s, _ := b.Apply(1, rows)
		requested := path.Draw(t, "path")
		want := ""
		for _, p := range prefixes {
			if strings.HasPrefix(requested, p) && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if r := s.Match("h", requested); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("%s among %v: %q, want %q", requested, prefixes, got, want)
		}
	})
}

func TestInvalidRowKeepsPreviousRow(t *testing.T) {
	var b state.Builder
	good := encodeRow(t, state.EncodeRoute, route("r", "h", "/x/"))
	if _, invalid := b.Apply(1, []state.Row{good}); len(invalid) > 0 {
		t.Fatal(invalid)
	}
	bad := good
	bad.Value = []byte(`{"name":"r","prefix":"x"}`)
	other := encodeRow(t, state.EncodeRoute, route("other", "h", "/y/"))
	s, invalid := b.Apply(2, []state.Row{bad, other, {Key: "odd/x", Value: []byte("{}")}})
	if len(invalid) != 2 || invalid[0].Key != "route/r" || invalid[1].Key != "odd/x" {
		t.Errorf("invalid rows %v", invalid)
	}
	if s.Match("h", "/x/") == nil || s.Match("h", "/y/") == nil || s.Revision != 2 {
		t.Error("a valid row was lost next to an invalid one")
	}
	deleted, _ := b.Apply(3, []state.Row{{Key: "route/r"}})
	if deleted.Match("h", "/x/") != nil || s.Match("h", "/x/") == nil {
		t.Error("a deleted row still matches, or an earlier snapshot changed")
	}
}

func TestWorkspaceOfKey(t *testing.T) {
	var b state.Builder
	one := encodeRow(t, state.EncodeWorkspace, &state.Workspace{Name: "one", Keys: []string{"k1", "k2"}})
	s, _ := b.Apply(1, []state.Row{one})
	if w := s.Workspace("k2"); w == nil || w.Name != "one" || !s.RequiresKey() {
		t.Error("the workspace of a key was not found")
	}
	shrunk := encodeRow(t, state.EncodeWorkspace, &state.Workspace{Name: "one", Keys: []string{"k1"}, Priority: 2, HasPriority: true})
	s, _ = b.Apply(2, []state.Row{shrunk})
	if s.Workspace("k2") != nil || s.Workspace("k1") == nil || s.Workspace("k1").Priority != 2 {
		t.Error("a removed key still has a workspace, or a kept key has none")
	}
}

// TestWorkspacesWithoutKeysStillRequireOne guards against a fleet that admits every request once the last
// key is revoked.
func TestWorkspacesWithoutKeysStillRequireOne(t *testing.T) {
	var b state.Builder
	if s, _ := b.Apply(1, nil); s.RequiresKey() {
		t.Error("a key is required without workspaces")
	}
	workspace := func(keys ...string) state.Row {
		return encodeRow(t, state.EncodeWorkspace, &state.Workspace{Name: "one", Keys: keys})
	}
	config := func(version int64, requiresKey bool) state.Row {
		return encodeRow(t, state.EncodeConfig, state.Config{Version: version, RequiresKey: requiresKey})
	}
	for i, c := range []struct {
		rows     []state.Row
		required bool
	}{
		{[]state.Row{workspace("k1")}, true},
		{[]state.Row{workspace()}, true},
		{[]state.Row{config(1, true), {Key: "workspace/one"}}, true},
		{[]state.Row{{Key: state.ConfigKey}}, true},
		{[]state.Row{config(2, false)}, false},
		{[]state.Row{workspace("")}, true},
	} {
		s, invalid := b.Apply(state.Revision(i+2), c.rows)
		if len(invalid) > 0 || s.RequiresKey() != c.required || s.Workspace("") != nil {
			t.Errorf("step %d: a key is required: %t, invalid %v", i, s.RequiresKey(), invalid)
		}
	}
}

func TestReleaseDefaultsToFirstVersion(t *testing.T) {
	var b state.Builder
	s, _ := b.Apply(1, nil)
	if r := s.Release("m"); r.Version != state.FirstVersion {
		t.Errorf("release %v", r)
	}
	s, _ = b.Apply(2, []state.Row{encodeRow(t, state.EncodeRelease, state.Release{Model: "m", Version: 3})})
	if r := s.Release("m"); r.Version != 3 {
		t.Errorf("release %v", r)
	}
}

// TestForgottenReleaseDoesNotProlongOlderVersions publishes more releases than a snapshot holds.
func TestForgottenReleaseDoesNotProlongOlderVersions(t *testing.T) {
	const count = 500
	var b state.Builder
	var s *state.Snapshot
	at := func(version int) time.Time { return time.Unix(int64(version), 0) }
	for v := 2; v <= count; v++ {
		r := encodeRow(t, state.EncodeRelease, state.Release{Model: "m", Version: v})
		r.NotBefore = at(v)
		s, _ = b.Apply(state.Revision(v), []state.Row{r})
		for _, older := range []int{1, v - 20, v - 1} {
			if older < 1 {
				continue
			}
			if next := s.Release("m").Since(older); len(next) == 0 || next[0].NotBefore.After(at(older+1)) {
				t.Fatalf("version %d counts as replaced at %v after the release of %d", older, next, v)
			}
		}
	}
	if n := len(s.Release("m").Since(0)); n >= count/2 {
		t.Errorf("%d of %d releases are kept", n, count)
	}
	if next := s.Release("m").Since(count - 10); len(next) != 10 || !next[0].NotBefore.Equal(at(count-9)) {
		t.Errorf("recent releases: %v", next)
	}
}

func TestRowsRoundTrip(t *testing.T) {
	pool := &state.Pool{
		Name: "p", MaxConnections: 5, Origin: &state.Origin{Address: netip.MustParseAddrPort("10.0.0.1:1"), Domain: "d", Rate: 1e6, MaxConnections: 4},
		Engine: &state.Engine{
			Slots: 16, Stride: 5, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 38800 * time.Nanosecond, StepTimePerContext: 22 * time.Microsecond,
			PrefillRate: 19100, PrefillPairTime: 1470 * time.Microsecond, MaxPrefillTokens: 2048, MemoryTokens: 1000, PromptTokens: 900, OutputTokens: 90,
			Models: []state.Model{{Name: "m", LoadTime: 300 * time.Millisecond}}, Layers: 16, Pieces: 64, PieceBytes: 32768,
		},
	}
	up := &state.Upstream{
		ID: "u", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.2:2"), Domain: "d", Draining: true, Slots: 3, ColdFor: 1500 * time.Millisecond, HasCold: true,
		Started: time.UnixMilli(1789328621609), Held: []state.HeldVersion{{Model: "m", Version: 2, Whole: true}},
	}
	var b state.Builder
	s, invalid := b.Apply(1, []state.Row{encodeRow(t, state.EncodePool, pool), encodeRow(t, state.EncodeUpstream, up)})
	if len(invalid) > 0 {
		t.Fatal(invalid)
	}
	addresses := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if d := cmp.Diff(pool, s.Pool("p"), addresses); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff([]*state.Upstream{up}, s.Upstreams("p"), addresses); d != "" {
		t.Error(d)
	}
}

func FuzzRows(f *testing.F) {
	for _, kind := range []string{"route", "pool", "workspace", "limits", "release", "upstream"} {
		f.Add(kind+"/x", []byte(`{"name":"x","prefix":"/x/","targets":[{"pool":"p","weight":1}],"model":"m","version":1,"id":"x","pool":"p","address":"1.2.3.4:5"}`))
	}
	f.Add("pool/x", []byte(`{"name":"x","engine":{"slots":1,"read":1,"models":[{"name":"m"}]},"origin":{"address":"1.2.3.4:5"}}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		var b state.Builder
		s, invalid := b.Apply(1, []state.Row{{Key: key, Value: value}})
		if len(invalid) == 0 && value != nil && !json.Valid(value) {
			t.Errorf("%s: %q was accepted", key, value)
		}
		_ = s.Match("h", "/x/")
		for _, p := range s.Pools() {
			_ = s.Upstreams(p.Name)
		}
	})
}

// TestHomeConflictsAreBoundedAndOrdered guards against a log line for each snapshot: a bounded part of
// many conflicts must be the same part each time.
func TestHomeConflictsAreBoundedAndOrdered(t *testing.T) {
	var rows []state.Row
	for i := range 20 {
		name := fmt.Sprintf("n%02d", i)
		r := route(name, name, "/")
		r.Homes, r.Anonymous = []hosts.Region{"r"}, i == 0
		w := &state.Workspace{Name: name, Keys: []string{name}, Homes: []hosts.Region{"s"}}
		rows = append(rows, encodeRow(t, state.EncodeRoute, r), encodeRow(t, state.EncodeWorkspace, w))
	}
	var b state.Builder
	for i := range 20 {
		s, _ := b.Apply(state.Revision(1+i), rows)
		all := s.HomeConflicts(func(hosts.Region) bool { return true })
		if len(all) != 32 || all[0] != (state.HomeConflict{Route: "n01", Workspace: "n00"}) || all[31] != (state.HomeConflict{Route: "n02", Workspace: "n11"}) {
			t.Fatalf("%d conflicts: %v", len(all), all)
		}
	}
}

// TestUrgencyIsWithinTheLevels guards against a level that arrays of the pool's levels don't have: for a
// route or workspace of an earlier snapshot, and for requests without a workspace where none has a key.
func TestUrgencyIsWithinTheLevels(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		priority, keys := rapid.IntRange(0, 9), rapid.SliceOfN(rapid.Just("k"), 0, 1)
		var rows []state.Row
		for i := range rapid.IntRange(1, 4).Draw(rt, "routes") {
			r := route(fmt.Sprint(i), "h", fmt.Sprintf("/%d/", i))
			r.Priority = priority.Draw(rt, "priority")
			rows = append(rows, encodeRow(rt, state.EncodeRoute, r))
		}
		for i := range rapid.IntRange(0, 3).Draw(rt, "workspaces") {
			w := &state.Workspace{Name: fmt.Sprint(i), Keys: keys.Draw(rt, "keys"), HasPriority: true, Priority: priority.Draw(rt, "priority")}
			rows = append(rows, encodeRow(rt, state.EncodeWorkspace, w))
		}
		var b state.Builder
		s, _ := b.Apply(1, rows)
		w := &state.Workspace{HasPriority: true, Priority: priority.Draw(rt, "priority")}
		for _, w := range []*state.Workspace{nil, w} {
			level, levels := s.Urgency("p", &state.Route{Priority: priority.Draw(rt, "priority")}, w)
			if level < 0 || level >= levels || levels > state.MaxLevels {
				rt.Fatalf("level %d of %d", level, levels)
			}
		}
	})
}

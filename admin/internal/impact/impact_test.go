package impact_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"currantport.example/admin/internal/impact"
	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

func pool(name, version string, names ...hosts.Name) tables.Pool {
	return tables.Pool{Name: name, Kind: tables.PoolModel, Model: "m", Version: version, Manifest: chunks.Sum([]byte(version)), Hosts: names}
}

func TestEffects(t *testing.T) {
	s := impact.Snapshot{
		Tables: &tables.Tables{Pools: tables.Table[tables.Pool]{Rows: map[string]tables.Pool{
			"same": pool("same", "1", "a"), "grown": pool("grown", "1", "a"), "new": pool("new", "1", "a", "b"), "gone": pool("gone", "1"), "local": pool("local", "1", "a"),
		}}},
		List: hosts.NewList([]hosts.Host{{Name: "a", Place: hosts.Place{Region: "east"}}, {Name: "b", Place: hosts.Place{Region: "west"}}, {Name: "d", Place: hosts.Place{Region: "east"}}}),
	}
	got := impact.Effects(s, []tables.Pool{pool("same", "1", "a"), pool("grown", "1", "a", "b", "c"), pool("new", "2", "a", "b"), pool("local", "1", "a", "d")})
	want := []impact.Effect{
		{Pool: "gone", Change: "removed"},
		{Pool: "grown", Change: "changed", Version: "1", LoadingHosts: []hosts.Name{"b", "c"}, UnknownHosts: []hosts.Name{"c"}, Regions: []string{"west"}, UncoveredRegions: []string{"west"}},
		{Pool: "local", Change: "changed", Version: "1", LoadingHosts: []hosts.Name{"d"}, Regions: []string{"east"}},
		{Pool: "new", Change: "changed", Version: "2", LoadingHosts: []hosts.Name{"a", "b"}, Regions: []string{"east", "west"}, UncoveredRegions: []string{"east", "west"}},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestSummaryNamesLaggingProcesses(t *testing.T) {
	reply := func(host, region string, revision uint64) *wire.StatusReply {
		return &wire.StatusReply{
			Host: host, Region: region, Fresh: true, Reads: 2, Marks: []*wire.Mark{{Table: "pools", Revision: revision}},
			Hosts: []*wire.HostRow{{Name: "x", Region: "east", State: "leaving"}},
		}
	}
	got := impact.Summarize([]*wire.StatusReply{reply("a", "east", 4), reply("b", "east", 3), reply("c", "west", 4)})
	want := map[string]*impact.RegionSummary{
		"east": {Processes: 2, Current: 2, Reads: 4, Newest: map[string]uint64{"pools": 4}, Lagging: []string{"b"}, Leaving: []string{"x:leaving"}},
		"west": {Processes: 1, Current: 1, Reads: 2, Newest: map[string]uint64{"pools": 4}},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// versions holds encoded manifests by digest.
type versions map[chunks.Digest][]byte

func (v versions) Manifest(_ context.Context, digest chunks.Digest) ([]byte, error) {
	if data, ok := v[digest]; ok {
		return data, nil
	}
	return nil, errors.New("missing")
}

// add stores a version with a 10-byte chunk for each letter and returns its
// digest.
func (v versions) add(t *testing.T, letters string) chunks.Digest {
	t.Helper()
	f := chunks.File{Path: "weights", Size: int64(10 * len(letters))}
	for _, l := range letters {
		f.Chunks = append(f.Chunks, chunks.Sum([]byte(string(l))))
	}
	data, err := (&chunks.Manifest{ChunkBytes: 10, Files: []chunks.File{f}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	v[chunks.Sum(data)] = data
	return chunks.Sum(data)
}

// TestVolumes checks that the bytes count the chunks that a host lacks, and are unknown
// if a manifest can't be read or isn't the requested one.
func TestVolumes(t *testing.T) {
	v := versions{}
	list := hosts.NewList([]hosts.Host{{Name: "a", Place: hosts.Place{Region: "east"}}, {Name: "b", Place: hosts.Place{Region: "west"}}})
	first, second := v.add(t, "abcd"), v.add(t, "cdeff")
	mismatched := chunks.Sum([]byte("mismatched"))
	v[mismatched] = v[first]
	for name, c := range map[string]struct {
		old, next tables.Pool
		want      impact.Volume
		unknown   bool
	}{
		"new pool":         {next: tables.Pool{Manifest: first, Hosts: []hosts.Name{"a", "b"}}, want: impact.Volume{HostBytes: 80, NewBytes: 40, CrossRegionBytes: 80}},
		"next version":     {tables.Pool{Manifest: first, Hosts: []hosts.Name{"a"}}, tables.Pool{Manifest: second, Hosts: []hosts.Name{"a", "b"}}, impact.Volume{HostBytes: 20 + 40, NewBytes: 20, CrossRegionBytes: 20 + 40}, false},
		"one host more":    {tables.Pool{Manifest: first, Hosts: []hosts.Name{"a"}}, tables.Pool{Manifest: first, Hosts: []hosts.Name{"a", "b"}}, impact.Volume{HostBytes: 40, CrossRegionBytes: 40}, false},
		"missing manifest": {next: tables.Pool{Manifest: chunks.Sum([]byte("none")), Hosts: []hosts.Name{"a"}}, unknown: true},
		"other manifest":   {next: tables.Pool{Manifest: mismatched, Hosts: []hosts.Name{"a"}}, unknown: true},
	} {
		rows := map[string]tables.Pool{}
		c.old.Name, c.next.Name, c.old.Kind, c.next.Kind = "p", "p", tables.PoolModel, tables.PoolModel
		if len(c.old.Hosts) > 0 {
			rows["p"] = c.old
		}
		s := impact.Snapshot{List: list, Tables: &tables.Tables{Pools: tables.Table[tables.Pool]{Rows: rows}}}
		effects := impact.Effects(s, []tables.Pool{c.next})
		impact.EstimateVolumes(t.Context(), s, []tables.Pool{c.next}, effects, v)
		got := effects[0].Volume
		if isUnknown := got.UnknownReason != ""; isUnknown != c.unknown || !isUnknown && got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

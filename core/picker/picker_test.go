package picker_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/hosts"
	"currantport.example/core/picker"
)

func TestChoose(t *testing.T) {
	local, region, remote := picker.TierDomain, picker.TierRegion, picker.TierRemote
	idle := func(seed uint64, tier picker.Tier) picker.Candidate {
		return picker.Candidate{Seed: seed, Window: 8, Tier: tier, Ready: true}
	}
	with := func(c picker.Candidate, change func(*picker.Candidate)) picker.Candidate {
		change(&c)
		return c
	}
	stale := func(c *picker.Candidate) { c.Ready = false }
	busy := func(c *picker.Candidate) { c.OtherRequests = 40 }
	full := func(c *picker.Candidate) { c.OwnRequests = c.Window }
	cases := []struct {
		name  string
		all   []picker.Candidate
		query picker.Query
		want  int
	}{
		{"none", nil, picker.Query{}, -1},
		{"other version", []picker.Candidate{with(idle(1, local), stale)}, picker.Query{}, -1},
		{"nearest", []picker.Candidate{idle(1, remote), idle(2, region), idle(3, local)}, picker.Query{}, 2},
		{"spill over", []picker.Candidate{with(idle(1, local), busy), idle(2, region), idle(3, remote)}, picker.Query{}, 1},
		{"window is full of own requests", []picker.Candidate{with(idle(1, local), full), idle(2, remote)}, picker.Query{}, 1},
		{"all loaded", []picker.Candidate{with(idle(1, local), full), with(idle(2, remote), busy)}, picker.Query{}, 0},
		{"cache of the region", []picker.Candidate{idle(1, local), idle(2, region)}, picker.Query{Holders: []uint64{2}}, 1},
		{"cache of another region", []picker.Candidate{idle(1, local), idle(2, remote)}, picker.Query{Holders: []uint64{2}}, 0},
		{"remote cache before remote", []picker.Candidate{idle(1, remote), idle(2, remote)}, picker.Query{Holders: []uint64{2}}, 1},
		{"loaded cache", []picker.Candidate{idle(1, local), with(idle(2, local), busy)}, picker.Query{Holders: []uint64{2}}, 0},
		{"excluded", []picker.Candidate{idle(1, local), idle(2, remote)}, picker.Query{Excluded: []uint64{1}}, 1},
		{"unknown cache", []picker.Candidate{idle(1, local)}, picker.Query{Holders: []uint64{9}}, 0},
	}
	for _, c := range cases {
		if got := picker.Choose(c.all, c.query); got != c.want {
			t.Errorf("%s: chose %d, want %d", c.name, got, c.want)
		}
	}
}

func TestCachesAreResetAfterGap(t *testing.T) {
	add := func(p uint64) picker.CacheEvent { return picker.CacheEvent{Prefix: p} }
	type update struct {
		serial uint64
		events []picker.CacheEvent
	}
	cases := []struct {
		name    string
		updates []update
		// want lists which of the prefixes 1 to 4 are held.
		want []uint64
	}{
		{"in order", []update{{1, []picker.CacheEvent{add(1)}}, {2, []picker.CacheEvent{add(2)}}}, []uint64{1, 2}},
		{"repeated", []update{{2, []picker.CacheEvent{add(1), add(2)}}, {3, []picker.CacheEvent{add(2), add(3)}}}, []uint64{1, 2, 3}},
		{"dropped", []update{{1, []picker.CacheEvent{add(1)}}, {2, []picker.CacheEvent{{Prefix: 1, Dropped: true}}}}, nil},
		{"gap", []update{{1, []picker.CacheEvent{add(1)}}, {4, []picker.CacheEvent{add(4)}}}, []uint64{4}},
		{"gap without events", []update{{1, []picker.CacheEvent{add(1)}}, {4, nil}}, nil},
		{"restart", []update{{3, []picker.CacheEvent{add(1), add(2), add(3)}}, {1, []picker.CacheEvent{add(4)}}}, []uint64{4}},
	}
	for _, c := range cases {
		caches := picker.NewCaches()
		for _, u := range c.updates {
			caches.ApplyEvents(7, u.serial, u.events)
		}
		var got []uint64
		for p := uint64(1); p <= 4; p++ {
			if len(caches.Holders(p)) > 0 {
				got = append(got, p)
			}
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: %s", c.name, d)
		}
	}
}

func TestSubsetsCoverPool(t *testing.T) {
	var entries, agents []hosts.Host
	place := func(i int) hosts.Place {
		d := i % 18
		return hosts.Place{Region: hosts.Region(fmt.Sprint("r", d%7)), Domain: hosts.Domain(fmt.Sprint("d", d))}
	}
	for i := range 120 {
		entries = append(entries, hosts.Host{Name: hosts.Name(fmt.Sprint("entry-", i)), Place: place(i)})
	}
	for i := range 1500 {
		agents = append(agents, hosts.Host{Name: hosts.Name(fmt.Sprint("model-", i)), Place: place(i)})
	}
	kept := make(map[hosts.Name]int)
	for _, e := range entries {
		subset := picker.Subset(e, entries, agents)
		if len(subset) < picker.SubsetSize || len(subset) > 3*picker.SubsetSize {
			t.Errorf("%s keeps %d agents", e.Name, len(subset))
		}
		for _, a := range subset {
			kept[a.Name]++
		}
	}
	for _, a := range agents {
		if kept[a.Name] < 3 {
			t.Errorf("%s is kept by %d entries", a.Name, kept[a.Name])
		}
	}
}

func TestNeighborsAreBalanced(t *testing.T) {
	var entries []hosts.Host
	for i := range 60 {
		place := hosts.Place{Region: hosts.Region(fmt.Sprint("r", i%3)), Domain: hosts.Domain(fmt.Sprint("d", i%6))}
		entries = append(entries, hosts.Host{Name: hosts.Name(fmt.Sprint("entry-", i)), Place: place})
	}
	named := make(map[hosts.Name]int)
	for _, e := range entries {
		local := 0
		for _, n := range picker.Neighbors(e, entries) {
			if n.Name == e.Name {
				t.Errorf("%s is its own neighbor", e.Name)
			}
			if n.Place.Region == e.Place.Region {
				local++
			}
			named[n.Name]++
		}
		if local < 3 {
			t.Errorf("%s names %d of its region", e.Name, local)
		}
	}
	for _, e := range entries {
		if n := named[e.Name]; n != 5 {
			t.Errorf("%s is named by %d others", e.Name, n)
		}
	}
}

// Package impact tells what a change of the tables would make the fleet do, and
// sums up the state of processes by region.
package impact

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const callTimeout = 5 * time.Second

// Snapshot is what an entry holds.
type Snapshot struct {
	Tables *tables.Tables
	List   hosts.List
}

// Fetch pulls the tables and the list of an entry as another entry does.
func Fetch(ctx context.Context, at netip.AddrPort) (Snapshot, error) {
	client, stop := links.NewPeerClient(nil)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	force, list := &tables.Active{}, roster.New()
	now := time.Now()
	s := relay.NewState(relay.Self{Role: hosts.RoleEntry}, force, list, now)
	reply, err := relay.NewClient(client).Sync(ctx, hosts.Host{Address: at}, s.BuildRequest(0))
	if err != nil {
		return Snapshot{}, err
	}
	s.ApplyReply("", reply, now, now)
	return Snapshot{Tables: force.Snapshot(), List: list.Now()}, nil
}

// Effect is what a change of a pool would make the fleet do.
type Effect struct {
	Pool    string
	Change  string
	Version string
	// LoadingHosts are the hosts that would load the version.
	LoadingHosts []hosts.Name
	// UnknownHosts are the hosts of the pool that the list lacks.
	UnknownHosts []hosts.Name
	// Regions are those of the hosts that would load, ordered by name.
	Regions []string
	// UncoveredRegions are those of Regions where no host of the pool has the version, so
	// that it comes from another region or from outside.
	UncoveredRegions []string
	Volume           Volume
}

// Effects compares pools with those in force, ordered by name.
func Effects(f Snapshot, next []tables.Pool) []Effect {
	var all []Effect
	kept := make(map[string]bool)
	for _, p := range next {
		kept[p.Name] = true
		old, ok := f.Tables.Pools.Rows[p.Name]
		e := Effect{Pool: p.Name, Change: "changed", Version: p.Version}
		if !ok {
			e.Change = "added"
		}
		if ok && !isChanged(old, p) {
			continue
		}
		for _, h := range p.Hosts {
			e.add(f.List, h, p.Kind == tables.PoolModel && (!old.Has(h) || old.Manifest != p.Manifest))
		}
		e.UncoveredRegions = crossed(f.List, old, p, e.Regions)
		all = append(all, e)
	}
	for name := range f.Tables.Pools.Rows {
		if !kept[name] {
			all = append(all, Effect{Pool: name, Change: "removed"})
		}
	}
	slices.SortFunc(all, func(a, b Effect) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// crossed returns the regions without a host that has the version in force.
func crossed(list hosts.List, old, next tables.Pool, regions []string) []string {
	var left []string
	for _, r := range regions {
		if old.Manifest != next.Manifest || !hasHost(list, old, r) {
			left = append(left, r)
		}
	}
	return left
}

// hasHost reports whether a pool has a host in a region.
func hasHost(list hosts.List, p tables.Pool, region string) bool {
	return slices.ContainsFunc(p.Hosts, func(n hosts.Name) bool {
		h, ok := list.Find(n)
		return ok && string(h.Place.Region) == region
	})
}

func isChanged(a, b tables.Pool) bool {
	sameHosts := slices.Equal(a.Hosts, b.Hosts)
	a.Hosts, b.Hosts = nil, nil
	first, _ := tables.EncodePools([]tables.Pool{a})
	second, _ := tables.EncodePools([]tables.Pool{b})
	return !sameHosts || string(first) != string(second)
}

func (e *Effect) add(list hosts.List, name hosts.Name, loads bool) {
	h, ok := list.Find(name)
	if !ok {
		e.UnknownHosts = append(e.UnknownHosts, name)
	}
	if !loads {
		return
	}
	e.LoadingHosts = append(e.LoadingHosts, name)
	region := string(h.Place.Region)
	if ok && !slices.Contains(e.Regions, region) {
		e.Regions = append(e.Regions, region)
		slices.Sort(e.Regions)
	}
}

// Print writes the effect as one line.
func (e Effect) Print() {
	fmt.Printf("pool=%s change=%s version=%s loads=%d regions=%s crossed=%s unknown=%d%s\n",
		e.Pool, e.Change, e.Version, len(e.LoadingHosts), strings.Join(e.Regions, ","), strings.Join(e.UncoveredRegions, ","), len(e.UnknownHosts), e.volume())
}

func (e Effect) volume() string {
	switch {
	case len(e.LoadingHosts) == 0:
		return " bytes=0"
	case e.Volume.UnknownReason != "":
		return fmt.Sprintf(" bytes=unknown cause=%q", e.Volume.UnknownReason)
	}
	return fmt.Sprintf(" bytes=%d copy=%d cross=%d", e.Volume.HostBytes, e.Volume.NewBytes, e.Volume.CrossRegionBytes)
}

// PrintRoutes tells which routes are added, removed or lack their pool.
func PrintRoutes(f Snapshot, next []tables.Route) {
	kept := make(map[string]bool)
	for _, r := range next {
		kept[r.Name] = true
		if _, ok := f.Tables.Routes.Rows[r.Name]; !ok {
			fmt.Printf("route=%s change=added pool=%s\n", r.Name, r.Pool)
		}
	}
	for name := range f.Tables.Routes.Rows {
		if !kept[name] {
			fmt.Printf("route=%s change=removed\n", name)
		}
	}
}

// RegionSummary sums up the processes of one region.
type RegionSummary struct {
	Processes int
	Fresh     int
	Cut       int
	Reads     uint64
	Rollouts  int
	// Newest is the highest revision of each table.
	Newest map[string]uint64
	// Lagging are the processes that hold an older revision than another one.
	Lagging []string
	// Leaving are the hosts that leave or are missing, with their state.
	Leaving []string
}

// Summarize sums up the replies by region.
func Summarize(replies []*wire.StatusReply) map[string]*RegionSummary {
	newest := make(map[string]uint64)
	for _, r := range replies {
		for _, m := range r.Marks {
			newest[m.Table] = max(newest[m.Table], m.Revision)
		}
	}
	regions := make(map[string]*RegionSummary)
	for _, r := range replies {
		s := regions[r.Region]
		if s == nil {
			s = &RegionSummary{Newest: make(map[string]uint64)}
			regions[r.Region] = s
		}
		s.add(r, newest)
	}
	return regions
}

func (s *RegionSummary) add(r *wire.StatusReply, newest map[string]uint64) {
	s.Processes++
	s.Reads += r.Reads
	s.Rollouts += len(r.Rollouts)
	if r.Fresh {
		s.Fresh++
	}
	if r.Cut {
		s.Cut++
	}
	lags := false
	for _, m := range r.Marks {
		s.Newest[m.Table] = max(s.Newest[m.Table], m.Revision)
		lags = lags || m.Revision < newest[m.Table]
	}
	if lags {
		s.Lagging = append(s.Lagging, r.Host)
	}
	for _, h := range r.Hosts {
		if h.Region == r.Region && !slices.Contains(s.Leaving, h.Name+":"+h.State) {
			s.Leaving = append(s.Leaving, h.Name+":"+h.State)
		}
	}
}

// Print writes the summary as one line.
func (s *RegionSummary) Print(region string) {
	fmt.Printf("region=%s processes=%d fresh=%d cut=%d routes=%d pools=%d hosts=%d lagging=%s leaving=%s rollouts=%d reads=%d\n",
		region, s.Processes, s.Fresh, s.Cut, s.Newest["routes"], s.Newest["pools"], s.Newest["hosts"],
		strings.Join(s.Lagging, ","), strings.Join(s.Leaving, ","), s.Rollouts, s.Reads)
}

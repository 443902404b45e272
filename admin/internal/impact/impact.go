// Package impact computes the effects that a change of the tables would have on
// the fleet, and summarizes the state of processes by region.
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

// Snapshot holds the active tables and the list of hosts of an entry.
type Snapshot struct {
	Tables *tables.Tables
	List   hosts.List
}

// Fetch pulls the tables and the list of hosts from an entry, by the protocol that
// entries use among each other.
func Fetch(ctx context.Context, at netip.AddrPort) (Snapshot, error) {
	client, stop := links.NewPeerClient(nil)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	active, list := &tables.Active{}, roster.New()
	now := time.Now()
	s := relay.NewState(relay.Self{Role: hosts.RoleEntry}, active, list, now)
	reply, err := relay.NewClient(client).Sync(ctx, hosts.Host{Address: at}, s.BuildRequest(0))
	if err != nil {
		return Snapshot{}, err
	}
	s.ApplyReply("", reply, now, now)
	return Snapshot{Tables: active.Snapshot(), List: list.Now()}, nil
}

// Effect describes what the fleet would do after a change of one pool.
type Effect struct {
	Pool string
	// Change is added, changed or removed.
	Change  string
	Version string
	// LoadingHosts are the hosts that would load the version.
	LoadingHosts []hosts.Name
	// UnknownHosts are the hosts of the pool that aren't in the list of hosts.
	UnknownHosts []hosts.Name
	// Regions are the regions of LoadingHosts, ordered by name.
	Regions []string
	// UncoveredRegions are those of Regions in which no host of the pool has the
	// version yet. It is fetched there from another region, the store or the origin.
	UncoveredRegions []string
	Volume           Volume
}

// Effects compares the next pools with the active ones and returns an effect for
// each pool that differs, ordered by name.
func Effects(s Snapshot, next []tables.Pool) []Effect {
	var all []Effect
	listed := make(map[string]bool)
	for _, p := range next {
		listed[p.Name] = true
		old, ok := s.Tables.Pools.Rows[p.Name]
		e := Effect{Pool: p.Name, Change: "changed", Version: p.Version}
		if !ok {
			e.Change = "added"
		}
		if ok && !isChanged(old, p) {
			continue
		}
		for _, h := range p.Hosts {
			e.addHost(s.List, h, p.Kind == tables.PoolModel && (!old.Has(h) || old.Manifest != p.Manifest))
		}
		e.UncoveredRegions = uncoveredRegions(s.List, old, p, e.Regions)
		all = append(all, e)
	}
	for name := range s.Tables.Pools.Rows {
		if !listed[name] {
			all = append(all, Effect{Pool: name, Change: "removed"})
		}
	}
	slices.SortFunc(all, func(a, b Effect) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// uncoveredRegions returns the regions in which no host of the active pool has the
// version of the next one.
func uncoveredRegions(list hosts.List, old, next tables.Pool, regions []string) []string {
	var uncovered []string
	for _, r := range regions {
		if old.Manifest != next.Manifest || !hasHost(list, old, r) {
			uncovered = append(uncovered, r)
		}
	}
	return uncovered
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

func (e *Effect) addHost(list hosts.List, name hosts.Name, loads bool) {
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

// Print writes the effect to standard output as one line.
func (e Effect) Print() {
	fmt.Printf("pool=%s change=%s version=%s loads=%d regions=%s crossed=%s unknown=%d%s\n",
		e.Pool, e.Change, e.Version, len(e.LoadingHosts), strings.Join(e.Regions, ","), strings.Join(e.UncoveredRegions, ","), len(e.UnknownHosts), e.formatVolume())
}

func (e Effect) formatVolume() string {
	switch {
	case len(e.LoadingHosts) == 0:
		return " bytes=0"
	case e.Volume.UnknownReason != "":
		return fmt.Sprintf(" bytes=unknown cause=%q", e.Volume.UnknownReason)
	}
	return fmt.Sprintf(" bytes=%d copy=%d cross=%d", e.Volume.HostBytes, e.Volume.NewBytes, e.Volume.CrossRegionBytes)
}

// PrintRoutes prints which routes the change would add or remove.
func PrintRoutes(s Snapshot, next []tables.Route) {
	listed := make(map[string]bool)
	for _, r := range next {
		listed[r.Name] = true
		if _, ok := s.Tables.Routes.Rows[r.Name]; !ok {
			fmt.Printf("route=%s change=added pool=%s\n", r.Name, r.Pool)
		}
	}
	for name := range s.Tables.Routes.Rows {
		if !listed[name] {
			fmt.Printf("route=%s change=removed\n", name)
		}
	}
}

// RegionSummary aggregates the processes of one region.
type RegionSummary struct {
	Processes int
	// Current counts the processes that have caught up with the others.
	Current int
	// Isolated counts the processes that get no replies from any other process.
	Isolated int
	// Reads counts the calls to the platform since the start of the processes.
	Reads    uint64
	Rollouts int
	// Newest is the highest revision of each table.
	Newest map[string]uint64
	// Lagging are the hosts whose revision of a table is older than the newest one of
	// all regions.
	Lagging []string
	// Leaving are the hosts that are leaving or missing, as name:state.
	Leaving []string
}

// Summarize aggregates the replies by region.
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
		s.addReply(r, newest)
	}
	return regions
}

func (s *RegionSummary) addReply(r *wire.StatusReply, newest map[string]uint64) {
	s.Processes++
	s.Reads += r.Reads
	s.Rollouts += len(r.Rollouts)
	if r.Fresh {
		s.Current++
	}
	if r.Cut {
		s.Isolated++
	}
	isLagging := false
	for _, m := range r.Marks {
		s.Newest[m.Table] = max(s.Newest[m.Table], m.Revision)
		isLagging = isLagging || m.Revision < newest[m.Table]
	}
	if isLagging {
		s.Lagging = append(s.Lagging, r.Host)
	}
	for _, h := range r.Hosts {
		if h.Region == r.Region && !slices.Contains(s.Leaving, h.Name+":"+h.State) {
			s.Leaving = append(s.Leaving, h.Name+":"+h.State)
		}
	}
}

// Print writes the summary to standard output as one line.
func (s *RegionSummary) Print(region string) {
	fmt.Printf("region=%s processes=%d fresh=%d cut=%d routes=%d pools=%d hosts=%d lagging=%s leaving=%s rollouts=%d reads=%d\n",
		region, s.Processes, s.Current, s.Isolated, s.Newest["routes"], s.Newest["pools"], s.Newest["hosts"],
		strings.Join(s.Lagging, ","), strings.Join(s.Leaving, ","), s.Rollouts, s.Reads)
}

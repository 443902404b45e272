package state

import (
	"cmp"
	"slices"

	"currantport.example/core/hosts"
)

// IsEvacuated reports whether no new requests may be sent to the upstreams of the failure domain.
func (s *Snapshot) IsEvacuated(d hosts.Domain) bool { return s.evacuated[d] }

// Evacuated returns the evacuated failure domains in order.
func (s *Snapshot) Evacuated() []hosts.Domain {
	var all []hosts.Domain
	for d := range s.evacuated {
		all = append(all, d)
	}
	slices.Sort(all)
	return all
}

// Homes are the regions whose upstreams may serve a request. The zero value allows all regions.
type Homes struct {
	regions []hosts.Region
	bound   bool
}

// HomesOf returns the homes of the requests of a workspace on a route: the regions that both
// allow. The workspace may be nil.
func HomesOf(r *Route, w *Workspace) Homes {
	h := Homes{}.restrict(r.Homes)
	if w != nil {
		h = h.restrict(w.Homes)
	}
	return h
}

func (h Homes) restrict(to []hosts.Region) Homes {
	switch {
	case len(to) == 0:
		return h
	case !h.bound:
		return Homes{regions: to, bound: true}
	}
	var common []hosts.Region
	for _, r := range h.regions {
		if slices.Contains(to, r) {
			common = append(common, r)
		}
	}
	return Homes{regions: common, bound: true}
}

// Allows reports whether upstreams of the region may serve the request.
func (h Homes) Allows(r hosts.Region) bool { return !h.bound || slices.Contains(h.regions, r) }

// IsBound reports whether some region isn't allowed.
func (h Homes) IsBound() bool { return h.bound }

// IsNowhere reports whether no region is allowed, since those of the route and of the workspace
// have none in common.
func (h Homes) IsNowhere() bool { return h.bound && len(h.regions) == 0 }

// Regions returns the allowed regions, or nil for all.
func (h Homes) Regions() []hosts.Region { return h.regions }

// HomeConflict is a route or a pair of a route and a workspace whose requests no region may serve.
type HomeConflict struct {
	Route     string
	Workspace string
	// Unknown is the home region that the deployment doesn't have, or empty if the route and the
	// workspace have no region in common.
	Unknown hosts.Region
}

// maxHomeConflicts bounds the result of HomeConflicts.
const maxHomeConflicts = 32

// homeRows are the rows that have homes, ordered by name, so that the same conflicts are found each time.
type homeRows struct {
	routes     []*Route
	workspaces []*Workspace
	// groups are the workspaces by their homes. Many workspaces share few lists of regions.
	groups [][]*Workspace
}

func homeRowsOf(routes map[string]*Route, workspaces map[string]*Workspace) homeRows {
	var h homeRows
	for _, r := range routes {
		if len(r.Homes) > 0 {
			h.routes = append(h.routes, r)
		}
	}
	for _, w := range workspaces {
		if len(w.Homes) > 0 {
			h.workspaces = append(h.workspaces, w)
		}
	}
	slices.SortFunc(h.routes, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(h.workspaces, func(a, b *Workspace) int { return cmp.Compare(a.Name, b.Name) })
	for _, w := range h.workspaces {
		i := slices.IndexFunc(h.groups, func(g []*Workspace) bool { return slices.Equal(g[0].Homes, w.Homes) })
		if i < 0 {
			h.groups = append(h.groups, []*Workspace{w})
			continue
		}
		h.groups[i] = append(h.groups[i], w)
	}
	return h
}

// HomeConflicts returns routes and workspaces that name an unknown region, and pairs that have no
// home region in common. At most 32 are returned, since they are meant for a log.
func (s *Snapshot) HomeConflicts(isKnown func(hosts.Region) bool) []HomeConflict {
	var all []HomeConflict
	for _, w := range s.homeRows.workspaces {
		for _, h := range w.Homes {
			if !isKnown(h) {
				all = append(all, HomeConflict{Workspace: w.Name, Unknown: h})
			}
		}
	}
	for _, r := range s.homeRows.routes {
		if len(all) >= maxHomeConflicts {
			break
		}
		all = append(all, s.homeRows.conflictsOf(r, isKnown)...)
	}
	return all[:min(len(all), maxHomeConflicts)]
}

func (h homeRows) conflictsOf(r *Route, isKnown func(hosts.Region) bool) []HomeConflict {
	var all []HomeConflict
	for _, region := range r.Homes {
		if !isKnown(region) {
			all = append(all, HomeConflict{Route: r.Name, Unknown: region})
		}
	}
	// Requests without a key have no workspace.
	if r.Anonymous {
		return all
	}
	for _, g := range h.groups {
		if !HomesOf(r, g[0]).IsNowhere() {
			continue
		}
		for _, w := range g[:min(len(g), maxHomeConflicts)] {
			all = append(all, HomeConflict{Route: r.Name, Workspace: w.Name})
		}
	}
	return all
}

// HostHomes returns the regions to which clients of a host name are best referred outside their own:
// those that all routes of the host allow, or else those that any of them names. Nil means any region.
func (s *Snapshot) HostHomes(host string) []hosts.Region {
	all := Homes{}
	var named []hosts.Region
	for _, r := range s.routes[host] {
		all = all.restrict(r.Homes)
		for _, h := range r.Homes {
			if !slices.Contains(named, h) {
				named = append(named, h)
			}
		}
	}
	if all.IsNowhere() {
		return named
	}
	return all.regions
}

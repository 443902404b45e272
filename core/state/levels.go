package state

import (
	"cmp"
	"slices"
)

// MaxLevels bounds the levels of urgency in a pool, since engines distinguish ten.
const MaxLevels = 10

// urgency orders the requests of a pool; the lower one goes first.
type urgency struct {
	// first is the priority of the workspace, or that of the route if the workspace has none.
	first int
	// second is the priority of the route.
	second int
}

func urgencyOf(r *Route, w *Workspace) urgency {
	if w != nil && w.HasPriority {
		return urgency{first: w.Priority, second: r.Priority}
	}
	return urgency{first: r.Priority, second: r.Priority}
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.second, b.second))
}

// levelsOf returns the urgencies that occur in each pool whose routes differ in priority, the most
// urgent one first.
func levelsOf(routes map[string]*Route, workspaces map[string]*Workspace, requiresKey bool) map[string][]urgency {
	priorities := make(map[string][]int)
	for _, r := range routes {
		for _, t := range r.Targets {
			if !slices.Contains(priorities[t.Pool], r.Priority) {
				priorities[t.Pool] = append(priorities[t.Pool], r.Priority)
			}
		}
	}
	distinct := workspacesByPriority(routes, workspaces, requiresKey)
	levels := make(map[string][]urgency)
	for pool, all := range priorities {
		if len(all) < 2 {
			continue
		}
		for _, p := range all {
			for _, w := range distinct {
				if u := urgencyOf(&Route{Priority: p}, w); !slices.Contains(levels[pool], u) {
					levels[pool] = append(levels[pool], u)
				}
			}
		}
		slices.SortFunc(levels[pool], compareUrgency)
	}
	return levels
}

// workspacesByPriority returns one workspace for each priority that workspaces have, and nil too if
// there are requests to which no workspace's priority applies.
func workspacesByPriority(routes map[string]*Route, workspaces map[string]*Workspace, requiresKey bool) []*Workspace {
	var distinct []*Workspace
	hasOther := !requiresKey
	for _, w := range workspaces {
		switch {
		case !w.HasPriority:
			hasOther = true
		case !slices.ContainsFunc(distinct, func(o *Workspace) bool { return o.Priority == w.Priority }):
			distinct = append(distinct, w)
		}
	}
	for _, r := range routes {
		hasOther = hasOther || r.Anonymous
	}
	if hasOther {
		distinct = append(distinct, nil)
	}
	return distinct
}

// Urgency returns the level of a workspace's requests on a route to the pool, zero for the most
// urgent, and the number of levels, at most MaxLevels. Without differing priorities of the routes to
// the pool there is one level. The workspace may be nil.
func (s *Snapshot) Urgency(pool string, r *Route, w *Workspace) (level, levels int) {
	all := s.levels[pool]
	if len(all) == 0 {
		return 0, 1
	}
	levels = min(len(all), MaxLevels)
	// The route or the workspace may be of an earlier snapshot, so that its urgency isn't listed.
	at, _ := slices.BinarySearchFunc(all, urgencyOf(r, w), compareUrgency)
	return min(at, levels-1), levels
}

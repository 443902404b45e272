package state

import (
	"maps"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// Snapshot is an immutable view of all rows at one revision. The zero value is an empty
// snapshot.
type Snapshot struct {
	// Revision is the newest revision covered by the snapshot.
	Revision Revision
	// Configured means that a configuration has been read.
	Configured bool
	// Config is the version of the configuration, or zero if its operator states none.
	Config int64
	Limits Limits

	routes map[string]hostRoutes
	pools  map[string]*Pool
	// workspaces holds those with an API key, by key.
	workspaces  map[string]*Workspace
	requiresKey bool
	releases    map[string]Release
	upstreams   map[string][]*Upstream
	objectives  map[string]time.Duration
	levels      map[string][]urgency
	homeRows    homeRows
	evacuated   map[hosts.Domain]bool
}

// Pool returns the pool with the name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Pools returns the pools ordered by name.
func (s *Snapshot) Pools() []*Pool {
	all := make([]*Pool, 0, len(s.pools))
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		all = append(all, s.pools[name])
	}
	return all
}

// RouteNamed returns the route with the name, or nil.
func (s *Snapshot) RouteNamed(name string) *Route {
	for _, routes := range s.routes {
		for _, r := range routes {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// WorkspaceNamed returns the workspace with the name, or nil if there is none with an API key.
func (s *Snapshot) WorkspaceNamed(name string) *Workspace {
	for _, w := range s.workspaces {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Objective returns the shortest latency objective of the routes to the pool, or zero
// if none has one.
func (s *Snapshot) Objective(pool string) time.Duration { return s.objectives[pool] }

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int {
	n := 0
	for _, r := range s.routes {
		n += len(r)
	}
	return n
}

// Workspace returns the workspace that the API key belongs to, or nil.
func (s *Snapshot) Workspace(key string) *Workspace { return s.workspaces[key] }

// RequiresKey reports whether requests need an API key. They do if the configuration has workspaces,
// even if none of them has a key.
func (s *Snapshot) RequiresKey() bool { return s.requiresKey }

// Release returns the version of a model that engines should serve, or FirstVersion if
// none was released.
func (s *Snapshot) Release(model string) Release {
	if r, ok := s.releases[model]; ok {
		return r
	}
	return Release{Model: model, Version: FirstVersion}
}

// FirstVersion is the version of a model until another one is released.
const FirstVersion = 1

// Upstreams returns the upstreams of a pool ordered by ID. The slice must not be
// modified.
func (s *Snapshot) Upstreams(pool string) []*Upstream { return s.upstreams[pool] }

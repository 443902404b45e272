package state

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"currantport.example/core/hosts"
)

// Row is one published row. A nil value marks a deleted row.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	// NotBefore is the earliest time at which a release may have been published, by the clock
	// of package clocks, or zero if that is unknown. Other rows have none.
	NotBefore time.Time
}

// The kinds of rows. A key has the form KIND/NAME, or KIND/POOL/ID for an upstream.
const (
	KindRoute     = "route"
	KindPool      = "pool"
	KindWorkspace = "workspace"
	KindLimits    = "limits"
	KindConfig    = "config"
	KindRelease   = "release"
	KindUpstream  = "upstream"
	// KindEvacuation is an evacuation; its name is the failure domain.
	KindEvacuation = "evacuation"
)

// Builder builds snapshots from row changes. The zero value holds no rows. It isn't
// safe for concurrent use.
type Builder struct {
	routes     map[string]*Route
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	releases   map[string]Release
	upstreams  map[string]*Upstream
	evacuated  map[string]Evacuation
	limits     Limits
	// config keeps RequiresKey if the row is deleted, so that a missing row admits nobody.
	config     Config
	configured bool
	last       Snapshot
}

// RowError explains why a row was left out.
type RowError struct {
	Key      string
	Revision Revision
	Reason   string
}

// Apply applies changed rows and returns the snapshot at the given revision with the
// invalid rows. The previous version of an invalid row stays active.
func (b *Builder) Apply(revision Revision, rows []Row) (*Snapshot, []RowError) {
	if b.routes == nil {
		b.routes, b.pools = make(map[string]*Route), make(map[string]*Pool)
		b.workspaces, b.releases = make(map[string]*Workspace), make(map[string]Release)
		b.upstreams, b.evacuated = make(map[string]*Upstream), make(map[string]Evacuation)
	}
	var invalid []RowError
	changed := make(map[string]bool)
	for _, r := range rows {
		kind, name, _ := strings.Cut(r.Key, "/")
		if err := b.applyRow(kind, name, r); err != nil {
			invalid = append(invalid, RowError{Key: r.Key, Revision: r.Revision, Reason: err.Error()})
			continue
		}
		changed[kind] = true
	}
	return b.snapshot(revision, changed), invalid
}

func (b *Builder) applyRow(kind, name string, row Row) error {
	value := row.Value
	switch kind {
	case KindRoute:
		return putRow(b.routes, name, value, decodeRoute)
	case KindPool:
		return putRow(b.pools, name, value, decodePool)
	case KindWorkspace:
		return putRow(b.workspaces, name, value, decodeWorkspace)
	case KindRelease:
		return putRow(b.releases, name, value, func(value []byte) (Release, error) {
			r, err := decodeRelease(value)
			r.NotBefore = row.NotBefore
			return r.succeed(b.releases[name]), err
		})
	case KindUpstream:
		return putRow(b.upstreams, name, value, decodeUpstream)
	case KindEvacuation:
		return putRow(b.evacuated, name, value, decodeEvacuation)
	case KindConfig:
		if value == nil {
			b.config.Version = 0
			return nil
		}
		c, err := decodeConfig(value)
		if err == nil {
			b.config = c
		}
		return err
	case KindLimits:
		l, err := decodeLimits(value)
		if err == nil {
			b.limits, b.configured = l, true
		}
		return err
	}
	return errKind
}

func putRow[T any](into map[string]T, name string, value []byte, decode func([]byte) (T, error)) error {
	if value == nil {
		delete(into, name)
		return nil
	}
	row, err := decode(value)
	if err == nil {
		into[name] = row
	}
	return err
}

// snapshot rebuilds the indexes of the changed kinds and shares the others with the
// previous snapshot.
func (b *Builder) snapshot(revision Revision, changed map[string]bool) *Snapshot {
	s := b.last
	s.Revision, s.Limits, s.Config, s.Configured = revision, b.limits, b.config.Version, b.configured
	// Rows of an earlier release of the program don't state whether keys are required.
	s.requiresKey = b.config.RequiresKey || len(b.workspaces) > 0
	if changed[KindRoute] {
		s.routes, s.objectives = indexRoutes(b.routes), objectivesOf(b.routes)
	}
	if changed[KindRoute] || changed[KindWorkspace] || s.requiresKey != b.last.requiresKey {
		s.levels, s.homeRows = levelsOf(b.routes, b.workspaces, s.requiresKey), homeRowsOf(b.routes, b.workspaces)
	}
	if changed[KindPool] {
		s.pools = make(map[string]*Pool, len(b.pools))
		for _, p := range b.pools {
			s.pools[p.Name] = p
		}
	}
	if changed[KindWorkspace] {
		s.workspaces = indexKeys(b.workspaces)
	}
	if changed[KindRelease] {
		s.releases = make(map[string]Release, len(b.releases))
		for _, r := range b.releases {
			s.releases[r.Model] = r
		}
	}
	if changed[KindUpstream] {
		s.upstreams = groupUpstreams(b.upstreams)
	}
	if changed[KindEvacuation] {
		s.evacuated = make(map[hosts.Domain]bool, len(b.evacuated))
		for _, e := range b.evacuated {
			s.evacuated[e.Domain] = true
		}
	}
	b.last = s
	return &s
}

// indexKeys returns the workspaces by API key. An empty key would match the requests that have none.
func indexKeys(workspaces map[string]*Workspace) map[string]*Workspace {
	index := make(map[string]*Workspace)
	for _, w := range workspaces {
		for _, k := range w.Keys {
			if k != "" {
				index[k] = w
			}
		}
	}
	return index
}

// objectivesOf returns the shortest objective of the routes to each pool.
func objectivesOf(routes map[string]*Route) map[string]time.Duration {
	shortest := make(map[string]time.Duration)
	for _, r := range routes {
		for _, t := range r.Targets {
			if known := shortest[t.Pool]; r.Objective > 0 && (known == 0 || r.Objective < known) {
				shortest[t.Pool] = r.Objective
			}
		}
	}
	return shortest
}

func groupUpstreams(all map[string]*Upstream) map[string][]*Upstream {
	groups := make(map[string][]*Upstream)
	for _, u := range all {
		groups[u.Pool] = append(groups[u.Pool], u)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return groups
}

package state

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Row is one published row. A nil value stands for a row that is gone.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// The first parts of row keys. A key has the form KIND/NAME, or KIND/POOL/ID for an
// upstream.
const (
	KindRoute     = "route"
	KindPool      = "pool"
	KindWorkspace = "workspace"
	KindLimits    = "limits"
	KindRelease   = "release"
	KindUpstream  = "upstream"
)

// Builder makes snapshots of rows. The zero value holds none. It isn't safe for
// concurrent use.
type Builder struct {
	routes     map[string]*Route
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	releases   map[string]Release
	upstreams  map[string]*Upstream
	limits     Limits
	configured bool
	last       Snapshot
}

// RowError tells why a row was left out.
type RowError struct {
	Key      string
	Revision Revision
	Reason   string
}

// Apply takes changed rows and returns the snapshot at the given revision and the
// rows that it left out. A row that can't be read leaves the one before it in
// force.
func (b *Builder) Apply(revision Revision, rows []Row) (*Snapshot, []RowError) {
	if b.routes == nil {
		b.routes, b.pools = make(map[string]*Route), make(map[string]*Pool)
		b.workspaces, b.releases = make(map[string]*Workspace), make(map[string]Release)
		b.upstreams = make(map[string]*Upstream)
	}
	var faults []RowError
	changed := make(map[string]bool)
	for _, r := range rows {
		kind, name, _ := strings.Cut(r.Key, "/")
		if err := b.take(kind, name, r.Value); err != nil {
			faults = append(faults, RowError{Key: r.Key, Revision: r.Revision, Reason: err.Error()})
			continue
		}
		changed[kind] = true
	}
	return b.snapshot(revision, changed), faults
}

func (b *Builder) take(kind, name string, value []byte) error {
	switch kind {
	case KindRoute:
		return put(b.routes, name, value, decodeRoute)
	case KindPool:
		return put(b.pools, name, value, decodePool)
	case KindWorkspace:
		return put(b.workspaces, name, value, decodeWorkspace)
	case KindRelease:
		return put(b.releases, name, value, decodeRelease)
	case KindUpstream:
		return put(b.upstreams, name, value, decodeUpstream)
	case KindLimits:
		l, err := decodeLimits(value)
		if err == nil {
			b.limits, b.configured = l, true
		}
		return err
	}
	return errKind
}

func put[T any](into map[string]T, name string, value []byte, decode func([]byte) (T, error)) error {
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

// snapshot copies what has changed; the rest is shared with the snapshot before.
func (b *Builder) snapshot(revision Revision, changed map[string]bool) *Snapshot {
	s := b.last
	s.Revision, s.Limits, s.Configured = revision, b.limits, b.configured
	if changed[KindRoute] {
		s.routes, s.objectives = indexRoutes(b.routes), objectivesOf(b.routes)
	}
	if changed[KindPool] {
		s.pools = make(map[string]*Pool, len(b.pools))
		for _, p := range b.pools {
			s.pools[p.Name] = p
		}
	}
	if changed[KindWorkspace] {
		s.workspaces = make(map[string]*Workspace)
		for _, w := range b.workspaces {
			for _, k := range w.Keys {
				s.workspaces[k] = w
			}
		}
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
	b.last = s
	return &s
}

// objectivesOf returns the shortest objective of the routes to each pool.
func objectivesOf(routes map[string]*Route) map[string]time.Duration {
	least := make(map[string]time.Duration)
	for _, r := range routes {
		for _, t := range r.Targets {
			if known := least[t.Pool]; r.Objective > 0 && (known == 0 || r.Objective < known) {
				least[t.Pool] = r.Objective
			}
		}
	}
	return least
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

package feed

import (
	"cmp"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// failurePause is how long a source that failed is passed over the first time,
	// failurePauseMost after many failures in a row.
	failurePause     = 400 * time.Millisecond
	failurePauseMost = 3 * time.Second
	// stalePause is how long a source without a fresh proof is passed over.
	stalePause = time.Second
)

// Identity says where a process stands among those that share a feed.
type Identity struct {
	Self  hosts.Name
	Place hosts.Place
	Role  hosts.Role
}

// PlatformSource is the name of the platform among the sources.
const PlatformSource = hosts.Name("platform")

// SourceOrder returns the sources of a process, the best first. The entries are the live
// ones, the process itself included if it is one.
//
// In each failure domain the entry with the highest rendezvous rank leads: it reads
// the platform. The other entries pull from the leaders, that of the own domain
// first, then those of the own region. Agents pull from the entries of their domain
// in an order of their own, which spreads them, and then from others.
func (r Identity) SourceOrder(entries []hosts.Host) []hosts.Name {
	leaders := leadersOf(entries)
	if r.Role == hosts.RoleEntry && (len(entries) == 0 || leaders[r.Place.Domain] == r.Self) {
		return append([]hosts.Name{PlatformSource}, r.others(entries, leaders)...)
	}
	return append(r.others(entries, leaders), PlatformSource)
}

// others returns the other processes that the reader may pull from.
func (r Identity) others(entries []hosts.Host, leaders map[hosts.Domain]hosts.Name) []hosts.Name {
	type candidate struct {
		name  hosts.Name
		far   int
		score uint64
	}
	var all []candidate
	for _, h := range entries {
		leads := leaders[h.Place.Domain] == h.Name
		if h.Name == r.Self || r.Role == hosts.RoleEntry && !leads {
			continue
		}
		all = append(all, candidate{name: h.Name, far: r.distance(h.Place), score: hosts.Score("feed "+string(r.Self), h.Name)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(b.score, a.score))
	})
	names := make([]hosts.Name, len(all))
	for i, c := range all {
		names[i] = c.name
	}
	return names
}

func (r Identity) distance(p hosts.Place) int {
	switch {
	case p.Domain == r.Place.Domain:
		return 0
	case p.Region == r.Place.Region:
		return 1
	}
	return 2
}

// leadersOf returns the entry that reads the platform in each failure domain.
func leadersOf(entries []hosts.Host) map[hosts.Domain]hosts.Name {
	leaders := make(map[hosts.Domain]hosts.Name)
	for _, h := range entries {
		known, ok := leaders[h.Place.Domain]
		if !ok || hosts.Score("lead", h.Name) > hosts.Score("lead", known) {
			leaders[h.Place.Domain] = h.Name
		}
	}
	return leaders
}

// SourceSelector passes over sources that fail or lag. The zero value passes over none.
// It isn't safe for concurrent use.
type SourceSelector struct {
	sources map[hosts.Name]*standing
}

// standing is what is known of one source.
type standing struct {
	failures int
	until    time.Time
}

// Next returns the first source that isn't passed over, or the one that will be
// tried soonest and how long until then.
func (c *SourceSelector) Next(now time.Time, order []hosts.Name) (hosts.Name, time.Duration) {
	var soonest hosts.Name
	var wait time.Duration
	for i, name := range order {
		s := c.sources[name]
		if s == nil || !now.Before(s.until) {
			return name, 0
		}
		if left := s.until.Sub(now); i == 0 || left < wait {
			soonest, wait = name, left
		}
	}
	return soonest, wait
}

// RecordSuccess records an update from a source.
func (c *SourceSelector) RecordSuccess(name hosts.Name) { delete(c.sources, name) }

// RecordFailure records that a source gave no update. Spread is from 0 to 1 and keeps
// processes that fail together from coming back together.
func (c *SourceSelector) RecordFailure(now time.Time, name hosts.Name, spread float64) {
	s := c.of(name)
	pause := min(failurePause<<min(s.failures, 4), failurePauseMost)
	s.failures++
	s.until = now.Add(pause/2 + time.Duration(spread*float64(pause)))
}

// RecordStale records that a source has no fresh proof itself.
func (c *SourceSelector) RecordStale(now time.Time, name hosts.Name) {
	c.of(name).until = now.Add(stalePause)
}

func (c *SourceSelector) of(name hosts.Name) *standing {
	if c.sources == nil {
		c.sources = make(map[hosts.Name]*standing)
	}
	s := c.sources[name]
	if s == nil {
		s = &standing{}
		c.sources[name] = s
	}
	return s
}

package feed

import (
	"cmp"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

const (
	// A source that failed is skipped for failureBackoff, doubled with each further
	// failure up to maxFailureBackoff.
	failureBackoff    = 400 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// staleBackoff is how long a source without recent contact with the platform is
	// skipped.
	staleBackoff = time.Second
)

// Identity describes the process that reads a feed.
type Identity struct {
	Self  hosts.Name
	Place hosts.Place
	Role  hosts.Role
}

// PlatformSource is the name of the platform in lists of sources.
const PlatformSource = hosts.Name("platform")

// SourceOrder returns the sources of a process, best first. The entries are the live
// ones, including the process itself if it is an entry.
//
// In each failure domain the entry with the highest rendezvous rank is the leader: it
// reads the platform. The other entries pull from the leaders, first from that of their
// own domain, then from those of their region. Agents pull from the entries of their
// domain, then from others. Each agent ranks them differently, which spreads the load.
func (id Identity) SourceOrder(entries []hosts.Host) []hosts.Name {
	leaders := leadersOf(entries)
	if id.Role == hosts.RoleEntry && (len(entries) == 0 || leaders[id.Place.Domain] == id.Self) {
		return append([]hosts.Name{PlatformSource}, id.peers(entries, leaders)...)
	}
	return append(id.peers(entries, leaders), PlatformSource)
}

// peers returns the other processes from which this one may pull, best first.
func (id Identity) peers(entries []hosts.Host, leaders map[hosts.Domain]hosts.Name) []hosts.Name {
	type candidate struct {
		name     hosts.Name
		distance int
		score    uint64
	}
	var all []candidate
	for _, h := range entries {
		leads := leaders[h.Place.Domain] == h.Name
		if h.Name == id.Self || id.Role == hosts.RoleEntry && !leads {
			continue
		}
		all = append(all, candidate{name: h.Name, distance: id.distance(h.Place), score: hosts.Score("feed "+string(id.Self), h.Name)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score))
	})
	names := make([]hosts.Name, len(all))
	for i, c := range all {
		names[i] = c.name
	}
	return names
}

func (id Identity) distance(p hosts.Place) int {
	switch {
	case p.Domain == id.Place.Domain:
		return 0
	case p.Region == id.Place.Region:
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

// SourceSelector skips sources that failed or are stale. The zero value skips none. It
// isn't safe for concurrent use.
type SourceSelector struct {
	sources map[hosts.Name]*sourceHealth
}

// sourceHealth is the state of a source that failed or was stale.
type sourceHealth struct {
	failures int
	retryAt  time.Time
}

// Next returns the first source that isn't skipped and zero, or the source whose
// backoff ends first and the time until then.
func (s *SourceSelector) Next(now time.Time, order []hosts.Name) (hosts.Name, time.Duration) {
	var soonest hosts.Name
	var wait time.Duration
	for i, name := range order {
		h := s.sources[name]
		if h == nil || !now.Before(h.retryAt) {
			return name, 0
		}
		if left := h.retryAt.Sub(now); i == 0 || left < wait {
			soonest, wait = name, left
		}
	}
	return soonest, wait
}

// RecordSuccess records an update from a source and resets its backoff.
func (s *SourceSelector) RecordSuccess(name hosts.Name) { delete(s.sources, name) }

// RecordFailure records that a pull failed. The jitter is from 0 to 1 and keeps
// processes that fail together from retrying together.
func (s *SourceSelector) RecordFailure(now time.Time, name hosts.Name, jitter float64) {
	h := s.healthOf(name)
	backoff := min(failureBackoff<<min(h.failures, 4), maxFailureBackoff)
	h.failures++
	h.retryAt = now.Add(backoff/2 + time.Duration(jitter*float64(backoff)))
}

// RecordStale records that the source itself has lost contact with the platform or is
// behind.
func (s *SourceSelector) RecordStale(now time.Time, name hosts.Name) {
	s.healthOf(name).retryAt = now.Add(staleBackoff)
}

func (s *SourceSelector) healthOf(name hosts.Name) *sourceHealth {
	if s.sources == nil {
		s.sources = make(map[hosts.Name]*sourceHealth)
	}
	h := s.sources[name]
	if h == nil {
		h = &sourceHealth{}
		s.sources[name] = h
	}
	return h
}

package feed

import (
	"cmp"
	"math"
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
	// skipped. It is short enough for an entry to find the one that reads the platform in
	// place of its leader before it does so itself.
	staleBackoff = 500 * time.Millisecond
	// maxPlatformBackoff bounds the backoff of a leader that can't reach the platform, for which
	// other processes wait, and of an entry that has no other source.
	maxPlatformBackoff = time.Second
	// backupDelay is the time between the entries of a failure domain, in the order of their
	// ranks, to read the platform in place of the leader while the platform seems to be out.
	backupDelay = time.Second
	// directDelay bounds the delay of an entry whose sources are silent, which may mean that they
	// alone have failed. It leaves time to ask two other sources before, and to apply a change that
	// was published right after the last contact.
	directDelay = 500 * time.Millisecond
	// directSpacing is the time between the entries of a failure domain within that, up to maxDirectSpread.
	directSpacing   = 25 * time.Millisecond
	maxDirectSpread = 100 * time.Millisecond
	// outageWitnesses is the number of sources without contact that show an outage of the platform.
	outageWitnesses = 3
	// startSpread bounds StartDelay. It is several times as long as a read of all rows over a link
	// between regions, and short compared with the time that clients wait for an entry.
	startSpread = 600 * time.Millisecond
	// maxBackups is the number of entries behind the leader of each failure domain from which
	// other entries may pull.
	maxBackups = 1
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
// own domain, then from those of their region, and then from the entries that read the
// platform first in place of a leader. Agents pull from the entries of their domain, then
// from others. Each agent ranks them differently, which spreads the load.
func (id Identity) SourceOrder(entries []hosts.Host) []hosts.Name {
	ranks := ranksOf(entries)
	rank, listed := ranks[id.Self]
	if id.Role == hosts.RoleEntry && (len(entries) == 0 || listed && rank == 0) {
		return append([]hosts.Name{PlatformSource}, id.peers(entries, ranks)...)
	}
	return append(id.peers(entries, ranks), PlatformSource)
}

// NearestFirst returns the sources of an entry without rows, best first: the ready entries by distance,
// whatever their rank, then the platform. It returns false if no entry of its region is ready. All rows
// of a large fleet are too long to be sent to each entry over a link between regions.
func (id Identity) NearestFirst(entries []hosts.Host) ([]hosts.Name, bool) {
	others := slices.DeleteFunc(slices.Clone(entries), func(h hosts.Host) bool { return h.Name == id.Self })
	if id.Role != hosts.RoleEntry || !slices.ContainsFunc(others, func(h hosts.Host) bool { return id.distance(h.Place) < otherRegion }) {
		return nil, false
	}
	slices.SortFunc(others, func(a, b hosts.Host) int {
		return cmp.Or(cmp.Compare(id.distance(a.Place), id.distance(b.Place)), cmp.Compare(hosts.Score("feed "+string(id.Self), b.Name), hosts.Score("feed "+string(id.Self), a.Name)))
	})
	var names []hosts.Name
	for _, h := range others {
		names = append(names, h.Name)
	}
	return append(names, PlatformSource), true
}

// StartDelay returns how long an entry without rows that knows no ready entry of its region waits before
// it reads the platform. Where all entries of a region start together, the first ones read it and the
// others pull from these. The square root puts the first delays further apart than the later ones,
// since reads at the same time slow each other down.
func (id Identity) StartDelay() time.Duration {
	const scale = 1 << 20
	share := float64(hosts.Score("start", id.Self)%scale) / scale
	return time.Duration(math.Sqrt(share) * float64(startSpread))
}

// BackupRank returns the number of entries that read the platform in place of the leader of the failure
// domain before this one does. The members are the live entries, ready or not: in an outage none is ready
// in the end, and their order must stay.
func (id Identity) BackupRank(members []hosts.Host) int {
	ahead := 0
	for _, h := range members {
		if h.Place.Domain == id.Place.Domain && hosts.Score("lead", h.Name) > hosts.Score("lead", id.Self) {
			ahead++
		}
	}
	return max(ahead-1, 0)
}

// FallbackDelay returns how much longer than the first one an entry with the rank waits until it reads
// the platform in place of its leader. In an outage of the platform most entries wait for longer.
func FallbackDelay(rank int, outage bool) time.Duration {
	delay := time.Duration(rank) * backupDelay
	if outage && rank > 1 {
		return delay
	}
	return min(delay, directDelay+min(time.Duration(rank)*directSpacing, maxDirectSpread))
}

// peers returns the other processes from which this one may pull, best first.
func (id Identity) peers(entries []hosts.Host, ranks map[hosts.Name]int) []hosts.Name {
	type candidate struct {
		name     hosts.Name
		rank     int
		distance int
		score    uint64
	}
	var all []candidate
	for _, h := range entries {
		c := candidate{name: h.Name, distance: id.distance(h.Place)}
		if id.Role == hosts.RoleEntry {
			c.rank = ranks[h.Name]
		}
		if h.Name == id.Self || c.rank > maxBackups {
			continue
		}
		c.score = hosts.Score("feed "+string(id.Self), h.Name)
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score))
	})
	names := make([]hosts.Name, len(all))
	for i, c := range all {
		names[i] = c.name
	}
	return names
}

// otherRegion is the distance of places in other regions.
const otherRegion = 2

func (id Identity) distance(p hosts.Place) int {
	switch {
	case p.Domain == id.Place.Domain:
		return 0
	case p.Region == id.Place.Region:
		return 1
	}
	return otherRegion
}

// ranksOf returns the rank of each entry in its failure domain. The leader has rank zero.
func ranksOf(entries []hosts.Host) map[hosts.Name]int {
	type scored struct {
		name  hosts.Name
		score uint64
	}
	domains := make(map[hosts.Domain][]scored)
	for _, h := range entries {
		d := h.Place.Domain
		domains[d] = append(domains[d], scored{name: h.Name, score: hosts.Score("lead", h.Name)})
	}
	ranks := make(map[hosts.Name]int, len(entries))
	for _, all := range domains {
		slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		for i, e := range all {
			ranks[e.name] = i
		}
	}
	return ranks
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

// RecordFailure records that a pull failed. Longest bounds the backoff. The jitter is from
// 0 to 1 and keeps processes that fail together from retrying together.
func (s *SourceSelector) RecordFailure(now time.Time, name hosts.Name, longest time.Duration, jitter float64) {
	h := s.healthOf(name)
	backoff := min(failureBackoff<<min(h.failures, 4), longest)
	h.failures++
	h.retryAt = now.Add(backoff/2 + time.Duration(jitter*float64(backoff)))
}

// Failures returns the number of failed pulls from a source since the last update from it.
func (s *SourceSelector) Failures(name hosts.Name) int {
	if h := s.sources[name]; h != nil {
		return h.failures
	}
	return 0
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

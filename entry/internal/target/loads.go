package target

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/hosts"
)

// entryLoadTTL is how long an entry's report is valid. An entry with requests in progress
// sends several in that time.
const entryLoadTTL = 400 * time.Millisecond

// maxEntryLoads bounds the loads in a report, which is a single datagram.
const maxEntryLoads = 384

// EntryLoad is the load of one entry at one engine.
type EntryLoad struct {
	// Upstream is HashOf of the engine's id.
	Upstream uint64
	// Running is the number of requests in progress, Unread the prompt tokens of those
	// without a first event.
	Running int
	Unread  int
	// Held is how much longer the engine wants no requests from the entry. It isn't asked of
	// other entries.
	Held time.Duration
}

// entryLoadReport is the last report of another entry.
type entryLoadReport struct {
	receivedAt time.Time
	loads      []EntryLoad
}

// HashOf returns the hash that identifies an engine in an EntryLoad.
func HashOf(id string) uint64 { return xxhash.Sum64String(id) }

// EntryLoads returns the load of this entry at the upstreams where it has requests in progress or that
// want none from it, at most maxEntryLoads. If there are more, these are the ones with most requests.
func (f *Fleet) EntryLoads(now time.Time) []EntryLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []EntryLoad
	for id, u := range f.upstreams {
		if u.running > 0 || u.demands.isHeld(now) {
			all = append(all, EntryLoad{
				Upstream: HashOf(id), Running: u.running, Unread: max(u.unread, 0), Held: max(u.demands.heldUntil.Sub(now), 0),
			})
		}
	}
	if len(all) <= maxEntryLoads {
		return all
	}
	slices.SortFunc(all, func(a, b EntryLoad) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.Held, a.Held), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all[:maxEntryLoads]
}

// ReceiveEntryLoads replaces the reported loads of another entry of the region and drops
// expired reports.
func (f *Fleet) ReceiveEntryLoads(now time.Time, from hosts.Name, loads []EntryLoad) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entryLoads[from] = entryLoadReport{receivedAt: now, loads: loads}
	for name, r := range f.entryLoads {
		if now.Sub(r.receivedAt) > entryLoadTTL {
			delete(f.entryLoads, name)
		}
	}
	f.sumEntryLoads(now)
}

// sumEntryLoads adds up the reported loads by engine. The caller holds the mutex.
func (f *Fleet) sumEntryLoads(now time.Time) {
	sums := make(map[uint64]EntryLoad)
	for _, r := range f.entryLoads {
		for _, l := range r.loads {
			known := sums[l.Upstream]
			known.Running += l.Running
			known.Unread += l.Unread
			known.Held = max(known.Held, l.Held-now.Sub(r.receivedAt))
			sums[l.Upstream] = known
		}
	}
	for id, u := range f.upstreams {
		s := sums[HashOf(id)]
		u.regionRunning, u.regionUnread = s.Running, s.Unread
		u.recordKnown(now)
		u.heldElsewhereUntil = now.Add(s.Held)
	}
	f.sumFreeSlots(now)
}

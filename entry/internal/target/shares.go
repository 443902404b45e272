package target

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/hosts"
)

// shareLife is how long what an entry has told counts. It tells several times in that
// time while it has requests in progress.
const shareLife = 400 * time.Millisecond

// EntryLoad is what one entry has at an engine.
type EntryLoad struct {
	// Upstream is the hash of the engine's id.
	Upstream uint64
	// Running counts its requests, Unread the prompt tokens that haven't been answered
	// by a first event.
	Running int
	Unread  int
}

// told is what an entry has told last.
type told struct {
	at     time.Time
	shares []EntryLoad
}

// HashOf returns the hash by which an engine is named in a Share.
func HashOf(id string) uint64 { return xxhash.Sum64String(id) }

// EntryLoads returns what this entry has at engines.
func (f *Fleet) EntryLoads() []EntryLoad {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []EntryLoad
	for id, u := range f.upstreams {
		if u.running > 0 {
			all = append(all, EntryLoad{Upstream: HashOf(id), Running: u.running, Unread: max(u.unread, 0)})
		}
	}
	return all
}

// ReceiveEntryLoads takes what another entry of the region has at engines.
func (f *Fleet) ReceiveEntryLoads(now time.Time, from hosts.Name, shares []EntryLoad) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.shares[from] = told{at: now, shares: shares}
	for name, t := range f.shares {
		if now.Sub(t.at) > shareLife {
			delete(f.shares, name)
		}
	}
	f.sum()
}

// sum adds up what the other entries have told. The mutex is held.
func (f *Fleet) sum() {
	sums := make(map[uint64]EntryLoad)
	for _, t := range f.shares {
		for _, s := range t.shares {
			known := sums[s.Upstream]
			known.Running += s.Running
			known.Unread += s.Unread
			sums[s.Upstream] = known
		}
	}
	for id, u := range f.upstreams {
		s := sums[HashOf(id)]
		u.near, u.nearUnread = s.Running, s.Unread
	}
}

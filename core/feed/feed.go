// Package feed keeps a copy of what the platform publishes in every process,
// though few of them read the platform.
//
// # Copies
//
// A Mirror is the copy of one process. Updates bring it forward, never back: one
// that ends at an older revision changes nothing. Each update carries when its
// state was proven to be the newest, so that a process knows how old its copy is at
// most, over any number of hands.
//
// # Proof and contact
//
// A copy is proven to be the newest as of the time at which the platform was asked,
// since a change may follow at once. Contact is when the platform answered last. It says
// less, but grows old only if the way to the platform is broken, so that a process
// knows when to look for another one.
//
// # Followers
//
// A Follower pulls updates from the best source that it can reach. In each failure
// domain one entry reads the platform, the other processes pull from it; whoever
// gets no fresh update turns to another source, in the end to the platform itself.
//
// # Differences
//
// A source sends the rows that changed since the revision of the caller. A sum over
// all rows tells the caller whether its copy is the same; if not, it asks for all
// rows.
package feed

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/state"
)

// Update is a step from one state to a newer one.
type Update struct {
	// Head is the revision that the copy has after the update.
	Head state.Revision
	// Rows are those that changed, or all of them if Full is set.
	Rows []state.Row
	Full bool
	// Checksum covers all rows after the update. It counts only if Summed is set.
	Checksum    uint64
	HasChecksum bool
	// ConfirmedAt is when the state was the newest for certain, by the clock of package
	// clocks.
	ConfirmedAt time.Time
	// LastContact is when the platform answered last whoever the state comes from.
	LastContact time.Time
}

// Source hands out updates.
type Source interface {
	// Pull returns what has changed since the revision. It waits for a change or
	// for a newer proof, at most for the given time. Revision zero asks for all
	// rows.
	Pull(ctx context.Context, after state.Revision, wait time.Duration) (Update, error)
}

// Scope is the part of the rows that a process needs: those whose keys begin with
// one of its prefixes. An empty scope holds all rows.
type Scope []string

// Contains reports whether the scope holds the key.
func (s Scope) Contains(key string) bool {
	for _, p := range s {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return len(s) == 0
}

// AgentScope returns what the agent beside an upstream of a pool needs.
func AgentScope(pool string) Scope {
	return Scope{state.KindPool + "/", state.KindRelease + "/", state.KindUpstream + "/" + pool + "/"}
}

// sumOf returns what a row adds to the sum of all rows.
func sumOf(r state.Row) uint64 {
	if r.Value == nil {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Value)
	return d.Sum64()
}

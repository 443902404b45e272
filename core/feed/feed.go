// Package feed replicates the rows that the platform publishes to every process, while
// only a few processes read the platform.
//
// # Replicas
//
// A Mirror is the replica of one process. Updates only move it forward: one that ends
// at an older revision changes nothing. Each update carries the time at which its state
// was confirmed to be current, so a process knows an upper bound of the staleness of
// its replica however many processes relayed the update.
//
// # Confirmation and last contact
//
// A replica is confirmed to be current as of the time at which the platform was
// queried, because a change may follow right after. The last contact is the time of the
// last response of the platform. It says less about the rows, but it grows old only if
// the path to the platform is broken, so it tells a process when to switch to another
// source.
//
// # Eras
//
// A store that is restored from a copy begins an era: it has lost its latest changes and gives
// their revisions out again. A replica enters an era with all rows, and is unconfirmed until
// it has them. Rows that the store lost stay active beside the platform's rows until they are
// published again, and are passed on to processes that never had them.
//
// # Followers
//
// A Follower pulls updates from the best source that it can reach. In each failure
// domain one entry reads the platform and the other processes pull from it. A process
// that receives no fresh updates switches to another source, and finally to the
// platform itself.
//
// # Deltas
//
// A source sends the rows that changed since the revision of the requesting process. A
// checksum over all rows shows whether the replicas are equal; if not, the process
// requests all rows.
package feed

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/state"
)

// Update is the transition from one state to a newer one.
type Update struct {
	// Head is the revision of the replica after the update.
	Head state.Revision
	// Rows are the changed rows, or all rows if Full is set.
	Rows []state.Row
	Full bool
	// Checksum covers all rows after the update. It is valid only if HasChecksum is
	// set.
	Checksum    uint64
	HasChecksum bool
	// Retained are the rows of earlier eras that the source keeps active. They are no part of
	// Rows and Checksum.
	Retained []RetainedRow
	// ConfirmedAt is when the state was confirmed to be current, by the clock of
	// package clocks.
	ConfirmedAt time.Time
	// LastContact is when the platform last responded, to this or another process.
	LastContact time.Time
}

// Source provides updates.
type Source interface {
	// Pull returns the changes since the revision. It waits for a change or a newer
	// confirmation for at most the given time. Revision zero requests all rows.
	Pull(ctx context.Context, after state.Revision, wait time.Duration) (Update, error)
}

// Scope selects the rows that a process needs by key prefixes. An empty scope contains
// all rows.
type Scope []string

// Contains reports whether the scope contains the key.
func (s Scope) Contains(key string) bool {
	for _, p := range s {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return len(s) == 0
}

// AgentScope returns the scope of the agent of an upstream of the pool.
func AgentScope(pool string) Scope {
	return Scope{state.KindConfig + "/", state.KindPool + "/", state.KindRelease + "/", state.KindUpstream + "/" + pool + "/"}
}

// rowChecksum returns the contribution of a row to the checksum of all rows. Deleted
// rows contribute zero.
func rowChecksum(r state.Row) uint64 {
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

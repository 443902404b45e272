package proxy

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/state"
)

// Bounds are guarantees of the fleet that limit what a process with a stale replica may
// serve.
type Bounds struct {
	// MaxKeyStaleness is the staleness of the replica of the platform's rows above which no
	// request with a key is served, since the key may have been revoked.
	MaxKeyStaleness time.Duration
	// MaxMissStaleness is the staleness up to which a missing route or key counts as not
	// published. Above it the replica may lack recent rows.
	MaxMissStaleness time.Duration
}

// View is what a process knows when a request arrives.
type View struct {
	State *state.Snapshot
	// Since is when the state became active.
	Since time.Time
	// Staleness is the time since the state was last confirmed to be current, Confirmed
	// whether it ever was.
	Staleness time.Duration
	Confirmed bool
}

const (
	// startingRetryAfter is when to retry at a process that has no configuration yet, as far as the
	// client's timeout allows. After a loss of power engines take longer to load their weights than
	// entries to start, and most clients retry only once.
	startingRetryAfter = 1500 * time.Millisecond
	// staleRetryAfter is when to retry at a process whose replica is too stale.
	staleRetryAfter = 700 * time.Millisecond
)

// Admission is a request that may be served.
type Admission struct {
	Route *state.Route
	// Workspace is nil if the route needs no key.
	Workspace *state.Workspace
}

// Admit decides whether the active rows allow a request. It doesn't consider load. It keeps
// revoked routes and keys from being served, and a process that doesn't know a recent one
// yet from refusing it permanently.
func (b Bounds) Admit(v View, c *calls.Call) (Admission, *calls.Refusal) {
	if !v.State.Configured || !v.Confirmed {
		return Admission{}, calls.NotRun(calls.ReasonStarting, startingRetryAfter, "no configuration yet")
	}
	route := v.State.Match(c.Host, c.Path)
	if route == nil {
		if v.Staleness > b.MaxMissStaleness {
			return Admission{}, calls.NotRun(calls.ReasonStale, staleRetryAfter, "the copy of the routes is old")
		}
		return Admission{}, calls.NotRun(calls.ReasonNoRoute, 0, "no route matches")
	}
	a := Admission{Route: route}
	if route.Anonymous || !v.State.RequiresKey() {
		return a, nil
	}
	if v.Staleness > b.MaxKeyStaleness {
		return a, calls.NotRun(calls.ReasonStale, staleRetryAfter, "the copy of the keys is old")
	}
	a.Workspace = v.State.Workspace(c.Credential)
	if a.Workspace == nil {
		if v.Staleness > b.MaxMissStaleness {
			return a, calls.NotRun(calls.ReasonStale, staleRetryAfter, "the copy of the keys is old")
		}
		return a, calls.NotRun(calls.ReasonKeyUnknown, 0, "no workspace holds the key")
	}
	return a, nil
}

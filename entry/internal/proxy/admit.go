package proxy

import (
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/state"
)

// Bounds are promises of the fleet that decide whether a process may serve.
type Bounds struct {
	// MaxKeyStaleness is the age of the copy of the platform's rows from which on no request
	// with a key is served, since the key may have been taken away.
	MaxKeyStaleness time.Duration
	// MaxMissStaleness is the age up to which a missing route or key counts as one that the
	// operator didn't publish. Beyond it the copy may lack what is new.
	MaxMissStaleness time.Duration
}

// View is what a process knows when a request arrives.
type View struct {
	State *state.Snapshot
	// Staleness is for how long the state hasn't been proven to be the newest, Proven
	// whether it ever was.
	Staleness time.Duration
	Confirmed bool
}

const (
	// startWait is when to come back to a process that has no configuration yet.
	startWait = 500 * time.Millisecond
	// staleWait is the same for one whose copy is too old.
	staleWait = 700 * time.Millisecond
)

// Admission is a request that may be served.
type Admission struct {
	Route *state.Route
	// Workspace is nil if the route needs no key.
	Workspace *state.Workspace
}

// Admit decides whether a request may be served by the rows in force. It answers no
// load; it keeps what was taken away from being served, and what is there from being
// refused for good by a process that doesn't know of it.
func (b Bounds) Admit(v View, c *calls.Call) (Admission, *calls.Refusal) {
	if !v.State.Configured || !v.Confirmed {
		return Admission{}, calls.NotRun(calls.ReasonStarting, startWait, "no configuration yet")
	}
	route := v.State.Match(c.Host, c.Path)
	if route == nil {
		if v.Staleness > b.MaxMissStaleness {
			return Admission{}, calls.NotRun(calls.ReasonStale, staleWait, "the copy of the routes is old")
		}
		return Admission{}, calls.NotRun(calls.ReasonNoRoute, 0, "no route matches")
	}
	a := Admission{Route: route}
	if route.Anonymous || !v.State.RequiresKey() {
		return a, nil
	}
	if v.Staleness > b.MaxKeyStaleness {
		return a, calls.NotRun(calls.ReasonStale, staleWait, "the copy of the keys is old")
	}
	a.Workspace = v.State.Workspace(c.Credential)
	if a.Workspace == nil {
		if v.Staleness > b.MaxMissStaleness {
			return a, calls.NotRun(calls.ReasonStale, staleWait, "the copy of the keys is old")
		}
		return a, calls.NotRun(calls.ReasonKeyUnknown, 0, "no workspace holds the key")
	}
	return a, nil
}

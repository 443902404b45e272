// Package calls defines the contract of a request between a client, an entry and an agent.
//
// # Outcomes
//
// Each request ends in one of three ways. An answered request has the complete response of
// one upstream. A request that was not run has had no effect, and the process that reports
// this has proof. The outcome of any other request is unknown.
//
// # Keys
//
// A request to a route that isn't idempotent carries an idempotency key. All requests with
// the same key count as one request, which runs at most once. A key that was reported as
// not run is fenced: it runs only for a request that presents the token of that report.
package calls

import (
	"fmt"
	"time"
)

// ID identifies one attempt of a request on one hop.
type ID string

// Key is an idempotency key. Empty means none.
type Key string

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// Reason says why a request has no response.
type Reason string

// The reasons why a request has no response.
const (
	ReasonBadRequest Reason = "bad-request"
	ReasonTooLarge   Reason = "too-large"
	ReasonMediaType  Reason = "media-type"
	ReasonNoRoute    Reason = "no-route"
	ReasonNoPool     Reason = "no-pool"
	ReasonNoUpstream Reason = "no-upstream"
	ReasonKeyMissing Reason = "key-missing"
	ReasonKeyReused  Reason = "key-reused"
	ReasonOverload   Reason = "overload"
	ReasonHeld       Reason = "held"
	ReasonLimited    Reason = "limited"
	// ReasonHome is used if the home regions of a request have no upstream for it, ReasonEvacuated
	// if its upstreams are all in evacuated failure domains.
	ReasonHome        Reason = "home"
	ReasonEvacuated   Reason = "evacuated"
	ReasonDeadline    Reason = "deadline"
	ReasonLeaving     Reason = "leaving"
	ReasonStarting    Reason = "starting"
	ReasonVersion     Reason = "version"
	ReasonQuarantined Reason = "quarantined"
	ReasonRunning     Reason = "running"
	ReasonFenced      Reason = "fenced"
	ReasonLost        Reason = "lost"
	ReasonUpstream    Reason = "upstream"
	ReasonOwner       Reason = "owner"
	ReasonCanceled    Reason = "canceled"
	// ReasonStalled is used if the upstream was silent for as long as clients wait.
	ReasonStalled Reason = "stalled"
	// ReasonMemory is used if there is no memory for the body of the request or of its response.
	ReasonMemory Reason = "memory"
	// ReasonStale is used by a process whose replica of the platform's rows is too stale.
	ReasonStale Reason = "stale"
	// ReasonKeyUnknown is used for an API key that belongs to no workspace.
	ReasonKeyUnknown Reason = "key-unknown"
)

// Request is a request as processes of the system forward it.
type Request struct {
	ID        ID
	Route     string
	Workspace string
	Key       Key
	// Deadline is when the client stops waiting. It is always set.
	Deadline time.Time
	// Priority orders the requests of one workspace; a higher one goes first.
	Priority int
	// Stream is true if the client wants parts of the response as they become available.
	Stream bool
	// Media is the content type of the body.
	Media string
	// Token is the token of an earlier report that the key was not run, or empty.
	Token string
	// Body is at most MaxBodyBytes long and never changed.
	Body []byte
}

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 1 << 20

// Refusal ends a request without a response. It is an error.
type Refusal struct {
	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfter is when the client should retry. Zero means that a retry doesn't help.
	RetryAfter time.Duration
	// Token is what a client must present to run the same key after all. It is set only if
	// a key was reported as not run.
	Token string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NotRun returns a refusal of a request that has had no effect.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

package calls

import (
	"net/http"
	"time"

	"currantport.example/core/state"
)

// Call is a client's request as an entry reads it.
type Call struct {
	// ID is chosen by the client and identifies this attempt of the client.
	ID     ID
	Method string
	// Host is as the client sent it. Path has no query, Target includes it.
	Host   string
	Path   string
	Target string
	// Header holds the fields that are forwarded to the upstream unchanged.
	Header http.Header
	// Credential is the client's API key, or empty.
	Credential string
	// Timeout is how long the client waits, or zero if it doesn't say.
	Timeout time.Duration
	// Model is empty if the request names none.
	Model string
	// Prompt is the length of the prompt and MaxOutput the maximum length of the output,
	// both in tokens.
	Prompt    int
	MaxOutput int
	// PromptParts identify the parts of the prompt that other requests may share, in order. The
	// part that belongs to the request or its session isn't among them.
	PromptParts []string
	// ExpectedOutput is the client's estimate of the output in tokens, or zero.
	ExpectedOutput int
	// LastEventID is the id of the last event that the client has received, or empty.
	LastEventID string
	Body        []byte
}

// EstimateOutput returns the expected output in tokens. Usual is used if the request has no
// estimate.
func (c *Call) EstimateOutput(usual int) int {
	n := c.ExpectedOutput
	if n <= 0 {
		n = usual
	}
	if c.MaxOutput > 0 {
		n = min(n, c.MaxOutput)
	}
	return n
}

// Attempt is one attempt to send a call to an upstream.
type Attempt struct {
	Upstream *state.Upstream
	// Remaining is how long the upstream may take.
	Remaining time.Duration
	// Workspace is the workspace that the client's key belongs to, or empty if the route
	// needs no key.
	Workspace string
	// Version is the version that the engine must serve, or zero for any.
	Version int
	// LastEventID is the id of the last event that the client has received, or empty.
	LastEventID string
	// Priority is the urgency of the request for the engine, from 0 for the most urgent to 9.
	// HasPriority is set if the requests of the pool differ in urgency.
	Priority    int
	HasPriority bool
}

// ReplyKind is what the head of an upstream's response says about the request.
type ReplyKind int

// The kinds of replies.
const (
	// ReplyAnswered is a response, successful or not: the request has run.
	ReplyAnswered ReplyKind = iota
	// ReplyDeclined guarantees that the request has not run.
	ReplyDeclined
	// ReplyMoved guarantees the same: the address belongs to another upstream now, or
	// another version is served.
	ReplyMoved
	// ReplyMismatched is not a response to this request.
	ReplyMismatched
)

// Reply is what an entry reads from the head of an upstream's response.
type Reply struct {
	Kind ReplyKind
	// Success is true for a successful response that the upstream confirms as its own.
	Success bool
	// Version is the version of the weights, or zero.
	Version int
	// RetryAfter is how long the upstream wants no further requests from this process, or
	// zero. RetryAfterInvalid is the text of a value that states no such time, or empty.
	RetryAfter        time.Duration
	RetryAfterInvalid string
	// Leaving is true if the upstream is shutting down.
	Leaving bool
	// ColdFor is how much longer the upstream is cold. HasCold is true if the response states it,
	// also if it is zero.
	ColdFor time.Duration
	HasCold bool
	// ColdInvalid is the text of a value that states no such time, or empty.
	ColdInvalid string
	// Limited is true if the upstream names the number of requests a second that it takes
	// from all entries together. Limit is that number, finite and not negative.
	Limited bool
	Limit   float64
	// LimitInvalid is the text of a value that names no such number, or empty. Such a
	// response says nothing about a limit.
	LimitInvalid string
}

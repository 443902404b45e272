package calls

import (
	"net/http"
	"time"

	"currantport.example/core/state"
)

// Call is a caller's request as an entry reads it.
type Call struct {
	// ID is the caller's own and names this one try of it.
	ID     ID
	Method string
	// Host is as the caller sent it; Path lacks the query, Target has it.
	Host   string
	Path   string
	Target string
	// Header holds what is handed on to the upstream unchanged.
	Header http.Header
	// Credential is the caller's key, or empty.
	Credential string
	// Timeout is how long the caller waits, or zero if it doesn't say.
	Timeout time.Duration
	// Model is empty if the request names none.
	Model string
	// Prompt and Output are the number of tokens to read and, at most, to write.
	Prompt    int
	MaxOutput int
	// ExpectedOutput is the caller's estimate of the tokens to write, or zero.
	ExpectedOutput int
	// LastEventID is the id of the last event that the caller has, or empty.
	LastEventID string
	Body        []byte
}

// EstimateOutput returns the number of tokens that the answer is expected to have. Usual is
// used if the request doesn't say.
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

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	Upstream *state.Upstream
	// Remaining is how long the upstream may take.
	Remaining time.Duration
	// Workspace holds the caller's key, or is empty if the route needs none.
	Workspace string
	// Version is the version that the engine must serve, or zero.
	Version int
	// LastEventID is the id of the last event that the caller has, or empty.
	LastEventID string
}

// ReplyKind is what an upstream says of a request by the head of its answer.
type ReplyKind int

// The verdicts of an upstream.
const (
	// ReplyAnswered is an answer, good or bad: the request has run.
	ReplyAnswered ReplyKind = iota
	// ReplyDeclined promises that the request has not run.
	ReplyDeclined
	// ReplyMoved promises the same: another upstream has the address, or another
	// version is served.
	ReplyMoved
	// ReplyMismatched is no answer to the request.
	ReplyMismatched
)

// Reply is what the head of an upstream's answer says.
type Reply struct {
	Kind ReplyKind
	// Success tells that the answer is a success that the upstream vouches for.
	Success bool
	// Version is that of the weights, or zero.
	Version int
	// RetryAfter is when the upstream wants to be asked again, or zero.
	RetryAfter time.Duration
}

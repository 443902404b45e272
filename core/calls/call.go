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
	// Patience is how long the caller waits, or zero if it doesn't say.
	Patience time.Duration
	// Model is empty if the request names none.
	Model string
	// Prompt and Output are the number of tokens to read and, at most, to write.
	Prompt int
	Output int
	// Expected is the caller's estimate of the tokens to write, or zero.
	Expected int
	// After is the id of the last event that the caller has, or empty.
	After string
	Body  []byte
}

// Answer returns the number of tokens that the answer is expected to have. Usual is
// used if the request doesn't say.
func (c *Call) Answer(usual int) int {
	n := c.Expected
	if n <= 0 {
		n = usual
	}
	if c.Output > 0 {
		n = min(n, c.Output)
	}
	return n
}

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	Upstream *state.Upstream
	// Left is how long the upstream may take.
	Left time.Duration
	// Workspace holds the caller's key, or is empty if the route needs none.
	Workspace string
	// Version is the version that the engine must serve, or zero.
	Version int
	// After is the id of the last event that the caller has, or empty.
	After string
}

// Verdict is what an upstream says of a request by the head of its answer.
type Verdict int

// The verdicts of an upstream.
const (
	// VerdictAnswer is an answer, good or bad: the request has run.
	VerdictAnswer Verdict = iota
	// VerdictDeclined promises that the request has not run.
	VerdictDeclined
	// VerdictMoved promises the same: another upstream has the address, or another
	// version is served.
	VerdictMoved
	// VerdictForeign is no answer to the request.
	VerdictForeign
)

// Reply is what the head of an upstream's answer says.
type Reply struct {
	Verdict Verdict
	// Good tells that the answer is a success that the upstream vouches for.
	Good bool
	// Version is that of the weights, or zero.
	Version int
	// Wait is when the upstream wants to be asked again, or zero.
	Wait time.Duration
}

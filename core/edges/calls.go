package edges

import (
	"net/http"

	"currantport.example/core/calls"
	"currantport.example/core/conns"
)

// ClientCodec spells the requests and refusals of callers.
type ClientCodec interface {
	// Call reads the head of a caller's request.
	Call(r *http.Request) (calls.Call, *calls.Refusal)
	// Refuse tells a caller that the request has no answer.
	Refuse(w http.ResponseWriter, c *calls.Call, r *calls.Refusal)
}

// UpstreamCodec spells the requests that upstreams get and the answers that they give.
type UpstreamCodec interface {
	// Request returns what an attempt sends.
	Request(c *calls.Call, a calls.Attempt) *conns.Request
	// Reply reads the head of an answer.
	Reply(c *calls.Call, status int, h http.Header) calls.Reply
	// Pass returns the header of an answer as the caller gets it.
	Pass(h http.Header) http.Header
}

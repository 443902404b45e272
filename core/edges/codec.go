package edges

import (
	"net/http"

	"currantport.example/core/calls"
	"currantport.example/core/conns"
)

// ClientCodec translates between client HTTP and the domain types.
type ClientCodec interface {
	// ParseRequest decodes the head of a client request. A refusal means that the request
	// is invalid; the call then holds what was decoded before the error.
	ParseRequest(r *http.Request) (calls.Call, *calls.Refusal)
	// WriteRefusal writes the response to a request that is refused.
	WriteRefusal(w http.ResponseWriter, c *calls.Call, r *calls.Refusal)
}

// UpstreamCodec translates between upstream HTTP and the domain types.
type UpstreamCodec interface {
	// BuildRequest returns the request that an attempt sends.
	BuildRequest(c *calls.Call, a calls.Attempt) *conns.Request
	// ClassifyResponse interprets the head of a response.
	ClassifyResponse(c *calls.Call, status int, h http.Header) calls.Reply
	// ResponseHeader returns the headers of a response to forward to the client.
	ResponseHeader(h http.Header) http.Header
}

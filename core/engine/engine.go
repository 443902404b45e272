// Package engine holds the contract between an agent and the upstream beside
// it: a model engine, which takes orders, or a plain service, which doesn't.
package engine

import (
	"context"
	"io"
	"net/url"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/chunks"
	"currantport.example/core/state"
)

// Fence orders the orders to one engine. A greater one is newer.
type Fence uint64

// Order tells an engine what to serve.
type Order struct {
	Fence    Fence
	Model    string
	Version  string
	Manifest chunks.Digest
	// Base is the manifest that an adapter is applied to. Zero means none.
	Base chunks.Digest
	Role string
	// Files is where the engine reads the files of the version, by path below
	// it. The file list stands at the address itself.
	Files url.URL
	// BaseFiles is where it reads the files of the base. It is empty without one.
	BaseFiles url.URL
}

// State is what an engine reports about itself.
type State struct {
	// Fence is that of the last order that the engine took. Some engines don't
	// report it, which reads as zero.
	Fence    Fence
	Model    string
	Version  string
	Manifest chunks.Digest
	// Base and Role are those of the order that the engine serves.
	Base chunks.Digest
	Role string
	// Loading tells that an order is being carried out.
	Loading bool
	// Running is the number of requests in progress. It lags.
	Running int
	// StartID is unique to the run of the engine.
	StartID string
	// CacheSerial counts the changes of the prefix cache since the start.
	CacheSerial uint64
	// CacheChanges are the last of them, up to the serial. Some may be missing.
	CacheChanges []CacheChange
}

// CacheChange tells that the prefix cache took a prefix in or dropped it.
type CacheChange struct {
	// PrefixHash is the xxHash of the first 256 bytes of a request's body.
	PrefixHash uint64
	Evicted    bool
}

// Response is the head of an answer in progress.
type Response struct {
	// Version is the one that the upstream says it answers with. It is empty
	// for a plain service.
	Version string
	// Status is the HTTP status of the upstream.
	Status int
	Media  string
	// Body ends with io.EOF only if the answer is whole. The receiver of the
	// answer closes it, which cancels what has not ended.
	Body io.ReadCloser
}

// NotStartedError proves that the upstream has not started a request and won't: it
// was not sent, or the upstream refused it.
type NotStartedError struct{ Cause error }

// Error implements error.
func (e *NotStartedError) Error() string { return "not sent to the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// ConnectionLostError tells that the connection to the upstream broke after a request was
// sent, as it does when the upstream crashes.
type ConnectionLostError struct{ Cause error }

// Error implements error.
func (e *ConnectionLostError) Error() string { return "the upstream was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// Service runs requests.
type Service interface {
	// Run gives a request to the upstream, once. An UnsentError proves that it
	// was not started; after any other error it may have run.
	Run(ctx context.Context, request calls.Request) (Response, error)
}

// Engine is a service that takes orders.
type Engine interface {
	Service
	// State returns what the engine reports.
	State(ctx context.Context) (State, error)
	// Load carries out an order. It returns once the engine serves the version
	// or has refused.
	Load(ctx context.Context, order Order) error
}

// Status is what an engine says of itself to the agent beside it.
type Status struct {
	// Started is when the engine started, by its own clock, or zero.
	Started time.Time
	// Busy tells that an order is being carried out, Orders counts those taken since
	// the start.
	Busy       bool
	OrderCount uint64
	// Queued and Active are the requests that wait and that run.
	Queued int
	Active int
	// UsedTokens and Total are the tokens in memory and those that fit.
	UsedTokens  int
	TotalTokens int
	// Pace is above one for a slow engine.
	Pace float64
	Held []state.HeldVersion
}

// Holds reports whether the engine serves the version of the model whole.
func (s *Status) Holds(model string, version int) bool {
	for _, h := range s.Held {
		if h.Model == model && h.Version == version && h.Whole {
			return true
		}
	}
	return false
}

// Ack is how an engine took an order.
type Ack string

// The answers to an order.
const (
	// AckStarted tells that the order has begun, AckDone that it is in effect.
	AckStarted Ack = "begun"
	AckDone    Ack = "done"
	// AckConflict tells that the order doesn't fit the state of the engine.
	AckConflict Ack = "unfit"
	// AckFenced tells that an order with a higher fencing token came before.
	AckFenced Ack = "fenced"
)

// Local is an engine that takes its weights piece by piece from the agent on its own
// host.
type Local interface {
	Status(ctx context.Context) (Status, error)
	// Staged lists the pieces of a model that lie staged. They may have gone bad.
	Staged(ctx context.Context, model string) ([]int, error)
	// ReadStaged returns a staged piece as it is now.
	ReadStaged(ctx context.Context, model string, piece int) ([]byte, error)
	// Stage puts a piece in place of the one staged before.
	Stage(ctx context.Context, model string, piece int, data []byte) error
	// Load orders the engine to serve what is staged, once what runs has ended. It
	// takes no requests until then.
	Load(ctx context.Context, model string, version int) (Ack, error)
}

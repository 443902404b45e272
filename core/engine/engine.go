// Package engine defines the interface between an agent and the upstream on its
// host: a model engine, which accepts orders to load versions, or a plain service,
// which doesn't.
package engine

import (
	"context"
	"errors"
	"io"
	"net/url"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/chunks"
	"currantport.example/core/state"
)

// Fence is a fencing token that numbers the orders to one engine. A greater one
// is newer.
type Fence uint64

// Order instructs an engine to load and serve a version.
type Order struct {
	Fence    Fence
	Model    string
	Version  string
	Manifest chunks.Digest
	// Base is the manifest of the base version that an adapter applies to. Zero
	// means none.
	Base chunks.Digest
	Role string
	// Files is the URL below which the engine reads the files of the version by
	// path. The URL itself returns the file list.
	Files url.URL
	// BaseFiles is the same for the files of the base version. It is empty without
	// one.
	BaseFiles url.URL
}

// State is what an engine reports about itself.
type State struct {
	// Fence is the fence of the last order that the engine accepted, or zero for
	// an engine that doesn't report it.
	Fence    Fence
	Model    string
	Version  string
	Manifest chunks.Digest
	// Base and Role are copied from the order that the engine serves.
	Base chunks.Digest
	Role string
	// Loading is set while an order is in progress.
	Loading bool
	// Running is the number of requests in progress. It may be out of date.
	Running int
	// StartID identifies the engine process; it changes with each start.
	StartID string
	// CacheSerial counts the changes of the prefix cache since the start.
	CacheSerial uint64
	// CacheChanges holds the latest changes, up to CacheSerial. Older ones may be
	// missing.
	CacheChanges []CacheChange
}

// CacheChange reports that the prefix cache added or evicted a prefix.
type CacheChange struct {
	// PrefixHash is the xxHash64 of the first 256 bytes of a request's body.
	PrefixHash uint64
	Evicted    bool
}

// Response is the head of a response whose body is still being received.
type Response struct {
	// Version is the version that the upstream reports to have used. It is empty
	// for a plain service.
	Version string
	// Status is the HTTP status of the upstream.
	Status int
	Media  string
	// Body ends with io.EOF only if the response is complete. The caller must
	// close it, which cancels a request in progress.
	Body io.ReadCloser
}

// NotStartedError proves that the upstream has not started a request or an order and
// never will: it was not sent, or the upstream refused it.
type NotStartedError struct{ Cause error }

// Error implements error.
func (e *NotStartedError) Error() string { return "not sent to the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// ConnectionLostError means that the connection to the upstream broke after a
// request was sent, as it does when the upstream crashes.
type ConnectionLostError struct{ Cause error }

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return "the upstream was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// Service runs requests.
type Service interface {
	// Run sends a request to the upstream at most once. A NotStartedError proves
	// that it was not started; after any other error it may have run.
	Run(ctx context.Context, request calls.Request) (Response, error)
}

// Engine is a service that accepts orders.
type Engine interface {
	Service
	// State returns the state that the engine reports.
	State(ctx context.Context) (State, error)
	// Load sends an order. It returns once the engine serves the version or has
	// refused the order.
	Load(ctx context.Context, order Order) error
}

// ErrNotStaged means that an engine has no staged piece with the index.
var ErrNotStaged = errors.New("the piece isn't staged")

// Layers is a range of the layers of a model. To is exclusive. The zero value means all of them.
type Layers struct {
	From int
	To   int
}

// Intersect returns the layers of both ranges, neither of which may be the zero value, and false if there
// are none.
func (l Layers) Intersect(o Layers) (Layers, bool) {
	r := Layers{From: max(l.From, o.From), To: min(l.To, o.To)}
	if r.From >= r.To {
		return Layers{}, false
	}
	return r, true
}

// Status is the state that an engine reports to the agent on its host.
type Status struct {
	// Started is the start time by the engine's clock, or zero if it isn't reported.
	Started time.Time
	// Busy is set while an order is in progress. OrderCount counts the orders accepted
	// since the start.
	Busy       bool
	OrderCount uint64
	// Queued and Active are the numbers of waiting and of running requests.
	Queued int
	Active int
	// UsedTokens and TotalTokens are the use and the capacity of the engine's memory.
	UsedTokens  int
	TotalTokens int
	// Pace is the ratio of actual to modeled time: above one for a slow engine.
	Pace float64
	// Leaving is set while the engine is shutting down.
	Leaving bool
	Held    []state.HeldVersion
	// Layers are those that the engine holds of its version, or the zero value if it doesn't report them.
	Layers Layers
}

// Holds reports whether the engine has all layers of the version of the model loaded.
func (s *Status) Holds(model string, version int) bool {
	for _, h := range s.Held {
		if h.Model == model && h.Version == version && h.Whole {
			return true
		}
	}
	return false
}

// Ack is the response of an engine to an order.
type Ack string

// The responses to an order.
const (
	// AckStarted means that the order is in progress, AckDone that it is complete.
	AckStarted Ack = "begun"
	AckDone    Ack = "done"
	// AckConflict means that the order is invalid in the engine's current state, or that its
	// order count isn't the expected one.
	AckConflict Ack = "unfit"
	// AckFenced means that the engine has accepted an order with a higher fence.
	AckFenced Ack = "fenced"
)

// Local is an engine whose weights are staged piece by piece by the agent on the same
// host.
type Local interface {
	Status(ctx context.Context) (Status, error)
	// Staged lists the indices of the staged pieces of a model. Their content may be
	// corrupt.
	Staged(ctx context.Context, model string) ([]int, error)
	// ReadStaged returns the current content of a staged piece, or ErrNotStaged.
	ReadStaged(ctx context.Context, model string, piece int) ([]byte, error)
	// Stage stores a piece, replacing any piece with the same index.
	Stage(ctx context.Context, model string, piece int, data []byte) error
	// Load orders the engine to serve the staged weights once the running requests have
	// ended. The engine accepts no requests until the load is complete. Layers of the version
	// that it holds are kept, those outside of the range are dropped. It rejects the order
	// with AckConflict unless its order count is the expected one. After an error
	// other than NotStartedError, the order may be accepted until the count is another.
	Load(ctx context.Context, model string, version int, layers Layers, expected uint64) (Ack, error)
}

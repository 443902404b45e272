// Package state holds what the platform publishes, as one immutable snapshot.
//
// # Rows
//
// Operators publish routes, pools, workspaces and limits; the platform lists the
// upstreams; whoever trains a model releases versions of it. Each row has a key, a
// value in the product's own form and a revision. Rows that can't be read are
// left out, and the others hold.
//
// # Joins
//
// A route names pools, a pool has upstreams and may have models, a model has a
// released version. They are joined by name when a request needs them, so that
// rows may come in any order.
package state

import (
	"net/netip"
	"time"
)

// Revision orders what the platform publishes. Zero means none.
type Revision uint64

// Route says which pools answer the requests to a host name below a path.
type Route struct {
	Name string
	// Host is the host name that callers ask for.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets is never empty.
	Targets []Target
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Stream tells that the answer is a series of events.
	Stream bool
	// Resumable tells that a stream may go on at another upstream behind the last
	// event that has come.
	Resumable bool
	// Timeout bounds the time for which a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective, to the first event for a stream.
	Objective time.Duration
	// MaxEventGap is the longest pause between events for which a stream is on time. Zero
	// means no bound.
	MaxEventGap time.Duration
	// MaxAttempts is the most upstreams to which one request is sent, at least one.
	MaxAttempts int
	// Priority orders requests; zero goes first.
	Priority int
	// Anonymous tells that requests need no key.
	Anonymous bool
}

// IsRetryable reports whether a request that may have run may be sent again.
func (r *Route) IsRetryable() bool { return r.Idempotent || r.Stream && r.Resumable }

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool string
	// Weight is above zero.
	Weight int
}

// Pool is a set of upstreams that answer the same requests.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all callers to one upstream. Zero means
	// no bound.
	MaxConnections int
	// Engine is absent from pools of plain services.
	Engine *Engine
	// Origin is set if the pool hands out weights and answers no requests.
	Origin *Origin
}

// Engine says how the engines of a pool work. Rates and times are those of a sound
// engine.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Stride is the number of steps that a pass takes for running requests.
	Stride int
	// StepTime is the time of a step, StepRequest what each running request adds and
	// StepContext what each 1,000 tokens of context add.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	StepTimePerContext time.Duration
	// PrefillRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// PrefillPairTime is what a million pairs of a token and an earlier one add.
	PrefillPairTime time.Duration
	// MaxPrefillTokens is the number of prompt tokens read in a step at most.
	MaxPrefillTokens int
	// MemoryTokens is the number of tokens that fit.
	MemoryTokens int
	// PromptTokens and Answer are the usual numbers of tokens of a request.
	PromptTokens int
	OutputTokens int
	// Models are those that the pool may serve.
	Models []Model
	// Layers and Pieces are the numbers of layers and pieces of a version.
	Layers     int
	Pieces     int
	PieceBytes int
}

// Model is a model that engines of a pool may hold.
type Model struct {
	Name string
	// LoadTime is the time that an engine takes to load a version.
	LoadTime time.Duration
}

// Origin is where weights are published.
type Origin struct {
	Address netip.AddrPort
	Domain  string
	// Rate is that of its link in bytes a second, or zero if it isn't known.
	Rate float64
	// MaxConnections bounds those of all callers. Zero means no bound.
	MaxConnections int
}

// Workspace is a customer with the keys of its requests.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of a route if Ranked is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Release is the version of a model that engines are to serve.
type Release struct {
	Model   string
	Version int
}

// Upstream is a process that answers the requests of a pool.
type Upstream struct {
	// ID names one start of the process, as a rule.
	ID      string
	Pool    string
	Address netip.AddrPort
	Domain  string
	// Draining tells that the upstream leaves and takes no new requests.
	Draining bool
	// Slots is the number of requests that run at once.
	Slots int
	// Started is when the process started, by its own clock, or zero.
	Started time.Time
	// Held are the models that an engine serves.
	Held []HeldVersion
}

// HeldVersion is a version of a model that an engine holds.
type HeldVersion struct {
	Model   string
	Version int
	// Whole tells that the engine holds every layer.
	Whole bool
}

// SameProcess reports whether two rows stand for the same start of a process.
func (u *Upstream) SameProcess(o *Upstream) bool {
	return u.ID == o.ID && u.Address == o.Address && u.Started.Equal(o.Started)
}

// Version returns the version of a model that the upstream holds whole, or zero.
func (u *Upstream) Version(model string) int {
	for _, h := range u.Held {
		if h.Model == model && h.Whole {
			return h.Version
		}
	}
	return 0
}

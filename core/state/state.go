// Package state holds the configuration and the upstreams that the platform publishes,
// as one immutable snapshot.
//
// # Rows
//
// Operators publish routes, pools, workspaces and limits; the platform lists the
// upstreams; model owners release versions of their models. Each row has a key, a JSON
// value and a revision. Invalid rows are left out without affecting the others.
//
// # Joins
//
// A route names pools, a pool has upstreams and may have models, a model has a released
// version. References are resolved by name when a request needs them, so rows may
// arrive in any order.
package state

import (
	"net/netip"
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// Revision orders the published changes. Zero means none. It holds the era of the platform's
// store in its upper bits and the store's own number below: a store that is restored from a copy
// begins an era and gives numbers out again.
type Revision uint64

// numberBits is the size of a store's own numbers in a Revision. It leaves room for 65,535
// eras and, at 35,000 changes a day, for more than any store's life.
const numberBits = 48

// NewRevision returns the revision with the store's number in the era. Numbers and eras that
// don't fit are an error, since they would no longer be in order.
func NewRevision(era, number uint64) (Revision, error) {
	if number >= 1<<numberBits || era >= 1<<(64-numberBits) {
		return 0, errRevision
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era. Zero is that of a store which states none.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own number.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// Route maps the requests for a host name and a path prefix to pools.
type Route struct {
	Name string
	// Host is the host name of the requests.
	Host string
	// Prefix is a path that begins and ends with a slash.
	Prefix string
	// Targets is never empty.
	Targets []Target
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// Stream means that the response is a stream of events.
	Stream bool
	// Resumable means that another upstream can continue a stream after the last event
	// received.
	Resumable bool
	// Timeout bounds the time that a request may wait.
	Timeout time.Duration
	// Objective is the latency objective. For a stream it covers the time to first
	// event.
	Objective time.Duration
	// MaxEventGap is the longest event gap with which a stream still meets its
	// objective. Zero means no bound.
	MaxEventGap time.Duration
	// StallTimeout is how long clients wait for the next event of a stream before they disconnect. Zero
	// means that it isn't known.
	StallTimeout time.Duration
	// MaxAttempts is the maximum number of upstreams to which one request is sent, at
	// least one.
	MaxAttempts int
	// Priority orders requests; zero goes first.
	Priority int
	// Anonymous means that requests need no API key.
	Anonymous bool
	// Homes are the regions whose upstreams may serve the requests. Empty means any.
	Homes []hosts.Region
}

// Config holds the properties of the whole configuration.
type Config struct {
	// Version is zero if the operator states none.
	Version int64
	// RequiresKey means that requests need an API key, unless their route is anonymous.
	RequiresKey bool
}

// IsRetryable reports whether a request that may already have run may be sent again.
func (r *Route) IsRetryable() bool { return r.Idempotent || r.Stream && r.Resumable }

// Target is a pool with its weight among the targets of a route.
type Target struct {
	Pool string
	// Weight is positive.
	Weight int
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all clients to one upstream. Zero means
	// no bound.
	MaxConnections int
	// Cold is how long an upstream is cold after it has started during traffic. ColdRate is
	// the number of requests per second that a cold upstream takes from all entries together.
	// Zero means that upstreams are never cold.
	Cold     time.Duration
	ColdRate float64
	// Engine is nil for pools of plain services.
	Engine *Engine
	// Origin is set if the pool serves weights and handles no requests.
	Origin *Origin
}

// Engine describes the engines of a pool. Rates and times are those of a healthy
// engine.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Stride is the number of steps per pass for running requests.
	Stride int
	// StepTime is the base time of a step. Each running request adds
	// StepTimePerRequest, each 1,000 tokens of context add StepTimePerContext.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	StepTimePerContext time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// PrefillPairTime is the time added per million pairs of a token and an earlier
	// one.
	PrefillPairTime time.Duration
	// MaxPrefillTokens is the maximum number of prompt tokens processed in a step.
	MaxPrefillTokens int
	// MemoryTokens is the number of tokens that fit into memory.
	MemoryTokens int
	// PromptTokens and OutputTokens are the typical numbers of tokens of a request.
	PromptTokens int
	OutputTokens int
	// Models are those that the pool may serve.
	Models []Model
	// Layers and Pieces are the numbers of layers and pieces of a version, PieceBytes
	// is the size of a piece.
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

// Origin is a server from which weights are downloaded.
type Origin struct {
	Address netip.AddrPort
	Domain  string
	// Rate is that of its link in bytes per second, or zero if unknown.
	Rate float64
	// MaxConnections bounds the connections of all clients together. Zero means no
	// bound.
	MaxConnections int
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Homes are the regions whose upstreams may serve the workspace's requests, in addition to
	// the homes of their route. Empty means any.
	Homes []hosts.Region
}

// Limits bound what a client may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Release is the version of a model that engines should serve.
type Release struct {
	Model   string
	Version int
	// NotBefore is the earliest time at which it may have been published, or zero if that is
	// unknown. It precedes the publication by the time for which this process had no
	// confirmation of its replica, so that bounds counted from it hold however late it was seen.
	NotBefore time.Time
	// former holds the releases before this one, oldest first, at most maxFormer. Snapshots share
	// it. The first one has the earliest time of all before it.
	former []Release
}

// maxFormer bounds the releases of a model that a snapshot holds besides the current one.
const maxFormer = 64

// Since returns the known releases after a version, oldest first. The current one is the last.
func (r Release) Since(version int) []Release {
	var all []Release
	for _, f := range r.former {
		if f.Version > version {
			all = append(all, f)
		}
	}
	if r.Version > version {
		all = append(all, r)
	}
	return all
}

// succeed returns the release with the one that it replaces as the last former one.
func (r Release) succeed(replaced Release) Release {
	for _, f := range replaced.Since(0) {
		if f.Version < r.Version {
			r.former = append(r.former, Release{Model: f.Model, Version: f.Version, NotBefore: f.NotBefore})
		}
	}
	if dropped := len(r.former) - maxFormer; dropped > 0 {
		earliest := slices.MinFunc(r.former[:dropped+1], func(a, b Release) int { return a.NotBefore.Compare(b.NotBefore) })
		r.former = r.former[dropped:]
		r.former[0].NotBefore = earliest.NotBefore
	}
	return r
}

// Upstream is a process that serves the requests of a pool.
type Upstream struct {
	// ID usually identifies one start of the process.
	ID      string
	Pool    string
	Address netip.AddrPort
	Domain  string
	// Draining means that the upstream is shutting down and accepts no new requests.
	Draining bool
	// Slots is the number of requests that run concurrently.
	Slots int
	// Started is when the process started, by its own clock, or zero.
	Started time.Time
	// Held are the model versions that an engine holds.
	Held []HeldVersion
	// ColdFor is how much longer the upstream was cold when it last wrote its row. HasCold is set
	// if the row states that time, also if it is zero.
	ColdFor time.Duration
	HasCold bool
}

// Evacuation means that no new requests may be sent to the upstreams of a failure domain. It holds
// until its row is removed.
type Evacuation struct {
	Domain hosts.Domain
}

// HeldVersion is a version of a model that an engine holds.
type HeldVersion struct {
	Model   string
	Version int
	// Whole means that the engine holds every layer.
	Whole bool
}

// SameProcess reports whether two rows describe the same start of a process.
func (u *Upstream) SameProcess(o *Upstream) bool {
	return u.ID == o.ID && u.Address == o.Address && u.Started.Equal(o.Started)
}

// Version returns the version of a model that the upstream holds completely, or zero.
func (u *Upstream) Version(model string) int {
	for _, h := range u.Held {
		if h.Model == model && h.Whole {
			return h.Version
		}
	}
	return 0
}

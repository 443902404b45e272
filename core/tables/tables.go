// Package tables decodes and validates the two tables that operators edit, routes
// and pools, and holds the revisions that are active in a process.
//
// # Revisions
//
// The configuration service publishes each table as one value with a revision.
// A value is decoded and validated as a whole: if every row is valid, the revision
// becomes active; otherwise it is refused and the active revision stays. The active
// revision of a table never decreases within a process.
//
// # Rows
//
// A route names the pool that serves a kind of request. A pool lists the hosts that
// serve one version of a model, or a plain service. Routes and pools are joined by
// pool name; a route may name a pool that isn't in the pools table yet, and isn't
// served until it is.
package tables

import (
	"context"
	"slices"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
)

// Revision numbers the published values of one table. Zero means none.
type Revision uint64

// Kind is the name of a table.
type Kind string

// The tables.
const (
	KindRoutes Kind = "routes"
	KindPools  Kind = "pools"
)

// Value is a table as the configuration service publishes it.
type Value struct {
	Revision Revision
	// Data is the encoded table, at most MaxValueBytes long.
	Data []byte
}

// MaxValueBytes bounds the size of a published table.
const MaxValueBytes = 1 << 20

// Source reads and watches the configuration service. Every call counts against
// the service's request budget, including a watch that waits.
type Source interface {
	// Read returns the published value of a table.
	Read(ctx context.Context, kind Kind) (Value, error)
	// Watch is a long poll: it returns the value once its revision differs from
	// the known one, or the unchanged value when the service's poll timeout ends.
	Watch(ctx context.Context, kind Kind, known Revision) (Value, error)
}

// Limit bounds the requests that one workspace may have in progress on a route.
type Limit struct {
	Workspace string
	// Running is the maximum number of requests in progress, at least one.
	Running int
}

// Route maps the requests that name it to a pool.
type Route struct {
	Name string
	Pool string
	// Idempotent means that a request may be run more than once.
	Idempotent bool
	// Timeout applies to requests without a deadline of their own.
	Timeout time.Duration
	Limits  []Limit
}

// RowName implements Row.
func (r Route) RowName() string { return r.Name }

// PoolKind says what serves the requests of a pool.
type PoolKind string

// The kinds of pool.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Favor says what a roll-out saves where it can't save both: time, or load on the
// origin.
type Favor string

// The values of Favor. FavorTime is the default.
const (
	FavorTime   Favor = "time"
	FavorOrigin Favor = "origin"
)

// Pool lists the hosts that serve a version of a model, or a plain service.
type Pool struct {
	Name string
	Kind PoolKind
	// Model, Version and Manifest are set for model pools only.
	Model    string
	Version  string
	Manifest chunks.Digest
	// Base is the manifest of the version that an adapter is applied to. Zero
	// means that the version isn't an adapter.
	Base chunks.Digest
	// Role is forwarded to the engine with a load order.
	Role string
	// Hosts is sorted by name.
	Hosts []hosts.Name
	Favor Favor
	// Ready is the ratio of the pool's hosts, from 0 to 1, that stay ready during a
	// roll-out.
	Ready float64
	// Fenced means that the engines refuse orders with an outdated fencing token.
	Fenced bool
}

// RowName implements Row.
func (p Pool) RowName() string { return p.Name }

// Has reports whether the pool lists the host.
func (p Pool) Has(host hosts.Name) bool {
	_, found := slices.BinarySearch(p.Hosts, host)
	return found
}

// Row is a row of a table.
type Row interface {
	Route | Pool
	// RowName returns the name of the row, which is unique within the table.
	RowName() string
}

// Table is a decoded, valid table. The zero value is an empty table of revision
// zero.
type Table[R Row] struct {
	Revision Revision
	// Rows is keyed by row name. It must not be modified once the table is shared.
	Rows map[string]R
}

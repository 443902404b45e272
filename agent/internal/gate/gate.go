// Package gate accepts requests for the upstream of a host.
//
// # Requests
//
// Run admits a request, binds it to the version that the upstream serves and
// streams the response. A request with a key runs to its end, even when its client
// no longer waits for the response, and the response is recorded. Any other request
// is canceled with its client.
//
// # Keys
//
// The gate records keys in a dedup.Memory. It claims the opaque keys of a route
// from the other agents before it starts any of them.
//
// # Crash suspects
//
// A run that ends with the loss of the upstream adds a crash mark to its request. A
// request with a mark runs alone; one with two marks is refused.
package gate

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/poison"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	maxPartBytes = 32 << 10
	retryAfter   = time.Second
	// runGrace is how long the run of a request with a key may continue after its
	// deadline.
	runGrace = 30 * time.Second
)

// StateSource provides the state that the engine last reported.
type StateSource interface {
	State() engine.State
}

// Roster provides the hosts that the platform lists.
type Roster interface {
	Now() hosts.List
}

// Options are the dependencies and settings of a gate.
type Options struct {
	Host    hosts.Name
	Service engine.Service
	// Engine is nil for a plain service.
	Engine StateSource
	Tables *tables.Active
	Roster Roster
	// Client sends claims to other agents.
	Client *http.Client
	Bounds dedup.Bounds
	// Registry holds the crash marks of requests; Broadcast sends new marks to the
	// entries.
	Registry  *poison.SharedRegistry
	Broadcast func(all ...poison.Mark)
	// Traffic counts the requests. If it is nil the gate uses a counter of its own.
	Traffic *Traffic
	Trail   *audit.Trail
	Log     *zap.Logger
}

// Gate implements wire.GateHandler.
type Gate struct {
	options  Options
	self     dedup.Owner
	start    time.Time
	draining atomic.Bool
	// listedLeaving is set while the list of hosts names the host as leaving.
	listedLeaving atomic.Bool
	traffic       *Traffic
	isolator      *isolator
	// buffers holds *partBuffer for reuse. Send returns only after a reply is
	// written, so a buffer is no longer in use after its run.
	buffers sync.Pool

	mutex  sync.Mutex
	memory *dedup.Memory
	claims *dedup.Claims
	// routes holds the newest pool that an entry named for each route with opaque
	// keys.
	routes map[string]route
	// waiting holds a channel for each running key. It is closed when the run ends.
	waiting map[dedup.ScopedKey]chan struct{}
}

// partBuffer holds one part of a response.
type partBuffer [maxPartBytes]byte

func newPartBuffer() any { return new(partBuffer) }

type route struct {
	revision tables.Revision
	pool     string
}

// New returns a gate and a function that stops its claims.
func New(o Options) (*Gate, func()) {
	self := dedup.Owner{Host: o.Host, Incarnation: dedup.NewIncarnation()}
	start := time.Now()
	claims := dedup.NewClaims(start, self, o.Bounds)
	g := &Gate{
		options: o, traffic: cmp.Or(o.Traffic, NewTraffic()), self: self, start: start, claims: claims, memory: dedup.NewMemory(dedup.DefaultOptions(self), claims),
		isolator: newIsolator(), routes: make(map[string]route), waiting: make(map[dedup.ScopedKey]chan struct{}),
		buffers: sync.Pool{New: newPartBuffer},
	}
	group := shell.NewGroup()
	group.Go((&claimer{gate: g}).run)
	return g, group.Stop
}

// NewHandler returns the path and the HTTP handler that serve the gate to entries
// and agents.
func NewHandler(g *Gate) (string, http.Handler) {
	path, handler := wire.NewGateHandler(g, wire.WithoutCompression())
	return path, links.WithCorker(handler)
}

// Drain implements manage.Drainer.
func (g *Gate) Drain(cause string) {
	if !g.draining.Swap(true) {
		g.options.Trail.Add(audit.EventDrain, "agent", cause)
	}
}

// Leaving implements manage.Drainer.
func (g *Gate) Leaving() bool { return g.draining.Load() || g.listedLeaving.Load() }

// SetListedLeaving records whether the list of hosts names the host as leaving.
// Unlike Drain it can be undone.
func (g *Gate) SetListedLeaving(leaving bool) {
	g.listedLeaving.Store(leaving)
	g.options.Trail.Add(audit.EventHosts, string(g.self.Host), "the list of hosts", audit.Field{Name: "leaving", Value: strconv.FormatBool(leaving)})
}

// InProgress returns the number of requests in progress at the upstream.
func (g *Gate) InProgress() int { return g.traffic.InProgress() }

// Load implements wire.GateHandler.
func (g *Gate) Load(_ context.Context, r *connect.Request[wire.LoadRequest]) (*connect.Response[wire.LoadReply], error) {
	reply := &wire.LoadReply{Running: int32(g.InProgress()), Leaving: g.Leaving()}
	if g.options.Engine != nil {
		s := g.options.Engine.State()
		reply.Serial, reply.Events = s.CacheSerial, eventsOf(s, r.Msg.Seen)
		if !s.Loading && !s.Manifest.IsZero() {
			reply.Model = s.Model
			reply.Version = s.Version
			reply.Manifest = s.Manifest.String()
		}
	}
	return connect.NewResponse(reply), nil
}

// Mint implements wire.GateHandler.
func (g *Gate) Mint(context.Context, *connect.Request[wire.MintRequest]) (*connect.Response[wire.MintReply], error) {
	if g.Leaving() {
		return nil, connect.NewError(connect.CodeUnavailable, calls.NotRun(calls.ReasonLeaving, retryAfter, "the host is leaving"))
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return connect.NewResponse(&wire.MintReply{Key: string(g.memory.Mint())}), nil
}

// Settle implements wire.GateHandler.
func (g *Gate) Settle(_ context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error) {
	m := r.Msg
	a := dedup.Attempt{
		ID: calls.ID(m.Id), Token: dedup.ParseToken(m.Token),
		Key: dedup.ScopedKeyOf(calls.Request{Key: calls.Key(m.Key), Workspace: m.Workspace, Route: m.Route}),
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.memory.Settle(time.Now(), a)
	reply := &wire.SettleReply{State: string(s.State), Token: s.Token.String(), Owner: string(s.Owner.Host)}
	return connect.NewResponse(reply), nil
}

func (g *Gate) token() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.memory.Token().String()
}

func (g *Gate) checkVersion(version string) *calls.Refusal {
	if g.options.Engine == nil {
		return nil
	}
	s := g.options.Engine.State()
	if s.Loading || s.Version != version {
		return calls.NotRun(calls.ReasonVersion, retryAfter, "the upstream doesn't serve version "+version)
	}
	return nil
}

// checkPool refuses requests of a pool that the host isn't in.
func (g *Gate) checkPool(pool string) *calls.Refusal {
	snapshot := g.options.Tables.Snapshot()
	if snapshot.Pools.Revision == 0 {
		return calls.NotRun(calls.ReasonStarting, retryAfter, "the host has no pools table yet")
	}
	if _, ok := snapshot.Pools.Rows[pool]; !ok {
		return calls.NotRun(calls.ReasonNoPool, retryAfter, "the host isn't in the pool "+pool)
	}
	return nil
}

// Package gate stands in front of the upstream of a host.
//
// # Requests
//
// Run admits a request, binds it to the version that the upstream serves and
// streams the answer. A request with a key runs to its end even if nobody waits
// for the answer any more, and is recorded; any other is canceled with its
// caller.
//
// # Keys
//
// The gate remembers keys by core/dedup and claims the opaque keys of a route
// from other agents before it starts any.
//
// # Suspects
//
// A run that ends with the loss of the upstream is marked by core/blame. A
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
	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	partBytes = 32 << 10
	retryWait = time.Second
	// runGrace is how long the run of a key may go on after its deadline.
	runGrace = 30 * time.Second
)

// Stater tells what the engine reported last. A nil Stater means that the
// upstream is a plain service.
type Stater interface {
	State() engine.State
}

// Roster tells which hosts the platform lists.
type Roster interface {
	Now() hosts.List
}

// Options are the parts of a gate.
type Options struct {
	Host    hosts.Name
	Service engine.Service
	// Stater is nil for a plain service.
	Stater Stater
	Force  *tables.Active
	Roster Roster
	// Client speaks with other agents.
	Client *http.Client
	Bounds dedup.Bounds
	// Book holds the requests that crash upstreams; Spread tells the entries of
	// new marks.
	Book   *blame.Shared
	Spread func(all ...blame.Mark)
	// Traffic counts the requests; nil stands for a count of the gate's own.
	Traffic *Traffic
	Trail   *audit.Trail
	Log     *zap.Logger
}

// Gate implements wire.GateHandler.
type Gate struct {
	options Options
	self    dedup.Owner
	start   time.Time
	leaving atomic.Bool
	// listed tells that the list of hosts names the host as leaving.
	listed  atomic.Bool
	traffic *Traffic
	lanes   *lanes
	// buffers holds *part for reuse. A reply is written before Send returns, so
	// that no part is in use after its run.
	buffers sync.Pool

	mutex  sync.Mutex
	memory *dedup.Memory
	claims *dedup.Claims
	// routes holds the newest pool that an entry named for each route with
	// opaque keys.
	routes map[string]route
	// waiting holds, for each running key, a channel that is closed at its end.
	waiting map[dedup.Name]chan struct{}
}

// part is the room for the longest part of an answer.
type part [partBytes]byte

func newPart() any { return new(part) }

type route struct {
	revision tables.Revision
	pool     string
}

// New returns a gate that claims keys until the clean-up function is called.
func New(o Options) (*Gate, func()) {
	self := dedup.Owner{Host: o.Host, Incarnation: dedup.NewIncarnation()}
	start := time.Now()
	claims := dedup.NewClaims(start, self, o.Bounds)
	g := &Gate{
		options: o, traffic: cmp.Or(o.Traffic, NewTraffic()), self: self, start: start, claims: claims, memory: dedup.NewMemory(dedup.DefaultOptions(self), claims),
		lanes: newLanes(), routes: make(map[string]route), waiting: make(map[dedup.Name]chan struct{}),
		buffers: sync.Pool{New: newPart},
	}
	group := shell.NewGroup()
	group.Go((&claimer{gate: g}).run)
	return g, group.Stop
}

// NewHandler returns the path and the handler through which entries and agents
// reach the gate.
func NewHandler(g *Gate) (string, http.Handler) {
	path, handler := wire.NewGateHandler(g, wire.WithoutCompression())
	return path, links.WithCorker(handler)
}

// Drain implements manage.Drainer.
func (g *Gate) Drain(cause string) {
	if !g.leaving.Swap(true) {
		g.options.Trail.Add(audit.EventDrain, "agent", cause)
	}
}

// Leaving implements manage.Drainer.
func (g *Gate) Leaving() bool { return g.leaving.Load() || g.listed.Load() }

// Listed tells whether the list of hosts names the host as leaving. Unlike a
// drain that can change again.
func (g *Gate) Listed(leaving bool) {
	g.listed.Store(leaving)
	g.options.Trail.Add(audit.EventHosts, string(g.self.Host), "the list of hosts", audit.Field{Name: "leaving", Value: strconv.FormatBool(leaving)})
}

// Running returns the number of requests in progress at the upstream.
func (g *Gate) Running() int { return g.traffic.Running() }

// Load implements wire.GateHandler.
func (g *Gate) Load(_ context.Context, r *connect.Request[wire.LoadRequest]) (*connect.Response[wire.LoadReply], error) {
	reply := &wire.LoadReply{Running: int32(g.Running()), Leaving: g.Leaving()}
	if g.options.Stater != nil {
		s := g.options.Stater.State()
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
		return nil, connect.NewError(connect.CodeUnavailable, calls.NotRun(calls.ReasonLeaving, retryWait, "the host is leaving"))
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
		Name: dedup.NameOf(calls.Request{Key: calls.Key(m.Key), Workspace: m.Workspace, Route: m.Route}),
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
	if g.options.Stater == nil {
		return nil
	}
	s := g.options.Stater.State()
	if s.Loading || s.Version != version {
		return calls.NotRun(calls.ReasonVersion, retryWait, "the upstream doesn't serve version "+version)
	}
	return nil
}

// checkPool refuses requests of a pool that the host has left.
func (g *Gate) checkPool(pool string) *calls.Refusal {
	now := g.options.Force.Snapshot()
	if now.Pools.Revision == 0 {
		return calls.NotRun(calls.ReasonStarting, retryWait, "the host has no pools table yet")
	}
	if _, ok := now.Pools.Rows[pool]; !ok {
		return calls.NotRun(calls.ReasonNoPool, retryWait, "the host isn't in the pool "+pool)
	}
	return nil
}

package gate

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	claimInterval = 500 * time.Millisecond
	claimTimeout  = 2 * time.Second
	maxClaimCalls = 16
)

// recordRoute records the pool that an entry names for a route with opaque keys. It
// reports false if the entry chose another pool by an older routes table. Callers
// must hold the mutex.
func (g *Gate) recordRoute(m *wire.RunRequest) bool {
	if m.Key == "" {
		return true
	}
	if _, minted := dedup.ParseMinted(calls.Key(m.Key)); minted {
		return true
	}
	current, known := g.routes[m.Route]
	named := route{revision: tables.Revision(m.Routes), pool: m.Pool}
	if known && named.revision < current.revision {
		return named.pool == current.pool
	}
	g.routes[m.Route] = named
	g.updateClaim(m.Route)
	return true
}

// updateClaim passes the current row of a route to the claims. Callers must hold
// the mutex.
func (g *Gate) updateClaim(name string) {
	current := g.routes[name]
	pools := g.options.Tables.Snapshot().Pools
	g.claims.Update(name, dedup.Row{
		Revision: dedup.RowRevision{Routes: current.revision, Pools: pools.Revision},
		Hosts:    pools.Rows[current.pool].Hosts,
	})
}

// Yield implements wire.GateHandler.
func (g *Gate) Yield(_ context.Context, r *connect.Request[wire.YieldRequest]) (*connect.Response[wire.YieldReply], error) {
	k := claimOf(r.Msg)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, known := g.routes[k.Route]; known {
		g.updateClaim(k.Route)
	}
	reply := &wire.YieldReply{Host: string(g.self.Host), Granted: g.claims.Yield(k), Age: time.Since(g.start).Milliseconds()}
	if !reply.Granted {
		return connect.NewResponse(reply), nil
	}
	for _, h := range g.memory.HeldKeys(k) {
		reply.Keys = append(reply.Keys, &wire.HeldKey{
			Workspace: h.Key.Workspace, Key: string(h.Key.Value), Digest: h.Digest[:],
			Owner: string(h.Owner.Host), Incarnation: string(h.Owner.Incarnation),
		})
	}
	return connect.NewResponse(reply), nil
}

func claimOf(m *wire.YieldRequest) dedup.Claim {
	row := dedup.Row{Revision: dedup.RowRevision{Routes: tables.Revision(m.Routes), Pools: tables.Revision(m.Pools)}}
	for _, h := range m.Hosts {
		row.Hosts = append(row.Hosts, hosts.Name(h))
	}
	return dedup.Claim{Host: hosts.Name(m.Host), Route: m.Route, Row: row}
}

func yieldRequestOf(k dedup.Claim) *wire.YieldRequest {
	m := &wire.YieldRequest{
		Host: string(k.Host), Route: k.Route, Routes: uint64(k.Row.Revision.Routes), Pools: uint64(k.Row.Revision.Pools),
	}
	for _, h := range k.Row.Hosts {
		m.Hosts = append(m.Hosts, string(h))
	}
	return m
}

// claimer claims the keys of the routes whose claims aren't active.
type claimer struct{ gate *Gate }

func (c *claimer) run(ctx context.Context) {
	for {
		c.claimAll(ctx)
		select {
		case <-time.After(claimInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (c *claimer) claimAll(ctx context.Context) {
	g := c.gate
	g.mutex.Lock()
	for name := range g.routes {
		g.updateClaim(name)
	}
	pending := g.claims.PendingRoutes()
	g.mutex.Unlock()
	for _, name := range pending {
		c.requestGrants(ctx, name)
	}
}

// requestGrants sends the claim on a route to the hosts that have yet to grant it.
func (c *claimer) requestGrants(ctx context.Context, name string) {
	g := c.gate
	list := g.options.Roster.Now()
	var listed []hosts.Name
	for _, h := range list.WithRole(hosts.RoleAgent) {
		listed = append(listed, h.Name)
	}
	g.mutex.Lock()
	k, missing := g.claims.Pending(name, listed)
	g.mutex.Unlock()
	var group sync.WaitGroup
	slots := make(chan struct{}, maxClaimCalls)
	for _, n := range missing {
		h, _ := list.Find(n)
		q := &grantRequest{gate: g, claim: k, host: h, slots: slots}
		slots <- struct{}{}
		group.Go(func() { q.run(ctx) })
	}
	group.Wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.memory.ActivateClaim(time.Now(), name, listed)
}

// grantRequest sends a claim to one host and adopts the keys that it hands over.
type grantRequest struct {
	gate  *Gate
	claim dedup.Claim
	host  hosts.Host
	slots chan struct{}
}

func (q *grantRequest) run(ctx context.Context) {
	defer func() { <-q.slots }()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := wire.NewGateClient(q.gate.options.Client, "http://"+q.host.Address.String())
	r, err := c.Yield(ctx, connect.NewRequest(yieldRequestOf(q.claim)))
	if err != nil {
		q.gate.options.Log.Warn("claim-failed", zap.String("host", string(q.host.Name)), zap.Error(err))
		return
	}
	if r.Msg.Granted && r.Msg.Host == string(q.host.Name) {
		q.adopt(r.Msg)
	}
}

func (q *grantRequest) adopt(m *wire.YieldReply) {
	g := q.gate
	all := make([]dedup.HeldKey, 0, len(m.Keys))
	for _, k := range m.Keys {
		h := dedup.HeldKey{
			Key:   dedup.ScopedKey{Workspace: k.Workspace, Route: q.claim.Route, Value: calls.Key(k.Key)},
			Owner: dedup.Owner{Host: hosts.Name(k.Owner), Incarnation: dedup.Incarnation(k.Incarnation)},
		}
		copy(h.Digest[:], k.Digest)
		all = append(all, h)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if g.memory.Adopt(now, all) {
		g.claims.RecordGrant(q.claim, q.host.Name, now.Add(-time.Duration(m.Age)*time.Millisecond))
	}
}

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
	claimCalls    = 16
)

// learn takes what an entry says about a route with opaque keys. It reports
// false if the entry chose another pool by an older table. The caller holds the
// mutex.
func (g *Gate) learn(m *wire.RunRequest) bool {
	if m.Key == "" {
		return true
	}
	if _, minted := dedup.ParseMinted(calls.Key(m.Key)); minted {
		return true
	}
	known, seen := g.routes[m.Route]
	told := route{revision: tables.Revision(m.Routes), pool: m.Pool}
	if seen && told.revision < known.revision {
		return told.pool == known.pool
	}
	g.routes[m.Route] = told
	g.update(m.Route)
	return true
}

// update brings the row of a route into force. The caller holds the mutex.
func (g *Gate) update(name string) {
	known := g.routes[name]
	pools := g.options.Force.Snapshot().Pools
	g.claims.Update(name, dedup.Row{
		Order: dedup.Order{Routes: known.revision, Pools: pools.Revision},
		Hosts: pools.Rows[known.pool].Hosts,
	})
}

// Yield implements wire.GateHandler.
func (g *Gate) Yield(_ context.Context, r *connect.Request[wire.YieldRequest]) (*connect.Response[wire.YieldReply], error) {
	k := claimOf(r.Msg)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if _, known := g.routes[k.Route]; known {
		g.update(k.Route)
	}
	reply := &wire.YieldReply{Host: string(g.self.Host), Granted: g.claims.Yield(k), Age: time.Since(g.start).Milliseconds()}
	if !reply.Granted {
		return connect.NewResponse(reply), nil
	}
	for _, h := range g.memory.Held(k) {
		reply.Keys = append(reply.Keys, &wire.HeldKey{
			Workspace: h.Name.Workspace, Key: string(h.Name.Key), Digest: h.Digest[:],
			Owner: string(h.Owner.Host), Incarnation: string(h.Owner.Incarnation),
		})
	}
	return connect.NewResponse(reply), nil
}

func claimOf(m *wire.YieldRequest) dedup.Claim {
	row := dedup.Row{Order: dedup.Order{Routes: tables.Revision(m.Routes), Pools: tables.Revision(m.Pools)}}
	for _, h := range m.Hosts {
		row.Hosts = append(row.Hosts, hosts.Name(h))
	}
	return dedup.Claim{Host: hosts.Name(m.Host), Route: m.Route, Row: row}
}

func messageOf(k dedup.Claim) *wire.YieldRequest {
	m := &wire.YieldRequest{
		Host: string(k.Host), Route: k.Route, Routes: uint64(k.Row.Order.Routes), Pools: uint64(k.Row.Order.Pools),
	}
	for _, h := range k.Row.Hosts {
		m.Hosts = append(m.Hosts, string(h))
	}
	return m
}

// claimer claims the keys of the routes that need it.
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
		g.update(name)
	}
	open := g.claims.Routes()
	g.mutex.Unlock()
	for _, name := range open {
		c.claim(ctx, name)
	}
}

// claim asks the hosts that have not answered.
func (c *claimer) claim(ctx context.Context, name string) {
	g := c.gate
	list := g.options.Roster.Now()
	var listed []hosts.Name
	for _, h := range list.WithRole(hosts.RoleAgent) {
		listed = append(listed, h.Name)
	}
	g.mutex.Lock()
	k, missing := g.claims.Open(name, listed)
	g.mutex.Unlock()
	var group sync.WaitGroup
	slots := make(chan struct{}, claimCalls)
	for _, n := range missing {
		h, _ := list.Find(n)
		a := &asker{gate: g, claim: k, host: h, slots: slots}
		slots <- struct{}{}
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.memory.Hold(time.Now(), name, listed)
}

// asker asks one host to yield.
type asker struct {
	gate  *Gate
	claim dedup.Claim
	host  hosts.Host
	slots chan struct{}
}

func (a *asker) run(ctx context.Context) {
	defer func() { <-a.slots }()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := wire.NewGateClient(a.gate.options.Client, "http://"+a.host.Address.String())
	r, err := c.Yield(ctx, connect.NewRequest(messageOf(a.claim)))
	if err != nil {
		a.gate.options.Log.Warn("claim-unanswered", zap.String("host", string(a.host.Name)), zap.Error(err))
		return
	}
	if r.Msg.Granted && r.Msg.Host == string(a.host.Name) {
		a.take(r.Msg)
	}
}

func (a *asker) take(m *wire.YieldReply) {
	g := a.gate
	all := make([]dedup.Held, 0, len(m.Keys))
	for _, k := range m.Keys {
		h := dedup.Held{
			Name:  dedup.Name{Workspace: k.Workspace, Route: a.claim.Route, Key: calls.Key(k.Key)},
			Owner: dedup.Owner{Host: hosts.Name(k.Owner), Incarnation: dedup.Incarnation(k.Incarnation)},
		}
		copy(h.Digest[:], k.Digest)
		all = append(all, h)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	if g.memory.Adopt(now, all) {
		g.claims.Answer(a.claim, a.host.Name, now.Add(-time.Duration(m.Age)*time.Millisecond))
	}
}

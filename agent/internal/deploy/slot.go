package deploy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
	"currantport.example/core/wire"
)

const (
	queryInterval = 400 * time.Millisecond
	queryTimeout  = time.Second
)

// acquireSlot waits until the host may reload. From then on the gate admits nothing.
// It returns early if the engine stops serving, as no slot is needed then.
func (l *Loader) acquireSlot(ctx context.Context, pool tables.Pool) error {
	defer l.metrics.slot.Start().Stop()
	order := turns.Order(pool.Name, l.places(pool))
	width := turns.Width(len(order), pool.Ready)
	s := turns.NewSlot(turns.TargetOf(pool), order, l.options.Host, width, time.Now())
	l.setPhase(turns.PhasePrepared)
	for l.isServing() {
		l.queryAll(ctx, pool, s, s.NextQueries(time.Now()))
		d := s.Decide(time.Now())
		switch d.Action {
		case turns.ActionReload:
			l.setPhase(turns.PhaseReload)
			return nil
		case turns.ActionClaim:
			l.setPhase(turns.PhaseClaim)
			continue
		case turns.ActionYield:
			l.setPhase(turns.PhasePrepared)
		}
		l.setStep(pool, StepSlot, "waits for "+string(d.Host)+": "+d.Cause)
		if err := sleep(ctx, queryInterval+rand.N(queryInterval/4)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// queryAll queries the hosts concurrently and records the results in the slot.
func (l *Loader) queryAll(ctx context.Context, pool tables.Pool, s *turns.Slot, names []hosts.Name) {
	list := l.options.Roster.Now()
	var group sync.WaitGroup
	var queries []*query
	for _, n := range names {
		h, ok := list.Find(n)
		if !ok || h.State == hosts.StateLeaving {
			s.RecordRemoval(n)
			continue
		}
		q := &query{loader: l, host: h, pool: pool.Name}
		queries = append(queries, q)
		group.Go(func() { q.run(ctx) })
	}
	group.Wait()
	for _, q := range queries {
		if q.err != nil {
			s.RecordMiss(q.host.Name, q.sentAt)
			continue
		}
		s.Record(q.host.Name, q.view, q.sentAt)
	}
}

// query is one query to another host.
type query struct {
	loader *Loader
	host   hosts.Host
	pool   string
	sentAt time.Time
	view   turns.View
	err    error
}

func (q *query) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	q.sentAt = time.Now()
	q.view, q.err = q.loader.options.Neighbors.View(ctx, q.host.Address, q.pool)
}

// RemoteNeighbors queries other agents over the network. It implements Neighbors.
type RemoteNeighbors struct{ client *http.Client }

// NewRemoteNeighbors returns neighbors that are queried with the client.
func NewRemoteNeighbors(client *http.Client) *RemoteNeighbors {
	return &RemoteNeighbors{client: client}
}

// View implements Neighbors.
func (r *RemoteNeighbors) View(ctx context.Context, address netip.AddrPort, pool string) (turns.View, error) {
	c := wire.NewTurnsClient(r.client, "http://"+address.String())
	reply, err := c.Turn(ctx, connect.NewRequest(&wire.TurnRequest{Pool: pool}))
	if err != nil {
		return turns.View{}, oops.In("loads").Wrap(err)
	}
	v := turns.View{Phase: turns.Phase(reply.Msg.Phase), Serves: turns.Target{Version: reply.Msg.Version, Role: reply.Msg.Role}}
	if reply.Msg.Manifest == "" {
		return v, nil
	}
	if v.Serves.Manifest, err = chunks.ParseDigest(reply.Msg.Manifest); err != nil {
		return v, oops.In("loads").Wrap(err)
	}
	if reply.Msg.Base != "" {
		v.Serves.Base, err = chunks.ParseDigest(reply.Msg.Base)
	}
	return v, oops.In("loads").Wrap(err)
}

// Turn implements wire.TurnsHandler.
func (l *Loader) Turn(context.Context, *connect.Request[wire.TurnRequest]) (*connect.Response[wire.TurnReply], error) {
	v := l.View()
	reply := &wire.TurnReply{Phase: string(v.Phase), Version: v.Serves.Version, Role: v.Serves.Role}
	if !v.Serves.Manifest.IsZero() {
		reply.Manifest = v.Serves.Manifest.String()
	}
	if !v.Serves.Base.IsZero() {
		reply.Base = v.Serves.Base.String()
	}
	return connect.NewResponse(reply), nil
}

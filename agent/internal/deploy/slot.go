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
	askWait    = 400 * time.Millisecond
	askTimeout = time.Second
)

// takeTurn returns once the host may reload. The gate admits nothing from then.
func (l *Loader) takeTurn(ctx context.Context, pool tables.Pool) error {
	defer l.metrics.turn.Start().Stop()
	order := turns.Order(pool.Name, l.places(pool))
	width := turns.Width(len(order), pool.Ready)
	t := turns.NewSlot(turns.TargetOf(pool), order, l.options.Host, width, time.Now())
	l.show(turns.PhasePrepared)
	for l.serves() {
		l.askAll(ctx, pool, t, t.NextQueries(time.Now()))
		d := t.Decide(time.Now())
		switch d.Action {
		case turns.ActionReload:
			l.show(turns.PhaseReload)
			return nil
		case turns.ActionClaim:
			l.show(turns.PhaseClaim)
			continue
		case turns.ActionYield:
			l.show(turns.PhasePrepared)
		}
		l.enter(pool, StepSlot, "waits for "+string(d.Host)+": "+d.Cause)
		if err := pause(ctx, askWait+rand.N(askWait/4)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// askAll asks the hosts at the same time and tells the turn their answers.
func (l *Loader) askAll(ctx context.Context, pool tables.Pool, t *turns.Slot, names []hosts.Name) {
	list := l.options.Roster.Now()
	var group sync.WaitGroup
	var asked []*question
	for _, n := range names {
		h, ok := list.Find(n)
		if !ok || h.State == hosts.StateLeaving {
			t.RecordRemoval(n)
			continue
		}
		q := &question{loader: l, host: h, pool: pool.Name}
		asked = append(asked, q)
		group.Go(func() { q.run(ctx) })
	}
	group.Wait()
	for _, q := range asked {
		if q.err != nil {
			t.RecordMiss(q.host.Name, q.sent)
			continue
		}
		t.Record(q.host.Name, q.view, q.sent)
	}
}

// question is one question to another host.
type question struct {
	loader *Loader
	host   hosts.Host
	pool   string
	sent   time.Time
	view   turns.View
	err    error
}

func (q *question) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q.sent = time.Now()
	q.view, q.err = q.loader.options.Neighbors.View(ctx, q.host.Address, q.pool)
}

// RemoteNeighbors asks other agents over the network. It implements Neighbors.
type RemoteNeighbors struct{ client *http.Client }

// NewRemoteNeighbors returns what asks other agents.
func NewRemoteNeighbors(client *http.Client) *RemoteNeighbors {
	return &RemoteNeighbors{client: client}
}

// View implements Neighbors.
func (r *RemoteNeighbors) View(ctx context.Context, address netip.AddrPort, pool string) (turns.View, error) {
	c := wire.NewTurnsClient(r.client, "http://"+address.String())
	a, err := c.Turn(ctx, connect.NewRequest(&wire.TurnRequest{Pool: pool}))
	if err != nil {
		return turns.View{}, oops.In("loads").Wrap(err)
	}
	v := turns.View{Phase: turns.Phase(a.Msg.Phase), Serves: turns.Target{Version: a.Msg.Version, Role: a.Msg.Role}}
	if a.Msg.Manifest == "" {
		return v, nil
	}
	if v.Serves.Manifest, err = chunks.ParseDigest(a.Msg.Manifest); err != nil {
		return v, oops.In("loads").Wrap(err)
	}
	if a.Msg.Base != "" {
		v.Serves.Base, err = chunks.ParseDigest(a.Msg.Base)
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

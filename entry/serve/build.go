// Package serve puts the parts of an entry together.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/blame"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/manage"
	"currantport.example/core/meter"
	"currantport.example/core/parts"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
	"currantport.example/entry/internal/front"
	"currantport.example/entry/internal/guard"
	"currantport.example/entry/internal/lookup"
	"currantport.example/entry/internal/queue"
	"currantport.example/entry/internal/sender"
)

// closeWithin bounds the end of calls other than requests at a stop.
const closeWithin = 5 * time.Second

// Build returns the parts of the program. Its connections are those of
// links.Network, which tests replace.
func Build(s Settings) fx.Option {
	return fx.Options(
		parts.Options(hosts.RoleEntry, s.Common),
		fx.Supply(s),
		fx.Provide(blame.NewShared, newSpreader, newFleet, newSender, newLookup, newQueues, newFront, newRouter),
		fx.Invoke(startOwn, startServer),
	)
}

func newFleet(lc fx.Lifecycle, s Settings, network links.Network, force *tables.Active, r *roster.Roster, log *zap.Logger) *fleet.Fleet {
	client, closeIdle := links.NewPersistentClient(network.Dial)
	lc.Append(fx.StopHook(closeIdle))
	f, stop := fleet.New(self(s), force, r, client, log)
	return shell.WithCleanup(lc, f, stop)
}

func newSpreader(lc fx.Lifecycle, s Settings, b *blame.Shared, r *roster.Roster, c parts.PeerClient, log *zap.Logger) *blame.Spreader {
	spreader, stop := blame.NewSpreader(blame.SpreadOptions{
		Host: s.Host, Book: b, Roster: r, Client: c.Client, Exchange: true, Log: log,
	})
	return shell.WithCleanup(lc, spreader, stop)
}

func newSender(network links.Network, n *relay.Node, force *tables.Active, f *fleet.Fleet, c parts.PeerClient, b *blame.Shared, spreader *blame.Spreader, m parts.Metrics, log *zap.Logger) *sender.Sender {
	return sender.New(sender.Options{
		Force: force, Current: n.Fresh, Fleet: f, Client: c.Client,
		Fresh: func() (*http.Client, func()) { return links.NewPeerClient(network.Dial) },
		Book:  b, Spread: spreader.Spread, Metrics: m.Scope, Log: log,
	})
}

func newLookup(lc fx.Lifecycle, s Settings, r *roster.Roster, c parts.PeerClient, log *zap.Logger) *lookup.Lookup {
	d, stop := lookup.New(self(s), r, c.Client, log)
	return shell.WithCleanup(lc, d, stop)
}

func newQueues(lc fx.Lifecycle, s Settings, force *tables.Active, f *fleet.Fleet, r *roster.Roster, m parts.Metrics) *queue.Queues {
	q, stop := queue.New(s.Host, force, f, r, m.Scope)
	return shell.WithCleanup(lc, q, stop)
}

func newFront(s Settings, d *sender.Sender, q *queue.Queues, l *lookup.Lookup, force *tables.Active, t *audit.Trail, log *zap.Logger) *front.Front {
	return front.New(front.Options{
		Self: self(s), Sender: d, Queues: q, Lookup: l, Force: force, Trail: t,
		Lifetime: s.Lifetime, Within: s.ShutdownTimeout, Log: log,
	})
}

func self(s Settings) hosts.Host {
	return hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.Listen}
}

func newRouter(s Settings, f *front.Front, force *tables.Active, n *relay.Node, t *audit.Trail, b *blame.Shared, spreader *blame.Spreader, m parts.Metrics, q *queue.Queues) *mux.Router {
	r := mux.NewRouter()
	r.Use(meter.HTTPMiddleware(m.Scope), guard.New(n.Fresh))
	f.Register(r)
	r.Handle("/metrics", m.Handler)
	self := manage.Self{Host: s.Host, Role: hosts.RoleEntry, Place: s.Place}
	path, handler := wire.NewAdminHandler(manage.NewHandler(self, force, t, f, n, b, q), wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = wire.NewBlamesHandler(spreader, wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = wire.NewFrontHandler(f, wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = relay.NewHandler(n)
	r.PathPrefix(path).Handler(handler)
	return r
}

func startOwn(lc fx.Lifecycle, s Settings, f *front.Front, r *roster.Roster) {
	_, stop := roster.NewOwn(s.Host, r, f.Listed)
	lc.Append(fx.StopHook(stop))
}

func startServer(lc fx.Lifecycle, s Settings, network links.Network, f *front.Front, r *mux.Router, t *audit.Trail, log *zap.Logger, end *shell.ShutdownTrigger) error {
	l, err := network.Listen(context.Background(), s.Listen)
	if err != nil {
		return err
	}
	stop := links.Serve(l, r, log, closeWithin)
	t.Add(audit.EventStart, string(s.Host), "start of the process")
	g := shell.NewGroup()
	e := &ender{front: f, end: end}
	g.Go(e.run)
	lc.Append(fx.StopHook(func(ctx context.Context) {
		f.Drain("shutdown")
		f.Wait(ctx)
		stop()
		g.Stop()
		t.Add(audit.EventStop, string(s.Host), "shutdown")
	}))
	return nil
}

// ender ends the process once a drain is done.
type ender struct {
	front *front.Front
	end   *shell.ShutdownTrigger
}

func (e *ender) run(ctx context.Context) {
	e.front.Wait(ctx)
	if ctx.Err() == nil {
		e.end.Trigger()
	}
}

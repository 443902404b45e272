// Package serve assembles the program entry from its parts: the fleet of upstreams, the sender,
// the queues, the lookup of other entries, and the HTTP server.
package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/config"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/manage"
	"currantport.example/core/meter"
	"currantport.example/core/parts"
	"currantport.example/core/poison"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/watch"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
	"currantport.example/entry/internal/front"
	"currantport.example/entry/internal/guard"
	"currantport.example/entry/internal/lookup"
	"currantport.example/entry/internal/queue"
	"currantport.example/entry/internal/sender"
)

const (
	// closeTimeout bounds the wait for calls other than client requests at shutdown.
	closeTimeout = 5 * time.Second
	// The parts of the memory limit for what clients have sent ahead of responses, for request bodies and for unary
	// responses.
	aheadRatio    = 1.0 / 16
	bodyRatio     = 1.0 / 4
	responseRatio = 1.0 / 4
)

// Build returns the components of the program. It connects through links.Network, which tests
// replace.
func Build(s Settings) fx.Option {
	return fx.Options(
		parts.Options(hosts.RoleEntry, s.Common),
		fx.Supply(s),
		fx.Provide(poison.NewSharedRegistry, newBroadcaster, newFleet, newSender, newLookup, newQueues, newFront, newRouter),
		fx.Invoke(startSelfWatcher, startServer),
	)
}

func newFleet(lc fx.Lifecycle, s Settings, network links.Network, active *tables.Active, r *roster.Roster, log *zap.Logger) *fleet.Fleet {
	client, closeIdle := links.NewPersistentClient(network.Dial)
	lc.Append(fx.StopHook(closeIdle))
	f, stop := fleet.New(self(s), active, r, client, log)
	return shell.WithCleanup(lc, f, stop)
}

func newBroadcaster(lc fx.Lifecycle, s Settings, registry *poison.SharedRegistry, r *roster.Roster, c parts.PeerClient, log *zap.Logger) *poison.Broadcaster {
	broadcaster, stop := poison.NewBroadcaster(poison.BroadcasterOptions{
		Host: s.Host, Registry: registry, Roster: r, Client: c.Client, Exchange: true, Log: log,
	})
	return shell.WithCleanup(lc, broadcaster, stop)
}

func newSender(network links.Network, n *relay.Node, active *tables.Active, f *fleet.Fleet, c parts.PeerClient, registry *poison.SharedRegistry, broadcaster *poison.Broadcaster, m parts.Metrics, log *zap.Logger) *sender.Sender {
	return sender.New(sender.Options{
		Tables: active, IsCurrent: n.IsCurrent, Fleet: f, Client: c.Client,
		NewClient: func() (*http.Client, func()) { return links.NewPeerClient(network.Dial) },
		Registry:  registry, Broadcast: broadcaster.Broadcast, Metrics: m.Scope, Log: log,
	})
}

func newLookup(lc fx.Lifecycle, s Settings, r *roster.Roster, c parts.PeerClient, log *zap.Logger) *lookup.Lookup {
	l, stop := lookup.New(self(s), r, c.Client, log)
	return shell.WithCleanup(lc, l, stop)
}

func newQueues(lc fx.Lifecycle, s Settings, active *tables.Active, f *fleet.Fleet, r *roster.Roster, m parts.Metrics) *queue.Queues {
	q, stop := queue.New(s.Host, active, f, r, m.Scope)
	return shell.WithCleanup(lc, q, stop)
}

func newFront(s Settings, sr *sender.Sender, q *queue.Queues, l *lookup.Lookup, active *tables.Active, t *audit.Trail, log *zap.Logger) *front.Front {
	return front.New(front.Options{
		Self: self(s), Sender: sr, Queues: q, Lookup: l, Tables: active, Trail: t,
		AddressTTL: s.AddressTTL, DrainTimeout: s.ShutdownTimeout, Log: log,
		BodyBytes: partOf(s.MemoryLimit, bodyRatio), ResponseBytes: partOf(s.MemoryLimit, responseRatio),
	})
}

// partOf returns a part of the memory limit in bytes.
func partOf(limit config.Bytes, ratio float64) int64 { return int64(ratio * float64(limit)) }

func self(s Settings) hosts.Host {
	return hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.Listen}
}

func newRouter(s Settings, f *front.Front, active *tables.Active, n *relay.Node, t *audit.Trail, registry *poison.SharedRegistry, broadcaster *poison.Broadcaster, m parts.Metrics, q *queue.Queues) *mux.Router {
	r := mux.NewRouter()
	r.Use(meter.HTTPMiddleware(m.Scope), guard.New(n.IsCurrent))
	f.Register(r)
	r.Handle("/metrics", m.Handler)
	self := manage.Self{Host: s.Host, Role: hosts.RoleEntry, Place: s.Place}
	path, handler := wire.NewAdminHandler(manage.NewHandler(self, active, t, f, n, registry, q), wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = wire.NewBlamesHandler(broadcaster, wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = wire.NewFrontHandler(f, wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	path, handler = relay.NewHandler(n)
	r.PathPrefix(path).Handler(handler)
	return r
}

func startSelfWatcher(lc fx.Lifecycle, s Settings, f *front.Front, r *roster.Roster) {
	_, stop := roster.NewSelfWatcher(s.Host, r, f.SetListedLeaving)
	lc.Append(fx.StopHook(stop))
}

func startServer(lc fx.Lifecycle, s Settings, network links.Network, f *front.Front, r *mux.Router, t *audit.Trail, m parts.Metrics, log *zap.Logger, trigger *shell.ShutdownTrigger) error {
	l, err := network.Listen(context.Background(), s.Listen)
	if err != nil {
		return err
	}
	stop := links.Serve(watch.New(m.Scope, partOf(s.MemoryLimit, aheadRatio)).Listen(l), watch.Handler(r), log, closeTimeout)
	t.Add(audit.EventStart, string(s.Host), "start of the process")
	g := shell.NewGroup()
	w := &drainWatcher{front: f, trigger: trigger}
	g.Go(w.run)
	lc.Append(fx.StopHook(func(ctx context.Context) {
		f.Drain("shutdown")
		f.WaitDrained(ctx)
		stop()
		g.Stop()
		t.Add(audit.EventStop, string(s.Host), "shutdown")
	}))
	return nil
}

// drainWatcher triggers the shutdown of the process once a drain is complete.
type drainWatcher struct {
	front   *front.Front
	trigger *shell.ShutdownTrigger
}

func (w *drainWatcher) run(ctx context.Context) {
	w.front.WaitDrained(ctx)
	if ctx.Err() == nil {
		w.trigger.Trigger()
	}
}

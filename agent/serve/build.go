// Package serve assembles an agent from its parts: the gate in front of the upstream,
// the loader of an engine, the server and the background goroutines.
package serve

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/agent/internal/deploy"
	"currantport.example/agent/internal/drain"
	"currantport.example/agent/internal/fetch"
	"currantport.example/agent/internal/files"
	"currantport.example/agent/internal/gate"
	"currantport.example/agent/internal/source"
	"currantport.example/core/audit"
	"currantport.example/core/cache"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/manage"
	"currantport.example/core/meter"
	"currantport.example/core/parts"
	"currantport.example/core/peer"
	"currantport.example/core/poison"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// closeTimeout bounds the wait for calls other than client requests at shutdown.
const closeTimeout = 5 * time.Second

// Build returns the parts of the program. All connections are opened through
// links.Network, which tests replace.
func Build(s Settings) fx.Option {
	return fx.Options(
		parts.Options(hosts.RoleAgent, s.Common),
		fx.Supply(s),
		fx.Provide(newStoreClient, cache.New, gate.NewTraffic, newSource, newFetcher, poison.NewSharedRegistry, newBroadcaster, newGateOptions, newUpstream, newUploads, newRouter),
		fx.Invoke(startSelfWatcher, startServer),
	)
}

// storeClient is the HTTP client of the weight store and the origin.
type storeClient struct{ *http.Client }

func newStoreClient(lc fx.Lifecycle, n links.Network) storeClient {
	c, stop := links.NewDownloadClient(n.Dial)
	return shell.WithCleanup(lc, storeClient{c}, stop)
}

func newSource(s Settings, store storeClient, m parts.Metrics) *source.Source {
	origin := edges.NewWeights(store.Client, s.Origin)
	if s.Store.Host == "" {
		return source.New(nil, origin, m.Scope)
	}
	return source.New(edges.NewWeights(store.Client, s.Store), origin, m.Scope)
}

func newFetcher(s Settings, active *tables.Active, c *cache.Cache, weights *source.Source, r *roster.Roster, peers parts.PeerClient, traffic *gate.Traffic, log *zap.Logger) *fetch.Fetcher {
	return fetch.New(fetch.Options{
		Self:  hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: s.Listen},
		Cache: c, Source: weights, Roster: r, Peers: fetch.NewRemotePeers(peers.Client), Log: log, SourceRegion: s.SourceRegion,
		Live: traffic.IsBusy, Seed: rand.Uint64(),
		PoolRow: func(name string) (tables.Pool, bool) {
			p, ok := active.Snapshot().Pools.Rows[name]
			return p, ok
		},
	})
}

// upstream holds the gate in front of the upstream, its loader if it is an engine, and
// the reporters of the admin status.
type upstream struct {
	gate *gate.Gate
	// loader is nil for a plain service.
	loader    *deploy.Loader
	reporters []manage.Reporter
}

func newBroadcaster(lc fx.Lifecycle, s Settings, registry *poison.SharedRegistry, r *roster.Roster, peers parts.PeerClient, log *zap.Logger) *poison.Broadcaster {
	broadcaster, stop := poison.NewBroadcaster(poison.BroadcasterOptions{Host: s.Host, Registry: registry, Roster: r, Client: peers.Client, Log: log})
	return shell.WithCleanup(lc, broadcaster, stop)
}

func newGateOptions(s Settings, active *tables.Active, r *roster.Roster, peers parts.PeerClient, registry *poison.SharedRegistry, broadcaster *poison.Broadcaster, traffic *gate.Traffic, t *audit.Trail, log *zap.Logger) gate.Options {
	return gate.Options{
		Host: s.Host, Tables: active, Roster: r, Client: peers.Client, Bounds: s.Bounds, Registry: registry, Broadcast: broadcaster.Broadcast,
		Traffic: traffic, Trail: t, Log: log,
	}
}

func newGate(lc fx.Lifecycle, o gate.Options) *gate.Gate {
	g, stop := gate.New(o)
	return shell.WithCleanup(lc, g, stop)
}

func newUpstream(lc fx.Lifecycle, s Settings, active *tables.Active, r *roster.Roster, peers parts.PeerClient, c *cache.Cache, f *fetch.Fetcher, weights *source.Source, external parts.ExternalClient, o gate.Options, m parts.Metrics, t *audit.Trail, log *zap.Logger) upstream {
	if s.Kind == UpstreamPlain {
		o.Service = edges.NewPlain(external.Client, s.Upstream)
		return upstream{gate: newGate(lc, o), reporters: []manage.Reporter{o.Registry}}
	}
	e := edges.NewEngine(external.Client, s.Upstream)
	l := deploy.New(deploy.Options{
		Host: s.Host, Listen: s.Listen, Tables: active, Fetcher: f, Cache: c, Engine: e, Roster: r,
		Neighbors: deploy.NewRemoteNeighbors(peers.Client), Scope: m.Scope, Trail: t, Log: log,
	})
	o.Service, o.Engine = e, l
	g := newGate(lc, o)
	lc.Append(fx.StopHook(l.Start(g.InProgress)))
	return upstream{gate: g, loader: l, reporters: []manage.Reporter{l, weights, o.Registry}}
}

// uploads serves chunks to other agents. Stop ends their watches.
type uploads struct {
	server *peer.Server
	stop   func()
}

func newUploads(c *cache.Cache, traffic *gate.Traffic) uploads {
	p, stop := peer.NewServer(c, traffic.IsBusy)
	return uploads{server: p, stop: stop}
}

func newRouter(s Settings, u upstream, p uploads, c *cache.Cache, active *tables.Active, n *relay.Node, t *audit.Trail, m parts.Metrics) *mux.Router {
	r := mux.NewRouter()
	r.Use(meter.HTTPMiddleware(m.Scope))
	// The router matches its routes in order, so the route of requests comes first.
	path, handler := gate.NewHandler(u.gate)
	r.PathPrefix(path).Handler(handler)
	files.NewServer(c).Register(r)
	r.Handle("/metrics", m.Handler)
	self := manage.Self{Host: s.Host, Role: hosts.RoleAgent, Place: s.Place}
	path, handler = wire.NewAdminHandler(manage.NewHandler(self, active, t, u.gate, append(u.reporters, n)...), wire.WithLargeMessageCompression())
	r.PathPrefix(path).Handler(handler)
	if u.loader != nil {
		path, handler = wire.NewTurnsHandler(u.loader)
		r.PathPrefix(path).Handler(handler)
	}
	path, handler = relay.NewHandler(n)
	r.PathPrefix(path).Handler(handler)
	path, handler = wire.NewPeerHandler(peer.NewHandler(p.server), wire.WithoutCompression())
	r.PathPrefix(path).Handler(handler)
	return r
}

func startSelfWatcher(lc fx.Lifecycle, s Settings, u upstream, r *roster.Roster) {
	_, stop := roster.NewSelfWatcher(s.Host, r, u.gate.SetListedLeaving)
	lc.Append(fx.StopHook(stop))
}

func startServer(lc fx.Lifecycle, s Settings, network links.Network, u upstream, p uploads, r *mux.Router, t *audit.Trail, log *zap.Logger) error {
	l, err := network.Listen(context.Background(), s.Listen)
	if err != nil {
		return err
	}
	stop := links.Serve(l, r, log, closeTimeout)
	t.Add(audit.EventStart, string(s.Host), "start of the process")
	lc.Append(fx.StopHook(func(ctx context.Context) {
		if drain.Wait(ctx, u.gate, s.ShutdownTimeout) {
			log.Warn("requests-cut", zap.Int("running", u.gate.InProgress()))
		}
		p.stop()
		stop()
		t.Add(audit.EventStop, string(s.Host), "shutdown")
	}))
	return nil
}

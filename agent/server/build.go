// Package server puts the parts of an agent together. What the outside world speaks is
// passed in, so that the same parts serve any platform.
package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/agent/internal/loader"
	"currantport.example/agent/internal/report"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/engine"
	"currantport.example/core/feed"
	"currantport.example/core/gather"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/member"
	"currantport.example/core/mesh"
	"currantport.example/core/parts"
	"currantport.example/core/peer"
	"currantport.example/core/roster"
	"currantport.example/core/shell"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

const (
	// closeWithin bounds the end of calls of others at a stop.
	closeWithin = time.Second
	// uploadSlots is the number of pieces that an agent sends at once. Its link is
	// narrow and carries answers too.
	uploadSlots = 1
	// directAfter is the time without contact from which on an agent reads the platform. It
	// is long, since agents are many and entries read for them.
	directAfter = 5 * time.Second
)

// Weights hands out versions of models.
type Weights interface {
	chunks.Source
	loader.VersionNamer
}

// Adapters is what the agent speaks with the outside world.
type Adapters struct {
	// Platform publishes the rows.
	Platform feed.Source
	// NewEngine returns the engine beside the agent. Layers is the number of layers of
	// its model, or zero while that isn't known.
	NewEngine func(layers func() int) engine.Local
	// NewWeights returns the origin that a snapshot names.
	NewWeights func(origin func() (netip.AddrPort, bool)) Weights
}

// SettingsFile is a settings file and what reads it again.
type SettingsFile struct {
	Name string
	Read func() (Settings, error)
}

// Build returns the parts of an agent with the settings. The file
// of the settings is looked at for changes. An Outside must be provided beside them.
func Build(s Settings, file SettingsFile) fx.Option {
	return fx.Options(
		fx.Supply(s, file),
		parts.ServerOptions(parts.ServerSettings{Host: s.Host, Role: hosts.RoleAgent, Level: s.Level, AdminAddress: s.AdminAddress, MemoryLimit: s.MemoryLimit}),
		fx.Provide(
			feed.NewMirror, cache.New, roster.New, report.New, newMesh, newFollower,
			newWeights, newUploads, newGatherer, newLoader,
		),
		fx.Invoke(startMembers, startTeller, startServer, startReload, startStop),
	)
}

func newMesh(lc fx.Lifecycle, s Settings, log *zap.Logger) (*mesh.Node, error) {
	socket, err := mesh.Listen(s.MeshAddress)
	if err != nil {
		return nil, err
	}
	self := member.Member{Host: hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: s.MeshAddress}}
	n, stop := mesh.New(mesh.Options{
		Self: self, Socket: socket, Seeds: s.Seeds, Seed: rand.Uint64(), Log: log,
	})
	return shell.WithCleanup(lc, n, stop), nil
}

func newFollower(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, n *mesh.Node, peers parts.PeerClient, log *zap.Logger) *feed.Follower {
	f, stop := feed.NewFollower(feed.FollowOptions{
		Identity: feed.Identity{Self: s.Host, Place: s.Place, Role: hosts.RoleAgent},
		Mirror:   m, Entries: n.Entries, FallbackTimeout: directAfter, Log: log,
		Source: func(name hosts.Name) (feed.Source, bool) {
			if name == feed.PlatformSource {
				return o.Platform, true
			}
			e, ok := n.Find(name)
			return feed.NewRemoteSource(peers.Client, e.Address, feed.AgentScope(s.Pool), false), ok
		},
	})
	return shell.WithCleanup(lc, f, stop)
}

func newWeights(o Adapters, m *feed.Mirror) Weights {
	return o.NewWeights(func() (netip.AddrPort, bool) {
		p := originOf(m.Snapshot())
		if p == nil {
			return netip.AddrPort{}, false
		}
		return p.Address, true
	})
}

func originOf(s *state.Snapshot) *state.Origin {
	for _, p := range s.Pools() {
		if p.Origin != nil {
			return p.Origin
		}
	}
	return nil
}

// uploads hands out chunks to other agents. Stop ends calls that are held.
type uploads struct {
	server *peer.Server
	stop   func()
}

func newUploads(c *cache.Cache) uploads {
	p, stop := peer.NewServerWithSlots(c, nil, uploadSlots)
	return uploads{server: p, stop: stop}
}

func newGatherer(s Settings, m *feed.Mirror, c *cache.Cache, w Weights, u uploads, r *roster.Roster, n *mesh.Node, t *report.Reporter, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *gather.Fetcher {
	self := hosts.Host{Name: hosts.Name(s.MeshAddress.Addr().String()), Place: s.Place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: s.MeshAddress}
	g := gather.New(gather.Options{
		Self: self, Cache: c, Source: w, Client: peers.Client, Send: n.Send, Seed: rand.Uint64(), Scope: metrics.Scope, Log: log,
		Members: func() []hosts.Host { return append(n.Entries(), r.Now().All()...) },
		Origin: func() (hosts.Region, float64) {
			o := originOf(m.Snapshot())
			if o == nil {
				return "", 0
			}
			return s.Regions[hosts.Domain(o.Domain)], o.Rate
		},
	}, u.server.QueueLength)
	n.SetHandlers(mesh.Handlers{Subscription: t.ReceiveSubscription, Holdings: g.ReceiveHoldings})
	return g
}

func newLoader(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, _ *feed.Follower, c *cache.Cache, w Weights, f *gather.Fetcher, t *report.Reporter, metrics parts.Metrics, log *zap.Logger) *loader.Loader {
	local := o.NewEngine(func() int {
		if p := m.Snapshot().Pool(s.Pool); p != nil && p.Engine != nil {
			return p.Engine.Layers
		}
		return 0
	})
	l, stop := loader.New(loader.Options{
		Pool: s.Pool, Address: s.EngineAddress, Mirror: m, Engine: local, Cache: c, Namer: w, Fetcher: f, RolloutLimit: s.Version,
		Notify: t.Notify, Scope: metrics.Scope, Log: log,
	})
	return shell.WithCleanup(lc, l, stop)
}

// startMembers keeps the list of the pool's agents.
func startMembers(lc fx.Lifecycle, s Settings, m *feed.Mirror, r *roster.Roster) {
	k := &keeper{settings: s, mirror: m, roster: r}
	g := shell.NewGroup()
	g.Go(k.run)
	lc.Append(fx.StopHook(g.Stop))
}

// keeper lists the agents beside the upstreams of the pool.
type keeper struct {
	settings Settings
	mirror   *feed.Mirror
	roster   *roster.Roster
}

func (k *keeper) run(ctx context.Context) {
	for {
		changed := k.mirror.Changed()
		var all []hosts.Host
		for _, u := range k.mirror.Snapshot().Upstreams(k.settings.Pool) {
			domain := hosts.Domain(u.Domain)
			all = append(all, hosts.Host{
				Name: loader.AgentName(u), Place: hosts.Place{Region: k.settings.Regions[domain], Domain: domain},
				Role: hosts.RoleAgent, State: hosts.StateLive,
				Address: netip.AddrPortFrom(u.Address.Addr(), k.settings.MeshAddress.Port()),
			})
		}
		k.roster.Set(hosts.NewList(all))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func startTeller(lc fx.Lifecycle, t *report.Reporter, l *loader.Loader, n *mesh.Node) {
	lc.Append(fx.StopHook(t.Start(l, n)))
}

// startServer serves what other processes and operators call.
func startServer(lc fx.Lifecycle, s Settings, network links.Network, u uploads, log *zap.Logger) error {
	r := mux.NewRouter()
	path, handler := wire.NewPeerHandler(peer.NewHandler(u.server), wire.WithoutCompression())
	r.PathPrefix(path).Handler(handler)
	l, err := network.Listen(context.Background(), s.MeshAddress)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, r, log, closeWithin)))
	lc.Append(fx.StopHook(u.stop))
	return nil
}

// startReload follows changes of the settings file.
func startReload(lc fx.Lifecycle, f SettingsFile, n *mesh.Node, log *zap.Logger) {
	lc.Append(fx.StopHook(parts.SeedWatcher{
		File: f.Name, Set: n.SetSeeds, Log: log,
		Read: func() ([]netip.AddrPort, error) {
			s, err := f.Read()
			return s.Seeds, err
		},
	}.Watch()))
}

func startStop(lc fx.Lifecycle, s Settings, log *zap.Logger) {
	log.Info("start", zap.String("mesh", s.MeshAddress.String()), zap.String("engine", s.EngineAddress.String()), zap.Int("pid", os.Getpid()))
	lc.Append(fx.StopHook(func() { log.Info("stop") }))
}

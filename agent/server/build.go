// Package server assembles the components of an agent. Protocols of the outside world are passed in
// as Adapters, so that the same components run on any platform.
package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
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
	// closeTimeout bounds the end of calls from other processes at shutdown.
	closeTimeout = time.Second
	// uploadSlots is the number of pieces that an agent uploads at once. Its link has little
	// bandwidth and also carries responses.
	uploadSlots = 1
	// fallbackTimeout is the time without contact after which an agent reads from the platform
	// itself. It is long because there are many agents, and entries read for them.
	fallbackTimeout = 5 * time.Second
)

// Weights provides the versions of models and their chunks.
type Weights interface {
	chunks.Source
	loader.VersionNamer
}

// Adapters connect the agent to the protocols of a platform and an engine.
type Adapters struct {
	// Platform is the source of the rows.
	Platform feed.Source
	// NewEngine returns the client of the local engine. Layers returns the number of layers of
	// its model, or zero while it is unknown.
	NewEngine func(layers func() int) engine.Local
	// NewWeights returns the source of weights at the origin. The origin function returns its
	// address, or false while none is known.
	NewWeights func(origin func() (netip.AddrPort, bool)) Weights
}

// SettingsFile is a settings file and the function that reads it again.
type SettingsFile struct {
	Name string
	Read func() (Settings, error)
}

// Build returns the components of an agent with the settings. The settings file is watched for new
// seeds. The caller must also provide Adapters.
func Build(s Settings, file SettingsFile) fx.Option {
	return fx.Options(
		fx.Supply(s, file),
		parts.ServerOptions(parts.ServerSettings{Host: s.Host, Role: hosts.RoleAgent, Level: s.Level, AdminAddress: s.AdminAddress, MemoryLimit: s.MemoryLimit}),
		fx.Provide(
			feed.NewMirror, cache.New, roster.New, report.New, newMesh, newFollower,
			newWeights, newUploads, newFetcher, newLoader,
		),
		fx.Invoke(startRoster, startReporter, startMeshServer, startSeedReload, logLifecycle),
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

func newFollower(lc fx.Lifecycle, s Settings, a Adapters, m *feed.Mirror, n *mesh.Node, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *feed.Follower {
	f, stop := feed.NewFollower(feed.FollowOptions{
		Identity: feed.Identity{Self: s.Host, Place: s.Place, Role: hosts.RoleAgent},
		Mirror:   m, Entries: n.Entries, Members: n.LiveEntries, FallbackTimeout: fallbackTimeout, Scope: metrics.Scope, Log: log,
		Source: func(name hosts.Name) (feed.Source, bool) {
			if name == feed.PlatformSource {
				return a.Platform, true
			}
			e, ok := n.Find(name)
			return feed.NewRemoteSource(peers.Client, e.Address, feed.AgentScope(s.Pool), false, m), ok
		},
	})
	return shell.WithCleanup(lc, f, stop)
}

func newWeights(a Adapters, m *feed.Mirror) Weights {
	return a.NewWeights(func() (netip.AddrPort, bool) {
		p := findOrigin(m.Snapshot())
		if p == nil {
			return netip.AddrPort{}, false
		}
		return p.Address, true
	})
}

// findOrigin returns the first origin of a pool in the snapshot, or nil.
func findOrigin(s *state.Snapshot) *state.Origin {
	for _, p := range s.Pools() {
		if p.Origin != nil {
			return p.Origin
		}
	}
	return nil
}

// uploads serves chunks to other agents. Stop ends calls that wait for a chunk.
type uploads struct {
	server *peer.Server
	stop   func()
}

func newUploads(c *cache.Cache) uploads {
	p, stop := peer.NewServerWithSlots(c, nil, uploadSlots)
	return uploads{server: p, stop: stop}
}

func newFetcher(s Settings, m *feed.Mirror, c *cache.Cache, w Weights, u uploads, r *roster.Roster, n *mesh.Node, reporter *report.Reporter, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *gather.Fetcher {
	self := hosts.Host{Name: hosts.Name(s.MeshAddress.Addr().String()), Place: s.Place, Role: hosts.RoleAgent, State: hosts.StateLive, Address: s.MeshAddress}
	var memo hosts.Memo[hosts.ListID]
	f := gather.New(gather.Options{
		Self: self, Cache: c, Source: w, Client: peers.Client, Send: n.Send, Seed: rand.Uint64(), Scope: metrics.Scope, Log: log,
		Members: func() []hosts.Host {
			entries, agents := n.Entries(), r.Now().All()
			return memo.Get(entries, hosts.ListIDOf(agents), func() []hosts.Host { return slices.Concat(entries, agents) })
		},
		Origin: func() (hosts.Region, float64) {
			o := findOrigin(m.Snapshot())
			if o == nil {
				return "", 0
			}
			return s.Regions[hosts.Domain(o.Domain)], o.Rate
		},
	}, u.server.QueueLength)
	n.SetHandlers(mesh.Handlers{Subscription: reporter.ReceiveSubscription, Holdings: f.ReceiveHoldings})
	return f
}

func newLoader(lc fx.Lifecycle, s Settings, a Adapters, m *feed.Mirror, _ *feed.Follower, c *cache.Cache, w Weights, f *gather.Fetcher, r *report.Reporter, metrics parts.Metrics, log *zap.Logger) *loader.Loader {
	local := a.NewEngine(func() int {
		if p := m.Snapshot().Pool(s.Pool); p != nil && p.Engine != nil {
			return p.Engine.Layers
		}
		return 0
	})
	l, stop := loader.New(loader.Options{
		Pool: s.Pool, Address: s.EngineAddress, Mirror: m, Engine: local, Cache: c, Namer: w, Fetcher: f, VersionTimeout: s.VersionTimeout,
		Notify: r.Notify, Scope: metrics.Scope, Log: log,
	})
	return shell.WithCleanup(lc, l, stop)
}

// startRoster keeps the roster in step with the pool's upstreams.
func startRoster(lc fx.Lifecycle, s Settings, m *feed.Mirror, r *roster.Roster) {
	k := &rosterUpdater{settings: s, mirror: m, roster: r}
	g := shell.NewGroup()
	g.Go(k.run)
	lc.Append(fx.StopHook(g.Stop))
}

// rosterUpdater lists the agents of the pool's upstreams in the roster.
type rosterUpdater struct {
	settings Settings
	mirror   *feed.Mirror
	roster   *roster.Roster
}

func (r *rosterUpdater) run(ctx context.Context) {
	for {
		changed := r.mirror.Changed()
		var all []hosts.Host
		for _, u := range r.mirror.Snapshot().Upstreams(r.settings.Pool) {
			domain := hosts.Domain(u.Domain)
			all = append(all, hosts.Host{
				Name: loader.AgentName(u), Place: hosts.Place{Region: r.settings.Regions[domain], Domain: domain},
				Role: hosts.RoleAgent, State: hosts.StateLive,
				Address: netip.AddrPortFrom(u.Address.Addr(), r.settings.MeshAddress.Port()),
			})
		}
		r.roster.Set(hosts.NewList(all))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func startReporter(lc fx.Lifecycle, r *report.Reporter, l *loader.Loader, n *mesh.Node) {
	lc.Append(fx.StopHook(r.Start(l, n)))
}

// startMeshServer serves the calls of other processes.
func startMeshServer(lc fx.Lifecycle, s Settings, network links.Network, u uploads, log *zap.Logger) error {
	r := mux.NewRouter()
	path, handler := wire.NewPeerHandler(peer.NewHandler(u.server), wire.WithoutCompression())
	r.PathPrefix(path).Handler(handler)
	l, err := network.Listen(context.Background(), s.MeshAddress)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, r, log, closeTimeout)))
	lc.Append(fx.StopHook(u.stop))
	return nil
}

// startSeedReload applies changes of the seeds in the settings file.
func startSeedReload(lc fx.Lifecycle, f SettingsFile, n *mesh.Node, log *zap.Logger) {
	lc.Append(fx.StopHook(parts.SeedWatcher{
		File: f.Name, Set: n.SetSeeds, Log: log,
		Read: func() ([]netip.AddrPort, error) {
			s, err := f.Read()
			return s.Seeds, err
		},
	}.Watch()))
}

func logLifecycle(lc fx.Lifecycle, s Settings, log *zap.Logger) {
	log.Info("start", zap.String("mesh", s.MeshAddress.String()), zap.String("engine", s.EngineAddress.String()), zap.Int("pid", os.Getpid()))
	lc.Append(fx.StopHook(func() { log.Info("stop") }))
}

// Package server puts the parts of an entry together. What the outside world speaks is
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

	"currantport.example/core/budget"
	"currantport.example/core/cache"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/edges"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/member"
	"currantport.example/core/mesh"
	"currantport.example/core/parts"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/httpd"
	"currantport.example/entry/internal/naming"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/syncer"
	"currantport.example/entry/internal/target"
	"currantport.example/entry/warmup"
)

const (
	// closeWithin bounds the end of calls other than requests at a stop.
	closeWithin = 300 * time.Millisecond
	// revokeMargin is the part of the time for a key that was taken away that is kept
	// for the way of a request to its upstream.
	revokeMargin = 0.15
	// readyShare is the part of that time beyond which callers are told to go
	// elsewhere.
	readyShare = 0.6
	// keepShares is the number of lifetimes for which callers may keep an address.
	keepShares = 3
	// stopReserve is the part of the time of a stop that is kept for its end.
	stopReserve = 600 * time.Millisecond
)

// Adapters is what the entry speaks with the outside world.
type Adapters struct {
	Clients   edges.ClientCodec
	Upstreams edges.UpstreamCodec
	// Platform publishes the rows.
	Platform feed.Source
	// NewWeights returns the origin whose address the function tells.
	NewWeights func(origin func() (netip.AddrPort, bool)) warmup.Source
}

// SettingsFile is a settings file and what reads it again.
type SettingsFile struct {
	Name string
	Read func() (Settings, error)
}

// Build returns the parts of an entry with the settings. The file
// of the settings is looked at for changes. An Outside must be provided beside them.
func Build(s Settings, file SettingsFile) fx.Option {
	return fx.Options(
		fx.Supply(s, file),
		parts.ServerOptions(parts.ServerSettings{Host: s.Host, Role: hosts.RoleEntry, Level: s.Level, AdminAddress: s.AdminAddress, MemoryLimit: s.MemoryLimit}),
		fx.Provide(
			feed.NewMirror, crash.NewRegistry, newConns, newFleet, newMesh, newFollower,
			newCourses, newFront, newUpkeep, newDirectory, cache.New, newCarrier,
		),
		fx.Invoke(startAdmin, startReload, startStop),
	)
}

func newConns(lc fx.Lifecycle, n links.Network, m parts.Metrics) *conns.Pool {
	opened := m.Scope.Counter("upstream_connections")
	p, stop := conns.New(links.ExternalDialer(n.Dial), func() { opened.Inc(1) })
	return shell.WithCleanup(lc, p, stop)
}

func newFleet(s Settings, n *mesh.Node, log *zap.Logger) *target.Fleet {
	return target.New(target.Options{
		Self: s.Host, Entries: n.Entries, Place: s.Place, Regions: s.Regions, VersionTimeout: s.Bounds.Version, Random: rand.Float64, Log: log,
	})
}

func newMesh(lc fx.Lifecycle, s Settings, b *crash.Registry, log *zap.Logger) (*mesh.Node, error) {
	socket, err := mesh.Listen(s.MeshAddress)
	if err != nil {
		return nil, err
	}
	self := member.Member{ClientAddress: s.ClientAddress, Incarnation: mesh.NewIncarnation()}
	self.Host = hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.MeshAddress}
	n, stop := mesh.New(mesh.Options{
		Self: self, Socket: socket, Seeds: s.Seeds, Seed: rand.Uint64(), CrashMarks: b, Log: log,
	})
	return shell.WithCleanup(lc, n, stop), nil
}

func newCarrier(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, c *cache.Cache, f *target.Fleet, n *mesh.Node, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *warmup.Prefetcher {
	self := hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.MeshAddress}
	k, stop := warmup.New(warmup.Options{
		Self: self, Regions: s.Regions, Mirror: m, Cache: c, Mesh: n, Client: peers.Client, NewSource: o.NewWeights,
		AgentPort: s.AgentPort, MaxBytes: int64(s.MaxPrefetchSize), Scope: metrics.Scope, Log: log,
	})
	n.SetHandlers(mesh.Handlers{
		LoadReport: func(_ netip.AddrPort, l *wire.LoadDigest) {
			f.ReceiveLoadReport(clocks.Now(), l.Upstream, syncer.DecodeLoadReport(l))
		},
		Holdings: k.ReceiveHoldings, EntryLoads: func(s *wire.Shares) { syncer.ReceiveEntryLoads(f, s) },
	})
	return shell.WithCleanup(lc, k, stop)
}

func newFollower(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, n *mesh.Node, peers parts.PeerClient, log *zap.Logger) *feed.Follower {
	f, stop := feed.NewFollower(feed.FollowOptions{
		Identity: feed.Identity{Self: s.Host, Place: s.Place, Role: hosts.RoleEntry},
		Mirror:   m, Entries: n.Entries, FallbackTimeout: feed.ContactTimeout, Log: log,
		Source: func(name hosts.Name) (feed.Source, bool) {
			if name == feed.PlatformSource {
				return o.Platform, true
			}
			e, ok := n.Find(name)
			return feed.NewRemoteSource(peers.Client, e.Address, nil, true), ok
		},
	})
	return shell.WithCleanup(lc, f, stop)
}

func newCourses(s Settings, o Adapters, m *feed.Mirror, f *target.Fleet, p *conns.Pool, b *crash.Registry, n *mesh.Node, metrics parts.Metrics, log *zap.Logger) *proxy.Handler {
	revoke := time.Duration((1 - revokeMargin) * float64(s.Bounds.Revoke))
	return proxy.New(proxy.Options{
		Mirror: m, Fleet: f, Conns: p, ClientCodec: o.Clients, UpstreamCodec: o.Upstreams, Crashes: b,
		Bounds:      proxy.Bounds{MaxKeyStaleness: revoke, MaxMissStaleness: s.Bounds.Apply},
		RetryLimits: budget.Limits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
		Entries:     n.EntryCount, Random: rand.Float64, Scope: metrics.Scope, Log: log,
	})
}

func newFront(lc fx.Lifecycle, s Settings, network links.Network, c *proxy.Handler, log *zap.Logger) (*httpd.Server, error) {
	l, err := network.Listen(context.Background(), s.ClientAddress)
	if err != nil {
		return nil, err
	}
	f, stop := httpd.New(httpd.Options{
		Listener: l, Handler: c, Refuse: c.RefusalHandler(), Log: log,
		DrainTime: min(keepShares*s.AddressTTL, s.ShutdownTimeout/2), ShutdownTimeout: s.ShutdownTimeout - stopReserve,
	})
	return shell.WithCleanup(lc, f, stop), nil
}

func newUpkeep(lc fx.Lifecycle, s Settings, m *feed.Mirror, _ *feed.Follower, f *target.Fleet, front *httpd.Server, n *mesh.Node, p *conns.Pool, b *crash.Registry, log *zap.Logger) *syncer.Syncer {
	u, stop := syncer.New(syncer.Options{
		Self: s.Host, Region: s.Place.Region, Mirror: m, Fleet: f, Server: front, Mesh: n, Conns: p, Crashes: b,
		MaxStaleness: time.Duration(readyShare * float64(s.Bounds.Revoke)), AgentPort: s.AgentPort, Log: log,
	})
	return shell.WithCleanup(lc, u, stop)
}

// Directory tells callers and the platform about the entry.
type Directory struct {
	settings Settings
	mesh     *mesh.Node
	upkeep   *syncer.Syncer
}

func newDirectory(s Settings, n *mesh.Node, u *syncer.Syncer) *Directory {
	return &Directory{settings: s, mesh: n, upkeep: u}
}

// Ready reports whether the entry serves requests.
func (d *Directory) Ready() bool { return d.upkeep.IsReady() }

// Addresses returns where a caller at a place should connect and for how long it may
// keep the answer. It is empty if the entry doesn't know.
func (d *Directory) Addresses(domain hosts.Domain) ([]netip.AddrPort, time.Duration) {
	if !d.Ready() {
		return nil, 0
	}
	at := hosts.Place{Domain: domain, Region: d.settings.Regions[domain]}
	return naming.Choose(d.mesh.Members(), at), d.settings.AddressTTL
}

// startAdmin serves what other processes and operators call.
func startAdmin(lc fx.Lifecycle, s Settings, network links.Network, m *feed.Mirror, c *warmup.Prefetcher, log *zap.Logger) error {
	r := mux.NewRouter()
	path, handler := feed.NewHandler(m)
	r.PathPrefix(path).Handler(handler)
	path, handler = c.Handler()
	r.PathPrefix(path).Handler(handler)
	l, err := network.Listen(context.Background(), s.MeshAddress)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, r, log, closeWithin)))
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

// startStop logs the start and stops the entry gracefully before its parts end.
func startStop(lc fx.Lifecycle, s Settings, front *httpd.Server, u *syncer.Syncer, log *zap.Logger) {
	log.Info("start", zap.String("calls", s.ClientAddress.String()), zap.String("mesh", s.MeshAddress.String()), zap.Int("pid", os.Getpid()))
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		log.Info("stop", zap.Int("running", front.InProgress()))
		u.StartDraining()
		if cut := front.Stop(ctx); cut > 0 {
			log.Warn("requests-cut", zap.Int("count", cut))
		}
		log.Info("stopped")
		return nil
	}))
}

// Package server assembles the parts of an entry. Protocols of the outside world are passed in
// as Adapters, so that the same parts run on any platform.
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
	"currantport.example/core/choice"
	"currantport.example/core/clocks"
	"currantport.example/core/config"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/edges"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/intake"
	"currantport.example/core/links"
	"currantport.example/core/member"
	"currantport.example/core/mesh"
	"currantport.example/core/parts"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/httpd"
	"currantport.example/entry/internal/naming"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/query"
	"currantport.example/entry/internal/syncer"
	"currantport.example/entry/internal/target"
	"currantport.example/entry/warmup"
)

const (
	// closeTimeout bounds the end of calls other than requests at shutdown.
	closeTimeout = 300 * time.Millisecond
	// revokeMarginRatio is the part of Bounds.Revoke that is reserved for the latency of a
	// request to its upstream.
	revokeMarginRatio = 0.15
	// readyStalenessRatio is the part of Bounds.Revoke beyond which a stale replica makes the
	// entry not ready, so that clients are referred to others.
	readyStalenessRatio = 0.6
	// The parts of the memory limit for what the entry keeps for clients: long responses that they haven't read
	// yet, unfinished long events, what they have sent ahead, and their connections. Request bodies have the rest.
	bufferRatio = 1.0 / 8
	eventRatio  = 1.0 / 32
	aheadRatio  = 1.0 / 32
	connRatio   = 1.0 / 8
	// DirectoryRatio is the part for the connections of the platform's directory and readiness.
	DirectoryRatio = 1.0 / 32
	// controlMemory is what an entry of the largest fleet may take without clients, and minBodyRatio the part for
	// request bodies where that leaves less.
	controlMemory = 32 * config.MiB
	minBodyRatio  = 1.0 / 8
	// drainTTLs is the number of address TTLs for which a draining entry keeps serving, so that
	// clients find another one first.
	drainTTLs = 3
	// shutdownReserve is the part of the shutdown timeout that is reserved for its last steps.
	shutdownReserve = 600 * time.Millisecond
)

// Adapters connect the entry to the protocols of a platform.
type Adapters struct {
	Clients   edges.ClientCodec
	Upstreams edges.UpstreamCodec
	// Platform is the source of the rows.
	Platform feed.Source
	// NewWeights returns the source of weights at the origin. The origin function returns its
	// address, or false while none is known.
	NewWeights func(origin func() (netip.AddrPort, bool)) warmup.Source
}

// SettingsFile is a settings file and the function that reads it again.
type SettingsFile struct {
	Name string
	Read func() (Settings, error)
}

// Build returns the parts of an entry with the settings. The settings file is watched for new
// seeds. The caller must also provide Adapters.
func Build(s Settings, file SettingsFile) fx.Option {
	return fx.Options(
		fx.Supply(s, file),
		parts.ServerOptions(parts.ServerSettings{Host: s.Host, Role: hosts.RoleEntry, Level: s.Level, AdminAddress: s.AdminAddress, MemoryLimit: s.MemoryLimit}),
		fx.Provide(
			feed.NewMirror, crash.NewRegistry, newConns, newFleet, newMesh, newFollower,
			newHandler, newServer, newSyncer, newDirectory, cache.New, newPrefetcher,
		),
		fx.Invoke(startMeshServer, startSeedReload, registerShutdown, registerQueries),
	)
}

func newConns(lc fx.Lifecycle, n links.Network, m parts.Metrics) *conns.Pool {
	opened := m.Scope.Counter("upstream_connections")
	p, stop := conns.New(links.ExternalDialer(n.Dial), func() { opened.Inc(1) })
	return shell.WithCleanup(lc, p, stop)
}

func newFleet(s Settings, n *mesh.Node, m parts.Metrics, log *zap.Logger) *target.Fleet {
	return target.New(target.Options{
		Self: s.Host, Entries: n.Entries, Place: s.Place, Regions: s.Regions, VersionTimeout: s.Bounds.VersionTimeout, Random: rand.Float64, Log: log, Metrics: m.Scope,
	})
}

func newMesh(lc fx.Lifecycle, s Settings, crashes *crash.Registry, log *zap.Logger) (*mesh.Node, error) {
	socket, err := mesh.Listen(s.MeshAddress)
	if err != nil {
		return nil, err
	}
	self := member.Member{ClientAddress: s.ClientAddress, Incarnation: mesh.NewIncarnation()}
	self.Host = hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.MeshAddress}
	n, stop := mesh.New(mesh.Options{
		Self: self, Socket: socket, Seeds: s.Seeds, Seed: rand.Uint64(), Detection: s.Bounds.Detection, CrashMarks: crashes, Log: log,
	})
	return shell.WithCleanup(lc, n, stop), nil
}

func newPrefetcher(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, c *cache.Cache, f *target.Fleet, n *mesh.Node, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *warmup.Prefetcher {
	self := hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.MeshAddress}
	p, stop := warmup.New(warmup.Options{
		Self: self, Regions: s.Regions, Mirror: m, Cache: c, Mesh: n, Client: peers.Client, NewSource: o.NewWeights,
		AgentPort: s.AgentPort, MaxBytes: int64(s.MaxPrefetchSize), VersionTimeout: s.Bounds.VersionTimeout, Scope: metrics.Scope, Log: log,
	})
	h := syncer.LimitHandlers(f, n)
	h.LoadReport = func(_ netip.AddrPort, l *wire.LoadDigest) {
		f.ReceiveLoadReport(clocks.Now(), l.Upstream, syncer.DecodeLoadReport(l))
	}
	h.Holdings = p.ReceiveHoldings
	h.EntryLoads = func(s *wire.Shares) { syncer.ReceiveEntryLoads(f, s) }
	n.SetHandlers(h)
	return shell.WithCleanup(lc, p, stop)
}

func newFollower(lc fx.Lifecycle, s Settings, o Adapters, m *feed.Mirror, n *mesh.Node, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *feed.Follower {
	f, stop := feed.NewFollower(feed.FollowOptions{
		Identity: feed.Identity{Self: s.Host, Place: s.Place, Role: hosts.RoleEntry},
		Mirror:   m, Entries: n.Entries, Members: n.LiveEntries, FallbackTimeout: feed.ContactTimeout, Scope: metrics.Scope, Log: log,
		Source: func(name hosts.Name) (feed.Source, bool) {
			if name == feed.PlatformSource {
				return o.Platform, true
			}
			e, ok := n.Find(name)
			return feed.NewRemoteSource(peers.Client, e.Address, nil, true, m), ok
		},
	})
	return shell.WithCleanup(lc, f, stop)
}

func newHandler(s Settings, o Adapters, m *feed.Mirror, f *target.Fleet, p *conns.Pool, crashes *crash.Registry, n *mesh.Node, metrics parts.Metrics, log *zap.Logger) *proxy.Handler {
	revoke := time.Duration((1 - revokeMarginRatio) * float64(s.Bounds.Revoke))
	return proxy.New(proxy.Options{
		Mirror: m, Fleet: f, Conns: p, ClientCodec: o.Clients, UpstreamCodec: o.Upstreams, Crashes: crashes,
		Bounds:      proxy.Bounds{MaxKeyStaleness: revoke, MaxMissStaleness: s.Bounds.Apply},
		RetryLimits: budget.Limits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
		BufferBytes: partOf(s.MemoryLimit, bufferRatio), EventBytes: partOf(s.MemoryLimit, eventRatio),
		Bodies:  intake.Options{MaxBytes: bodyBytes(s.MemoryLimit)},
		Entries: n.EntryCount, Random: rand.Float64, Scope: metrics.Scope, Log: log,
	})
}

// bodyBytes returns the memory for request bodies.
func bodyBytes(limit config.Bytes) int64 {
	rest := partOf(limit, 1-bufferRatio-eventRatio-aheadRatio-connRatio-DirectoryRatio) - int64(controlMemory)
	return max(rest, partOf(limit, minBodyRatio))
}

// partOf returns a part of the memory limit in bytes.
func partOf(limit config.Bytes, ratio float64) int64 { return int64(ratio * float64(limit)) }

func newServer(lc fx.Lifecycle, s Settings, network links.Network, handler *proxy.Handler, metrics parts.Metrics, log *zap.Logger) (*httpd.Server, error) {
	l, err := network.Listen(context.Background(), s.ClientAddress)
	if err != nil {
		return nil, err
	}
	server, stop := httpd.New(httpd.Options{
		Listener: l, Handler: handler, Refuse: handler.RefusalHandler(), Refusing: handler.EndWaits, Ending: handler.EndRequests, Scope: metrics.Scope, Log: log,
		MaxConns: int(partOf(s.MemoryLimit, connRatio) / httpd.ConnBytes), AheadBytes: partOf(s.MemoryLimit, aheadRatio),
		DrainTime: min(drainTTLs*s.AddressTTL, s.ShutdownTimeout/2), ShutdownTimeout: s.ShutdownTimeout - shutdownReserve,
	})
	return shell.WithCleanup(lc, server, stop), nil
}

func newSyncer(lc fx.Lifecycle, s Settings, m *feed.Mirror, _ *feed.Follower, f *target.Fleet, server *httpd.Server, n *mesh.Node, p *conns.Pool, crashes *crash.Registry, metrics parts.Metrics, log *zap.Logger) *syncer.Syncer {
	sy, stop := syncer.New(syncer.Options{
		Self: s.Host, Region: s.Place.Region, Mirror: m, Fleet: f, Server: server, Mesh: n, Conns: p, Crashes: crashes,
		MaxStaleness: time.Duration(readyStalenessRatio * float64(s.Bounds.Revoke)), AgentPort: s.AgentPort, Scope: metrics.Scope, Log: log,
	})
	return shell.WithCleanup(lc, sy, stop)
}

// Directory serves the addresses of the fleet's entries to clients, and the readiness of this
// entry to the platform.
type Directory struct {
	settings Settings
	mirror   *feed.Mirror
	mesh     *mesh.Node
	syncer   *syncer.Syncer
}

func newDirectory(s Settings, m *feed.Mirror, n *mesh.Node, sy *syncer.Syncer) *Directory {
	return &Directory{settings: s, mirror: m, mesh: n, syncer: sy}
}

// Ready reports whether the entry serves requests.
func (d *Directory) Ready() bool { return d.syncer.IsReady() }

// Addresses returns where a client of a host name in a failure domain should connect and for how
// long it may cache the response. The list is empty if the entry isn't ready.
func (d *Directory) Addresses(host string, domain hosts.Domain) ([]netip.AddrPort, time.Duration) {
	if !d.Ready() {
		return nil, 0
	}
	at := hosts.Place{Domain: domain, Region: d.settings.Regions[domain]}
	return naming.Choose(d.mesh.Members(), at, d.mirror.Snapshot().HostHomes(host)), d.settings.AddressTTL
}

// startMeshServer serves the calls of other processes.
func startMeshServer(lc fx.Lifecycle, s Settings, network links.Network, m *feed.Mirror, p *warmup.Prefetcher, log *zap.Logger) error {
	r := mux.NewRouter()
	path, handler := feed.NewHandler(m)
	r.PathPrefix(path).Handler(handler)
	path, handler = p.Handler()
	r.PathPrefix(path).Handler(handler)
	l, err := network.Listen(context.Background(), s.MeshAddress)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, r, log, closeTimeout)))
	return nil
}

// registerQueries answers operators' questions on the administration address.
func registerQueries(s Settings, admin parts.Admin, h *proxy.Handler, log *zap.Logger) {
	admin.Handle(choice.Path, query.NewHandler(s.Host, h, log))
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

// registerShutdown logs the start, and drains the entry before its parts stop.
func registerShutdown(lc fx.Lifecycle, s Settings, server *httpd.Server, sy *syncer.Syncer, log *zap.Logger) {
	log.Info("start", zap.String("calls", s.ClientAddress.String()), zap.String("mesh", s.MeshAddress.String()), zap.Int("pid", os.Getpid()))
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		log.Info("stop", zap.Int("running", server.InProgress()))
		sy.StartDraining()
		if cut := server.Stop(ctx); cut > 0 {
			log.Warn("requests-cut", zap.Int("count", cut))
		}
		log.Info("stopped")
		return nil
	}))
}

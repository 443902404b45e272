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
	"currantport.example/entry/carry"
	"currantport.example/entry/internal/caller"
	"currantport.example/entry/internal/course"
	"currantport.example/entry/internal/naming"
	"currantport.example/entry/internal/target"
	"currantport.example/entry/internal/upkeep"
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

// Outside is what the entry speaks with the outside world.
type Outside struct {
	Callers   edges.Callers
	Upstreams edges.Upstreams
	// Platform publishes the rows.
	Platform feed.Source
	// Weights returns the origin whose address the function tells.
	Weights func(origin func() (netip.AddrPort, bool)) carry.Weights
}

// File is a settings file and what reads it again.
type File struct {
	Name string
	Read func() (Settings, error)
}

// Build returns the parts of an entry with the settings. The file
// of the settings is looked at for changes. An Outside must be provided beside them.
func Build(s Settings, file File) fx.Option {
	return fx.Options(
		fx.Supply(s, file),
		parts.ServerOptions(parts.Server{Host: s.Host, Role: hosts.RoleEntry, Level: s.Level, Admin: s.Admin, Memory: s.Memory}),
		fx.Provide(
			feed.NewMirror, crash.NewBook, newConns, newFleet, newMesh, newFollower,
			newCourses, newFront, newUpkeep, newDirectory, cache.New, newCarrier,
		),
		fx.Invoke(startAdmin, startReload, startStop),
	)
}

func newConns(lc fx.Lifecycle, n links.Network, m parts.Metrics) *conns.Pool {
	opened := m.Scope.Counter("upstream_connections")
	p, stop := conns.New(links.OutsideDialer(n.Dial), func() { opened.Inc(1) })
	return shell.Owned(lc, p, stop)
}

func newFleet(s Settings, n *mesh.Node, log *zap.Logger) *target.Fleet {
	return target.New(target.Options{
		Self: s.Host, Entries: n.Entries, Place: s.Place, Regions: s.Regions, VersionWithin: s.Bounds.Version, Random: rand.Float64, Log: log,
	})
}

func newMesh(lc fx.Lifecycle, s Settings, b *crash.Book, log *zap.Logger) (*mesh.Node, error) {
	socket, err := mesh.Listen(s.Mesh)
	if err != nil {
		return nil, err
	}
	self := member.Member{Front: s.Calls, Incarnation: mesh.NewIncarnation()}
	self.Host = hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.Mesh}
	n, stop := mesh.New(mesh.Options{
		Self: self, Socket: socket, Seeds: s.Seeds, Seed: rand.Uint64(), Marks: b, Log: log,
	})
	return shell.Owned(lc, n, stop), nil
}

func newCarrier(lc fx.Lifecycle, s Settings, o Outside, m *feed.Mirror, c *cache.Cache, f *target.Fleet, n *mesh.Node, peers parts.PeerClient, metrics parts.Metrics, log *zap.Logger) *carry.Carrier {
	self := hosts.Host{Name: s.Host, Place: s.Place, Role: hosts.RoleEntry, State: hosts.StateLive, Address: s.Mesh}
	k, stop := carry.New(carry.Options{
		Self: self, Regions: s.Regions, Mirror: m, Cache: c, Mesh: n, Client: peers.Client, Weights: o.Weights,
		Agent: s.Agent, Most: int64(s.Carry), Scope: metrics.Scope, Log: log,
	})
	n.Handle(mesh.Handlers{
		Load:  func(_ netip.AddrPort, l *wire.LoadDigest) { f.Heard(clocks.Now(), l.Upstream, upkeep.Digest(l)) },
		Holds: k.Hear, Shares: func(s *wire.Shares) { upkeep.Told(f, s) },
	})
	return shell.Owned(lc, k, stop)
}

func newFollower(lc fx.Lifecycle, s Settings, o Outside, m *feed.Mirror, n *mesh.Node, peers parts.PeerClient, log *zap.Logger) *feed.Follower {
	f, stop := feed.NewFollower(feed.FollowOptions{
		Reader: feed.Reader{Self: s.Host, Place: s.Place, Role: hosts.RoleEntry},
		Mirror: m, Entries: n.Entries, DirectAfter: feed.ContactLimit, Log: log,
		Source: func(name hosts.Name) (feed.Source, bool) {
			if name == feed.Direct {
				return o.Platform, true
			}
			e, ok := n.Find(name)
			return feed.NewRemote(peers.Client, e.Address, nil, true), ok
		},
	})
	return shell.Owned(lc, f, stop)
}

func newCourses(s Settings, o Outside, m *feed.Mirror, f *target.Fleet, p *conns.Pool, b *crash.Book, n *mesh.Node, metrics parts.Metrics, log *zap.Logger) *course.Courses {
	revoke := time.Duration((1 - revokeMargin) * float64(s.Bounds.Revoke))
	return course.New(course.Options{
		Mirror: m, Fleet: f, Conns: p, Callers: o.Callers, Upstreams: o.Upstreams, Crashes: b,
		Bounds:  course.Bounds{Revoke: revoke, Settled: s.Bounds.Apply},
		Repeats: budget.Limits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
		Entries: n.Known, Random: rand.Float64, Scope: metrics.Scope, Log: log,
	})
}

func newFront(lc fx.Lifecycle, s Settings, network links.Network, c *course.Courses, log *zap.Logger) (*caller.Server, error) {
	l, err := network.Listen(context.Background(), s.Calls)
	if err != nil {
		return nil, err
	}
	f, stop := caller.New(caller.Options{
		Listener: l, Handler: c, Refuse: c.Leaving(), Log: log,
		Serve: min(keepShares*s.Lifetime, s.StopWithin/2), Within: s.StopWithin - stopReserve,
	})
	return shell.Owned(lc, f, stop), nil
}

func newUpkeep(lc fx.Lifecycle, s Settings, m *feed.Mirror, _ *feed.Follower, f *target.Fleet, front *caller.Server, n *mesh.Node, p *conns.Pool, b *crash.Book, log *zap.Logger) *upkeep.Upkeep {
	u, stop := upkeep.New(upkeep.Options{
		Self: s.Host, Region: s.Place.Region, Mirror: m, Fleet: f, Front: front, Mesh: n, Conns: p, Crash: b,
		ReadyAge: time.Duration(readyShare * float64(s.Bounds.Revoke)), Agent: s.Agent, Log: log,
	})
	return shell.Owned(lc, u, stop)
}

// Directory tells callers and the platform about the entry.
type Directory struct {
	settings Settings
	mesh     *mesh.Node
	upkeep   *upkeep.Upkeep
}

func newDirectory(s Settings, n *mesh.Node, u *upkeep.Upkeep) *Directory {
	return &Directory{settings: s, mesh: n, upkeep: u}
}

// Ready reports whether the entry serves requests.
func (d *Directory) Ready() bool { return d.upkeep.Ready() }

// Addresses returns where a caller at a place should connect and for how long it may
// keep the answer. It is empty if the entry doesn't know.
func (d *Directory) Addresses(domain hosts.Domain) ([]netip.AddrPort, time.Duration) {
	if !d.Ready() {
		return nil, 0
	}
	at := hosts.Place{Domain: domain, Region: d.settings.Regions[domain]}
	return naming.Choose(d.mesh.Members(), at), d.settings.Lifetime
}

// startAdmin serves what other processes and operators call.
func startAdmin(lc fx.Lifecycle, s Settings, network links.Network, m *feed.Mirror, c *carry.Carrier, log *zap.Logger) error {
	r := mux.NewRouter()
	path, handler := feed.NewHandler(m)
	r.PathPrefix(path).Handler(handler)
	path, handler = c.Handler()
	r.PathPrefix(path).Handler(handler)
	l, err := network.Listen(context.Background(), s.Mesh)
	if err != nil {
		return err
	}
	lc.Append(fx.StopHook(links.Serve(l, r, log, closeWithin)))
	return nil
}

// startReload follows changes of the settings file.
func startReload(lc fx.Lifecycle, f File, n *mesh.Node, log *zap.Logger) {
	lc.Append(fx.StopHook(parts.Seeds{
		File: f.Name, Set: n.SetSeeds, Log: log,
		Read: func() ([]netip.AddrPort, error) {
			s, err := f.Read()
			return s.Seeds, err
		},
	}.Watch()))
}

// startStop logs the start and stops the entry gracefully before its parts end.
func startStop(lc fx.Lifecycle, s Settings, front *caller.Server, u *upkeep.Upkeep, log *zap.Logger) {
	log.Info("start", zap.String("calls", s.Calls.String()), zap.String("mesh", s.Mesh.String()), zap.Int("pid", os.Getpid()))
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		log.Info("stop", zap.Int("running", front.Running()))
		u.Leave()
		if cut := front.Stop(ctx); cut > 0 {
			log.Warn("requests-cut", zap.Int("count", cut))
		}
		log.Info("stopped")
		return nil
	}))
}

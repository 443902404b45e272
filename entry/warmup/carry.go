// Package carry lets an entry pass pieces of weights on to agents. The link of an entry
// is wide; those of the agents are narrow and carry the answers of engines.
//
// A version that was released is fetched at once, any other one when an agent asks for
// it. Versions that are too large for the memory of an entry are left to the agents.
package warmup

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/feed"
	"currantport.example/core/finish"
	"currantport.example/core/gather"
	"currantport.example/core/hosts"
	"currantport.example/core/mesh"
	"currantport.example/core/peer"
	"currantport.example/core/rings"
	"currantport.example/core/shell"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

const (
	// uploadSlots is the number of pieces that an entry sends at once.
	uploadSlots = 32
	// wantedRing bounds the versions that agents have asked for.
	wantedRing = 8
	// retryPause is the time before a fetch that failed is tried again.
	retryPause = 300 * time.Millisecond
	// lookInterval is the time between two looks at a fetch that may be given up.
	lookInterval = time.Second
)

// Source hands out versions of models and names them.
type Source interface {
	chunks.Source
	Name(model string, version int) chunks.Digest
}

// Options are the parts of a carrier.
type Options struct {
	Self    hosts.Host
	Regions map[hosts.Domain]hosts.Region
	Mirror  *feed.Mirror
	Cache   *cache.Cache
	Mesh    *mesh.Node
	Client  *http.Client
	// NewSource returns the origin whose address the function tells.
	NewSource func(origin func() (netip.AddrPort, bool)) Source
	// AgentPort is the port of the agents.
	AgentPort int
	// MaxBytes is the size up to which a version is carried.
	MaxBytes int64
	Scope    tally.Scope
	Log      *zap.Logger
}

// Prefetcher passes pieces on.
type Prefetcher struct {
	options  Options
	weights  Source
	server   *peer.Server
	gatherer *gather.Fetcher
	wanted   *rings.Ring[chunks.Digest]
	// released is the newest version of each model that was there when it was first
	// seen or has been fetched.
	released map[string]int
	// newest is the version that is to be fetched, released at since.
	mutex  sync.Mutex
	newest task
	since  time.Time
}

// New starts a carrier. The clean-up function ends it.
func New(o Options) (*Prefetcher, func()) {
	c := &Prefetcher{options: o, wanted: rings.New[chunks.Digest](wantedRing), released: make(map[string]int)}
	server, stop := peer.NewServerWithSlots(o.Cache, nil, uploadSlots)
	c.server = server
	c.weights = o.NewSource(func() (netip.AddrPort, bool) {
		if p := c.origin(); p != nil {
			return p.Address, true
		}
		return netip.AddrPort{}, false
	})
	c.gatherer = gather.New(gather.Options{
		Self: o.Self, Cache: o.Cache, Source: c.weights, Members: c.members, OnRequested: func(name chunks.Digest) { c.wanted.TrySend(name) },
		Origin: func() (hosts.Region, float64) {
			p := c.origin()
			if p == nil {
				return "", 0
			}
			return o.Regions[hosts.Domain(p.Domain)], p.Rate
		},
		ReleasedAt: c.releasedAt, Client: o.Client, Send: o.Mesh.Send, Seed: rand.Uint64(), Scope: o.Scope, Log: o.Log,
	}, server.QueueLength)
	g := shell.NewGroup()
	g.Go(c.run)
	return c, func() {
		stop()
		g.Stop()
	}
}

// Handler returns the path and the handler of agents that ask for pieces.
func (c *Prefetcher) Handler() (string, http.Handler) {
	return wire.NewPeerHandler(peer.NewHandler(c.server), wire.WithoutCompression())
}

// ReceiveHoldings takes what an agent tells of a version.
func (c *Prefetcher) ReceiveHoldings(from netip.AddrPort, h *wire.Holds) {
	c.gatherer.ReceiveHoldings(from, h)
}

func (c *Prefetcher) origin() *state.Origin {
	for _, p := range c.options.Mirror.Snapshot().Pools() {
		if p.Origin != nil {
			return p.Origin
		}
	}
	return nil
}

// members returns the live entries and the agents of all engines.
func (c *Prefetcher) members() []hosts.Host {
	all := c.options.Mesh.Entries()
	s := c.options.Mirror.Snapshot()
	for _, p := range s.Pools() {
		if p.Engine == nil {
			continue
		}
		for _, u := range s.Upstreams(p.Name) {
			domain := hosts.Domain(u.Domain)
			all = append(all, hosts.Host{
				Name: hosts.Name(u.Address.Addr().String()), Role: hosts.RoleAgent, State: hosts.StateLive,
				Place:   hosts.Place{Region: c.options.Regions[domain], Domain: domain},
				Address: netip.AddrPortFrom(u.Address.Addr(), uint16(c.options.AgentPort)),
			})
		}
	}
	return all
}

// task is a version that is to be fetched.
type task struct {
	model   string
	version int
	name    chunks.Digest
}

// run fetches versions one at a time. A newer one of the same model ends the fetch of
// one before it, unless that is nearly there.
func (c *Prefetcher) run(ctx context.Context) {
	var current task
	var fetching *shell.Group
	done := make(chan task, 1)
	stop := func() {
		if fetching != nil {
			fetching.Stop()
			fetching = nil
		}
	}
	defer stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		changed := c.options.Mirror.Changed()
		t, ok := c.next()
		if ok && t != current && !c.finishes(current, t, c.age(t)) {
			stop()
			current, fetching = t, shell.NewGroup()
			fetching.Go((&fetch{carrier: c, task: t, done: done}).run)
		}
		select {
		case <-changed:
		case <-look.C:
		case name := <-c.wanted.Values():
			c.want(name)
		case t := <-done:
			if t == current {
				c.released[t.model] = t.version
				current = task{}
			}
		case <-ctx.Done():
			return
		}
	}
}

// age returns the time since the version became the one that is to be fetched.
func (c *Prefetcher) age(t task) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t != c.newest {
		c.newest, c.since = t, time.Now()
	}
	return time.Since(c.since)
}

// releasedAt returns since when a version is the one that is to be fetched, or zero.
func (c *Prefetcher) releasedAt(name chunks.Digest) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.newest.name != name {
		return time.Time{}
	}
	return c.since
}

// finishes reports whether the current fetch goes on though a newer version was released.
func (c *Prefetcher) finishes(current, newest task, since time.Duration) bool {
	if current.model != newest.model {
		return false
	}
	r := finish.Progress{Version: current.version, Newest: newest.version, SinceRelease: since}
	if v, ok := c.options.Cache.Version(current.name); ok {
		for _, held := range c.options.Cache.Held(v) {
			r.Total++
			if held {
				r.Held++
			}
		}
	}
	return finish.ShouldFinish(r)
}

// next returns a released version that isn't there.
func (c *Prefetcher) next() (task, bool) {
	s := c.options.Mirror.Snapshot()
	for _, p := range s.Pools() {
		if p.Engine == nil || int64(p.Engine.Pieces)*int64(p.Engine.PieceBytes) > c.options.MaxBytes {
			continue
		}
		for _, m := range p.Engine.Models {
			r := s.Release(m.Name)
			known, ok := c.released[m.Name]
			if !ok {
				// Agents have what was there from the start, or will ask for it.
				c.released[m.Name] = r.Version
				continue
			}
			if r.Version > known {
				return task{model: m.Name, version: r.Version, name: c.weights.Name(m.Name, r.Version)}, true
			}
		}
	}
	return task{}, false
}

// want has the version with the name fetched, if it is the one to be served.
func (c *Prefetcher) want(name chunks.Digest) {
	if _, ok := c.options.Cache.Version(name); ok {
		return
	}
	s := c.options.Mirror.Snapshot()
	for model := range c.released {
		r := s.Release(model)
		if c.weights.Name(model, r.Version) == name {
			c.released[model] = r.Version - 1
		}
	}
}

// fetch brings one version.
type fetch struct {
	carrier *Prefetcher
	task    task
	done    chan task
}

func (f *fetch) run(ctx context.Context) {
	c := f.carrier
	began := time.Now()
	c.options.Cache.AllowUnverified(f.task.name)
	for ctx.Err() == nil {
		_, err := c.gatherer.Fetch(ctx, f.task.name)
		if err == nil {
			break
		}
		c.options.Log.Warn("fetch-failed", zap.Int("version", f.task.version), zap.Error(err))
		t := time.NewTimer(retryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	if ctx.Err() != nil {
		return
	}
	c.options.Cache.Retain([]chunks.Digest{f.task.name})
	c.options.Log.Info("fetched", zap.String("model", f.task.model), zap.Int("version", f.task.version), zap.Duration("took", time.Since(began)))
	select {
	case f.done <- f.task:
	case <-ctx.Done():
	}
}

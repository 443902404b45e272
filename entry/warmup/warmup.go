// Package warmup lets an entry prefetch the weights of models and forward their pieces to
// agents. The link of an entry is wide; those of the agents are narrow and carry the
// responses of engines.
//
// A version is fetched as soon as it is released, any other one when an agent requests it.
// Versions that are too large for the memory of an entry are left to the agents.
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
	// uploadSlots is the maximum number of concurrent uploads of an entry.
	uploadSlots = 32
	// requestedCapacity is the maximum number of queued versions that agents have
	// requested.
	requestedCapacity = 8
	// fetchRetryBackoff is the time until the next attempt after a fetch has failed.
	fetchRetryBackoff = 300 * time.Millisecond
	// recheckInterval is the time between two checks whether a newer version replaces the
	// fetch in progress.
	recheckInterval = time.Second
)

// Source reads versions of models and names them.
type Source interface {
	chunks.Source
	Name(model string, version int) chunks.Digest
}

// Options configure a prefetcher.
type Options struct {
	Self    hosts.Host
	Regions map[hosts.Domain]hosts.Region
	Mirror  *feed.Mirror
	Cache   *cache.Cache
	Mesh    *mesh.Node
	Client  *http.Client
	// NewSource returns the source of weights at the origin. The origin function returns its
	// address, or false while none is known.
	NewSource func(origin func() (netip.AddrPort, bool)) Source
	// AgentPort is the mesh port of the upstreams' agents.
	AgentPort int
	// MaxBytes is the maximum size of a version that is fetched.
	MaxBytes int64
	Scope    tally.Scope
	Log      *zap.Logger
}

// Prefetcher fetches versions and serves their pieces to agents.
type Prefetcher struct {
	options   Options
	source    Source
	server    *peer.Server
	fetcher   *gather.Fetcher
	requested *rings.Ring[chunks.Digest]
	// known is the newest version of each model that existed when the model was first seen
	// or that has been fetched.
	known map[string]int
	// mutex guards newest, the version to fetch, and newestSince, the time at which
	// it became that.
	mutex       sync.Mutex
	newest      task
	newestSince time.Time
}

// New starts a prefetcher. The clean-up function stops it.
func New(o Options) (*Prefetcher, func()) {
	f := &Prefetcher{options: o, requested: rings.New[chunks.Digest](requestedCapacity), known: make(map[string]int)}
	server, stop := peer.NewServerWithSlots(o.Cache, nil, uploadSlots)
	f.server = server
	f.source = o.NewSource(func() (netip.AddrPort, bool) {
		if p := f.origin(); p != nil {
			return p.Address, true
		}
		return netip.AddrPort{}, false
	})
	f.fetcher = gather.New(gather.Options{
		Self: o.Self, Cache: o.Cache, Source: f.source, Members: f.members, OnRequested: func(name chunks.Digest) { f.requested.TrySend(name) },
		Origin: func() (hosts.Region, float64) {
			p := f.origin()
			if p == nil {
				return "", 0
			}
			return o.Regions[hosts.Domain(p.Domain)], p.Rate
		},
		ReleasedAt: f.releasedAt, Client: o.Client, Send: o.Mesh.Send, Seed: rand.Uint64(), Scope: o.Scope, Log: o.Log,
	}, server.QueueLength)
	g := shell.NewGroup()
	g.Go(f.run)
	return f, func() {
		stop()
		g.Stop()
	}
}

// Handler returns the path and the handler of the peer service, from which agents fetch
// pieces.
func (f *Prefetcher) Handler() (string, http.Handler) {
	return wire.NewPeerHandler(peer.NewHandler(f.server), wire.WithoutCompression())
}

// ReceiveHoldings handles a report of an agent on its holdings of a version.
func (f *Prefetcher) ReceiveHoldings(from netip.AddrPort, h *wire.Holds) {
	f.fetcher.ReceiveHoldings(from, h)
}

func (f *Prefetcher) origin() *state.Origin {
	for _, p := range f.options.Mirror.Snapshot().Pools() {
		if p.Origin != nil {
			return p.Origin
		}
	}
	return nil
}

// members returns the live entries and the agents of all engines.
func (f *Prefetcher) members() []hosts.Host {
	all := f.options.Mesh.Entries()
	s := f.options.Mirror.Snapshot()
	for _, p := range s.Pools() {
		if p.Engine == nil {
			continue
		}
		for _, u := range s.Upstreams(p.Name) {
			domain := hosts.Domain(u.Domain)
			all = append(all, hosts.Host{
				Name: hosts.Name(u.Address.Addr().String()), Role: hosts.RoleAgent, State: hosts.StateLive,
				Place:   hosts.Place{Region: f.options.Regions[domain], Domain: domain},
				Address: netip.AddrPortFrom(u.Address.Addr(), uint16(f.options.AgentPort)),
			})
		}
	}
	return all
}

// task is a version to fetch.
type task struct {
	model   string
	version int
	name    chunks.Digest
}

// run fetches versions one at a time. A newer version of the same model cancels the fetch
// of an earlier one, unless that is nearly complete.
func (f *Prefetcher) run(ctx context.Context) {
	var current task
	var job *shell.Group
	done := make(chan task, 1)
	stop := func() {
		if job != nil {
			job.Stop()
			job = nil
		}
	}
	defer stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for {
		changed := f.options.Mirror.Changed()
		t, ok := f.nextTask()
		if ok && t != current && !f.shouldFinish(current, t, f.sinceRelease(t)) {
			stop()
			current, job = t, shell.NewGroup()
			job.Go((&fetchJob{prefetcher: f, task: t, done: done}).run)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case name := <-f.requested.Values():
			f.handleRequested(name)
		case t := <-done:
			if t == current {
				f.known[t.model] = t.version
				current = task{}
			}
		case <-ctx.Done():
			return
		}
	}
}

// sinceRelease returns the time since the version became the one to fetch.
func (f *Prefetcher) sinceRelease(t task) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if t != f.newest {
		f.newest, f.newestSince = t, time.Now()
	}
	return time.Since(f.newestSince)
}

// releasedAt returns the time at which a version became the one to fetch, or zero if it
// isn't.
func (f *Prefetcher) releasedAt(name chunks.Digest) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.newest.name != name {
		return time.Time{}
	}
	return f.newestSince
}

// shouldFinish reports whether the current fetch continues although a newer version was
// released.
func (f *Prefetcher) shouldFinish(current, newest task, since time.Duration) bool {
	if current.model != newest.model {
		return false
	}
	p := finish.Progress{Version: current.version, Newest: newest.version, SinceRelease: since}
	if v, ok := f.options.Cache.Version(current.name); ok {
		for _, held := range f.options.Cache.Held(v) {
			p.Total++
			if held {
				p.Held++
			}
		}
	}
	return finish.ShouldFinish(p)
}

// nextTask returns a released version that hasn't been fetched.
func (f *Prefetcher) nextTask() (task, bool) {
	s := f.options.Mirror.Snapshot()
	for _, p := range s.Pools() {
		if p.Engine == nil || int64(p.Engine.Pieces)*int64(p.Engine.PieceBytes) > f.options.MaxBytes {
			continue
		}
		for _, m := range p.Engine.Models {
			r := s.Release(m.Name)
			known, ok := f.known[m.Name]
			if !ok {
				// Agents hold a version that existed at the start, or will request it.
				f.known[m.Name] = r.Version
				continue
			}
			if r.Version > known {
				return task{model: m.Name, version: r.Version, name: f.source.Name(m.Name, r.Version)}, true
			}
		}
	}
	return task{}, false
}

// handleRequested schedules the fetch of the version with the given name if it is the
// released one.
func (f *Prefetcher) handleRequested(name chunks.Digest) {
	if _, ok := f.options.Cache.Version(name); ok {
		return
	}
	s := f.options.Mirror.Snapshot()
	for model := range f.known {
		r := s.Release(model)
		if f.source.Name(model, r.Version) == name {
			f.known[model] = r.Version - 1
		}
	}
}

// fetchJob fetches one version.
type fetchJob struct {
	prefetcher *Prefetcher
	task       task
	done       chan task
}

func (j *fetchJob) run(ctx context.Context) {
	f := j.prefetcher
	startedAt := time.Now()
	f.options.Cache.AllowUnverified(j.task.name)
	for ctx.Err() == nil {
		_, err := f.fetcher.Fetch(ctx, j.task.name)
		if err == nil {
			break
		}
		f.options.Log.Warn("fetch-failed", zap.Int("version", j.task.version), zap.Error(err))
		t := time.NewTimer(fetchRetryBackoff)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	if ctx.Err() != nil {
		return
	}
	f.options.Cache.Retain([]chunks.Digest{j.task.name})
	f.options.Log.Info("fetched", zap.String("model", j.task.model), zap.Int("version", j.task.version), zap.Duration("took", time.Since(startedAt)))
	select {
	case j.done <- j.task:
	case <-ctx.Done():
	}
}

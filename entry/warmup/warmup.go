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
	"slices"
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
	// VersionTimeout is the time within which a released version must be served, or zero for no
	// limit.
	VersionTimeout time.Duration
	Scope          tally.Scope
	Log            *zap.Logger
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
	// memberMemo holds the result of members.
	memberMemo hosts.Memo[*state.Snapshot]
	// mutex guards newest, the version to fetch, and newestSince, the time at which
	// it became that.
	mutex       sync.Mutex
	newest      task
	newestSince time.Time
}

// New starts a prefetcher. The clean-up function stops it.
func New(o Options) (*Prefetcher, func()) {
	p := &Prefetcher{options: o, requested: rings.New[chunks.Digest](requestedCapacity), known: make(map[string]int)}
	server, stop := peer.NewServerWithSlots(o.Cache, nil, uploadSlots)
	p.server = server
	p.source = o.NewSource(func() (netip.AddrPort, bool) {
		if origin := p.origin(); origin != nil {
			return origin.Address, true
		}
		return netip.AddrPort{}, false
	})
	p.fetcher = gather.New(gather.Options{
		Self: o.Self, Cache: o.Cache, Source: p.source, Members: p.members, OnRequested: func(name chunks.Digest) { p.requested.TrySend(name) },
		Origin: func() (hosts.Region, float64) {
			origin := p.origin()
			if origin == nil {
				return "", 0
			}
			return o.Regions[hosts.Domain(origin.Domain)], origin.Rate
		},
		ReleasedAt: p.releasedAt, Client: o.Client, Send: o.Mesh.Send, Seed: rand.Uint64(), Scope: o.Scope, Log: o.Log,
	}, server.QueueLength)
	g := shell.NewGroup()
	g.Go(p.run)
	return p, func() {
		stop()
		g.Stop()
	}
}

// Handler returns the path and the handler of the peer service, from which agents fetch
// pieces.
func (p *Prefetcher) Handler() (string, http.Handler) {
	return wire.NewPeerHandler(peer.NewHandler(p.server), wire.WithoutCompression())
}

// ReceiveHoldings handles a report of an agent on its holdings of a version.
func (p *Prefetcher) ReceiveHoldings(from netip.AddrPort, h *wire.Holds) {
	p.fetcher.ReceiveHoldings(from, h)
}

func (p *Prefetcher) origin() *state.Origin {
	for _, pl := range p.options.Mirror.Snapshot().Pools() {
		if pl.Origin != nil {
			return pl.Origin
		}
	}
	return nil
}

// members returns the live entries and the agents of all engines.
func (p *Prefetcher) members() []hosts.Host {
	entries, s := p.options.Mesh.Entries(), p.options.Mirror.Snapshot()
	return p.memberMemo.Get(entries, s, func() []hosts.Host { return p.listMembers(entries, s) })
}

func (p *Prefetcher) listMembers(entries []hosts.Host, s *state.Snapshot) []hosts.Host {
	all := slices.Clone(entries)
	for _, pl := range s.Pools() {
		if pl.Engine == nil {
			continue
		}
		for _, u := range s.Upstreams(pl.Name) {
			domain := hosts.Domain(u.Domain)
			all = append(all, hosts.Host{
				Name: hosts.Name(u.Address.Addr().String()), Role: hosts.RoleAgent, State: hosts.StateLive,
				Place:   hosts.Place{Region: p.options.Regions[domain], Domain: domain},
				Address: netip.AddrPortFrom(u.Address.Addr(), uint16(p.options.AgentPort)),
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
func (p *Prefetcher) run(ctx context.Context) {
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
		changed := p.options.Mirror.Changed()
		t, ok := p.nextTask()
		if ok && t != current && !p.shouldFinish(current, t, p.sinceRelease(t)) {
			stop()
			current, job = t, shell.NewGroup()
			job.Go((&fetchJob{prefetcher: p, task: t, done: done}).run)
		}
		select {
		case <-changed:
		case <-recheck.C:
		case name := <-p.requested.Values():
			p.handleRequested(name)
		case t := <-done:
			if t == current {
				p.known[t.model] = t.version
				current = task{}
			}
		case <-ctx.Done():
			return
		}
	}
}

// sinceRelease returns the time since the version became the one to fetch.
func (p *Prefetcher) sinceRelease(t task) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if t != p.newest {
		p.newest, p.newestSince = t, time.Now()
	}
	return time.Since(p.newestSince)
}

// releasedAt returns the time at which a version became the one to fetch, or zero if it
// isn't.
func (p *Prefetcher) releasedAt(name chunks.Digest) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.newest.name != name {
		return time.Time{}
	}
	return p.newestSince
}

// shouldFinish reports whether the current fetch continues although a newer version was
// released.
func (p *Prefetcher) shouldFinish(current, newest task, since time.Duration) bool {
	if current.model != newest.model {
		return false
	}
	progress := finish.Progress{
		Version: current.version, Newest: newest.version, SinceRelease: since, Timeout: p.options.VersionTimeout, LoadTime: p.loadTime(newest.model),
	}
	if v, ok := p.options.Cache.Version(current.name); ok {
		for _, held := range p.options.Cache.Held(v) {
			progress.Total++
			if held {
				progress.Held++
			}
		}
	}
	return finish.ShouldFinish(progress)
}

// loadTime returns the time that an engine takes to load a version, or zero if it isn't known.
func (p *Prefetcher) loadTime(model string) time.Duration {
	for _, pl := range p.options.Mirror.Snapshot().Pools() {
		if pl.Engine == nil {
			continue
		}
		for _, m := range pl.Engine.Models {
			if m.Name == model {
				return m.LoadTime
			}
		}
	}
	return 0
}

// nextTask returns a released version that hasn't been fetched.
func (p *Prefetcher) nextTask() (task, bool) {
	s := p.options.Mirror.Snapshot()
	for _, pl := range s.Pools() {
		if pl.Engine == nil || int64(pl.Engine.Pieces)*int64(pl.Engine.PieceBytes) > p.options.MaxBytes {
			continue
		}
		for _, m := range pl.Engine.Models {
			r := s.Release(m.Name)
			known, ok := p.known[m.Name]
			if !ok {
				// Agents hold a version that existed at the start, or will request it.
				p.known[m.Name] = r.Version
				continue
			}
			if r.Version > known {
				return task{model: m.Name, version: r.Version, name: p.source.Name(m.Name, r.Version)}, true
			}
		}
	}
	return task{}, false
}

// handleRequested schedules the fetch of the version with the given name if it is the
// released one.
func (p *Prefetcher) handleRequested(name chunks.Digest) {
	if _, ok := p.options.Cache.Version(name); ok {
		return
	}
	s := p.options.Mirror.Snapshot()
	for model := range p.known {
		r := s.Release(model)
		if p.source.Name(model, r.Version) == name {
			p.known[model] = r.Version - 1
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
	p := j.prefetcher
	startedAt := time.Now()
	p.options.Cache.AllowUnverified(j.task.name)
	for ctx.Err() == nil {
		_, err := p.fetcher.Fetch(ctx, j.task.name)
		if err == nil {
			break
		}
		p.options.Log.Warn("fetch-failed", zap.Int("version", j.task.version), zap.Error(err))
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
	p.options.Cache.Retain([]chunks.Digest{j.task.name})
	p.options.Log.Info("fetched", zap.String("model", j.task.model), zap.Int("version", j.task.version), zap.Duration("took", time.Since(startedAt)))
	select {
	case j.done <- j.task:
	case <-ctx.Done():
	}
}

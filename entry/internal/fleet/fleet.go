// Package fleet keeps what an entry knows about the upstreams of the pools in
// force.
//
// # Views
//
// A view holds the candidates of one pool in the form that the picker takes. It
// is built anew when the pool's row or the list of hosts changes; loads are
// written into it as they come.
//
// # Loads
//
// Loads come with the replies to requests. Askers ask the upstreams from which
// nothing was heard for a while, at a bounded rate.
package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/admit"
	"currantport.example/core/hosts"
	"currantport.example/core/picker"
	"currantport.example/core/rings"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
)

// Roster tells which hosts there are.
type Roster interface {
	Now() hosts.List
}

// Fleet holds the state of each upstream. Goroutines share it.
type Fleet struct {
	self   hosts.Host
	force  *tables.Active
	roster Roster
	client *http.Client
	log    *zap.Logger
	due    *rings.Ring[*upstream]

	mutex sync.Mutex
	// known is keyed by host name and holds the hosts of the pools in force.
	known map[hosts.Name]*upstream
	// views is keyed by the name of the pool.
	views  map[string]*view
	caches *picker.Caches
	// built is what the views were built from.
	built source
}

// source is what views are built from.
type source struct {
	revision tables.Revision
	list     hosts.List
}

// upstream is what is known of one host. The mutex of the fleet guards it.
type upstream struct {
	// host is the newest entry of the list, which is kept while the list lacks
	// the host.
	host     hosts.Host
	seed     uint64
	model    string
	version  string
	manifest string
	leaving  bool
	// answered tells that the last ask or request was answered.
	answered bool
	others   int32
	own      int32
	// limit is the number of requests that the upstream takes, or zero.
	limit  int
	window admit.Window
	// heard is when the last report came, asked when the last ask was sent.
	heard  time.Time
	asked  time.Time
	asking bool
	slots  []slot
}

// slot is the place of an upstream in a view.
type slot struct {
	view  *view
	index int
}

// view holds the candidates of one pool.
type view struct {
	pool tables.Pool
	// members and candidates are ordered by seed and match by index.
	members    []*upstream
	candidates []picker.Candidate
}

// New returns a fleet that asks the upstreams until the clean-up function is
// called.
func New(self hosts.Host, force *tables.Active, list Roster, client *http.Client, log *zap.Logger) (*Fleet, func()) {
	f := &Fleet{
		self: self, force: force, roster: list, client: client, log: log, due: rings.New[*upstream](askBurst),
		known: make(map[hosts.Name]*upstream), views: make(map[string]*view), caches: picker.NewCaches(),
	}
	g := shell.NewGroup()
	g.Go(f.run)
	for range askWorkers {
		a := &asker{fleet: f}
		g.Go(a.run)
	}
	return f, g.Stop
}

// Target is an upstream that a request may be sent to.
type Target struct {
	Host hosts.Host
	// Version is the one that the upstream serves. It is empty for a plain
	// service.
	Version string
}

// Choose returns the upstream of the pool that a request with the body goes to.
// Hosts in tried are passed over.
func (f *Fleet) Choose(pool tables.Pool, body []byte, tried map[hosts.Name]bool) (Target, bool) {
	q := picker.Query{Prefix: picker.PrefixOf(body), Even: pool.Kind == tables.PoolService}
	for n := range tried {
		q.Tried = append(q.Tried, picker.SeedOf(n))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	q.Holders = f.caches.Holders(q.Prefix)
	v := f.view(pool)
	i := picker.Choose(v.candidates, q)
	if i < 0 {
		return Target{}, false
	}
	return Target{Host: v.members[i].host, Version: v.members[i].version}, true
}

// Find returns the upstream of the pool with the name. A host that the list
// lacks is found while it answers. One that was never asked is taken to serve
// the version of the pool.
func (f *Fleet) Find(pool tables.Pool, name hosts.Name) (Target, bool) {
	h, ok := f.roster.Now().Find(name)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.known[name]
	if u == nil || !u.answered {
		return Target{Host: h, Version: pool.Version}, ok
	}
	if !ok {
		h = u.host
	}
	return Target{Host: h, Version: u.version}, true
}

// Room returns the number of requests that the entry may have in progress at
// the upstreams of the pool that are ready.
func (f *Fleet) Room(pool tables.Pool) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	room := 0
	for _, c := range f.view(pool).candidates {
		if c.Ready {
			room += int(c.Window)
		}
	}
	return room
}

// Begin counts a request in progress at an upstream until the returned function
// is called.
func (f *Fleet) Begin(name hosts.Name) func() {
	f.add(name, 1)
	return func() { f.add(name, -1) }
}

func (f *Fleet) add(name hosts.Name, n int32) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstream(name)
	u.own += n
	u.write()
}

// Report is what an attempt showed of an upstream.
type Report struct {
	// Running is the number of requests in progress that the upstream told, or
	// negative if it told none.
	Running int
	// First is the time to the first part of the answer, or zero if none came.
	First time.Duration
	// Overloaded tells that the upstream refused for its load.
	Overloaded bool
	// Stale tells that the upstream refused for its version or because it leaves.
	Stale bool
	// Lost tells that the connection failed or went silent.
	Lost bool
}

// Report takes what an attempt showed. It is called before the attempt ends.
func (f *Fleet) Report(name hosts.Name, r Report) {
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstream(name)
	switch {
	case r.Lost:
		u.set(func() { u.answered = false })
		u.asked = time.Time{}
	case r.Stale:
		u.set(func() { u.manifest = "" })
		u.asked = time.Time{}
	case r.Overloaded:
		u.window.Overloaded()
	case r.First > 0:
		u.window.Answered(now, r.First, int(u.own))
	}
	if r.Running >= 0 && !r.Lost {
		u.others = max(int32(r.Running)-u.own, 0)
		u.heard = now
	}
	u.write()
}

func (f *Fleet) upstream(name hosts.Name) *upstream {
	u := f.known[name]
	if u == nil {
		u = &upstream{seed: picker.SeedOf(name)}
		u.host.Name = name
		f.known[name] = u
	}
	return u
}

// view returns the view of the pool. It is built anew if the row differs.
func (f *Fleet) view(pool tables.Pool) *view {
	v := f.views[pool.Name]
	if v == nil || v.pool.Manifest != pool.Manifest || !slices.Equal(v.pool.Hosts, pool.Hosts) {
		v = f.build(pool)
	}
	return v
}

func (f *Fleet) build(pool tables.Pool) *view {
	if old := f.views[pool.Name]; old != nil {
		old.release()
	}
	list := f.roster.Now()
	v := &view{pool: pool}
	for _, h := range picker.Subset(f.self, list.WithRole(hosts.RoleEntry), f.members(list, pool)) {
		u := f.upstream(h.Name)
		u.host = h
		v.members = append(v.members, u)
	}
	slices.SortFunc(v.members, compareSeeds)
	v.candidates = make([]picker.Candidate, len(v.members))
	for i, u := range v.members {
		v.candidates[i] = picker.Candidate{Seed: u.seed, Tier: picker.TierOf(f.self.Place, u.host.Place)}
		u.slots = append(u.slots, slot{view: v, index: i})
		u.write()
	}
	v.judge()
	f.views[pool.Name] = v
	return v
}

// members returns the hosts of a pool. Hosts that the list lacks belong to it
// while they answer.
func (f *Fleet) members(list hosts.List, pool tables.Pool) []hosts.Host {
	all := make([]hosts.Host, 0, len(pool.Hosts))
	for _, n := range pool.Hosts {
		h, ok := list.Find(n)
		if u := f.known[n]; !ok && u != nil && u.answered {
			h, ok = u.host, true
			h.State = hosts.StateLive
		}
		if ok {
			all = append(all, h)
		}
	}
	return all
}

func (v *view) release() {
	for _, u := range v.members {
		u.slots = slices.DeleteFunc(u.slots, func(s slot) bool { return s.view == v })
	}
}

// set changes what decides whether an upstream is ready.
func (u *upstream) set(change func()) {
	change()
	for _, s := range u.slots {
		s.view.judge()
	}
}

// judge decides which candidates are ready. Requests may get another version of
// the pool's model until the share of hosts that the pool keeps ready serves the
// version of the pool.
func (v *view) judge() {
	current := 0
	for _, u := range v.members {
		if u.isOpen() && u.serves(&v.pool) {
			current++
		}
	}
	older := current == 0 || float64(current) < v.pool.Ready*float64(len(v.members))
	for i, u := range v.members {
		v.candidates[i].Ready = u.isOpen() && (u.serves(&v.pool) || older && u.servesOlder(&v.pool))
	}
}

func (u *upstream) isOpen() bool {
	return u.answered && !u.leaving && u.host.State != hosts.StateLeaving
}

func (u *upstream) serves(p *tables.Pool) bool {
	return p.Kind == tables.PoolService || u.manifest == p.Manifest.String()
}

func (u *upstream) servesOlder(p *tables.Pool) bool {
	return p.Kind == tables.PoolModel && u.manifest != "" && u.model == p.Model
}

// write brings the loads of the candidates of an upstream up to date.
func (u *upstream) write() {
	for _, s := range u.slots {
		c := &s.view.candidates[s.index]
		c.Others, c.Own, c.Window = u.others, u.own, int32(u.window.Size(u.limit))
	}
}

// run keeps the views up to date and sends the askers to the upstreams that are
// due.
func (f *Fleet) run(ctx context.Context) {
	left := &allowance{all: askBurst}
	for ctx.Err() == nil {
		f.refresh()
		left.add(askTick)
		f.send(time.Now(), left)
		select {
		case <-time.After(askTick):
		case <-ctx.Done():
		}
	}
}

// refresh builds the views anew if the tables or the list have changed.
func (f *Fleet) refresh() {
	pools, list := f.force.Snapshot().Pools, f.roster.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if pools.Revision == f.built.revision && slices.Equal(list.All(), f.built.list.All()) && len(f.views) == len(pools.Rows) {
		return
	}
	f.built = source{revision: pools.Revision, list: list}
	for name, v := range f.views {
		if _, ok := pools.Rows[name]; !ok {
			v.release()
			delete(f.views, name)
		}
	}
	for _, p := range pools.Rows {
		f.build(p)
	}
	for name, u := range f.known {
		if len(u.slots) == 0 && u.own == 0 && !u.asking {
			f.caches.Forget(u.seed)
			delete(f.known, name)
		}
	}
}

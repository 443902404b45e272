// Package fleet holds the state of the upstreams of the active pools and chooses the
// upstream of a request.
//
// # Views
//
// A view holds the candidates of one pool in the form that the picker needs. It is
// rebuilt when the pool's row or the list of hosts changes; loads are written into
// it as they arrive.
//
// # Loads
//
// Responses to requests report the load of their upstream. Upstreams without a recent
// report are queried at a limited rate.
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

// Roster provides the list of hosts.
type Roster interface {
	// Now returns the current list.
	Now() hosts.List
}

// Fleet holds the state of each upstream. Goroutines share it.
type Fleet struct {
	self   hosts.Host
	active *tables.Active
	roster Roster
	client *http.Client
	log    *zap.Logger
	due    *rings.Ring[*upstream]

	mutex sync.Mutex
	// upstreams is keyed by host name and holds the hosts of the active pools.
	upstreams map[hosts.Name]*upstream
	// views is keyed by the name of the pool.
	views  map[string]*view
	caches *picker.Caches
	// viewSource identifies the data from which the views were built.
	viewSource viewSource
}

// viewSource identifies the data from which views are built.
type viewSource struct {
	revision tables.Revision
	hosts    hosts.List
}

// upstream is the state of one host. The mutex of the fleet guards it.
type upstream struct {
	// host is the newest entry of the list. It is kept while the host is missing from
	// the list.
	host       hosts.Host
	seed       uint64
	model      string
	version    string
	manifest   string
	isDraining bool
	// isResponding is true if the last query succeeded and no request has lost the
	// upstream since.
	isResponding bool
	// entryLoad is the number of requests of this entry in progress, otherLoad that of
	// the other entries.
	otherLoad int32
	entryLoad int32
	// limit is the number of concurrent requests that the upstream accepts, or zero.
	limit  int
	window admit.Window
	// reportedAt is the time of the last load report, queriedAt that of the last query.
	// A zero queriedAt makes a query due at once.
	reportedAt time.Time
	queriedAt  time.Time
	isQuerying bool
	slots      []slot
}

// slot is the position of an upstream in a view.
type slot struct {
	view  *view
	index int
}

// view holds the candidates of one pool.
type view struct {
	pool tables.Pool
	// members and candidates are ordered by seed and correspond by index.
	members    []*upstream
	candidates []picker.Candidate
}

// New returns a fleet that queries the upstreams until the clean-up function is
// called.
func New(self hosts.Host, active *tables.Active, roster Roster, client *http.Client, log *zap.Logger) (*Fleet, func()) {
	f := &Fleet{
		self: self, active: active, roster: roster, client: client, log: log, due: rings.New[*upstream](queryBurst),
		upstreams: make(map[hosts.Name]*upstream), views: make(map[string]*view), caches: picker.NewCaches(),
	}
	g := shell.NewGroup()
	g.Go(f.run)
	for range queryWorkers {
		q := &querier{fleet: f}
		g.Go(q.run)
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

// Choose returns the upstream of the pool for a request with the body. It skips the
// hosts in tried and returns false if no other one is ready.
func (f *Fleet) Choose(pool tables.Pool, body []byte, tried map[hosts.Name]bool) (Target, bool) {
	q := picker.Query{Prefix: picker.PrefixOf(body), NoAffinity: pool.Kind == tables.PoolService}
	for n := range tried {
		q.Excluded = append(q.Excluded, picker.SeedOf(n))
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

// Find returns the upstream of the pool with the name. A host that is missing from
// the list is found while it responds. One that doesn't respond, or was never queried,
// is assumed to serve the version of the pool.
func (f *Fleet) Find(pool tables.Pool, name hosts.Name) (Target, bool) {
	h, ok := f.roster.Now().Find(name)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstreams[name]
	if u == nil || !u.isResponding {
		return Target{Host: h, Version: pool.Version}, ok
	}
	if !ok {
		h = u.host
	}
	return Target{Host: h, Version: u.version}, true
}

// Capacity returns the number of requests that the entry may have in progress at the
// ready upstreams of the pool.
func (f *Fleet) Capacity(pool tables.Pool) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	capacity := 0
	for _, c := range f.view(pool).candidates {
		if c.Ready {
			capacity += int(c.Window)
		}
	}
	return capacity
}

// Begin counts a request in progress at an upstream until the returned function
// is called.
func (f *Fleet) Begin(name hosts.Name) func() {
	f.addLoad(name, 1)
	return func() { f.addLoad(name, -1) }
}

func (f *Fleet) addLoad(name hosts.Name, n int32) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstream(name)
	u.entryLoad += n
	u.writeLoad()
}

// Report is the result of an attempt at an upstream.
type Report struct {
	// Running is the number of requests in progress that the upstream reported, or
	// negative if it reported none.
	Running int
	// TimeToFirstPart is the time to the first part of the response, or zero if none
	// arrived.
	TimeToFirstPart time.Duration
	// Overloaded is true if the upstream refused for overload.
	Overloaded bool
	// Stale is true if the upstream refused for its version or because it is starting
	// or draining.
	Stale bool
	// Lost is true if the connection failed or timed out.
	Lost bool
}

// Report records the result of an attempt. It must be called before the function that
// Begin returned.
func (f *Fleet) Report(name hosts.Name, r Report) {
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstream(name)
	switch {
	case r.Lost:
		u.updateReadiness(func() { u.isResponding = false })
		u.queriedAt = time.Time{}
	case r.Stale:
		u.updateReadiness(func() { u.manifest = "" })
		u.queriedAt = time.Time{}
	case r.Overloaded:
		u.window.RecordOverload()
	case r.TimeToFirstPart > 0:
		u.window.RecordResponse(now, r.TimeToFirstPart, int(u.entryLoad))
	}
	if r.Running >= 0 && !r.Lost {
		u.otherLoad = max(int32(r.Running)-u.entryLoad, 0)
		u.reportedAt = now
	}
	u.writeLoad()
}

func (f *Fleet) upstream(name hosts.Name) *upstream {
	u := f.upstreams[name]
	if u == nil {
		u = &upstream{seed: picker.SeedOf(name)}
		u.host.Name = name
		f.upstreams[name] = u
	}
	return u
}

// view returns the view of the pool, which is rebuilt if the row has changed.
func (f *Fleet) view(pool tables.Pool) *view {
	v := f.views[pool.Name]
	if v == nil || v.pool.Manifest != pool.Manifest || !slices.Equal(v.pool.Hosts, pool.Hosts) {
		v = f.build(pool)
	}
	return v
}

func (f *Fleet) build(pool tables.Pool) *view {
	if old := f.views[pool.Name]; old != nil {
		old.detach()
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
		u.writeLoad()
	}
	v.evaluateReadiness()
	f.views[pool.Name] = v
	return v
}

// members returns the hosts of a pool. Hosts that are missing from the list are
// included while they respond.
func (f *Fleet) members(list hosts.List, pool tables.Pool) []hosts.Host {
	all := make([]hosts.Host, 0, len(pool.Hosts))
	for _, n := range pool.Hosts {
		h, ok := list.Find(n)
		if u := f.upstreams[n]; !ok && u != nil && u.isResponding {
			h, ok = u.host, true
			h.State = hosts.StateLive
		}
		if ok {
			all = append(all, h)
		}
	}
	return all
}

// detach removes the view from its members.
func (v *view) detach() {
	for _, u := range v.members {
		u.slots = slices.DeleteFunc(u.slots, func(s slot) bool { return s.view == v })
	}
}

// updateReadiness applies a change that may affect whether the upstream is ready.
func (u *upstream) updateReadiness(change func()) {
	change()
	for _, s := range u.slots {
		s.view.evaluateReadiness()
	}
}

// evaluateReadiness decides which candidates are ready. Requests may get another
// version of the pool's model until the required ratio of hosts serves the version of
// the pool.
func (v *view) evaluateReadiness() {
	current := 0
	for _, u := range v.members {
		if u.isAvailable() && u.servesTarget(&v.pool) {
			current++
		}
	}
	older := current == 0 || float64(current) < v.pool.Ready*float64(len(v.members))
	for i, u := range v.members {
		v.candidates[i].Ready = u.isAvailable() && (u.servesTarget(&v.pool) || older && u.servesOtherVersion(&v.pool))
	}
}

func (u *upstream) isAvailable() bool {
	return u.isResponding && !u.isDraining && u.host.State != hosts.StateLeaving
}

func (u *upstream) servesTarget(p *tables.Pool) bool {
	return p.Kind == tables.PoolService || u.manifest == p.Manifest.String()
}

func (u *upstream) servesOtherVersion(p *tables.Pool) bool {
	return p.Kind == tables.PoolModel && u.manifest != "" && u.model == p.Model
}

// writeLoad copies the load of an upstream to its candidates.
func (u *upstream) writeLoad() {
	for _, s := range u.slots {
		c := &s.view.candidates[s.index]
		c.OtherRequests, c.OwnRequests, c.Window = u.otherLoad, u.entryLoad, int32(u.window.Size(u.limit))
	}
}

// run keeps the views up to date and schedules the queries.
func (f *Fleet) run(ctx context.Context) {
	budget := &queryBudget{all: queryBurst}
	for ctx.Err() == nil {
		f.refresh()
		budget.refill(scheduleInterval)
		f.enqueueDue(time.Now(), budget)
		select {
		case <-time.After(scheduleInterval):
		case <-ctx.Done():
		}
	}
}

// refresh rebuilds the views if the tables or the list have changed.
func (f *Fleet) refresh() {
	pools, list := f.active.Snapshot().Pools, f.roster.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if pools.Revision == f.viewSource.revision && slices.Equal(list.All(), f.viewSource.hosts.All()) && len(f.views) == len(pools.Rows) {
		return
	}
	f.viewSource = viewSource{revision: pools.Revision, hosts: list}
	for name, v := range f.views {
		if _, ok := pools.Rows[name]; !ok {
			v.detach()
			delete(f.views, name)
		}
	}
	for _, p := range pools.Rows {
		f.build(p)
	}
	for name, u := range f.upstreams {
		if len(u.slots) == 0 && u.entryLoad == 0 && !u.isQuerying {
			f.caches.Remove(u.seed)
			delete(f.upstreams, name)
		}
	}
}

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/audit"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
)

const (
	stepRead  trial.Step = "read"
	stepWatch trial.Step = "watch"
	stepRelay trial.Step = "relay"
	stepReply trial.Step = "reply"

	oneWay = 2 * time.Millisecond
)

var errDown = errors.New("down")

// fakePlatform is a fake of the configuration service and of the list of hosts.
type fakePlatform struct {
	script *trial.Script
	mutex  sync.Mutex
	values map[tables.Kind]tables.Value
	list   []hosts.Host
	// older is what a stale service returns.
	older map[tables.Kind]tables.Value
	down  bool
	// delay is added to each response.
	delay   time.Duration
	changed chan struct{}
	calls   atomic.Int64
	// second and inSecond count the calls of the current second; peak is the highest
	// count.
	second, inSecond, peak int64
	syncs                  int
}

func newFakePlatform(s *trial.Script, list []hosts.Host) *fakePlatform {
	return &fakePlatform{script: s, values: map[tables.Kind]tables.Value{}, list: list, changed: make(chan struct{})}
}

func (p *fakePlatform) set(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) publish(kind tables.Kind, data []byte) {
	p.set(func() { p.values[kind] = tables.Value{Revision: p.values[kind].Revision + 1, Data: data} })
}

func (p *fakePlatform) current(kind tables.Kind) (tables.Value, bool, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls.Add(1)
	if now := time.Now().Unix(); now != p.second {
		p.second, p.inSecond = now, 0
	}
	p.inSecond++
	p.peak = max(p.peak, p.inSecond)
	if v, ok := p.older[kind]; ok {
		return v, p.down, p.changed
	}
	return p.values[kind], p.down, p.changed
}

func (p *fakePlatform) Read(context.Context, tables.Kind) (tables.Value, error) {
	return tables.Value{}, errDown
}

func (p *fakePlatform) Watch(ctx context.Context, kind tables.Kind, known tables.Revision) (tables.Value, error) {
	for {
		v, down, changed := p.current(kind)
		p.calls.Add(-1)
		if down {
			return tables.Value{}, errDown
		}
		if v.Revision != known {
			p.calls.Add(1)
			if err := p.waitDelay(ctx); err != nil {
				return tables.Value{}, err
			}
			return injectFault(ctx, p.script.NextFault(stepWatch), v)
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Second):
			return v, nil
		case <-ctx.Done():
			return tables.Value{}, ctx.Err()
		}
	}
}

// waitDelay waits for the delay of a slow service.
func (p *fakePlatform) waitDelay(ctx context.Context) error {
	p.mutex.Lock()
	slow := p.delay
	p.mutex.Unlock()
	if slow <= 0 {
		// In a bubble, receives from timers that are due at once crash the race detector.
		return ctx.Err()
	}
	select {
	case <-time.After(slow):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func injectFault(ctx context.Context, f trial.Fault, v tables.Value) (tables.Value, error) {
	switch f {
	case trial.Refuse, trial.Cut, trial.Kill:
		return tables.Value{}, errDown
	case trial.Silence:
		<-ctx.Done()
		return tables.Value{}, ctx.Err()
	case trial.Delay:
		time.Sleep(time.Second)
	case trial.Corrupt:
		return tables.Value{Revision: v.Revision, Data: v.Data[:len(v.Data)/2]}, nil
	case trial.Stale:
		return tables.Value{Revision: v.Revision - 1, Data: v.Data}, nil
	}
	return v, ctx.Err()
}

func (p *fakePlatform) Hosts(ctx context.Context) ([]hosts.Host, error) {
	_, down, _ := p.current("")
	switch p.script.NextFault(stepRead) {
	case trial.Refuse, trial.Cut, trial.Kill:
		return nil, errDown
	case trial.Silence:
		<-ctx.Done()
		return nil, ctx.Err()
	case trial.Corrupt, trial.Stale:
		return nil, nil
	case trial.Delay:
		time.Sleep(time.Second)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if down {
		return nil, errDown
	}
	return append([]hosts.Host(nil), p.list...), ctx.Err()
}

// process is one process of the fleet.
type process struct {
	world  *world
	host   hosts.Host
	active *tables.Active
	roster *roster.Roster
	trail  *audit.Trail
	node   *relay.Node
	stop   func()
	mutex  sync.Mutex
	// lostRevisions holds the revisions whose first reply was lost.
	lostRevisions map[uint64]bool
	bytes         atomic.Int64
	// reads counts the calls to the platform; a waiting watch counts once.
	reads atomic.Int64
	// valueBytes and listBytes count the bytes of the platform's responses.
	valueBytes, listBytes atomic.Int64
	// lastList is the digest of the list that the process read last.
	lastList uint64
}

// world is a fleet of real nodes that call each other in memory.
type world struct {
	t         testing.TB
	script    *trial.Script
	platform  *fakePlatform
	mutex     sync.Mutex
	processes map[hosts.Name]*process
	order     []*process
	// isPartitioned reports whether two processes can't reach each other.
	isPartitioned func(a, b hosts.Host) bool
	// isPlatformCut reports whether a process can't reach the platform.
	isPlatformCut func(h hosts.Host) bool
	// transform changes what the service returns to a process.
	transform func(h hosts.Host, v tables.Value) tables.Value
	// loseFirstReply makes every process lose the first reply with a new revision.
	loseFirstReply bool
	// countsLists enables counting of the bytes of lists.
	countsLists bool
	fleetSize   int
	syncs       int
}

func fleetOf(regions, domains, entries, agents int) []hosts.Host {
	var all []hosts.Host
	for i := range entries + agents {
		h := hosts.Host{Name: hosts.Name(fmt.Sprintf("entry-%04d", i)), Role: hosts.RoleEntry, State: hosts.StateLive}
		n := i
		if i >= entries {
			n = i - entries
			h.Name, h.Role = hosts.Name(fmt.Sprintf("agent-%05d", n)), hosts.RoleAgent
		}
		d := n % domains
		h.Place = hosts.Place{Region: hosts.Region(fmt.Sprint("region-", d%regions)), Domain: hosts.Domain(fmt.Sprint("domain-", d))}
		h.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		all = append(all, h)
	}
	return all
}

func newWorld(t testing.TB, s *trial.Script, list []hosts.Host) *world {
	return &world{
		t: t, script: s, platform: newFakePlatform(s, list), processes: map[hosts.Name]*process{},
		isPartitioned: func(hosts.Host, hosts.Host) bool { return false },
		isPlatformCut: func(hosts.Host) bool { return false }, fleetSize: len(list),
	}
}

// sync orders what a test has changed before what the processes do next.
func (w *world) sync() {
	w.mutex.Lock()
	w.syncs++
	w.mutex.Unlock()
	w.platform.mutex.Lock()
	w.platform.syncs++
	w.platform.mutex.Unlock()
}

// start starts a process of the host with an empty memory.
func (w *world) start(h hosts.Host) *process {
	m := &process{world: w, host: h, active: &tables.Active{}, roster: roster.New(), trail: audit.NewTrail(zap.NewNop()), lostRevisions: map[uint64]bool{}}
	m.node, m.stop = relay.NewNode(relay.Options{
		Self:   relay.Self{Host: h.Name, Place: h.Place, Role: h.Role},
		Active: m.active, Roster: m.roster, TableSource: m, HostSource: m, Client: m, Processes: w.fleetSize, Trail: m.trail, Log: zap.NewNop(),
	})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.processes[h.Name] = m
	w.order = append(w.order, m)
	return m
}

func (w *world) startAll() {
	for _, h := range w.platform.list {
		w.start(h)
	}
}

func (w *world) kill(m *process) {
	m.stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.processes, m.host.Name)
	for i, o := range w.order {
		if o == m {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
			return
		}
	}
}

func (w *world) stop() {
	for _, m := range w.order {
		m.stop()
	}
}

func (m *process) Read(ctx context.Context, kind tables.Kind) (tables.Value, error) {
	return m.Watch(ctx, kind, 0)
}

func (m *process) Watch(ctx context.Context, kind tables.Kind, known tables.Revision) (tables.Value, error) {
	m.reads.Add(1)
	m.world.sync()
	if m.world.isPlatformCut(m.host) {
		return tables.Value{}, errDown
	}
	time.Sleep(oneWay)
	v, err := m.world.platform.Watch(ctx, kind, known)
	if m.world.transform != nil {
		v = m.world.transform(m.host, v)
	}
	m.valueBytes.Add(int64(len(v.Data)))
	return v, err
}

func (m *process) Hosts(ctx context.Context) ([]hosts.Host, error) {
	m.reads.Add(1)
	m.world.sync()
	if m.world.isPlatformCut(m.host) {
		return nil, errDown
	}
	list, err := m.world.platform.Hosts(ctx)
	if m.world.countsLists && err == nil {
		m.countList(list)
	}
	return list, err
}

// countList counts the bytes of a list that differs from the last one that the process
// read.
func (m *process) countList(list []hosts.Host) {
	data, err := edges.EncodeHosts(list)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if sum := xxhash.Sum64(data); err == nil && sum != m.lastList {
		m.lastList = sum
		m.listBytes.Add(int64(len(data)))
	}
}

// Sync implements relay.Client.
func (m *process) Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error) {
	w := m.world
	w.sync()
	w.mutex.Lock()
	target := w.processes[to.Name]
	w.mutex.Unlock()
	lost := target == nil || w.isPartitioned(m.host, to)
	switch w.script.NextFault(stepRelay) {
	case trial.Silence, trial.Pause:
		lost = true
	case trial.Cut, trial.Refuse, trial.Kill:
		return nil, errDown
	case trial.Duplicate:
		_, _ = target.node.Reply(ctx, r)
	case trial.Delay:
		time.Sleep(time.Second)
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(oneWay)
	reply, err := target.node.Reply(ctx, r)
	if err != nil {
		return nil, err
	}
	size := int64(proto.Size(r) + proto.Size(reply))
	m.bytes.Add(size)
	target.bytes.Add(size)
	time.Sleep(oneWay)
	return m.receive(ctx, target, reply)
}

func (m *process) receive(ctx context.Context, target *process, reply *wire.SyncReply) (*wire.SyncReply, error) {
	m.world.sync()
	isLost := m.world.isPartitioned(m.host, target.host)
	m.mutex.Lock()
	for _, p := range reply.Parts {
		if m.world.loseFirstReply && p.Table != string(relay.KindHosts) && !m.lostRevisions[p.Revision] {
			m.lostRevisions[p.Revision], isLost = true, true
		}
	}
	m.mutex.Unlock()
	if len(reply.Parts) > 0 {
		switch m.world.script.NextFault(stepReply) {
		case trial.Silence, trial.Pause:
			isLost = true
		case trial.Cut, trial.Refuse, trial.Kill:
			return nil, errDown
		case trial.Corrupt:
			dropRows(reply)
		case trial.Delay:
			time.Sleep(time.Second)
		}
	}
	if isLost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, nil
}

// dropRows removes one row of each part.
func dropRows(reply *wire.SyncReply) {
	for _, p := range reply.Parts {
		if len(p.Changed) > 0 {
			p.Changed = p.Changed[1:]
		}
	}
}

// poolsOf encodes a pools table with the given number of pools over the agents.
func poolsOf(t testing.TB, list []hosts.Host, count int, version string) []byte {
	t.Helper()
	rows := make([]tables.Pool, count)
	for i := range rows {
		rows[i] = tables.Pool{
			Name: fmt.Sprintf("pool-%04d", i), Kind: tables.PoolModel, Model: "writer", Version: "base",
			Manifest: chunks.Sum([]byte{byte(i)}), Favor: tables.FavorTime, Ready: 0.5,
		}
	}
	rows[0].Version = version
	n := 0
	for _, h := range list {
		if h.Role == hosts.RoleAgent {
			rows[n%count].Hosts = append(rows[n%count].Hosts, h.Name)
			n++
		}
	}
	data, err := tables.EncodePools(rows)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func routesOf(t testing.TB, names ...string) []byte {
	t.Helper()
	rows := make([]tables.Route, len(names))
	for i, n := range names {
		rows[i] = tables.Route{Name: n, Pool: "pool-0000", Timeout: time.Second}
	}
	data, err := tables.EncodeRoutes(rows)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// waitFor waits until every process meets the condition and returns how long each
// took, in ascending order. It fails after the limit.
func (w *world) waitFor(limit time.Duration, condition func(m *process) bool) []time.Duration {
	w.t.Helper()
	w.sync()
	start := time.Now()
	var took []time.Duration
	waiting := append([]*process(nil), w.order...)
	for {
		var left []*process
		for _, m := range waiting {
			if condition(m) {
				took = append(took, time.Since(start))
			} else {
				left = append(left, m)
			}
		}
		waiting = left
		if len(waiting) == 0 {
			return took
		}
		if time.Since(start) > limit {
			w.t.Errorf("%d of %d processes, %s among them, didn't meet the condition within %s", len(waiting), len(w.order), waiting[0].host.Name, limit)
			return took
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// hasRevision returns a condition for the revision of a table. Agents hold no routes
// and meet any condition for these.
func hasRevision(kind tables.Kind, revision tables.Revision) func(m *process) bool {
	return func(m *process) bool {
		if kind == tables.KindRoutes && m.host.Role == hosts.RoleAgent {
			return true
		}
		return m.active.Revision(kind) == revision
	}
}

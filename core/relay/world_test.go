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

// platform stands in for the configuration service and the list of hosts.
type platform struct {
	script *trial.Script
	mutex  sync.Mutex
	values map[tables.Kind]tables.Value
	list   []hosts.Host
	// older is what a stale service shows.
	older map[tables.Kind]tables.Value
	down  bool
	// slow is what each answer takes more.
	slow  time.Duration
	news  chan struct{}
	calls atomic.Int64
	// peak is the greatest number of calls in a second.
	second, inSecond, peak int64
	syncs                  int
}

func newPlatform(s *trial.Script, list []hosts.Host) *platform {
	return &platform{script: s, values: map[tables.Kind]tables.Value{}, list: list, news: make(chan struct{})}
}

func (p *platform) set(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
	close(p.news)
	p.news = make(chan struct{})
}

func (p *platform) publish(kind tables.Kind, data []byte) {
	p.set(func() { p.values[kind] = tables.Value{Revision: p.values[kind].Revision + 1, Data: data} })
}

func (p *platform) show(kind tables.Kind) (tables.Value, bool, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls.Add(1)
	if now := time.Now().Unix(); now != p.second {
		p.second, p.inSecond = now, 0
	}
	p.inSecond++
	p.peak = max(p.peak, p.inSecond)
	if v, ok := p.older[kind]; ok {
		return v, p.down, p.news
	}
	return p.values[kind], p.down, p.news
}

func (p *platform) Read(context.Context, tables.Kind) (tables.Value, error) {
	return tables.Value{}, errDown
}

func (p *platform) Watch(ctx context.Context, kind tables.Kind, seen tables.Revision) (tables.Value, error) {
	for {
		v, down, news := p.show(kind)
		p.calls.Add(-1)
		if down {
			return tables.Value{}, errDown
		}
		if v.Revision != seen {
			p.calls.Add(1)
			if err := p.wait(ctx); err != nil {
				return tables.Value{}, err
			}
			return struckValue(ctx, p.script.Reach(stepWatch), v)
		}
		select {
		case <-news:
		case <-time.After(20 * time.Second):
			return v, nil
		case <-ctx.Done():
			return tables.Value{}, ctx.Err()
		}
	}
}

// wait passes the time that a slow service takes.
func (p *platform) wait(ctx context.Context) error {
	p.mutex.Lock()
	slow := p.slow
	p.mutex.Unlock()
	select {
	case <-time.After(slow):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func struckValue(ctx context.Context, f trial.Fault, v tables.Value) (tables.Value, error) {
	switch f {
	case trial.Refuse, trial.Cut, trial.Kill:
		return tables.Value{}, errDown
	case trial.Silence:
		<-ctx.Done()
		return tables.Value{}, ctx.Err()
	case trial.Late:
		time.Sleep(time.Second)
	case trial.Corrupt:
		return tables.Value{Revision: v.Revision, Data: v.Data[:len(v.Data)/2]}, nil
	case trial.Stale:
		return tables.Value{Revision: v.Revision - 1, Data: v.Data}, nil
	}
	return v, ctx.Err()
}

func (p *platform) Hosts(ctx context.Context) ([]hosts.Host, error) {
	_, down, _ := p.show("")
	switch p.script.Reach(stepRead) {
	case trial.Refuse, trial.Cut, trial.Kill:
		return nil, errDown
	case trial.Silence:
		<-ctx.Done()
		return nil, ctx.Err()
	case trial.Corrupt, trial.Stale:
		return nil, nil
	case trial.Late:
		time.Sleep(time.Second)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if down {
		return nil, errDown
	}
	return append([]hosts.Host(nil), p.list...), ctx.Err()
}

// member is one process of the fleet.
type member struct {
	world  *world
	host   hosts.Host
	force  *tables.Active
	roster *roster.Roster
	trail  *audit.Trail
	node   *relay.Node
	stop   func()
	// lost tells for each revision whether its first reply was lost.
	mutex sync.Mutex
	lost  map[uint64]bool
	bytes atomic.Int64
	// reads counts the calls to the platform, a waiting watch as one.
	reads atomic.Int64
	// values and lists count the bytes of what the platform answered.
	values, lists atomic.Int64
	// seen is the digest of the list that the process read last.
	seen uint64
}

// world is a fleet of real nodes joined by calls in memory.
type world struct {
	t        testing.TB
	script   *trial.Script
	platform *platform
	mutex    sync.Mutex
	members  map[hosts.Name]*member
	order    []*member
	// isCut tells whether two processes can't reach each other.
	isCut func(a, b hosts.Host) bool
	// isCutOff tells whether a process can't reach the platform.
	isCutOff func(h hosts.Host) bool
	// replica changes what the service shows to a process.
	replica func(h hosts.Host, v tables.Value) tables.Value
	// loseFirst makes every process lose the first reply with a new revision.
	loseFirst bool
	// measures tells that the bytes of lists are counted.
	measures  bool
	processes int
	syncs     int
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
		t: t, script: s, platform: newPlatform(s, list), members: map[hosts.Name]*member{},
		isCut:    func(hosts.Host, hosts.Host) bool { return false },
		isCutOff: func(hosts.Host) bool { return false }, processes: len(list),
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

// start starts the process of a host anew, with nothing in memory.
func (w *world) start(h hosts.Host) *member {
	m := &member{world: w, host: h, force: &tables.Active{}, roster: roster.New(), trail: audit.NewTrail(zap.NewNop()), lost: map[uint64]bool{}}
	m.node, m.stop = relay.NewNode(relay.Options{
		Self:   relay.Self{Host: h.Name, Place: h.Place, Role: h.Role},
		Active: m.force, Roster: m.roster, TableSource: m, HostSource: m, Client: m, Processes: w.processes, Trail: m.trail, Log: zap.NewNop(),
	})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.members[h.Name] = m
	w.order = append(w.order, m)
	return m
}

func (w *world) startAll() {
	for _, h := range w.platform.list {
		w.start(h)
	}
}

func (w *world) kill(m *member) {
	m.stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.members, m.host.Name)
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

func (m *member) Read(ctx context.Context, kind tables.Kind) (tables.Value, error) {
	return m.Watch(ctx, kind, 0)
}

func (m *member) Watch(ctx context.Context, kind tables.Kind, seen tables.Revision) (tables.Value, error) {
	m.reads.Add(1)
	m.world.sync()
	if m.world.isCutOff(m.host) {
		return tables.Value{}, errDown
	}
	time.Sleep(oneWay)
	v, err := m.world.platform.Watch(ctx, kind, seen)
	if m.world.replica != nil {
		v = m.world.replica(m.host, v)
	}
	m.values.Add(int64(len(v.Data)))
	return v, err
}

func (m *member) Hosts(ctx context.Context) ([]hosts.Host, error) {
	m.reads.Add(1)
	m.world.sync()
	if m.world.isCutOff(m.host) {
		return nil, errDown
	}
	list, err := m.world.platform.Hosts(ctx)
	if m.world.measures && err == nil {
		m.countList(list)
	}
	return list, err
}

// countList counts the bytes of a list that the process hasn't read before.
func (m *member) countList(list []hosts.Host) {
	data, err := edges.EncodeHosts(list)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if sum := xxhash.Sum64(data); err == nil && sum != m.seen {
		m.seen = sum
		m.lists.Add(int64(len(data)))
	}
}

// Sync implements relay.Caller.
func (m *member) Sync(ctx context.Context, to hosts.Host, r *wire.SyncRequest) (*wire.SyncReply, error) {
	w := m.world
	w.sync()
	w.mutex.Lock()
	target := w.members[to.Name]
	w.mutex.Unlock()
	silent := target == nil || w.isCut(m.host, to)
	switch w.script.Reach(stepRelay) {
	case trial.Silence, trial.Pause:
		silent = true
	case trial.Cut, trial.Refuse, trial.Kill:
		return nil, errDown
	case trial.Doubled:
		_, _ = target.node.Reply(ctx, r)
	case trial.Late:
		time.Sleep(time.Second)
	}
	if silent {
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

func (m *member) receive(ctx context.Context, target *member, reply *wire.SyncReply) (*wire.SyncReply, error) {
	m.world.sync()
	isLost := m.world.isCut(m.host, target.host)
	m.mutex.Lock()
	for _, p := range reply.Parts {
		if m.world.loseFirst && p.Table != string(relay.KindHosts) && !m.lost[p.Revision] {
			m.lost[p.Revision], isLost = true, true
		}
	}
	m.mutex.Unlock()
	if len(reply.Parts) > 0 {
		switch m.world.script.Reach(stepReply) {
		case trial.Silence, trial.Pause:
			isLost = true
		case trial.Cut, trial.Refuse, trial.Kill:
			return nil, errDown
		case trial.Corrupt:
			spoil(reply)
		case trial.Late:
			time.Sleep(time.Second)
		}
	}
	if isLost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, nil
}

// spoil loses one row of each part.
func spoil(reply *wire.SyncReply) {
	for _, p := range reply.Parts {
		if len(p.Changed) > 0 {
			p.Changed = p.Changed[1:]
		}
	}
}

// poolsOf encodes a pools table of the given number of pools over the agents.
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

// within waits until every process passes the test and returns how long each
// took, in order. It fails after the limit.
func (w *world) within(limit time.Duration, passes func(m *member) bool) []time.Duration {
	w.t.Helper()
	w.sync()
	start := time.Now()
	var took []time.Duration
	waiting := append([]*member(nil), w.order...)
	for {
		var left []*member
		for _, m := range waiting {
			if passes(m) {
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
			w.t.Errorf("%d of %d processes, %s among them, didn't pass within %s", len(waiting), len(w.order), waiting[0].host.Name, limit)
			return took
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// holds returns a test for the revision of the pools and, at entries, the
// routes.
func holds(kind tables.Kind, revision tables.Revision) func(m *member) bool {
	return func(m *member) bool {
		if kind == tables.KindRoutes && m.host.Role == hosts.RoleAgent {
			return true
		}
		return m.force.Revision(kind) == revision
	}
}

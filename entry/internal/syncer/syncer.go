// Package syncer keeps the parts of an entry in step with the platform's tables and with the
// other processes of the fleet.
//
// A Syncer runs four goroutines: one applies snapshots to the fleet of upstreams, the server's
// limits and the connection pool, and updates the entry's readiness; one sends this entry's
// loads at engines to the other entries of the region; one asks the owners of limits for
// requests; one subscribes to the load reports of agents.
package syncer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/mesh"
	"currantport.example/core/shell"
	"currantport.example/core/state"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/httpd"
	"currantport.example/entry/internal/target"
)

const (
	// subscriptionInterval is the time between two subscription messages to an agent of this
	// region, or to one whose engine the entry uses.
	subscriptionInterval = time.Second
	// firstSubscriptionInterval is the time between two checks for engines while there are no rows.
	// It is short, since a new entry chooses without loads until agents report.
	firstSubscriptionInterval = 20 * time.Millisecond
	// remoteSubscriptionRounds is the number of these intervals between two messages to any
	// other agent.
	remoteSubscriptionRounds = 2
	// readinessInterval is the time between two checks of the replica's staleness.
	readinessInterval = 100 * time.Millisecond
)

// Options are the parts that a Syncer connects.
type Options struct {
	Self   hosts.Name
	Region hosts.Region
	Mirror *feed.Mirror
	Fleet  *target.Fleet
	// Server receives the limits of each snapshot.
	Server  *httpd.Server
	Mesh    *mesh.Node
	Conns   *conns.Pool
	Crashes *crash.Registry
	// MaxStaleness is the staleness of the replica beyond which the entry isn't ready, so
	// that clients aren't referred to it.
	MaxStaleness time.Duration
	// AgentPort is the mesh port of the upstreams' agents.
	AgentPort int
	// Scope receives the gauges of engine loads and of evacuations.
	Scope tally.Scope
	Log   *zap.Logger
}

// Syncer applies snapshots and exchanges loads. Use New.
type Syncer struct {
	options  Options
	ready    atomic.Bool
	draining atomic.Bool
	// known are the upstreams of the last snapshot, by id.
	known       map[string]*state.Upstream
	evacuations *Evacuations
}

// New starts the goroutines. The clean-up function stops them.
func New(o Options) (*Syncer, func()) {
	sy := &Syncer{options: o, known: make(map[string]*state.Upstream), evacuations: NewEvacuations(o.Scope)}
	g := shell.NewGroup()
	g.Go(sy.run)
	g.Go(sy.loop)
	g.Go(sy.broadcastEntryLoads)
	g.Go((&asker{self: o.Self, fleet: o.Fleet, mesh: o.Mesh}).run)
	return sy, g.Stop
}

// IsReady reports whether the entry serves requests.
func (sy *Syncer) IsReady() bool { return sy.ready.Load() }

// StartDraining makes the entry not ready for good and announces that it is leaving.
func (sy *Syncer) StartDraining() {
	sy.draining.Store(true)
	sy.ready.Store(false)
	sy.options.Mesh.SetState(hosts.StateLeaving, false)
}

// run applies new snapshots, and recomputes the engine assignment when the set of entries changes.
func (sy *Syncer) run(ctx context.Context) {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	var last *state.Snapshot
	var entries hosts.ListID
	for {
		changed := sy.options.Mirror.Changed()
		if s := sy.options.Mirror.Snapshot(); s != last {
			last = s
			sy.applySnapshot(s)
		}
		sy.updateReadiness(last)
		sy.evacuations.Report(sy.options.Fleet.EvacuatedRunning())
		sy.options.Fleet.SetKnownEntries(sy.options.Mesh.EntryCount())
		if live := hosts.ListIDOf(sy.options.Mesh.Entries()); live != entries {
			entries = live
			sy.options.Fleet.Assign(clocks.Now())
		}
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (sy *Syncer) applySnapshot(s *state.Snapshot) {
	sy.options.Server.SetLimits(s.Limits)
	sy.detectCrashes(s)
	removed := sy.options.Fleet.ApplySnapshot(clocks.Now(), s)
	if len(removed) > 0 {
		unused := make(map[netip.AddrPort]bool, len(removed))
		for _, a := range removed {
			unused[a] = true
		}
		sy.options.Conns.CloseRemoved(func(a netip.AddrPort) bool { return unused[a] })
	}
}

// detectCrashes records a crash for each upstream that was removed or restarted without
// having been drained.
func (sy *Syncer) detectCrashes(s *state.Snapshot) {
	now := make(map[string]*state.Upstream)
	for _, p := range s.Pools() {
		for _, row := range s.Upstreams(p.Name) {
			now[row.ID] = row
		}
	}
	for id, row := range sy.known {
		if row.Draining || sy.options.Fleet.IsLeaving(id) {
			continue
		}
		if n := now[id]; n == nil {
			sy.options.Crashes.RecordCrash(id, "removed from the table")
		} else if !n.SameProcess(row) {
			sy.options.Crashes.RecordCrash(id, "process restarted")
		}
	}
	sy.known = now
}

// updateReadiness recomputes whether the entry serves requests, and announces it.
func (sy *Syncer) updateReadiness(s *state.Snapshot) {
	staleness, ok := sy.options.Mirror.Staleness()
	ready := ok && s != nil && s.Configured && staleness < sy.options.MaxStaleness && !sy.draining.Load()
	if sy.ready.Swap(ready) != ready {
		sy.options.Log.Info("readiness-changed", zap.Bool("ready", ready), zap.Duration("copyage", staleness), zap.Bool("leaving", sy.draining.Load()))
	}
	if !sy.draining.Load() {
		sy.options.Mesh.SetState(hosts.StateLive, ready)
	}
}

const (
	// minEntryLoadInterval and maxEntryLoadInterval bound the time between two messages to the
	// other entries of the region. The maximum is half of the time for which a message is
	// valid.
	minEntryLoadInterval = 40 * time.Millisecond
	maxEntryLoadInterval = 200 * time.Millisecond
	// maxEntryLoadRate is the number of these messages that an entry sends in a second, as far
	// as maxEntryLoadInterval allows. With many entries, sending and handling them costs more
	// than the requests themselves.
	maxEntryLoadRate = 200
)

// EntryLoadInterval returns the time between two entry load messages to each of the given
// number of entries.
func EntryLoadInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/maxEntryLoadRate, minEntryLoadInterval), maxEntryLoadInterval)
}

// broadcastEntryLoads sends the loads of this entry to the other entries of the region. It pauses
// while the entry has no requests in progress, after one empty message.
func (sy *Syncer) broadcastEntryLoads(ctx context.Context) {
	for idle := false; ; {
		to := sy.regionEntries()
		m := EntryLoadMessage(clocks.Now(), sy.options.Self, sy.options.Fleet)
		hasNews := len(m.Shares)+len(m.Leaving)+len(m.Limits)+len(m.Demands) > 0
		if hasNews || !idle {
			sy.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Shares{Shares: m}}, to...)
		}
		idle = !hasNews
		if !clocks.Sleep(ctx, EntryLoadInterval(len(to))) {
			return
		}
	}
}

// regionEntries returns the addresses of the other entries of the region.
func (sy *Syncer) regionEntries() []netip.AddrPort {
	var all []netip.AddrPort
	for _, h := range sy.options.Mesh.Entries() {
		if h.Name != sy.options.Self && h.Place.Region == sy.options.Region {
			all = append(all, h.Address)
		}
	}
	return all
}

// EntryLoadMessage returns what an entry tells the others of its region.
func EntryLoadMessage(now time.Time, self hosts.Name, f *target.Fleet) *wire.Shares {
	m := &wire.Shares{Name: string(self), Limits: EncodeLimits(f.AnnouncedLimits(now, maxAnnouncedLimits))}
	for _, l := range f.EntryLoads(now) {
		m.Shares = append(m.Shares, &wire.Share{
			Upstream: l.Upstream, Running: uint32(l.Running), Unread: uint32(l.Unread), Held: uint32(l.Held.Milliseconds()),
		})
	}
	for _, l := range f.AnnouncedLeaving(now) {
		m.Leaving = append(m.Leaving, &wire.LeavingUpstream{Upstream: l.ID, Started: startMicros(l.Started)})
	}
	m.Demands = EncodeDemands(f.Demands(now))
	return m
}

// ReceiveEntryLoads decodes the loads of another entry and passes them to the fleet.
func ReceiveEntryLoads(f *target.Fleet, m *wire.Shares) {
	loads := make([]target.EntryLoad, 0, len(m.Shares))
	for _, s := range m.Shares {
		loads = append(loads, target.EntryLoad{
			Upstream: s.Upstream, Running: int(s.Running), Unread: int(s.Unread), Held: time.Duration(s.Held) * time.Millisecond,
		})
	}
	now := clocks.Now()
	f.ReceiveEntryLoads(now, hosts.Name(m.Name), loads)
	f.ReceiveLimits(now, hosts.Name(m.Name), DecodeLimits(m.Limits))
	f.ReceiveDemands(now, hosts.Name(m.Name), DecodeDemands(m.Demands))
	if len(m.Leaving) == 0 {
		return
	}
	leaving := make([]target.LeavingUpstream, 0, len(m.Leaving))
	for _, l := range m.Leaving {
		leaving = append(leaving, target.LeavingUpstream{ID: l.Upstream, Started: startTime(l.Started)})
	}
	f.ReceiveLeaving(now, hosts.Name(m.Name), leaving)
}

// startMicros returns the wire form of a start time, and zero for none.
func startMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

// startTime returns the start time of a wire form, and the zero time for none.
func startTime(micros int64) time.Time {
	if micros <= 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}

// loop renews the subscriptions to load reports.
func (sy *Syncer) loop(ctx context.Context) {
	t := time.NewTicker(subscriptionInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		all := sy.options.Fleet.Subscriptions(clocks.Now(), sy.options.Mirror.Snapshot())
		for i, s := range all {
			if s.Frequent || s.First || (round+i)%remoteSubscriptionRounds == 0 {
				sy.subscribe(s)
			}
		}
		sy.recordPoolLoads(round)
		if len(all) == 0 && sy.options.Mirror.Head() == 0 {
			if !clocks.Sleep(ctx, firstSubscriptionInterval) {
				return
			}
			continue
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// poolLoadLogRounds is the number of subscription intervals between two log lines of a pool's load.
const poolLoadLogRounds = 10

// recordPoolLoads updates the gauges of the loads of the region's engines, and logs them for pools
// with even load.
func (sy *Syncer) recordPoolLoads(round int) {
	for _, l := range sy.options.Fleet.PoolLoads(clocks.Now()) {
		s := sy.options.Scope.Tagged(map[string]string{"pool": l.Pool})
		s.Gauge("engine_load").Update(l.Mean)
		s.Gauge("engine_busiest").Update(l.Busiest)
		if l.IsEven && round%poolLoadLogRounds == 0 {
			sy.options.Log.Info("engine-load", zap.String("pool", l.Pool), zap.Int("engines", l.Engines), zap.Float64("mean", l.Mean),
				zap.Float64("busiest", l.Busiest), zap.Float64("scarcity", l.Scarcity), zap.Int("slow", l.Slow))
		}
	}
}

func (sy *Syncer) subscribe(s target.Subscription) {
	to := netip.AddrPortFrom(s.Row.Address.Addr(), uint16(sy.options.AgentPort))
	sy.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Interest{Interest: &wire.Interest{
		Name: string(sy.options.Self), Often: s.Frequent, First: s.First,
	}}}, to)
}

// DecodeLoadReport converts the wire form of an agent's load report.
func DecodeLoadReport(l *wire.LoadDigest) target.LoadReport {
	r := target.LoadReport{
		Serial: l.Serial, Running: int(l.Queued + l.Active), Pace: float64(l.Pace),
		Closed: l.Busy || l.Closing, Leaving: l.Leaving, Started: startTime(l.Started),
	}
	for _, h := range l.Held {
		r.Held = append(r.Held, state.HeldVersion{Model: h.Model, Version: int(h.Version), Whole: h.Whole})
	}
	for _, k := range l.Releases {
		r.Releases = append(r.Releases, target.StatedRelease{Model: k.Model, Version: int(k.Version), Age: time.Duration(k.Age) * time.Microsecond})
	}
	return r
}

// Package upkeep carries changes of the platform's rows to the parts of an entry, and
// tells others what the entry needs and whether it serves.
package syncer

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

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
	// interestInterval is the time between two messages to an agent of the own region,
	// or one whose engine the entry uses.
	interestInterval = time.Second
	// farInterests is the number of these intervals between two messages to any other
	// agent.
	farInterests = 2
	// readyInterval is the time between two looks at the age of the copy.
	readyInterval = 100 * time.Millisecond
)

// Options are the parts that are kept up.
type Options struct {
	Self    hosts.Name
	Region  hosts.Region
	Mirror  *feed.Mirror
	Fleet   *target.Fleet
	Server  *httpd.Server
	Mesh    *mesh.Node
	Conns   *conns.Pool
	Crashes *crash.Registry
	// MaxStaleness is the age of the copy beyond which the entry isn't named to callers.
	MaxStaleness time.Duration
	// AgentPort is the port of the agents of upstreams.
	AgentPort int
	Log       *zap.Logger
}

// Syncer is the duty of an entry beside its requests.
type Syncer struct {
	options Options
	ready   atomic.Bool
	leaving atomic.Bool
	// known are the upstreams of the snapshot before, by id.
	known map[string]*state.Upstream
}

// New starts the duty. The clean-up function ends it.
func New(o Options) (*Syncer, func()) {
	u := &Syncer{options: o, known: make(map[string]*state.Upstream)}
	g := shell.NewGroup()
	g.Go(u.run)
	g.Go(u.loop)
	g.Go(u.tellShares)
	return u, g.Stop
}

// IsReady reports whether the entry serves requests.
func (u *Syncer) IsReady() bool { return u.ready.Load() }

// StartDraining tells others that the entry stops.
func (u *Syncer) StartDraining() {
	u.leaving.Store(true)
	u.ready.Store(false)
	u.options.Mesh.SetState(hosts.StateLeaving, false)
}

// run takes changes of the rows.
func (u *Syncer) run(ctx context.Context) {
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	var last *state.Snapshot
	var entries []hosts.Name
	for {
		changed := u.options.Mirror.Changed()
		if s := u.options.Mirror.Snapshot(); s != last {
			last = s
			u.take(s)
		}
		u.judge(last)
		if ids := names(u.options.Mesh.Entries()); !slices.Equal(ids, entries) {
			entries = ids
			u.options.Fleet.Assign()
		}
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func names(all []hosts.Host) []hosts.Name {
	names := make([]hosts.Name, len(all))
	for i, h := range all {
		names[i] = h.Name
	}
	return names
}

func (u *Syncer) take(s *state.Snapshot) {
	u.options.Server.SetLimits(s.Limits)
	u.findCrashes(s)
	gone := u.options.Fleet.ApplySnapshot(clocks.Now(), s)
	if len(gone) > 0 {
		unused := make(map[netip.AddrPort]bool, len(gone))
		for _, a := range gone {
			unused[a] = true
		}
		u.options.Conns.CloseRemoved(func(a netip.AddrPort) bool { return unused[a] })
	}
}

// findCrashes takes upstreams that are gone or have started anew as evidence that
// they crashed.
func (u *Syncer) findCrashes(s *state.Snapshot) {
	now := make(map[string]*state.Upstream)
	for _, p := range s.Pools() {
		for _, row := range s.Upstreams(p.Name) {
			now[row.ID] = row
		}
	}
	for id, row := range u.known {
		if row.Draining {
			continue
		}
		if n := now[id]; n == nil {
			u.options.Crashes.RecordCrash(id, "not listed any more")
		} else if !n.SameProcess(row) {
			u.options.Crashes.RecordCrash(id, "new start")
		}
	}
	u.known = now
}

// judge decides whether the entry serves.
func (u *Syncer) judge(s *state.Snapshot) {
	age, ok := u.options.Mirror.Staleness()
	ready := ok && s != nil && s.Configured && age < u.options.MaxStaleness && !u.leaving.Load()
	if u.ready.Swap(ready) != ready {
		u.options.Log.Info("ready", zap.Bool("ready", ready), zap.Duration("copyage", age), zap.Bool("leaving", u.leaving.Load()))
	}
	if !u.leaving.Load() {
		u.options.Mesh.SetState(hosts.StateLive, ready)
	}
}

const (
	// tellLeast is the least time between two messages to the other entries of the region.
	tellLeast = 40 * time.Millisecond
	// tellMost is the same at most. It is half of the time for which a message counts.
	tellMost = 200 * time.Millisecond
	// tellRate is the number of these messages that an entry sends in a second, as long as
	// tellMost allows it. Sending and taking them costs more than the requests do if there
	// are many entries.
	tellRate = 200
)

// EntryLoadInterval returns the time between two messages to each of a number of entries.
func EntryLoadInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/tellRate, tellLeast), tellMost)
}

// tellShares tells the other entries of the region what this one has at engines.
func (u *Syncer) tellShares(ctx context.Context) {
	for idle := false; ; {
		to := u.near()
		shares := u.options.Fleet.EntryLoads()
		if len(shares) > 0 || !idle {
			u.sendShares(to, shares)
		}
		idle = len(shares) == 0
		if !clocks.Sleep(ctx, EntryLoadInterval(len(to))) {
			return
		}
	}
}

// near returns where the other entries of the region are.
func (u *Syncer) near() []netip.AddrPort {
	var all []netip.AddrPort
	for _, h := range u.options.Mesh.Entries() {
		if h.Name != u.options.Self && h.Place.Region == u.options.Region {
			all = append(all, h.Address)
		}
	}
	return all
}

func (u *Syncer) sendShares(to []netip.AddrPort, shares []target.EntryLoad) {
	m := &wire.Shares{Name: string(u.options.Self)}
	for _, s := range shares {
		m.Shares = append(m.Shares, &wire.Share{Upstream: s.Upstream, Running: uint32(s.Running), Unread: uint32(s.Unread)})
	}
	u.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Shares{Shares: m}}, to...)
}

// ReceiveEntryLoads maps what another entry tells and takes it.
func ReceiveEntryLoads(f *target.Fleet, m *wire.Shares) {
	shares := make([]target.EntryLoad, 0, len(m.Shares))
	for _, s := range m.Shares {
		shares = append(shares, target.EntryLoad{Upstream: s.Upstream, Running: int(s.Running), Unread: int(s.Unread)})
	}
	f.ReceiveEntryLoads(clocks.Now(), hosts.Name(m.Name), shares)
}

// loop tells agents which loads the entry wants to hear of.
func (u *Syncer) loop(ctx context.Context) {
	t := time.NewTicker(interestInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		for i, n := range u.options.Fleet.Subscriptions(u.options.Mirror.Snapshot()) {
			if n.Frequent || (round+i)%farInterests == 0 {
				u.tell(n)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (u *Syncer) tell(n target.Subscription) {
	to := netip.AddrPortFrom(n.Row.Address.Addr(), uint16(u.options.AgentPort))
	u.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Interest{Interest: &wire.Interest{
		Name: string(u.options.Self), Often: n.Frequent,
	}}}, to)
}

// DecodeLoadReport maps what an agent tells.
func DecodeLoadReport(l *wire.LoadDigest) target.LoadReport {
	d := target.LoadReport{
		Serial: l.Serial, Running: int(l.Queued + l.Active), Pace: float64(l.Pace),
		Closed: l.Busy || l.Closing,
	}
	if l.Started > 0 {
		d.Started = time.UnixMicro(l.Started)
	}
	for _, h := range l.Held {
		d.Held = append(d.Held, state.HeldVersion{Model: h.Model, Version: int(h.Version), Whole: h.Whole})
	}
	return d
}

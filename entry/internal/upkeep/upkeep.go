// Package upkeep carries changes of the platform's rows to the parts of an entry, and
// tells others what the entry needs and whether it serves.
package upkeep

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
	"currantport.example/entry/internal/caller"
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
	Self   hosts.Name
	Region hosts.Region
	Mirror *feed.Mirror
	Fleet  *target.Fleet
	Front  *caller.Server
	Mesh   *mesh.Node
	Conns  *conns.Pool
	Crash  *crash.Book
	// ReadyAge is the age of the copy beyond which the entry isn't named to callers.
	ReadyAge time.Duration
	// Agent is the port of the agents of upstreams.
	Agent int
	Log   *zap.Logger
}

// Upkeep is the duty of an entry beside its requests.
type Upkeep struct {
	options Options
	ready   atomic.Bool
	leaving atomic.Bool
	// known are the upstreams of the snapshot before, by id.
	known map[string]*state.Upstream
}

// New starts the duty. The clean-up function ends it.
func New(o Options) (*Upkeep, func()) {
	u := &Upkeep{options: o, known: make(map[string]*state.Upstream)}
	g := shell.NewGroup()
	g.Go(u.run)
	g.Go(u.loop)
	g.Go(u.tellShares)
	return u, g.Stop
}

// Ready reports whether the entry serves requests.
func (u *Upkeep) Ready() bool { return u.ready.Load() }

// Leave tells others that the entry stops.
func (u *Upkeep) Leave() {
	u.leaving.Store(true)
	u.ready.Store(false)
	u.options.Mesh.SetState(hosts.StateLeaving, false)
}

// run takes changes of the rows.
func (u *Upkeep) run(ctx context.Context) {
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	var last *state.Snapshot
	var entries []hosts.Name
	for {
		changed := u.options.Mirror.Changed()
		if s := u.options.Mirror.Now(); s != last {
			last = s
			u.take(s)
		}
		u.judge(last)
		if ids := names(u.options.Mesh.Entries()); !slices.Equal(ids, entries) {
			entries = ids
			u.options.Fleet.Deal()
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

func (u *Upkeep) take(s *state.Snapshot) {
	u.options.Front.SetLimits(s.Limits)
	u.findCrashes(s)
	gone := u.options.Fleet.Take(clocks.Now(), s)
	if len(gone) > 0 {
		unused := make(map[netip.AddrPort]bool, len(gone))
		for _, a := range gone {
			unused[a] = true
		}
		u.options.Conns.Forget(func(a netip.AddrPort) bool { return unused[a] })
	}
}

// findCrashes takes upstreams that are gone or have started anew as evidence that
// they crashed.
func (u *Upkeep) findCrashes(s *state.Snapshot) {
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
			u.options.Crash.Crashed(id, "not listed any more")
		} else if !n.Same(row) {
			u.options.Crash.Crashed(id, "new start")
		}
	}
	u.known = now
}

// judge decides whether the entry serves.
func (u *Upkeep) judge(s *state.Snapshot) {
	age, ok := u.options.Mirror.Age()
	ready := ok && s != nil && s.Configured && age < u.options.ReadyAge && !u.leaving.Load()
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

// TellInterval returns the time between two messages to each of a number of entries.
func TellInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/tellRate, tellLeast), tellMost)
}

// tellShares tells the other entries of the region what this one has at engines.
func (u *Upkeep) tellShares(ctx context.Context) {
	for idle := false; ; {
		to := u.near()
		shares := u.options.Fleet.Shares()
		if len(shares) > 0 || !idle {
			u.sendShares(to, shares)
		}
		idle = len(shares) == 0
		if !clocks.Pause(ctx, TellInterval(len(to))) {
			return
		}
	}
}

// near returns where the other entries of the region are.
func (u *Upkeep) near() []netip.AddrPort {
	var all []netip.AddrPort
	for _, h := range u.options.Mesh.Entries() {
		if h.Name != u.options.Self && h.Place.Region == u.options.Region {
			all = append(all, h.Address)
		}
	}
	return all
}

func (u *Upkeep) sendShares(to []netip.AddrPort, shares []target.Share) {
	m := &wire.Shares{Name: string(u.options.Self)}
	for _, s := range shares {
		m.Shares = append(m.Shares, &wire.Share{Upstream: s.Upstream, Running: uint32(s.Running), Unread: uint32(s.Unread)})
	}
	u.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Shares{Shares: m}}, to...)
}

// Told maps what another entry tells and takes it.
func Told(f *target.Fleet, m *wire.Shares) {
	shares := make([]target.Share, 0, len(m.Shares))
	for _, s := range m.Shares {
		shares = append(shares, target.Share{Upstream: s.Upstream, Running: int(s.Running), Unread: int(s.Unread)})
	}
	f.Told(clocks.Now(), hosts.Name(m.Name), shares)
}

// loop tells agents which loads the entry wants to hear of.
func (u *Upkeep) loop(ctx context.Context) {
	t := time.NewTicker(interestInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		for i, n := range u.options.Fleet.Interests(u.options.Mirror.Now()) {
			if n.Often || (round+i)%farInterests == 0 {
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

func (u *Upkeep) tell(n target.Interest) {
	to := netip.AddrPortFrom(n.Row.Address.Addr(), uint16(u.options.Agent))
	u.options.Mesh.Send(&wire.Datagram{Body: &wire.Datagram_Interest{Interest: &wire.Interest{
		Name: string(u.options.Self), Often: n.Often,
	}}}, to)
}

// Digest maps what an agent tells.
func Digest(l *wire.LoadDigest) target.Digest {
	d := target.Digest{
		Serial: l.Serial, Running: int(l.Queued + l.Active), Pace: float64(l.Pace),
		Closed: l.Busy || l.Closing,
	}
	if l.Started > 0 {
		d.Started = time.UnixMicro(l.Started)
	}
	for _, h := range l.Held {
		d.Held = append(d.Held, state.Held{Model: h.Model, Version: int(h.Version), Whole: h.Whole})
	}
	return d
}

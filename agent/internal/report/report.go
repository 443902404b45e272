// Package teller tells entries how loaded the engine beside the agent is.
package report

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"currantport.example/agent/internal/loader"
	"currantport.example/core/clocks"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const (
	// lookInterval is the time between two looks at the engine's load.
	lookInterval = 50 * time.Millisecond
	// jump is the change of the load that is told at once.
	jump = 4
	// looks is the number of these between two digests to an entry that uses the engine.
	looks = 4
	// farLooks is the same for any other entry.
	farLooks = 24
	// idleLooks is the same for an engine that has nothing to do and hasn't changed.
	idleLooks = 20
	// interestLife is how long an entry is told after it showed interest.
	interestLife = 3 * time.Second
	// maxInterests bounds the entries that are told.
	maxInterests = 1024
)

// Source is what is told.
type Source interface {
	Report() (loader.Report, bool)
}

// Mesh carries the digests.
type Mesh interface {
	Send(d *wire.Datagram, to ...netip.AddrPort)
}

// interest is what an entry has at the engine.
type interest struct {
	address netip.AddrPort
	at      time.Time
	often   bool
}

// Reporter tells the entries that want to hear.
type Reporter struct {
	source Source
	mesh   Mesh
	wake   chan struct{}

	mutex     sync.Mutex
	interests map[string]interest
	serial    uint64
}

// New returns a teller without entries to tell.
func New() *Reporter {
	return &Reporter{
		wake: make(chan struct{}, 1), interests: make(map[string]interest),
		serial: uint64(time.Now().UnixMicro()),
	}
}

// Start begins to tell. The clean-up function ends that.
func (t *Reporter) Start(source Source, m Mesh) func() {
	t.source, t.mesh = source, m
	g := shell.NewGroup()
	g.Go(t.run)
	return g.Stop
}

// ReceiveSubscription takes the interest of an entry.
func (t *Reporter) ReceiveSubscription(from netip.AddrPort, i *wire.Interest) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, ok := t.interests[i.Name]; !ok && len(t.interests) >= maxInterests {
		return
	}
	_, known := t.interests[i.Name]
	t.interests[i.Name] = interest{address: from, at: clocks.Now(), often: i.Often}
	if !known {
		t.Notify()
	}
}

// Notify tells all entries at once.
func (t *Reporter) Notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Reporter) run(ctx context.Context) {
	tick := time.NewTicker(lookInterval)
	defer tick.Stop()
	since, last := 0, 0
	for round := 0; ; round++ {
		all := round%farLooks == 0
		select {
		case <-tick.C:
		case <-t.wake:
			since, all = idleLooks, true
		case <-ctx.Done():
			return
		}
		since++
		r, ok := t.source.Report()
		if !ok {
			continue
		}
		running := r.Status.Queued + r.Status.Active
		jumped := running >= last+jump || running <= last-jump
		if !all && !jumped && since < looks {
			continue
		}
		d, to, busy := t.digest(r, all)
		if !busy && !jumped && since < idleLooks && !all {
			continue
		}
		since, last = 0, running
		t.mesh.Send(d, to...)
	}
}

// digest builds what is told and to whom, to all or to those that hear of the engine
// often, and reports whether the engine is at work.
func (t *Reporter) digest(r loader.Report, all bool) (*wire.Datagram, []netip.AddrPort, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := clocks.Now()
	var to []netip.AddrPort
	for name, i := range t.interests {
		if now.Sub(i.at) > interestLife {
			delete(t.interests, name)
			continue
		}
		if all || i.often {
			to = append(to, i.address)
		}
	}
	t.serial++
	s := r.Status
	l := &wire.LoadDigest{
		Upstream: r.Row.ID, Serial: t.serial, Queued: uint32(s.Queued), Active: uint32(s.Active), Used: uint64(s.UsedTokens),
		Total: uint64(s.TotalTokens), Pace: float32(s.Pace), Busy: s.Busy, Closing: r.Closing,
	}
	if !s.Started.IsZero() {
		l.Started = s.Started.UnixMicro()
	}
	for _, h := range s.Held {
		l.Held = append(l.Held, &wire.HeldVersion{Model: h.Model, Version: uint32(h.Version), Whole: h.Whole})
	}
	busy := s.Queued+s.Active > 0 || s.Busy || r.Closing
	return &wire.Datagram{Body: &wire.Datagram_Load{Load: l}}, to, busy
}

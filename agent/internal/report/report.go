// Package report sends the load of the agent's engine to the entries that subscribed to it.
//
// The load is polled at a short interval. A report goes out at once when the load changes by a
// few requests or when Notify is called, and at longer intervals otherwise: more often to
// entries that use the engine, and rarely while the engine is idle.
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
	// pollInterval is the time between two polls of the engine's load.
	pollInterval = 50 * time.Millisecond
	// minLoadChange is the change of the load, in requests, that is reported at once.
	minLoadChange = 4
	// frequentPolls is the number of polls between two reports to an entry that uses the
	// engine.
	frequentPolls = 4
	// otherPolls is the same for any other entry.
	otherPolls = 24
	// idlePolls is the same for an idle engine whose load hasn't changed.
	idlePolls = 20
	// subscriptionTTL is how long an entry receives reports after its last subscription.
	subscriptionTTL = 3 * time.Second
	// maxSubscriptions bounds the entries that receive reports.
	maxSubscriptions = 1024
	// maxReadAge is how long after reading the state a report of it may be sent. Reports state no age, and
	// entries take the state for one of the last second.
	maxReadAge = 200 * time.Millisecond
)

// Source provides the state of the engine.
type Source interface {
	// Report returns the state, or false while it is unknown.
	Report() (loader.Report, bool)
}

// Mesh sends datagrams.
type Mesh interface {
	Send(d *wire.Datagram, to ...netip.AddrPort)
}

// subscription is an entry that receives reports.
type subscription struct {
	address    netip.AddrPort
	receivedAt time.Time
	frequent   bool
}

// Reporter sends load reports to subscribed entries. Use New.
type Reporter struct {
	source Source
	mesh   Mesh
	wake   chan struct{}

	mutex         sync.Mutex
	subscriptions map[string]subscription
	serial        uint64
}

// New returns a reporter without subscriptions. It sends nothing before Start.
func New() *Reporter {
	return &Reporter{
		wake: make(chan struct{}, 1), subscriptions: make(map[string]subscription),
		serial: uint64(time.Now().UnixMicro()),
	}
}

// Start begins to send reports. The clean-up function stops it.
func (r *Reporter) Start(source Source, m Mesh) func() {
	r.source, r.mesh = source, m
	g := shell.NewGroup()
	g.Go(r.run)
	return g.Stop
}

// ReceiveSubscription adds or renews the subscription of an entry. A new one triggers a report.
func (r *Reporter) ReceiveSubscription(from netip.AddrPort, i *wire.Interest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, ok := r.subscriptions[i.Name]; !ok && len(r.subscriptions) >= maxSubscriptions {
		return
	}
	_, known := r.subscriptions[i.Name]
	r.subscriptions[i.Name] = subscription{address: from, receivedAt: clocks.Now(), frequent: i.Often}
	if !known || i.First {
		r.Notify()
	}
}

// Notify triggers a report to all subscribers without waiting for it.
func (r *Reporter) Notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Reporter) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	polls, last := 0, 0
	for round := 0; ; round++ {
		all := round%otherPolls == 0
		select {
		case <-tick.C:
		case <-r.wake:
			polls, all = idlePolls, true
		case <-ctx.Done():
			return
		}
		polls++
		readAt := clocks.Now()
		e, ok := r.source.Report()
		if !ok {
			continue
		}
		running := e.Status.Queued + e.Status.Active
		changed := running >= last+minLoadChange || running <= last-minLoadChange
		if !all && !changed && polls < frequentPolls {
			continue
		}
		d, to, busy := r.buildReport(e, all)
		if !busy && !changed && polls < idlePolls && !all {
			continue
		}
		if clocks.Since(readAt) > maxReadAge {
			r.Notify()
			continue
		}
		polls, last = 0, running
		r.mesh.Send(d, to...)
	}
}

// buildReport returns the report and its recipients, all subscribers or only the frequent ones,
// and whether the engine is busy.
func (r *Reporter) buildReport(e loader.Report, all bool) (*wire.Datagram, []netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clocks.Now()
	var to []netip.AddrPort
	for name, i := range r.subscriptions {
		if now.Sub(i.receivedAt) > subscriptionTTL {
			delete(r.subscriptions, name)
			continue
		}
		if all || i.frequent {
			to = append(to, i.address)
		}
	}
	r.serial++
	s := e.Status
	l := &wire.LoadDigest{
		Upstream: e.Row.ID, Serial: r.serial, Queued: uint32(s.Queued), Active: uint32(s.Active), Used: uint64(s.UsedTokens),
		Total: uint64(s.TotalTokens), Pace: float32(s.Pace), Busy: s.Busy, Closing: e.Closing, Leaving: s.Leaving,
	}
	if !s.Started.IsZero() {
		l.Started = s.Started.UnixMicro()
	}
	for _, h := range s.Held {
		l.Held = append(l.Held, &wire.HeldVersion{Model: h.Model, Version: uint32(h.Version), Whole: h.Whole})
	}
	for _, k := range e.Releases {
		l.Releases = append(l.Releases, &wire.KnownRelease{Model: k.Model, Version: uint32(k.Version), Age: max(now.Sub(k.NotBefore).Microseconds(), 1)})
	}
	busy := s.Queued+s.Active > 0 || s.Busy || e.Closing
	return &wire.Datagram{Body: &wire.Datagram_Load{Load: l}}, to, busy
}

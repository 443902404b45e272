package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/picker"
	"currantport.example/core/wire"
)

const (
	askTick    = 250 * time.Millisecond
	askTimeout = time.Second
	// readyInterval and otherInterval are how long nothing may be heard from an
	// upstream that is ready, or isn't, before it is asked.
	readyInterval = 2 * time.Second
	otherInterval = 500 * time.Millisecond
	// eventInterval is how long an upstream that replies to requests isn't asked
	// for its cache events.
	eventInterval = 5 * time.Second
	// lagInterval is after how long an upstream that serves another version than
	// the row is asked beside the others, lagRate how many of those in a second.
	lagInterval = 2700 * time.Millisecond
	lagRate     = 24
	// askRate is in asks a second, askBurst the most that are saved up.
	askRate    = 4
	askBurst   = 64
	askWorkers = 16
)

// allowance is how many asks may be sent.
type allowance struct {
	// all is for any upstream, lagging for those that lag.
	all, lagging float64
}

func (a *allowance) add(d time.Duration) {
	a.all = min(a.all+askRate*d.Seconds(), askBurst)
	a.lagging = min(a.lagging+lagRate*d.Seconds(), lagRate)
}

// take reports whether an upstream may be asked.
func (a *allowance) take(lags bool) bool {
	from := &a.all
	if lags {
		from = &a.lagging
	}
	if *from < 1 {
		return false
	}
	*from--
	return true
}

// send puts the upstreams that are due into the ring as far as the allowance
// goes, those first that were asked longest ago.
func (f *Fleet) send(now time.Time, a *allowance) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var due []*upstream
	for _, u := range f.known {
		if len(u.slots) > 0 && !u.asking && u.isDue(now) {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, compareAsked)
	for _, u := range due {
		if !a.take(u.lags() && now.Sub(u.asked) >= lagInterval) {
			continue
		}
		if !f.due.TrySend(u) {
			break
		}
		u.asking, u.asked = true, now
	}
}

// lags reports whether the upstream serves another version than a row of its.
func (u *upstream) lags() bool {
	return u.isOpen() && slices.ContainsFunc(u.slots, func(s slot) bool { return !u.serves(&s.view.pool) })
}

func (u *upstream) isDue(now time.Time) bool {
	if u.answered && u.slots[0].view.candidates[u.slots[0].index].Ready {
		return now.Sub(later(u.heard, u.asked)) >= readyInterval || now.Sub(u.asked) >= eventInterval
	}
	return now.Sub(u.asked) >= otherInterval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareAsked(a, b *upstream) int { return cmp.Or(a.asked.Compare(b.asked), compareSeeds(a, b)) }

func compareSeeds(a, b *upstream) int { return cmp.Compare(a.seed, b.seed) }

// asker asks one upstream after the other for its load.
type asker struct{ fleet *Fleet }

func (a *asker) run(ctx context.Context) {
	for {
		u, ok := a.fleet.due.Receive(ctx)
		if !ok {
			return
		}
		a.ask(ctx, u)
	}
}

func (a *asker) ask(ctx context.Context, u *upstream) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a.fleet.mutex.Lock()
	address, seen, asked := u.host.Address, a.fleet.caches.LastSerial(u.seed), u.asked
	a.fleet.mutex.Unlock()
	c := wire.NewGateClient(a.fleet.client, "http://"+address.String())
	r, err := c.Load(ctx, connect.NewRequest(&wire.LoadRequest{Seen: seen}))
	a.fleet.mutex.Lock()
	defer a.fleet.mutex.Unlock()
	u.asking = false
	if !u.asked.Equal(asked) {
		// A request has shown since that the upstream is lost or stale.
		return
	}
	u.set(func() { u.answered = err == nil })
	if err == nil {
		u.set(func() { u.take(r.Msg) })
		a.fleet.caches.ApplyEvents(u.seed, r.Msg.Serial, eventsOf(r.Msg.Events))
	}
	u.write()
}

func (u *upstream) take(m *wire.LoadReply) {
	u.model, u.version, u.manifest = m.Model, m.Version, m.Manifest
	u.leaving = m.Leaving
	u.limit = int(m.Limit)
	u.others = max(m.Running-u.own, 0)
	u.heard = time.Now()
}

func eventsOf(all []*wire.CacheEvent) []picker.CacheEvent {
	events := make([]picker.CacheEvent, len(all))
	for i, e := range all {
		events[i] = picker.CacheEvent{Prefix: e.Prefix, Dropped: e.Dropped}
	}
	return events
}

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
	scheduleInterval = 250 * time.Millisecond
	queryTimeout     = time.Second
	// readyQueryInterval is the time without a report or a query after which a ready
	// upstream is queried, unreadyQueryInterval that without a query for the others.
	readyQueryInterval   = 2 * time.Second
	unreadyQueryInterval = 500 * time.Millisecond
	// cacheQueryInterval is the maximum time between two queries of a ready upstream.
	// Responses to requests report its load but not its cache events.
	cacheQueryInterval = 5 * time.Second
	// outdatedQueryInterval is the time without a query after which an upstream that
	// serves another version than its row uses a budget of its own, which has
	// outdatedQueryRate queries per second.
	outdatedQueryInterval = 2700 * time.Millisecond
	outdatedQueryRate     = 24
	// queryRate is in queries per second. queryBurst is the maximum number that
	// accumulates.
	queryRate    = 4
	queryBurst   = 64
	queryWorkers = 16
)

// queryBudget holds the numbers of queries that may be sent.
type queryBudget struct {
	// all applies to any upstream, outdated to those that serve another version.
	all, outdated float64
}

func (b *queryBudget) refill(d time.Duration) {
	b.all = min(b.all+queryRate*d.Seconds(), queryBurst)
	b.outdated = min(b.outdated+outdatedQueryRate*d.Seconds(), outdatedQueryRate)
}

// trySpend takes one query from the budget. It reports false if there is none.
func (b *queryBudget) trySpend(isOutdated bool) bool {
	from := &b.all
	if isOutdated {
		from = &b.outdated
	}
	if *from < 1 {
		return false
	}
	*from--
	return true
}

// enqueueDue puts the upstreams that are due for a query into the ring, as far as the
// budget allows. Those with the oldest query come first.
func (f *Fleet) enqueueDue(now time.Time, b *queryBudget) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var due []*upstream
	for _, u := range f.upstreams {
		if len(u.slots) > 0 && !u.isQuerying && u.isDue(now) {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, compareQueriedAt)
	for _, u := range due {
		if !b.trySpend(u.isOutdated() && now.Sub(u.queriedAt) >= outdatedQueryInterval) {
			continue
		}
		if !f.due.TrySend(u) {
			break
		}
		u.isQuerying, u.queriedAt = true, now
	}
}

// isOutdated reports whether the upstream serves another version than one of its rows
// requires.
func (u *upstream) isOutdated() bool {
	return u.isAvailable() && slices.ContainsFunc(u.slots, func(s slot) bool { return !u.servesTarget(&s.view.pool) })
}

// isDue reports whether the upstream should be queried.
func (u *upstream) isDue(now time.Time) bool {
	if u.isResponding && u.slots[0].view.candidates[u.slots[0].index].Ready {
		return now.Sub(latest(u.reportedAt, u.queriedAt)) >= readyQueryInterval || now.Sub(u.queriedAt) >= cacheQueryInterval
	}
	return now.Sub(u.queriedAt) >= unreadyQueryInterval
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareQueriedAt(a, b *upstream) int {
	return cmp.Or(a.queriedAt.Compare(b.queriedAt), compareSeeds(a, b))
}

func compareSeeds(a, b *upstream) int { return cmp.Compare(a.seed, b.seed) }

// querier queries the load of the upstreams in the ring, one after the other.
type querier struct{ fleet *Fleet }

func (q *querier) run(ctx context.Context) {
	for {
		u, ok := q.fleet.due.Receive(ctx)
		if !ok {
			return
		}
		q.query(ctx, u)
	}
}

func (q *querier) query(ctx context.Context, u *upstream) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	q.fleet.mutex.Lock()
	address, seen, queriedAt := u.host.Address, q.fleet.caches.LastSerial(u.seed), u.queriedAt
	q.fleet.mutex.Unlock()
	c := wire.NewGateClient(q.fleet.client, "http://"+address.String())
	r, err := c.Load(ctx, connect.NewRequest(&wire.LoadRequest{Seen: seen}))
	q.fleet.mutex.Lock()
	defer q.fleet.mutex.Unlock()
	u.isQuerying = false
	if !u.queriedAt.Equal(queriedAt) {
		// Since the query was sent, a request has found the upstream lost or stale.
		return
	}
	u.updateReadiness(func() { u.isResponding = err == nil })
	if err == nil {
		u.updateReadiness(func() { u.applyLoad(r.Msg) })
		q.fleet.caches.ApplyEvents(u.seed, r.Msg.Serial, eventsOf(r.Msg.Events))
	}
	u.writeLoad()
}

func (u *upstream) applyLoad(m *wire.LoadReply) {
	u.model, u.version, u.manifest = m.Model, m.Version, m.Manifest
	u.isDraining = m.Leaving
	u.limit = int(m.Limit)
	u.otherLoad = max(m.Running-u.entryLoad, 0)
	u.reportedAt = time.Now()
}

func eventsOf(all []*wire.CacheEvent) []picker.CacheEvent {
	events := make([]picker.CacheEvent, len(all))
	for i, e := range all {
		events[i] = picker.CacheEvent{Prefix: e.Prefix, Dropped: e.Dropped}
	}
	return events
}

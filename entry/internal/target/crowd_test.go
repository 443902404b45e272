package target_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/trial"
	"currantport.example/entry/internal/target"
)

const (
	// limitSpan, limitRatio and limitSlack are those of the users' rule: in no span may an
	// upstream get more than limitRatio times what its limit allows, and limitSlack more.
	limitSpan  = 4 * time.Second
	limitRatio = 1.5
	limitSlack = 5
	// graceTime is the time after the first response with a limit from which the rule counts, and
	// toldTime the time from which an entry counts that got one.
	graceTime = 3 * time.Second
	toldTime  = 500 * time.Millisecond

	messageDelay   = 2 * time.Millisecond
	gossipInterval = 600 * time.Millisecond
)

// crowd is a number of entries of two regions before one plain upstream that names a limit.
type crowd struct {
	t       testing.TB
	random  *rand.Rand
	entries []hosts.Host
	members []*crowdEntry
	pool    *state.Pool
	// rows are those of the upstreams. ColdUntil is when they are warm, or zero if they say nothing of
	// that.
	rows      []state.Row
	coldUntil time.Time
	messages  []message
	now       time.Time
	// named returns the limit that the upstream names at a time.
	named func(now time.Time) (float64, bool)
	// lost is the share of the messages that are lost. IsCut reports whether those between two
	// entries are; it may be nil.
	lost  float64
	isCut func(from, to *crowdEntry) bool
	// sent are the times of the requests at the upstream, counted those of entries for which the
	// rule holds.
	sent, counted []time.Time
	sentTo        map[string][]time.Time
	// refused counts the requests that weren't sent; messageCount and askCount count messages.
	refused, messageCount, askCount int
}

// crowdEntry is an entry with its waiting requests.
type crowdEntry struct {
	host    hosts.Host
	fleet   *target.Fleet
	builder *state.Builder
	// revision is that of the last snapshot.
	revision state.Revision
	waiting  []*waitingRequest
	// view are the entries that it takes for live.
	view        []hosts.Host
	told        time.Time
	pausedUntil time.Time
	// isExcused is set for an entry that the rule doesn't count.
	isExcused bool
}

type waitingRequest struct {
	arrived time.Time
	grant   target.GrantRequest
}

type message struct {
	at      time.Time
	to      *crowdEntry
	deliver func(now time.Time, f *target.Fleet)
	// rows are rows for the entry, in place of a message.
	rows []state.Row
}

func newCrowd(t testing.TB, seed uint64, entries int, named func(time.Time) (float64, bool)) *crowd {
	t.Helper()
	c := &crowd{t: t, random: rand.New(rand.NewPCG(seed, 1)), pool: &state.Pool{Name: "s"}, now: start, named: named, sentTo: make(map[string][]time.Time)}
	u := plain(0, start)
	c.rows = []state.Row{encode(t)(state.EncodeUpstream(&u))}
	for i := range entries {
		c.entries = append(c.entries, hosts.Host{Name: hosts.Name(fmt.Sprintf("e%d", i)), Place: hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", i%2))}})
	}
	for _, h := range c.entries {
		e := &crowdEntry{host: h, view: c.entries}
		c.members = append(c.members, e)
		c.boot(e)
	}
	return c
}

// boot starts the process of an entry anew.
func (c *crowd) boot(e *crowdEntry) {
	e.fleet = target.New(target.Options{
		Self: e.host.Name, Place: e.host.Place, Entries: func() []hosts.Host { return e.view }, Regions: regions, Random: c.random.Float64, Log: zap.NewNop(),
	})
	e.fleet.SetKnownEntries(len(c.entries))
	e.builder = &state.Builder{}
	c.apply(e, append([]state.Row{encode(c.t)(state.EncodePool(c.pool))}, c.rows...)...)
	e.waiting, e.told = nil, time.Time{}
}

// apply applies rows at an entry.
func (c *crowd) apply(e *crowdEntry, rows ...state.Row) {
	e.revision++
	snapshot, rowErrors := e.builder.Apply(e.revision, rows)
	if len(rowErrors) > 0 {
		c.t.Fatal(rowErrors)
	}
	e.fleet.ApplySnapshot(c.now, snapshot)
}

// owner returns the entry that owns the limit.
func (c *crowd) owner() *crowdEntry {
	best := c.members[0]
	highest := uint64(0)
	for _, e := range c.members {
		if score := hosts.Score("limit u0", e.host.Name); e.host.Place.Region == "r0" && score > highest {
			best, highest = e, score
		}
	}
	return best
}

func (c *crowd) find(name hosts.Name) *crowdEntry {
	for _, e := range c.members {
		if e.host.Name == name {
			return e
		}
	}
	return nil
}

func (c *crowd) post(from, to *crowdEntry, deliver func(now time.Time, f *target.Fleet)) {
	c.messageCount++
	if to == nil || c.random.Float64() < c.lost || c.isCut != nil && c.isCut(from, to) {
		return
	}
	c.messages = append(c.messages, message{at: c.now.Add(messageDelay), to: to, deliver: deliver})
}

// run plays the time with the given demand, in requests a second over all entries.
func (c *crowd) run(demand float64, span time.Duration) {
	next := c.now
	ticks := int(span / tick)
	for i := range ticks {
		c.now = c.now.Add(tick)
		for ; !next.After(c.now); next = next.Add(time.Duration(c.random.ExpFloat64() / demand * float64(time.Second))) {
			e := c.members[c.random.IntN(len(c.members))]
			e.waiting = append(e.waiting, &waitingRequest{arrived: c.now})
		}
		c.deliver()
		for _, e := range c.members {
			if c.now.Before(e.pausedUntil) {
				continue
			}
			c.serve(e)
			c.sendAsks(e)
			if i%c.loadTicks() == 0 {
				c.announce(e)
			}
			if i%int(gossipInterval/tick) == 0 {
				c.gossip(e)
			}
		}
	}
}

// loadTicks is the interval of entry loads, as syncer.EntryLoadInterval has it.
func (c *crowd) loadTicks() int { return min(max(len(c.entries)/2, entryLoadTicks), 5*entryLoadTicks) }

func (c *crowd) deliver() {
	due := c.messages
	c.messages = nil
	for _, m := range due {
		if c.now.Before(m.at) || c.now.Before(m.to.pausedUntil) {
			c.messages = append(c.messages, m)
			continue
		}
		if m.rows != nil {
			c.apply(m.to, m.rows...)
			continue
		}
		m.deliver(c.now, m.to.fleet)
	}
}

// serve places the waiting requests of an entry as the proxy does.
func (c *crowd) serve(e *crowdEntry) {
	var left []*waitingRequest
	for _, q := range e.waiting {
		if f := e.fleet.ChoosePlain(c.now, toPlain()); f != nil {
			c.send(e, f)
			continue
		}
		delay, ok := e.fleet.AwaitLimited(c.now, target.Requirements{Pool: c.pool}, &q.grant)
		if !ok || c.now.Add(max(delay, tick)).Sub(q.arrived) > capacityTimeout {
			c.refused++
			continue
		}
		left = append(left, q)
	}
	e.waiting = left
}

// send sends a request, which is answered within the tick.
func (c *crowd) send(e *crowdEntry, f *target.InFlight) {
	limit, isLimited := c.named(c.now)
	c.sent = append(c.sent, c.now)
	c.sentTo[f.Row.ID] = append(c.sentTo[f.Row.ID], c.now)
	if !e.told.IsZero() && c.now.Sub(e.told) >= toldTime && !e.isExcused {
		c.counted = append(c.counted, c.now)
	}
	if isLimited && e.told.IsZero() {
		e.told = c.now
	}
	f.RecordLimit(c.now, limit, isLimited)
	if !c.coldUntil.IsZero() {
		f.RecordCold(c.now, max(c.coldUntil.Sub(c.now), 0))
	}
	f.Finish(c.now, target.OutcomeSuccess)
}

func (c *crowd) sendAsks(e *crowdEntry) {
	for owner, asks := range e.fleet.TakeAsks(c.now) {
		c.askCount++
		c.post(e, c.find(owner), func(now time.Time, f *target.Fleet) {
			grants := f.ReceiveAsks(now, e.host.Name, asks)
			c.post(c.find(owner), e, func(now time.Time, f *target.Fleet) { f.ReceiveGrants(now, grants) })
		})
	}
}

func (c *crowd) announce(e *crowdEntry) {
	all := e.fleet.AnnouncedLimits(c.now, 32)
	if len(all) == 0 {
		return
	}
	for _, o := range c.members {
		if o != e && o.host.Place == e.host.Place {
			c.post(e, o, func(now time.Time, f *target.Fleet) { f.ReceiveLimits(now, e.host.Name, all) })
		}
	}
}

// gossip sends to two entries.
func (c *crowd) gossip(e *crowdEntry) {
	all := e.fleet.Limits(c.now, 16)
	for range 2 {
		c.post(e, c.members[c.random.IntN(len(c.members))], func(now time.Time, f *target.Fleet) { f.ReceiveLimits(now, e.host.Name, all) })
	}
}

func allowed(rate float64) int {
	return int(math.Floor(limitRatio*rate*limitSpan.Seconds())) + limitSlack
}

func after(times []time.Time, from time.Time) []time.Time {
	for i, t := range times {
		if !t.Before(from) {
			return times[i:]
		}
	}
	return nil
}

func always(rate float64) func(time.Time) (float64, bool) {
	return func(time.Time) (float64, bool) { return rate, true }
}

// report is what a run of a crowd came to.
type report struct {
	// most and mostCounted are the most requests in limitSpan once the rule counts, of all entries
	// and of those for which it holds.
	most, mostCounted int
	// used is the used part of the limit.
	used float64
}

func (c *crowd) report(rate float64) report {
	from := start.Add(graceTime)
	sent := after(c.sent, from)
	return report{
		most: trial.MostWithin(sent, limitSpan), mostCounted: trial.MostWithin(after(c.counted, from), limitSpan),
		used: float64(len(sent)) / (rate * c.now.Sub(from).Seconds()),
	}
}

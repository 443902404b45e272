package target_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
	"currantport.example/core/state"
	"currantport.example/core/trial"
	"currantport.example/entry/internal/target"
)

// TestLimitIsSharedByAllEntries guards against entries that each spend a limit of the whole fleet,
// and against a limit that is hardly used.
func TestLimitIsSharedByAllEntries(t *testing.T) {
	t.Parallel()
	for _, s := range []struct {
		entries int
		rates   []float64
	}{{6, []float64{0.5, 1, 1.5, 20, 500}}, {24, []float64{0.5, 1, 1.5, 20, 500}}, {740, []float64{1, 20}}} {
		for _, rate := range s.rates {
			c := newCrowd(t, 1, s.entries, always(rate))
			c.run(max(3*rate, 10), 15*time.Second)
			r := c.report(rate)
			if r.most > allowed(rate) {
				t.Errorf("%d entries, %g a second: %d requests in %s, allowed %d", s.entries, rate, r.most, limitSpan, allowed(rate))
			}
			if r.used < 0.75 {
				t.Errorf("%d entries, %g a second: %.2f of the limit is used", s.entries, rate, r.used)
			}
		}
	}
}

// BenchmarkLimit prints, for each size and rate, the most requests in limitSpan at the upstream, the
// used part of the limit, and the asks a second of all entries. The demand is three times the limit
// and at least ten requests a second.
func BenchmarkLimit(b *testing.B) {
	for range b.N {
		for _, entries := range []int{6, 24, 740} {
			for _, rate := range []float64{0.5, 1, 1.5, 20, 500} {
				const span = 40 * time.Second
				c := newCrowd(b, 1, entries, always(rate))
				c.run(max(3*rate, 10), span)
				r := c.report(rate)
				fmt.Printf("bench=limit entries=%d rate=%g most=%d allowed=%d used=%.2f asks=%.1f\n",
					entries, rate, r.most, allowed(rate), r.used, float64(c.askCount)/span.Seconds())
			}
		}
	}
}

// without returns the hosts other than those of the given entries.
func without(all []hosts.Host, gone ...*crowdEntry) []hosts.Host {
	var left []hosts.Host
	for _, h := range all {
		if !slices.ContainsFunc(gone, func(e *crowdEntry) bool { return e.host.Name == h.Name }) {
			left = append(left, h)
		}
	}
	return left
}

// troubles befall entries while the upstream names its limit.
var troubles = map[string]func(c *crowd, owner *crowdEntry, demand float64){
	"messages are lost": func(c *crowd, _ *crowdEntry, demand float64) {
		c.lost = 0.3
		c.run(demand, 15*time.Second)
	},
	"the owner receives nothing": func(c *crowd, owner *crowdEntry, demand float64) {
		owner.isExcused = true
		c.isCut = func(_, to *crowdEntry) bool { return to == owner }
		c.run(demand, 2*time.Second)
		c.setView(owner, []hosts.Host{owner.host})
		c.run(demand, 5*time.Second)
		c.isCut = nil
		c.setView(owner, c.entries)
		c.run(demand, 5*time.Second)
	},
	"the owner is paused": func(c *crowd, owner *crowdEntry, demand float64) {
		owner.isExcused = true
		owner.pausedUntil = c.now.Add(3 * time.Second)
		c.run(demand, 2*time.Second)
		for _, e := range c.members {
			if e != owner {
				c.setView(e, without(c.entries, owner))
			}
		}
		c.run(demand, time.Second+300*time.Millisecond)
		for _, e := range c.members {
			c.setView(e, c.entries)
			c.run(demand, 100*time.Millisecond)
		}
		c.run(demand, 5*time.Second)
	},
	"another entry is paused": func(c *crowd, owner *crowdEntry, demand float64) {
		other := c.members[0]
		if other == owner {
			other = c.members[2]
		}
		other.pausedUntil = c.now.Add(3 * time.Second)
		c.run(demand, 10*time.Second)
	},
	"the owner is killed and back": func(c *crowd, owner *crowdEntry, demand float64) {
		owner.isExcused = true
		owner.pausedUntil = c.now.Add(time.Second)
		c.run(demand, time.Second)
		c.boot(owner)
		c.run(demand, 10*time.Second)
	},
	"all entries are killed and back": func(c *crowd, _ *crowdEntry, demand float64) {
		for _, e := range c.members {
			c.boot(e)
		}
		c.run(demand, 10*time.Second)
	},
	"a region is cut off": func(c *crowd, _ *crowdEntry, demand float64) {
		c.isCut = func(from, to *crowdEntry) bool { return from.host.Place != to.host.Place }
		c.run(demand, 8*time.Second)
		for _, e := range c.members {
			c.setView(e, slices.DeleteFunc(slices.Clone(c.entries), func(h hosts.Host) bool { return h.Place != e.host.Place }))
		}
		c.run(demand, 8*time.Second)
	},
	"entries see another owner for a second": func(c *crowd, owner *crowdEntry, demand float64) {
		for i, e := range c.members {
			if i%2 == 1 && e != owner {
				c.setView(e, without(c.entries, owner))
			}
		}
		c.run(demand, time.Second)
		for _, e := range c.members {
			c.setView(e, c.entries)
		}
		c.run(demand, 5*time.Second)
	},
}

// TestLimitIsKeptInTrouble plays the troubles. The rule counts the entries that they don't befall;
// all together must not exceed the limit by far.
func TestLimitIsKeptInTrouble(t *testing.T) {
	for name, trouble := range troubles {
		for _, entries := range []int{6, 24} {
			for _, rate := range []float64{0.5, 1.5, 20} {
				c := newCrowd(t, 3, entries, always(rate))
				demand := max(3*rate, 20)
				c.run(demand, 5*time.Second)
				trouble(c, c.owner(), demand)
				c.run(demand, 3*time.Second)
				if r := c.report(rate); r.mostCounted > allowed(rate) || r.most > 2*allowed(rate) {
					t.Errorf("%s, %d entries, %g a second: %+v, allowed %d", name, entries, rate, r, allowed(rate))
				}
			}
		}
	}
}

// setView sets the entries that an entry takes for live.
func (c *crowd) setView(e *crowdEntry, view []hosts.Host) {
	e.view = view
	e.fleet.Assign(c.now)
}

// TestLimitFollowsWhatTheUpstreamNames plays limits that rise, fall, end and return. Each must be
// kept from graceTime after it was first named, and used while it holds.
func TestLimitFollowsWhatTheUpstreamNames(t *testing.T) {
	type phase struct {
		rate    float64
		limited bool
	}
	phases := []phase{{2, true}, {20, true}, {0.5, true}, {0, false}, {1, true}, {0, true}, {5, true}}
	const span = 20 * time.Second
	at := func(now time.Time) phase { return phases[min(int(now.Sub(start)/span), len(phases)-1)] }
	for _, lost := range []float64{0, 0.2} {
		c := newCrowd(t, 5, 6, func(now time.Time) (float64, bool) { return at(now).rate, at(now).limited })
		c.lost = lost
		c.run(60, time.Duration(len(phases))*span)
		for i, p := range phases {
			from := start.Add(time.Duration(i)*span + graceTime)
			all := after(c.sent, from)
			for k, v := range all {
				if !v.Before(from.Add(span - graceTime)) {
					all = all[:k]
					break
				}
			}
			wanted := p.rate
			if !p.limited {
				wanted = 60
			}
			if n := trial.MostWithin(all, limitSpan); p.limited && n > allowed(p.rate) {
				t.Errorf("lost %g, phase %d, %+v: %d requests in %s, allowed %d", lost, i, p, n, limitSpan, allowed(p.rate))
			}
			if used := float64(len(all)) / (span - graceTime).Seconds(); used < 0.6*wanted {
				t.Errorf("lost %g, phase %d, %+v: %.2f requests a second", lost, i, p, used)
			}
		}
	}
}

// TestProcessThatStartsAnewHasNoLimit checks that a limit belongs to one process of an upstream, and
// that it outlives a registration that lapses.
func TestProcessThatStartsAnewHasNoLimit(t *testing.T) {
	w := newWorld(t, "e0")
	u := plain(0, start)
	w.publish(start, w.upstream(u))
	f := w.fleet.ChoosePlain(start, toPlain())
	f.RecordLimit(start, 0, true)
	f.Finish(start, target.OutcomeSuccess)
	expect := func(what, want string) {
		t.Helper()
		if got := w.plainUpstream(start); got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	expect("limited", "none")
	w.publish(start, state.Row{Key: "upstream/s/u0"})
	w.publish(start, w.upstream(u))
	expect("removed and listed again", "none")
	w.publish(start, w.upstream(plain(0, start.Add(time.Second))))
	expect("started again", "u0")
}

// TestResponseToAnEarlierRequestChangesNoLimit checks that what an upstream said before the known
// limit doesn't replace it.
func TestResponseToAnEarlierRequestChangesNoLimit(t *testing.T) {
	w := newWorld(t, "e0")
	w.publish(start, w.upstream(plain(0, start)))
	earlier := w.fleet.ChoosePlain(start, toPlain())
	f := w.fleet.ChoosePlain(start, toPlain())
	now := start.Add(time.Second)
	f.RecordLimit(now, 1, true)
	if earlier.RecordLimit(now, 0, false) {
		t.Error("a response to a request of before ends the limit")
	}
	now = now.Add(10 * time.Second)
	later := w.fleet.ChoosePlain(now, toPlain())
	if !later.RecordLimit(now, 0, false) || w.plainUpstream(now) == "none" {
		t.Error("a later response doesn't end the limit")
	}
	other := newWorld(t, "e1")
	other.publish(start, other.upstream(plain(0, start)))
	o := other.fleet.ChoosePlain(start, toPlain())
	o.RecordLimit(start, 1, true)
	other.fleet.ReceiveLimits(now, "e0", w.fleet.Limits(now, 1))
	if other.plainUpstream(now) == "none" {
		t.Error("the end isn't taken from another entry")
	}
}

// TestLimitIsKnownBeforeTheFirstRequest checks that an entry heeds what it heard of an upstream before
// it had read that the upstream exists.
func TestLimitIsKnownBeforeTheFirstRequest(t *testing.T) {
	told, w := newWorld(t, "e1"), newWorld(t, "e0")
	u := plain(0, start)
	told.publish(start, told.upstream(u))
	told.fleet.ChoosePlain(start, toPlain()).RecordLimit(start, 0, true)
	w.fleet.ReceiveLimits(start, "e1", told.fleet.Limits(start, 1))
	w.publish(start, w.upstream(u))
	if got := w.plainUpstream(start); got != "none" {
		t.Errorf("the first request goes to %s", got)
	}
}

// TestLimitsHeardBeforeTheListAreAllKept has an entry that starts hear of the limits of all upstreams
// before it has read that they exist.
func TestLimitsHeardBeforeTheListAreAllKept(t *testing.T) {
	const fleet = 12000
	w := newWorld(t, "e0")
	var listed []state.Row
	for i := range fleet {
		u := plain(i, start)
		listed = append(listed, w.upstream(u))
		w.fleet.ReceiveLimits(start, "e1", []target.UpstreamLimit{{ID: u.ID, Started: u.Started, Limit: quota.Limit{Rate: 0.1, Serial: 1}}})
	}
	w.publish(start, listed...)
	if n := len(w.fleet.Limits(start, fleet)); n != fleet {
		t.Errorf("%d of %d limits are known", n, fleet)
	}
}

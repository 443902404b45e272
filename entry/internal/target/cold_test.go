package target_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/trial"
)

const (
	// coldSpan is the window of the users' bound for cold upstreams, which has limitRatio and limitSlack.
	coldSpan = time.Second
	// coldTime is how long the upstream of a cold crowd is cold, settleTime the time before.
	coldTime   = 8 * time.Second
	settleTime = 3 * time.Second
	// rowDelay bounds the time after which an entry has a row.
	rowDelay = 200 * time.Millisecond
)

func allowedCold(rate float64) int {
	return int(math.Floor(limitRatio*rate*coldSpan.Seconds())) + limitSlack
}

func neverLimited(time.Time) (float64, bool) { return 0, false }

// newColdCrowd returns a crowd that knows its pool, in which no upstream is listed yet.
func newColdCrowd(t testing.TB, seed uint64, entries int, rate float64) *crowd {
	t.Helper()
	c := newCrowd(t, seed, entries, neverLimited)
	c.pool = &state.Pool{Name: "s", Cold: coldTime, ColdRate: rate}
	c.rows = nil
	for _, e := range c.members {
		c.boot(e)
	}
	c.run(1, settleTime)
	return c
}

// list lists the number of upstreams as cold from now on. StatesCold tells whether their rows say so.
func (c *crowd) list(upstreams int, statesCold bool) {
	c.rows, c.coldUntil = nil, c.now.Add(coldTime)
	for i := range upstreams {
		u := plain(i, c.now)
		if statesCold {
			u.ColdFor = coldTime
		}
		c.rows = append(c.rows, encode(c.t)(state.EncodeUpstream(&u)))
	}
	c.publish(c.rows...)
}

// publish brings rows to all entries, to each after another time.
func (c *crowd) publish(rows ...state.Row) {
	for _, e := range c.members {
		c.messages = append(c.messages, message{at: c.now.Add(time.Duration(c.random.Int64N(int64(rowDelay)))), to: e, rows: rows})
	}
}

// mostCold returns the most requests in coldSpan that has a cold moment.
func (c *crowd) mostCold() int {
	return trial.MostWithin(slices.DeleteFunc(slices.Clone(c.sent), func(at time.Time) bool { return !at.Before(c.coldUntil.Add(coldSpan)) }), coldSpan)
}

// usedCold returns the used part of the cold rate from a time on.
func (c *crowd) usedCold(rate float64, from time.Time) float64 {
	n := len(slices.DeleteFunc(slices.Clone(after(c.sent, from)), func(at time.Time) bool { return !at.Before(c.coldUntil) }))
	return float64(n) / (rate * c.coldUntil.Sub(from).Seconds())
}

func coldDemand(rate float64) float64 { return max(3*rate, 20) }

// TestColdUpstreamIsKeptToItsRate guards against entries that each spend the cold rate, a rate that is
// hardly used, and a burst after the cold time.
func TestColdUpstreamIsKeptToItsRate(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{6, 34, 64, 100, 740} {
		for _, rate := range []float64{2, 14, 100} {
			c := newColdCrowd(t, 1, entries, rate)
			listed := c.now
			c.list(1, entries%4 == 0)
			c.run(coldDemand(rate), coldTime+3*time.Second)
			most, used := c.mostCold(), c.usedCold(rate, listed.Add(time.Second))
			if most > allowedCold(rate) {
				t.Errorf("%d entries, %g a second: %d requests in %s, allowed %d", entries, rate, most, coldSpan, allowedCold(rate))
			}
			if used < 0.8 {
				t.Errorf("%d entries, %g a second: %.2f of the rate is used", entries, rate, used)
			}
			t.Logf("entries=%d rate=%g most=%d allowed=%d used=%.2f asks=%.1f", entries, rate, most, allowedCold(rate), used, float64(c.askCount)/11)
		}
	}
}

// coldFaults are faults of entries and messages while the upstream is cold.
var coldFaults = map[string]func(c *crowd, owner *crowdEntry, demand float64){
	"the owner is killed": func(c *crowd, owner *crowdEntry, demand float64) {
		owner.pausedUntil = c.now.Add(time.Hour)
		c.run(demand, 2*time.Second+7*tick)
		for _, e := range c.members {
			c.setView(e, without(c.entries, owner))
			c.run(demand, tick)
		}
	},
	"the owner is killed and back": func(c *crowd, owner *crowdEntry, demand float64) {
		owner.pausedUntil = c.now.Add(300 * time.Millisecond)
		c.run(demand, 300*time.Millisecond)
		c.boot(owner)
	},
	"the owner is cut off": func(c *crowd, owner *crowdEntry, demand float64) {
		c.isCut = func(from, to *crowdEntry) bool { return from == owner || to == owner }
		c.run(demand, 2*time.Second)
		for i, e := range c.members {
			c.setView(e, without(c.entries, owner))
			if i == len(c.members)/2 {
				// The owner still considers the entries of other regions live.
				c.setView(owner, slices.DeleteFunc(slices.Clone(c.entries), func(h hosts.Host) bool { return h.Place == owner.host.Place && h.Name != owner.host.Name }))
			}
			c.run(demand, 100*time.Millisecond/time.Duration(len(c.members))+tick)
		}
	},
	"another entry is cut off": func(c *crowd, _ *crowdEntry, demand float64) {
		other := c.members[1]
		c.isCut = func(from, to *crowdEntry) bool { return from == other || to == other }
		c.run(demand, 2*time.Second)
		for _, e := range c.members {
			c.setView(e, without(c.entries, other))
		}
		c.setView(other, []hosts.Host{other.host})
	},
	"two entries consider themselves the owner": func(c *crowd, owner *crowdEntry, demand float64) {
		for i, e := range c.members {
			if i%2 == 1 && e != owner || i == 0 {
				c.setView(e, without(c.entries, owner))
			}
		}
		c.run(demand, time.Second)
		for _, e := range c.members {
			c.setView(e, c.entries)
		}
	},
	"messages are lost": func(c *crowd, _ *crowdEntry, _ float64) { c.lost = 0.3 },
	"the owner stands still": func(c *crowd, owner *crowdEntry, _ float64) {
		owner.pausedUntil = c.now.Add(1500 * time.Millisecond)
	},
	"all entries are killed and back": func(c *crowd, _ *crowdEntry, _ float64) {
		for _, e := range c.members {
			c.boot(e)
		}
	},
}

// TestColdRateIsKeptInTrouble guards against more than the cold rate during faults, counting the requests
// of all entries, also of the faulty ones. It fails without takeoverTime, and without the reduced parts of
// owners that see only some of the entries.
func TestColdRateIsKeptInTrouble(t *testing.T) {
	t.Parallel()
	for name, fault := range coldFaults {
		for _, entries := range []int{6, 34} {
			for _, rate := range []float64{2, 14, 100} {
				for seed := range uint64(3) {
					c := newColdCrowd(t, seed+1, entries, rate)
					listed := c.now
					c.list(1, true)
					demand := coldDemand(rate)
					c.run(demand, 1300*time.Millisecond)
					fault(c, c.owner(), demand)
					c.run(demand, c.coldUntil.Add(2*coldSpan).Sub(c.now))
					if most := c.mostCold(); most > allowedCold(rate) {
						t.Errorf("%s, %d entries, %g a second: %d requests in %s, allowed %d", name, entries, rate, most, coldSpan, allowedCold(rate))
					}
					t.Logf("%s: entries=%d rate=%g most=%d allowed=%d used=%.2f", name, entries, rate, c.mostCold(), allowedCold(rate), c.usedCold(rate, listed.Add(time.Second)))
				}
			}
		}
	}
}

// TestNoBurstFollowsTheColdTime sends far more than the cold rate. It guards against a burst when the
// upstream is warm again, since without a ramp all entries send their waiting requests at once, and
// against a limit that remains.
func TestNoBurstFollowsTheColdTime(t *testing.T) {
	const rate, demand = 14, 2000
	c := newColdCrowd(t, 1, 34, rate)
	c.list(1, true)
	c.run(demand, coldTime+5*time.Second)
	if most := c.mostCold(); most > allowedCold(rate) {
		t.Errorf("%d requests in a window with a cold moment", most)
	}
	warm := after(c.sent, c.coldUntil.Add(coldSpan))
	if n := trial.MostWithin(warm, 100*time.Millisecond); n > demand/5 {
		t.Errorf("%d requests in 100 ms after the cold time", n)
	}
	first := slices.DeleteFunc(slices.Clone(warm), func(at time.Time) bool { return at.After(c.coldUntil.Add(coldSpan + 500*time.Millisecond)) })
	if len(first) > 4*rate {
		t.Errorf("%d requests in the first half second", len(first))
	}
	if last := after(c.sent, c.now.Add(-time.Second)); len(last) < demand*9/10 {
		t.Errorf("%d requests in the last second, %d arrive", len(last), demand)
	}
}

// TestDomainReturnsCold lists all upstreams of a failure domain as cold at once. It guards against more
// than the cold rate at any of them, and against rates that are hardly used.
func TestDomainReturnsCold(t *testing.T) {
	const rate, upstreams = 2, 15
	for _, entries := range []int{6, 34} {
		c := newColdCrowd(t, 1, entries, rate)
		c.list(upstreams, true)
		listed := c.now
		c.run(3*upstreams*rate, coldTime+time.Second)
		all := 0
		for id, sent := range c.sentTo {
			if most := trial.MostWithin(sent, coldSpan); most > allowedCold(rate) {
				t.Errorf("%d entries: %d requests to %s in %s, allowed %d", entries, most, id, coldSpan, allowedCold(rate))
			}
			all += len(sent)
		}
		if used := float64(all) / (upstreams * rate * c.now.Sub(listed).Seconds()); used < 0.8 {
			t.Errorf("%d entries: %.2f of the rates is used", entries, used)
		}
	}
}

// TestUpstreamThatBecomesColdUnannounced has an upstream that was listed all along become cold, which only
// its responses state. It guards against more than the cold rate from half a second after that on.
func TestUpstreamThatBecomesColdUnannounced(t *testing.T) {
	for _, entries := range []int{6, 34, 100} {
		for _, rate := range []float64{2, 14, 100} {
			c := newCrowd(t, 1, entries, neverLimited)
			c.pool = &state.Pool{Name: "s", Cold: coldTime, ColdRate: rate}
			for _, e := range c.members {
				c.boot(e)
			}
			c.run(coldDemand(rate), settleTime)
			c.coldUntil = c.now.Add(coldTime)
			from := c.now
			c.run(coldDemand(rate), coldTime+3*time.Second)
			before := trial.MostWithin(after(c.sent, from), coldSpan)
			c.sent = after(c.sent, from.Add(toldTime))
			if most := c.mostCold(); most > allowedCold(rate) {
				t.Errorf("%d entries, %g a second: %d requests in %s, allowed %d", entries, rate, most, coldSpan, allowedCold(rate))
			}
			t.Logf("entries=%d rate=%g most=%d allowed=%d unannounced=%d", entries, rate, c.mostCold(), allowedCold(rate), before)
		}
	}
}

package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/crash"
	"currantport.example/core/hosts"
)

const (
	tick           = 10 * time.Millisecond
	gossipInterval = 300 * time.Millisecond
	// stable is the time within which all entries must refuse a part that has crashed five
	// upstreams.
	stable     = 3 * time.Second
	maxCrashes = 5
	maxLater   = 3
	downTime   = 3 * time.Second
	// startTime is how long a poisonous request runs until its upstream crashes, streamTime how
	// long others run, survivalTime how long an upstream needs to prove that it survives.
	startTime    = 80 * time.Millisecond
	streamTime   = 1200 * time.Millisecond
	survivalTime = 600 * time.Millisecond
)

// running is a request at an upstream.
type running struct {
	entry    int
	parts    []string
	sentAt   time.Time
	survived bool
}

// host is an upstream. It is down until the time.
type host struct {
	id      int
	running []running
	downTo  time.Time
}

// fleet is entries with their registries and the upstreams that they share.
type fleet struct {
	random   *rand.Rand
	start    time.Time
	entries  []*crash.Registry
	hosts    []*host
	poisons  map[string]bool
	sound    []string
	crashes  map[string][]time.Time
	served   map[string]int
	refused  map[string]int
	nextHost int
}

func newFleet(seed uint64, entries, upstreams, sound int, poisons ...string) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), poisons: make(map[string]bool), crashes: make(map[string][]time.Time),
		served: make(map[string]int), refused: make(map[string]int),
	}
	for range entries {
		f.entries = append(f.entries, crash.NewRegistry(zap.NewNop()))
	}
	for range upstreams {
		f.hosts = append(f.hosts, &host{id: f.newID()})
	}
	for i := range sound {
		f.sound = append(f.sound, fmt.Sprint("sound", i))
	}
	for _, p := range poisons {
		f.poisons[p] = true
	}
	return f
}

func (f *fleet) newID() int {
	f.nextHost++
	return f.nextHost
}

func identity(parts []string, number int) crash.Request {
	return crash.NewRequest(fmt.Sprint("/", number), "key", nil, parts)
}

// send sends a request through a random entry to a random upstream.
func (f *fleet) send(parts ...string) {
	e := f.random.IntN(len(f.entries))
	last := parts[len(parts)-1]
	if f.entries[e].IsQuarantined(identity(parts, f.random.Int())) {
		f.refused[last]++
		return
	}
	for range 3 {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		if time.Now().After(h.downTo) {
			f.served[last]++
			h.running = append(h.running, running{entry: e, parts: parts, sentAt: time.Now()})
			return
		}
	}
}

// step ends requests and crashes the upstreams that run poisonous ones.
func (f *fleet) step() {
	now := time.Now()
	for _, h := range f.hosts {
		left := h.running[:0]
		for _, q := range h.running {
			age := now.Sub(q.sentAt)
			for _, p := range q.parts {
				if f.poisons[p] && age >= startTime {
					f.crashes[p] = append(f.crashes[p], now)
					f.crash(h)
					left = nil
				}
			}
			if h.downTo.After(now) {
				break
			}
			if age >= survivalTime && !q.survived {
				q.survived = true
				f.entries[q.entry].RecordSurvival(identity(q.parts, 0))
			}
			if age < streamTime {
				left = append(left, q)
			}
		}
		h.running = left
	}
}

// crash loses all requests of an upstream, which comes back as another one.
func (f *fleet) crash(h *host) {
	id := fmt.Sprint("u", h.id)
	for _, q := range h.running {
		i := identity(q.parts, f.random.Int())
		if q.survived {
			i.Parts = nil
		}
		f.entries[q.entry].RecordLoss(i, id, q.sentAt)
		f.entries[q.entry].RecordCrash(id, "connection refused")
	}
	h.running, h.downTo, h.id = nil, time.Now().Add(downTime), f.newID()
}

func (f *fleet) gossip() {
	for i, from := range f.entries {
		marks := from.Export(32)
		for k, to := range f.entries {
			if k != i && f.random.IntN(10) > 0 {
				to.Merge(hosts.Name(fmt.Sprint("e", i)), marks)
			}
		}
	}
}

// play runs the fleet for a time. Each calls a function every tick.
func (f *fleet) play(length time.Duration, each func(since time.Duration)) {
	start := time.Now()
	for t := time.Duration(0); t < length; t += tick {
		each(time.Since(start))
		f.step()
		if t%gossipInterval == 0 {
			f.gossip()
		}
		time.Sleep(tick)
	}
}

// sendSound sends requests with sound parts at a rate per second.
func (f *fleet) sendSound(rate float64) {
	if f.random.Float64() < rate*tick.Seconds() {
		f.send(f.sound[f.random.IntN(len(f.sound))])
	}
}

// check reports parts that are quarantined though they are sound, and the reverse.
func (f *fleet) check(t *testing.T, seed uint64) {
	t.Helper()
	for i, e := range f.entries {
		for _, p := range f.sound {
			if e.IsQuarantined(identity([]string{p}, -1)) {
				t.Errorf("seed %d: entry %d refuses %s", seed, i, p)
			}
		}
		for p, all := range f.crashes {
			if len(all) >= maxCrashes && !e.IsQuarantined(identity([]string{p}, -1)) {
				t.Errorf("seed %d: entry %d sends %s after %d crashes", seed, i, p, len(all))
			}
		}
	}
	for p, all := range f.crashes {
		later := 0
		for _, at := range all {
			if len(all) > maxCrashes && at.Sub(all[maxCrashes-1]) > stable+startTime {
				later++
			}
		}
		if later > maxLater {
			t.Errorf("seed %d: %s crashed %d upstreams, %d of them late", seed, p, len(all), later)
		}
	}
}

// TestOnlyThePoisonousPartIsQuarantined plays fleets in which requests with a part crash their
// upstreams, beside sound requests that are lost with them and share their other parts.
func TestOnlyThePoisonousPartIsQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		quiet   time.Duration
		poisons []string
		parts   func(f *fleet) []string
		rate    float64
	}{
		"after a while":   {quiet: 8 * time.Second, poisons: []string{"bad"}, rate: 10, parts: func(f *fleet) []string { return []string{f.sound[0], "bad"} }},
		"from the start":  {poisons: []string{"bad"}, rate: 10, parts: func(f *fleet) []string { return []string{f.sound[0], "bad"} }},
		"first part":      {quiet: 2 * time.Second, poisons: []string{"bad"}, rate: 6, parts: func(f *fleet) []string { return []string{"bad", f.sound[0]} }},
		"rare":            {quiet: 8 * time.Second, poisons: []string{"bad"}, rate: 1, parts: func(f *fleet) []string { return []string{f.sound[1], "bad"} }},
		"beside any part": {quiet: 3 * time.Second, poisons: []string{"bad"}, rate: 20, parts: func(f *fleet) []string { return []string{f.sound[f.random.IntN(len(f.sound))], "bad"} }},
		"two at once": {quiet: 3 * time.Second, poisons: []string{"bad", "worse"}, rate: 10, parts: func(f *fleet) []string {
			return []string{f.sound[0], []string{"bad", "worse"}[f.random.IntN(2)]}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(3) {
					f := newFleet(seed, 6, 12, 30, c.poisons...)
					f.play(c.quiet, func(time.Duration) { f.sendSound(60) })
					f.play(15*time.Second, func(time.Duration) {
						f.sendSound(60)
						if f.random.Float64() < c.rate*tick.Seconds() {
							f.send(c.parts(f)...)
						}
					})
					f.check(t, seed)
				}
			})
		})
	}
}

// TestCrashesOfOtherCausesQuarantineNoPart crashes upstreams under requests that are all sound.
func TestCrashesOfOtherCausesQuarantineNoPart(t *testing.T) {
	for name, crashes := range map[string]func(f *fleet, since time.Duration){
		"all at once": func(f *fleet, since time.Duration) {
			if since%(4*time.Second) == 2*time.Second {
				for _, h := range f.hosts {
					f.crash(h)
				}
			}
		},
		"in series": func(f *fleet, since time.Duration) {
			if since%(300*time.Millisecond) == 0 {
				f.crash(f.hosts[f.random.IntN(len(f.hosts))])
			}
		},
	} {
		for _, sound := range []int{1, 30, 300} {
			t.Run(fmt.Sprint(name, " ", sound), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					for seed := range uint64(2) {
						f := newFleet(seed, 6, 12, sound)
						f.play(20*time.Second, func(since time.Duration) {
							f.sendSound(60)
							crashes(f, since)
						})
						refused := 0
						for _, n := range f.refused {
							refused += n
						}
						if refused > 0 {
							t.Errorf("seed %d: %d requests were refused", seed, refused)
						}
						f.check(t, seed)
					}
				})
			})
		}
	}
}

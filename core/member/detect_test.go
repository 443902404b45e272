package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
)

const (
	// stepTime is the resolution of time in a region fleet. Rounds begin at different steps.
	stepTime      = 50 * time.Millisecond
	stepsPerRound = int(member.GossipInterval / stepTime)
	// settleTime is how long a fleet runs before anything happens to it.
	settleTime = 6 * time.Second
	// margin is what is left of the detection time for the delay of messages and for the round after which a
	// silent entry is no longer listed.
	margin = 500 * time.Millisecond
)

// regionFleet is a set of entries in a number of regions that know each other. Their rounds aren't aligned.
type regionFleet struct {
	now     time.Time
	steps   int
	tables  []*member.Table
	phases  []int
	paused  map[int]bool
	random  *rand.Rand
	regions int
	loss    float64
	// isCut reports whether two entries can't reach each other, or is nil.
	isCut func(a, b int) bool
	// withoutAges drops what earlier releases don't send.
	withoutAges bool
	messages    int
}

func newRegionFleet(count, regions int, seed uint64) *regionFleet {
	f := &regionFleet{now: time.Unix(1e9, 0), paused: make(map[int]bool), random: rand.New(rand.NewPCG(seed, 3)), regions: regions, tables: make([]*member.Table, count)}
	for i := range count {
		f.phases = append(f.phases, f.random.IntN(stepsPerRound))
		f.start(i, 1)
	}
	all := make([]member.Member, count)
	for i := range all {
		all[i] = f.entry(i, 1)
	}
	for _, t := range f.tables {
		t.Merge(f.now, all)
	}
	return f
}

func (f *regionFleet) entry(i int, incarnation uint64) member.Member {
	m := entry(i, incarnation)
	m.Place = hosts.Place{Region: hosts.Region(fmt.Sprintf("r%d", i%f.regions)), Domain: hosts.Domain(fmt.Sprintf("d%d", i%f.regions))}
	return m
}

// start starts an entry, which knows no other one.
func (f *regionFleet) start(i int, incarnation uint64) {
	t := member.NewTable(f.entry(i, incarnation), f.random.Uint64(), detection)
	t.SetSeeds([]netip.AddrPort{address(0), address(1), address(2)})
	f.tables[i] = t
}

func (f *regionFleet) end(entries ...int) {
	for _, i := range entries {
		f.tables[i] = nil
	}
}

func (f *regionFleet) indexOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])*250 + int(b[3]) - 1
}

func (f *regionFleet) step() {
	f.now = f.now.Add(stepTime)
	f.steps++
	for i, t := range f.tables {
		if t == nil || f.paused[i] || f.steps%stepsPerRound != f.phases[i] {
			continue
		}
		for _, m := range t.NextMessages(f.now) {
			f.messages++
			f.send(i, m)
		}
	}
}

func (f *regionFleet) send(from int, m member.Message) {
	to := f.indexOf(m.To)
	if f.tables[to] == nil || f.paused[to] || f.random.Float64() < f.loss || f.isCut != nil && f.isCut(from, to) {
		return
	}
	records := f.tables[from].Records(f.now, m.IncludeOthers)
	if f.withoutAges {
		for i := range records {
			records[i].Age = -1
		}
	}
	f.tables[to].Merge(f.now, records)
	if m.IncludeOthers && !f.withoutAges {
		f.tables[to].MergeSuspicions(f.now, f.tables[from].Suspicions(f.now))
	}
}

func (f *regionFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// listing returns the running entries that list one of the given entries.
func (f *regionFleet) listing(entries ...int) []int {
	var all []int
	for i, t := range f.tables {
		if t != nil && !f.paused[i] && slices.ContainsFunc(t.Live(f.now), func(m member.Member) bool {
			return slices.Contains(entries, f.indexOf(m.Address))
		}) {
			all = append(all, i)
		}
	}
	return all
}

// missing counts the running entries that others of the given ones don't list, as pairs.
func (f *regionFleet) missing(at ...int) int {
	count, running := 0, 0
	for _, t := range f.tables {
		if t != nil {
			running++
		}
	}
	for _, i := range at {
		if f.tables[i] == nil {
			continue
		}
		listed := 0
		for _, m := range f.tables[i].Live(f.now) {
			if f.tables[f.indexOf(m.Address)] != nil {
				listed++
			}
		}
		count += running - listed
	}
	return count
}

func (f *regionFleet) all() []int {
	all := make([]int, len(f.tables))
	for i := range all {
		all[i] = i
	}
	return all
}

// fleetCase is a fleet of which some entries end at the same moment.
type fleetCase struct {
	count, regions int
	loss           float64
	ended          []int
	seeds          uint64
}

// every returns the indices from the first one below the end, at intervals.
func every(first, end, interval int) []int {
	var all []int
	for i := first; i < end; i += interval {
		all = append(all, i)
	}
	return all
}

// TestEndedEntryIsSilentInTimeAtEveryFleetSize guards against entries that name one which has ended to clients: its
// last heartbeats arrive the later the larger the fleet is, and each arrival extended its life.
func TestEndedEntryIsSilentInTimeAtEveryFleetSize(t *testing.T) {
	for name, c := range map[string]fleetCase{
		"three regions of one":             {count: 3, regions: 3, ended: []int{2}, seeds: 20},
		"twelve regions of one":            {count: 12, regions: 12, ended: []int{11}, seeds: 10},
		"forty regions of one, four ended": {count: 40, regions: 40, ended: every(36, 40, 1), seeds: 3},
		"34 entries, a region ended":       {count: 34, regions: 3, loss: 0.03, ended: every(1, 34, 3), seeds: 2},
		"34 entries, 20 ended":             {count: 34, regions: 3, loss: 0.03, ended: every(0, 20, 1), seeds: 2},
		"64 entries, one ended":            {count: 64, regions: 3, loss: 0.03, ended: []int{5}, seeds: 1},
		"64 entries, 38 ended":             {count: 64, regions: 3, loss: 0.03, ended: every(0, 38, 1), seeds: 3},
		"120 entries, one ended":           {count: 120, regions: 7, loss: 0.03, ended: []int{5}, seeds: 1},
		"120 entries, a region ended":      {count: 120, regions: 7, loss: 0.03, ended: every(1, 120, 7), seeds: 1},
		"120 entries, half ended":          {count: 120, regions: 7, loss: 0.03, ended: every(0, 120, 2), seeds: 1},
		"a small region of a large fleet":  {count: 100, regions: 75, ended: []int{60}, seeds: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				c.play(t, seed)
			}
		})
	}
}

func (c fleetCase) play(t *testing.T, seed uint64) {
	t.Helper()
	f := newRegionFleet(c.count, c.regions, seed)
	f.loss = c.loss
	f.run(settleTime)
	if missing := f.missing(f.all()...); missing > 0 {
		t.Errorf("seed %d: %d live entries aren't listed", seed, missing)
	}
	f.end(c.ended...)
	f.run(detection - margin)
	if listing := f.listing(c.ended...); len(listing) > 0 {
		t.Errorf("seed %d: %d of %d entries list one that ended %v ago", seed, len(listing), c.count-len(c.ended), detection-margin)
	}
	if missing := f.missing(f.all()...); missing > 0 {
		t.Errorf("seed %d: %d live entries aren't listed beside those that ended", seed, missing)
	}
}

// TestStartingEntryDoesNotExtendTheLifeOfAnEndedOne guards against an entry that starts after the end and learns of the
// ended one from others.
func TestStartingEntryDoesNotExtendTheLifeOfAnEndedOne(t *testing.T) {
	for seed := range uint64(20) {
		for _, regions := range []int{1, 2, 4} {
			f := newRegionFleet(4, regions, seed)
			f.end(3)
			f.run(settleTime)
			f.end(2)
			f.run(1500 * time.Millisecond)
			f.start(3, 2)
			f.run(detection - margin - 1500*time.Millisecond)
			if listing := f.listing(2); len(listing) > 0 {
				t.Errorf("seed %d, %d regions: %v list an entry that ended %v ago", seed, regions, listing, detection-margin)
			}
		}
	}
}

// TestLostMessagesDoNotSilenceALiveEntry guards against live entries being taken for dead since messages are lost.
func TestLostMessagesDoNotSilenceALiveEntry(t *testing.T) {
	for _, c := range []fleetCase{{count: 3, regions: 3}, {count: 40, regions: 3}, {count: 40, regions: 40}, {count: 100, regions: 7}} {
		f := newRegionFleet(c.count, c.regions, 1)
		f.loss = 0.05
		f.run(settleTime)
		missing, rounds := 0, 0
		for range 20 {
			f.run(member.GossipInterval)
			missing += f.missing(every(0, c.count, max(c.count/20, 1))...)
			rounds++
		}
		if most := rounds * 20 * c.count / 50000; missing > most {
			t.Errorf("%d entries in %d regions: %d times a live entry isn't listed, want at most %d", c.count, c.regions, missing, most)
		}
	}
}

// TestCutLinkSilencesNoEntryElsewhere guards against an entry that is out of use everywhere since one other of its region
// can't reach it.
func TestCutLinkSilencesNoEntryElsewhere(t *testing.T) {
	for _, count := range []int{9, 60} {
		f := newRegionFleet(count, 3, 1)
		f.run(settleTime)
		f.isCut = func(a, b int) bool { return min(a, b) == 0 && max(a, b) == 3 }
		for range 40 {
			f.run(member.GossipInterval)
			if missing := f.missing(1, 2, 4, 5, 6); missing > 0 {
				t.Fatalf("%d entries: %d live entries aren't listed beside a cut link", count, missing)
			}
		}
	}
}

// TestIsolatedEntriesReportNobody guards against entries that were cut off together, or stood still, and report all
// others once they are back.
func TestIsolatedEntriesReportNobody(t *testing.T) {
	for _, isolation := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5500 * time.Millisecond} {
		for _, isPaused := range []bool{true, false} {
			f := newRegionFleet(40, 3, 1)
			f.run(settleTime)
			isolated := []int{0, 1, 2, 3}
			f.isCut = func(a, b int) bool { return (a <= 3) != (b <= 3) }
			for _, i := range isolated {
				f.paused[i] = isPaused
			}
			f.run(isolation)
			f.isCut = nil
			clear(f.paused)
			for range 20 {
				f.run(member.GossipInterval)
				for i := 4; i < 40; i++ {
					live := f.tables[i].Live(f.now)
					count := 0
					for _, m := range live {
						if f.indexOf(m.Address) > 3 {
							count++
						}
					}
					if count != 36 {
						t.Fatalf("isolated for %v, paused %v: entry %d lists %d of 36 others", isolation, isPaused, i, count)
					}
				}
			}
			if missing := f.missing(f.all()...); missing > 0 {
				t.Errorf("isolated for %v, paused %v: %d entries aren't listed 6 s later", isolation, isPaused, missing)
			}
		}
	}
}

// TestFalseSuspicionIsRefuted guards against a live entry staying out of use in a fleet in which news is slow.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	f := newRegionFleet(120, 3, 1)
	f.run(settleTime)
	suspected := f.entry(4, 1)
	for i, table := range f.tables {
		if i%3 != 1 {
			table.MergeSuspicions(f.now, []member.Suspicion{{Name: suspected.Name, Incarnation: 1, Reporters: []hosts.Name{"e001", "e007"}}})
		}
	}
	if listing := f.listing(4); len(listing) != 40 {
		t.Fatalf("%d entries list one that two others report, want the 40 of its region", len(listing))
	}
	f.run(3 * time.Second)
	if listing := f.listing(4); len(listing) != 120 {
		t.Errorf("%d of 120 entries list one that was reported falsely 3 s ago", len(listing))
	}
}

// TestRecordsWithoutAgesKeepEntriesLive guards a fleet in which some entries are of an earlier release.
func TestRecordsWithoutAgesKeepEntriesLive(t *testing.T) {
	f := newRegionFleet(30, 3, 1)
	f.withoutAges = true
	f.run(settleTime)
	for range 40 {
		f.run(member.GossipInterval)
		if missing := f.missing(f.all()...); missing > 0 {
			t.Fatalf("%d live entries aren't listed", missing)
		}
	}
	f.end(3)
	f.run(15 * time.Second)
	if listing := f.listing(3); len(listing) > 0 {
		t.Errorf("%v list an entry that ended 15 s ago", listing)
	}
}

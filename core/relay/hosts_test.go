package relay_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/relay"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

const leavingLimit = 3 * time.Second

// shows returns a test for the state that a process knows of a host.
func shows(name hosts.Name, state hosts.State) func(m *member) bool {
	return func(m *member) bool {
		h, ok := m.roster.Now().Find(name)
		return ok && h.State == state || !ok && state == ""
	}
}

func (w *world) setState(name hosts.Name, state hosts.State) {
	w.sync()
	w.platform.set(func() {
		for i := range w.platform.list {
			if w.platform.list[i].Name == name {
				w.platform.list[i].State = state
			}
		}
	})
}

func TestLeavingHostIsKnownEverywhere(t *testing.T) {
	faults := []trial.Fault{trial.None, trial.Silence, trial.Cut, trial.Late}
	trial.Run(t, trial.Singles([]trial.Step{stepRelay, stepReply}, faults), func(t *testing.T, s *trial.Script) {
		w := settled(t, s, fleetOf(3, 3, 9, 9))
		defer w.stop()
		w.setState("agent-00004", hosts.StateLeaving)
		var first time.Time
		took := w.within(20*time.Second, func(m *member) bool {
			known := shows("agent-00004", hosts.StateLeaving)(m)
			if known && first.IsZero() {
				first = time.Now()
			}
			return known
		})
		if last := time.Since(first); len(took) == 0 || last > leavingLimit {
			t.Errorf("the last process learned it %s after the first", last)
		}
		w.sync()
		time.Sleep(15 * time.Second)
		w.setState("agent-00004", hosts.StateLive)
		w.within(forceLimit, shows("agent-00004", hosts.StateLive))
	})
}

func TestHostThatIsWronglyMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 6, 6)
		w := settled(t, trial.NewScript(nil), list)
		defer w.stop()
		w.sync()
		w.platform.set(func() { w.platform.list = list[:11] })
		w.within(2*forceLimit, shows("agent-00005", hosts.StateMissing))
		w.sync()
		time.Sleep(10 * time.Minute)
		w.within(0, shows("agent-00005", hosts.StateMissing))
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.within(forceLimit, shows("agent-00005", hosts.StateLive))
		w.sync()
		w.platform.set(func() { w.platform.list = list[:11] })
		w.kill(w.members["agent-00005"])
		w.within(3*time.Minute, shows("agent-00005", ""))
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.within(forceLimit, shows("agent-00005", hosts.StateLive))
	})
}

// An agent that numbered lists of its own while it was cut off takes in the
// list of entries that have all started anew.
func TestListOfEntriesThatStartedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 3, 3)
		w := settled(t, trial.NewScript(nil), list)
		defer w.stop()
		for i := range 6 {
			w.setState("agent-00002", []hosts.State{hosts.StateLeaving, hosts.StateLive}[i%2])
			w.sync()
			time.Sleep(15 * time.Second)
		}
		for _, h := range list[:3] {
			w.kill(w.members[h.Name])
		}
		for _, h := range list[:3] {
			w.start(h)
		}
		w.sync()
		time.Sleep(20 * time.Second)
		w.setState("agent-00002", hosts.StateLeaving)
		w.within(forceLimit, shows("agent-00002", hosts.StateLeaving))
	})
}

// The calls a second don't depend on the number of processes, since each spaces
// its reads by that number.
func TestMassStartStaysWithinTheBudget(t *testing.T) {
	const allowed = 2000
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(7, 18, 60, 540)
		w := newWorld(t, trial.NewScript(nil), nil)
		w.processes = len(list)
		defer w.stop()
		for _, h := range list {
			w.start(h)
		}
		w.sync()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		alone := w.platform.peak
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.within(10*time.Second, func(m *member) bool { return m.roster.Now().Len() == len(list) })
		synctest.Wait()
		w.platform.peak = 0
		synctest.Wait()
		w.isCut = func(hosts.Host, hosts.Host) bool { return true }
		w.sync()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if alone == 0 || alone > allowed || w.platform.peak == 0 || w.platform.peak > allowed {
			t.Errorf("the platform met %d calls in a second at the start and %d while all were apart, allowed are %d", alone, w.platform.peak, allowed)
		}
	})
}

// The paths of the relay join all processes at few steps and few children,
// also when a failure domain is down.
func TestFeedsJoinTheFleet(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 2))
	for range 12 {
		domains := 2 + random.IntN(17)
		all := fleetOf(min(domains, 7), domains, domains*(1+random.IntN(12)), 200)
		down := all[random.IntN(domains)].Place.Domain
		var left []hosts.Host
		for _, h := range all {
			if h.Place.Domain != down {
				left = append(left, h)
			}
		}
		for _, list := range [][]hosts.Host{all, left} {
			checkFeeds(t, hosts.NewList(list))
		}
	}
}

func checkFeeds(t *testing.T, list hosts.List) {
	t.Helper()
	const mostSteps, mostChildren = 9, 60
	links := make(map[hosts.Name][]hosts.Name)
	children := make(map[hosts.Name]int)
	for _, h := range list.All() {
		feeds, width := relay.NewTopology(relay.Self{Host: h.Name, Place: h.Place, Role: h.Role}, list).Feeds()
		for _, f := range feeds[:min(width, len(feeds))] {
			links[h.Name] = append(links[h.Name], f.Name)
			links[f.Name] = append(links[f.Name], h.Name)
			children[f.Name]++
		}
	}
	start := list.WithRole(hosts.RoleEntry)[0].Name
	steps := map[hosts.Name]int{start: 0}
	for queue := []hosts.Name{start}; len(queue) > 0; queue = queue[1:] {
		for _, n := range links[queue[0]] {
			if _, ok := steps[n]; !ok {
				steps[n] = steps[queue[0]] + 1
				queue = append(queue, n)
			}
		}
	}
	for _, h := range list.All() {
		if n, ok := steps[h.Name]; !ok || n > mostSteps || children[h.Name] > mostChildren {
			t.Fatalf("%s of %d hosts is %d steps away (reached %t) and has %d children", h.Name, list.Len(), n, ok, children[h.Name])
		}
	}
}

// A table is read in two regions at once, and in every region once the first
// ones have shown nothing new for a while.
func TestFewRegionsReadATable(t *testing.T) {
	list := hosts.NewList(fleetOf(7, 18, 60, 0))
	for revision := range uint64(20) {
		for _, c := range []struct {
			quiet            time.Duration
			readers, regions int
		}{{0, 2, 2}, {2 * time.Second, 2, 2}, {3 * time.Second, 9, 7}, {time.Minute, 21, 7}} {
			readers := 0
			regions := make(map[hosts.Region]bool)
			for _, h := range list.All() {
				if relay.NewTopology(relay.Self{Host: h.Name, Place: h.Place, Role: h.Role}, list).ReadsTable(tables.KindPools, revision, c.quiet) {
					readers++
					regions[h.Place.Region] = true
				}
			}
			if readers != c.readers || len(regions) != c.regions {
				t.Errorf("revision %d after %s: %d entries of %d regions read, want %d of %d", revision, c.quiet, readers, len(regions), c.readers, c.regions)
			}
		}
	}
}

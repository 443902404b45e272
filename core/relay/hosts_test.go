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

// hasHostState returns a condition for the state in which a process sees a host. An
// empty state means that it doesn't list the host.
func hasHostState(name hosts.Name, state hosts.State) func(m *process) bool {
	return func(m *process) bool {
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
	faults := []trial.Fault{trial.None, trial.Silence, trial.Cut, trial.Delay}
	trial.Run(t, trial.Singles([]trial.Step{stepRelay, stepReply}, faults), func(t *testing.T, s *trial.Script) {
		w := newSettledWorld(t, s, fleetOf(3, 3, 9, 9))
		defer w.stop()
		w.setState("agent-00004", hosts.StateLeaving)
		var first time.Time
		took := w.waitFor(20*time.Second, func(m *process) bool {
			known := hasHostState("agent-00004", hosts.StateLeaving)(m)
			if known && first.IsZero() {
				first = time.Now()
			}
			return known
		})
		if last := time.Since(first); len(took) == 0 || last > leavingLimit {
			t.Errorf("the last process received it %s after the first", last)
		}
		w.sync()
		time.Sleep(15 * time.Second)
		w.setState("agent-00004", hosts.StateLive)
		w.waitFor(activationLimit, hasHostState("agent-00004", hosts.StateLive))
	})
}

func TestWronglyUnlistedHostBecomesLiveAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 6, 6)
		w := newSettledWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		w.sync()
		w.platform.set(func() { w.platform.list = list[:11] })
		w.waitFor(2*activationLimit, hasHostState("agent-00005", hosts.StateMissing))
		w.sync()
		time.Sleep(10 * time.Minute)
		w.waitFor(0, hasHostState("agent-00005", hosts.StateMissing))
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.waitFor(activationLimit, hasHostState("agent-00005", hosts.StateLive))
		w.sync()
		w.platform.set(func() { w.platform.list = list[:11] })
		w.kill(w.processes["agent-00005"])
		w.waitFor(3*time.Minute, hasHostState("agent-00005", ""))
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.waitFor(activationLimit, hasHostState("agent-00005", hosts.StateLive))
	})
}

// An agent that raised the revision of its list while it was cut off accepts the list
// of entries that have all restarted.
func TestHostListAfterAllEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 3, 3)
		w := newSettledWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		for i := range 6 {
			w.setState("agent-00002", []hosts.State{hosts.StateLeaving, hosts.StateLive}[i%2])
			w.sync()
			time.Sleep(15 * time.Second)
		}
		for _, h := range list[:3] {
			w.kill(w.processes[h.Name])
		}
		for _, h := range list[:3] {
			w.start(h)
		}
		w.sync()
		time.Sleep(20 * time.Second)
		w.setState("agent-00002", hosts.StateLeaving)
		w.waitFor(activationLimit, hasHostState("agent-00002", hosts.StateLeaving))
	})
}

// The number of calls per second doesn't depend on the number of processes, since each
// process spaces its direct reads by that number.
func TestMassStartStaysWithinTheBudget(t *testing.T) {
	t.Parallel()
	const allowed = 2000
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(7, 18, 60, 540)
		w := newWorld(t, trial.NewScript(nil), nil)
		w.fleetSize = len(list)
		defer w.stop()
		for _, h := range list {
			w.start(h)
		}
		w.sync()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		startPeak := w.platform.peak
		w.sync()
		w.platform.set(func() { w.platform.list = list })
		w.waitFor(10*time.Second, func(m *process) bool { return m.roster.Now().Len() == len(list) })
		synctest.Wait()
		w.platform.peak = 0
		synctest.Wait()
		w.isPartitioned = func(hosts.Host, hosts.Host) bool { return true }
		w.sync()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if startPeak == 0 || startPeak > allowed || w.platform.peak == 0 || w.platform.peak > allowed {
			t.Errorf("the platform received up to %d calls per second at the start and %d while all were partitioned, want at most %d", startPeak, w.platform.peak, allowed)
		}
	})
}

// The feeds connect all processes over few hops and with few children each, also if a
// failure domain is down.
func TestFeedsConnectAllProcesses(t *testing.T) {
	t.Parallel()
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
	const maxSteps, maxChildren = 9, 60
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
		if n, ok := steps[h.Name]; !ok || n > maxSteps || children[h.Name] > maxChildren {
			t.Fatalf("%s of %d hosts is %d hops away (reached %t) and has %d children", h.Name, list.Len(), n, ok, children[h.Name])
		}
	}
}

// A table is read in two regions at once, and in every region if the first two have
// shown no change for some time.
func TestFewRegionsReadATable(t *testing.T) {
	list := hosts.NewList(fleetOf(7, 18, 60, 0))
	for revision := range uint64(20) {
		for _, c := range []struct {
			unchanged        time.Duration
			readers, regions int
		}{{0, 2, 2}, {2 * time.Second, 2, 2}, {3 * time.Second, 9, 7}, {time.Minute, 21, 7}} {
			readers := 0
			regions := make(map[hosts.Region]bool)
			for _, h := range list.All() {
				if relay.NewTopology(relay.Self{Host: h.Name, Place: h.Place, Role: h.Role}, list).ReadsTable(tables.KindPools, revision, c.unchanged) {
					readers++
					regions[h.Place.Region] = true
				}
			}
			if readers != c.readers || len(regions) != c.regions {
				t.Errorf("revision %d after %s: %d entries of %d regions read, want %d of %d", revision, c.unchanged, readers, len(regions), c.readers, c.regions)
			}
		}
	}
}

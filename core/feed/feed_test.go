package feed_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"currantport.example/core/clocks"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func release(version int) state.Row {
	r, err := state.EncodeRelease(state.Release{Model: "m", Version: version})
	if err != nil {
		panic(err)
	}
	return r
}

func at(revision state.Revision, r state.Row) state.Row {
	r.Revision = revision
	return r
}

func TestMirrorIgnoresOlderUpdates(t *testing.T) {
	m := feed.NewMirror()
	now := time.Now()
	apply := func(head state.Revision, full bool, rows ...state.Row) {
		t.Helper()
		if _, err := m.Apply(feed.Update{Head: head, Full: full, Rows: rows, ConfirmedAt: now, LastContact: now}); err != nil {
			t.Fatal(err)
		}
	}
	apply(5, true, at(5, release(2)))
	apply(4, true, at(4, release(9)))
	if v := m.Snapshot().Release("m").Version; v != 2 || m.Head() != 5 {
		t.Errorf("version %d at %d", v, m.Head())
	}
	apply(6, false, at(6, release(3)))
	apply(6, true, at(6, release(3)))
	if v := m.Snapshot().Release("m").Version; v != 3 {
		t.Errorf("version %d", v)
	}
	apply(7, true)
	if v := m.Snapshot().Release("m").Version; v != state.FirstVersion {
		t.Errorf("a row missing from a full update was kept: version %d", v)
	}
}

func TestSnapshotIsActiveSinceTheLastChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := clocks.Now()
		m := feed.NewMirror()
		for _, c := range []struct {
			head     state.Revision
			rows     []state.Row
			since    time.Duration
			revision state.Revision
		}{
			{head: 3, rows: []state.Row{at(3, release(1))}, since: time.Second, revision: 3},
			{head: 3, since: time.Second, revision: 3},
			{head: 2, rows: []state.Row{at(2, release(2))}, since: time.Second, revision: 3},
			{head: 4, rows: []state.Row{at(4, release(2))}, since: 4 * time.Second, revision: 4},
		} {
			time.Sleep(time.Second)
			if _, err := m.Apply(feed.Update{Head: c.head, Rows: c.rows, ConfirmedAt: clocks.Now()}); err != nil {
				t.Fatal(err)
			}
			if s, since := m.ActiveSnapshot(); s.Revision != c.revision || since.Sub(began) != c.since {
				t.Errorf("revision %d is active since %v, want %d since %v", s.Revision, since.Sub(began), c.revision, c.since)
			}
		}
	})
}

func TestConfirmedAtNeverDecreases(t *testing.T) {
	m := feed.NewMirror()
	if _, ok := m.Staleness(); ok {
		t.Error("an empty replica has a staleness")
	}
	later := time.Now()
	for _, p := range []time.Time{later, later.Add(-time.Second)} {
		if _, err := m.Apply(feed.Update{Head: 1, Full: true, ConfirmedAt: p, LastContact: p}); err != nil {
			t.Fatal(err)
		}
	}
	if !m.ConfirmedAt().Equal(later) || !m.LastContact().Equal(later) {
		t.Errorf("confirmed %v, last contact %v, want %v", m.ConfirmedAt(), m.LastContact(), later)
	}
}

func TestDivergedMirrorIsDetected(t *testing.T) {
	source, m := feed.NewMirror(), feed.NewMirror()
	must := func(_ feed.Change, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(source.Apply(feed.Update{Head: 1, Full: true, Rows: []state.Row{at(1, release(1))}}))
	must(source.Apply(feed.Update{Head: 3, Rows: nil}))
	must(m.Apply(feed.Update{Head: 2, Full: true, Rows: []state.Row{at(2, release(7))}}))
	u, ok := source.UpdateSince(2, nil)
	if !ok {
		t.Fatal("no update")
	}
	if _, err := m.Apply(u); !errors.Is(err, feed.ErrDiverged) {
		t.Errorf("error %v", err)
	}
	u, _ = source.UpdateSince(0, nil)
	must(m.Apply(u))
	if v := m.Snapshot().Release("m").Version; v != 1 {
		t.Errorf("version %d", v)
	}
}

func TestScopeExcludesOtherRows(t *testing.T) {
	m := feed.NewMirror()
	rows := []state.Row{
		at(1, release(1)),
		{Key: "route/r", Value: []byte("{}"), Revision: 1},
		{Key: "upstream/p/u", Value: []byte("{}"), Revision: 1},
		{Key: "upstream/q/u", Value: []byte("{}"), Revision: 1},
	}
	_, _ = m.Apply(feed.Update{Head: 1, Full: true, Rows: rows})
	u, _ := m.UpdateSince(0, feed.AgentScope("p"))
	var keys []string
	for _, r := range u.Rows {
		keys = append(keys, r.Key)
	}
	slices.Sort(keys)
	if want := []string{"release/m", "upstream/p/u"}; !slices.Equal(keys, want) {
		t.Errorf("keys %v, want %v", keys, want)
	}
	scoped := feed.NewMirror()
	if _, err := scoped.Apply(u); err != nil {
		t.Error("the checksum doesn't match the scope: ", err)
	}
}

func TestOneEntryOfEachDomainReadsThePlatform(t *testing.T) {
	var entries []hosts.Host
	for i := range 9 {
		domain := hosts.Domain(fmt.Sprintf("d%d", i%3))
		entries = append(entries, hosts.Host{
			Name: hosts.Name(fmt.Sprintf("e%d", i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: hosts.Region(domain), Domain: domain},
		})
	}
	direct := make(map[hosts.Domain]int)
	for _, h := range entries {
		order := feed.Identity{Self: h.Name, Place: h.Place, Role: hosts.RoleEntry}.SourceOrder(entries)
		if order[0] == feed.PlatformSource {
			direct[h.Place.Domain]++
		}
		if slices.Contains(order, h.Name) {
			t.Errorf("%s pulls from itself", h.Name)
		}
	}
	if want := map[hosts.Domain]int{"d0": 1, "d1": 1, "d2": 1}; !maps.Equal(direct, want) {
		t.Errorf("leaders per domain: %v", direct)
	}
	agent := feed.Identity{Self: "a", Place: entries[0].Place, Role: hosts.RoleAgent}.SourceOrder(entries)
	if len(agent) != 10 || agent[9] != feed.PlatformSource || hosts.NewList(entries).Len() != 9 {
		t.Errorf("sources of an agent: %v", agent)
	}
}

// TestChangeReachesAllEntriesWithinTwoSeconds cuts some entries off from the platform,
// silently or with refusals, leaders among them, and publishes changes at random times.
// When the staleness instead of the last contact decided that a source was lost, the
// worst delay was over 3 s.
func TestChangeReachesAllEntriesWithinTwoSeconds(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(7)
			stop := w.start()
			defer stop()
			time.Sleep(3 * time.Second)
			for range 1 + r.IntN(4) {
				w.mutex.Lock()
				w.cut[w.entries[r.IntN(len(w.entries))].Name] = r.IntN(2) == 0
				w.mutex.Unlock()
			}
			for version := 2; version < 8; version++ {
				time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				if delay := w.propagationDelay(version); delay > bound {
					t.Errorf("seed %d: version %d after %v with %v cut off", seed, version, delay, w.cut)
				}
			}
		})
	}
}

// TestStalenessStaysBelowBound checks every entry while the platform responds.
func TestStalenessStaysBelowBound(t *testing.T) {
	const bound = 2*feed.LongPollTimeout + 300*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(7)
		stop := w.start()
		defer stop()
		time.Sleep(3 * time.Second)
		r := rand.New(rand.NewPCG(1, 1))
		for version := 2; version < 40; version++ {
			for range 20 {
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
				for _, h := range w.entries {
					if staleness, ok := w.mirrors[h.Name].Staleness(); !ok || staleness > bound {
						t.Fatalf("%s: staleness %v, confirmed %t", h.Name, staleness, ok)
					}
				}
			}
			w.platform.publish(version)
		}
	})
}

// TestOnlyLeadersReadThePlatform counts the pulls of a healthy fleet.
func TestOnlyLeadersReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(21)
		stop := w.start()
		defer stop()
		time.Sleep(5 * time.Second)
		before := w.platform.readCount()
		const span = 60 * time.Second
		time.Sleep(span)
		// Three leaders, each with one pull per LongPollTimeout.
		maxReads := 3 * int(span/feed.LongPollTimeout+1)
		if n := w.platform.readCount() - before; n > maxReads {
			t.Errorf("%d pulls, want at most %d", n, maxReads)
		}
	})
}

// TestStalenessGrowsWhilePlatformIsUnreachable guards against processes that confirm
// each other's replicas although none of them has reached the platform since.
func TestStalenessGrowsWhilePlatformIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.entries[1].Place = w.entries[0].Place
		stop := w.start()
		defer stop()
		time.Sleep(2 * time.Second)
		w.mutex.Lock()
		for _, h := range w.entries {
			w.cut[h.Name] = true
		}
		w.mutex.Unlock()
		cutAt := time.Now()
		time.Sleep(10 * time.Second)
		for _, h := range w.entries {
			if staleness, _ := w.mirrors[h.Name].Staleness(); staleness < time.Since(cutAt)-feed.LongPollTimeout {
				t.Errorf("%s: staleness %v, but the platform has been unreachable for %v", h.Name, staleness, time.Since(cutAt))
			}
		}
	})
}

// TestRestoreCausesNoStampede takes the platform away from a fleet of 100 entries and 156 agents
// in five failure domains and restores it from a copy.
func TestRestoreCausesNoStampede(t *testing.T) {
	const domains, outage = 5, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(100, domains)
		w.readyStaleness = 3 * time.Second
		all := append(slices.Clone(w.entries), w.addAgents(156, domains)...)
		stop := w.startAll(all)
		defer stop()
		time.Sleep(5 * time.Second)
		w.platform.publish(7)
		time.Sleep(5 * time.Second)
		w.platform.resetCounts()
		w.setCut(all, true)
		time.Sleep(outage)
		reads, lists, readers := w.platform.resetCounts()
		t.Logf("outage: pulls=%d lists=%d processes=%d", reads, lists, readers)
		// The leader of each domain, and one more entry for each second.
		maxReaders := domains * (1 + int(outage/time.Second))
		if readers > maxReaders || lists > 0 {
			t.Errorf("%d processes read during the outage, want at most %d", readers, maxReaders)
		}
		w.platform.restore(t, 2, 3)
		w.setCut(all, false)
		time.Sleep(5 * time.Second)
		reads, lists, readers = w.platform.resetCounts()
		t.Logf("return: pulls=%d lists=%d processes=%d", reads, lists, readers)
		if lists > maxReaders || readers > maxReaders {
			t.Errorf("%d processes read after the return, %d of them all rows, want at most %d", readers, lists, maxReaders)
		}
		for _, h := range all {
			m := w.mirrors[h.Name]
			if staleness, ok := m.Staleness(); m.Head().Era() != 2 || !ok || staleness > 3*time.Second || m.Snapshot().Release("m").Version != 7 {
				t.Errorf("%s: era %d, staleness %s, version %d", h.Name, m.Head().Era(), staleness, m.Snapshot().Release("m").Version)
			}
		}
	})
}

// TestEntriesThatStartTogetherShareOneRead starts all entries at once, as after a loss of power. It guards
// against each of them reading all rows over the link of its region: the reads share the link, and none
// of the entries is ready before all reads have nearly ended.
func TestEntriesThatStartTogetherShareOneRead(t *testing.T) {
	const domains, perDomain, listTime = 3, 12, 140 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newWorldIn(domains*perDomain, domains)
		w.readyStaleness, w.platform.listTime = 3*time.Second, listTime
		startedAt := time.Now()
		defer w.start()()
		for len(w.ready()) < len(w.entries) && time.Since(startedAt) < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(startedAt)
		t.Logf("all ready after %s, %d whole reads, %d begun", took, w.platform.whole, w.platform.lists)
		if took > perDomain*listTime/2 {
			t.Errorf("all are ready after %s, want half of the time of %d reads", took, perDomain)
		}
	})
}

// TestReplicaBehindForgottenDeletionsDropsTheRows has a source forget deletions that another replica
// hasn't seen.
func TestReplicaBehindForgottenDeletionsDropsTheRows(t *testing.T) {
	const count = 9000
	s, source, behind := newStore(release(2)), feed.NewMirror(), feed.NewMirror()
	for i := range count {
		s.write(upstreamRow(fmt.Sprint("u", i), firstStart, false))
	}
	s.read(t, source)
	synctest.Test(t, func(t *testing.T) {
		relay(t, source, behind)
		for i := range count {
			s.write(state.Row{Key: upstreamRow(fmt.Sprint("u", i), firstStart, false).Key})
			if i%1000 == 0 {
				s.read(t, source)
			}
		}
		s.read(t, source)
		relay(t, source, behind)
		if n := len(behind.Snapshot().Upstreams("p")); n != 0 {
			t.Errorf("%d of %d upstreams that were removed are still used", n, count)
		}
	})
}

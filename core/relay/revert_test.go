package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
)

// countAuditEntries counts the audit entries for an event of a table in all processes.
func (w *world) countAuditEntries(event audit.Event, table tables.Kind) int {
	n := 0
	for _, m := range w.order {
		for _, e := range m.trail.After(0) {
			if e.Event == event && e.Subject == string(table) {
				n++
			}
		}
	}
	return n
}

func TestStartWhileTheServiceIsStale(t *testing.T) {
	restarts := map[string]func(h hosts.Host) bool{
		"entry":  func(h hosts.Host) bool { return h.Name == "entry-0004" },
		"agent":  func(h hosts.Host) bool { return h.Name == "agent-00001" },
		"region": func(h hosts.Host) bool { return h.Place.Region == "region-1" },
	}
	for name, restarted := range restarts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := fleetOf(3, 3, 9, 6)
				w := newSettledWorld(t, trial.NewScript(nil), list)
				defer w.stop()
				w.sync()
				w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
				w.waitFor(activationLimit, hasRevision(tables.KindPools, 2))
				w.sync()
				w.platform.set(func() {
					w.platform.older = map[tables.Kind]tables.Value{tables.KindPools: {Revision: 1, Data: poolsOf(t, list, 1, "one")}}
				})
				for _, m := range append([]*process(nil), w.order...) {
					if restarted(m.host) {
						w.kill(m)
						w.start(m.host)
					}
				}
				w.waitFor(20*time.Second, func(m *process) bool {
					if m.node.IsCurrent() && m.active.Revision(tables.KindPools) != 2 {
						t.Errorf("%s is current with revision %d", m.host.Name, m.active.Revision(tables.KindPools))
					}
					return m.node.IsCurrent()
				})
			})
		})
	}
}

// If no process holds the newest revision any more and the service returns an older
// one, the older one becomes active: no reader can detect this case. The wait for
// other processes must end.
func TestAllReplicasLostWhileTheServiceIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 6, 0)
		w := newWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		w.sync()
		w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "one"))
		w.startAll()
		w.waitFor(20*time.Second, func(m *process) bool { return m.node.IsCurrent() && m.active.Revision(tables.KindPools) == 1 })
	})
}

func TestResumedProcessCatchesUpFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, &tables.Active{}, roster.New(), now)
	step := func(d time.Duration) time.Time {
		now = now.Add(d)
		return now
	}
	for range 30 {
		s.Tick(step(250 * time.Millisecond))
	}
	if !s.IsCurrent(now) {
		t.Fatal("not current although no process has responded for the whole timeout")
	}
	sent := now
	step(10 * time.Second)
	if s.IsCurrent(now) {
		t.Error("current right after a pause")
	}
	if !s.Tick(now) {
		t.Error("the pause wasn't detected")
	}
	s.ApplyReply("b", &wire.SyncReply{}, sent, now)
	if s.IsCurrent(now) {
		t.Error("current by a reply to a request from before the pause")
	}
	s.ApplyReply("b", &wire.SyncReply{}, now, step(time.Millisecond))
	if !s.IsCurrent(now) {
		t.Error("not current after a reply")
	}
}

func TestPartitionHeals(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			list := fleetOf(3, 3, 9, 6)
			w := newSettledWorld(t, trial.NewScript(nil), list)
			defer w.stop()
			synctest.Wait()
			w.isPartitioned = func(a, b hosts.Host) bool {
				return a.Place.Region != b.Place.Region && (a.Place.Region == "region-0" || b.Place.Region == "region-0")
			}
			synctest.Wait()
			w.isPlatformCut = func(h hosts.Host) bool { return cutOff && h.Place.Region == "region-0" }
			w.sync()
			time.Sleep(30 * time.Second)
			w.sync()
			w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
			w.platform.publish(tables.KindRoutes, routesOf(t, "brief"))
			w.sync()
			w.platform.set(func() { w.platform.list[len(list)-1].State = hosts.StateLeaving })
			w.waitFor(activationLimit, func(m *process) bool {
				isolated := cutOff && m.host.Place.Region == "region-0"
				return isolated && m.node.IsCurrent() || !isolated && m.active.Revision(tables.KindPools) == 2
			})
			w.sync()
			time.Sleep(30 * time.Second)
			synctest.Wait()
			w.isPartitioned = func(hosts.Host, hosts.Host) bool { return false }
			w.waitFor(activationLimit, hasRevision(tables.KindPools, 2))
			w.waitFor(0, hasRevision(tables.KindRoutes, 2))
			w.waitFor(0, func(m *process) bool {
				h, _ := m.roster.Now().Find(list[len(list)-1].Name)
				return h.State == hosts.StateLeaving
			})
		})
	}
}

// A refused revision, and values of a faulty service, leave the active one in place,
// are recorded once and aren't read repeatedly.
func TestRefusedValuesKeepActiveRevision(t *testing.T) {
	list := fleetOf(3, 3, 6, 3)
	good := poolsOf(t, list, 1, "one")
	cases := map[string]tables.Value{
		"bad":   {Revision: 2, Data: []byte(`{"pools":[{"name":"x","kind":"odd","hosts":[]}]}`)},
		"half":  {Revision: 2, Data: good[:len(good)/2]},
		"older": {Revision: 0, Data: good},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSettledWorld(t, trial.NewScript(nil), list)
				defer w.stop()
				w.sync()
				w.platform.set(func() { w.platform.older = map[tables.Kind]tables.Value{tables.KindPools: v} })
				w.sync()
				time.Sleep(time.Minute)
				w.waitFor(0, hasRevision(tables.KindPools, 1))
				first, calls := w.countAuditEntries(audit.EventRefuse, tables.KindPools), w.platform.calls.Load()
				w.sync()
				time.Sleep(time.Minute)
				again := w.countAuditEntries(audit.EventRefuse, tables.KindPools) - first
				if first == 0 || first > 9 || again > 0 {
					t.Errorf("the refusal was recorded %d times in the first minute and %d times in the second", first, again)
				}
				// The list of hosts is read in 3 regions every 2 s.
				if read := w.platform.calls.Load() - calls; read > 100 {
					t.Errorf("%d values were read in a minute", read)
				}
				w.sync()
				w.platform.set(func() { w.platform.older = nil })
				w.platform.publish(tables.KindPools, []byte(`{}`))
				w.sync()
				w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
				w.waitFor(activationLimit, hasRevision(tables.KindPools, 3))
			})
		})
	}
}

func TestForkKeepsTheActiveRevision(t *testing.T) {
	active := &tables.Active{}
	now := time.Unix(1000, 0)
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, active, roster.New(), now)
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "one")}, now)
	for i := range 3 {
		events := s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "other")}, now)
		if want := 1 - min(i, 1); len(events) != want {
			t.Errorf("value %d gave %v", i, events)
		}
	}
	if _, ok := active.Snapshot().Routes.Rows["one"]; !ok {
		t.Error("the active contents were replaced under the same revision")
	}
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 6, Data: routesOf(t, "other")}, now)
	if _, ok := active.Snapshot().Routes.Rows["other"]; !ok {
		t.Error("the next revision isn't active")
	}
}

func TestPartOfAForkedPeerIsReplacedByTheNextRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	activeA, activeB := &tables.Active{}, &tables.Active{}
	a := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, activeA, roster.New(), now)
	b := relay.NewState(relay.Self{Host: "b", Role: hosts.RoleEntry}, activeB, roster.New(), now)
	a.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "one", "same")}, now)
	b.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "other", "same")}, now)
	a.ApplyValue(tables.KindRoutes, tables.Value{Revision: 6, Data: routesOf(t, "one", "same", "two")}, now)
	for range 2 {
		reply, _ := a.BuildReply(b.BuildRequest(0), now)
		b.ApplyReply("a", reply, now, now)
	}
	if rows := activeB.Snapshot().Routes.Rows; len(rows) != 3 || rows["two"].Name == "" || activeB.Revision(tables.KindRoutes) != 6 {
		t.Errorf("revision %d holds %v", activeB.Revision(tables.KindRoutes), rows)
	}
}

func TestRouteToAMissingPoolIsNotServed(t *testing.T) {
	active := &tables.Active{}
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, active, roster.New(), time.Unix(1000, 0))
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 1, Data: routesOf(t, "draft")}, time.Unix(1000, 0))
	if _, _, result := active.Snapshot().Join("draft"); result != tables.JoinNoPool {
		t.Errorf("the join gave %v", result)
	}
}

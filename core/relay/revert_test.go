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

// entriesFor counts the entries of the trails of all processes.
func (w *world) entriesFor(event audit.Event, table tables.Kind) int {
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
				w := settled(t, trial.NewScript(nil), list)
				defer w.stop()
				w.sync()
				w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
				w.within(forceLimit, holds(tables.KindPools, 2))
				w.sync()
				w.platform.set(func() {
					w.platform.older = map[tables.Kind]tables.Value{tables.KindPools: {Revision: 1, Data: poolsOf(t, list, 1, "one")}}
				})
				for _, m := range append([]*member(nil), w.order...) {
					if restarted(m.host) {
						w.kill(m)
						w.start(m.host)
					}
				}
				w.within(20*time.Second, func(m *member) bool {
					if m.node.IsCurrent() && m.force.Revision(tables.KindPools) != 2 {
						t.Errorf("%s decides by revision %d", m.host.Name, m.force.Revision(tables.KindPools))
					}
					return m.node.IsCurrent()
				})
			})
		})
	}
}

// Where nobody holds the newest revision any more and the service shows an older
// one, the older one comes into force: no reader can cover this case. The wait
// for other processes ends.
func TestAllHoldersLostWhileTheServiceIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 6, 0)
		w := newWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		w.sync()
		w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "one"))
		w.startAll()
		w.within(20*time.Second, func(m *member) bool { return m.node.IsCurrent() && m.force.Revision(tables.KindPools) == 1 })
	})
}

func TestWokenProcessCatchesUpFirst(t *testing.T) {
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
		t.Fatal("not fresh although nobody answers for long")
	}
	sent := now
	step(10 * time.Second)
	if s.IsCurrent(now) {
		t.Error("fresh right after a pause")
	}
	if !s.Tick(now) {
		t.Error("the pause wasn't seen")
	}
	s.ApplyReply("b", &wire.SyncReply{}, sent, now)
	if s.IsCurrent(now) {
		t.Error("fresh by an answer to a request from before the pause")
	}
	s.ApplyReply("b", &wire.SyncReply{}, now, step(time.Millisecond))
	if !s.IsCurrent(now) {
		t.Error("not fresh after an answer")
	}
}

func TestPartitionHeals(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			list := fleetOf(3, 3, 9, 6)
			w := settled(t, trial.NewScript(nil), list)
			defer w.stop()
			synctest.Wait()
			w.isCut = func(a, b hosts.Host) bool {
				return a.Place.Region != b.Place.Region && (a.Place.Region == "region-0" || b.Place.Region == "region-0")
			}
			synctest.Wait()
			w.isCutOff = func(h hosts.Host) bool { return cutOff && h.Place.Region == "region-0" }
			w.sync()
			time.Sleep(30 * time.Second)
			w.sync()
			w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
			w.platform.publish(tables.KindRoutes, routesOf(t, "brief"))
			w.sync()
			w.platform.set(func() { w.platform.list[len(list)-1].State = hosts.StateLeaving })
			w.within(forceLimit, func(m *member) bool {
				apart := cutOff && m.host.Place.Region == "region-0"
				return apart && m.node.IsCurrent() || !apart && m.force.Revision(tables.KindPools) == 2
			})
			w.sync()
			time.Sleep(30 * time.Second)
			synctest.Wait()
			w.isCut = func(hosts.Host, hosts.Host) bool { return false }
			w.within(forceLimit, holds(tables.KindPools, 2))
			w.within(0, holds(tables.KindRoutes, 2))
			w.within(0, func(m *member) bool {
				h, _ := m.roster.Now().Find(list[len(list)-1].Name)
				return h.State == hosts.StateLeaving
			})
		})
	}
}

// A refused revision, and values that a faulty service shows, leave the one in
// force, are recorded once and aren't read again and again.
func TestRefusedValues(t *testing.T) {
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
				w := settled(t, trial.NewScript(nil), list)
				defer w.stop()
				w.sync()
				w.platform.set(func() { w.platform.older = map[tables.Kind]tables.Value{tables.KindPools: v} })
				w.sync()
				time.Sleep(time.Minute)
				w.within(0, holds(tables.KindPools, 1))
				first, calls := w.entriesFor(audit.EventRefuse, tables.KindPools), w.platform.calls.Load()
				w.sync()
				time.Sleep(time.Minute)
				again := w.entriesFor(audit.EventRefuse, tables.KindPools) - first
				if first == 0 || first > 9 || again > 0 {
					t.Errorf("the refusal was recorded %d times, and %d times again", first, again)
				}
				// The list is read by 3 regions every 2 s.
				if read := w.platform.calls.Load() - calls; read > 100 {
					t.Errorf("%d values were read in a minute", read)
				}
				w.sync()
				w.platform.set(func() { w.platform.older = nil })
				w.platform.publish(tables.KindPools, []byte(`{}`))
				w.sync()
				w.platform.publish(tables.KindPools, poolsOf(t, list, 1, "two"))
				w.within(forceLimit, holds(tables.KindPools, 3))
			})
		})
	}
}

func TestForkKeepsTheRevisionInForce(t *testing.T) {
	force := &tables.Active{}
	now := time.Unix(1000, 0)
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, force, roster.New(), now)
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "one")}, now)
	for i := range 3 {
		events := s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "other")}, now)
		if want := 1 - min(i, 1); len(events) != want {
			t.Errorf("offer %d gave %v", i, events)
		}
	}
	if _, ok := force.Snapshot().Routes.Rows["one"]; !ok {
		t.Error("the contents in force were replaced under their revision")
	}
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 6, Data: routesOf(t, "other")}, now)
	if _, ok := force.Snapshot().Routes.Rows["other"]; !ok {
		t.Error("the next revision didn't come into force")
	}
}

func TestPartOfAForkedPeerIsReplacedByTheNextRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	near, far := &tables.Active{}, &tables.Active{}
	a := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, near, roster.New(), now)
	b := relay.NewState(relay.Self{Host: "b", Role: hosts.RoleEntry}, far, roster.New(), now)
	a.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "one", "same")}, now)
	b.ApplyValue(tables.KindRoutes, tables.Value{Revision: 5, Data: routesOf(t, "other", "same")}, now)
	a.ApplyValue(tables.KindRoutes, tables.Value{Revision: 6, Data: routesOf(t, "one", "same", "two")}, now)
	for range 2 {
		reply, _ := a.BuildReply(b.BuildRequest(0), now)
		b.ApplyReply("a", reply, now, now)
	}
	if rows := far.Snapshot().Routes.Rows; len(rows) != 3 || rows["two"].Name == "" || far.Revision(tables.KindRoutes) != 6 {
		t.Errorf("revision %d holds %v", far.Revision(tables.KindRoutes), rows)
	}
}

func TestRouteToAMissingPoolIsNotServed(t *testing.T) {
	force := &tables.Active{}
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, force, roster.New(), time.Unix(1000, 0))
	s.ApplyValue(tables.KindRoutes, tables.Value{Revision: 1, Data: routesOf(t, "draft")}, time.Unix(1000, 0))
	if _, _, result := force.Snapshot().Join("draft"); result != tables.JoinNoPool {
		t.Errorf("the join gave %v", result)
	}
}

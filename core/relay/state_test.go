package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
)

func TestChangeWithoutFaultsIsActiveWithinHalfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(1, 1, 40, 20)
		w := newSettledWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		for i := range 5 {
			w.sync()
			w.platform.publish(tables.KindPools, poolsOf(t, list, 3, fmt.Sprint(i)))
			w.waitFor(time.Second/2, hasRevision(tables.KindPools, tables.Revision(i+2)))
			w.sync()
			time.Sleep(time.Second)
		}
	})
}

func TestFeedIsReplaced(t *testing.T) {
	for _, responds := range []bool{true, false} {
		t.Run(fmt.Sprintf("responds-%t", responds), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := fleetOf(3, 3, 9, 6)
				w := newSettledWorld(t, trial.NewScript(nil), list)
				defer w.stop()
				agent := list[9]
				feeds, _ := relay.NewTopology(relay.Self{Host: agent.Name, Place: agent.Place, Role: agent.Role}, hosts.NewList(list)).Feeds()
				isolated := feeds[0].Name
				synctest.Wait()
				w.isPartitioned = func(a, b hosts.Host) bool {
					if !responds {
						return a.Name == agent.Name && (b.Name == isolated || b.Name == feeds[1].Name)
					}
					return (a.Name == isolated || b.Name == isolated) && a.Name != agent.Name && b.Name != agent.Name
				}
				synctest.Wait()
				w.isPlatformCut = func(h hosts.Host) bool { return h.Name == isolated || h.Name == agent.Name }
				w.sync()
				time.Sleep(10 * time.Second)
				for i := range 4 {
					w.sync()
					w.platform.publish(tables.KindPools, poolsOf(t, list, 1, fmt.Sprint(i)))
					w.waitFor(activationLimit, func(m *process) bool {
						return m.host.Name == isolated || m.active.Revision(tables.KindPools) == tables.Revision(i+2)
					})
					w.sync()
					time.Sleep(3100 * time.Millisecond)
				}
			})
		})
	}
}

func TestStartingPeersDoNotConfirmState(t *testing.T) {
	now := time.Unix(1000, 0)
	s := relay.NewState(relay.Self{Host: "entry-0000", Role: hosts.RoleEntry}, &tables.Active{}, roster.New(), now)
	s.MergeHosts(fleetOf(3, 3, 6, 0), now)
	for i, c := range []struct{ starting, current bool }{{true, false}, {true, false}, {false, false}, {false, true}} {
		s.ApplyReply(hosts.Name(fmt.Sprintf("entry-%04d", i+1)), &wire.SyncReply{Starting: c.starting}, now, now)
		if s.IsCurrent(now) != c.current {
			t.Errorf("after reply %d current is %t", i, s.IsCurrent(now))
		}
	}
}

// A read that lags can't revert what another one has shown.
func TestLaggingReadDoesNotRevertHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New()
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, &tables.Active{}, r, now)
	list := fleetOf(1, 1, 2, 1)
	with := func(state hosts.State) []hosts.Host {
		all := append([]hosts.Host(nil), list...)
		all[2].State = state
		return all
	}
	steps := []struct {
		after time.Duration
		read  hosts.State
		want  hosts.State
	}{
		{0, hosts.StateLive, hosts.StateLive},
		{time.Second, hosts.StateLeaving, hosts.StateLeaving},
		{time.Second, hosts.StateLive, hosts.StateLeaving},
		{10 * time.Second, hosts.StateLive, hosts.StateLive},
		{time.Second, hosts.StateLeaving, hosts.StateLive},
		{10 * time.Second, hosts.StateLeaving, hosts.StateLeaving},
	}
	for i, c := range steps {
		now = now.Add(c.after)
		s.MergeHosts(with(c.read), now)
		if h, _ := r.Now().Find(list[2].Name); h.State != c.want {
			t.Errorf("step %d: the host is %s, want %s", i, h.State, c.want)
		}
	}
}

// editor changes a pools table at random.
type editor struct {
	random *rand.Rand
	pools  map[string]tables.Pool
}

func (e *editor) edit(t *testing.T) []byte {
	t.Helper()
	for range 1 + e.random.IntN(3) {
		name := fmt.Sprint("pool-", e.random.IntN(12))
		if e.random.IntN(4) == 0 {
			delete(e.pools, name)
			continue
		}
		p, ok := e.pools[name]
		if !ok || e.random.IntN(2) == 0 {
			p = tables.Pool{Name: name, Kind: tables.PoolModel, Model: "m", Manifest: chunks.Sum([]byte(name)), Favor: tables.FavorTime, Hosts: p.Hosts}
			p.Version = fmt.Sprint(e.random.IntN(1000))
		}
		p.Hosts = nil
		for h := range 9 {
			if e.random.IntN(3) > 0 {
				p.Hosts = append(p.Hosts, hosts.Name(fmt.Sprint("host-", h)))
			}
		}
		e.pools[name] = p
	}
	var rows []tables.Pool
	for _, p := range e.pools {
		rows = append(rows, p)
	}
	data, err := tables.EncodePools(rows)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Entries and agents that poll rarely hold, after two requests, exactly what the
// polled process holds, however many revisions they were behind.
func TestLaggingProcessesCatchUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		e := &editor{random: rand.New(rand.NewPCG(6, seed)), pools: map[string]tables.Pool{}}
		now := time.Unix(1000, 0)
		source := &tables.Active{}
		s := relay.NewState(relay.Self{Host: "source", Role: hosts.RoleEntry}, source, roster.New(), now)
		pullers := map[hosts.Name]*relay.State{}
		held := map[hosts.Name]*tables.Active{}
		for i, role := range []hosts.Role{hosts.RoleEntry, hosts.RoleEntry, hosts.RoleAgent, hosts.RoleAgent, hosts.RoleAgent} {
			name := hosts.Name(fmt.Sprint("host-", i))
			held[name] = &tables.Active{}
			pullers[name] = relay.NewState(relay.Self{Host: name, Role: role}, held[name], roster.New(), now)
		}
		for revision := range 400 {
			s.ApplyValue(tables.KindPools, tables.Value{Revision: tables.Revision(revision + 1), Data: e.edit(t)}, now)
			for name, p := range pullers {
				lag := []int{1, 5, 40, 90}[int(hosts.Score("lag", name)%4)]
				if e.random.IntN(lag) > 0 && revision < 399 {
					continue
				}
				for range 2 {
					reply, _ := s.BuildReply(p.BuildRequest(0), now)
					if events := p.ApplyReply("source", reply, now, now); len(events) > 0 && events[0].Event != "revision-accepted" {
						t.Errorf("seed %d revision %d: %v", seed, revision+1, events)
					}
				}
				want := map[string]tables.Pool{}
				for n, row := range source.Snapshot().Pools.Rows {
					if name < "host-2" || row.Has(name) {
						want[n] = row
					}
				}
				if d := cmp.Diff(want, held[name].Snapshot().Pools.Rows); d != "" || held[name].Revision(tables.KindPools) != tables.Revision(revision+1) {
					t.Fatalf("seed %d: %s at revision %d: %s", seed, name, held[name].Revision(tables.KindPools), d)
				}
			}
		}
	}
}

func TestFirstListGivesOneEvent(t *testing.T) {
	s := relay.NewState(relay.Self{Host: "a", Role: hosts.RoleEntry}, &tables.Active{}, roster.New(), time.Unix(1000, 0))
	_, events := s.MergeHosts(fleetOf(1, 1, 20, 20), time.Unix(1000, 0))
	if len(events) != 1 {
		t.Errorf("a list of 40 hosts gave %d events", len(events))
	}
}

package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

// history holds what was published under each revision, and checks that no process
// shows anything else or goes back to an older revision.
type history struct {
	world  *world
	routes []map[string]tables.Route
	pools  []map[string]tables.Pool
	last   map[hosts.Name]*tables.Tables
}

func newHistory(w *world) *history {
	h := &history{
		world: w, routes: []map[string]tables.Route{nil}, pools: []map[string]tables.Pool{nil}, last: map[hosts.Name]*tables.Tables{},
	}
	h.record(tables.KindRoutes)
	h.record(tables.KindPools)
	return h
}

// record adds the newest value of a table.
func (h *history) record(kind tables.Kind) {
	h.world.platform.mutex.Lock()
	data := h.world.platform.values[kind].Data
	h.world.platform.mutex.Unlock()
	if kind == tables.KindRoutes {
		rows, _ := tables.DecodeRoutes(data)
		all := map[string]tables.Route{}
		for _, r := range rows {
			all[r.Name] = r
		}
		h.routes = append(h.routes, all)
		return
	}
	rows, _ := tables.DecodePools(data)
	all := map[string]tables.Pool{}
	for _, r := range rows {
		all[r.Name] = r
	}
	h.pools = append(h.pools, all)
}

// check compares what each process holds with what was published.
func (h *history) check() {
	for _, m := range h.world.order {
		snapshot := m.active.Snapshot()
		if was := h.last[m.host.Name]; was != nil && (snapshot.Routes.Revision < was.Routes.Revision || snapshot.Pools.Revision < was.Pools.Revision) {
			h.world.t.Errorf("%s went back from revisions %d, %d to %d, %d", m.host.Name, was.Routes.Revision, was.Pools.Revision, snapshot.Routes.Revision, snapshot.Pools.Revision)
		}
		if h.last[m.host.Name] == snapshot {
			continue
		}
		h.last[m.host.Name] = snapshot
		h.compare(m, snapshot)
	}
}

func (h *history) compare(m *process, snapshot *tables.Tables) {
	pools := h.pools[snapshot.Pools.Revision]
	if m.host.Role == hosts.RoleAgent {
		own := map[string]tables.Pool{}
		for n, p := range pools {
			if p.Has(m.host.Name) {
				own[n] = p
			}
		}
		pools = own
	} else if d := cmp.Diff(h.routes[snapshot.Routes.Revision], snapshot.Routes.Rows); d != "" {
		h.world.t.Errorf("%s holds other routes under revision %d: %s", m.host.Name, snapshot.Routes.Revision, d)
	}
	if d := cmp.Diff(pools, snapshot.Pools.Rows); d != "" {
		h.world.t.Errorf("%s holds other pools under revision %d: %s", m.host.Name, snapshot.Pools.Revision, d)
	}
	for name, r := range snapshot.Routes.Rows {
		_, p, result := snapshot.Join(name)
		if _, ok := pools[r.Pool]; (result == tables.JoinFound) != ok || ok && p.Name != r.Pool {
			h.world.t.Errorf("%s joins route %s with %q, result %v", m.host.Name, name, p.Name, result)
		}
	}
}

// Two operators edit both tables at the same time: routes name pools that are added or
// removed by the next revision, and at times the service returns an older state of a
// table. Every process must show only complete published revisions and never go back.
func TestTwoOperatorsEditAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(6, seed))
			list := fleetOf(3, 3, 9, 6)
			w := newSettledWorld(t, trial.NewScript(nil), list)
			defer w.stop()
			h := newHistory(w)
			for i := range 40 {
				w.sync()
				kinds := [][]tables.Kind{{tables.KindRoutes}, {tables.KindPools}, {tables.KindRoutes, tables.KindPools}, {tables.KindPools, tables.KindRoutes}}
				for _, kind := range kinds[random.IntN(len(kinds))] {
					w.edit(kind, i, random)
					h.record(kind)
				}
				if random.IntN(4) == 0 {
					w.showOlder(random)
				}
				for range 1 + random.IntN(40) {
					w.sync()
					time.Sleep(50 * time.Millisecond)
					h.check()
				}
				w.sync()
				w.platform.set(func() { w.platform.older = map[tables.Kind]tables.Value{} })
			}
			w.waitFor(activationLimit, hasRevision(tables.KindRoutes, tables.Revision(len(h.routes)-1)))
			w.waitFor(activationLimit, hasRevision(tables.KindPools, tables.Revision(len(h.pools)-1)))
			h.check()
		})
	}
}

// edit publishes a table that differs from the last one in a few rows.
func (w *world) edit(kind tables.Kind, turn int, random *rand.Rand) {
	w.t.Helper()
	if kind == tables.KindPools {
		w.platform.publish(kind, poolsOf(w.t, w.platform.list, 1+random.IntN(5), fmt.Sprint("turn-", turn)))
		return
	}
	rows := make([]tables.Route, 3)
	for i := range rows {
		rows[i] = tables.Route{Name: fmt.Sprint("route-", i), Pool: fmt.Sprintf("pool-%04d", random.IntN(6)), Timeout: time.Second}
	}
	data, err := tables.EncodeRoutes(rows)
	if err != nil {
		w.t.Fatal(err)
	}
	w.platform.publish(kind, data)
}

// showOlder makes the service return its first state of one table.
func (w *world) showOlder(random *rand.Rand) {
	w.t.Helper()
	kind, first := tables.KindRoutes, routesOf(w.t, "draft")
	if random.IntN(2) == 0 {
		kind, first = tables.KindPools, poolsOf(w.t, w.platform.list, 3, "one")
	}
	w.platform.set(func() { w.platform.older = map[tables.Kind]tables.Value{kind: {Revision: 1, Data: first}} })
}

// If one revision has two contents, as after a replica of the service was restored,
// each process keeps the one that it received first, the audit trail records the fork,
// and the next revision replaces both.
func TestForkLastsUntilTheNextRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 3, 9, 6)
		w := newSettledWorld(t, trial.NewScript(nil), list)
		defer w.stop()
		other := poolsOf(t, list, 3, "other")
		synctest.Wait()
		w.transform = func(h hosts.Host, v tables.Value) tables.Value {
			if h.Place.Region == "region-1" && v.Revision == 2 {
				v.Data = other
			}
			return v
		}
		w.sync()
		w.platform.publish(tables.KindPools, poolsOf(t, list, 3, "two"))
		w.waitFor(activationLimit, hasRevision(tables.KindPools, 2))
		held := map[hosts.Name]string{}
		versions := map[string]bool{}
		for range 300 {
			w.sync()
			time.Sleep(100 * time.Millisecond)
			for _, m := range w.order {
				version := m.active.Snapshot().Pools.Rows["pool-0000"].Version
				if was, ok := held[m.host.Name]; ok && was != version {
					t.Errorf("%s went from version %q to %q under one revision", m.host.Name, was, version)
				}
				held[m.host.Name] = version
				versions[version] = true
			}
		}
		if !versions["two"] || !versions["other"] {
			t.Errorf("the revision doesn't have two contents: %v", versions)
		}
		if w.countAuditEntries(audit.EventRefuse, tables.KindPools) == 0 {
			t.Error("no audit trail records the two contents")
		}
		w.sync()
		w.platform.publish(tables.KindPools, poolsOf(t, list, 3, "three"))
		w.waitFor(activationLimit, func(m *process) bool {
			p, ok := m.active.Snapshot().Pools.Rows["pool-0000"]
			return hasRevision(tables.KindPools, 3)(m) && (!ok && m.host.Role == hosts.RoleAgent || p.Version == "three")
		})
	})
}

package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/picker"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
)

const (
	manifest      = "8c1f0ce2a1c0aa2ff62d0c4ea6a7e2c2a4c3f8ad2d4f0f8e0a7b6c5d4e3f2a1b"
	otherManifest = "1c1f0ce2a1c0aa2ff62d0c4ea6a7e2c2a4c3f8ad2d4f0f8e0a7b6c5d4e3f2a1b"
)

// agent is the fake agent of one upstream.
type agent struct {
	wire.UnimplementedGateHandler
	mutex   sync.Mutex
	reply   wire.LoadReply
	queries int
}

func (a *agent) Load(context.Context, *connect.Request[wire.LoadRequest]) (*connect.Response[wire.LoadReply], error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queries++
	return connect.NewResponse(&wire.LoadReply{
		Model: a.reply.Model, Version: a.reply.Version, Manifest: a.reply.Manifest, Running: a.reply.Running,
		Leaving: a.reply.Leaving, Serial: a.reply.Serial, Events: a.reply.Events,
	}), nil
}

func (a *agent) set(change func(*wire.LoadReply)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change(&a.reply)
}

type roster struct {
	mutex sync.Mutex
	all   []hosts.Host
}

func (r *roster) Now() hosts.List {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return hosts.NewList(r.all)
}

func (r *roster) set(change func(all []hosts.Host) []hosts.Host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = change(append([]hosts.Host(nil), r.all...))
}

// world holds an entry and fake agents on a simulated network.
type world struct {
	network *memnet.Network
	up      *memnet.Link
	down    *memnet.Link
	self    hosts.Host
	roster  *roster
	agents  []*agent
	fleet   *fleet.Fleet
	pool    tables.Pool
}

func newWorld(t testing.TB, count int) *world { return newReadyWorld(t, count, 0) }

// newReadyWorld returns a world whose pool keeps a ratio of its hosts ready.
func newReadyWorld(t testing.TB, count int, ready float64) *world {
	w := &world{up: &memnet.Link{}, down: &memnet.Link{}, roster: &roster{}}
	w.self = hosts.Host{Name: "entry-1", Role: hosts.RoleEntry, State: hosts.StateLive, Place: hosts.Place{Region: "east", Domain: "east-1"}}
	from := netip.MustParseAddr("10.0.0.1")
	w.network = memnet.New(func(a, _ netip.Addr) memnet.Path {
		if a == from {
			return memnet.Path{Links: []*memnet.Link{w.up}}
		}
		return memnet.Path{Links: []*memnet.Link{w.down}}
	})
	names := ""
	for i := range count {
		h := hosts.Host{
			Name: hosts.Name(fmt.Sprintf("model-%d", i)), Role: hosts.RoleAgent, State: hosts.StateLive, Place: w.self.Place,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		}
		names += fmt.Sprintf(",%q", h.Name)
		w.roster.all = append(w.roster.all, h)
		w.serve(t, h.Address)
	}
	active := &tables.Active{}
	value := `{"pools":[{"name":"p","kind":"model","model":"m","version":"one","manifest":"` + manifest + `","ready":` + fmt.Sprint(ready) + `,"hosts":[` + names[1:] + `]}]}`
	if _, err := active.Apply(tables.KindPools, tables.Value{Revision: 1, Data: []byte(value)}); err != nil {
		t.Fatal(err)
	}
	w.pool = active.Snapshot().Pools.Rows["p"]
	client, closeIdle := links.NewPersistentClient(w.network.Dialer(from))
	f, stop := fleet.New(w.self, active, w.roster, client, zap.NewNop())
	w.fleet = f
	t.Cleanup(func() {
		stop()
		// A dial in progress still ends in an idle connection.
		time.Sleep(time.Second)
		closeIdle()
	})
	return w
}

func (w *world) serve(t testing.TB, at netip.AddrPort) {
	a := &agent{}
	a.reply = wire.LoadReply{Model: "m", Version: "one", Manifest: manifest}
	w.agents = append(w.agents, a)
	l, err := w.network.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	path, handler := wire.NewGateHandler(a, wire.WithoutCompression())
	mux.Handle(path, links.WithoutDate(handler))
	t.Cleanup(links.Serve(l, mux, zap.NewNop(), time.Second))
}

// chosenCounts returns the number of requests for which each upstream is chosen.
func (w *world) chosenCounts() map[hosts.Name]int {
	counts := make(map[hosts.Name]int)
	for i := range 200 {
		if t, ok := w.fleet.Choose(w.pool, fmt.Append(nil, i), nil); ok {
			counts[t.Host.Name]++
		}
	}
	return counts
}

// The steps at which an upstream fails.
const (
	stepQuery   trial.Step = "ask"
	stepRequest trial.Step = "request"
)

// TestLostUpstreamIsNotChosen checks that an upstream isn't chosen 3 s after it was
// lost, or at once if a request reported the loss, and is chosen again once it
// responds.
func TestLostUpstreamIsNotChosen(t *testing.T) {
	faults := []trial.Fault{trial.Silence, trial.Refuse, trial.Kill, trial.Pause}
	trial.Run(t, trial.Singles([]trial.Step{stepQuery, stepRequest}, faults), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, 3)
		time.Sleep(2 * time.Second)
		if len(w.chosenCounts()) != 3 {
			t.Fatalf("chosen at the start: %v", w.chosenCounts())
		}
		lost := w.roster.all[0]
		at := stepQuery
		fault := s.NextFault(at)
		if fault == trial.None {
			at = stepRequest
			fault = s.NextFault(at)
		}
		switch fault {
		case trial.Silence, trial.Pause:
			w.network.Silence(netip.MustParseAddr("10.0.0.1"), lost.Address.Addr())
		case trial.Refuse:
			w.network.Refuse(netip.MustParseAddr("10.0.0.1"), lost.Address.Addr())
			w.network.Cut(netip.MustParseAddr("10.0.0.1"), lost.Address.Addr())
		case trial.Kill:
			w.network.Kill(lost.Address.Addr())
		}
		if at == stepRequest {
			w.fleet.Report(lost.Name, fleet.Report{Running: -1, Lost: true})
		} else {
			time.Sleep(3 * time.Second)
		}
		if n := w.chosenCounts()[lost.Name]; n > 0 {
			t.Errorf("%d requests go to a lost upstream", n)
		}
		if fault == trial.Kill {
			return
		}
		w.network.Heal(netip.MustParseAddr("10.0.0.1"), lost.Address.Addr())
		time.Sleep(5 * time.Second)
		if w.chosenCounts()[lost.Name] == 0 {
			t.Error("an upstream that responds again isn't chosen")
		}
	})
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name   string
		change func(w *world)
		// want is true if the first upstream is chosen afterwards.
		want bool
	}{
		{"unchanged", func(*world) {}, true},
		{"other version", func(w *world) {
			w.agents[0].set(func(r *wire.LoadReply) { r.Version, r.Manifest = "two", otherManifest })
		}, false},
		{"agent is draining", func(w *world) { w.agents[0].set(func(r *wire.LoadReply) { r.Leaving = true }) }, false},
		{"list has the host as leaving", func(w *world) {
			w.roster.set(func(all []hosts.Host) []hosts.Host {
				all[0].State = hosts.StateLeaving
				return all
			})
		}, false},
		{"missing from the list, responding", func(w *world) {
			w.roster.set(func(all []hosts.Host) []hosts.Host { return all[1:] })
		}, true},
		{"missing from the list, dead", func(w *world) {
			w.roster.set(func(all []hosts.Host) []hosts.Host { return all[1:] })
			w.network.Kill(netip.MustParseAddr("10.1.0.0"))
		}, false},
		{"refused for its version", func(w *world) {
			w.agents[0].set(func(r *wire.LoadReply) { r.Manifest = "" })
			w.fleet.Report("model-0", fleet.Report{Running: -1, Stale: true})
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				time.Sleep(2 * time.Second)
				c.change(w)
				time.Sleep(3 * time.Second)
				if got := w.chosenCounts()["model-0"] > 0; got != c.want {
					t.Errorf("chosen %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestEarlierVersion checks a pool that keeps half of four hosts ready: hosts with the
// earlier version are chosen until half of the hosts serve the version of the row.
func TestEarlierVersion(t *testing.T) {
	earlier := func(r *wire.LoadReply) { r.Version, r.Manifest = "zero", otherManifest }
	leaving := func(r *wire.LoadReply) { r.Leaving = true }
	cases := []struct {
		name    string
		changes []func(*wire.LoadReply)
		// want lists the chosen hosts by number.
		want string
	}{
		{"none has the version", []func(*wire.LoadReply){earlier, earlier, earlier, earlier}, "0123"},
		{"less than the ratio", []func(*wire.LoadReply){earlier, earlier, earlier}, "0123"},
		{"exactly the ratio", []func(*wire.LoadReply){earlier, earlier}, "23"},
		{"more than the ratio", []func(*wire.LoadReply){earlier}, "123"},
		{"one with the version is draining", []func(*wire.LoadReply){earlier, earlier, leaving}, "013"},
		{"one with the earlier version is draining", []func(*wire.LoadReply){
			earlier, func(r *wire.LoadReply) {
				earlier(r)
				leaving(r)
			}, earlier,
		}, "023"},
		{"another model", []func(*wire.LoadReply){earlier, func(r *wire.LoadReply) { r.Model, r.Manifest = "n", otherManifest }, earlier}, "023"},
		{"nothing loaded", []func(*wire.LoadReply){earlier, func(r *wire.LoadReply) { r.Manifest = "" }, earlier}, "023"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newReadyWorld(t, 4, 0.5)
				for i, change := range c.changes {
					w.agents[i].set(change)
				}
				time.Sleep(3 * time.Second)
				chosen := w.chosenCounts()
				got := ""
				for i := range 4 {
					if chosen[hosts.Name(fmt.Sprintf("model-%d", i))] > 0 {
						got += fmt.Sprint(i)
					}
				}
				if got != c.want {
					t.Errorf("chosen %s, want %s", got, c.want)
				}
			})
		})
	}
}

// TestCacheEventsRedirectRequests checks that requests follow a prefix to the upstream
// that has cached it.
func TestCacheEventsRedirectRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		body := []byte("the prefix")
		time.Sleep(2 * time.Second)
		first, _ := w.fleet.Choose(w.pool, body, nil)
		holder := 0
		if first.Host.Name == "model-0" {
			holder = 1
		}
		w.agents[holder].set(func(r *wire.LoadReply) {
			r.Serial, r.Events = 1, []*wire.CacheEvent{{Prefix: picker.PrefixOf(body)}}
		})
		time.Sleep(3 * time.Second)
		if then, _ := w.fleet.Choose(w.pool, body, nil); then.Host.Name != w.roster.all[holder].Name {
			t.Errorf("%s is chosen, not the holder of the prefix", then.Host.Name)
		}
	})
}

// maxQueryBytes limits the traffic of an idle entry for queries, in bytes per second.
const maxQueryBytes = 5 << 10

func TestIdleQueriesStayInBudget(t *testing.T) {
	for _, outdated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, picker.SubsetSize)
			if outdated {
				w.serveEarlierVersion()
			}
			rate := w.queryByteRate()
			t.Logf("upstreams=%d outdated=%t bytes=%.0f/s", picker.SubsetSize, outdated, rate)
			if rate > maxQueryBytes {
				t.Errorf("queries use %.0f B/s, outdated %t", rate, outdated)
			}
		})
	}
}

// serveEarlierVersion makes all upstreams serve an earlier version than the row.
func (w *world) serveEarlierVersion() {
	for _, a := range w.agents {
		a.set(func(r *wire.LoadReply) { r.Version, r.Manifest = "zero", otherManifest })
	}
}

// TestLoadedVersionIsDetected checks that an idle upstream is chosen after it has loaded
// the version of the row: within 3 s in a full subset, 2 s in a small one.
func TestLoadedVersionIsDetected(t *testing.T) {
	for count, limit := range map[int]time.Duration{6: 2 * time.Second, picker.SubsetSize: 3 * time.Second} {
		for i := range 8 {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, count)
				w.serveEarlierVersion()
				time.Sleep(20*time.Second + time.Duration(i)*370*time.Millisecond)
				n := i * 9 % count
				w.agents[n].set(func(r *wire.LoadReply) { r.Version, r.Manifest = "one", manifest })
				time.Sleep(limit)
				// A query may be due at this very instant.
				synctest.Wait()
				chosen := w.chosenCounts()
				if name := w.roster.all[n].Name; len(chosen) != 1 || chosen[name] == 0 {
					t.Errorf("%s of %d has loaded the version, %d upstreams are chosen", name, count, len(chosen))
				}
			})
		}
	}
}

// queryByteRate returns the traffic of an idle entry in both directions, in bytes per
// second.
func (w *world) queryByteRate() float64 {
	time.Sleep(20 * time.Second)
	before := w.up.Bytes() + w.down.Bytes()
	const span = time.Minute
	time.Sleep(span)
	return float64(w.up.Bytes()+w.down.Bytes()-before) / span.Seconds()
}

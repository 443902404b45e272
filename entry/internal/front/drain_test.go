package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/front"
	"currantport.example/entry/internal/lookup"
	"currantport.example/entry/internal/sender"
)

const (
	lifetime = 10 * time.Second
	within   = time.Minute
	// learnLimit is how long an entry that leaves may be named.
	learnLimit = 3 * time.Second
)

// The steps of a drain at which the connection between two entries fails.
const (
	stepBefore trial.Step = "before"
	stepBegun  trial.Step = "begun"
)

// slowSender answers after as long as the body says.
type slowSender struct{}

func (slowSender) Send(_ context.Context, r calls.Request, s sender.Sink) *calls.Refusal {
	d, _ := time.ParseDuration(string(r.Body))
	time.Sleep(d)
	_ = s.Head("one", http.StatusOK, "text/plain")
	_ = s.Data([]byte("whole"))
	return nil
}

func (slowSender) Refuse(_ context.Context, _ calls.Request, refusal *calls.Refusal) *calls.Refusal {
	return refusal
}

func (slowSender) Mint(context.Context, string) (calls.Key, *calls.Refusal) { return "key", nil }

type openQueues struct{}

func (openQueues) Enter(context.Context, calls.Request) (func(bool), *calls.Refusal) {
	return func(bool) {}, nil
}

// fixedRoster is a list that tests replace.
type fixedRoster struct{ list atomic.Pointer[hosts.List] }

func (r *fixedRoster) Now() hosts.List { return *r.list.Load() }

func (r *fixedRoster) set(all []hosts.Host) {
	l := hosts.NewList(all)
	r.list.Store(&l)
}

// cluster is three entries that share a network.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	// link passes all bytes.
	link   *memnet.Link
	list   *fixedRoster
	hosts  []hosts.Host
	fronts []*front.Front
	stops  []func()
	caller *http.Client
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, link: &memnet.Link{}, list: &fixedRoster{}}
	c.network = memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Links: []*memnet.Link{c.link}} })
	for i, name := range []hosts.Name{"entry-1", "entry-2", "entry-3"} {
		c.hosts = append(c.hosts, hosts.Host{
			Name: name, Role: hosts.RoleEntry, State: hosts.StateLive,
			Place:   hosts.Place{Region: "east", Domain: hosts.Domain(name)},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	c.list.set(c.hosts)
	for _, h := range c.hosts {
		c.start(h)
	}
	caller, stop := links.NewClient(c.network.Dialer(netip.MustParseAddr("10.0.0.9")))
	c.caller = caller
	t.Cleanup(func() {
		time.Sleep(time.Second)
		stop()
		for _, s := range c.stops {
			s()
		}
	})
	time.Sleep(2 * time.Second)
	return c
}

func (c *cluster) start(h hosts.Host) {
	client, closeIdle := links.NewPeerClient(c.network.Dialer(h.Address.Addr()))
	d, stopLookup := lookup.New(h, c.list, client, zap.NewNop())
	f := front.New(front.Options{
		Self: h, Sender: slowSender{}, Queues: openQueues{}, Lookup: d, Force: &tables.Active{},
		Trail: audit.NewTrail(zap.NewNop()), Lifetime: lifetime, Within: within, Log: zap.NewNop(),
	})
	r := mux.NewRouter()
	f.Register(r)
	path, handler := wire.NewFrontHandler(f)
	r.PathPrefix(path).Handler(handler)
	l, err := c.network.Listen(h.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	stop := links.Serve(l, r, zap.NewNop(), time.Second)
	c.fronts = append(c.fronts, f)
	c.stops = append(c.stops, func() {
		stopLookup()
		// A dial that was under way still ends in an idle connection.
		time.Sleep(time.Second)
		closeIdle()
		stop()
	})
}

// named returns whom an entry names to callers.
func (c *cluster) named(at int) []string {
	a, err := c.caller.Get("http://" + c.hosts[at].Address.String() + "/v1/addresses")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	var d struct{ Addresses []string }
	if err := json.NewDecoder(a.Body).Decode(&d); err != nil {
		c.t.Fatal(err)
	}
	return d.Addresses
}

// send returns the answer of an entry to a request that takes a time.
func (c *cluster) send(at int, takes time.Duration) string {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.hosts[at].Address.String()+"/v1/routes/draft", strings.NewReader(takes.String()))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set(calls.HeaderWorkspace, "meadow")
	r.Header.Set(calls.HeaderTimeout, "50s")
	a, err := c.caller.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// longCaller sends one long request.
type longCaller struct {
	cluster *cluster
	answer  chan string
}

func (l *longCaller) run() { l.answer <- l.cluster.send(0, 30*time.Second) }

func (c *cluster) strike(s *trial.Script, step trial.Step) {
	a, b := c.hosts[0].Address.Addr(), c.hosts[1].Address.Addr()
	switch s.Reach(step) {
	case trial.Silence:
		c.network.Forget(a, b)
	case trial.Cut:
		c.network.Cut(a, b)
	case trial.Refuse:
		c.network.Cut(a, b)
		c.network.Refuse(a, b)
	case trial.Pause:
		c.network.Silence(a, b)
	}
}

// TestDrainCutsNothing holds whatever happens between two entries: an entry that
// leaves isn't named by any once they can know, goes on accepting for the
// lifetime of its addresses and finishes what runs.
func TestDrainCutsNothing(t *testing.T) {
	faults := []trial.Fault{trial.Silence, trial.Cut, trial.Refuse, trial.Pause}
	cases := append([]trial.Case{{}}, trial.Singles([]trial.Step{stepBefore, stepBegun}, faults)...)
	cases = append(cases, trial.Pairs([]trial.Step{stepBefore, stepBegun}, faults)...)
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		c := newCluster(t)
		own := c.hosts[0].Address.String()
		if !slices.Contains(c.named(1), own) || !slices.Contains(c.named(0), own) {
			t.Fatal("a live entry isn't named")
		}
		long := &longCaller{cluster: c, answer: make(chan string, 1)}
		go long.run()
		time.Sleep(time.Second)
		c.strike(s, stepBefore)
		c.fronts[0].Drain("test")
		began := time.Now()
		c.strike(s, stepBegun)
		if slices.Contains(c.named(0), own) {
			t.Error("an entry that leaves names itself")
		}
		time.Sleep(learnLimit)
		for at := range c.hosts {
			if slices.Contains(c.named(at), own) {
				t.Errorf("entry %d names an entry that leaves", at+1)
			}
		}
		time.Sleep(lifetime - 100*time.Millisecond)
		if got := c.send(0, 0); got != "whole" {
			t.Errorf("within the lifetime of the addresses: %s", got)
		}
		c.fronts[0].Wait(t.Context())
		if took := time.Since(began); took < 28*time.Second || took > 31*time.Second {
			t.Errorf("the drain took %s", took)
		}
		if got := <-long.answer; got != "whole" {
			t.Errorf("the request in progress got %s", got)
		}
		if got := c.send(0, 0); !strings.Contains(got, "leaving") {
			t.Errorf("after the drain: %s", got)
		}
	})
}

// TestListLags holds for an entry that the list lacks while it answers, and for
// one that the list names as leaving.
func TestListLags(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		c := newCluster(t)
		own := c.hosts[0].Address.String()
		c.list.set(c.hosts[1:])
		time.Sleep(5 * time.Second)
		if !slices.Contains(c.named(1), own) {
			t.Error("an entry that the list lacks isn't named while it answers")
		}
		c.network.Kill(c.hosts[0].Address.Addr())
		time.Sleep(learnLimit)
		if slices.Contains(c.named(1), own) {
			t.Error("a dead entry is named")
		}
		c.fronts[2].Listed(true)
		time.Sleep(learnLimit)
		if slices.Contains(c.named(1), c.hosts[2].Address.String()) {
			t.Error("an entry that the list names as leaving is named")
		}
	})
}

// neighbourBudget is what an idle entry may spend on its neighbours, in bytes a
// second: a fifth of the control budget of a node.
const neighbourBudget = 1 << 10

// TestNeighboursStayInBudget counts what three entries with two neighbours each send.
func TestNeighboursStayInBudget(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		c := newCluster(t)
		time.Sleep(10 * time.Second)
		before := c.link.Bytes()
		time.Sleep(time.Minute)
		// Each call is seen once and belongs to the two entries at its ends.
		rate := float64(c.link.Bytes()-before) / 60 / 3 * 2
		t.Logf("neighbours=2 bytes=%.0f/s", rate)
		if rate > neighbourBudget {
			t.Errorf("the neighbours take %.0f B/s", rate)
		}
	})
}

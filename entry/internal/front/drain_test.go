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

	"connectrpc.com/connect"
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
	addressTTL   = 10 * time.Second
	drainTimeout = time.Minute
	// propagationLimit is how long a leaving entry may still be named by others.
	propagationLimit = 3 * time.Second
)

// The steps of a drain at which the connection between two entries fails.
const (
	stepBefore trial.Step = "before"
	stepBegun  trial.Step = "begun"
)

// slowSender responds after the duration in the body of the request.
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

func (openQueues) Acquire(context.Context, calls.Request) (func(bool), *calls.Refusal) {
	return func(bool) {}, nil
}

// fakeRoster holds a list of hosts that tests replace.
type fakeRoster struct{ hosts atomic.Pointer[hosts.List] }

func (r *fakeRoster) Now() hosts.List { return *r.hosts.Load() }

func (r *fakeRoster) set(all []hosts.Host) {
	l := hosts.NewList(all)
	r.hosts.Store(&l)
}

// cluster is three entries and a client on a simulated network.
type cluster struct {
	t       *testing.T
	network *memnet.Network
	// link carries all traffic.
	link   *memnet.Link
	roster *fakeRoster
	hosts  []hosts.Host
	fronts []*front.Front
	stops  []func()
	client *http.Client
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, link: &memnet.Link{}, roster: &fakeRoster{}}
	c.network = memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Links: []*memnet.Link{c.link}} })
	for i, name := range []hosts.Name{"entry-1", "entry-2", "entry-3"} {
		c.hosts = append(c.hosts, hosts.Host{
			Name: name, Role: hosts.RoleEntry, State: hosts.StateLive,
			Place:   hosts.Place{Region: "east", Domain: hosts.Domain(name)},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	c.roster.set(c.hosts)
	for _, h := range c.hosts {
		c.start(h)
	}
	client, stop := links.NewClient(c.network.Dialer(netip.MustParseAddr("10.0.0.9")))
	c.client = client
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
	k, stopLookup := lookup.New(h, c.roster, client, zap.NewNop())
	f := front.New(front.Options{
		Self: h, Sender: slowSender{}, Queues: openQueues{}, Lookup: k, Tables: &tables.Active{},
		Trail: audit.NewTrail(zap.NewNop()), AddressTTL: addressTTL, DrainTimeout: drainTimeout, Log: zap.NewNop(),
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
		// A dial in progress still ends as an idle connection.
		time.Sleep(time.Second)
		closeIdle()
		stop()
	})
}

// addressesOf returns the addresses that an entry names to clients.
func (c *cluster) addressesOf(at int) []string {
	a, err := c.client.Get("http://" + c.hosts[at].Address.String() + "/v1/addresses")
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

// send sends a request that takes the given time and returns the body of the response, or the
// text of the error.
func (c *cluster) send(at int, takes time.Duration) string {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+c.hosts[at].Address.String()+"/v1/routes/draft", strings.NewReader(takes.String()))
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set(calls.HeaderWorkspace, "meadow")
	r.Header.Set(calls.HeaderTimeout, "50s")
	a, err := c.client.Do(r)
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

// longRequest sends one request that takes 30 seconds.
type longRequest struct {
	cluster  *cluster
	response chan string
}

func (l *longRequest) run() { l.response <- l.cluster.send(0, 30*time.Second) }

func (c *cluster) inject(s *trial.Script, step trial.Step) {
	a, b := c.hosts[0].Address.Addr(), c.hosts[1].Address.Addr()
	switch s.NextFault(step) {
	case trial.Silence:
		c.network.SilenceOpen(a, b)
	case trial.Cut:
		c.network.Cut(a, b)
	case trial.Refuse:
		c.network.Cut(a, b)
		c.network.Refuse(a, b)
	case trial.Pause:
		c.network.Silence(a, b)
	}
}

// TestDrainingEntryAbortsNoRequest checks, with faults injected between two entries, that a
// draining entry is no longer named by any entry after propagationLimit, accepts requests until
// its addresses have expired, and finishes those in progress.
func TestDrainingEntryAbortsNoRequest(t *testing.T) {
	faults := []trial.Fault{trial.Silence, trial.Cut, trial.Refuse, trial.Pause}
	cases := append([]trial.Case{{}}, trial.Singles([]trial.Step{stepBefore, stepBegun}, faults)...)
	cases = append(cases, trial.Pairs([]trial.Step{stepBefore, stepBegun}, faults)...)
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		c := newCluster(t)
		self := c.hosts[0].Address.String()
		if !slices.Contains(c.addressesOf(1), self) || !slices.Contains(c.addressesOf(0), self) {
			t.Fatal("a live entry isn't named")
		}
		long := &longRequest{cluster: c, response: make(chan string, 1)}
		go long.run()
		time.Sleep(time.Second)
		c.inject(s, stepBefore)
		c.fronts[0].Drain("test")
		started := time.Now()
		c.inject(s, stepBegun)
		if slices.Contains(c.addressesOf(0), self) {
			t.Error("a leaving entry names itself")
		}
		time.Sleep(propagationLimit)
		for at := range c.hosts {
			if slices.Contains(c.addressesOf(at), self) {
				t.Errorf("entry %d names a leaving entry", at+1)
			}
		}
		time.Sleep(addressTTL - 100*time.Millisecond)
		if got := c.send(0, 0); got != "whole" {
			t.Errorf("before the addresses have expired: %s", got)
		}
		c.fronts[0].WaitDrained(t.Context())
		if took := time.Since(started); took < 28*time.Second || took > 31*time.Second {
			t.Errorf("the drain took %s", took)
		}
		if got := <-long.response; got != "whole" {
			t.Errorf("the request in progress got %s", got)
		}
		if got := c.send(0, 0); !strings.Contains(got, "leaving") {
			t.Errorf("after the drain: %s", got)
		}
	})
}

// TestNeighborsWhileHostListLags checks that an entry missing from the list of hosts is named as
// long as it responds, and that an entry listed as leaving isn't named.
func TestNeighborsWhileHostListLags(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		c := newCluster(t)
		self := c.hosts[0].Address.String()
		c.roster.set(c.hosts[1:])
		time.Sleep(5 * time.Second)
		if !slices.Contains(c.addressesOf(1), self) {
			t.Error("a responding entry that the list lacks isn't named")
		}
		c.network.Kill(c.hosts[0].Address.Addr())
		time.Sleep(propagationLimit)
		if slices.Contains(c.addressesOf(1), self) {
			t.Error("a dead entry is named")
		}
		c.fronts[2].SetListedLeaving(true)
		time.Sleep(propagationLimit)
		if slices.Contains(c.addressesOf(1), c.hosts[2].Address.String()) {
			t.Error("an entry that is listed as leaving is named")
		}
	})
}

// neighborBudget bounds the traffic of an idle entry with its neighbors, in bytes a second. It
// is a fifth of the control budget of a node.
const neighborBudget = 1 << 10

// TestNeighborsStayInBudget measures the traffic of three entries with two neighbors each.
func TestNeighborsStayInBudget(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		c := newCluster(t)
		time.Sleep(10 * time.Second)
		before := c.link.Bytes()
		time.Sleep(time.Minute)
		// Each call is counted once and belongs to the two entries at its ends.
		rate := float64(c.link.Bytes()-before) / 60 / 3 * 2
		t.Logf("neighbours=2 bytes=%.0f/s", rate)
		if rate > neighborBudget {
			t.Errorf("the neighbors take %.0f B/s", rate)
		}
	})
}

// TestHeldLeaveEndsWithTheState checks that a held reply ends as soon as the list of hosts says
// that the host leaves or stays, or a drain begins.
func TestHeldLeaveEndsWithTheState(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		c := newCluster(t)
		f := c.fronts[0]
		for _, step := range []struct {
			known  bool
			change func()
		}{
			{false, func() { f.SetListedLeaving(true) }},
			{true, func() { f.SetListedLeaving(false) }},
			{false, func() { f.Drain("test") }},
		} {
			started := time.Now()
			time.AfterFunc(100*time.Millisecond, step.change)
			r, err := f.Leave(t.Context(), connect.NewRequest(&wire.LeaveRequest{Leaving: step.known, Wait: 3000}))
			if err != nil || r.Msg.Leaving == step.known || time.Since(started) > 200*time.Millisecond {
				t.Errorf("known %v: reply %v, %v after %s", step.known, r, err, time.Since(started))
			}
		}
	})
}

package drain_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/agent/internal/drain"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/roster"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
)

// gate is a gate whose requests take 20 s.
type gate struct {
	wire.UnimplementedGateHandler
	draining   atomic.Bool
	inProgress atomic.Int32
}

func (g *gate) Drain(string)                  { g.draining.Store(true) }
func (g *gate) SetListedLeaving(leaving bool) { g.draining.Store(leaving) }
func (g *gate) InProgress() int               { return int(g.inProgress.Load()) }

func (g *gate) Run(_ context.Context, r *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunReply]) error {
	if g.draining.Load() {
		return connect.NewError(connect.CodeUnavailable, nil)
	}
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	time.Sleep(20 * time.Second)
	return s.Send(&wire.RunReply{Id: r.Msg.Id, Step: &wire.RunReply_Ended{Ended: &wire.Ended{}}})
}

// host is the server of an agent and a client of it.
type host struct {
	t       *testing.T
	network *memnet.Network
	gate    *gate
	client  *http.Client
	close   func()
	chunks  atomic.Int32
}

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	agentAddr  = netip.MustParseAddrPort("10.0.0.2:80")
)

func newHost(t *testing.T) *host {
	h := &host{t: t, network: memnet.New(nil), gate: &gate{}}
	l, err := h.network.Listen(agentAddr)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(wire.NewGateHandler(h.gate))
	mux.HandleFunc("/chunk", func(http.ResponseWriter, *http.Request) { h.chunks.Add(1) })
	h.close = links.Serve(l, mux, zap.NewNop(), time.Second)
	client, closeIdle := links.NewPeerClient(h.network.Dialer(clientAddr))
	h.client = client
	t.Cleanup(func() {
		time.Sleep(time.Second)
		closeIdle()
	})
	return h
}

// call is a request in progress.
type call struct {
	host *host
	err  chan error
}

func (c *call) run() { c.err <- c.host.run() }

// run sends a request. It returns nil once the whole response has been received.
func (h *host) run() error {
	s, err := wire.NewGateClient(h.client, "http://"+agentAddr.String()).Run(context.Background(), connect.NewRequest(&wire.RunRequest{Id: "1"}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for s.Receive() {
		if s.Msg().GetEnded() != nil {
			return nil
		}
	}
	return s.Err()
}

func (h *host) chunk() bool {
	a, err := h.client.Get("http://" + agentAddr.String() + "/chunk")
	if err != nil {
		return false
	}
	return a.Body.Close() == nil
}

// TestDrainingAbortsNoRequest checks that draining cuts off no request, also while the
// connection of another client fails.
func TestDrainingAbortsNoRequest(t *testing.T) {
	const step trial.Step = "stopping"
	cases := append([]trial.Case{{}}, trial.Singles([]trial.Step{step}, []trial.Fault{trial.Cut, trial.Silence})...)
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		h := newHost(t)
		other, closeOther := links.NewPeerClient(h.network.Dialer(netip.MustParseAddr("10.0.0.3")))
		defer closeOther()
		if a, err := other.Get("http://" + agentAddr.String() + "/chunk"); err == nil {
			_ = a.Body.Close()
		}
		c := &call{host: h, err: make(chan error, 1)}
		go c.run()
		time.Sleep(time.Second)
		began := time.Now()
		stopped := make(chan bool, 1)
		w := &waiter{gate: h.gate, stopped: stopped}
		go w.run()
		time.Sleep(time.Second)
		switch s.NextFault(step) {
		case trial.Cut:
			h.network.Cut(netip.MustParseAddr("10.0.0.3"), agentAddr.Addr())
		case trial.Silence:
			h.network.SilenceOpen(netip.MustParseAddr("10.0.0.3"), agentAddr.Addr())
		}
		if err := h.run(); err == nil || !strings.Contains(err.Error(), "unavailable") {
			t.Errorf("a new request got %v", err)
		}
		time.Sleep(10 * time.Second)
		if !h.chunk() {
			t.Error("chunks aren't served while a request runs")
		}
		if cut := <-stopped; cut || time.Since(began) < 19*time.Second {
			t.Errorf("draining took %s, requests cut %v", time.Since(began), cut)
		}
		h.close()
		if err := <-c.err; err != nil {
			t.Errorf("the request in progress got %v", err)
		}
	})
}

// waiter drains the gate.
type waiter struct {
	gate    *gate
	stopped chan bool
}

func (w *waiter) run() { w.stopped <- drain.Wait(context.Background(), w.gate, time.Minute) }

type list struct{ current atomic.Pointer[hosts.List] }

func (l *list) Now() hosts.List { return *l.current.Load() }

func (l *list) set(all ...hosts.Host) {
	n := hosts.NewList(all)
	l.current.Store(&n)
}

// TestGateFollowsHostList checks that the gate follows the list of hosts within a
// second, into the leaving state and out of it.
func TestGateFollowsHostList(t *testing.T) {
	trial.Run(t, []trial.Case{{}}, func(t *testing.T, _ *trial.Script) {
		l, g := &list{}, &gate{}
		l.set()
		_, stop := roster.NewSelfWatcher("model-1", l, g.SetListedLeaving)
		defer stop()
		for _, c := range []struct {
			all  []hosts.Host
			want bool
		}{
			{[]hosts.Host{{Name: "model-1", State: hosts.StateLive}}, false},
			{[]hosts.Host{{Name: "model-2", State: hosts.StateLeaving}}, false},
			{[]hosts.Host{{Name: "model-1", State: hosts.StateLeaving}}, true},
			{[]hosts.Host{{Name: "model-1", State: hosts.StateLive}}, false},
		} {
			l.set(c.all...)
			time.Sleep(time.Second)
			if g.draining.Load() != c.want {
				t.Errorf("with %v the gate refuses: %v", c.all, !c.want)
			}
		}
	})
}

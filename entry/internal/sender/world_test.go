package sender_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/poison"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
	"currantport.example/entry/internal/sender"
)

// The steps of a request at which faults are injected.
const (
	stepArrive trial.Step = "arrive"
	stepRun    trial.Step = "run"
	stepHead   trial.Step = "head"
	stepPart   trial.Step = "part"
	stepEnd    trial.Step = "end"
	stepSettle trial.Step = "settle"
)

const (
	keyedRoute      = "book"
	idempotentRoute = "draft"
	fullBody        = "one two three"
	runTime         = 20 * time.Millisecond
)

var entryAddress = netip.MustParseAddr("10.0.0.1")

// host is a fake agent with the real memory of idempotency keys.
type host struct {
	wire.UnimplementedGateHandler
	world   *world
	name    hosts.Name
	address netip.AddrPort
	// memory belongs to the newest process at the host.
	memory atomic.Pointer[memory]
}

// world holds a sender and two fake agents on a simulated network.
type world struct {
	t       testing.TB
	script  *trial.Script
	network *memnet.Network
	hosts   []*host
	sender  *sender.Sender
	scope   tally.TestScope
	// registry holds the crash marks of the sender.
	registry *poison.SharedRegistry
	// isBehind is true while the entry has not caught up after a pause.
	isBehind atomic.Bool
	// onFault is called at each fault, or nil.
	onFault func()

	mutex sync.Mutex
	// runs counts the runs at all upstreams.
	runs int
	// cleanups stop the servers of all processes.
	cleanups []func()
}

// memory is a dedup.Memory that handlers share.
type memory struct {
	mutex sync.Mutex
	*dedup.Memory
}

func (m *memory) begin(a dedup.Attempt) dedup.Decision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Begin(time.Now(), a)
}

func (m *memory) finish(a dedup.Attempt) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Finish(time.Now(), a, &dedup.Response{Status: http.StatusOK})
}

func (m *memory) settle(a dedup.Attempt) dedup.SettleResult {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Settle(time.Now(), a)
}

func (m *memory) token() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Token().String()
}

func (w *world) addCleanup(stop func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cleanups = append(w.cleanups, stop)
}

func (w *world) allCleanups() []func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.cleanups)
}

func (w *world) addRun() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs++
}

// runCount returns the number of runs so far.
func (w *world) runCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs
}

func newWorld(t testing.TB, s *trial.Script) *world {
	t.Helper()
	w := &world{t: t, script: s, network: memnet.New(nil), scope: tally.NewTestScope("", nil)}
	for i, n := range []hosts.Name{"a", "b"} {
		h := &host{world: w, name: n, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)}
		h.start()
		w.hosts = append(w.hosts, h)
	}
	client, closeIdle := links.NewPeerClient(w.network.Dialer(entryAddress))
	w.registry = poison.NewSharedRegistry(audit.NewTrail(zap.NewNop()))
	w.sender = sender.New(sender.Options{
		Tables: newTables(t), IsCurrent: w.current, Fleet: w, Client: client, Registry: w.registry, Broadcast: func(...poison.Mark) {},
		NewClient: func() (*http.Client, func()) { return links.NewPeerClient(w.network.Dialer(entryAddress)) },
		Metrics:   w.scope, Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		closeIdle()
		for _, h := range w.hosts {
			w.network.Kill(h.address.Addr())
		}
		for _, stop := range w.allCleanups() {
			stop()
		}
		// Paused handlers must end before the synctest bubble does. A benchmark runs
		// in real time and pauses none.
		if _, virtual := t.(*testing.T); virtual {
			time.Sleep(time.Minute)
		}
	})
	return w
}

func newTables(t testing.TB) *tables.Active {
	t.Helper()
	active := &tables.Active{}
	routes, err := tables.EncodeRoutes([]tables.Route{
		{Name: keyedRoute, Pool: "p", Timeout: time.Second},
		{Name: idempotentRoute, Pool: "p", Idempotent: true, Timeout: time.Second},
	})
	pools, poolsErr := tables.EncodePools([]tables.Pool{{Name: "p", Kind: tables.PoolService, Hosts: []hosts.Name{"a", "b"}}})
	if err := errors.Join(err, poolsErr); err != nil {
		t.Fatal(err)
	}
	for kind, data := range map[tables.Kind][]byte{tables.KindRoutes: routes, tables.KindPools: pools} {
		if _, err := active.Apply(kind, tables.Value{Revision: 1, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	return active
}

func (w *world) current() bool { return !w.isBehind.Load() }

// Choose implements sender.Fleet.
func (w *world) Choose(_ tables.Pool, _ []byte, tried map[hosts.Name]bool) (fleet.Target, bool) {
	for _, h := range w.hosts {
		if !tried[h.name] {
			return fleet.Target{Host: hosts.Host{Name: h.name, Address: h.address}}, true
		}
	}
	return fleet.Target{}, false
}

// Find implements sender.Fleet.
func (w *world) Find(_ tables.Pool, name hosts.Name) (fleet.Target, bool) {
	for _, h := range w.hosts {
		if h.name == name {
			return fleet.Target{Host: hosts.Host{Name: h.name, Address: h.address}}, true
		}
	}
	return fleet.Target{}, false
}

// Begin implements sender.Fleet.
func (w *world) Begin(hosts.Name) func() { return func() {} }

// Report implements sender.Fleet.
func (w *world) Report(hosts.Name, fleet.Report) {}

// start starts a process without state at the host.
func (h *host) start() {
	self := dedup.Owner{Host: h.name, Incarnation: dedup.NewIncarnation()}
	claims := dedup.NewClaims(time.Now(), self, dedup.DefaultBounds())
	h.memory.Store(&memory{Memory: dedup.NewMemory(dedup.DefaultOptions(self), claims)})
	l, err := h.world.network.Listen(h.address)
	if err != nil {
		h.world.t.Error(err)
		return
	}
	r := mux.NewRouter()
	path, handler := wire.NewGateHandler(h)
	r.PathPrefix(path).Handler(handler)
	h.world.addCleanup(links.Serve(l, r, zap.NewNop(), time.Millisecond))
}

// injectFault injects the fault that the script has for the step. It returns an error
// if the process was killed.
func (h *host) injectFault(step trial.Step) (trial.Fault, error) {
	f := h.world.script.NextFault(step)
	n := h.world.network
	if f != "" && h.world.onFault != nil {
		h.world.onFault()
	}
	switch f {
	case trial.Kill:
		n.Kill(h.address.Addr())
		h.start()
		return f, errors.New("killed")
	case trial.Cut:
		n.Cut(entryAddress, h.address.Addr())
	case trial.Silence:
		n.SilenceOpen(entryAddress, h.address.Addr())
	case trial.Pause:
		time.Sleep(3 * time.Second)
	}
	return f, nil
}

// Mint implements wire.GateHandler.
func (h *host) Mint(context.Context, *connect.Request[wire.MintRequest]) (*connect.Response[wire.MintReply], error) {
	return connect.NewResponse(&wire.MintReply{Key: string(h.memory.Load().Mint())}), nil
}

// Settle implements wire.GateHandler.
func (h *host) Settle(_ context.Context, r *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleReply], error) {
	if _, err := h.injectFault(stepSettle); err != nil {
		return nil, err
	}
	s := h.memory.Load().settle(dedup.Attempt{
		ID: calls.ID(r.Msg.Id), Token: dedup.ParseToken(r.Msg.Token), Key: dedup.ScopedKey{Value: calls.Key(r.Msg.Key)},
	})
	return connect.NewResponse(&wire.SettleReply{State: string(s.State), Token: s.Token.String(), Owner: string(s.Owner.Host)}), nil
}

// Run implements wire.GateHandler.
func (h *host) Run(ctx context.Context, r *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunReply]) error {
	if _, err := h.injectFault(stepArrive); err != nil {
		return err
	}
	memory := h.memory.Load()
	a := dedup.Attempt{ID: calls.ID(r.Msg.Id), Token: dedup.ParseToken(r.Msg.Token), Key: dedup.ScopedKey{Value: calls.Key(r.Msg.Key)}}
	v := memory.begin(a)
	for v.Action == dedup.ActionJoin && ctx.Err() == nil {
		time.Sleep(runTime)
		v = memory.begin(a)
	}
	o := &replyWriter{host: h, id: r.Msg.Id, stream: s}
	if v.Action == dedup.ActionRefuse {
		return o.send(&wire.RunReply{Step: &wire.RunReply_Refused{Refused: &wire.Refused{
			Outcome: string(v.Refusal.Outcome), Reason: string(v.Refusal.Reason), Token: v.Refusal.Token,
		}}})
	}
	if v.Action == dedup.ActionStart {
		h.world.addRun()
		time.Sleep(runTime)
		_, err := h.injectFault(stepRun)
		memory.finish(a)
		if err != nil {
			return err
		}
	}
	return o.respond(memory.token())
}

// replyWriter writes a response with the faults of the script.
type replyWriter struct {
	host     *host
	id       string
	stream   *connect.ServerStream[wire.RunReply]
	sequence uint64
}

func (w *replyWriter) respond(token string) error {
	replies := []*wire.RunReply{{Step: &wire.RunReply_Started{Started: &wire.Started{Status: http.StatusOK, Token: token}}}}
	steps := []trial.Step{stepHead}
	for _, part := range strings.SplitAfter(fullBody, " ") {
		replies = append(replies, &wire.RunReply{Step: &wire.RunReply_Data{Data: []byte(part)}})
		steps = append(steps, stepPart)
	}
	replies = append(replies, &wire.RunReply{Step: &wire.RunReply_Ended{Ended: &wire.Ended{Bytes: uint64(len(fullBody))}}})
	steps = append(steps, stepEnd)
	for i, m := range replies {
		f, err := w.host.injectFault(steps[i])
		if err != nil {
			return err
		}
		if err := w.sendWith(f, m); err != nil {
			return err
		}
	}
	return nil
}

func (w *replyWriter) sendWith(f trial.Fault, m *wire.RunReply) error {
	switch f {
	case trial.Duplicate:
		if err := w.send(m); err != nil {
			return err
		}
		w.sequence--
	case trial.Delay:
		foreign := &wire.RunReply{Id: "another", Step: &wire.RunReply_Data{Data: []byte("foreign")}}
		if err := w.stream.Send(foreign); err != nil {
			return err
		}
	case trial.Corrupt:
		w.sequence++
		return nil
	}
	return w.send(m)
}

func (w *replyWriter) send(m *wire.RunReply) error {
	m.Id, m.Sequence = w.id, w.sequence
	w.sequence++
	return w.stream.Send(m)
}

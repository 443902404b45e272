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
	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
	"currantport.example/entry/internal/sender"
)

// The steps of a request at which faults strike.
const (
	stepArrive trial.Step = "arrive"
	stepRun    trial.Step = "run"
	stepHead   trial.Step = "head"
	stepPart   trial.Step = "part"
	stepEnd    trial.Step = "end"
	stepSettle trial.Step = "settle"
)

const (
	keyedRoute = "book"
	freeRoute  = "draft"
	whole      = "one two three"
	runTime    = 20 * time.Millisecond
)

var near = netip.MustParseAddr("10.0.0.1")

// host is a fake agent with the product's memory of keys.
type host struct {
	wire.UnimplementedGateHandler
	world *world
	name  hosts.Name
	at    netip.AddrPort
	// memory is that of the newest process at the host.
	memory atomic.Pointer[memory]
}

type world struct {
	t       testing.TB
	script  *trial.Script
	network *memnet.Network
	hosts   []*host
	sender  *sender.Sender
	scope   tally.TestScope
	// behind tells that the entry has woken and not caught up.
	behind atomic.Bool
	// struck is called at each fault, or nil.
	struck func()

	mutex sync.Mutex
	// runs counts the starts at all upstreams.
	runs int
	// stops end the servers of all processes.
	stops []func()
}

// memory is one that handlers share.
type memory struct {
	mutex sync.Mutex
	*dedup.Memory
}

func (m *memory) begin(a dedup.Attempt) dedup.Verdict {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Begin(time.Now(), a)
}

func (m *memory) finish(a dedup.Attempt) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Finish(time.Now(), a, &dedup.Answer{Status: http.StatusOK})
}

func (m *memory) settle(a dedup.Attempt) dedup.Settled {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Settle(time.Now(), a)
}

func (m *memory) token() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.Token().String()
}

func (w *world) addStop(stop func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stops = append(w.stops, stop)
}

func (w *world) allStops() []func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.stops)
}

func (w *world) addRun() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs++
}

// ran returns the number of runs so far.
func (w *world) ran() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.runs
}

func newWorld(t testing.TB, s *trial.Script) *world {
	t.Helper()
	w := &world{t: t, script: s, network: memnet.New(nil), scope: tally.NewTestScope("", nil)}
	for i, n := range []hosts.Name{"a", "b"} {
		h := &host{world: w, name: n, at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)}
		h.start()
		w.hosts = append(w.hosts, h)
	}
	client, closeIdle := links.NewPeerClient(w.network.Dialer(near))
	book := blame.NewShared(audit.NewTrail(zap.NewNop()))
	w.sender = sender.New(sender.Options{
		Force: newForce(t), Current: w.current, Fleet: w, Client: client, Book: book, Spread: func(...blame.Mark) {},
		Fresh:   func() (*http.Client, func()) { return links.NewPeerClient(w.network.Dialer(near)) },
		Metrics: w.scope, Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		closeIdle()
		for _, h := range w.hosts {
			w.network.Kill(h.at.Addr())
		}
		for _, stop := range w.allStops() {
			stop()
		}
		// The handlers that are paused end before the bubble does. A benchmark
		// runs in real time and pauses none.
		if _, virtual := t.(*testing.T); virtual {
			time.Sleep(time.Minute)
		}
	})
	return w
}

func newForce(t testing.TB) *tables.Active {
	t.Helper()
	force := &tables.Active{}
	routes, err := tables.EncodeRoutes([]tables.Route{
		{Name: keyedRoute, Pool: "p", Timeout: time.Second},
		{Name: freeRoute, Pool: "p", Idempotent: true, Timeout: time.Second},
	})
	pools, poolsErr := tables.EncodePools([]tables.Pool{{Name: "p", Kind: tables.PoolService, Hosts: []hosts.Name{"a", "b"}}})
	if err := errors.Join(err, poolsErr); err != nil {
		t.Fatal(err)
	}
	for kind, data := range map[tables.Kind][]byte{tables.KindRoutes: routes, tables.KindPools: pools} {
		if _, err := force.Apply(kind, tables.Value{Revision: 1, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	return force
}

func (w *world) current() bool { return !w.behind.Load() }

// Choose implements sender.Fleet.
func (w *world) Choose(_ tables.Pool, _ []byte, tried map[hosts.Name]bool) (fleet.Target, bool) {
	for _, h := range w.hosts {
		if !tried[h.name] {
			return fleet.Target{Host: hosts.Host{Name: h.name, Address: h.at}}, true
		}
	}
	return fleet.Target{}, false
}

// Find implements sender.Fleet.
func (w *world) Find(_ tables.Pool, name hosts.Name) (fleet.Target, bool) {
	for _, h := range w.hosts {
		if h.name == name {
			return fleet.Target{Host: hosts.Host{Name: h.name, Address: h.at}}, true
		}
	}
	return fleet.Target{}, false
}

// Begin implements sender.Fleet.
func (w *world) Begin(hosts.Name) func() { return func() {} }

// Report implements sender.Fleet.
func (w *world) Report(hosts.Name, fleet.Report) {}

// start begins an empty process at the host.
func (h *host) start() {
	self := dedup.Owner{Host: h.name, Incarnation: dedup.NewIncarnation()}
	claims := dedup.NewClaims(time.Now(), self, dedup.DefaultBounds())
	h.memory.Store(&memory{Memory: dedup.NewMemory(dedup.DefaultOptions(self), claims)})
	l, err := h.world.network.Listen(h.at)
	if err != nil {
		h.world.t.Error(err)
		return
	}
	r := mux.NewRouter()
	path, handler := wire.NewGateHandler(h)
	r.PathPrefix(path).Handler(handler)
	h.world.addStop(links.Serve(l, r, zap.NewNop(), time.Millisecond))
}

// strike brings about the fault whose step has come. It returns an error if the
// process is no more.
func (h *host) strike(step trial.Step) (trial.Fault, error) {
	f := h.world.script.Reach(step)
	n := h.world.network
	if f != "" && h.world.struck != nil {
		h.world.struck()
	}
	switch f {
	case trial.Kill:
		n.Kill(h.at.Addr())
		h.start()
		return f, errors.New("killed")
	case trial.Cut:
		n.Cut(near, h.at.Addr())
	case trial.Silence:
		n.Forget(near, h.at.Addr())
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
	if _, err := h.strike(stepSettle); err != nil {
		return nil, err
	}
	s := h.memory.Load().settle(dedup.Attempt{
		ID: calls.ID(r.Msg.Id), Token: dedup.ParseToken(r.Msg.Token), Name: dedup.Name{Key: calls.Key(r.Msg.Key)},
	})
	return connect.NewResponse(&wire.SettleReply{State: string(s.State), Token: s.Token.String(), Owner: string(s.Owner.Host)}), nil
}

// Run implements wire.GateHandler.
func (h *host) Run(ctx context.Context, r *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunReply]) error {
	if _, err := h.strike(stepArrive); err != nil {
		return err
	}
	memory := h.memory.Load()
	a := dedup.Attempt{ID: calls.ID(r.Msg.Id), Token: dedup.ParseToken(r.Msg.Token), Name: dedup.Name{Key: calls.Key(r.Msg.Key)}}
	v := memory.begin(a)
	for v.Action == dedup.ActionJoin && ctx.Err() == nil {
		time.Sleep(runTime)
		v = memory.begin(a)
	}
	o := &out{host: h, id: r.Msg.Id, stream: s}
	if v.Action == dedup.ActionRefuse {
		return o.send(&wire.RunReply{Step: &wire.RunReply_Refused{Refused: &wire.Refused{
			Outcome: string(v.Refusal.Outcome), Reason: string(v.Refusal.Reason), Token: v.Refusal.Token,
		}}})
	}
	if v.Action == dedup.ActionStart {
		h.world.addRun()
		time.Sleep(runTime)
		_, err := h.strike(stepRun)
		memory.finish(a)
		if err != nil {
			return err
		}
	}
	return o.answer(memory.token())
}

// out writes an answer with the faults of the script.
type out struct {
	host     *host
	id       string
	stream   *connect.ServerStream[wire.RunReply]
	sequence uint64
}

func (o *out) answer(token string) error {
	replies := []*wire.RunReply{{Step: &wire.RunReply_Started{Started: &wire.Started{Status: http.StatusOK, Token: token}}}}
	steps := []trial.Step{stepHead}
	for _, part := range strings.SplitAfter(whole, " ") {
		replies = append(replies, &wire.RunReply{Step: &wire.RunReply_Data{Data: []byte(part)}})
		steps = append(steps, stepPart)
	}
	replies = append(replies, &wire.RunReply{Step: &wire.RunReply_Ended{Ended: &wire.Ended{Bytes: uint64(len(whole))}}})
	steps = append(steps, stepEnd)
	for i, m := range replies {
		f, err := o.host.strike(steps[i])
		if err != nil {
			return err
		}
		if err := o.sendWith(f, m); err != nil {
			return err
		}
	}
	return nil
}

func (o *out) sendWith(f trial.Fault, m *wire.RunReply) error {
	switch f {
	case trial.Doubled:
		if err := o.send(m); err != nil {
			return err
		}
		o.sequence--
	case trial.Late:
		foreign := &wire.RunReply{Id: "another", Step: &wire.RunReply_Data{Data: []byte("foreign")}}
		if err := o.stream.Send(foreign); err != nil {
			return err
		}
	case trial.Corrupt:
		o.sequence++
		return nil
	}
	return o.send(m)
}

func (o *out) send(m *wire.RunReply) error {
	m.Id, m.Sequence = o.id, o.sequence
	o.sequence++
	return o.stream.Send(m)
}

package gate_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/agent/internal/gate"
	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/chunks"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/poison"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	runTime      = time.Second
	crashingBody = "poison"
)

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	bounds     = dedup.Bounds{RetryWindow: 20 * time.Second, MaxClockSkew: time.Second, MaxListLag: 2 * time.Second, KeyTTL: time.Hour}
)

// service is a fake plain service. A request with the body poison crashes it
// together with all requests that it runs.
type service struct {
	runs     atomic.Int32
	canceled atomic.Int32
	crashes  atomic.Int32
	refusing atomic.Bool
	// endsWithData makes the end of a response arrive with its last byte.
	endsWithData atomic.Bool
	// version is what the service is serving when it responds, or empty.
	version string
	mutex   sync.Mutex
	// crash is closed when the service crashes, and then replaced.
	crash chan struct{}
}

func (s *service) crashSignal() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crash
}

func (s *service) triggerCrash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes.Add(1)
	close(s.crash)
	s.crash = make(chan struct{})
}

func (s *service) Run(ctx context.Context, r calls.Request) (engine.Response, error) {
	if s.refusing.Load() {
		return engine.Response{}, &engine.NotStartedError{Cause: errors.New("refused")}
	}
	s.runs.Add(1)
	if string(r.Body) == crashingBody {
		s.triggerCrash()
		return engine.Response{}, &engine.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
	}
	select {
	case <-time.After(runTime):
		var body io.Reader = bytes.NewReader(r.Body)
		if s.endsWithData.Load() {
			body = iotest.DataErrReader(body)
		}
		return engine.Response{Version: s.version, Status: http.StatusOK, Body: io.NopCloser(body)}, nil
	case <-s.crashSignal():
		return engine.Response{}, &engine.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		s.canceled.Add(1)
		return engine.Response{}, ctx.Err()
	}
}

type host struct {
	name    hosts.Name
	address netip.AddrPort
	service *service
	// observed is the state of the engine that was observed last, or nil for a plain service.
	observed *observedState
	active   *tables.Active
	gate     *gate.Gate
	// flushes counts the flushes by the gate's handler.
	flushes atomic.Int32
}

// observedState implements gate.StateSource.
type observedState struct{ state engine.State }

func (o *observedState) State() engine.State { return o.state }

// flushCounter counts the flushes of a handler.
type flushCounter struct {
	host *host
	next http.Handler
}

func (c *flushCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.next.ServeHTTP(&countedWriter{ResponseWriter: w, host: c.host}, r)
}

type countedWriter struct {
	http.ResponseWriter
	host *host
}

func (w *countedWriter) Flush() {
	w.host.flushes.Add(1)
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

type world struct {
	t       *testing.T
	network *memnet.Network
	hosts   []*host
	client  *http.Client
	// registry stands for the crash marks of all entries.
	registry *poison.SharedRegistry
	// stream makes the attempts request a stream.
	stream bool
	// version is the one that the attempts require, or empty.
	version string
}

// Now implements gate.Roster.
func (w *world) Now() hosts.List {
	var all []hosts.Host
	for _, h := range w.hosts {
		all = append(all, hosts.Host{Name: h.name, Role: hosts.RoleAgent, Address: h.address})
	}
	return hosts.NewList(all)
}

func newWorld(t *testing.T, names ...hosts.Name) *world {
	t.Helper()
	return newWorldWith(t, nil, names...)
}

// newWorldWith returns a world whose gates have observed a state of their engine, if it isn't nil.
func newWorldWith(t *testing.T, observed *observedState, names ...hosts.Name) *world {
	t.Helper()
	w := &world{t: t, network: memnet.New(nil), registry: poison.NewSharedRegistry(audit.NewTrail(zap.NewNop()))}
	for i, n := range names {
		w.hosts = append(w.hosts, &host{
			name: n, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000),
			service: &service{crash: make(chan struct{})}, observed: observed, active: &tables.Active{},
		})
	}
	client, closeIdle := links.NewPeerClient(w.network.Dialer(clientAddr))
	w.client = client
	t.Cleanup(closeIdle)
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *world) start(h *host) {
	client, closeIdle := links.NewPeerClient(w.network.Dialer(h.address.Addr()))
	var stopGate func()
	o := gate.Options{
		Host: h.name, Service: h.service, Tables: h.active, Roster: w, Client: client, Bounds: bounds,
		Registry: poison.NewSharedRegistry(audit.NewTrail(zap.NewNop())), Trail: audit.NewTrail(zap.NewNop()), Log: zap.NewNop(),
		Broadcast: func(all ...poison.Mark) { w.registry.Merge(all, "a gate") },
	}
	if h.observed != nil {
		o.Engine = h.observed
	}
	h.gate, stopGate = gate.New(o)
	l, err := w.network.Listen(h.address)
	if err != nil {
		w.t.Fatal(err)
	}
	r := mux.NewRouter()
	path, handler := gate.NewHandler(h.gate)
	r.PathPrefix(path).Handler(&flushCounter{host: h, next: handler})
	stop := links.Serve(l, r, zap.NewNop(), time.Minute)
	w.t.Cleanup(func() {
		stopGate()
		stop()
		closeIdle()
	})
}

// publish makes a row active at the given hosts.
func (w *world) publish(revision tables.Revision, row []hosts.Name, at ...*host) {
	data, err := tables.EncodePools([]tables.Pool{{Name: "p", Kind: tables.PoolService, Hosts: row}})
	if err != nil {
		w.t.Fatal(err)
	}
	for _, h := range at {
		if _, err := h.active.Apply(tables.KindPools, tables.Value{Revision: revision, Data: data}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// run sends an attempt. It returns the response or the refusal.
func (w *world) run(ctx context.Context, h *host, id, key, body string) (string, *wire.Refused) {
	request := calls.Request{Route: "book", Workspace: "meadow", Body: []byte(body)}
	m := &wire.RunRequest{
		Id: id, Route: "book", Workspace: "meadow", Key: key, Timeout: (10 * time.Second).Milliseconds(),
		Body: []byte(body), Pool: "p", Routes: 1, Marks: poison.Encode(w.registry.MarksOf(poison.FingerprintOf(request))), Stream: w.stream, Version: w.version,
	}
	s, err := wire.NewGateClient(w.client, "http://"+h.address.String()).Run(ctx, connect.NewRequest(m))
	if err != nil {
		return "", &wire.Refused{Outcome: "lost", Reason: err.Error()}
	}
	defer func() { _ = s.Close() }()
	response := ""
	for s.Receive() {
		switch step := s.Msg().Step.(type) {
		case *wire.RunReply_Data:
			response += string(step.Data)
		case *wire.RunReply_Refused:
			w.registry.Merge(poison.Decode(step.Refused.Marks), string(h.name))
			return "", step.Refused
		}
	}
	if err := s.Err(); err != nil {
		return "", &wire.Refused{Outcome: "lost", Reason: err.Error()}
	}
	return response, nil
}

// runner sends an attempt concurrently with others.
type runner struct {
	world    *world
	host     *host
	id       string
	key      string
	body     string
	response string
	refusal  *wire.Refused
}

func (r *runner) run() {
	r.response, r.refusal = r.world.run(r.world.t.Context(), r.host, r.id, r.key, r.body)
}

func (w *world) mint(h *host) string {
	r, err := wire.NewGateClient(w.client, "http://"+h.address.String()).Mint(w.t.Context(), connect.NewRequest(&wire.MintRequest{}))
	if err != nil {
		w.t.Fatal(err)
	}
	return r.Msg.Key
}

func TestKeyedRunOutlivesClient(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, "a")
			a := w.hosts[0]
			w.publish(1, []hosts.Name{"a"}, a)
			key := ""
			if keyed {
				key = w.mint(a)
			}
			ctx, cancel := context.WithTimeout(t.Context(), runTime/2)
			defer cancel()
			w.run(ctx, a, "one", key, "goat")
			time.Sleep(runTime)
			if canceled := a.service.canceled.Load() == 1; canceled == keyed {
				t.Errorf("keyed %t, canceled %t", keyed, canceled)
			}
			response, _ := w.run(t.Context(), a, "two", key, "goat")
			want := int32(2)
			if keyed {
				want = 1
			}
			if response != "goat" || a.service.runs.Load() != want {
				t.Errorf("response %q after %d runs", response, a.service.runs.Load())
			}
		})
	}
}

func TestRetryJoinsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		a := w.hosts[0]
		w.publish(1, []hosts.Name{"a"}, a)
		first := &runner{world: w, host: a, id: "one", key: w.mint(a), body: "goat"}
		go first.run()
		time.Sleep(runTime / 2)
		response, refusal := w.run(t.Context(), a, "two", first.key, "goat")
		synctest.Wait()
		if response != "goat" || first.response != "goat" || a.service.runs.Load() != 1 {
			t.Errorf("responses %q and %q, refused %v, runs %d", first.response, response, refusal, a.service.runs.Load())
		}
		if _, refusal := w.run(t.Context(), a, "three", first.key, "hen"); refusal.GetReason() != string(calls.ReasonKeyReused) {
			t.Errorf("a key with another body gives %v", refusal)
		}
	})
}

func TestRefusalFencesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		a := w.hosts[0]
		w.publish(1, []hosts.Name{"a"}, a)
		key := w.mint(a)
		a.service.refusing.Store(true)
		_, refusal := w.run(t.Context(), a, "one", key, "goat")
		a.service.refusing.Store(false)
		if refusal.GetOutcome() != string(calls.OutcomeNotRun) || refusal.Token == "" {
			t.Fatalf("got %v", refusal)
		}
		if _, late := w.run(t.Context(), a, "two", key, "goat"); late.GetReason() != string(calls.ReasonFenced) || a.service.runs.Load() != 0 {
			t.Errorf("a late attempt gives %v", late)
		}
	})
}

// TestOpaqueKeyMovesWithTheRow checks that an owner that has just started doesn't
// start opaque keys, and that a new owner knows what the earlier one ran.
func TestOpaqueKeyMovesWithTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		a, b := w.hosts[0], w.hosts[1]
		w.publish(1, []hosts.Name{"a"}, a, b)
		if _, r := w.run(t.Context(), a, "one", "order-1", "goat"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("an owner that has just started gives %v", r)
		}
		time.Sleep(bounds.RetryWindow / 2)
		if _, r := w.run(t.Context(), a, "early", "order-1", "goat"); r.GetReason() != string(calls.ReasonStarting) {
			t.Errorf("an owner that may have lost the key gives %v", r)
		}
		time.Sleep(bounds.RetryWindow / 2)
		if response, r := w.run(t.Context(), a, "two", "order-1", "goat"); response != "goat" {
			t.Fatalf("the owner refuses: %v", r)
		}
		w.network.Silence(a.address.Addr(), b.address.Addr())
		w.publish(2, []hosts.Name{"b"}, b)
		if _, r := w.run(t.Context(), b, "three", "order-1", "goat"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("a new owner that can't reach the earlier one gives %v", r)
		}
		w.network.Heal(a.address.Addr(), b.address.Addr())
		time.Sleep(10 * time.Second)
		if _, r := w.run(t.Context(), b, "four", "order-1", "goat"); r.GetOwner() != "a" {
			t.Errorf("the new owner gives %v", r)
		}
		if response, r := w.run(t.Context(), a, "five", "order-1", "goat"); response != "goat" || a.service.runs.Load() != 1 {
			t.Errorf("the earlier owner gives %q, %v", response, r)
		}
		if _, r := w.run(t.Context(), a, "six", "order-2", "hen"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("the earlier owner starts a new key: %v", r)
		}
		if response, r := w.run(t.Context(), b, "seven", "order-2", "hen"); response != "hen" {
			t.Errorf("the new owner refuses a new key: %v", r)
		}
	})
}

// TestPoisonCostsTwoUpstreams repeatedly sends a request that crashes upstreams,
// next to innocent requests.
func TestPoisonCostsTwoUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b", "c")
		w.publish(1, []hosts.Name{"a", "b", "c"}, w.hosts...)
		var innocent []*runner
		for i, h := range w.hosts {
			r := &runner{world: w, host: h, id: "innocent" + string(h.name), body: strings.Repeat("x", i+1)}
			innocent = append(innocent, r)
			go r.run()
		}
		time.Sleep(runTime / 2)
		crashes := func() (sum int32) {
			for _, h := range w.hosts {
				sum += h.service.crashes.Load()
			}
			return sum
		}
		var last *wire.Refused
		for i := range 9 {
			_, last = w.run(t.Context(), w.hosts[i%3], "poison"+string(rune('0'+i)), "", crashingBody)
		}
		if crashes() > poison.CrashLimit || last.GetReason() != string(calls.ReasonQuarantined) || last.Wait == 0 {
			t.Errorf("%d upstreams were lost, then %v", crashes(), last)
		}
		time.Sleep(runTime)
		// Orders the results of the innocent requests before the reads below.
		synctest.Wait()
		lost := 0
		for _, r := range innocent {
			if r.refusal == nil {
				continue
			}
			lost++
			if r.id += "again"; r.retry() != nil {
				t.Errorf("an innocent request is refused twice: %v", r.refusal)
			}
			if status, _ := w.registry.Evaluate(poison.FingerprintOf(calls.Request{Route: "book", Workspace: "meadow", Body: []byte(r.body)})); status != poison.StatusClear {
				t.Errorf("an innocent request stays a suspect: %v", status)
			}
		}
		if lost != 1 {
			t.Errorf("%d innocent requests were lost, 1 ran beside the first crash", lost)
		}
	})
}

// TestConcurrentSuspectsCombineMarks sends a gate two attempts of a request, each
// with the mark of another upstream that the request crashed. Together the marks
// are enough to refuse it.
func TestConcurrentSuspectsCombineMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		w.publish(1, []hosts.Name{"a"}, w.hosts...)
		fingerprint := poison.FingerprintOf(calls.Request{Route: "book", Workspace: "meadow", Body: []byte(crashingBody)})
		w.registry.RecordLoss(fingerprint, "first")
		first := &runner{world: w, host: w.hosts[0], id: "one", body: crashingBody}
		go first.run()
		time.Sleep(50 * time.Millisecond)
		w.registry.RecordLoss(fingerprint, "second")
		_, second := w.run(t.Context(), w.hosts[0], "two", "", crashingBody)
		time.Sleep(runTime)
		synctest.Wait()
		if n := w.hosts[0].service.crashes.Load(); n > 0 || first.refusal == nil || second == nil {
			t.Errorf("%d crashes, %v and %v", n, first.refusal, second)
		}
	})
}

// TestCopiesOfOneCrashCountOnce runs two copies of an innocent request next to one
// that crashes the service.
func TestCopiesOfOneCrashCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		w.publish(1, []hosts.Name{"a"}, w.hosts...)
		for _, id := range []string{"one", "two"} {
			r := &runner{world: w, host: w.hosts[0], id: id, body: "x"}
			go r.run()
		}
		time.Sleep(runTime / 2)
		if _, r := w.run(t.Context(), w.hosts[0], "poison", "", crashingBody); r == nil {
			t.Error("the request that crashes the service was answered")
		}
		time.Sleep(runTime)
		if response, r := w.run(t.Context(), w.hosts[0], "three", "", "x"); response != "x" {
			t.Errorf("an innocent request that ran twice beside one crash: %v", r)
		}
	})
}

func (r *runner) retry() *wire.Refused {
	r.run()
	return r.refusal
}

// TestFlushesPerResponse checks that a response which isn't streamed takes no flush
// per reply, and that a stream flushes its head and its parts at once.
func TestFlushesPerResponse(t *testing.T) {
	cases := map[string]struct {
		stream, sized bool
		want          int32
	}{
		"sized": {sized: true}, "unsized": {want: 1}, "stream": {stream: true, sized: true, want: 2},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "a")
				w.publish(1, []hosts.Name{"a"}, w.hosts...)
				w.stream = k.stream
				w.hosts[0].service.endsWithData.Store(k.sized)
				got, refusal := w.run(t.Context(), w.hosts[0], "1", "", "hens")
				if got != "hens" || refusal != nil || w.hosts[0].flushes.Load() != k.want {
					t.Errorf("got %q, %v with %d flushes, want %d", got, refusal, w.hosts[0].flushes.Load(), k.want)
				}
			})
		})
	}
}

// TestResponseOfAnotherVersionIsRefused has the engine serve another version by the time it begins a request than when
// the gate admitted it.
func TestResponseOfAnotherVersionIsRefused(t *testing.T) {
	for _, version := range []string{"one", "two"} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorldWith(t, &observedState{state: engine.State{Version: "one", Manifest: chunks.Digest{1}}}, "a")
			a := w.hosts[0]
			w.publish(1, []hosts.Name{"a"}, a)
			w.version, a.service.version = "one", version
			response, refused := w.run(t.Context(), a, "first", "", "body")
			if version == "one" && (refused != nil || response != "body") {
				t.Errorf("%q, refused %v", response, refused)
			}
			if version == "two" && (refused == nil || refused.Outcome != string(calls.OutcomeUnknown) || refused.Reason != string(calls.ReasonVersion) || response != "") {
				t.Errorf("response of version two: %q, refused %v", response, refused)
			}
		})
	}
}

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
	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/engine"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	runTime = time.Second
	poison  = "poison"
)

var (
	near   = netip.MustParseAddr("10.0.0.1")
	bounds = dedup.Bounds{Resend: 20 * time.Second, Skew: time.Second, Lag: 2 * time.Second, Lifetime: time.Hour}
)

// service is a plain service beside a gate. The request that is poison crashes
// it together with all that it runs.
type service struct {
	runs     atomic.Int32
	canceled atomic.Int32
	crashes  atomic.Int32
	refusing atomic.Bool
	// sized tells that the end of an answer comes with its last byte.
	sized atomic.Bool
	mutex sync.Mutex
	// crash is closed when the service crashes, and replaced.
	crash chan struct{}
}

func (s *service) life() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crash
}

func (s *service) die() {
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
	if string(r.Body) == poison {
		s.die()
		return engine.Response{}, &engine.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
	}
	select {
	case <-time.After(runTime):
		var body io.Reader = bytes.NewReader(r.Body)
		if s.sized.Load() {
			body = iotest.DataErrReader(body)
		}
		return engine.Response{Status: http.StatusOK, Body: io.NopCloser(body)}, nil
	case <-s.life():
		return engine.Response{}, &engine.ConnectionLostError{Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		s.canceled.Add(1)
		return engine.Response{}, ctx.Err()
	}
}

type host struct {
	name    hosts.Name
	at      netip.AddrPort
	service *service
	force   *tables.Active
	gate    *gate.Gate
	// flushes counts those that the gate's handler asked for.
	flushes atomic.Int32
}

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
	// book is that of all entries.
	book *blame.Shared
	// stream tells that the attempts ask for a stream.
	stream bool
}

// Now implements gate.Roster.
func (w *world) Now() hosts.List {
	var all []hosts.Host
	for _, h := range w.hosts {
		all = append(all, hosts.Host{Name: h.name, Role: hosts.RoleAgent, Address: h.at})
	}
	return hosts.NewList(all)
}

func newWorld(t *testing.T, names ...hosts.Name) *world {
	t.Helper()
	w := &world{t: t, network: memnet.New(nil), book: blame.NewShared(audit.NewTrail(zap.NewNop()))}
	for i, n := range names {
		w.hosts = append(w.hosts, &host{
			name: n, at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000),
			service: &service{crash: make(chan struct{})}, force: &tables.Active{},
		})
	}
	client, closeIdle := links.NewPeerClient(w.network.Dialer(near))
	w.client = client
	t.Cleanup(closeIdle)
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *world) start(h *host) {
	client, closeIdle := links.NewPeerClient(w.network.Dialer(h.at.Addr()))
	var stopGate func()
	h.gate, stopGate = gate.New(gate.Options{
		Host: h.name, Service: h.service, Force: h.force, Roster: w, Client: client, Bounds: bounds,
		Book: blame.NewShared(audit.NewTrail(zap.NewNop())), Trail: audit.NewTrail(zap.NewNop()), Log: zap.NewNop(),
		Spread: func(all ...blame.Mark) { w.book.Merge(all, "a gate") },
	})
	l, err := w.network.Listen(h.at)
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

// publish brings a row into force at the given hosts.
func (w *world) publish(revision tables.Revision, row []hosts.Name, at ...*host) {
	data, err := tables.EncodePools([]tables.Pool{{Name: "p", Kind: tables.PoolService, Hosts: row}})
	if err != nil {
		w.t.Fatal(err)
	}
	for _, h := range at {
		if _, err := h.force.Apply(tables.KindPools, tables.Value{Revision: revision, Data: data}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// run sends an attempt. It returns the answer or the refusal.
func (w *world) run(ctx context.Context, h *host, id, key, body string) (string, *wire.Refused) {
	request := calls.Request{Route: "book", Workspace: "meadow", Body: []byte(body)}
	m := &wire.RunRequest{
		Id: id, Route: "book", Workspace: "meadow", Key: key, Timeout: (10 * time.Second).Milliseconds(),
		Body: []byte(body), Pool: "p", Routes: 1, Marks: blame.Encode(w.book.Of(blame.FingerprintOf(request))), Stream: w.stream,
	}
	s, err := wire.NewGateClient(w.client, "http://"+h.at.String()).Run(ctx, connect.NewRequest(m))
	if err != nil {
		return "", &wire.Refused{Outcome: "lost", Reason: err.Error()}
	}
	defer func() { _ = s.Close() }()
	answer := ""
	for s.Receive() {
		switch step := s.Msg().Step.(type) {
		case *wire.RunReply_Data:
			answer += string(step.Data)
		case *wire.RunReply_Refused:
			w.book.Merge(blame.Decode(step.Refused.Marks), string(h.name))
			return "", step.Refused
		}
	}
	if err := s.Err(); err != nil {
		return "", &wire.Refused{Outcome: "lost", Reason: err.Error()}
	}
	return answer, nil
}

// runner sends an attempt beside others.
type runner struct {
	world  *world
	host   *host
	id     string
	key    string
	body   string
	answer string
	refuse *wire.Refused
}

func (r *runner) run() {
	r.answer, r.refuse = r.world.run(r.world.t.Context(), r.host, r.id, r.key, r.body)
}

func (w *world) mint(h *host) string {
	r, err := wire.NewGateClient(w.client, "http://"+h.at.String()).Mint(w.t.Context(), connect.NewRequest(&wire.MintRequest{}))
	if err != nil {
		w.t.Fatal(err)
	}
	return r.Msg.Key
}

func TestKeyOutlivesItsCaller(t *testing.T) {
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
			answer, _ := w.run(t.Context(), a, "two", key, "goat")
			want := int32(2)
			if keyed {
				want = 1
			}
			if answer != "goat" || a.service.runs.Load() != want {
				t.Errorf("answer %q after %d runs", answer, a.service.runs.Load())
			}
		})
	}
}

func TestResendJoinsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		a := w.hosts[0]
		w.publish(1, []hosts.Name{"a"}, a)
		first := &runner{world: w, host: a, id: "one", key: w.mint(a), body: "goat"}
		go first.run()
		time.Sleep(runTime / 2)
		answer, refuse := w.run(t.Context(), a, "two", first.key, "goat")
		synctest.Wait()
		if answer != "goat" || first.answer != "goat" || a.service.runs.Load() != 1 {
			t.Errorf("answers %q and %q, refused %v, runs %d", first.answer, answer, refuse, a.service.runs.Load())
		}
		if _, refuse := w.run(t.Context(), a, "three", first.key, "hen"); refuse.GetReason() != string(calls.ReasonKeyReused) {
			t.Errorf("a key with another body gives %v", refuse)
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
		_, refuse := w.run(t.Context(), a, "one", key, "goat")
		a.service.refusing.Store(false)
		if refuse.GetOutcome() != string(calls.OutcomeNotRun) || refuse.Token == "" {
			t.Fatalf("got %v", refuse)
		}
		if _, late := w.run(t.Context(), a, "two", key, "goat"); late.GetReason() != string(calls.ReasonFenced) || a.service.runs.Load() != 0 {
			t.Errorf("a late sending gives %v", late)
		}
	})
}

// TestOpaqueKeyMovesWithTheRow proves that a young owner starts no opaque key,
// and that a new owner knows what the earlier one ran.
func TestOpaqueKeyMovesWithTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a", "b")
		a, b := w.hosts[0], w.hosts[1]
		w.publish(1, []hosts.Name{"a"}, a, b)
		if _, r := w.run(t.Context(), a, "one", "order-1", "goat"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("a young owner gives %v", r)
		}
		time.Sleep(bounds.Resend / 2)
		if _, r := w.run(t.Context(), a, "early", "order-1", "goat"); r.GetReason() != string(calls.ReasonStarting) {
			t.Errorf("an owner that may have lost the key gives %v", r)
		}
		time.Sleep(bounds.Resend / 2)
		if answer, r := w.run(t.Context(), a, "two", "order-1", "goat"); answer != "goat" {
			t.Fatalf("the owner refuses: %v", r)
		}
		w.network.Silence(a.at.Addr(), b.at.Addr())
		w.publish(2, []hosts.Name{"b"}, b)
		if _, r := w.run(t.Context(), b, "three", "order-1", "goat"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("a new owner that can't reach the earlier one gives %v", r)
		}
		w.network.Heal(a.at.Addr(), b.at.Addr())
		time.Sleep(10 * time.Second)
		if _, r := w.run(t.Context(), b, "four", "order-1", "goat"); r.GetOwner() != "a" {
			t.Errorf("the new owner gives %v", r)
		}
		if answer, r := w.run(t.Context(), a, "five", "order-1", "goat"); answer != "goat" || a.service.runs.Load() != 1 {
			t.Errorf("the earlier owner gives %q, %v", answer, r)
		}
		if _, r := w.run(t.Context(), a, "six", "order-2", "hen"); r.GetOutcome() != string(calls.OutcomeUnknown) {
			t.Errorf("the earlier owner starts a new key: %v", r)
		}
		if answer, r := w.run(t.Context(), b, "seven", "order-2", "hen"); answer != "hen" {
			t.Errorf("the new owner refuses a new key: %v", r)
		}
	})
}

// TestPoisonCostsTwoUpstreams sends a request that crashes upstreams again and
// again, beside innocent ones.
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
			_, last = w.run(t.Context(), w.hosts[i%3], "poison"+string(rune('0'+i)), "", poison)
		}
		if crashes() > blame.CrashLimit || last.GetReason() != string(calls.ReasonQuarantined) || last.Wait == 0 {
			t.Errorf("%d upstreams were lost, then %v", crashes(), last)
		}
		time.Sleep(runTime)
		blamed := 0
		for _, r := range innocent {
			if r.refuse == nil {
				continue
			}
			blamed++
			if r.id += "again"; r.retry() != nil {
				t.Errorf("an innocent request is refused twice: %v", r.refuse)
			}
			if v, _ := w.book.Judge(blame.FingerprintOf(calls.Request{Route: "book", Workspace: "meadow", Body: []byte(r.body)})); v != blame.VerdictFree {
				t.Errorf("an innocent request stays a suspect: %v", v)
			}
		}
		if blamed != 1 {
			t.Errorf("%d innocent requests were lost, 1 ran beside the first crash", blamed)
		}
	})
}

// TestSuspectsOfOneMomentMeet gives a gate two sendings of a request, each with
// the mark of another upstream that it cost: together they are enough to refuse.
func TestSuspectsOfOneMomentMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "a")
		w.publish(1, []hosts.Name{"a"}, w.hosts...)
		fingerprint := blame.FingerprintOf(calls.Request{Route: "book", Workspace: "meadow", Body: []byte(poison)})
		w.book.Lose(fingerprint, "first")
		first := &runner{world: w, host: w.hosts[0], id: "one", body: poison}
		go first.run()
		time.Sleep(50 * time.Millisecond)
		w.book.Lose(fingerprint, "second")
		_, second := w.run(t.Context(), w.hosts[0], "two", "", poison)
		time.Sleep(runTime)
		synctest.Wait()
		if n := w.hosts[0].service.crashes.Load(); n > 0 || first.refuse == nil || second == nil {
			t.Errorf("%d crashes, %v and %v", n, first.refuse, second)
		}
	})
}

// TestCopiesOfOneCrashCountOnce runs two copies of an innocent request beside one
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
		if _, r := w.run(t.Context(), w.hosts[0], "poison", "", poison); r == nil {
			t.Error("the request that crashes the service was answered")
		}
		time.Sleep(runTime)
		if answer, r := w.run(t.Context(), w.hosts[0], "three", "", "x"); answer != "x" {
			t.Errorf("an innocent request that ran twice beside one crash: %v", r)
		}
	})
}

func (r *runner) retry() *wire.Refused {
	r.run()
	return r.refuse
}

// TestPartsLeaveTogether proves that an answer that is shown whole takes no
// flush for each reply, and that a stream shows its head and its parts at once.
func TestPartsLeaveTogether(t *testing.T) {
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
				w.hosts[0].service.sized.Store(k.sized)
				got, refused := w.run(t.Context(), w.hosts[0], "1", "", "hens")
				if got != "hens" || refused != nil || w.hosts[0].flushes.Load() != k.want {
					t.Errorf("got %q, %v with %d flushes, want %d", got, refused, w.hosts[0].flushes.Load(), k.want)
				}
			})
		})
	}
}

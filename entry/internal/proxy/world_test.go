package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/budget"
	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/intake"
	"currantport.example/core/memnet"
	"currantport.example/core/state"
	"currantport.example/entry/internal/httpd"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/target"
)

// codec is a minimal client and upstream codec.
type codec struct{}

func (codec) ParseRequest(r *http.Request) (calls.Call, *calls.Refusal) {
	if r.Header.Get("Panic") != "" {
		panic("parse")
	}
	c := calls.Call{
		ID: calls.ID(r.Header.Get("Id")), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI,
		Credential: r.Header.Get("Key"), LastEventID: r.Header.Get("After"), Header: http.Header{"Id": r.Header["Id"]},
	}
	if ms, err := strconv.Atoi(r.Header.Get("Timeout")); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	if c.Model = r.Header.Get("Model"); c.Model != "" {
		c.Prompt = 10
	}
	if text := r.Header.Get("Parts"); text != "" {
		c.PromptParts = strings.Split(text, ",")
	}
	return c, nil
}

func (codec) WriteRefusal(w http.ResponseWriter, _ *calls.Call, r *calls.Refusal) {
	w.Header().Set("Outcome", string(r.Outcome))
	w.Header().Set("Wait", r.RetryAfter.String())
	w.WriteHeader(calls.StatusOf(r))
}

func (codec) BuildRequest(c *calls.Call, a calls.Attempt) *conns.Request {
	h := http.Header{
		"Id": {string(c.ID)}, "After": {a.LastEventID}, "Workspace": {a.Workspace}, "Remaining": {a.Remaining.String()},
		"Parts": {strings.Join(c.PromptParts, ",")},
	}
	if a.HasPriority {
		h.Set("Priority", strconv.Itoa(a.Priority))
	}
	return &conns.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: h, Body: c.Body,
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == string(c.ID) },
	}
}

func (codec) ClassifyResponse(_ *calls.Call, status int, h http.Header) calls.Reply {
	if h.Get("Panic") != "" {
		panic("classify")
	}
	r := calls.Reply{Kind: calls.ReplyAnswered, Success: status < 300, Leaving: h.Get("Leaving") != ""}
	switch {
	case h.Get("Not-Run") != "":
		r.Kind, r.Success = calls.ReplyDeclined, false
	case status < 300 && h.Get("Signature") == "":
		r.Kind, r.Success = calls.ReplyMismatched, false
	}
	if text := h.Get("Hold"); text != "" {
		d, err := time.ParseDuration(text)
		if r.RetryAfter = d; err != nil {
			r.RetryAfterInvalid = text
		}
	}
	if left, err := time.ParseDuration(h.Get("Cold")); err == nil {
		r.ColdFor, r.HasCold = left, true
	}
	if text := h.Get("Limit"); text != "" {
		l, err := strconv.ParseFloat(text, 64)
		if r.Limit, r.Limited = l, err == nil; err != nil {
			r.LimitInvalid = text
		}
	}
	return r
}

func (codec) ResponseHeader(h http.Header) http.Header { return h.Clone() }

// brokenWriter panics when a part of the body is written.
type brokenWriter struct{ http.ResponseWriter }

func (brokenWriter) Write([]byte) (int, error) { panic("write") }

// visit is a request that an upstream received.
type visit struct {
	upstream, number int
	id, after        string
	workspace        string
	body             string
	priority         string
	parts            string
	// remaining is the time that the request says is left, at when it was received.
	remaining time.Duration
	at        time.Time
	ended     chan struct{}
	// crash ends the upstream: its connections are closed and new ones refused.
	crash func()
}

// world is an entry with upstreams that follow a script, in a simulated network.
type world struct {
	t       *testing.T
	network *memnet.Network
	conns   *conns.Pool
	crashes *crash.Registry
	fleet   *target.Fleet
	handler *proxy.Handler
	mirror  *feed.Mirror
	// server is the server for clients, if it was started.
	server *httpd.Server
	script func(w io.Writer, v visit)
	scope  tally.TestScope
	// wrap replaces the writer of responses, or is nil.
	wrap func(r http.ResponseWriter) http.ResponseWriter
	// dialed is called with the number of each connection once it is open, or is nil. The entry stands still
	// while it runs.
	dialed func(number int)
	dials  atomic.Int64

	// scripts counts the visits in progress.
	scripts sync.WaitGroup

	mutex  sync.Mutex
	visits []visit
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
}

var entry = netip.MustParseAddr("10.0.0.1")

var routes = []*state.Route{
	{Name: "live", Prefix: "/live/", Stream: true, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "once", Prefix: "/once/", MaxAttempts: 3, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "any", Prefix: "/any/", Idempotent: true, MaxAttempts: 2, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "flow", Prefix: "/flow/", Stream: true, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "rush", Prefix: "/rush/", Stream: true, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "many", Prefix: "/many/", Stream: true, Resumable: true, MaxAttempts: 5, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "gush", Prefix: "/gush/", Stream: true, MaxAttempts: 2, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "stall", Prefix: "/stall/", Stream: true, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, StallTimeout: stallTimeout},
	{Name: "wait", Prefix: "/wait/", Stream: true, Resumable: true, MaxAttempts: 3, Timeout: 6 * time.Second, Objective: 100 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, StallTimeout: stallTimeout},
	{Name: "long", Prefix: "/long/", Stream: true, MaxAttempts: 1, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "slow", Prefix: "/slow/", MaxAttempts: 1, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "slowly", Prefix: "/slowly/", Idempotent: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond},
	{Name: "open", Prefix: "/open/", Idempotent: true, Anonymous: true, MaxAttempts: 1, Timeout: time.Second},
}

// plenty is a retry budget that no test exhausts.
var plenty = budget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}

// play runs a test with a number of upstreams in virtual time.
func play(t *testing.T, upstreams int, script func(w io.Writer, v visit), test func(w *world)) {
	t.Helper()
	playWith(t, upstreams, plenty, script, test)
}

func playWith(t *testing.T, upstreams int, limits budget.Limits, script func(w io.Writer, v visit), test func(w *world)) {
	t.Helper()
	playLogged(t, upstreams, limits, zap.NewNop(), script, test)
}

func playLogged(t *testing.T, upstreams int, limits budget.Limits, log *zap.Logger, script func(w io.Writer, v visit), test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, mirror: feed.NewMirror(), script: script, scope: tally.NewTestScope("", nil)}
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
		w.network = n
		var stops []func()
		for i := range upstreams {
			l, err := n.Listen(address(i))
			if err != nil {
				t.Fatal(err)
			}
			u := &upstream{world: w, number: i, listener: l}
			go u.run()
			stops = append(stops, func() { _ = l.Close() })
		}
		p, stop := conns.New(w.dial, nil)
		w.conns, w.crashes = p, crash.NewRegistry(zap.NewNop())
		regions := map[hosts.Domain]hosts.Region{"d": "r", "e": "s", "f": "s"}
		fleet := target.New(target.Options{
			Entries: func() []hosts.Host { return nil }, Regions: regions, Place: hosts.Place{Region: "r"}, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
		})
		w.fleet = fleet
		w.handler = proxy.New(proxy.Options{
			Mirror: w.mirror, Fleet: fleet, Conns: p, ClientCodec: codec{}, UpstreamCodec: codec{}, Crashes: w.crashes,
			Bounds:      proxy.Bounds{MaxKeyStaleness: 4 * time.Second, MaxMissStaleness: 2 * time.Second},
			RetryLimits: limits, Entries: func() int { return 1 }, BufferBytes: bufferBytes, Bodies: intake.Options{MaxBytes: bodyMemory},
			Random: func() float64 { return 0.5 }, Scope: w.scope, Log: log,
		})
		w.publish(upstreams)
		fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		test(w)
		stop()
		for _, s := range stops {
			s()
		}
		for i := range upstreams {
			n.Kill(address(i).Addr())
		}
		synctest.Wait()
		w.scripts.Wait()
		synctest.Wait()
	})
}

// dial opens a connection of the entry.
func (w *world) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := w.network.Dialer(entry)(ctx, network, address)
	if number := int(w.dials.Add(1)) - 1; err == nil && w.dialed != nil {
		w.dialed(number)
	}
	return c, err
}

func (w *world) publish(upstreams int) {
	w.t.Helper()
	var rows []state.Row
	add := func(r state.Row, err error) {
		if err != nil {
			w.t.Fatal(err)
		}
		r.Revision = w.mirror.Head() + 1
		rows = append(rows, r)
	}
	add(state.EncodeLimits(state.Limits{}))
	add(state.EncodePool(&state.Pool{Name: "p"}))
	add(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"secret"}}))
	for _, r := range routes {
		c := *r
		c.Host, c.Targets = "h", []state.Target{{Pool: "p", Weight: 1}}
		add(state.EncodeRoute(&c))
	}
	for i := range upstreams {
		add(state.EncodeUpstream(&state.Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", Address: address(i), Domain: "d"}))
	}
	if _, err := w.mirror.Apply(feed.Update{Head: w.mirror.Head() + 1, Rows: rows, Full: true, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
		w.t.Fatal(err)
	}
}

// apply applies changed rows to the replica of the entry.
func (w *world) apply(rows ...state.Row) {
	head := w.mirror.Head() + 1
	for i := range rows {
		rows[i].Revision = head
	}
	if _, err := w.mirror.Apply(feed.Update{Head: head, Rows: rows, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
		w.t.Error(err)
	}
}

// reset resets the connections between the entry and the upstream of a visit.
func (w *world) reset(v visit) { w.network.Cut(entry, address(v.upstream).Addr()) }

// response is what a client received. Aborted is true if the connection was aborted.
type response struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (w *world) request(ctx context.Context, path string, headers ...string) response {
	return w.send(ctx, http.MethodPost, path, headers...)
}

func (w *world) send(ctx context.Context, method, path string, headers ...string) (a response) {
	r := httptest.NewRequest(method, "http://h"+path, strings.NewReader("body")).WithContext(ctx)
	r.RequestURI = path
	r.Header = http.Header{"Id": {"q"}, "Key": {"secret"}}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			err, ok := p.(error)
			if a.aborted = ok && errors.Is(err, http.ErrAbortHandler); !a.aborted {
				panic(p)
			}
		}
	}()
	var writer http.ResponseWriter = a
	if w.wrap != nil {
		writer = w.wrap(writer)
	}
	w.handler.ServeHTTP(writer, r)
	return a
}

func (w *world) received() []visit {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]visit(nil), w.visits...)
}

// upstream serves connections by the script of its world.
type upstream struct {
	world    *world
	number   int
	listener net.Listener
}

func (u *upstream) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go (&serverConn{upstream: u, conn: c}).run()
	}
}

func (u *upstream) crash() { _ = u.listener.Close() }

type serverConn struct {
	upstream *upstream
	conn     net.Conn
}

func (c *serverConn) run() {
	defer func() { _ = c.conn.Close() }()
	r := bufio.NewReader(c.conn)
	q, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w := c.upstream.world
	v := visit{
		upstream: c.upstream.number, id: q.Header.Get("Id"), after: q.Header.Get("After"), workspace: q.Header.Get("Workspace"), body: string(body),
		parts: q.Header.Get("Parts"), priority: q.Header.Get("Priority"), ended: make(chan struct{}), crash: c.upstream.crash,
	}
	if v.remaining, err = time.ParseDuration(q.Header.Get("Remaining")); err != nil {
		w.t.Error(err)
	}
	w.mutex.Lock()
	v.number, v.at = len(w.visits), time.Now()
	w.visits = append(w.visits, v)
	w.mutex.Unlock()
	watch := &watch{source: r, ended: v.ended}
	go watch.run()
	w.scripts.Add(1)
	defer w.scripts.Done()
	w.script(c.conn, v)
}

// watch reports when the client closes the connection.
type watch struct {
	source *bufio.Reader
	ended  chan struct{}
}

func (w *watch) run() {
	_, _ = w.source.ReadByte()
	close(w.ended)
}

func good(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func declined(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// answered writes a response with an additional header.
func answered(w io.Writer, id, header string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%s\r\nContent-Length: 2\r\n\r\nok", id, header)
}

// heldBack declines a request and asks for no more of them for the given time.
func heldBack(w io.Writer, id, hold string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nHold: %s\r\nContent-Length: 0\r\n\r\n", id, hold)
}

// begin writes the head of a chunked stream, event one event of it.
func begin(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
}

func event(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func end(w io.Writer) { fmt.Fprint(w, "0\r\n\r\n") }

func numbered(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

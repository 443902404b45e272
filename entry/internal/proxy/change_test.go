package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/entry/internal/httpd"
)

// The times of a request in TestChangeLeavesNoRequestWithoutResponse, from its first byte.
const (
	headSentAt    = 20 * time.Millisecond
	halfBodyAt    = 40 * time.Millisecond
	bodySentAt    = 60 * time.Millisecond
	firstByteAt   = 100 * time.Millisecond
	secondHalfAt  = 140 * time.Millisecond
	requestEndsAt = 180 * time.Millisecond
	nextSentAt    = 250 * time.Millisecond
	// shortTimeout is shorter than a request takes.
	shortTimeout = 100 * time.Millisecond
)

// points are points of the life of a request, as the time at which a change comes.
var points = map[string]time.Duration{
	"head half sent":    10 * time.Millisecond,
	"head sent":         30 * time.Millisecond,
	"body half sent":    50 * time.Millisecond,
	"being dialed":      62 * time.Millisecond,
	"sent":              80 * time.Millisecond,
	"response begun":    120 * time.Millisecond,
	"last part is due":  160 * time.Millisecond,
	"connection idle":   220 * time.Millisecond,
	"next head arrives": nextSentAt + 500*time.Microsecond,
}

// changes are changes of the configuration and of the list of upstreams.
var changes = map[string]func(w *world) []state.Row{
	"route removed": func(w *world) []state.Row { return w.removedRoutes() },
	"route moved":   func(w *world) []state.Row { return w.changedRoutes(func(r *state.Route) { r.Targets[0].Pool = "q" }) },
	"route split": func(w *world) []state.Row {
		return w.changedRoutes(func(r *state.Route) { r.Targets = []state.Target{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 9}} })
	},
	"timeout shorter": func(w *world) []state.Row {
		return w.changedRoutes(func(r *state.Route) { r.Timeout = shortTimeout })
	},
	"timeout longer": func(w *world) []state.Row { return w.changedRoutes(func(r *state.Route) { r.Timeout *= 3 }) },
	"kind changed": func(w *world) []state.Row {
		return w.changedRoutes(func(r *state.Route) { r.Stream, r.Idempotent, r.MaxAttempts = !r.Stream, !r.Idempotent, 1 })
	},
	"key removed": func(*world) []state.Row {
		return []state.Row{encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"other"}}))}
	},
	"workspace removed": func(*world) []state.Row {
		return []state.Row{removed(state.EncodeWorkspace(&state.Workspace{Name: "harbour"})), encoded(state.EncodeWorkspace(&state.Workspace{Name: "quay", Keys: []string{"other"}}))}
	},
	"pool removed": func(w *world) []state.Row {
		return append(w.removedUpstreams(), removed(state.EncodePool(&state.Pool{Name: "p"})))
	},
	"pool becomes one of engines": func(*world) []state.Row {
		return []state.Row{encoded(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{Slots: 4, Stride: 5, StepTime: time.Millisecond, PrefillRate: 1000, Layers: 2}}))}
	},
	"upstreams removed": func(w *world) []state.Row { return w.removedUpstreams() },
	"upstreams drained": func(w *world) []state.Row { return w.changedUpstreams(func(u *state.Upstream) { u.Draining = true }) },
	"addresses taken over": func(w *world) []state.Row {
		return append(w.removedUpstreams(), w.changedUpstreams(func(u *state.Upstream) { u.ID, u.Pool = "n"+u.ID, "q" })...)
	},
	"limits": func(*world) []state.Row {
		return []state.Row{encoded(state.EncodeLimits(state.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}))}
	},
}

// kinds are the paths of one route of each kind.
var kinds = []string{"/once/x", "/any/x", "/flow/x", "/live/x"}

// TestChangeLeavesNoRequestWithoutResponse changes the configuration at each point of the life of a
// request, and once more shortly after.
func TestChangeLeavesNoRequestWithoutResponse(t *testing.T) {
	t.Parallel()
	for point, at := range points {
		for name, change := range changes {
			for second, next := range map[string]func(w *world) []state.Row{"": nil, ", undone": (*world).originalRows, ", then limits": changes["limits"]} {
				for _, path := range kinds {
					c := changeCase{at: at, path: path, change: change, next: next, shortens: name == "timeout shorter"}
					if c.shortens && at < headSentAt {
						continue
					}
					t.Run(fmt.Sprintf("%s%s, %s, %s", name, second, point, strings.Split(path, "/")[1]), c.run)
				}
			}
		}
	}
}

// TestChangeLeavesNoPipelinedRequestWithoutResponse has the next request arrive while the first one
// is in progress.
func TestChangeLeavesNoPipelinedRequestWithoutResponse(t *testing.T) {
	for name, change := range changes {
		for _, path := range kinds {
			c := changeCase{at: 20 * time.Millisecond, path: path, change: change, shortens: name == "timeout shorter"}
			t.Run(name+", "+strings.Split(path, "/")[1], c.runPipelined)
		}
	}
}

func (c *changeCase) runPipelined(t *testing.T) {
	play(t, 2, halves, func(w *world) {
		front := w.serve()
		defer front.stop()
		time.AfterFunc(c.at, func() { front.apply(c.change(w)) })
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		fmt.Fprint(conn, wholeRequest(c.path, "first")+wholeRequest(c.path, "next"))
		r := bufio.NewReader(conn)
		c.checkResponse(t, r, "first", true)
		if !c.shortens {
			c.checkResponse(t, r, "next", false)
		}
		time.Sleep(5 * time.Second)
		c.checkRuns(t, w)
	})
}

// TestChangeLeavesNoWaitingRequestWithoutResponse has a request wait for the only place of an engine.
func TestChangeLeavesNoWaitingRequestWithoutResponse(t *testing.T) {
	t.Parallel()
	for name, change := range changes {
		for second, next := range map[string]func(w *world) []state.Row{"": nil, ", undone": (*world).waitingRows} {
			for _, path := range kinds {
				c := changeCase{at: 60 * time.Millisecond, path: path, change: change, next: next}
				t.Run(name+second+", "+strings.Split(path, "/")[1], c.runWaiting)
			}
		}
	}
}

func (c *changeCase) runWaiting(t *testing.T) {
	play(t, 2, halves, func(w *world) {
		front := w.serve()
		defer front.stop()
		front.apply(w.waitingRows())
		time.AfterFunc(c.at, func() { front.apply(c.change(w)) })
		if c.next != nil {
			time.AfterFunc(c.at+20*time.Millisecond, func() { front.apply(c.next(w)) })
		}
		first, next := front.dial(), front.dial()
		fmt.Fprint(first, wholeRequest(c.path, "first"))
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(next, wholeRequest(c.path, "next"))
		c.checkResponse(t, bufio.NewReader(first), "first", true)
		c.checkResponse(t, bufio.NewReader(next), "next", false)
		_, _ = first.Close(), next.Close()
		time.Sleep(5 * time.Second)
		c.checkRuns(t, w)
	})
}

// waitingRows returns rows with one engine of one place, for which requests may wait a second.
func (w *world) waitingRows() []state.Row {
	rows := w.changedRoutes(func(r *state.Route) { r.Objective = 8 * time.Second })
	rows = append(rows, w.changedUpstreams(func(u *state.Upstream) {
		u.Slots, u.Held = 1, []state.HeldVersion{{Model: "m", Version: 1, Whole: u.ID == "u0"}}
	})...)
	engine := &state.Engine{Slots: 1, Stride: 5, StepTime: time.Millisecond, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}, Layers: 2}
	return append(rows, encoded(state.EncodePool(&state.Pool{Name: "p", Engine: engine})),
		encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"secret"}})))
}

// changeCase is a case of TestChangeLeavesNoRequestWithoutResponse.
type changeCase struct {
	at     time.Duration
	path   string
	change func(w *world) []state.Row
	// next is the change that follows, or nil.
	next func(w *world) []state.Row
	// refused are the requests whose response says that they haven't run.
	refused []string
	// shortens is set if requests that come after the change time out.
	shortens bool
}

func (c *changeCase) run(t *testing.T) {
	play(t, 2, halves, func(w *world) {
		front := w.serve()
		defer front.stop()
		time.AfterFunc(c.at, func() { front.apply(c.change(w)) })
		if c.next != nil {
			time.AfterFunc(c.at+50*time.Millisecond, func() { front.apply(c.next(w)) })
		}
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		go (&halvesSender{conn: conn, path: c.path}).run()
		c.checkResponse(t, r, "first", c.at > bodySentAt)
		if took := clocks.Since(front.began); took > requestEndsAt+50*time.Millisecond {
			t.Errorf("the response took %v", took)
		}
		time.Sleep(nextSentAt - clocks.Since(front.began))
		fmt.Fprint(conn, wholeRequest(c.path, "next"))
		if !c.shortens {
			c.checkResponse(t, r, "next", false)
		}
		time.Sleep(5 * time.Second)
		c.checkRuns(t, w)
	})
}

// checkResponse reads a response, which must be whole. If it must have run, it must be that of an
// upstream; otherwise it may be a refusal, if that is true.
func (c *changeCase) checkResponse(t *testing.T, r *bufio.Reader, id string, mustRun bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("%s: no response: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		t.Errorf("%s: cut after %q: %v", id, body, err)
	case response.StatusCode == http.StatusOK:
		if string(body) != numbered(1)+numbered(2) || response.Header.Get("Id") != id {
			t.Errorf("%s: %q of %q", id, body, response.Header.Get("Id"))
		}
	case mustRun:
		t.Errorf("%s: status %d", id, response.StatusCode)
	case response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusServiceUnavailable:
		t.Errorf("%s: status %d", id, response.StatusCode)
	default:
		c.refused = append(c.refused, id)
	}
}

// runs returns the number of upstreams that have received the request.
func (w *world) runs(id string) int {
	n := 0
	for _, v := range w.received() {
		if v.id == id {
			n++
		}
	}
	return n
}

// checkRuns checks that requests that may run once did, and refused ones never.
func (c *changeCase) checkRuns(t *testing.T, w *world) {
	t.Helper()
	for _, id := range []string{"first", "next"} {
		if n := w.runs(id); n > 1 && (c.path == "/once/x" || c.path == "/live/x") {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	for _, id := range c.refused {
		if n := w.runs(id); n > 0 {
			t.Errorf("%s ran %d times after a refusal", id, n)
		}
	}
}

// halves writes a response in two halves.
func halves(w io.Writer, v visit) {
	time.Sleep(firstByteAt - bodySentAt)
	begin(w, v.id)
	event(w, numbered(1))
	time.Sleep(secondHalfAt - firstByteAt)
	event(w, numbered(2))
	time.Sleep(requestEndsAt - secondHalfAt)
	end(w)
}

// halvesSender sends a request in parts.
type halvesSender struct {
	conn io.Writer
	path string
}

func (s *halvesSender) run() {
	text := wholeRequest(s.path, "first")
	head := strings.Index(text, "\r\n\r\n") + 4
	for _, part := range []string{text[:head/2], text[head/2 : head], text[head : head+2], text[head+2:]} {
		fmt.Fprint(s.conn, part)
		time.Sleep(headSentAt)
	}
}

func wholeRequest(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: secret\r\nModel: m\r\nContent-Length: 4\r\n\r\nbody", path, id)
}

// front is the entry of a world with its server for clients.
type front struct {
	world  *world
	server *httpd.Server
	stop   func()
	// closeServer closes all connections of clients.
	closeServer func()
	began       time.Time
}

// drainTime and shutdownTime are those of an entry that may take 8 s to stop.
const (
	drainTime    = 3 * time.Second
	shutdownTime = 7400 * time.Millisecond
)

var frontAddress = netip.AddrPortFrom(entry, 80)

// serve puts the server for clients before the handler of the world, and adds a second pool.
func (w *world) serve() *front {
	w.t.Helper()
	l, err := w.network.Listen(frontAddress)
	if err != nil {
		w.t.Fatal(err)
	}
	s, stop := httpd.New(httpd.Options{
		Listener: l, Handler: w.handler, Refuse: w.handler.RefusalHandler(), Refusing: w.handler.EndWaits, Ending: w.handler.EndRequests,
		DrainTime: drainTime, ShutdownTimeout: shutdownTime, Log: zap.NewNop(),
	})
	f := &front{world: w, server: s, closeServer: sync.OnceFunc(stop), began: clocks.Now()}
	f.stop = func() {
		f.closeServer()
		synctest.Wait()
		w.network.Kill(entry)
		synctest.Wait()
	}
	f.apply([]state.Row{
		encoded(state.EncodePool(&state.Pool{Name: "q"})), encoded(state.EncodeUpstream(&state.Upstream{ID: "v", Pool: "q", Address: address(1), Domain: "d"})),
	})
	return f
}

// apply applies rows as the parts of an entry do.
func (f *front) apply(rows []state.Row) {
	w := f.world
	w.apply(rows...)
	s := w.mirror.Snapshot()
	f.server.SetLimits(s.Limits)
	for _, r := range rows {
		if id, ok := strings.CutPrefix(r.Key, "upstream/p/"); ok && r.Value == nil {
			w.crashes.RecordCrash(id, "removed from the table")
		}
	}
	gone := make(map[netip.AddrPort]bool)
	for _, a := range w.fleet.ApplySnapshot(clocks.Now(), s) {
		gone[a] = true
	}
	w.conns.CloseRemoved(func(a netip.AddrPort) bool { return gone[a] })
}

func (f *front) dial() net.Conn {
	f.world.t.Helper()
	c, err := f.world.network.Dialer(netip.MustParseAddr("10.0.2.1"))(context.Background(), "tcp", frontAddress.String())
	if err != nil {
		f.world.t.Fatal(err)
	}
	return c
}

func removed(r state.Row, err error) state.Row {
	r = encoded(r, err)
	r.Value = nil
	return r
}

// changedRoutes returns the rows of all routes with a change.
func (w *world) changedRoutes(change func(r *state.Route)) []state.Row {
	var rows []state.Row
	for _, r := range routes {
		c := *r
		c.Host, c.Targets = "h", []state.Target{{Pool: "p", Weight: 1}}
		change(&c)
		rows = append(rows, encoded(state.EncodeRoute(&c)))
	}
	return rows
}

func (w *world) removedRoutes() []state.Row {
	var rows []state.Row
	for _, r := range w.changedRoutes(func(*state.Route) {}) {
		r.Value = nil
		rows = append(rows, r)
	}
	return rows
}

// changedUpstreams returns the rows of the two upstreams with a change.
func (w *world) changedUpstreams(change func(u *state.Upstream)) []state.Row {
	var rows []state.Row
	for i := range 2 {
		u := &state.Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", Address: address(i), Domain: "d"}
		change(u)
		rows = append(rows, encoded(state.EncodeUpstream(u)))
	}
	return rows
}

func (w *world) removedUpstreams() []state.Row {
	var rows []state.Row
	for _, r := range w.changedUpstreams(func(*state.Upstream) {}) {
		r.Value = nil
		rows = append(rows, r)
	}
	return rows
}

// originalRows returns the rows that changes replace, as they were.
func (w *world) originalRows() []state.Row {
	rows := w.changedRoutes(func(*state.Route) {})
	rows = append(rows, w.changedUpstreams(func(*state.Upstream) {})...)
	return append(rows, encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"secret"}})),
		encoded(state.EncodePool(&state.Pool{Name: "p"})), encoded(state.EncodeLimits(state.Limits{})))
}

// TestBodyThatIsLateIsNotRun has a client send half of a body until the timeout of the route.
func TestBodyThatIsLateIsNotRun(t *testing.T) {
	for _, path := range kinds {
		play(t, 1, halves, func(w *world) {
			front := w.serve()
			defer front.stop()
			conn := front.dial()
			defer func() { _ = conn.Close() }()
			text := wholeRequest(path, "first")
			fmt.Fprint(conn, text[:len(text)-2])
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Errorf("%s: %v", path, err)
				return
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get("Outcome") != string(calls.OutcomeNotRun) {
				t.Errorf("%s: status %d, %s", path, response.StatusCode, response.Header.Get("Outcome"))
			}
		})
	}
}

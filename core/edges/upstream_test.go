package edges_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/edges"
	"currantport.example/core/engine"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
)

var (
	agentAt    = netip.MustParseAddr("10.0.0.1")
	upstreamAt = netip.MustParseAddrPort("10.0.0.2:80")
)

// upstream serves requests by a function and counts them.
type upstream struct {
	served atomic.Int32
	serve  func(w http.ResponseWriter, r *http.Request)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.served.Add(1)
	w.Header().Set(edges.HeaderID, r.Header.Get(edges.HeaderID))
	u.serve(w, r)
}

func cut(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// endless sends an answer whose end can't be told from a cut.
func endless(w http.ResponseWriter, r *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get(edges.HeaderID)+"\r\n\r\npart")
	_ = c.Close()
}

func short(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	cut(w, r)
}

func status(code int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// kind sorts the end of a run.
func kind(a engine.Response, err error) string {
	var unsent *engine.NotStartedError
	var lost *engine.ConnectionLostError
	switch {
	case errors.As(err, &unsent):
		return "unsent"
	case errors.As(err, &lost):
		return "lost"
	case err != nil:
		return "unknown"
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return "cut"
	}
	return "answered"
}

func TestUpstreamProofs(t *testing.T) {
	foreign := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(edges.HeaderID, "other") }
	cases := []struct {
		name   string
		serve  func(http.ResponseWriter, *http.Request)
		plain  string
		engine string
		// runs is how often the upstream sees the request.
		runs int32
	}{
		{"absent", nil, "unsent", "unsent", 0},
		{"answered", status(http.StatusOK), "answered", "answered", 1},
		{"failed", status(http.StatusInternalServerError), "answered", "answered", 1},
		{"refused", status(http.StatusServiceUnavailable), "answered", "unsent", 1},
		{"busy", status(http.StatusTooManyRequests), "answered", "unsent", 1},
		{"cut", cut, "lost", "lost", 1},
		{"short", short, "cut", "cut", 1},
		{"endless", endless, "unknown", "unknown", 1},
		{"foreign", foreign, "unknown", "unknown", 1},
		{"moved", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, "answered", "answered", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New(nil)
				u := &upstream{serve: status(http.StatusOK)}
				client, closeIdle := links.NewClient(n.Dialer(agentAt))
				defer closeIdle()
				base := url.URL{Scheme: "http", Host: upstreamAt.String()}
				services := map[string]engine.Service{c.plain: edges.NewPlain(client, base)}
				if c.engine != c.plain {
					services[c.engine] = edges.NewEngine(client, base)
				}
				if c.serve != nil {
					l := listen(t, n)
					stop := links.Serve(l, u, zap.NewNop(), time.Second)
					defer stop()
				}
				request := calls.Request{ID: "one", Route: "book", Key: "k", Deadline: time.Now().Add(time.Second)}
				for want, s := range services {
					// A connection that is kept from an earlier request must not be used.
					u.serve = status(http.StatusOK)
					_, _ = s.Run(t.Context(), request)
					u.serve = c.serve
					before := u.served.Load()
					if got := kind(s.Run(t.Context(), request)); got != want {
						t.Errorf("%T: got %s, want %s", s, got, want)
					}
					if runs := u.served.Load() - before; runs != c.runs {
						t.Errorf("%T: the upstream saw the request %d times", s, runs)
					}
				}
			})
		})
	}
}

func listen(t *testing.T, n *memnet.Network) net.Listener {
	t.Helper()
	l, err := n.Listen(upstreamAt)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

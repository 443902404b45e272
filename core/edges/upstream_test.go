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

// upstream serves requests with a function and counts them.
type upstream struct {
	served atomic.Int32
	serve  func(w http.ResponseWriter, r *http.Request)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.served.Add(1)
	w.Header().Set(edges.HeaderID, r.Header.Get(edges.HeaderID))
	u.serve(w, r)
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// respondWithoutLength sends a response whose end can't be distinguished from a broken
// connection.
func respondWithoutLength(w http.ResponseWriter, r *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get(edges.HeaderID)+"\r\n\r\npart")
	_ = c.Close()
}

func respondTruncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	closeConnection(w, r)
}

func respondWithStatus(code int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// outcomeOf classifies the result of Run.
func outcomeOf(response engine.Response, err error) string {
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
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut"
	}
	return "answered"
}

func TestRunClassifiesErrors(t *testing.T) {
	foreign := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(edges.HeaderID, "other") }
	cases := []struct {
		name   string
		serve  func(http.ResponseWriter, *http.Request)
		plain  string
		engine string
		// runs is how often the upstream receives the request.
		runs int32
	}{
		{"absent", nil, "unsent", "unsent", 0},
		{"answered", respondWithStatus(http.StatusOK), "answered", "answered", 1},
		{"failed", respondWithStatus(http.StatusInternalServerError), "answered", "answered", 1},
		{"refused", respondWithStatus(http.StatusServiceUnavailable), "answered", "unsent", 1},
		{"busy", respondWithStatus(http.StatusTooManyRequests), "answered", "unsent", 1},
		{"cut", closeConnection, "lost", "lost", 1},
		{"short", respondTruncated, "cut", "cut", 1},
		{"endless", respondWithoutLength, "unknown", "unknown", 1},
		{"foreign", foreign, "unknown", "unknown", 1},
		{"moved", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, "answered", "answered", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memnet.New(nil)
				u := &upstream{serve: respondWithStatus(http.StatusOK)}
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
					// A kept-alive connection of an earlier request must not be reused.
					u.serve = respondWithStatus(http.StatusOK)
					_, _ = s.Run(t.Context(), request)
					u.serve = c.serve
					before := u.served.Load()
					if got := outcomeOf(s.Run(t.Context(), request)); got != want {
						t.Errorf("%T: got %s, want %s", s, got, want)
					}
					if runs := u.served.Load() - before; runs != c.runs {
						t.Errorf("%T: the upstream received the request %d times", s, runs)
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

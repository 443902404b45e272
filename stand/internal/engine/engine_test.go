package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gorilla/mux"

	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	core "currantport.example/core/engine"
	"currantport.example/stand/internal/engine"
)

// weightServer serves a base and an adapter and counts the reads. If broken, it
// aborts the response of every file.
type weightServer struct {
	reads  atomic.Int64
	broken bool
}

func (w *weightServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.reads.Add(1)
	switch {
	case w.broken && !strings.HasSuffix(r.URL.Path, "/"):
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/base/":
		_, _ = rw.Write([]byte("a\nb\n"))
	case r.URL.Path == "/adapter/":
		_, _ = rw.Write([]byte("b\n"))
	default:
		_, _ = rw.Write([]byte(r.URL.Path))
	}
}

func startServer(t *testing.T, h http.Handler) url.URL {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	u, err := url.Parse(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	return *u
}

func TestOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		w := &weightServer{}
		at := startServer(t, w)
		r := mux.NewRouter()
		engine.New(engine.Options{Fenced: fenced}, http.DefaultClient).Register(r)
		e := edges.NewEngine(http.DefaultClient, startServer(t, r))
		order := core.Order{
			Fence: 5, Model: "writer", Version: "tuned", Manifest: chunks.Digest{2}, Base: chunks.Digest{1},
			Role: "drafts", Files: *at.JoinPath("adapter/"), BaseFiles: *at.JoinPath("base/"),
		}
		loadAndCheck(t, e, order)
		reads := w.reads.Load()
		order.Fence, order.Role = 6, "checks"
		loadAndCheck(t, e, order)
		if w.reads.Load() != reads {
			t.Errorf("a change of the role caused %d reads", w.reads.Load()-reads)
		}
		old := order
		old.Fence, old.Version, old.Role = 4, "old", ""
		if err := e.Load(context.Background(), old); (err == nil) == fenced {
			t.Errorf("fenced=%t: an order with an outdated fencing token returned %v", fenced, err)
		}
		w.broken = true
		order.Fence, order.Manifest = 7, chunks.Digest{3}
		if err := e.Load(context.Background(), order); err == nil {
			t.Error("an order succeeded although the files were truncated")
		}
		if s, err := e.State(context.Background()); err != nil || s.Loading || !s.Manifest.IsZero() {
			t.Errorf("after a failed load the engine reports %+v, %v", s, err)
		}
	}
}

// loadAndCheck sends an order and compares the state of the engine with it.
func loadAndCheck(t *testing.T, e *edges.Engine, o core.Order) {
	t.Helper()
	if err := e.Load(context.Background(), o); err != nil {
		t.Fatal(err)
	}
	s, err := e.State(context.Background())
	if err != nil || s.Fence != o.Fence || s.Version != o.Version || s.Manifest != o.Manifest || s.Base != o.Base || s.Role != o.Role {
		t.Errorf("the engine reports %+v, %v, after %+v", s, err, o)
	}
}

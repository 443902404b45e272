package memnet_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/links"
	"currantport.example/core/memnet"
)

var (
	near = netip.MustParseAddr("10.0.0.1")
	far  = netip.MustParseAddrPort("10.0.0.2:80")
)

// get asks the far host for a megabyte and returns how long that took.
func get(t *testing.T, n *memnet.Network, between func()) (time.Duration, error) {
	t.Helper()
	l, err := n.Listen(far)
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		between()
		_, _ = w.Write(make([]byte, 1<<20))
	})
	stop := links.Serve(l, handler, zap.NewNop(), time.Second)
	defer stop()
	client, closeIdle := links.NewPeerClient(n.Dialer(near))
	defer closeIdle()
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+far.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := client.Do(r)
	if err != nil {
		return time.Since(start), err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return time.Since(start), err
}

func TestLinkLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &memnet.Link{Rate: 1 << 20}
		n := memnet.New(func(from, _ netip.Addr) memnet.Path {
			if from == near {
				return memnet.Path{}
			}
			return memnet.Path{Delay: time.Millisecond, Links: []*memnet.Link{slow}}
		})
		took, err := get(t, n, func() {})
		if err != nil || took < time.Second || took > 1100*time.Millisecond {
			t.Errorf("a megabyte over a link of a megabyte a second took %s, error %v", took, err)
		}
	})
}

func TestSilentConnectionIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		took, err := get(t, n, func() { n.SilenceOpen(near, far.Addr()) })
		if err == nil || took > 3*time.Second {
			t.Errorf("the silence was found after %s, error %v", took, err)
		}
	})
}

func TestKilledHostRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		if _, err := get(t, n, func() { n.Kill(far.Addr()) }); err == nil {
			t.Error("a killed host answered")
		}
		if _, err := n.Dialer(near)(t.Context(), "tcp", far.String()); err == nil {
			t.Error("a killed host took a connection")
		}
	})
}

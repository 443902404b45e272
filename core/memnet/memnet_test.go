package memnet_test

import (
	"context"
	"errors"
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
	clientAddr = netip.MustParseAddr("10.0.0.1")
	serverAddr = netip.MustParseAddrPort("10.0.0.2:80")
)

// download requests 1 MiB from the server and returns how long that took. The
// handler calls duringResponse before it writes the body.
func download(t *testing.T, n *memnet.Network, duringResponse func()) (time.Duration, error) {
	t.Helper()
	l, err := n.Listen(serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		duringResponse()
		_, _ = w.Write(make([]byte, 1<<20))
	})
	stop := links.Serve(l, handler, zap.NewNop(), time.Second)
	defer stop()
	client, closeIdle := links.NewPeerClient(n.Dialer(clientAddr))
	defer closeIdle()
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+serverAddr.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := client.Do(r)
	if err != nil {
		return time.Since(start), err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return time.Since(start), err
}

func TestLinkLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &memnet.Link{Rate: 1 << 20}
		n := memnet.New(func(from, _ netip.Addr) memnet.Path {
			if from == clientAddr {
				return memnet.Path{}
			}
			return memnet.Path{Delay: time.Millisecond, Links: []*memnet.Link{slow}}
		})
		took, err := download(t, n, func() {})
		if err != nil || took < time.Second || took > 1100*time.Millisecond {
			t.Errorf("1 MiB over a link of 1 MiB per second took %s, error %v", took, err)
		}
	})
}

func TestSilentConnectionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		took, err := download(t, n, func() { n.SilenceOpen(clientAddr, serverAddr.Addr()) })
		if err == nil || took > 3*time.Second {
			t.Errorf("the silent connection was detected after %s, error %v", took, err)
		}
	})
}

func TestKilledHostRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		if _, err := download(t, n, func() { n.Kill(serverAddr.Addr()) }); err == nil {
			t.Error("a killed host responded")
		}
		if _, err := n.Dialer(clientAddr)(t.Context(), "tcp", serverAddr.String()); err == nil {
			t.Error("a killed host accepted a connection")
		}
	})
}

// TestClosedListenerResetsConnectionsThatWereNotAccepted guards against clients that wait forever.
func TestClosedListenerResetsConnectionsThatWereNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		l, err := n.Listen(serverAddr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := n.Dialer(clientAddr)(context.Background(), "tcp", serverAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("a read got %v", err)
		}
		_ = c.Close()
	})
}

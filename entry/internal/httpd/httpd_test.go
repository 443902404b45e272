package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"currantport.example/core/memnet"
	"currantport.example/core/state"
	"currantport.example/entry/internal/httpd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var clientAddress = netip.MustParseAddrPort("10.0.0.1:80")

// slow responds after a second.
func slow(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(time.Second)
	_, _ = w.Write([]byte("done"))
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// client sends requests over one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) request() (int, bool, error) {
	if _, err := fmt.Fprint(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, false, err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer r.Body.Close()
	return r.StatusCode, r.Close, nil
}

// play runs a test against a server in virtual time.
func play(t *testing.T, test func(s *httpd.Server, connect func() *client)) {
	t.Helper()
	options := func(l net.Listener) httpd.Options {
		return httpd.Options{Listener: l, Handler: http.HandlerFunc(respondByMethod), Refuse: http.HandlerFunc(refuse)}
	}
	playWith(t, options, func(s *httpd.Server, connect func() *client, _ func()) { test(s, connect) })
}

// playWith runs a test against a server with the handlers of the options, which are made in virtual time.
// Stop closes the server.
func playWith(t *testing.T, options func(l net.Listener) httpd.Options, test func(s *httpd.Server, connect func() *client, stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
		l, err := n.Listen(clientAddress)
		if err != nil {
			t.Fatal(err)
		}
		o := options(l)
		o.DrainTime, o.ShutdownTimeout, o.Log = drainTime, 7*time.Second, zap.NewNop()
		s, stop := httpd.New(o)
		stop = sync.OnceFunc(stop)
		dial := n.Dialer(netip.MustParseAddr("10.0.0.2"))
		test(s, func() *client {
			c, err := dial(context.Background(), "tcp", clientAddress.String())
			if err != nil {
				return nil
			}
			return &client{conn: c, reader: bufio.NewReader(c)}
		}, stop)
		stop()
		n.Kill(clientAddress.Addr())
		n.Kill(netip.MustParseAddr("10.0.0.2"))
		synctest.Wait()
	})
}

// TestGracefulShutdownAbortsNoRequest has clients that cached the address send requests during
// the whole shutdown.
func TestGracefulShutdownAbortsNoRequest(t *testing.T) {
	play(t, func(s *httpd.Server, connect func() *client) {
		cached := connect()
		if status, closes, err := cached.request(); err != nil || status != http.StatusOK || closes {
			t.Fatalf("%d, closes %t, %v", status, closes, err)
		}
		cut := make(chan int, 1)
		began := time.Now()
		go func() { cut <- s.Stop(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		if status, closes, err := cached.request(); err != nil || status != http.StatusOK || !closes {
			t.Errorf("a cached connection: %d, closes %t, %v", status, closes, err)
		}
		if status, _, err := connect().request(); err != nil || status != http.StatusOK {
			t.Errorf("a new connection while clients still cache the address: %d, %v", status, err)
		}
		if n := <-cut; n != 0 {
			t.Errorf("%d requests were cut", n)
		}
		if took := time.Since(began); took > 7*time.Second {
			t.Errorf("the shutdown took %v", took)
		}
		if c := connect(); c != nil {
			t.Error("a server that was shut down accepts connections")
		}
	})
}

// TestLimitChangeKeepsConnections changes the limits during a request.
func TestLimitChangeKeepsConnections(t *testing.T) {
	play(t, func(s *httpd.Server, connect func() *client) {
		kept := connect()
		time.AfterFunc(500*time.Millisecond, func() { s.SetLimits(state.Limits{HeaderBytes: 4096, IdleTimeout: 2 * time.Second}) })
		for range 3 {
			if status, _, err := kept.request(); err != nil || status != http.StatusOK {
				t.Errorf("%d, %v", status, err)
			}
		}
		fresh := connect()
		if status, _, err := fresh.request(); err != nil || status != http.StatusOK {
			t.Errorf("%d, %v", status, err)
		}
		time.Sleep(1900 * time.Millisecond)
		if status, _, err := fresh.request(); err != nil || status != http.StatusOK {
			t.Errorf("idle for less than the limit: %d, %v", status, err)
		}
		time.Sleep(3 * time.Second)
		if _, _, err := fresh.request(); err == nil {
			t.Error("a connection that was idle for longer than the limit is served")
		}
	})
}

// TestSeriesOfLimitChangesDropsNoConnection has clients connect while the limits change many times.
func TestSeriesOfLimitChangesDropsNoConnection(t *testing.T) {
	play(t, func(s *httpd.Server, connect func() *client) {
		flap := func() {
			for n := range 20 {
				s.SetLimits(state.Limits{HeaderBytes: 4096 + n, IdleTimeout: 2 * time.Second})
				runtime.Gosched()
			}
		}
		for i := range 500 {
			go flap()
			c := connect()
			if status, _, err := c.request(); err != nil || status != http.StatusOK {
				t.Errorf("%d: %d, %v", i, status, err)
			}
			_ = c.conn.Close()
		}
	})
}

// TestLimitChangesDoNotPileUp changes the limits as often as configurations change in half a day.
func TestLimitChangesDoNotPileUp(t *testing.T) {
	const changes, maxGrowth = 17500, 1 << 20
	play(t, func(s *httpd.Server, connect func() *client) {
		kept := connect()
		heap := func() uint64 {
			synctest.Wait()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		for n := range changes {
			s.SetLimits(state.Limits{HeaderBytes: 4096 + n})
			synctest.Wait()
		}
		if after := heap(); after > before+maxGrowth {
			t.Errorf("the heap grew by %d KiB", (after-before)>>10)
		}
		if status, _, err := kept.request(); err != nil || status != http.StatusOK {
			t.Errorf("a connection from before: %d, %v", status, err)
		}
	})
}

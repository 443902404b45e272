package links_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/links"
	"currantport.example/core/memnet"
)

const maxConns = 8

// playBounded runs a test against a server with a bound on its connections.
func playBounded(t *testing.T, test func(dial func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
		l, err := n.Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		stop := links.ServeBounded(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), maxConns, zap.NewNop(), time.Second)
		test(func() net.Conn {
			c, err := n.Dialer(clientAddress)(context.Background(), "tcp", serverAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			return c
		})
		stop()
		n.Kill(clientAddress)
		n.Kill(serverAddress.Addr())
		synctest.Wait()
	})
}

func get(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", r.StatusCode)
	}
	return err
}

// TestUnusedConnectionsGiveWay opens more connections than the server keeps, with nothing or a part of a head on each,
// and has other clients send requests on new connections and on one that they keep.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	for _, text := range []string{"", "GET / HT"} {
		playBounded(t, func(dial func() net.Conn) {
			kept := dial()
			for range 5 {
				for range maxConns - 1 {
					if c := dial(); text != "" {
						fmt.Fprint(c, text)
					}
				}
				time.Sleep(100 * time.Millisecond)
				if err := get(dial()); err != nil {
					t.Errorf("%q: a new connection: %v", text, err)
				}
			}
			if err := get(kept); err == nil {
				t.Errorf("%q: the connection that was unused for the longest time is open", text)
			}
		})
	}
}

func TestUsedConnectionsAreKept(t *testing.T) {
	playBounded(t, func(dial func() net.Conn) {
		kept := dial()
		for range 5 * maxConns {
			if err := get(kept); err != nil {
				t.Fatal(err)
			}
			dial()
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestBoundedServerSpeaksNoHTTP2 has a client begin with the preface of HTTP/2.
func TestBoundedServerSpeaksNoHTTP2(t *testing.T) {
	playBounded(t, func(dial func() net.Conn) {
		c := dial()
		fmt.Fprint(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if text, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 ") {
			t.Errorf("%q, %v", text, err)
		}
	})
}

package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/entry/internal/httpd"
)

const maxConns = 5

// playBounded runs a test against a server with a bound on its connections.
func playBounded(t *testing.T, test func(connect func() *client)) {
	t.Helper()
	options := func(l net.Listener) httpd.Options {
		return httpd.Options{Listener: l, Handler: http.HandlerFunc(slow), Refuse: http.HandlerFunc(refuse), MaxConns: maxConns}
	}
	playWith(t, options, func(_ *httpd.Server, connect func() *client, _ func()) { test(connect) })
}

// isClosed reports whether the server closes the connection before the timeout.
func (c *client) isClosed(timeout time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := c.reader.ReadByte()
	return err == io.EOF || err != nil && !strings.Contains(err.Error(), "timeout")
}

// TestUnusedConnectionsGiveWayToNewOnes opens connections with nothing, a part of a head and a response each.
func TestUnusedConnectionsGiveWayToNewOnes(t *testing.T) {
	for name, use := range map[string]func(c *client){
		"nothing": func(*client) {},
		"head":    func(c *client) { fmt.Fprint(c.conn, "GET / HT") },
		"idle": func(c *client) {
			if status, _, err := c.request(); err != nil || status != http.StatusOK {
				t.Errorf("idle: %d, %v", status, err)
			}
		},
	} {
		playBounded(t, func(connect func() *client) {
			var unused []*client
			for range maxConns {
				c := connect()
				use(c)
				unused = append(unused, c)
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(600 * time.Millisecond)
			for i := range 2 * maxConns {
				if status, _, err := connect().request(); err != nil || status != http.StatusOK {
					t.Errorf("%s, connection %d: %d, %v", name, i, status, err)
				}
			}
			for i, c := range unused {
				if !c.isClosed(100 * time.Millisecond) {
					t.Errorf("%s: connection %d is still open", name, i)
				}
			}
		})
	}
}

// TestConnectionsWithRequestsAreKept has more clients send a request at once than the server takes.
func TestConnectionsWithRequestsAreKept(t *testing.T) {
	playBounded(t, func(connect func() *client) {
		results := make(chan error, maxConns)
		for range maxConns {
			c := connect()
			go func() {
				status, _, err := c.request()
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("status %d", status)
				}
				results <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if !connect().isClosed(100 * time.Millisecond) {
			t.Error("a connection above the bound is open")
		}
		for range maxConns {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
	})
}

package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/entry/internal/httpd"
)

// trickle sends a byte every 50 ms until the connection is closed, and reports when that was.
type trickle struct {
	conn  io.Writer
	text  string
	ended chan time.Time
}

func (k *trickle) run() {
	for {
		if _, err := io.WriteString(k.conn, k.text); err != nil {
			k.ended <- time.Now()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestUnreadBodyHoldsNoResponseUp refuses a request whose body doesn't end.
func TestUnreadBodyHoldsNoResponseUp(t *testing.T) {
	for framing, text := range map[string]string{"Content-Length: 100000": "x", "Transfer-Encoding: chunked": "1\r\nx\r\n"} {
		play(t, func(_ *httpd.Server, connect func() *client) {
			began := time.Now()
			c := connect()
			fmt.Fprintf(c.conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", framing)
			k := &trickle{conn: c.conn, text: text, ended: make(chan time.Time, 1)}
			go k.run()
			time.AfterFunc(10*time.Second, func() { _ = c.conn.Close() })
			r, err := http.ReadResponse(c.reader, nil)
			if took := time.Since(began); err != nil || r.StatusCode != http.StatusServiceUnavailable || took > 1500*time.Millisecond {
				t.Errorf("%s: %v after %v", framing, err, took)
			}
			if err == nil {
				_ = r.Body.Close()
			}
			if took := (<-k.ended).Sub(began); took > 3*time.Second {
				t.Errorf("%s: the connection was closed after %v", framing, took)
			}
		})
	}
}

// TestEndlessHeadOfClientIsCutOff sends a head without end.
func TestEndlessHeadOfClientIsCutOff(t *testing.T) {
	for _, start := range []string{"", "GET / HTTP/1.1\r\nA: ", "GET / HTTP/1.1\r\n"} {
		for name, text := range map[string]string{"fast": strings.Repeat("x", 1<<10), "slow": "x"} {
			play(t, func(_ *httpd.Server, connect func() *client) {
				began := time.Now()
				c := connect()
				fmt.Fprint(c.conn, start)
				written := 0
				for {
					n, err := io.WriteString(c.conn, text)
					if written += n; err != nil || time.Since(began) > time.Minute {
						break
					}
					if name == "slow" {
						time.Sleep(50 * time.Millisecond)
					}
				}
				if took := time.Since(began); written > 128<<10 || took > 12*time.Second {
					t.Errorf("%q, %s: %d bytes in %v", start, name, written, took)
				}
			})
		}
	}
}

// respondByMethod refuses a POST without reading its body.
func respondByMethod(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		refuse(w, r)
		return
	}
	slow(w, r)
}

// abortMidway sends a part of a response and aborts it.
func abortMidway(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "id: 1\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestAbortedResponseDoesNotLookComplete checks the bytes that a client gets, also one whose
// version of HTTP has no chunks, so that the end of the connection is that of the response.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, stop := httpd.New(httpd.Options{Listener: l, Handler: http.HandlerFunc(abortMidway), Log: zap.NewNop()})
	defer stop()
	for _, q := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET / HTTP/1.0\r\nHost: h\r\n\r\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, q)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
			_ = r.Body.Close()
		}
		if err == nil {
			t.Errorf("%q: the response looks complete", q)
		}
		_ = c.Close()
	}
}

package httpd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

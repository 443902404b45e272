package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/conns"
)

const (
	// maxTaken is more than an endless head or body may be read for, including what is in
	// flight.
	maxTaken  = 128 << 10
	chunkText = "400\r\n"
)

// flood writes the text until the connection is closed and returns the number of bytes. Pause is
// the time between two of them.
func flood(c net.Conn, text string, pause time.Duration) int {
	written := 0
	for {
		n, err := io.WriteString(c, text)
		written += n
		if err != nil {
			return written
		}
		time.Sleep(pause)
	}
}

// endless is an upstream that answers with a start and then a text again and again.
type endless struct {
	start, text string
	pause       time.Duration
	written     chan int
}

func newEndless(start, text string, pause time.Duration) *endless {
	return &endless{start: start, text: text, pause: pause}
}

// play runs a test against the upstream.
func (e *endless) play(t *testing.T, test func(p *conns.Pool)) {
	t.Helper()
	runScript(t, e.serve, func(p *conns.Pool, _ *server) {
		e.written = make(chan int, 1)
		test(p)
	})
}

func (e *endless) serve(c net.Conn, r *bufio.Reader, _ int) {
	if _, ok := read(r); ok {
		fmt.Fprint(c, e.start)
		e.written <- flood(c, e.text, e.pause)
	}
}

func TestEndlessHeadIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\n"
	line := strings.Repeat("x", 1<<10)
	for name, e := range map[string]*endless{
		"status line":      newEndless("", line, 0),
		"header line":      newEndless(ok+"A: ", line, 0),
		"header lines":     newEndless(ok, "A: "+line+"\r\n", 0),
		"continued line":   newEndless(ok+"A: b\r\n", " "+line+"\r\n", 0),
		"interim head":     newEndless("HTTP/1.1 103 Early Hints\r\n", "A: "+line+"\r\n", 0),
		"interim heads":    newEndless("", "HTTP/1.1 100 Continue\r\n\r\n", 0),
		"mismatched heads": newEndless("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0),
	} {
		e.play(t, func(p *conns.Pool) {
			began := time.Now()
			got, err := roundTrip(p, request("r", ""), false)
			var lost *conns.LostError
			if !errors.As(err, &lost) || lost.State != conns.SendStateUnknown {
				t.Errorf("%s: %q, %v", name, got, err)
			}
			if n, took := <-e.written, time.Since(began); n > maxTaken || took > time.Second {
				t.Errorf("%s: %d bytes were taken in %v", name, n, took)
			}
		})
	}
}

func TestEndlessMismatchedBodyIsCutOff(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: another\r\n"
	long := strings.Repeat("x", 1<<10)
	for name, e := range map[string]*endless{
		"length":           newEndless(other+"Content-Length: 1000000000\r\n\r\n", long, 0),
		"chunks":           newEndless(other+"Transfer-Encoding: chunked\r\n\r\n", chunkText+long+"\r\n", 0),
		"chunk extensions": newEndless(other+"Transfer-Encoding: chunked\r\n\r\n", "1;"+long+"\r\nx\r\n", 0),
		"trickled":         newEndless(other+"Content-Length: 1000\r\n\r\n", "x", 100*time.Millisecond),
		"close-delimited":  newEndless(other+"\r\n", long, 0),
	} {
		e.play(t, func(p *conns.Pool) {
			began := time.Now()
			if got, err := roundTrip(p, request("r", ""), false); err == nil {
				t.Errorf("%s: %q", name, got)
			}
			if n, took := <-e.written, time.Since(began); n > maxTaken || took > 1500*time.Millisecond {
				t.Errorf("%s: %d bytes were taken in %v", name, n, took)
			}
		})
	}
}

// TestEndlessFramingIsCutOff sends a body whose framing never ends.
func TestEndlessFramingIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1<<10)
	for name, e := range map[string]*endless{
		"chunk size":       newEndless(ok, strings.Repeat("0", 1<<10), 0),
		"chunk extension":  newEndless(ok+"1;", line, 0),
		"chunk extensions": newEndless(ok, "1;"+line+"\r\nx\r\n", 0),
		"trailer":          newEndless(ok+"0\r\nA: ", line, 0),
		"trailers":         newEndless(ok+"0\r\n", "A: "+line+"\r\n", 0),
	} {
		e.play(t, func(p *conns.Pool) {
			began := time.Now()
			if got, err := roundTrip(p, request("r", ""), false); err == nil {
				t.Errorf("%s: %q", name, got)
			}
			if n, took := <-e.written, time.Since(began); n > maxTaken || took > time.Second {
				t.Errorf("%s: %d bytes were taken in %v", name, n, took)
			}
		})
	}
}

// discard sends a request, discards the response and returns how long that took.
func discard(t *testing.T, p *conns.Pool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx, upstream, false)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Do(ctx, request("r", ""))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	response.Discard()
	return time.Since(began)
}

func TestDiscardedBodyIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 503 Busy\r\nId: r\r\n"
	long := strings.Repeat("x", 1<<10)
	for name, e := range map[string]*endless{
		"length":          newEndless(ok+"Content-Length: 1000000000\r\n\r\n", long, 0),
		"chunks":          newEndless(ok+"Transfer-Encoding: chunked\r\n\r\n", chunkText+long+"\r\n", 0),
		"trickled":        newEndless(ok+"Content-Length: 1000\r\n\r\n", "x", 10*time.Millisecond),
		"close-delimited": newEndless(ok+"\r\n", "x", 10*time.Millisecond),
	} {
		e.play(t, func(p *conns.Pool) {
			if took := discard(t, p); took > 100*time.Millisecond {
				t.Errorf("%s: it took %v", name, took)
			}
			if n := <-e.written; n > maxTaken {
				t.Errorf("%s: %d bytes were taken", name, n)
			}
		})
	}
}

// TestSkippedResponseLeavesNoDeadline has a matching response follow a mismatched one late.
func TestSkippedResponseLeavesNoDeadline(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if id, ok := read(r); ok {
			respond(c, "another", "not yours")
			time.Sleep(1500 * time.Millisecond)
			respond(c, id, "yours")
		}
	}, func(p *conns.Pool, _ *server) {
		if got, err := roundTrip(p, request("r", ""), false); err != nil || got != "yours" {
			t.Errorf("%q, %v", got, err)
		}
	})
}

func TestDiscardedResponseLeavesConnectionUsable(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, number int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			time.Sleep(200 * time.Millisecond)
			respond(c, id, fmt.Sprint(number))
		}
	}, func(p *conns.Pool, _ *server) {
		discard(t, p)
		if got, err := roundTrip(p, request("r", ""), false); err != nil || got != "1" {
			t.Errorf("connection %q, %v", got, err)
		}
	})
}

// TestClosedResponseHasNoEnd guards against the rest of a response that was closed being taken
// for empty.
func TestClosedResponseHasNoEnd(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if id, ok := read(r); ok {
			respond(c, id, "half and half")
		}
	}, func(p *conns.Pool, _ *server) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c, err := p.Acquire(ctx, upstream, false)
		if err != nil {
			t.Fatal(err)
		}
		response, err := c.Do(ctx, request("r", ""))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(response.Body, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
		response.Close()
		if rest, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("the response ended with %q", rest)
		}
	})
}

// TestBodylessResponseEndsWithItsHead checks responses that have no body whatever their header
// says, and that the next response on the connection isn't read as their body.
func TestBodylessResponseEndsWithItsHead(t *testing.T) {
	for name, head := range map[string]string{
		"204":          "HTTP/1.1 204 No Content\r\nId: r\r\n\r\n",
		"304":          "HTTP/1.1 304 Not Modified\r\nId: r\r\nContent-Length: 9\r\n\r\n",
		"HEAD":         "HTTP/1.1 200 OK\r\nId: r\r\n\r\n",
		"HEAD, length": "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9\r\n\r\n",
		"HEAD, chunks": "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
			for _, ok := read(r); ok; _, ok = read(r) {
				fmt.Fprint(c, head)
			}
		}, func(p *conns.Pool, s *server) {
			q := request("r", "")
			if strings.HasPrefix(name, "HEAD") {
				q.Method = http.MethodHead
			}
			for range 2 {
				if got, err := roundTrip(p, q, false); err != nil || got != "" {
					t.Errorf("%s: %q, %v", name, got, err)
				}
			}
			if s.accepted != 1 {
				t.Errorf("%s: %d connections", name, s.accepted)
			}
		})
	}
}

// TestResetResponseIsAnError resets a response that would be complete at the end of its
// connection.
func TestResetResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\nId: r\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nId: r\r\n\r\n",
		"close":    "HTTP/1.1 200 OK\r\nId: r\r\nConnection: close\r\n\r\n",
	} {
		for _, reset := range []bool{true, false} {
			script := func(c net.Conn, r *bufio.Reader, _ int) {
				if _, ok := read(r); ok {
					fmt.Fprint(c, head+"all of it")
					if reset {
						_, _ = r.ReadByte()
					}
				}
			}
			runScript(t, script, func(p *conns.Pool, s *server) {
				if reset {
					time.AfterFunc(5*time.Millisecond, func() { s.network.Cut(entry, upstream.Addr()) })
				}
				if got, err := roundTrip(p, request("r", ""), false); (err != nil) != reset || !reset && got != "all of it" {
					t.Errorf("%s, reset %t: %q, %v", name, reset, got, err)
				}
			})
		}
	}
}

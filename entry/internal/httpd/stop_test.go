package httpd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"currantport.example/entry/internal/httpd"
)

// backend counts the requests that were passed on, by their paths.
type backend struct {
	ending chan struct{}

	mutex  sync.Mutex
	passed map[string]int
}

// ServeHTTP implements http.Handler. It responds to /long once the server ends its requests.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mutex.Lock()
	b.passed[r.URL.Path]++
	b.mutex.Unlock()
	wait := time.After(100 * time.Millisecond)
	if r.URL.Path == "/long" {
		wait = nil
	}
	select {
	case <-wait:
	case <-b.ending:
	}
	_, _ = io.WriteString(w, r.URL.Path+string(body))
}

func (b *backend) passedOn(path string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.passed[path]
}

// options returns the options of a server before the backend.
func (b *backend) options(l net.Listener) httpd.Options {
	b.ending = make(chan struct{})
	return httpd.Options{Listener: l, Handler: b, Refuse: http.HandlerFunc(refuse), Ending: func() { close(b.ending) }}
}

// stopping stops a server and closes its connections.
type stopping struct {
	server *httpd.Server
	stop   func()
	took   chan time.Duration
}

func (s *stopping) run() {
	began := time.Now()
	s.server.Stop(context.Background())
	s.stop()
	s.took <- time.Since(began)
}

// piece is a part of a request that is sent some time after the one before.
type piece struct {
	after time.Duration
	text  string
}

// piecesSender sends the pieces of a request.
type piecesSender struct {
	conn   io.Writer
	pieces []piece
	done   chan struct{}
}

func (s *piecesSender) run() {
	defer close(s.done)
	for _, p := range s.pieces {
		time.Sleep(p.after)
		if _, err := io.WriteString(s.conn, p.text); err != nil {
			return
		}
	}
}

// stopForms are the ways in which a client sends a request.
var stopForms = map[string][]piece{
	"whole":              {{0, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"}},
	"without a body":     {{0, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"}},
	"head in two pieces": {{0, "GET /x HTTP/1.1\r\nHo"}, {60 * time.Millisecond, "st: h\r\n\r\n"}},
	"first byte alone":   {{0, "G"}, {60 * time.Millisecond, "ET /x HTTP/1.1\r\nHost: h\r\n\r\n"}},
	"body later":         {{0, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"}, {60 * time.Millisecond, "dy"}},
	"body much later":    {{0, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"}, {900 * time.Millisecond, "dy"}},
}

// stopCase sends a request to a server that stops.
type stopCase struct {
	form  string
	isNew bool
	// isHeld is set if another request lasts until the end of the stop.
	isHeld bool
	at     time.Duration
}

// stopResult is what the client of a stopCase saw.
type stopResult struct {
	answered bool
	// crossed is set if the first byte arrived after the connection was closed, or before the server had
	// accepted it.
	crossed bool
	passed  int
	took    time.Duration
}

// drainTime is how long the server still serves requests.
const drainTime = 3 * time.Second

// networkDelay is that between the client and the server.
const networkDelay = time.Millisecond

func (c *stopCase) run(t *testing.T) (result stopResult) {
	t.Helper()
	b := &backend{passed: make(map[string]int)}
	playWith(t, b.options, func(s *httpd.Server, connect func() *client, stop func()) {
		kept := connect()
		if status, _, err := kept.request(); err != nil || status != http.StatusOK {
			t.Errorf("%d, %v", status, err)
		}
		if c.isHeld {
			fmt.Fprint(connect().conn, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
		}
		k := &stopping{server: s, stop: stop, took: make(chan time.Duration, 1)}
		go k.run()
		time.Sleep(c.at)
		if c.isNew {
			kept = connect()
		}
		result = sendLate(kept, stopForms[c.form])
		result.passed = b.passedOn("/x")
		result.took = <-k.took
	})
	return result
}

func sendLate(c *client, pieces []piece) (result stopResult) {
	if c == nil {
		result.crossed = true
		return result
	}
	sentAt := time.Now()
	sender := &piecesSender{conn: c.conn, pieces: pieces, done: make(chan struct{})}
	go sender.run()
	defer func() { <-sender.done }()
	r, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
	}
	result.answered = err == nil
	result.crossed = err != nil && time.Since(sentAt) < 2*networkDelay
	_ = c.conn.Close()
	return result
}

// TestStopAnswersEachRequestThatBeganBeforeTheClose sends a request in each 50 ms of a stop.
func TestStopAnswersEachRequestThatBeganBeforeTheClose(t *testing.T) {
	total, crossed, lost, longest := 0, 0, 0, time.Duration(0)
	for form := range stopForms {
		for _, isNew := range []bool{false, true} {
			for _, isHeld := range []bool{false, true} {
				for i := range 300 {
					// The second request of each 50 ms is just before a check of the stop.
					at := time.Duration(i/2)*50*time.Millisecond + time.Duration(i%2)*48*time.Millisecond
					if i%2 == 1 && at < drainTime || !isHeld && at > drainTime+time.Second {
						continue
					}
					c := stopCase{form: form, isNew: isNew, isHeld: isHeld, at: at}
					result := c.run(t)
					total++
					longest = max(longest, result.took)
					if result.crossed {
						crossed++
					}
					if !result.answered && result.passed > 0 {
						t.Errorf("%+v: passed on, but not answered", c)
					}
					if !result.answered && !result.crossed {
						lost++
						t.Errorf("%+v: not answered", c)
					}
				}
			}
		}
	}
	t.Logf("%d of %d requests got no answer, %d more came after the close; the longest stop took %v", lost, total, crossed, longest)
}

// slowBodyBytes is the length of the response to a slow reader.
const slowBodyBytes = 24 << 10

func writeLong(w http.ResponseWriter, _ *http.Request) {
	for range slowBodyBytes / 512 {
		_, _ = w.Write(make([]byte, 512))
	}
}

// TestStopCutsNoResponseThatASlowClientReads has a client read a response of which the handler has written the
// last part when the stop ends.
func TestStopCutsNoResponseThatASlowClientReads(t *testing.T) {
	options := func(l net.Listener) httpd.Options {
		return httpd.Options{Listener: l, Handler: http.HandlerFunc(writeLong), Refuse: http.HandlerFunc(refuse)}
	}
	for at := time.Second; at < drainTime; at += 200 * time.Millisecond {
		playWith(t, options, func(s *httpd.Server, connect func() *client, stop func()) {
			c := connect()
			k := &stopping{server: s, stop: stop, took: make(chan time.Duration, 1)}
			go k.run()
			time.Sleep(at)
			fmt.Fprint(c.conn, idleRequest)
			read := 0
			for buffer := make([]byte, 1<<10); read < slowBodyBytes; {
				n, err := c.conn.Read(buffer)
				if read += n; err != nil {
					t.Errorf("sent at %v: cut after %d bytes: %v", at, read, err)
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			<-k.took
		})
	}
}

// TestClientThatReadsNothingDoesNotProlongAStop guards against a stop that waits for clients which read
// nothing.
func TestClientThatReadsNothingDoesNotProlongAStop(t *testing.T) {
	options := func(l net.Listener) httpd.Options {
		return httpd.Options{Listener: l, Refuse: http.HandlerFunc(refuse), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 1<<20))
		})}
	}
	playWith(t, options, func(s *httpd.Server, connect func() *client, stop func()) {
		for range 20 {
			if _, err := fmt.Fprint(connect().conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		stopping := stopping{server: s, stop: stop, took: make(chan time.Duration, 1)}
		stopping.run()
		if took := <-stopping.took; took > 7*time.Second+100*time.Millisecond {
			t.Errorf("the stop took %v", took)
		}
	})
}

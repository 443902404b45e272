package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/state"
	"currantport.example/entry/internal/httpd"
)

// maxWorkAfterClose is how long an upstream may work on after the client has closed its connection.
const maxWorkAfterClose = 500 * time.Millisecond

// leaver is a client that closes its connection while its request is in progress.
type leaver struct {
	path string
	// ahead is sent on the connection after the request, aheadAfter after its beginning.
	ahead      string
	aheadAfter time.Duration
	closeAfter time.Duration
}

// leave sends a request to the server of the world, as c says, and returns when the connection was closed.
func (w *world) leave(c leaver) time.Time {
	w.t.Helper()
	conn := w.connect()
	w.write(conn, requestText(c.path, "q"))
	if c.ahead != "" {
		time.Sleep(c.aheadAfter)
		go (&sender{conn: conn, text: c.ahead}).run()
	}
	time.Sleep(c.closeAfter - c.aheadAfter)
	closedAt := time.Now()
	if err := conn.Close(); err != nil {
		w.t.Error(err)
	}
	return closedAt
}

// sender writes a text, as far as the other end reads it.
type sender struct {
	conn net.Conn
	text string
}

func (s *sender) run() { _, _ = io.WriteString(s.conn, s.text) }

func requestText(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: secret\r\nContent-Length: 4\r\n\r\nbody", path, id)
}

func (w *world) write(conn net.Conn, text string) {
	w.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		w.t.Error(err)
	}
}

var clientHost = netip.MustParseAddr("10.0.2.1")

// connect returns a connection of a client to the server of the world.
func (w *world) connect() net.Conn {
	w.t.Helper()
	conn, err := w.network.Dialer(clientHost)(w.t.Context(), "tcp", netip.AddrPortFrom(entry, 80).String())
	if err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// listen starts the server for clients. The clean-up function closes it.
func (w *world) listen() func() {
	w.t.Helper()
	l, err := w.network.Listen(netip.AddrPortFrom(entry, 80))
	if err != nil {
		w.t.Fatal(err)
	}
	s, stop := httpd.New(httpd.Options{
		Listener: l, Handler: w.handler, Refuse: http.NotFoundHandler(), Log: zap.NewNop(), DrainTime: 3 * time.Second, ShutdownTimeout: 7 * time.Second,
	})
	w.server = s
	return stop
}

// worker is the script of upstreams that work for a long time. It records when they have ended.
type worker struct {
	// interval is the time between the events of streams. If it is zero, nothing is written.
	interval time.Duration

	mutex sync.Mutex
	ended []time.Time
}

// workTime is how long a worker works unless its connection is closed.
const workTime = 2500 * time.Millisecond

func (k *worker) run(w io.Writer, v visit) {
	defer k.recordEnd()
	end := time.NewTimer(workTime)
	defer end.Stop()
	if k.interval > 0 {
		begin(w, v.id)
	}
	for number := 1; ; number++ {
		select {
		case <-v.ended:
			return
		case <-end.C:
			return
		case <-k.nextEvent():
			event(w, numbered(number))
		}
	}
}

func (k *worker) nextEvent() <-chan time.Time {
	if k.interval == 0 {
		return nil
	}
	return time.After(k.interval)
}

func (k *worker) recordEnd() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ended = append(k.ended, time.Now())
}

// longestAfter returns how long the upstreams worked on after the time.
func (k *worker) longestAfter(t time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var longest time.Duration
	for _, e := range k.ended {
		longest = max(longest, e.Sub(t))
	}
	return longest
}

func TestRunEndsWhenClientClosesBehindBytesSentAhead(t *testing.T) {
	next := requestText("/any/y", "next")
	for name, ahead := range map[string]string{
		"nothing": "", "empty line": "\r\n", "next request": next, "part of a request": next[:12], "longer than a window": next + string(make([]byte, 32<<10)),
	} {
		for _, aheadAfter := range []time.Duration{0, 20 * time.Millisecond, 250 * time.Millisecond} {
			for _, path := range []string{"/once/x", "/any/x", "/flow/x", "/live/x"} {
				for _, interval := range []time.Duration{0, 100 * time.Millisecond} {
					k := &worker{interval: interval}
					play(t, 1, k.run, func(w *world) {
						defer w.listen()()
						closedAt := w.leave(leaver{path: path, ahead: ahead, aheadAfter: aheadAfter, closeAfter: 300 * time.Millisecond})
						time.Sleep(2 * workTime)
						if took := k.longestAfter(closedAt); took > maxWorkAfterClose || len(w.received()) != 1 {
							t.Errorf("%s, %v after the request, %s, events each %v: the upstream worked on for %v; %d requests were sent", name, aheadAfter, path, interval, took, len(w.received()))
						}
					})
				}
			}
		}
	}
}

// TestNothingIsSentForAClientThatLeftBeforeItsRequestWasRead has the close arrive together with the
// request, as at an entry that was too busy to read.
func TestNothingIsSentForAClientThatLeftBeforeItsRequestWasRead(t *testing.T) {
	for _, path := range []string{"/once/x", "/any/x", "/flow/x", "/live/x"} {
		for name, ahead := range map[string]string{"nothing": "", "next request": requestText("/any/y", "next")} {
			k := &worker{}
			play(t, 1, k.run, func(w *world) {
				defer w.listen()()
				for range 50 {
					conn := w.connect()
					w.write(conn, requestText(path, "q")+ahead)
					if err := conn.Close(); err != nil {
						t.Error(err)
					}
					time.Sleep(2 * workTime)
				}
				if n := len(w.received()); n > 0 {
					t.Errorf("%s ahead, %s: %d of 50 requests were sent", name, path, n)
				}
			})
		}
	}
}

func TestRunsEndWhenClientsLeaveDuringAChangeOfTheServer(t *testing.T) {
	changes := map[string]func(w *world){
		"none": func(*world) {},
		"stop": func(w *world) { w.server.Stop(context.Background()) },
		"limits": func(w *world) {
			for n := range 5 {
				w.server.SetLimits(state.Limits{HeaderBytes: 4096 + n})
				time.Sleep(30 * time.Millisecond)
			}
		},
	}
	const clients = 40
	for name, change := range changes {
		for _, path := range []string{"/any/x", "/flow/x", "/live/x"} {
			k := &worker{}
			play(t, 3, k.run, func(w *world) {
				defer w.listen()()
				time.AfterFunc(150*time.Millisecond, func() { change(w) })
				closedAt := time.Now().Add(300 * time.Millisecond)
				var group sync.WaitGroup
				for i := range clients {
					group.Go(func() {
						w.leave(leaver{path: path, ahead: strings.Repeat("\r\n", i%2), aheadAfter: 20 * time.Millisecond, closeAfter: 300 * time.Millisecond})
					})
				}
				group.Wait()
				time.Sleep(4 * workTime)
				if took := k.longestAfter(closedAt); took > maxWorkAfterClose || len(w.received()) < clients {
					t.Errorf("%s, %s: upstreams worked on for %v; %d requests were sent", name, path, took, len(w.received()))
				}
			})
		}
	}
}

func TestNothingIsSentForAClientThatLeavesWithinItsBody(t *testing.T) {
	for _, path := range []string{"/once/x", "/any/x", "/flow/x", "/live/x"} {
		play(t, 1, (&worker{}).run, func(w *world) {
			defer w.listen()()
			conn := w.connect()
			w.write(conn, strings.TrimSuffix(requestText(path, "q"), "dy"))
			time.Sleep(100 * time.Millisecond)
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
			time.Sleep(2 * workTime)
			if n := len(w.received()); n > 0 {
				t.Errorf("%s: %d requests were sent", path, n)
			}
		})
	}
}

package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/logs"
	"currantport.example/core/state"
)

// logged runs a test with the logger of a program and returns the lines.
func logged(t *testing.T, test func(log *zap.Logger)) []string {
	t.Helper()
	var out bytes.Buffer
	log, flush, err := logs.New(&out, logs.LevelInfo)
	if err != nil {
		t.Fatal(err)
	}
	test(log)
	flush()
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// fieldsOf returns the fields of the last line of an event.
func fieldsOf(lines []string, event string) map[string]string {
	var fields map[string]string
	for _, l := range lines {
		if !strings.Contains(l, "event="+event+" ") {
			continue
		}
		fields = make(map[string]string)
		for _, f := range strings.Fields(l) {
			name, value, _ := strings.Cut(f, "=")
			fields[name] = value
		}
	}
	return fields
}

// checkFields checks fields of the last line of an event. Durations may be longer by 10 ms.
func checkFields(t *testing.T, lines []string, event string, want map[string]string) {
	t.Helper()
	got := fieldsOf(lines, event)
	for name, value := range want {
		least, err := time.ParseDuration(value)
		took, errGot := time.ParseDuration(got[name])
		if err == nil && errGot == nil && took >= least && took <= least+10*time.Millisecond {
			continue
		}
		if got[name] != value {
			t.Errorf("%s: %s=%s, want %s, in:\n%s", event, name, got[name], value, strings.Join(lines, "\n"))
		}
	}
}

// closedWriter is the writer of a connection that is closed.
type closedWriter struct{ http.ResponseWriter }

func (closedWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

// twoEvents writes two events of a stream, 300 ms apart.
func twoEvents(w io.Writer, id string) {
	begin(w, id)
	event(w, numbered(1))
	time.Sleep(300 * time.Millisecond)
	event(w, numbered(2))
}

// TestLinesOfACutResponseNameTheCause ends attempts in each way that needs no server for clients.
func TestLinesOfACutResponseNameTheCause(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		timeout  string
		leave    time.Duration
		wrap     func(w http.ResponseWriter) http.ResponseWriter
		script   func(w io.Writer, v visit)
		attempt  map[string]string
		request  map[string]string
		answered bool
	}{
		"deadline within a stream": {
			path: "/live/x", timeout: "2000",
			script: func(w io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(500 * time.Millisecond)
					declined(w, v.id)
					return
				}
				twoEvents(w, v.id)
				<-v.ended
			},
			attempt: map[string]string{"result": "broken", "cause": "deadline", "remaining": "1.49s", "quiet": "1.19s"},
			request: map[string]string{"ending": "broken", "cause": "deadline", "timeout": "2s"},
		},
		"deadline before a response": {
			path: "/once/x", timeout: "2000",
			script:  func(_ io.Writer, v visit) { <-v.ended },
			attempt: map[string]string{"result": "lost", "cause": "deadline", "remaining": "1.99s", "quiet": "2s"},
			request: map[string]string{"ending": "unknown", "cause": "deadline", "timeout": "2s"},
		},
		"broken off within a stream": {
			path:    "/live/x",
			script:  func(w io.Writer, v visit) { twoEvents(w, v.id); time.Sleep(700 * time.Millisecond) },
			attempt: map[string]string{"result": "broken", "cause": "upstream", "remaining": "4.99s", "quiet": "690ms"},
			request: map[string]string{"ending": "broken", "cause": "upstream", "timeout": "5s"},
		},
		"broken off within a long response": {
			path: "/any/x",
			script: func(w io.Writer, v visit) {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 1000000\r\n\r\n%s", v.id, make([]byte, 400000))
				time.Sleep(200 * time.Millisecond)
			},
			attempt: map[string]string{"result": "broken", "cause": "upstream", "quiet": "190ms"},
			request: map[string]string{"ending": "broken", "cause": "upstream", "timeout": "3s"},
		},
		"deadline within a long response": {
			path: "/any/x", timeout: "1000",
			script: func(w io.Writer, v visit) {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 1000000\r\n\r\n%s", v.id, make([]byte, 400000))
				<-v.ended
			},
			attempt: map[string]string{"result": "broken", "cause": "deadline", "remaining": "1s"},
			request: map[string]string{"ending": "broken", "cause": "deadline", "timeout": "1s"},
		},
		"unwritten": {
			path: "/live/x", wrap: func(w http.ResponseWriter) http.ResponseWriter { return closedWriter{ResponseWriter: w} },
			script:  func(w io.Writer, v visit) { twoEvents(w, v.id); end(w) },
			attempt: map[string]string{"result": "answered", "cause": "client"},
			request: map[string]string{"ending": "unwritten", "cause": "client", "timeout": "5s"},
		},
		"broken off before a response": {
			path:    "/once/x",
			script:  func(io.Writer, visit) { time.Sleep(100 * time.Millisecond) },
			attempt: map[string]string{"result": "lost", "cause": "upstream", "quiet": "100ms"},
			request: map[string]string{"ending": "unknown", "cause": "upstream"},
		},
		"left within a stream": {
			path: "/live/x", leave: time.Second,
			script:  func(w io.Writer, v visit) { twoEvents(w, v.id); <-v.ended },
			attempt: map[string]string{"result": "broken", "cause": "client", "quiet": "690ms"},
			request: map[string]string{"ending": "left", "cause": "client", "timeout": "5s"},
		},
		"left before a response": {
			path: "/once/x", leave: time.Second,
			script:  func(_ io.Writer, v visit) { <-v.ended },
			attempt: map[string]string{"result": "lost", "cause": "client", "quiet": "1s"},
			request: map[string]string{"ending": "left", "cause": "client", "timeout": "3s"},
		},
		"no first event": {
			path:    "/stall/x",
			script:  func(w io.Writer, v visit) { time.Sleep(time.Second); begin(w, v.id); <-v.ended },
			attempt: map[string]string{"result": "lost", "cause": "silence", "quiet": "2.04s"},
			request: map[string]string{"ending": "unknown", "cause": "silence", "timeout": "6s"},
		},
		"successor": {
			path: "/flow/x", answered: true,
			script: func(w io.Writer, v visit) {
				if v.after == "" {
					twoEvents(w, v.id)
					<-v.ended
					return
				}
				time.Sleep(100 * time.Millisecond)
				begin(w, v.id)
				event(w, numbered(3))
				end(w)
			},
			attempt: map[string]string{"result": "broken", "cause": "successor", "quiet": "1.3s", "remaining": "4.99s"},
			request: map[string]string{"ending": "answered", "cause": "", "timeout": ""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var counted int64
			lines := logged(t, func(log *zap.Logger) {
				playLogged(t, 2, plenty, log, c.script, func(w *world) {
					ctx, leave := context.WithCancel(context.Background())
					defer leave()
					if c.leave > 0 {
						time.AfterFunc(c.leave, leave)
					}
					w.wrap = c.wrap
					w.request(ctx, c.path, "Timeout", c.timeout)
					counted = w.counted("causes", map[string]string{"ending": c.request["ending"], "cause": c.request["cause"]})
				})
			})
			checkFields(t, lines, "attempt", c.attempt)
			checkFields(t, lines, "request", c.request)
			if isCounted := counted == 1; isCounted == c.answered {
				t.Errorf("counted %d times", counted)
			}
		})
	}
}

// counted returns the value of a counter.
func (w *world) counted(name string, tags map[string]string) int64 {
	for _, c := range w.scope.Snapshot().Counters() {
		if c.Name() == name && fmt.Sprint(c.Tags()) == fmt.Sprint(tags) {
			return c.Value()
		}
	}
	return 0
}

// TestLinesNameTheRefusedConnection has the only upstream be down.
func TestLinesNameTheRefusedConnection(t *testing.T) {
	lines := logged(t, func(log *zap.Logger) {
		playLogged(t, 1, plenty, log, func(io.Writer, visit) {}, func(w *world) {
			w.network.Kill(address(0).Addr())
			w.request(context.Background(), "/once/x")
		})
	})
	checkFields(t, lines, "attempt", map[string]string{"result": "unsent", "cause": "connect", "quiet": "", "remaining": ""})
	checkFields(t, lines, "request", map[string]string{"ending": "not-run", "cause": "connect", "timeout": "3s"})
}

// TestLinesNameTheEndOfAVersion sends a request shortly before the entry stops using a replaced version, to
// an engine whose queue doesn't move.
func TestLinesNameTheEndOfAVersion(t *testing.T) {
	for _, path := range []string{"/once/x", "/rush/x"} {
		lines := logged(t, func(log *zap.Logger) {
			synctest.Test(t, func(t *testing.T) {
				w, apply, stop := newEngineWorldWith(t, 1, plenty, log, func(_ io.Writer, v visit) { <-v.ended })
				defer stop()
				apply(engineRow(0))
				apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
				time.Sleep(lateSending)
				w.request(context.Background(), path)
				synctest.Wait()
			})
		})
		checkFields(t, lines, "attempt", map[string]string{"result": "lost", "cause": "version"})
		checkFields(t, lines, "request", map[string]string{"ending": "unknown", "cause": "version"})
	}
}

// TestLinesNameTheDeadlineOfAWait sends a request to an engine without a free slot.
func TestLinesNameTheDeadlineOfAWait(t *testing.T) {
	lines := logged(t, func(log *zap.Logger) {
		synctest.Test(t, func(t *testing.T) {
			w, apply, stop := newEngineWorldWith(t, 1, plenty, log, func(_ io.Writer, v visit) { <-v.ended })
			defer stop()
			apply(engineRow(0))
			var group sync.WaitGroup
			for i := range 20 {
				group.Go(func() { w.request(context.Background(), "/once/x", "Id", fmt.Sprint("long", i)) })
			}
			time.Sleep(100 * time.Millisecond)
			w.request(context.Background(), "/once/x", "Id", "short", "Timeout", "8")
			group.Wait()
			synctest.Wait()
		})
	})
	var short []string
	for _, l := range lines {
		if strings.Contains(l, "id=short") {
			short = append(short, l)
		}
	}
	checkFields(t, short, "request", map[string]string{"ending": "not-run", "tries": "0", "cause": "deadline", "timeout": "8ms"})
}

// TestLinesNameTheStop stops an entry during requests that take longer.
func TestLinesNameTheStop(t *testing.T) {
	for path, want := range map[string]map[string]string{
		"/slow/x": {"ending": "unknown", "cause": "stop", "timeout": "20s"},
		"/live/x": {"ending": "broken", "cause": "stop", "timeout": "5s"},
	} {
		lines := logged(t, func(log *zap.Logger) {
			playLogged(t, 1, plenty, log, func(w io.Writer, v visit) {
				if strings.HasPrefix(path, "/live") {
					twoEvents(w, v.id)
				}
				<-v.ended
			}, func(w *world) {
				front := w.serve()
				defer front.stop()
				conn := front.dial()
				defer func() { _ = conn.Close() }()
				s := &stopper{front: front, done: make(chan struct{})}
				go s.run()
				defer func() { <-s.done }()
				time.Sleep(2900 * time.Millisecond)
				fmt.Fprint(conn, wholeRequest(path, "first"))
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		})
		checkFields(t, lines, "attempt", map[string]string{"cause": "stop"})
		checkFields(t, lines, "request", want)
	}
}

// TestLinesOfAnAttemptBesideNameTheCause has the second upstream of a silent stream be silent as well, until
// the deadline, or break off.
func TestLinesOfAnAttemptBesideNameTheCause(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		timeout  string
		breakOff bool
		cause    string
	}{
		"deadline": {path: "/flow/x", timeout: "2000", cause: "deadline"},
		"upstream": {path: "/flow/x", timeout: "2000", breakOff: true, cause: "upstream"},
		"silence":  {path: "/wait/x", cause: "silence"},
	} {
		lines := logged(t, func(log *zap.Logger) {
			playLogged(t, 2, plenty, log, func(w io.Writer, v visit) {
				if v.number == 0 && c.path == "/flow/x" {
					twoEvents(w, v.id)
				}
				if v.number > 0 && c.breakOff {
					return
				}
				<-v.ended
			}, func(w *world) { w.request(context.Background(), c.path, "Timeout", c.timeout) })
		})
		var beside []string
		for _, l := range lines {
			if strings.Contains(l, "beside=true") {
				beside = append(beside, l)
			}
		}
		if len(beside) == 0 {
			t.Errorf("%s: no line of the attempt, in:\n%s", name, strings.Join(lines, "\n"))
			continue
		}
		checkFields(t, beside, "attempt", map[string]string{"cause": c.cause})
	}
}

// TestLinesTellSinceWhenTheRowsWereActive cuts a response with and without a change of the rows before it.
func TestLinesTellSinceWhenTheRowsWereActive(t *testing.T) {
	for _, changed := range []bool{false, true} {
		want := map[string]string{"revision": "1", "active": "3s", "latest": "", "changed": ""}
		lines := logged(t, func(log *zap.Logger) {
			playLogged(t, 1, plenty, log, func(w io.Writer, v visit) { twoEvents(w, v.id); <-v.ended }, func(w *world) {
				time.Sleep(time.Second)
				if changed {
					time.AfterFunc(1500*time.Millisecond, func() { w.apply(encoded(state.EncodeLimits(state.Limits{HeaderBytes: 8 << 10}))) })
					want["latest"], want["changed"] = "2", "500ms"
				}
				w.request(context.Background(), "/live/x", "Timeout", "2000")
			})
		})
		checkFields(t, lines, "request", want)
	}
}

// TestLinesTellWhetherTheConnectionWasKept cuts the third response on a connection.
func TestLinesTellWhetherTheConnectionWasKept(t *testing.T) {
	lines := logged(t, func(log *zap.Logger) {
		playLogged(t, 1, plenty, log, func(w io.Writer, v visit) {
			if v.id != "cut" {
				good(w, v.id, "x")
				return
			}
			twoEvents(w, v.id)
		}, func(w *world) {
			front := w.serve()
			defer front.stop()
			conn := front.dial()
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for _, q := range [][2]string{{"/any/x", "first"}, {"/any/x", "second"}, {"/live/x", "cut"}} {
				time.Sleep(time.Second)
				fmt.Fprint(conn, wholeRequest(q[0], q[1]))
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	})
	checkFields(t, lines, "request", map[string]string{"id": "cut", "ending": "broken", "connage": "3.31s", "carried": "2"})
	checkFields(t, lines[:1], "request", map[string]string{"id": "first", "connage": "", "carried": ""})
}

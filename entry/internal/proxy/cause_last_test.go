package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
)

// failingLater is a writer whose connection fails after the first part.
type failingLater struct {
	http.ResponseWriter
	n int
}

func (w *failingLater) Write(p []byte) (int, error) {
	if w.n++; w.n > 1 {
		return 0, net.ErrClosed
	}
	return w.ResponseWriter.Write(p)
}

// TestLinesNameTheCauseOfTheLastAttempt guards against the cause of an earlier attempt, or of one beside it.
func TestLinesNameTheCauseOfTheLastAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		upstreams int
		timeout   string
		wrap      func(w http.ResponseWriter) http.ResponseWriter
		test      func(w *world)
		script    func(w io.Writer, v visit)
		request   map[string]string
		attempt   map[string]string
	}{
		"watched lost, successor silent until the deadline": {
			path: "/any/x", upstreams: 2,
			script: func(_ io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(500 * time.Millisecond)
					return
				}
				<-v.ended
			},
			request: map[string]string{"ending": "unknown", "cause": "deadline", "status": "504"},
		},
		"watched lost, successor silent until patience ends": {
			path: "/wait/x", upstreams: 2,
			script: func(_ io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(1500 * time.Millisecond)
					return
				}
				<-v.ended
			},
			request: map[string]string{"ending": "unknown", "cause": "silence", "reason": "stalled"},
		},
		"watched lost in stream, successor silent until the deadline": {
			path: "/flow/x", upstreams: 2,
			script: func(w io.Writer, v visit) {
				if v.number == 0 {
					twoEvents(w, v.id)
					time.Sleep(1500 * time.Millisecond)
					return
				}
				<-v.ended
			},
			request: map[string]string{"ending": "broken", "cause": "deadline"},
		},
		"watched lost, then stop while the successor is silent": {
			path: "/any/x", upstreams: 2,
			test: func(w *world) { time.AfterFunc(time.Second, w.handler.EndRequests) },
			script: func(_ io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(500 * time.Millisecond)
					return
				}
				<-v.ended
			},
			request: map[string]string{"ending": "unknown", "cause": "stop"},
		},
		"failure that can't be written": {
			path: "/once/x", upstreams: 1, wrap: func(w http.ResponseWriter) http.ResponseWriter { return closedWriter{ResponseWriter: w} },
			script:  func(w io.Writer, v visit) { failed(w, v.id) },
			request: map[string]string{"ending": "unwritten", "cause": "client"},
		},
		"failure after a lost one that can't be written": {
			path: "/any/x", upstreams: 2, wrap: func(w http.ResponseWriter) http.ResponseWriter { return closedWriter{ResponseWriter: w} },
			script: func(w io.Writer, v visit) {
				if v.number == 0 {
					failed(w, v.id)
				}
			},
			request: map[string]string{"ending": "unwritten", "cause": "client"},
		},
		"long response that can't be written": {
			path: "/any/x", upstreams: 1, wrap: func(w http.ResponseWriter) http.ResponseWriter { return &failingLater{ResponseWriter: w} },
			script: func(w io.Writer, v visit) {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 1000000\r\n\r\n%s", v.id, make([]byte, 1000000))
			},
			request: map[string]string{"cause": "client"},
			attempt: map[string]string{"cause": "client"},
		},
		"panic beside": {
			path: "/any/x", upstreams: 2,
			script: func(w io.Writer, v visit) {
				if v.number > 0 {
					answered(w, v.id, "Panic: 1")
					return
				}
				time.Sleep(silence)
				framingLength.write(w, v.id, "x")
			},
			attempt: map[string]string{"beside": "true", "cause": "panic"},
		},
		"refused connection, then declined": {
			path: "/once/x", upstreams: 2,
			test:    func(w *world) { w.network.Kill(address(0).Addr()) },
			script:  func(w io.Writer, v visit) { declined(w, v.id) },
			request: map[string]string{"ending": "not-run", "reason": "no-upstream", "cause": ""},
		},
		"lost by silence of version then declined": {
			path: "/any/x", upstreams: 2,
			script: func(w io.Writer, v visit) {
				if v.number == 0 {
					time.Sleep(500 * time.Millisecond)
					return
				}
				time.Sleep(time.Second)
				declined(w, v.id)
			},
			request: map[string]string{"ending": "unknown", "cause": "upstream"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			lines := logged(t, func(log *zap.Logger) {
				playLogged(t, c.upstreams, plenty, log, c.script, func(w *world) {
					w.wrap = c.wrap
					if c.test != nil {
						c.test(w)
					}
					w.request(context.Background(), c.path, "Timeout", c.timeout)
					time.Sleep(50 * time.Millisecond)
				})
			})
			checkFields(t, lines, "request", c.request)
			checkFields(t, lines, "attempt", c.attempt)
			for _, l := range lines {
				t.Log(l)
			}
		})
	}
}

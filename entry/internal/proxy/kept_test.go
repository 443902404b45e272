package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/state"
)

// keptCase is a first request on a connection that is kept.
type keptCase struct {
	path         string
	header, body string
	// rest of the body follows restAfter.
	rest      string
	restAfter time.Duration
	// reply is the script of its upstream, or nil for a short response.
	reply func(w io.Writer, v visit)
	// readBytes of the response are read each 100 ms, or all at once if it is zero.
	readBytes int
	status    int
	closes    bool
}

// firstTimeout is that of the routes of the first requests.
const firstTimeout = 3 * time.Second

// wholeBodyBytes is the length of the response to a slow reader.
const wholeBodyBytes = 24 << 10

var keptCases = map[string]keptCase{
	"answered":                             {path: "/once/x", header: "Key: secret\r\n", body: "body", status: http.StatusOK},
	"answered, body in two pieces":         {path: "/once/x", header: "Key: secret\r\n", body: "bo", rest: "dy", restAfter: 800 * time.Millisecond, status: http.StatusOK},
	"answered by a stream":                 {path: "/rush/x", header: "Key: secret\r\n", body: "body", reply: halves, status: http.StatusOK},
	"answered late":                        {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: answerAfter(firstTimeout - 100*time.Millisecond), status: http.StatusOK},
	"answered, read slowly":                {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: answerLong, readBytes: 1 << 10, status: http.StatusOK},
	"a stream, read slowly":                {path: "/rush/x", header: "Key: secret\r\n", body: "body", reply: streamLong, readBytes: 1 << 10, status: http.StatusOK},
	"refused with its body":                {path: "/once/x", header: "Key: wrong\r\n", body: "body", status: http.StatusUnauthorized},
	"refused before its body":              {path: "/once/x", header: "Key: wrong\r\n", body: "bo", rest: "dy", restAfter: 800 * time.Millisecond, status: http.StatusUnauthorized},
	"refused, body late":                   {path: "/once/x", header: "Key: wrong\r\n", body: "bo", rest: "dy", restAfter: 1500 * time.Millisecond, status: http.StatusUnauthorized, closes: true},
	"refused after its body":               {path: "/once/x", header: "Key: secret\r\nModel: none\r\n", body: "body", reply: declineAll, status: http.StatusServiceUnavailable},
	"no route":                             {path: "/none/x", header: "Key: secret\r\n", body: "body", status: http.StatusNotFound},
	"body too late":                        {path: "/once/x", header: "Key: secret\r\n", body: "bo", rest: "dy", restAfter: firstTimeout + 100*time.Millisecond, status: http.StatusGatewayTimeout, closes: true},
	"body later than the client's timeout": {path: "/once/x", header: "Key: secret\r\nTimeout: 500\r\n", body: "bo", rest: "dy", restAfter: 600 * time.Millisecond, status: http.StatusGatewayTimeout, closes: true},
	"body too large":                       {path: "/once/x", header: "Key: secret\r\n", body: strings.Repeat("x", maxFirstBody+1), status: http.StatusRequestEntityTooLarge, closes: true},
	"parsing panicked":                     {path: "/once/x", header: "Key: secret\r\nPanic: 1\r\n", body: "body", status: http.StatusBadGateway},
	"parsing panicked, body later":         {path: "/once/x", header: "Key: secret\r\nPanic: 1\r\n", body: "bo", rest: "dy", restAfter: 800 * time.Millisecond, status: http.StatusBadGateway},
	"panicked after its body":              {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: answerPanic, status: http.StatusBadGateway},
	"outcome unknown":                      {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: func(io.Writer, visit) {}, status: http.StatusBadGateway},
	"outcome unknown at the end":           {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: func(_ io.Writer, v visit) { <-v.ended }, status: http.StatusGatewayTimeout},
	"failed":                               {path: "/once/x", header: "Key: secret\r\n", body: "body", reply: answerFailure, status: http.StatusInternalServerError},
	"client's timeout, and unknown":        {path: "/once/x", header: "Key: secret\r\nTimeout: 500\r\n", body: "body", reply: func(_ io.Writer, v visit) { <-v.ended }, status: http.StatusGatewayTimeout},
}

// maxFirstBody is the limit on bodies.
const maxFirstBody = 2 << 10

func answerAfter(d time.Duration) func(w io.Writer, v visit) {
	return func(w io.Writer, v visit) {
		time.Sleep(d)
		good(w, v.id, "done")
	}
}

func answerLong(w io.Writer, v visit) { good(w, v.id, strings.Repeat("x", wholeBodyBytes)) }

func streamLong(w io.Writer, v visit) {
	begin(w, v.id)
	for n := range wholeBodyBytes / 512 {
		event(w, fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 500)))
	}
	end(w)
}

func declineAll(w io.Writer, v visit) { declined(w, v.id) }

func answerPanic(w io.Writer, v visit) { answered(w, v.id, "Panic: 1") }

func answerFailure(w io.Writer, v visit) {
	fmt.Fprintf(w, "HTTP/1.1 500 Failed\r\nId: %s\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", v.id)
}

// run has a second request follow the first one after a gap.
func (c *keptCase) run(t *testing.T, name string, gap time.Duration) {
	t.Helper()
	script := func(w io.Writer, v visit) {
		switch {
		case v.id == "next":
			// The second request lasts longer than any deadline of the first one.
			answerAfter(2500*time.Millisecond)(w, v)
		case c.reply != nil:
			c.reply(w, v)
		default:
			good(w, v.id, "done")
		}
	}
	play(t, 2, script, func(w *world) {
		front := w.serve()
		defer front.stop()
		front.apply([]state.Row{encoded(state.EncodeLimits(state.Limits{BodyBytes: maxFirstBody}))})
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		sender := &keptSender{conn: conn, first: c, done: make(chan struct{})}
		go sender.run()
		defer func() { <-sender.done }()
		r := bufio.NewReaderSize(conn, 16)
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		if err := c.readBody(response.Body); err != nil || response.StatusCode != c.status || response.Close != c.closes {
			t.Errorf("%s: status %d, closes %t, %v", name, response.StatusCode, response.Close, err)
		}
		_ = response.Body.Close()
		if response.Close {
			// net/http waits before it closes the connection.
			time.Sleep(time.Second)
			return
		}
		time.Sleep(gap)
		// A request is refused if the configuration wasn't confirmed for long.
		front.apply(nil)
		fmt.Fprint(conn, wholeRequest("/slow/x", "next"))
		response, err = http.ReadResponse(r, nil)
		if err != nil {
			t.Errorf("%s, next after %v: %v", name, gap, err)
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "done" || response.Header.Get("Id") != "next" {
			t.Errorf("%s, next after %v: status %d, %s, %q of %q, %v", name, gap, response.StatusCode, response.Header.Get("Outcome"), body, response.Header.Get("Id"), err)
		}
	})
}

func (c *keptCase) readBody(r io.Reader) error {
	if c.readBytes == 0 {
		_, err := io.Copy(io.Discard, r)
		return err
	}
	buffer := make([]byte, c.readBytes)
	for {
		if _, err := io.ReadFull(r, buffer); err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil
		} else if err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// keptSender sends the first request of a case.
type keptSender struct {
	conn  net.Conn
	first *keptCase
	done  chan struct{}
}

func (s *keptSender) run() {
	defer close(s.done)
	c := s.first
	fmt.Fprintf(s.conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: first\r\n%sContent-Length: %d\r\n\r\n%s", c.path, c.header, len(c.body)+len(c.rest), c.body)
	if c.rest != "" {
		time.Sleep(c.restAfter)
		fmt.Fprint(s.conn, c.rest)
	}
}

// TestNoDeadlineOutlivesItsRequest sends a second request on a connection whose first one ended in each way.
func TestNoDeadlineOutlivesItsRequest(t *testing.T) {
	for name, c := range keptCases {
		for _, gap := range []time.Duration{0, 900 * time.Millisecond, 1100 * time.Millisecond, firstTimeout + time.Second - 100*time.Millisecond, firstTimeout + time.Second, firstTimeout + 1100*time.Millisecond} {
			c.run(t, name, gap)
		}
	}
}

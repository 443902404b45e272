package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// pipelineCase has a client send three requests ahead of their responses.
type pipelineCase struct {
	path string
	// first is the script of the upstream of the first request, key its credential.
	first func(w io.Writer, v visit)
	key   string
	// gap is the time between the requests.
	gap time.Duration
	// stopAt is when the entry begins to stop, or zero.
	stopAt time.Duration
}

// pipelineResult counts the requests of a pipelineCase.
type pipelineResult struct {
	answered, unanswered int
}

func (c *pipelineCase) run(t *testing.T, name string) (result pipelineResult) {
	t.Helper()
	script := func(w io.Writer, v visit) {
		if v.id == "0" {
			c.first(w, v)
			return
		}
		halves(w, v)
	}
	play(t, 2, script, func(w *world) {
		front := w.serve()
		defer front.stop()
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		s := &stopper{front: front, done: make(chan struct{})}
		if c.stopAt > 0 {
			time.AfterFunc(c.stopAt, s.run)
			defer func() { <-s.done }()
		}
		sender := &pipelineSender{conn: conn, of: c, done: make(chan struct{})}
		go sender.run()
		defer func() { <-sender.done }()
		isClosed := false
		r := bufio.NewReader(conn)
		for i := range 3 {
			answered, closes := readPipelined(t, r, fmt.Sprint(i))
			if answered && isClosed {
				t.Errorf("%s: response %d follows one that closed the connection", name, i)
			}
			if answered {
				result.answered++
			} else {
				result.unanswered++
				if !isClosed && i > 0 {
					t.Errorf("%s: request %d got no response on a connection that was not closed", name, i)
				}
				if n := w.runs(fmt.Sprint(i)); n > 0 && i > 0 {
					t.Errorf("%s: request %d was sent %d times, but got no response", name, i, n)
				}
			}
			isClosed = isClosed || closes
		}
	})
	return result
}

// pipelineSender sends the requests of a case.
type pipelineSender struct {
	conn io.Writer
	of   *pipelineCase
	done chan struct{}
}

func (s *pipelineSender) run() {
	defer close(s.done)
	key := s.of.key
	for i := range 3 {
		fmt.Fprintf(s.conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %d\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody", s.of.path, i, key)
		key = "secret"
		time.Sleep(s.of.gap)
	}
}

// readPipelined reads a response. It returns whether there is one and whether the connection ends after it.
func readPipelined(t *testing.T, r *bufio.Reader, id string) (answered, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return false, true
	}
	if got := response.Header.Get("Id"); got != "" && got != id {
		t.Errorf("request %s got the response of %s", id, got)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil, response.Close || err != nil
}

// TestPipelinedRequestWithoutResponseIsNotSent has the connection end, or not, at each point of three
// requests that a client has sent ahead.
func TestPipelinedRequestWithoutResponseIsNotSent(t *testing.T) {
	t.Parallel()
	firsts := map[string]pipelineCase{
		"answered":          {key: "secret", first: halves},
		"refused":           {key: "wrong", first: halves},
		"declined":          {key: "secret", first: declineAll},
		"outcome unknown":   {key: "secret", first: func(io.Writer, visit) {}},
		"failed":            {key: "secret", first: answerFailure},
		"cut in its middle": {key: "secret", first: func(w io.Writer, v visit) { begin(w, v.id); event(w, numbered(1)) }},
		"panicked":          {key: "secret", first: answerPanic},
	}
	total := pipelineResult{}
	for name, c := range firsts {
		for _, path := range kinds {
			for _, gap := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
				for _, stopAt := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
					c.path, c.gap, c.stopAt = path, gap, stopAt
					r := c.run(t, fmt.Sprintf("%s, %s, gap %v, stop at %v", name, path, gap, stopAt))
					total.answered += r.answered
					total.unanswered += r.unanswered
				}
			}
		}
	}
	t.Logf("%d requests got a response, %d none", total.answered, total.unanswered)
}

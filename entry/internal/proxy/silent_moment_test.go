package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/clocks"
)

// momentCase has two upstreams respond to one request within a moment of each other.
type momentCase struct {
	path string
	// begun is set if the client has an event before the first upstream falls silent.
	begun bool
	// first and other are how the two respond, offset is how much later the other one does.
	first, other string
	offset       time.Duration
	at           time.Time
}

// The ways in which an upstream responds at the moment.
const (
	wayWhole    = "whole"
	wayFails    = "fails"
	wayDeclines = "declines"
	wayCrashes  = "crashes"
	// wayBreaks writes a part of what is missing.
	wayBreaks = "breaks off"
)

var ways = []string{wayWhole, wayFails, wayDeclines, wayCrashes, wayBreaks}

// momentOffsets are the times around a moment at which something else happens.
func momentOffsets() []time.Duration {
	var all []time.Duration
	for d := -300 * time.Microsecond; d <= 300*time.Microsecond; d += 100 * time.Microsecond {
		all = append(all, d)
	}
	return all
}

func (c *momentCase) body() string { return numbered(1) + numbered(2) + numbered(3) }

func (c *momentCase) script(w io.Writer, v visit) {
	if v.id != "first" {
		framingChunks.write(w, v.id, c.body())
		return
	}
	// The first request is sent to the first upstream, which may be asked again.
	way, at := c.first, c.at
	if v.upstream > 0 {
		way, at = c.other, c.at.Add(c.offset)
	}
	hasBegun := c.begun && v.number == 0
	if hasBegun {
		begin(w, v.id)
		event(w, numbered(1))
	}
	time.Sleep(time.Until(at))
	switch {
	case way == wayCrashes:
		v.crash()
		return
	case way == wayFails && !hasBegun:
		failed(w, v.id)
		return
	case way == wayDeclines && !hasBegun:
		declined(w, v.id)
		return
	case way == wayFails, way == wayDeclines:
		return
	}
	if !hasBegun {
		begin(w, v.id)
	}
	if v.after == "" && !hasBegun {
		event(w, numbered(1))
	}
	event(w, numbered(2))
	if way == wayBreaks {
		return
	}
	time.Sleep(200 * time.Microsecond)
	event(w, numbered(3))
	end(w)
}

// run sends a request and the next one on the connection.
func (c momentCase) run(t *testing.T) {
	play(t, 2, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		c.at = time.Now().Add(silence)
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		fmt.Fprint(conn, wholeRequest(c.path, "first"))
		r := bufio.NewReader(conn)
		if c.checkFirst(t, r) {
			fmt.Fprint(conn, wholeRequest(c.path, "next"))
			c.checkNext(t, r)
		}
		w.checkNothingLeft(t)
	})
}

// checkFirst reads the response, which must be whole if one of the upstreams has written it and the route
// allows another attempt. It returns false if it was cut.
func (c *momentCase) checkFirst(t *testing.T, r *bufio.Reader) bool {
	t.Helper()
	status, body, err := readWhole(r)
	breaks := c.first == wayBreaks || c.other == wayBreaks
	isSound := (c.first == wayWhole || c.other == wayWhole) && (!breaks || c.path != "/flow/x")
	switch {
	case err == nil && status == http.StatusOK && body == c.body():
	case isSound, err == nil && status == http.StatusOK, err != nil && !c.begun && !breaks:
		t.Errorf("%v later: status %d, %q, %v", c.offset, status, body, err)
	case err != nil && !strings.HasPrefix(c.body(), body):
		t.Errorf("%v later: cut after %q", c.offset, body)
	}
	return err == nil
}

// checkNext reads the response to the next request, which must be whole if an upstream is left.
func (c *momentCase) checkNext(t *testing.T, r *bufio.Reader) {
	t.Helper()
	status, body, err := readWhole(r)
	isWhole := status == http.StatusOK && body == c.body()
	isLost := c.first == wayCrashes || c.other == wayCrashes
	if err != nil || !isWhole && (!isLost || status < http.StatusBadGateway) {
		t.Errorf("%v later: next: status %d, %q, %v", c.offset, status, body, err)
	}
}

// readWhole reads a response.
func readWhole(r *bufio.Reader) (status int, body string, err error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	all, err := io.ReadAll(response.Body)
	return response.StatusCode, string(all), err
}

// checkNothingLeft checks that no upstream works on and no place is taken.
func (w *world) checkNothingLeft(t *testing.T) {
	t.Helper()
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
	for _, v := range w.received() {
		select {
		case <-v.ended:
		default:
			t.Errorf("upstream %d works on %s", v.upstream, v.id)
		}
	}
	if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) > 0 {
		t.Errorf("places are still taken: %+v", loads)
	}
}

// TestUpstreamsThatRespondAtOneMomentGiveOneResponse guards against a response that is cut or mixed
// although one of two upstreams has written it.
func TestUpstreamsThatRespondAtOneMomentGiveOneResponse(t *testing.T) {
	t.Parallel()
	for _, first := range ways {
		for _, other := range ways {
			for _, path := range []string{"/any/x", "/flow/x", "/many/x"} {
				for _, begun := range begunCases(path) {
					t.Run(fmt.Sprintf("first %s, other %s, %s, begun %t", first, other, strings.Split(path, "/")[1], begun), func(t *testing.T) {
						for _, offset := range momentOffsets() {
							momentCase{path: path, begun: begun, first: first, other: other, offset: offset}.run(t)
						}
					})
				}
			}
		}
	}
}

package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/state"
)

// versionCase has two engines of a replaced version fall silent in turn while that version ends.
type versionCase struct {
	path string
	// sentAt is when the request is sent, after the release.
	sentAt time.Duration
	// begun is set if the first engine writes an event before it falls silent.
	begun bool
	// silences are those of the first and of the second engine that is asked.
	silences [2]time.Duration
	// breaksAt is when the first engine breaks off after the release, or zero.
	breaksAt time.Duration
	// third is the version that the third engine holds, or zero.
	third int

	released time.Time
	mutex    sync.Mutex
	begins   []time.Duration
}

func versionEvent(n, version int) string {
	return fmt.Sprintf("id: %d\ndata: x%d of %d\n\n", n, n, version)
}

func (c *versionCase) script(w io.Writer, v visit) {
	version := 1
	if v.upstream == 2 {
		version = c.third
	}
	hasBegun := c.begun && v.number == 0
	if hasBegun {
		begin(w, v.id)
		event(w, versionEvent(1, version))
	}
	if v.number < len(c.silences) && version == 1 {
		ends := time.After(c.silences[v.number])
		if v.number == 0 && c.breaksAt > 0 {
			time.Sleep(time.Until(c.released.Add(c.breaksAt)))
			return
		}
		select {
		case <-v.ended:
			return
		case <-ends:
		}
	}
	if !hasBegun {
		if version == 1 {
			c.mutex.Lock()
			c.begins = append(c.begins, time.Since(c.released))
			c.mutex.Unlock()
		}
		begin(w, v.id)
	}
	if v.after == "" && !hasBegun {
		event(w, versionEvent(1, version))
	}
	event(w, versionEvent(2, version))
	time.Sleep(10 * time.Millisecond)
	event(w, versionEvent(3, version))
	end(w)
}

// run returns the status and the body of the response.
func (c *versionCase) run(t *testing.T) (status int, body string, err error) {
	synctest.Test(t, func(t *testing.T) {
		w, apply, stop := newEngineWorld(t, 3, c.script)
		defer stop()
		front := w.serve()
		defer front.stop()
		apply(engineRow(0), engineRow(1))
		if c.third > 0 {
			apply(encoded(state.EncodeUpstream(&state.Upstream{
				ID: "u2", Pool: "p", Address: address(2), Domain: "d", Slots: 4, Held: []state.HeldVersion{{Model: "m", Version: c.third, Whole: true}},
			})))
		}
		c.released = time.Now()
		apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2})))
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		time.Sleep(time.Until(c.released.Add(c.sentAt)))
		fmt.Fprint(conn, wholeRequest(c.path, "first"))
		status, body, err = readWhole(bufio.NewReader(conn))
		w.checkNothingLeft(t)
		for _, b := range c.begins {
			if b > versionTimeout {
				t.Errorf("begun on the replaced version %v after the release", b)
			}
		}
	})
	return status, body, err
}

func isWholeOfOneVersion(body string) bool {
	for version := 1; version <= 2; version++ {
		if body == versionEvent(1, version)+versionEvent(2, version)+versionEvent(3, version) {
			return true
		}
	}
	return false
}

// cutoffTime is how long after a release an entry sends requests to engines of the version before.
const cutoffTime = versionTimeout - 1800*time.Millisecond

// TestEnginesThatAreSilentAsTheirVersionEndsCutNoStream has two engines fall silent and go on, before a
// response or within it.
func TestEnginesThatAreSilentAsTheirVersionEndsCutNoStream(t *testing.T) {
	for _, path := range repeatable {
		for _, begun := range begunCases(path) {
			for third := range 3 {
				for _, second := range []time.Duration{0, 600 * time.Millisecond, silence} {
					t.Run(fmt.Sprintf("%s, begun %t, third engine with version %d, second silent for %v", path, begun, third, second), func(t *testing.T) {
						t.Parallel()
						for sentAt := 4 * time.Second; sentAt < versionTimeout; sentAt += 100 * time.Millisecond {
							c := versionCase{path: path, sentAt: sentAt, begun: begun, silences: [2]time.Duration{silence, second}, third: third}
							status, body, err := c.run(t)
							mustBeWhole := third == 2 || begun && sentAt < cutoffTime || sentAt+silence < withdrawalTime
							isWhole := status == http.StatusOK && isWholeOfOneVersion(body)
							if err != nil || !isWhole && (mustBeWhole || status < http.StatusInternalServerError) {
								t.Errorf("sent after %v: status %d, %q, %v", sentAt, status, body, err)
							}
						}
					})
				}
			}
		}
	}
}

// TestBrokenStreamIsContinuedUntilItsVersionEnds has the engine of a stream break off, and the one that
// continues it be silent at first. The stream may be cut only if no engine may take it any more, or if none
// that may has begun by the end of its version.
func TestBrokenStreamIsContinuedUntilItsVersionEnds(t *testing.T) {
	for _, path := range []string{"/flow/x", "/many/x"} {
		for third := range 3 {
			for _, second := range []time.Duration{0, 600 * time.Millisecond, silence} {
				t.Run(fmt.Sprintf("%s, third engine with version %d, second silent for %v", path, third, second), func(t *testing.T) {
					t.Parallel()
					for at := 4 * time.Second; at < versionTimeout; at += 50 * time.Millisecond {
						c := versionCase{
							path: path, sentAt: min(at-100*time.Millisecond, cutoffTime-100*time.Millisecond), breaksAt: at, begun: true,
							silences: [2]time.Duration{silence, second}, third: third,
						}
						status, body, err := c.run(t)
						isWhole := err == nil && status == http.StatusOK && isWholeOfOneVersion(body)
						hasThird := third == 1 && path == "/many/x" && at < cutoffTime-50*time.Millisecond
						mustBeWhole := hasThird || at < cutoffTime && at+second < withdrawalTime
						if !isWhole && (mustBeWhole || !strings.HasPrefix(versionEvent(1, 1)+versionEvent(2, 1), body)) {
							t.Errorf("broken after %v: status %d, %q, %v", at, status, body, err)
						}
					}
				})
			}
		}
	}
}

package proxy_test

import (
	"context"
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

// levelsCase has streams of a silent engine look for a place at another one while requests of another level
// of urgency wait for it.
type levelsCase struct {
	// silent and waiting are the paths of the streams and of the requests, of which each level has one.
	silent, waiting string
	begun           bool
	// freedAt is when places become free at the other engine, for as many requests.
	freedAt  time.Duration
	places   int
	requests int

	mutex sync.Mutex
	// sentAt are the times at which the waiting requests arrived at an engine.
	sentAt []time.Duration
	// moved counts the streams that arrived at the other engine.
	moved int
}

func (c *levelsCase) script(began time.Time, w io.Writer, v visit) {
	switch {
	case strings.HasPrefix(v.id, "busy"):
		at := c.freedAt
		if v.number >= 4+c.places {
			at = 10 * time.Second
		}
		time.Sleep(time.Until(began.Add(at)))
		good(w, v.id, "ok")
		return
	case strings.HasPrefix(v.id, "waiting"):
		c.mutex.Lock()
		c.sentAt = append(c.sentAt, time.Since(began))
		c.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
		good(w, v.id, numbered(1))
		return
	}
	if v.upstream != 0 {
		c.mutex.Lock()
		c.moved++
		c.mutex.Unlock()
		<-v.ended
		return
	}
	if !c.begun {
		time.Sleep(silence)
	}
	begin(w, v.id)
	event(w, numbered(1))
	if c.begun {
		time.Sleep(silence)
	}
	event(w, numbered(2))
	end(w)
}

// leveledStream is a route of streams that may be continued elsewhere.
func leveledStream(name string, priority int) state.Row {
	return leveledRoute(name, priority, func(r *state.Route) {
		r.Stream, r.Resumable, r.MaxAttempts, r.MaxEventGap, r.Timeout = true, true, 3, 400*time.Millisecond, 5*time.Second
	})
}

func (c *levelsCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		w, apply, stop := newEngineWorld(t, 2, func(w io.Writer, v visit) { c.script(began, w, v) })
		defer stop()
		apply(engineRow(0), leveledStream("urgent", 0), leveledStream("later", 1), leveledRoute("busy", 0, nil))
		var group sync.WaitGroup
		request := func(path, id, want string) {
			group.Go(func() {
				if a := w.request(context.Background(), path, "Id", id); a.aborted || a.Code != http.StatusOK || a.Body.String() != want {
					t.Errorf("%s: aborted %t, status %d, %q", id, a.aborted, a.Code, a.Body)
				}
			})
			synctest.Wait()
		}
		for i := range 4 {
			request(c.silent, fmt.Sprint("stream", i), numbered(1)+numbered(2))
		}
		time.Sleep(20 * time.Millisecond)
		apply(engineRow(1))
		for i := range 4 {
			request("/busy/x", fmt.Sprint("busy", i), "ok")
		}
		time.Sleep(time.Until(began.Add(time.Second)))
		for i := range c.requests {
			request(c.waiting, fmt.Sprint("waiting", i), numbered(1))
		}
		group.Wait()
		for _, at := range c.sentAt {
			if late := at - c.freedAt; c.waiting == "/urgent/x" && c.silent == "/later/x" && late > c.latest() {
				t.Errorf("freed at %v: a more urgent request was sent %v later", c.freedAt, late)
			}
		}
		w.checkNothingLeft(t)
	})
}

// latest returns how late the last of the waiting requests may arrive: they look for a place one after the
// other, each 5 ms.
func (c *levelsCase) latest() time.Duration {
	return time.Duration(c.requests)*5*time.Millisecond + 2*pathDelay
}

// TestStreamsOfASilentEngineLeavePlacesToMoreUrgentRequests guards against an urgent request that waits on
// because a less urgent stream of a silent engine took the place that it waited for.
func TestStreamsOfASilentEngineLeavePlacesToMoreUrgentRequests(t *testing.T) {
	t.Parallel()
	moved := 0
	for _, begun := range []bool{false, true} {
		for _, silent := range []string{"/urgent/x", "/later/x"} {
			for _, waiting := range []string{"/urgent/x", "/later/x"} {
				for _, requests := range []int{1, 4} {
					for _, freedAt := range aroundChecks() {
						c := levelsCase{silent: silent, waiting: waiting, begun: begun, freedAt: freedAt, places: 4, requests: requests}
						t.Run(fmt.Sprintf("begun %t, silent %s, %d waiting %s, freed at %v", begun, silent, requests, waiting, freedAt), c.run)
						moved += c.moved
					}
				}
			}
		}
	}
	if moved == 0 {
		t.Error("no stream looked for a place")
	}
}

// aroundChecks returns times around those at which a stream of a silent engine looks for a place.
func aroundChecks() []time.Duration {
	var all []time.Duration
	for _, check := range []time.Duration{1410 * time.Millisecond, 1610 * time.Millisecond} {
		for d := -12 * time.Millisecond; d <= 12*time.Millisecond; d += 3 * time.Millisecond {
			all = append(all, check+d)
		}
	}
	return all
}

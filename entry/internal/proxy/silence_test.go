package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/budget"
	"currantport.example/core/clocks"
)

// silences are how long a sound upstream may fall silent and go on.
var silences = []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}

// pausing returns a script of upstreams that fall silent within a stream and go on, but for the
// first visits, which stay silent.
func pausing(silence time.Duration, dead int) func(w io.Writer, v visit) {
	return func(w io.Writer, v visit) {
		if v.number < dead {
			<-v.ended
			return
		}
		begin(w, v.id)
		event(w, numbered(1))
		time.Sleep(silence)
		event(w, numbered(2))
		end(w)
	}
}

func TestSilentStreamIsNotCutWhereNoOtherUpstreamCanResumeIt(t *testing.T) {
	for name, c := range map[string]struct {
		path      string
		upstreams int
		limits    budget.Limits
		dead      int
	}{
		"not resumable":        {path: "/gush/x", upstreams: 3, limits: plenty},
		"no other upstream":    {path: "/flow/x", upstreams: 1, limits: plenty},
		"no retry left":        {path: "/flow/x", upstreams: 3},
		"no attempt left":      {path: "/flow/x", upstreams: 3, limits: plenty, dead: 1},
		"all others attempted": {path: "/many/x", upstreams: 2, limits: plenty, dead: 1},
	} {
		for _, silence := range silences {
			playWith(t, c.upstreams, c.limits, pausing(silence, c.dead), func(w *world) {
				a := w.request(context.Background(), c.path)
				if a.aborted || a.Body.String() != numbered(1)+numbered(2) || len(w.received()) != c.dead+1 {
					t.Errorf("%s, %v: aborted %t, %d, %q, %d attempts", name, silence, a.aborted, a.Code, a.Body, len(w.received()))
				}
			})
		}
	}
}

func TestSilentUpstreamIsWaitedForWhereNoOtherCanTakeTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams int
		limits    budget.Limits
	}{
		"no other upstream": {upstreams: 1, limits: plenty},
		"no retry left":     {upstreams: 3},
	} {
		for _, path := range []string{"/any/x", "/flow/x"} {
			for _, silence := range silences {
				playWith(t, c.upstreams, c.limits, func(w io.Writer, v visit) {
					time.Sleep(silence)
					framingLength.write(w, v.id, numbered(1))
				}, func(w *world) {
					if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusOK || len(w.received()) != 1 {
						t.Errorf("%s, %s, %v: aborted %t, %d, %d attempts", name, path, silence, a.aborted, a.Code, len(w.received()))
					}
				})
			}
		}
	}
}

// TestSilentStreamMovesOnceAnotherUpstreamIsBack has the only other upstream be down at first.
func TestSilentStreamMovesOnceAnotherUpstreamIsBack(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		if v.number == 0 {
			event(w, numbered(1))
			<-v.ended
			return
		}
		event(w, numbered(2))
		end(w)
	}, func(w *world) {
		w.publish(1)
		w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		time.AfterFunc(1500*time.Millisecond, func() {
			w.publish(2)
			w.fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
		})
		if a := w.request(context.Background(), "/flow/x"); a.aborted || a.Body.String() != numbered(1)+numbered(2) {
			t.Errorf("aborted %t, %q", a.aborted, a.Body)
		}
	})
}

// TestStreamsOfASilentEngineDontMoveToOnePlace has more streams at a silent engine than the other one
// takes.
func TestStreamsOfASilentEngineDontMoveToOnePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, apply, stop := newEngineWorld(t, 2, func(w io.Writer, v visit) {
			begin(w, v.id)
			if v.after == "" {
				event(w, numbered(1))
				time.Sleep(1500 * time.Millisecond)
			}
			event(w, numbered(2))
			time.Sleep(time.Second)
			end(w)
		})
		defer stop()
		apply(engineRow(0))
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				if a := w.request(context.Background(), "/flow/x", "Id", fmt.Sprint(i)); a.aborted || a.Body.String() != numbered(1)+numbered(2) {
					t.Errorf("aborted %t, %d, %q", a.aborted, a.Code, a.Body)
				}
			})
		}
		time.Sleep(time.Second)
		apply(engineRow(1))
		group.Wait()
	})
}

package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

// leveledRoute returns the row of a route that lets requests wait for a second whatever is predicted.
func leveledRoute(name string, priority int, change func(r *state.Route)) state.Row {
	r := &state.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Targets: []state.Target{{Pool: "p", Weight: 1}}, Priority: priority,
		MaxAttempts: 1, Timeout: 30 * time.Second, Objective: 8 * time.Second,
	}
	if change != nil {
		change(r)
	}
	return encoded(state.EncodeRoute(r))
}

// leveledCall is a request in progress.
type leveledCall struct {
	world  *world
	ctx    context.Context
	path   string
	id     string
	status int
	ended  time.Time
}

func (c *leveledCall) run() {
	c.status = c.world.request(c.ctx, c.path, "Id", c.id).Code
	c.ended = time.Now()
}

// playLevels runs a test with one engine of four slots that are taken until done is closed. All other
// requests are answered at once.
func playLevels(t *testing.T, laterPriority int, test func(w *world, apply func(rows ...state.Row), send func(ctx context.Context, path string) *leveledCall, done chan struct{})) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		w, apply, stop := newEngineWorld(t, 1, func(c io.Writer, v visit) {
			if strings.HasPrefix(v.id, "/urgent/first") {
				<-done
			}
			good(c, v.id, "ok")
		})
		apply(engineRow(0), leveledRoute("urgent", 0, nil), leveledRoute("later", laterPriority, nil))
		send := func(ctx context.Context, path string) *leveledCall {
			c := &leveledCall{world: w, ctx: ctx, path: path, id: path}
			go c.run()
			time.Sleep(10 * time.Millisecond)
			return c
		}
		for i := range 4 {
			send(context.Background(), fmt.Sprint("/urgent/first", i))
		}
		test(w, apply, send, done)
		synctest.Wait()
		stop()
	})
}

// TestWaitEnds guards against requests that go on waiting or are sent although they may no longer be
// served.
func TestWaitEnds(t *testing.T) {
	type change func(w *world, apply func(rows ...state.Row), cancel func())
	for _, c := range []struct {
		name, reason string
		change       change
	}{
		{"client disconnects", "", func(_ *world, _ func(rows ...state.Row), cancel func()) { cancel() }},
		{"key revoked", "key-unknown", func(_ *world, apply func(rows ...state.Row), _ func()) {
			apply(encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"other"}})))
		}},
		{"route removed", "no-route", func(_ *world, apply func(rows ...state.Row), _ func()) {
			apply(removed(leveledRoute("later", 2, nil), nil))
		}},
		{"route moved to another pool", "no-pool", func(_ *world, apply func(rows ...state.Row), _ func()) {
			apply(leveledRoute("later", 2, func(r *state.Route) { r.Targets[0].Pool = "q" }))
		}},
		{"home lost", "home", func(_ *world, apply func(rows ...state.Row), _ func()) {
			apply(leveledRoute("later", 2, func(r *state.Route) { r.Homes = []hosts.Region{"elsewhere"} }))
		}},
		{"domain evacuated", "evacuated", func(_ *world, apply func(rows ...state.Row), _ func()) {
			apply(encoded(state.EncodeEvacuation(state.Evacuation{Domain: "d"})))
		}},
		{"entry stops", "leaving", func(w *world, _ func(rows ...state.Row), _ func()) { w.handler.EndWaits() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			playLevels(t, 2, func(w *world, apply func(rows ...state.Row), send func(context.Context, string) *leveledCall, done chan struct{}) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				waiting := send(ctx, "/later/x")
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if waiting.status != 0 {
					t.Fatalf("status %d of a request that should wait", waiting.status)
				}
				changed := time.Now()
				c.change(w, apply, cancel)
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				if took := waiting.ended.Sub(changed); waiting.status == 0 || took > 10*time.Millisecond {
					t.Errorf("status %d, %v after the change", waiting.status, took)
				}
				if c.reason != "" {
					if n := w.scope.Snapshot().Counters()["requests+ending=not-run,reason="+c.reason]; n == nil || n.Value() != 1 {
						t.Errorf("%v", w.scope.Snapshot().Counters())
					}
				}
				close(done)
				time.Sleep(time.Second)
				synctest.Wait()
				if w.runs("/later/x") > 0 {
					t.Error("the request was sent after its wait had ended")
				}
			})
		})
	}
}

// TestWaitingRequestsGoInOrderOfUrgency guards against a slot that goes to the request that has waited
// longest rather than the most urgent one, and against engines that don't get the level.
func TestWaitingRequestsGoInOrderOfUrgency(t *testing.T) {
	for name, c := range map[string]struct {
		laterPriority int
		want          []string
	}{
		"levels":    {1, []string{"/urgent/x 0", "/later/x 1"}},
		"one level": {0, []string{"/later/x ", "/urgent/x "}},
	} {
		t.Run(name, func(t *testing.T) {
			playLevels(t, c.laterPriority, func(w *world, _ func(rows ...state.Row), send func(context.Context, string) *leveledCall, done chan struct{}) {
				all := []*leveledCall{send(context.Background(), "/later/x"), send(context.Background(), "/urgent/x")}
				// Two requests that are sent at the same moment may arrive in any order.
				done <- struct{}{}
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				close(done)
				time.Sleep(time.Second)
				synctest.Wait()
				var got []string
				for _, v := range w.received()[4:] {
					got = append(got, v.id+" "+v.priority)
				}
				if c.laterPriority == 0 {
					// Which of two equal ones polls first isn't determined.
					slices.Sort(got)
				}
				if d := cmp.Diff(c.want, got); d != "" || all[0].status != http.StatusOK || all[1].status != http.StatusOK {
					t.Error(d, all[0].status, all[1].status)
				}
			})
		})
	}
}

// TestRefusalWithLevelsCountsExclusions guards against an evacuation that the metrics don't show where
// requests differ in urgency.
func TestRefusalWithLevelsCountsExclusions(t *testing.T) {
	playLevels(t, 1, func(w *world, apply func(rows ...state.Row), send func(ctx context.Context, path string) *leveledCall, done chan struct{}) {
		apply(evacuate("d")(w)...)
		send(context.Background(), "/later/x")
		if refused, excluded := w.refusals(string(calls.ReasonEvacuated)); refused != string(calls.ReasonEvacuated) || excluded != 1 {
			t.Errorf("refused because of %q, counted %d times", refused, excluded)
		}
		close(done)
	})
}

package queue_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/entry/internal/queue"
)

const serviceTime = time.Second

type fixedCapacity struct{ size atomic.Int64 }

func (c *fixedCapacity) Capacity(tables.Pool) int { return int(c.size.Load()) }

type roster struct{ list hosts.List }

func (r roster) Now() hosts.List { return r.list }

// world simulates clients whose requests pass the queues and take serviceTime at an upstream.
type world struct {
	t        *testing.T
	queues   *queue.Queues
	capacity *fixedCapacity
	// results receives a line for each request when it ends: workspace, outcome, duration.
	results chan string
	scope   tally.TestScope
}

func newWorld(t *testing.T, size int) *world {
	active := &tables.Active{}
	routes := `{"routes":[{"name":"draft","pool":"model","idempotent":true,"timeout":"5s","limits":[{"workspace":"bound","running":4}]}]}`
	pools := `{"pools":[{"name":"model","kind":"service","hosts":["model-1"]}]}`
	for kind, data := range map[tables.Kind]string{tables.KindRoutes: routes, tables.KindPools: pools} {
		if _, err := active.Apply(kind, tables.Value{Revision: 1, Data: []byte(data)}); err != nil {
			t.Fatal(err)
		}
	}
	entries := hosts.NewList([]hosts.Host{{Name: "entry-1", Role: hosts.RoleEntry, State: hosts.StateLive}, {Name: "entry-2", Role: hosts.RoleEntry, State: hosts.StateLive}})
	w := &world{t: t, capacity: &fixedCapacity{}, results: make(chan string, 256), scope: tally.NewTestScope("", nil)}
	w.capacity.size.Store(int64(size))
	q, stop := queue.New("entry-1", active, w.capacity, roster{entries}, w.scope)
	w.queues = q
	t.Cleanup(stop)
	return w
}

// client sends one request.
type client struct {
	world     *world
	workspace string
	deadline  time.Duration
	started   time.Time
	context   context.Context
}

func (w *world) send(ctx context.Context, workspace string, deadline time.Duration, count int) {
	for range count {
		c := &client{world: w, workspace: workspace, deadline: deadline, started: time.Now(), context: ctx}
		go c.run()
		synctest.Wait()
	}
}

func (c *client) run() {
	ctx, cancel := context.WithDeadline(c.context, c.started.Add(c.deadline))
	defer cancel()
	release, refusal := c.world.queues.Acquire(ctx, calls.Request{Route: "draft", Workspace: c.workspace, Deadline: c.started.Add(c.deadline)})
	result := "answered"
	if refusal == nil {
		time.Sleep(serviceTime)
		release(true)
	} else {
		result = string(refusal.Reason)
		if refusal.Outcome != calls.OutcomeNotRun {
			c.world.t.Errorf("a request that waited is refused with the outcome %s", refusal.Outcome)
		}
	}
	c.world.results <- fmt.Sprintf("%s %s %.0fs", c.workspace, result, time.Since(c.started).Seconds())
}

// tally waits and returns how often each line was received.
func (w *world) tally(after time.Duration) map[string]int {
	time.Sleep(after)
	synctest.Wait()
	counts := make(map[string]int)
	for len(w.results) > 0 {
		counts[<-w.results]++
	}
	return counts
}

func TestAcquire(t *testing.T) {
	cases := []struct {
		name     string
		capacity int
		send     func(w *world)
		want     map[string]int
	}{
		{"free capacity", 2, func(w *world) { w.send(context.Background(), "a", 9*time.Second, 2) }, map[string]int{"a answered 1s": 2}},
		{"a flood doesn't delay another workspace", 2, func(w *world) {
			w.send(context.Background(), "flood", 9*time.Second, 8)
			w.send(context.Background(), "a", 9*time.Second, 1)
		}, map[string]int{"flood answered 1s": 2, "flood answered 2s": 1, "flood answered 3s": 2, "flood answered 4s": 2, "flood answered 5s": 1, "a answered 2s": 1}},
		{"the entry's share of a limit", 9, func(w *world) { w.send(context.Background(), "bound", 9*time.Second, 4) }, map[string]int{"bound answered 1s": 2, "bound answered 2s": 2}},
		{"no upstream is ready", 0, func(w *world) { w.send(context.Background(), "a", 9*time.Second, 1) }, map[string]int{"a answered 1s": 1}},
		{"the deadline passes", 1, func(w *world) {
			w.send(context.Background(), "a", 9*time.Second, 1)
			w.send(context.Background(), "b", 900*time.Millisecond, 1)
		}, map[string]int{"a answered 1s": 1, "b deadline 1s": 1}},
		{"the caller has gone", 1, func(w *world) {
			w.send(context.Background(), "a", 9*time.Second, 1)
			canceled, cancel := context.WithCancel(context.Background())
			cancel()
			w.send(canceled, "b", 9*time.Second, 1)
		}, map[string]int{"a answered 1s": 1, "b canceled 0s": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.capacity)
				c.send(w)
				if diff := cmp.Diff(c.want, w.tally(time.Minute)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestLateRequestIsRefusedAtOnce checks that a request whose deadline can't be met is refused
// without waiting, once the service time is measured.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.send(context.Background(), "a", 9*time.Second, 1)
		w.tally(2 * time.Second)
		w.send(context.Background(), "a", 9*time.Second, 4)
		w.send(context.Background(), "b", 1500*time.Millisecond, 1)
		if diff := cmp.Diff(map[string]int{"b deadline 0s": 1}, w.tally(0)); diff != "" {
			t.Error(diff)
		}
		w.tally(time.Minute)
	})
}

// TestWithdrawnRequestsAreCounted checks that requests whose deadline passes or whose client
// leaves while they wait count as refused.
func TestWithdrawnRequestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		w.send(t.Context(), "meadow", 10*time.Second, 1)
		w.send(ctx, "meadow", 10*time.Second, 1)
		cancel()
		time.Sleep(2 * serviceTime)
		total := int64(0)
		for name, c := range w.scope.Snapshot().Counters() {
			if strings.HasPrefix(name, "queue.refused") {
				total += c.Value()
			}
		}
		if total != 1 {
			t.Errorf("%d refusals counted, want 1", total)
		}
	})
}

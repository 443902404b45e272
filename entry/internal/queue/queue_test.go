package queue_test

import (
	"context"
	"fmt"
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

const service = time.Second

type room struct{ size atomic.Int64 }

func (r *room) Room(tables.Pool) int { return int(r.size.Load()) }

type roster struct{ list hosts.List }

func (r roster) Now() hosts.List { return r.list }

// desk sends requests through queues to upstreams that take a second each.
type desk struct {
	t      *testing.T
	queues *queue.Queues
	room   *room
	// ended gets a line for each request as it ends.
	ended chan string
}

func newDesk(t *testing.T, size int) *desk {
	force := &tables.Active{}
	routes := `{"routes":[{"name":"draft","pool":"model","idempotent":true,"timeout":"5s","limits":[{"workspace":"bound","running":4}]}]}`
	pools := `{"pools":[{"name":"model","kind":"service","hosts":["model-1"]}]}`
	for kind, data := range map[tables.Kind]string{tables.KindRoutes: routes, tables.KindPools: pools} {
		if _, err := force.Apply(kind, tables.Value{Revision: 1, Data: []byte(data)}); err != nil {
			t.Fatal(err)
		}
	}
	entries := hosts.NewList([]hosts.Host{{Name: "entry-1", Role: hosts.RoleEntry, State: hosts.StateLive}, {Name: "entry-2", Role: hosts.RoleEntry, State: hosts.StateLive}})
	d := &desk{t: t, room: &room{}, ended: make(chan string, 256)}
	d.room.size.Store(int64(size))
	q, stop := queue.New("entry-1", force, d.room, roster{entries}, tally.NoopScope)
	d.queues = q
	t.Cleanup(stop)
	return d
}

// request is one caller.
type request struct {
	desk      *desk
	workspace string
	deadline  time.Duration
	begun     time.Time
	context   context.Context
}

func (d *desk) send(ctx context.Context, workspace string, deadline time.Duration, count int) {
	for range count {
		r := &request{desk: d, workspace: workspace, deadline: deadline, begun: time.Now(), context: ctx}
		go r.run()
		synctest.Wait()
	}
}

func (r *request) run() {
	ctx, cancel := context.WithDeadline(r.context, r.begun.Add(r.deadline))
	defer cancel()
	leave, refusal := r.desk.queues.Enter(ctx, calls.Request{Route: "draft", Workspace: r.workspace, Deadline: r.begun.Add(r.deadline)})
	result := "answered"
	if refusal == nil {
		time.Sleep(service)
		leave(true)
	} else {
		result = string(refusal.Reason)
		if refusal.Outcome != calls.OutcomeNotRun {
			r.desk.t.Errorf("a request that waited is refused as %s", refusal.Outcome)
		}
	}
	r.desk.ended <- fmt.Sprintf("%s %s %.0fs", r.workspace, result, time.Since(r.begun).Seconds())
}

// tally returns how often each line came.
func (d *desk) tally(after time.Duration) map[string]int {
	time.Sleep(after)
	synctest.Wait()
	counts := make(map[string]int)
	for len(d.ended) > 0 {
		counts[<-d.ended]++
	}
	return counts
}

func TestEnter(t *testing.T) {
	cases := []struct {
		name string
		room int
		send func(d *desk)
		want map[string]int
	}{
		{"room", 2, func(d *desk) { d.send(context.Background(), "a", 9*time.Second, 2) }, map[string]int{"a answered 1s": 2}},
		{"a flood doesn't delay another workspace", 2, func(d *desk) {
			d.send(context.Background(), "flood", 9*time.Second, 8)
			d.send(context.Background(), "a", 9*time.Second, 1)
		}, map[string]int{"flood answered 1s": 2, "flood answered 2s": 1, "flood answered 3s": 2, "flood answered 4s": 2, "flood answered 5s": 1, "a answered 2s": 1}},
		{"the entry's share of a limit", 9, func(d *desk) { d.send(context.Background(), "bound", 9*time.Second, 4) }, map[string]int{"bound answered 1s": 2, "bound answered 2s": 2}},
		{"no upstream is ready", 0, func(d *desk) { d.send(context.Background(), "a", 9*time.Second, 1) }, map[string]int{"a answered 1s": 1}},
		{"the deadline passes", 1, func(d *desk) {
			d.send(context.Background(), "a", 9*time.Second, 1)
			d.send(context.Background(), "b", 900*time.Millisecond, 1)
		}, map[string]int{"a answered 1s": 1, "b deadline 1s": 1}},
		{"the caller has gone", 1, func(d *desk) {
			d.send(context.Background(), "a", 9*time.Second, 1)
			gone, cancel := context.WithCancel(context.Background())
			cancel()
			d.send(gone, "b", 9*time.Second, 1)
		}, map[string]int{"a answered 1s": 1, "b canceled 0s": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(t, c.room)
				c.send(d)
				if diff := cmp.Diff(c.want, d.tally(time.Minute)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestLateRequestIsRefusedAtOnce holds once the service time is measured.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t, 1)
		d.send(context.Background(), "a", 9*time.Second, 1)
		d.tally(2 * time.Second)
		d.send(context.Background(), "a", 9*time.Second, 4)
		d.send(context.Background(), "b", 1500*time.Millisecond, 1)
		if diff := cmp.Diff(map[string]int{"b deadline 0s": 1}, d.tally(0)); diff != "" {
			t.Error(diff)
		}
		d.tally(time.Minute)
	})
}

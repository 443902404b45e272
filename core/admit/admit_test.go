package admit_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/admit"
	"currantport.example/core/calls"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// scriptedQueue runs scripts on a queue: "a3" offers a ticket of workspace a with
// priority 3, "." admits tickets up to the capacity, "a!" ends a running ticket of
// a, "+" advances the time by a second.
type scriptedQueue struct {
	queue    *admit.Queue
	now      time.Time
	capacity int
	limit    int
	running  []*admit.Ticket
	log      []string
}

func (q *scriptedQueue) run(script string) string {
	for _, step := range strings.Fields(script) {
		switch {
		case step == ".":
			q.record(q.queue.Admit(q.now, q.capacity))
		case step == "+":
			q.now = q.now.Add(time.Second)
		case strings.HasSuffix(step, "!"):
			q.finish(step[:1])
		default:
			t := &admit.Ticket{Workspace: step[:1], Deadline: q.now.Add(10 * time.Second), Limit: q.limit}
			_, _ = fmt.Sscan(step[1:], &t.Priority)
			q.record(q.queue.Offer(q.now, t, q.capacity))
		}
	}
	return strings.Join(q.log, " ")
}

func (q *scriptedQueue) record(all []admit.Decision) {
	for _, c := range all {
		name := fmt.Sprint(c.Ticket.Workspace, c.Ticket.Priority)
		if c.Refusal != nil {
			q.log = append(q.log, fmt.Sprintf("%s:%s", name, c.Refusal.Reason))
			continue
		}
		q.running = append(q.running, c.Ticket)
		q.log = append(q.log, name)
	}
}

func (q *scriptedQueue) finish(workspace string) {
	for i, t := range q.running {
		if t.Workspace == workspace {
			q.queue.Done(q.now, t, true)
			q.running = append(q.running[:i:i], q.running[i+1:]...)
			return
		}
	}
}

func TestQueue(t *testing.T) {
	cases := []struct {
		name       string
		maxWaiting int
		capacity   int
		limit      int
		script     string
		want       string
	}{
		{"free capacity", 9, 2, 0, "a1 b1 c1 .", "a1 b1"},
		{"priorities within a workspace", 9, 1, 0, "a1 a5 a3 . a! . a! .", "a5 a3 a1"},
		{"priorities don't cross workspaces", 9, 2, 0, "a9 a9 a9 b0 .", "a9 b0"},
		{"a flood doesn't delay others", 9, 1, 0, "a1 a1 a1 a1 . + a! b2 . + b! .", "a1 b2 a1"},
		{"long requests are charged their service time", 9, 1, 0, "a1 . + + + + b1 b1 b1 a1 a! . + b! . + b! . + b! .", "a1 b1 b1 b1 a1"},
		{"a flood displaces itself", 3, 1, 0, "a1 a2 a3 b1 . .", "a1:overload a3"},
		{"limit of a workspace", 9, 5, 2, "a1 a1 a1 b1 . a! .", "a1 b1 a1 a1"},
		{"deadline can't be met", 9, 1, 0, "a1 . + + + + + + a! b1 . c1", "a1 b1 c1:deadline"},
		{"deadline passes in the queue", 9, 1, 0, "a1 . b1 + + + + + + + + + + .", "a1 b1:deadline"},
		{"a workspace with short requests isn't refused because of the long ones of another", 9, 2, 0, "a1 a1 . + + + + + + + + + a! b1 . + b! b1 . c1", "a1 a1 b1 b1 c1:deadline"},
		{"an outdated estimate gets a new sample", 9, 1, 0, "a1 . + + + + + + + + + + + a! b1 .", "a1 b1"},
	}
	for _, c := range cases {
		d := &scriptedQueue{queue: admit.NewQueue(c.maxWaiting), now: start, capacity: c.capacity, limit: c.limit}
		if diff := cmp.Diff(c.want, d.run(c.script)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// TestEveryTicketGetsOneDecision runs random sequences of queue operations.
func TestEveryTicketGetsOneDecision(t *testing.T) {
	for seed := range uint64(300) {
		walkQueue(t, seed)
	}
}

// randomWalk runs random operations and checks that each ticket gets one decision.
type randomWalk struct {
	t       *testing.T
	queue   *admit.Queue
	now     time.Time
	random  *rand.Rand
	waiting map[*admit.Ticket]bool
	running []*admit.Ticket
	last    *admit.Ticket
}

func walkQueue(t *testing.T, seed uint64) {
	w := &randomWalk{t: t, queue: admit.NewQueue(5), now: start, random: rand.New(rand.NewPCG(seed, 1)), waiting: make(map[*admit.Ticket]bool)}
	for range 80 {
		w.step()
		if q := w.queue; q.Waiting() != len(w.waiting) || q.Running() != len(w.running) || q.Waiting() > 5 {
			t.Fatalf("seed %d: waiting %d of %d, running %d of %d", seed, q.Waiting(), len(w.waiting), q.Running(), len(w.running))
		}
	}
}

func (w *randomWalk) record(all []admit.Decision) {
	for _, d := range all {
		if !w.waiting[d.Ticket] {
			w.t.Fatal("a second decision")
		}
		delete(w.waiting, d.Ticket)
		if d.Refusal == nil {
			w.running = append(w.running, d.Ticket)
		} else if d.Refusal.Outcome != calls.OutcomeNotRun || d.Refusal.RetryAfter <= 0 {
			w.t.Fatalf("refused with %v", d.Refusal)
		}
	}
}

func (w *randomWalk) step() {
	capacity := w.random.IntN(5)
	switch step := w.random.IntN(6); {
	case step < 2:
		k := &admit.Ticket{Workspace: string(rune('a' + w.random.IntN(3))), Route: "r", Limit: w.random.IntN(3)}
		k.Deadline = w.now.Add(time.Duration(w.random.IntN(10)) * time.Second)
		w.waiting[k], w.last = true, k
		w.record(w.queue.Offer(w.now, k, capacity))
	case step == 2:
		w.record(w.queue.Admit(w.now, capacity))
	case step == 3 && len(w.running) > 0:
		w.queue.Done(w.now, w.running[0], true)
		w.running = w.running[1:]
	case step == 4:
		if w.last != nil && w.waiting[w.last] != w.queue.Cancel(w.last) {
			w.t.Fatal("Cancel must succeed for waiting tickets only")
		}
		delete(w.waiting, w.last)
	default:
		w.now = w.now.Add(time.Second)
	}
}

func TestEntryLimit(t *testing.T) {
	for _, c := range []struct{ limit, entries, want int }{{0, 7, 0}, {10, 1, 10}, {10, 3, 10}, {21, 7, 21}, {3, 7, 7}} {
		sum := 0
		for i := range c.entries {
			sum += admit.EntryLimit(c.limit, c.entries, i)
		}
		if sum != c.want {
			t.Errorf("the parts of limit %d for %d entries add up to %d, want %d", c.limit, c.entries, sum, c.want)
		}
	}
}

func TestBudget(t *testing.T) {
	var b admit.Budget
	retries := 0
	for range 1000 {
		b.RecordRequest()
		for range 3 {
			if b.TrySpend() {
				retries++
			}
		}
	}
	if retries < 100 || retries > 111 {
		t.Errorf("%d retries for 1000 first attempts", retries)
	}
}

// BenchmarkQueue measures the time per request with a full queue of many workspaces.
func BenchmarkQueue(b *testing.B) {
	const spaces, requests = 200, 50000
	for b.Loop() {
		q, now := admit.NewQueue(512), start
		var running []*admit.Ticket
		began := time.Now()
		for i := range requests {
			now = now.Add(time.Millisecond)
			t := &admit.Ticket{Workspace: fmt.Sprint("w", i%spaces), Deadline: now.Add(time.Minute)}
			q.Offer(now, t, 64)
			for _, d := range q.Admit(now, 64) {
				running = append(running, d.Ticket)
			}
			if len(running) == 64 && i%2 == 0 {
				q.Done(now, running[0], true)
				running = running[1:]
			}
		}
		fmt.Printf("bench=admit spaces=%d waiting=%d cost=%dns\n", spaces, q.Waiting(), time.Since(began).Nanoseconds()/requests)
	}
}

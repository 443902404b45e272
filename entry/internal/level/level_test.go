package level_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/level"
)

var start = time.Unix(1e9, 0)

// TestReservesFollowShortage guards against reserves that leave slots idle without a shortage, that come
// too late in a burst, that outlast it, or that ignore the shortage at other entries of the region.
func TestReservesFollowShortage(t *testing.T) {
	m := level.NewMeter(3)
	at := start
	send := func(span time.Duration, hasRoom bool) []float64 {
		for end := at.Add(span); at.Before(end); at = at.Add(10 * time.Millisecond) {
			m.RecordArrival(at, 0, hasRoom)
			m.RecordArrival(at, 1, true)
		}
		return m.Reserves(at)
	}
	if r := send(3*time.Second, true); r[3] != 0 {
		t.Errorf("reserves %v without a shortage", r)
	}
	r := send(170*time.Millisecond, false)
	if r[0] != 0 || r[1] < 0.1 || r[2] != r[1] || r[3] != r[1] {
		t.Errorf("reserves %v after 170 ms of a burst", r)
	}
	if r := send(4*time.Second, true); r[3] != 0 {
		t.Errorf("reserves %v seconds after the burst", r)
	}
	m.Receive(at, "other", level.Counts{Arrived: []float64{0, 400, 0}, Placed: []float64{0, 0, 0}})
	if r := m.Reserves(at); r[1] != 0 || r[2] < 0.1 {
		t.Errorf("reserves %v though level 1 finds no room at another entry", r)
	}
	if r := m.Reserves(at.Add(time.Second)); r[3] != 0 {
		t.Errorf("reserves %v a second after the last message of another entry", r)
	}
	m.Receive(at, hosts.Name("older"), level.Counts{Arrived: []float64{400}, Placed: []float64{0}})
	if r := m.Reserves(at); r[1] != 0 {
		t.Errorf("reserves %v from an entry with one level", r)
	}
}

// request returns a waiting request that is never refused by prediction.
func request(urgency int, workspace string) level.Request {
	return level.Request{Level: urgency, Workspace: workspace, Kind: fmt.Sprint(urgency), Prompt: 100, Grace: time.Hour, Until: start.Add(time.Hour)}
}

// TestQueueOrder places all waiting requests, one after the other. It guards against a less urgent
// request that gets the slot of a more urgent one, a workspace whose many requests delay those of
// others, and a request that is delayed by others that need different engines.
func TestQueueOrder(t *testing.T) {
	q := level.NewQueue(3)
	homes := state.HomesOf(&state.Route{Homes: []hosts.Region{"r"}}, nil)
	names := make(map[*level.Ticket]string)
	var all []*level.Ticket
	add := func(name string, r level.Request) {
		ticket := q.Add(start, r)
		names[ticket] = name
		all = append(all, ticket)
	}
	add("level 2", request(2, "a"))
	for i := range 3 {
		add(fmt.Sprintf("flood %d", i), request(1, "flood"))
	}
	add("quiet", request(1, "b"))
	returned := request(0, "c")
	returned.Returned = true
	add("returned", returned)
	add("urgent", request(0, "d"))
	bound := request(0, "e")
	bound.Homes = homes
	var order []string
	poll := func() {
		for i, ticket := range all {
			if ticket != nil && q.Poll(start, ticket, func(ahead []state.Homes) bool { return len(ahead) == 0 }) == level.Placed {
				order = append(order, names[ticket])
				all[i] = nil
				return
			}
		}
	}
	for range all {
		poll()
	}
	if d := cmp.Diff([]string{"urgent", "returned", "flood 0", "quiet", "flood 1", "flood 2", "level 2"}, order); d != "" {
		t.Error(d)
	}
	first, second := q.Add(start, bound), q.Add(start, request(1, "f"))
	var ahead []state.Homes
	if q.Poll(start, second, func(h []state.Homes) bool { ahead = h; return false }); len(ahead) != 1 || !ahead[0].IsBound() {
		t.Errorf("%v ahead of a request that needs other engines", ahead)
	}
	if q.Remove(first); q.Poll(start, second, func(h []state.Homes) bool { return len(h) == 0 }) != level.Placed {
		t.Error("a request that left the queue still delays others")
	}
}

// TestQueueRefusesWhatIsNotPlacedInTime guards against clients that wait although they won't be served,
// and against refusals of requests that would be placed in time.
func TestQueueRefusesWhatIsNotPlacedInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		placed int
		level  int
		after  time.Duration
		want   level.Verdict
	}{
		{"no placements, within the wait that costs nothing", 0, 0, 49 * time.Millisecond, level.Waiting},
		{"no placements", 0, 0, 50 * time.Millisecond, level.Refused},
		{"many placements", 40, 1, 50 * time.Millisecond, level.Waiting},
		{"many placements, too late", 40, 1, 250 * time.Millisecond, level.Refused},
		{"few placements", 6, 1, 100 * time.Millisecond, level.Refused},
		{"few placements, most urgent", 6, 0, 100 * time.Millisecond, level.Waiting},
		{"placements of a more urgent level only", 40, 2, 50 * time.Millisecond, level.Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := level.NewQueue(3)
			for range c.placed {
				q.Poll(start, q.Add(start, request(1, "w")), func([]state.Homes) bool { return true })
			}
			r := request(c.level, "w")
			r.Grace, r.Until = 50*time.Millisecond, start.Add(250*time.Millisecond)
			ticket := q.Add(start, r)
			if got := q.Poll(start.Add(c.after), ticket, func([]state.Homes) bool { return false }); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

// TestQueueIsBounded guards against waiting requests that exhaust the memory of the entry.
func TestQueueIsBounded(t *testing.T) {
	for name, bytes := range map[string]int{"number": 0, "bytes": 1 << 20} {
		q, n := level.NewQueue(2), 0
		r := request(1, "w")
		for r.Bytes = bytes; n < 1000 && q.Add(start, r) != nil; n++ {
		}
		if n == 0 || n == 1000 || strings.HasPrefix(name, "b") && n > 64 {
			t.Errorf("%s: %d requests wait", name, n)
		}
	}
}

// TestLeastShares places only exempt requests of the last level, as at three times the capacity. It
// guards against kinds that starve, and against more exemptions than the least share needs.
func TestLeastShares(t *testing.T) {
	for _, c := range []struct {
		name        string
		urgent      float64
		least, most float64
	}{{"overload", 0.5, 0.25, 0.5}, {"all served", 1, 0.3, 0.5}} {
		q, served := level.NewQueue(2), 0
		const total = 2000
		for i := range total {
			now := start.Add(time.Duration(i) * 20 * time.Millisecond)
			if ticket := q.Add(now, request(0, "a")); i%2 == 0 || c.urgent == 1 {
				q.Poll(now, ticket, func([]state.Homes) bool { return true })
			} else {
				q.Remove(ticket)
			}
			last := q.Add(now, request(1, "a"))
			if q.Poll(now, last, func([]state.Homes) bool { return last.Exempt }) == level.Placed {
				served++
			}
			q.Remove(last)
		}
		overall := (c.urgent + float64(served)/total) / 2
		if share := float64(served) / total / overall; share < c.least || share > c.most {
			t.Errorf("%s: %.2f of the overall share", c.name, share)
		}
	}
}

package queue

import (
	"slices"
	"strconv"

	"currantport.example/core/wire"
)

// Report implements manage.Reporter. For each pool it adds the requests that
// wait, those in progress and how many there is room for.
func (q *Queues) Report(s *wire.StatusReply) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	names := make([]string, 0, len(q.lines))
	for n := range q.lines {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		l := q.lines[n]
		s.Facts = append(s.Facts,
			&wire.Fact{Name: n + ".waiting", Value: strconv.Itoa(l.queue.Waiting())},
			&wire.Fact{Name: n + ".running", Value: strconv.Itoa(l.queue.Running())},
			&wire.Fact{Name: n + ".room", Value: strconv.Itoa(q.fleet.Capacity(l.pool))},
		)
	}
}

package queue

import (
	"slices"
	"strconv"

	"currantport.example/core/wire"
)

// Report implements manage.Reporter. For each pool it adds the number of waiting requests, of
// those in progress, and the capacity.
func (q *Queues) Report(s *wire.StatusReply) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	names := make([]string, 0, len(q.pools))
	for n := range q.pools {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		p := q.pools[n]
		s.Facts = append(s.Facts,
			&wire.Fact{Name: n + ".waiting", Value: strconv.Itoa(p.queue.Waiting())},
			&wire.Fact{Name: n + ".running", Value: strconv.Itoa(p.queue.Running())},
			&wire.Fact{Name: n + ".room", Value: strconv.Itoa(q.fleet.Capacity(p.pool))},
		)
	}
}

package level

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"currantport.example/core/state"
	"currantport.example/core/timing"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait at an entry for a pool, and
	// their bodies. An entry places some dozens of requests in the time for which one may wait.
	maxWaiting      = 128
	maxWaitingBytes = 64 << 20
	// rateWindow is the time constant of the measured rate of placements.
	rateWindow = 2 * time.Second
	// minChance is the probability of being placed in time below which a request is refused. A
	// refusal after a wait serves a client worse than one at once. minUrgentChance is the same for
	// the most urgent requests, of which few have to be refused.
	minChance       = 0.5
	minUrgentChance = 0.28
)

// Request is what the order of the requests for a pool depends on.
type Request struct {
	// Level is the urgency of the request, zero for the most urgent.
	Level int
	// Returned is set for a client that was refused before.
	Returned bool
	// Kind is the name of the route, Workspace that of the workspace.
	Kind      string
	Workspace string
	// Prompt is the length of the prompt in tokens, Bytes that of the body.
	Prompt int
	Bytes  int
	// Homes are the regions that may serve the request. Group differs between requests that
	// need different engines for other reasons.
	Homes state.Homes
	Group string
	// Further is set for a further attempt of a request that was counted before.
	Further bool
	// Grace is how long the request may wait whatever is predicted, because the wait costs the
	// client nothing. Until is the time from which it would be placed too late.
	Grace time.Duration
	Until time.Time
}

// Ticket is a request that waits for an engine.
type Ticket struct {
	Request
	// Exempt is set for requests that count as most urgent because of a least share.
	Exempt bool
	since  time.Time
	serial uint64
}

// rank orders by level. Newcomers go before clients that return with the same level, whose
// responses are late in any case.
func (t *Ticket) rank() int {
	switch {
	case t.Exempt:
		return 0
	case t.Returned:
		return 2*t.Level + 1
	}
	return 2 * t.Level
}

// Queue orders the requests of an entry that wait for an engine of a pool. It is not safe for
// concurrent use.
type Queue struct {
	shares  *Shares
	waiting []*Ticket
	serial  uint64
	bytes   int
	// turns holds the next turn of each workspace that had a placement lately, and turn the last
	// one that was used. A workspace without an entry is due at turn.
	turns map[string]float64
	turn  float64
	// placed are the placements in the last seconds by rank, at placedAt.
	placed   []float64
	placedAt time.Time
}

// NewQueue returns an empty queue.
func NewQueue(levels int) *Queue {
	return &Queue{shares: NewShares(levels), turns: make(map[string]float64), placed: make([]float64, 2*levels)}
}

// Add puts a request into the queue. It returns nil if the queue is full.
func (q *Queue) Add(now time.Time, r Request) *Ticket {
	isExempt := q.shares.Arrive(now, r)
	if len(q.waiting) >= maxWaiting || q.bytes+r.Bytes > maxWaitingBytes {
		return nil
	}
	q.serial++
	t := &Ticket{Request: r, Exempt: isExempt, since: now, serial: q.serial}
	q.waiting = append(q.waiting, t)
	q.bytes += r.Bytes
	return t
}

// Verdict is the result of a poll.
type Verdict int

// The verdicts.
const (
	// Waiting means that the request is to be polled again.
	Waiting Verdict = iota
	// Placed means that an engine was chosen.
	Placed
	// Refused means that the request won't be placed in time.
	Refused
)

// Poll chooses an engine for a waiting request if it is its turn. The function choose must leave a slot
// free for each of the given homes, which are those of the requests ahead, and reports whether it
// found an engine. The wait has ended unless the verdict is Waiting.
func (q *Queue) Poll(now time.Time, t *Ticket, choose func(ahead []state.Homes) bool) Verdict {
	n, isFirst, homes := q.ahead(t)
	switch {
	case isFirst && choose(homes):
		q.place(now, t)
		return Placed
	case now.Before(t.since.Add(t.Grace)) || q.chance(now, t, n) >= t.requiredChance():
		return Waiting
	}
	q.Remove(t)
	return Refused
}

// Remove ends the wait of a request. Further calls have no effect.
func (q *Queue) Remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.bytes -= t.Bytes
	if len(q.waiting) == 0 {
		clear(q.turns)
		q.turn = 0
	}
}

// place ends the wait of a request for which an engine was chosen.
func (q *Queue) place(now time.Time, t *Ticket) {
	q.shares.Serve(now, t.Request)
	q.decay(now)
	q.placed[min(t.rank(), len(q.placed)-1)]++
	q.turn = max(q.turns[t.Workspace], q.turn)
	q.turns[t.Workspace] = q.turn + 1
	maps.DeleteFunc(q.turns, func(_ string, turn float64) bool { return turn <= q.turn })
	q.Remove(t)
}

func (q *Queue) decay(now time.Time) {
	if d := now.Sub(q.placedAt); d > 0 {
		factor := math.Exp(-float64(d) / float64(rateWindow))
		for i := range q.placed {
			q.placed[i] *= factor
		}
		q.placedAt = now
	}
}

// compare orders two waiting requests: by rank, then in turns of the workspaces, then by arrival.
func (q *Queue) compare(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(max(q.turns[a.Workspace], q.turn), max(q.turns[b.Workspace], q.turn)),
		cmp.Compare(a.serial, b.serial),
	)
}

// ahead returns the number of requests that go before this one and their homes. IsFirst is set if none
// of them has the same homes and group.
func (q *Queue) ahead(t *Ticket) (n int, isFirst bool, homes []state.Homes) {
	isFirst = true
	for _, o := range q.waiting {
		if o == t || q.compare(o, t) >= 0 {
			continue
		}
		n++
		if o.Group == t.Group && o.Homes.IsBound() == t.Homes.IsBound() && slices.Equal(o.Homes.Regions(), t.Homes.Regions()) {
			isFirst = false
		}
		homes = append(homes, o.Homes)
	}
	return n, isFirst, homes
}

// chance returns the probability that a request is placed in time, from the number of those that go
// before it and the rate of placements of its rank and of less urgent ones. Slots are assumed to become
// free at random times.
func (q *Queue) chance(now time.Time, t *Ticket, ahead int) float64 {
	q.decay(now)
	placed := 0.0
	for _, p := range q.placed[min(t.rank(), len(q.placed)-1):] {
		placed += p
	}
	remaining := t.Until.Sub(now)
	if remaining <= 0 {
		return 0
	}
	return 1 - math.Exp(-float64(remaining)/float64(rateWindow)*placed/float64(ahead+1))
}

func (t *Ticket) requiredChance() float64 {
	if t.Level == 0 || t.Exempt {
		return minUrgentChance
	}
	return minChance
}

// MaxWait returns how long after its arrival a request may be placed and still be in time at an engine
// with one free slot. A client that returns is late in any case and may wait as long as a newcomer.
func MaxWait(e *state.Engine, objective time.Duration) time.Duration {
	busy := timing.Load{Running: e.Slots - 1, Unread: e.PromptTokens}
	return max(objective-timing.FirstEvent(e, busy, e.PromptTokens), 0)
}

// Ahead returns the homes of the waiting requests that go before a request of the level that doesn't
// wait in the queue.
func (q *Queue) Ahead(r Request) []state.Homes {
	var homes []state.Homes
	rank := (&Ticket{Request: r}).rank()
	for _, o := range q.waiting {
		if o.rank() < rank {
			homes = append(homes, o.Homes)
		}
	}
	return homes
}

// Package budget bounds how often requests are sent again, so that repeats can't
// add to what overloads a pool. It does no I/O.
package budget

import "time"

// slots is the number of parts into which the window is cut. The requests of the last
// half of it count: whichever window a later repeat is judged by, these lie in it, in
// the one before or in the one half a window before.
const slots = 20

// safety is the share of the slack that is used, since the entries don't see each
// other's repeats.
const safety = 0.8

// Limits bound the repeats of all entries together.
type Limits struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Slack is the number of repeats beyond these in a window.
	Slack float64
	// Window is any span of that length.
	Window time.Duration
}

// slot counts what fell into one part of the window.
type slot struct {
	number   int64
	requests int
	repeats  int
}

// Budget counts the requests and repeats that one entry sends to one pool. It isn't
// safe for concurrent use.
type Budget struct {
	limits Limits
	// ring holds one slot more than the window, since the oldest one that counts lies
	// in it only in part.
	ring [slots + 1]slot
}

// New returns a budget of which nothing is used.
func New(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) at(now time.Time) *slot {
	number := now.UnixNano() / int64(max(b.limits.Window/slots, 1))
	s := &b.ring[number%(slots+1)]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// RecordRequest counts a first sending.
func (b *Budget) RecordRequest(now time.Time) { b.at(now).requests++ }

// TrySpend takes a repeat from the budget and reports whether there was one. Entries is
// the number of entries that share the slack.
func (b *Budget) TrySpend(now time.Time, entries int) bool {
	current := b.at(now)
	requests, repeats := 0, 0
	for _, s := range b.ring {
		age := current.number - s.number
		if age < slots/2 {
			requests += s.requests
		}
		if age <= slots {
			repeats += s.repeats
		}
	}
	share := safety * b.limits.Slack / float64(max(entries, 1))
	if float64(repeats+1) > b.limits.Ratio*float64(requests)+share {
		return false
	}
	current.repeats++
	return true
}

// Package budget bounds how often requests are retried, so that retries can't add to the
// overload of a pool. It does no I/O.
package budget

import "time"

// windowSlots is the number of slots that a window is divided into. Only the requests of
// the last half window count: whichever window a later retry is assessed in, they lie in
// that window, in the one before or in the one that is half a window earlier.
const windowSlots = 20

// slackRatio is the part of the slack that is used, since entries don't see each other's
// retries.
const slackRatio = 0.8

// Limits bound the retries of all entries together, in any span of the length Window.
type Limits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in a window in addition to these.
	Slack float64
	// Window is the length of the span.
	Window time.Duration
}

// slot counts the events of one part of the window.
type slot struct {
	number   int64
	requests int
	retries  int
}

// Budget counts the requests and retries that one entry sends to one pool. It isn't safe
// for concurrent use.
type Budget struct {
	limits Limits
	// ring holds one slot more than the window, since the oldest slot overlaps the window
	// only partly.
	ring [windowSlots + 1]slot
}

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) slotAt(now time.Time) *slot {
	number := now.UnixNano() / int64(max(b.limits.Window/windowSlots, 1))
	s := &b.ring[number%(windowSlots+1)]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) { b.slotAt(now).requests++ }

// TrySpend takes a retry from the budget and reports whether there was one. Entries is the
// number of entries that share the slack.
func (b *Budget) TrySpend(now time.Time, entries int) bool {
	current := b.slotAt(now)
	requests, retries := 0, 0
	for _, s := range b.ring {
		age := current.number - s.number
		if age < windowSlots/2 {
			requests += s.requests
		}
		if age <= windowSlots {
			retries += s.retries
		}
	}
	share := slackRatio * b.limits.Slack / float64(max(entries, 1))
	if float64(retries+1) > b.limits.Ratio*float64(requests)+share {
		return false
	}
	current.retries++
	return true
}

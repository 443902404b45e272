// Package quota divides the requests that an upstream takes in a second among the entries that
// send them. It does no I/O.
//
// # Limits
//
// An upstream names its limit in its responses, to whichever entry gets one. A Limit carries a
// serial, so that entries that learn of changes in different orders agree on the last one.
//
// # Owner
//
// One entry owns the limit of an upstream and spends it through an Allotter. It takes for its own
// requests directly; other entries ask it. An entry that has to wait gets a turn, so that each
// entry with requests gets its part, and no entry asks more often than there is something to get.
package quota

import (
	"maps"
	"math"
	"time"

	"currantport.example/core/hosts"
)

const (
	// minRate and maxRate bound the rate that is used, in requests a second. A limit of zero or
	// nearly so still lets a request through now and then, since only a response can tell that
	// the limit has ended.
	minRate = 0.1
	maxRate = 1e6
	// baseBurst is the number of requests that may be sent at once, burstTime the time in which
	// further ones are saved up.
	baseBurst = 2
	burstTime = 100 * time.Millisecond
	// turnTime is how long a turn is kept for an entry that doesn't ask.
	turnTime = 40 * time.Millisecond
	// maxTurnWait bounds the time until a turn. An entry whose turn would be later gets none, and
	// may ask again after that time.
	maxTurnWait = 10 * time.Second
	// minWait is the shortest wait for a request that isn't granted at once.
	minWait = time.Millisecond
)

// Limit is the number of requests a second that one process of an upstream takes from all entries
// together. The zero value is that of an upstream that has named none.
type Limit struct {
	// Rate is in requests a second, or zero for no limit.
	Rate float64
	// Serial is higher for what is known to have been named later.
	Serial uint64
}

// Clamp returns the rate by which an upstream is used that names a rate of zero or more.
func Clamp(named float64) float64 {
	if math.IsNaN(named) {
		return minRate
	}
	return min(max(named, minRate), maxRate)
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.Rate > 0 }

// Supersedes reports whether l replaces o. Of two that were named at the same time the stricter
// one does.
func (l Limit) Supersedes(o Limit) bool {
	if l.Serial != o.Serial {
		return l.Serial > o.Serial
	}
	return l.IsSet() && (!o.IsSet() || l.Rate < o.Rate)
}

// Allotter hands out the requests of one upstream. The zero value has none saved up. It isn't safe
// for concurrent use.
type Allotter struct {
	// saved is the number of requests that could be sent at the time filledAt.
	saved    float64
	filledAt time.Time
	// turns holds the time from which the next request is kept for an entry; lastTurn is the
	// latest of them.
	turns    map[hosts.Name]time.Time
	lastTurn time.Time
}

// Clone returns an independent copy.
func (a *Allotter) Clone() Allotter {
	c := *a
	c.turns = maps.Clone(a.turns)
	return c
}

// Reset discards what is saved up and all turns. Call it when an entry becomes the owner.
func (a *Allotter) Reset(now time.Time) { *a = Allotter{filledAt: now} }

// fill adds what has been saved up since the last call.
func (a *Allotter) fill(now time.Time, rate float64) {
	if a.filledAt.IsZero() {
		a.filledAt = now
	}
	if passed := now.Sub(a.filledAt); passed > 0 {
		a.saved += passed.Seconds() * rate
		a.filledAt = now
	}
	a.saved = min(a.saved, baseBurst+burstTime.Seconds()*rate)
	for name, at := range a.turns {
		if now.Sub(at) > turnTime {
			delete(a.turns, name)
		}
	}
}

// due returns the number of turns of other entries that have come.
func (a *Allotter) due(now time.Time, name hosts.Name) int {
	n := 0
	for other, at := range a.turns {
		if other != name && !now.Before(at) {
			n++
		}
	}
	return n
}

// Has reports whether Take would grant a request to the entry.
func (a *Allotter) Has(now time.Time, rate float64, name hosts.Name) bool {
	a.fill(now, rate)
	at, hasTurn := a.turns[name]
	if hasTurn {
		return a.saved >= 1 && !now.Before(at)
	}
	return a.saved >= float64(1+a.due(now, name))
}

// Take grants the entry up to count requests. If it grants none, it returns the time after which to
// ask again.
func (a *Allotter) Take(now time.Time, rate float64, name hosts.Name, count int) (int, time.Duration) {
	if wait := a.Wait(now, rate, name); wait > 0 {
		return 0, wait
	}
	delete(a.turns, name)
	granted := max(min(count, int(a.saved)-a.due(now, name)), 1)
	a.saved -= float64(granted)
	return granted, 0
}

// Wait returns the time after which Take grants the entry a request, and gives it a turn if that
// isn't at once.
func (a *Allotter) Wait(now time.Time, rate float64, name hosts.Name) time.Duration {
	if a.Has(now, rate, name) {
		return 0
	}
	refill := time.Duration(max(1-a.saved, 0) / rate * float64(time.Second))
	if at, ok := a.turns[name]; ok {
		return max(at.Sub(now), refill, minWait)
	}
	at := now.Add(min(refill, maxTurnWait))
	if next := a.lastTurn.Add(time.Duration(float64(time.Second) / rate)); len(a.turns) > 0 && next.After(at) {
		at = next
	}
	if at.Sub(now) > maxTurnWait {
		return maxTurnWait
	}
	if a.turns == nil {
		a.turns = make(map[hosts.Name]time.Time)
	}
	a.turns[name], a.lastTurn = at, at
	return max(at.Sub(now), minWait)
}

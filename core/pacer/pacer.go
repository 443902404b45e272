// Package pacer shares a rate limit among processes that don't speak with each
// other.
//
// # Rate
//
// The service behind a limit refuses calls above it. Each process keeps a rate
// of its own: a refusal cuts it by half, and while calls are taken it grows by
// the same amount a second, whatever it is. The rates of all processes so settle
// around equal shares of the limit.
//
// # Refusals
//
// A refusal that names a time is honoured with jitter: no call is made before
// it, and the processes that were refused together come back apart. Refusals of
// calls that were already on their way cut the rate once.
package pacer

import "time"

const (
	startRate = 16
	leastRate = 0.05
	mostRate  = 1024
	// growth is what the rate gains in a second of calls, in calls a second. A
	// rate below one gains that share of itself with each call.
	growth = 0.1
	cut    = 0.5
	// refusedWait is the pause after a refusal that names no time.
	refusedWait = 500 * time.Millisecond
	longestWait = time.Minute
)

// Pacer decides when a process may make its next call. It does no I/O and isn't
// safe for use by several goroutines.
type Pacer struct {
	// rate is in calls a second, from leastRate to mostRate.
	rate float64
	// next is the earliest time of the next call.
	next time.Time
	// since is when the rate was cut last. Calls that began before it don't cut
	// it again.
	since time.Time
	// refusals counts those since the last call that was taken.
	refusals int
}

// New returns a pacer that hasn't met a refusal.
func New() *Pacer { return &Pacer{rate: startRate} }

// Rate returns the rate in calls a second.
func (p *Pacer) Rate() float64 { return p.rate }

// Refusals returns the number of refusals since the last call that was taken.
func (p *Pacer) Refusals() int { return p.refusals }

// Delay returns how long the next call would have to wait.
func (p *Pacer) Delay(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// Reserve takes the next slot and returns how long to wait for it.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	at := p.next
	if at.Before(now) {
		at = now
	}
	p.next = at.Add(time.Duration(float64(time.Second) / p.rate))
	return at.Sub(now)
}

// RecordSuccess records that a call was taken.
func (p *Pacer) RecordSuccess() {
	p.refusals = 0
	p.rate = min(mostRate, p.rate+growth*min(p.rate, 1/p.rate))
}

// RecordRefusal records that a call that began at the given time was refused. Wait is
// what the service asked for, or zero; jitter is from 0 to 1.
func (p *Pacer) RecordRefusal(began, now time.Time, wait time.Duration, jitter float64) {
	p.refusals++
	if !began.Before(p.since) {
		p.rate = max(leastRate, p.rate*cut)
		p.since = now
	}
	if wait <= 0 {
		wait = refusedWait
	}
	wait = min(wait, longestWait)
	back := now.Add(wait + time.Duration(jitter*float64(wait)))
	if p.next.Before(back) {
		p.next = back
	}
}

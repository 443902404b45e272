// Package pacer shares a rate limit among processes that don't communicate with each
// other.
//
// # Rate
//
// The service behind a limit refuses calls above it. Each process adapts its own rate
// by additive increase and multiplicative decrease: a refusal halves it, and accepted
// calls raise it by a fixed amount per second. The rates of all processes therefore
// converge to equal shares of the limit.
//
// # Refusals
//
// No call is made before the Retry-After of a refusal has passed. Jitter spreads the
// retries of processes that were refused together. Refusals of calls that were in
// progress at the same time cut the rate only once.
package pacer

import "time"

const (
	// initialRate, minRate and maxRate are in calls per second.
	initialRate = 16
	minRate     = 0.05
	maxRate     = 1024
	// rateGrowth is the increase of the rate per second of accepted calls, in calls per
	// second. A rate below one grows by this ratio with each accepted call.
	rateGrowth    = 0.1
	refusalFactor = 0.5
	// defaultRetryAfter applies to a refusal without a Retry-After.
	defaultRetryAfter = 500 * time.Millisecond
	maxRetryAfter     = time.Minute
)

// Pacer decides when a process may make its next call. It does no I/O. It is created
// by New and isn't safe for concurrent use.
type Pacer struct {
	// rate is in calls per second, from minRate to maxRate.
	rate float64
	// next is the earliest time of the next call.
	next time.Time
	// cutAt is the time of the last cut of the rate. Refusals of calls that started
	// before it don't cut the rate again.
	cutAt time.Time
	// refusals counts those since the last accepted call.
	refusals int
}

// New returns a pacer with the initial rate.
func New() *Pacer { return &Pacer{rate: initialRate} }

// Rate returns the rate in calls per second.
func (p *Pacer) Rate() float64 { return p.rate }

// Refusals returns the number of refusals since the last accepted call.
func (p *Pacer) Refusals() int { return p.refusals }

// Delay returns the time until the next call may be made. It reserves nothing.
func (p *Pacer) Delay(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }

// Reserve reserves the next call and returns how long to wait before making it.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	at := p.next
	if at.Before(now) {
		at = now
	}
	p.next = at.Add(time.Duration(float64(time.Second) / p.rate))
	return at.Sub(now)
}

// RecordSuccess records that a call was accepted.
func (p *Pacer) RecordSuccess() {
	p.refusals = 0
	p.rate = min(maxRate, p.rate+rateGrowth*min(p.rate, 1/p.rate))
}

// RecordRefusal records that a call that started at startedAt was refused. RetryAfter
// is the time that the service requested, or zero. It is extended by the ratio jitter,
// which is from 0 to 1.
func (p *Pacer) RecordRefusal(startedAt, now time.Time, retryAfter time.Duration, jitter float64) {
	p.refusals++
	if !startedAt.Before(p.cutAt) {
		p.rate = max(minRate, p.rate*refusalFactor)
		p.cutAt = now
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	retryAfter = min(retryAfter, maxRetryAfter)
	earliest := now.Add(retryAfter + time.Duration(jitter*float64(retryAfter)))
	if p.next.Before(earliest) {
		p.next = earliest
	}
}

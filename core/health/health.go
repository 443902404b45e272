// Package health rates upstreams by the responses to the requests they get, so that no
// health checks are needed. It does no I/O.
//
// An upstream that refuses connections is down: it is skipped for a backoff that grows with
// each further refusal. One that fails requests or responds late is degraded: it is skipped
// while others are better, and tried again from time to time.
package health

import "time"

const (
	// initialBackoff is how long an upstream is skipped after the first refused connection.
	// The time doubles with each further refusal, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// outcomeWeight is the weight of a new outcome in the moving averages.
	outcomeWeight = 0.2
	// halfLife is the time in which recorded failures lose half of their weight, so that an
	// upstream without requests is tried again.
	halfLife = 2 * time.Second
	// degradedRatio is the ratio of failures at which an upstream becomes degraded.
	degradedRatio = 0.3
)

// Record holds the recent outcomes of one upstream. The zero value is a healthy upstream.
// It isn't safe for concurrent use.
type Record struct {
	refusals  int
	downUntil time.Time
	// failures is the decayed ratio of failed requests.
	failures float64
	// latency is the moving average of the time to the first byte of a response.
	latency time.Duration
	updated time.Time
}

// RecordRefused records that a connection was refused or could not be established.
func (r *Record) RecordRefused(now time.Time) {
	backoff := min(initialBackoff<<min(r.refusals, 4), maxBackoff)
	r.refusals++
	r.downUntil = now.Add(backoff)
}

// RecordSuccess records a good response and the time to its first byte.
func (r *Record) RecordSuccess(now time.Time, latency time.Duration) {
	r.decay(now)
	r.refusals, r.downUntil = 0, time.Time{}
	r.failures -= outcomeWeight * r.failures
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency += time.Duration(outcomeWeight * float64(latency-r.latency))
}

// RecordFailure records a request that was lost, was interrupted or got an error of the
// upstream as its response.
func (r *Record) RecordFailure(now time.Time) {
	r.decay(now)
	r.failures += outcomeWeight * (1 - r.failures)
}

// RecordTimeout records a request that got no response within the time that was waited.
func (r *Record) RecordTimeout(now time.Time, waited time.Duration) {
	r.RecordFailure(now)
	r.latency = max(r.latency, waited)
}

// decay reduces the weight of earlier failures by the time that has passed.
func (r *Record) decay(now time.Time) {
	if !r.updated.IsZero() {
		r.failures *= decayFactor(now.Sub(r.updated))
	}
	r.updated = now
}

// decayFactor returns the weight of a failure after a time, from 0 to 1.
func decayFactor(d time.Duration) float64 {
	w := 1.0
	for ; d >= halfLife && w > 1e-3; d -= halfLife {
		w /= 2
	}
	return w * (1 - 0.5*float64(min(d, halfLife))/float64(halfLife))
}

// IsDown reports whether the upstream is skipped because it refuses connections.
func (r *Record) IsDown(now time.Time) bool { return now.Before(r.downUntil) }

// FailureRatio returns the expected ratio of failing requests, from 0 to 1.
func (r *Record) FailureRatio(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.failures * decayFactor(now.Sub(r.updated))
}

// IsDegraded reports whether requests fail often.
func (r *Record) IsDegraded(now time.Time) bool { return r.FailureRatio(now) >= degradedRatio }

// Latency returns the time to the first byte of a response, or zero if it isn't known.
func (r *Record) Latency(now time.Time) time.Duration {
	if r.updated.IsZero() || decayFactor(now.Sub(r.updated)) < 0.1 {
		return 0
	}
	return r.latency
}

// Package health judges upstreams by the answers that requests get there, so that
// no health checks are needed. It does no I/O.
//
// An upstream that refuses connections is down: it is passed over for a time that
// grows with each further refusal. One that fails requests or answers late is poor:
// it is passed over while others are better, and tried again now and then.
package health

import "time"

const (
	// downPause is how long an upstream is passed over after the first refused
	// connection, downPauseMost after many.
	downPause     = 300 * time.Millisecond
	downPauseMost = 2 * time.Second
	// decay is the weight of an outcome among those before it.
	decay = 0.2
	// forget is the time in which an opinion loses half of its weight, so that an
	// upstream which got no requests is tried again.
	forget = 2 * time.Second
	// poorFailures is the share of failures from which on an upstream is poor.
	poorFailures = 0.3
)

// Record is what is known of one upstream. The zero value knows nothing bad. It isn't
// safe for concurrent use.
type Record struct {
	refused int
	until   time.Time
	// failures is the decayed share of failed requests.
	failures float64
	// latency is the decayed time to the first byte of an answer.
	latency time.Duration
	judged  time.Time
}

// RecordRefused records that a connection was refused or could not be made.
func (r *Record) RecordRefused(now time.Time) {
	pause := min(downPause<<min(r.refused, 4), downPauseMost)
	r.refused++
	r.until = now.Add(pause)
}

// RecordSuccess records a good answer and the time to its first byte.
func (r *Record) RecordSuccess(now time.Time, latency time.Duration) {
	r.age(now)
	r.refused, r.until = 0, time.Time{}
	r.failures -= decay * r.failures
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency += time.Duration(decay * float64(latency-r.latency))
}

// RecordFailure records a request that was lost, broken off or answered with a failure of
// the upstream.
func (r *Record) RecordFailure(now time.Time) {
	r.age(now)
	r.failures += decay * (1 - r.failures)
}

// RecordTimeout records a request that got no answer within a time.
func (r *Record) RecordTimeout(now time.Time, waited time.Duration) {
	r.RecordFailure(now)
	r.latency = max(r.latency, waited)
}

// age lets an opinion lose weight with time.
func (r *Record) age(now time.Time) {
	if !r.judged.IsZero() {
		r.failures *= weight(now.Sub(r.judged))
	}
	r.judged = now
}

// weight returns what is left of an opinion after a time.
func weight(d time.Duration) float64 {
	w := 1.0
	for ; d >= forget && w > 1e-3; d -= forget {
		w /= 2
	}
	return w * (1 - 0.5*float64(min(d, forget))/float64(forget))
}

// IsDown reports whether the upstream is passed over because it takes no connections.
func (r *Record) IsDown(now time.Time) bool { return now.Before(r.until) }

// FailureRatio returns the share of requests that are expected to fail, from 0 to 1.
func (r *Record) FailureRatio(now time.Time) float64 {
	if r.judged.IsZero() {
		return 0
	}
	return r.failures * weight(now.Sub(r.judged))
}

// IsDegraded reports whether requests fail often.
func (r *Record) IsDegraded(now time.Time) bool { return r.FailureRatio(now) >= poorFailures }

// Latency returns the time to the first byte of an answer, or zero if it isn't
// known.
func (r *Record) Latency(now time.Time) time.Duration {
	if r.judged.IsZero() || weight(now.Sub(r.judged)) < 0.1 {
		return 0
	}
	return r.latency
}

package health_test

import (
	"testing"
	"time"

	"currantport.example/core/health"
)

func TestRefusalBackoffIsBounded(t *testing.T) {
	var r health.Record
	now := time.Now()
	var last time.Duration
	for range 6 {
		r.RecordRefused(now)
		backoff := time.Duration(0)
		for ; r.IsDown(now.Add(backoff)); backoff += 50 * time.Millisecond {
		}
		if backoff < last || backoff > 2*time.Second {
			t.Errorf("skipped for %v after %v", backoff, last)
		}
		last = backoff
	}
	r.RecordSuccess(now, time.Millisecond)
	if r.IsDown(now) {
		t.Error("an upstream that responds is down")
	}
}

func TestFailingUpstreamIsDegradedUntilDecayed(t *testing.T) {
	var r health.Record
	now := time.Now()
	if r.IsDegraded(now) {
		t.Error("a new upstream is degraded")
	}
	for range 4 {
		r.RecordFailure(now)
	}
	if !r.IsDegraded(now) || r.IsDegraded(now.Add(6*time.Second)) {
		t.Errorf("failure ratio %.2f now, %.2f later", r.FailureRatio(now), r.FailureRatio(now.Add(6*time.Second)))
	}
	for range 6 {
		r.RecordSuccess(now, time.Millisecond)
	}
	if r.IsDegraded(now) {
		t.Errorf("failure ratio %.2f after good responses", r.FailureRatio(now))
	}
}

func TestTimeoutRaisesLatency(t *testing.T) {
	var r health.Record
	now := time.Now()
	for range 20 {
		r.RecordSuccess(now, 30*time.Millisecond)
	}
	r.RecordTimeout(now, 400*time.Millisecond)
	if l := r.Latency(now); l != 400*time.Millisecond {
		t.Errorf("latency %v", l)
	}
	if l := r.Latency(now.Add(time.Minute)); l != 0 {
		t.Errorf("latency %v after a minute without a request", l)
	}
}

package health_test

import (
	"testing"
	"time"

	"currantport.example/core/health"
)

func TestRefusedUpstreamIsTriedAgain(t *testing.T) {
	var r health.Record
	now := time.Now()
	var last time.Duration
	for range 6 {
		r.RecordRefused(now)
		pause := time.Duration(0)
		for ; r.IsDown(now.Add(pause)); pause += 50 * time.Millisecond {
		}
		if pause < last || pause > 2*time.Second {
			t.Errorf("passed over for %v after %v", pause, last)
		}
		last = pause
	}
	r.RecordSuccess(now, time.Millisecond)
	if r.IsDown(now) {
		t.Error("an upstream that answers is down")
	}
}

func TestFailingUpstreamIsPoorUntilForgotten(t *testing.T) {
	var r health.Record
	now := time.Now()
	if r.IsDegraded(now) {
		t.Error("an unknown upstream is poor")
	}
	for range 4 {
		r.RecordFailure(now)
	}
	if !r.IsDegraded(now) || r.IsDegraded(now.Add(6*time.Second)) {
		t.Errorf("failures %.2f now, %.2f later", r.FailureRatio(now), r.FailureRatio(now.Add(6*time.Second)))
	}
	for range 6 {
		r.RecordSuccess(now, time.Millisecond)
	}
	if r.IsDegraded(now) {
		t.Errorf("failures %.2f after good answers", r.FailureRatio(now))
	}
}

func TestSlowUpstreamShowsInItsLatency(t *testing.T) {
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

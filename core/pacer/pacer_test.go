package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/pacer"
)

// limitedService is a service that accepts a limited number of calls per second.
type limitedService struct {
	accepted, refused, left int
	second                  int64
}

func (l *limitedService) tryCall(now time.Time, rate int) bool {
	if s := now.Unix(); s != l.second {
		l.second, l.left = s, rate
	}
	if l.left == 0 {
		l.refused++
		return false
	}
	l.left--
	l.accepted++
	return true
}

// runProcesses makes processes call a service with the given rate limit for two
// minutes, as often as their pacers allow, and returns the service with the counts of
// the second minute.
func runProcesses(processes, rate int) limitedService {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_000_000, 0)
	l := &limitedService{}
	all := make([]*pacer.Pacer, processes)
	at := make([]time.Time, processes)
	for i := range all {
		all[i] = pacer.New()
		at[i] = start
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if now.Equal(start.Add(time.Minute)) {
			l.accepted, l.refused = 0, 0
		}
		for i, p := range all {
			for !at[i].After(now) {
				if l.tryCall(now, rate) {
					p.RecordSuccess()
				} else {
					p.RecordRefusal(now, now, time.Second, random.Float64())
				}
				at[i] = now.Add(max(time.Millisecond, p.Reserve(now)))
			}
		}
	}
	return *l
}

func TestProcessesConvergeBelowLimit(t *testing.T) {
	for _, c := range []struct{ processes, rate int }{{1, 4}, {20, 100}, {150, 100}, {400, 100}} {
		got := runProcesses(c.processes, c.rate)
		if share := float64(got.accepted) / float64(60*c.rate); share < 0.6 {
			t.Errorf("%d processes use %.2f of %d calls a second", c.processes, share, c.rate)
		}
		if share := float64(got.refused) / float64(got.accepted); share > 0.25 {
			t.Errorf("%d processes at %d calls a second: %.2f refusals per accepted call", c.processes, c.rate, share)
		}
	}
}

func TestRetryAfterIsRespected(t *testing.T) {
	p := pacer.New()
	now := time.Unix(100, 0)
	before := p.Rate()
	p.RecordRefusal(now, now, 3*time.Second, 0.5)
	if got := p.Reserve(now); got != 4500*time.Millisecond {
		t.Errorf("the next call waits %s after a refusal with Retry-After 3s and jitter 0.5", got)
	}
	p.RecordRefusal(now.Add(-time.Second), now, time.Second, 0)
	if p.Rate() != before/2 || p.Refusals() != 2 {
		t.Errorf("two refusals of concurrent calls cut the rate from %v to %v", before, p.Rate())
	}
	p.RecordSuccess()
	if p.Refusals() != 0 || p.Rate() <= before/2 {
		t.Error("an accepted call must reset the refusals and raise the rate")
	}
}

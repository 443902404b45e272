package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantport.example/core/pacer"
)

// limit is a service that takes a bounded number of calls a second.
type limit struct {
	taken, refused, left int
	second               int64
}

func (l *limit) take(now time.Time, rate int) bool {
	if s := now.Unix(); s != l.second {
		l.second, l.left = s, rate
	}
	if l.left == 0 {
		l.refused++
		return false
	}
	l.left--
	l.taken++
	return true
}

// drive lets processes that always have work call a service of the given rate
// for two minutes and returns what it took and refused in the second one.
func drive(processes, rate int) limit {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_000_000, 0)
	l := &limit{}
	all := make([]*pacer.Pacer, processes)
	at := make([]time.Time, processes)
	for i := range all {
		all[i] = pacer.New()
		at[i] = start
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if now.Equal(start.Add(time.Minute)) {
			l.taken, l.refused = 0, 0
		}
		for i, p := range all {
			for !at[i].After(now) {
				if l.take(now, rate) {
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

func TestFleetSettlesBelowTheLimit(t *testing.T) {
	for _, c := range []struct{ processes, rate int }{{1, 4}, {20, 100}, {150, 100}, {400, 100}} {
		got := drive(c.processes, c.rate)
		if share := float64(got.taken) / float64(60*c.rate); share < 0.6 {
			t.Errorf("%d processes use %.2f of %d calls a second", c.processes, share, c.rate)
		}
		if share := float64(got.refused) / float64(got.taken); share > 0.25 {
			t.Errorf("%d processes at %d calls a second: %.2f refusals for each call taken", c.processes, c.rate, share)
		}
	}
}

func TestRefusalIsHonoured(t *testing.T) {
	p := pacer.New()
	now := time.Unix(100, 0)
	before := p.Rate()
	p.RecordRefusal(now, now, 3*time.Second, 0.5)
	if got := p.Reserve(now); got != 4500*time.Millisecond {
		t.Errorf("the next call waits %s after a refusal for 3s with half the jitter", got)
	}
	p.RecordRefusal(now.Add(-time.Second), now, time.Second, 0)
	if p.Rate() != before/2 || p.Refusals() != 2 {
		t.Errorf("two refusals of calls that ran together cut the rate from %v to %v", before, p.Rate())
	}
	p.RecordSuccess()
	if p.Refusals() != 0 || p.Rate() <= before/2 {
		t.Error("a call that is taken neither ends the refusals nor lets the rate grow")
	}
}

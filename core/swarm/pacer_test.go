package swarm_test

import (
	"testing"
	"time"

	"currantport.example/core/swarm"
)

// TestWindowBelowOnePauses checks that a link whose delay keeps the window at its minimum gets
// requests at intervals, not one after the other.
func TestWindowBelowOnePauses(t *testing.T) {
	p, now := swarm.NewPacer(), start
	p.RecordDelay(now, time.Millisecond)
	for range 10 {
		now = now.Add(time.Second)
		p.RecordDelay(now, time.Second)
	}
	if p.Window() >= 1 {
		t.Fatalf("the window is %v", p.Window())
	}
	if p.MayRequest(now) || !p.MayRequest(now.Add(time.Second)) {
		t.Errorf("a request is allowed at once %v, a second later %v", p.MayRequest(now), p.MayRequest(now.Add(time.Second)))
	}
	for range 3 {
		p.RecordDelay(now, time.Millisecond)
	}
	if !p.MayRequest(now) {
		t.Errorf("with a window of %v no request is allowed", p.Window())
	}
}

// TestNoMembersNoRanks checks that a host which is no longer a member fetches nothing by its
// earlier rank.
func TestNoMembersNoRanks(t *testing.T) {
	all := members(1)
	s := swarm.New(options(all[0], 2))
	s.SetMembers(all)
	s.SetMembers(nil)
	for i := range 100 {
		if f := s.Decide(start.Add(time.Duration(i) * swarm.DecideInterval)); len(f) > 0 {
			t.Fatalf("after %d intervals: %+v", i, f)
		}
	}
}

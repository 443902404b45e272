package acks_test

import (
	"testing"
	"time"

	"currantport.example/core/acks"
)

const (
	timeout       = 1900 * time.Millisecond
	checkInterval = 500 * time.Millisecond
	step          = 10 * time.Millisecond
	roundTrip     = 2 * step
)

// kernel is a model of the sending direction of a connection with data pending.
type kernel struct {
	now  time.Time
	sent time.Time
	acks time.Time
	// next is when the kernel sends again, interval how long after the time before.
	next     time.Time
	interval time.Duration
	probes   int
	again    int
	// isClosed is set while the window is closed, isDropping if the peer drops data that it has no
	// room for, so that it is sent again in place of probes.
	isClosed, isDropping bool
}

func (k *kernel) send() {
	k.interval *= 2
	k.next = k.now.Add(k.interval)
	if k.isClosed && !k.isDropping {
		k.probes++
		return
	}
	k.sent = k.now
	k.again++
}

// advance moves the time by a step. An answer to the last packet comes after a round trip if the peer is there.
func (k *kernel) advance(isThere bool) {
	k.now = k.now.Add(step)
	if !k.now.Before(k.next) {
		k.send()
	}
	lastAt := k.next.Add(-k.interval)
	if isThere && k.now.Sub(lastAt) == roundTrip {
		k.acks, k.probes = k.now, 0
	}
}

func (k *kernel) state() acks.State {
	s := acks.State{IsPending: true, SentAt: k.sent, AcknowledgedAt: k.acks, Probes: k.probes, RetransmitTimeout: 200 * time.Millisecond}
	if !k.isClosed || k.isDropping {
		// The first time it isn't sent again.
		s.Retransmits, s.RetransmitTimeout = k.again-1, k.interval
	}
	return s
}

// play returns how long after the peer is gone that is noticed, or zero if it isn't. The peer is there for a
// time, or throughout if that is negative.
func play(k kernel, thereFor time.Duration) time.Duration {
	start := time.Unix(0, 0)
	k.now, k.sent, k.acks = start, start, start.Add(-10*time.Second)
	k.interval = 100 * time.Millisecond
	k.send()
	timer := acks.NewTimer(start, timeout)
	for k.now.Sub(start) < time.Minute {
		k.advance(thereFor < 0 || k.now.Sub(start) < thereFor)
		if k.now.Sub(start)%checkInterval == 0 && timer.IsGone(k.now, k.state()) {
			return k.now.Sub(start.Add(max(thereFor, 0)))
		}
	}
	return 0
}

// TestPeerThatReadsNothingIsThere guards against a slow reader being taken for a peer that is gone.
func TestPeerThatReadsNothingIsThere(t *testing.T) {
	for name, k := range map[string]kernel{"probes": {isClosed: true}, "data sent again": {isClosed: true, isDropping: true}} {
		if after := play(k, -1); after != 0 {
			t.Errorf("%s: gone after %v", name, after)
		}
	}
}

// TestPeerThatAcknowledgesNothingIsGone guards against connections to a peer that is gone staying open.
func TestPeerThatAcknowledgesNothingIsGone(t *testing.T) {
	for _, c := range []struct {
		name     string
		kernel   kernel
		thereFor time.Duration
		within   time.Duration
	}{
		{name: "from the first byte on", within: 2500 * time.Millisecond},
		{name: "behind a window that closes", kernel: kernel{isClosed: true}, within: 3500 * time.Millisecond},
		{name: "1 s after its window closed", kernel: kernel{isClosed: true}, thereFor: time.Second, within: 8 * time.Second},
		{name: "1 s after it began to drop data", kernel: kernel{isClosed: true, isDropping: true}, thereFor: time.Second, within: 8 * time.Second},
	} {
		after := play(c.kernel, c.thereFor)
		if after == 0 || after > c.within {
			t.Errorf("%s: gone after %v, want %v", c.name, after, c.within)
		}
		t.Logf("%s: gone after %v", c.name, after)
	}
}

// TestOneLostProbeIsNoSilence guards against a peer behind a lossy link being taken for gone.
func TestOneLostProbeIsNoSilence(t *testing.T) {
	start := time.Unix(0, 0)
	timer := acks.NewTimer(start, timeout)
	s := acks.State{IsPending: true, SentAt: start, AcknowledgedAt: start.Add(3 * time.Second), Probes: 1, RetransmitTimeout: 200 * time.Millisecond}
	for after := 3 * time.Second; after < 9*time.Second; after += checkInterval {
		if timer.IsGone(start.Add(after), s) {
			t.Fatalf("gone %v after the last acknowledgment", after-3*time.Second)
		}
	}
}

// TestDataInFlightIsNoSilence guards against a peer being taken for gone while more is sent all the time, or when
// something is sent after the process has stood still.
func TestDataInFlightIsNoSilence(t *testing.T) {
	start := time.Unix(0, 0)
	for name, s := range map[string]func(now time.Time) acks.State{
		"busy, after a loss": func(now time.Time) acks.State {
			return acks.State{SentAt: now.Add(-step), AcknowledgedAt: now.Add(-2 * step), Retransmits: 1}
		},
		"just sent": func(now time.Time) acks.State { return acks.State{SentAt: now, AcknowledgedAt: start} },
	} {
		timer := acks.NewTimer(start, timeout)
		for after := checkInterval; after < time.Minute; after += checkInterval {
			now := start.Add(after)
			state := s(now)
			state.IsPending, state.RetransmitTimeout = true, 200*time.Millisecond
			if timer.IsGone(now, state) {
				t.Fatalf("%s: gone after %v", name, after)
			}
		}
	}
}

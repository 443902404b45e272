package loader_test

import (
	"fmt"
	"testing"
	"time"

	"currantport.example/agent/internal/loader"
	"currantport.example/core/state"
)

const versionTimeout = 8 * time.Second

func engines(count, version int) []*state.Upstream {
	var all []*state.Upstream
	for i := range count {
		all = append(all, &state.Upstream{ID: fmt.Sprintf("u%d", i), Held: []state.HeldVersion{{Model: "m", Version: version, Whole: true}}})
	}
	return all
}

// TestEnginesLoadOneAfterTheOther compares the slots that 16 agents compute independently.
func TestEnginesLoadOneAfterTheOther(t *testing.T) {
	notBefore := time.Unix(1e9, 0)
	all := engines(16, 1)
	starts := make(map[time.Time]bool)
	for _, u := range all {
		slot := loader.NewRolloutSlot(notBefore, notBefore, "m", 2, u, all)
		at := slot.Start(versionTimeout)
		starts[at] = true
		if at.Before(notBefore) || at.After(slot.Deadline(versionTimeout)) || !slot.Deadline(versionTimeout).Before(notBefore.Add(versionTimeout)) {
			t.Errorf("%s loads after %v, deadline after %v", u.ID, at.Sub(notBefore), slot.Deadline(versionTimeout).Sub(notBefore))
		}
	}
	if len(starts) != 16 {
		t.Errorf("16 engines have %d slots", len(starts))
	}
}

func TestEnginesLoadInTurnThoughTheReleaseWasSeenLate(t *testing.T) {
	notBefore := time.Unix(1e9, 0)
	for _, late := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second} {
		seenAt := notBefore.Add(late)
		all := engines(8, 1)
		starts := make(map[time.Time]bool)
		for _, u := range all {
			slot := loader.NewRolloutSlot(notBefore, seenAt, "m", 2, u, all)
			at := slot.Start(versionTimeout)
			starts[at] = true
			if at.After(slot.Deadline(versionTimeout)) || late < 4*time.Second && at.Before(seenAt.Add(versionTimeout/4)) {
				t.Errorf("seen %v late: %s loads %v after the release, the last one after %v", late, u.ID, at.Sub(notBefore), slot.Deadline(versionTimeout).Sub(notBefore))
			}
		}
		if late < 4*time.Second && len(starts) != len(all) {
			t.Errorf("seen %v late: %d engines load at %d times", late, len(all), len(starts))
		}
	}
}

func TestOnlyEnginesWithOlderVersionGetSlots(t *testing.T) {
	notBefore := time.Unix(1e9, 0)
	all := append(engines(3, 1), engines(9, 2)[3:]...)
	all = append(all, &state.Upstream{ID: "empty"})
	draining := &state.Upstream{ID: "leaves", Draining: true, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}}
	all = append(all, draining)
	if slot := loader.NewRolloutSlot(notBefore, notBefore, "m", 2, all[0], all); slot.Count != 3 {
		t.Errorf("%d engines have slots", slot.Count)
	}
	if at := loader.NewRolloutSlot(notBefore, notBefore, "m", 2, all[0], all[:1]).Start(versionTimeout); !at.Equal(notBefore) {
		t.Errorf("the only engine waits for %v", at.Sub(notBefore))
	}
	if at := loader.NewRolloutSlot(notBefore, notBefore, "m", 2, nil, all).Start(0); !at.Equal(notBefore) {
		t.Errorf("without a limit it waits for %v", at.Sub(notBefore))
	}
}

func TestProgressTimeLeft(t *testing.T) {
	startedAt := time.Unix(1e9, 0)
	p := loader.Progress{Held: 16, Total: 64, StartedAt: startedAt, LastArrival: startedAt.Add(time.Second)}
	if left, inProgress := p.TimeLeft(startedAt.Add(1100 * time.Millisecond)); !inProgress || left != 3*time.Second {
		t.Errorf("%v left, in progress %t", left, inProgress)
	}
	if _, inProgress := p.TimeLeft(startedAt.Add(3 * time.Second)); inProgress {
		t.Error("a fetch counts as in progress though no piece has arrived for 2 s")
	}
	p.Held = 64
	if left, inProgress := p.TimeLeft(startedAt.Add(time.Minute)); !inProgress || left != 0 || !p.Done() {
		t.Errorf("a complete version: %v left, in progress %t", left, inProgress)
	}
}

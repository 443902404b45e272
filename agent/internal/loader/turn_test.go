package loader_test

import (
	"fmt"
	"testing"
	"time"

	"currantport.example/agent/internal/loader"
	"currantport.example/core/state"
)

const within = 8 * time.Second

func engines(count, version int) []*state.Upstream {
	var all []*state.Upstream
	for i := range count {
		all = append(all, &state.Upstream{ID: fmt.Sprintf("u%d", i), Held: []state.HeldVersion{{Model: "m", Version: version, Whole: true}}})
	}
	return all
}

// TestEnginesLoadOneAfterTheOther compares the turns that 16 agents compute by
// themselves.
func TestEnginesLoadOneAfterTheOther(t *testing.T) {
	learnt := time.Unix(1e9, 0)
	all := engines(16, 1)
	starts := make(map[time.Time]bool)
	for _, u := range all {
		turn := loader.NewRolloutSlot(learnt, "m", 2, u, all)
		at := turn.Start(within)
		starts[at] = true
		if at.Before(learnt) || at.After(turn.Deadline(within)) || !turn.Deadline(within).Before(learnt.Add(within)) {
			t.Errorf("%s loads after %v, last after %v", u.ID, at.Sub(learnt), turn.Deadline(within).Sub(learnt))
		}
	}
	if len(starts) != 16 {
		t.Errorf("16 engines have %d turns", len(starts))
	}
}

func TestOnlyEnginesThatServeAnOlderVersionHaveATurn(t *testing.T) {
	learnt := time.Unix(1e9, 0)
	all := append(engines(3, 1), engines(9, 2)[3:]...)
	all = append(all, &state.Upstream{ID: "empty"})
	draining := &state.Upstream{ID: "leaves", Draining: true, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}}
	all = append(all, draining)
	if turn := loader.NewRolloutSlot(learnt, "m", 2, all[0], all); turn.Count != 3 {
		t.Errorf("%d engines take turns", turn.Count)
	}
	if at := loader.NewRolloutSlot(learnt, "m", 2, all[0], all[:1]).Start(within); !at.Equal(learnt) {
		t.Errorf("the only engine waits for %v", at.Sub(learnt))
	}
	if at := loader.NewRolloutSlot(learnt, "m", 2, nil, all).Start(0); !at.Equal(learnt) {
		t.Errorf("without a bound it waits for %v", at.Sub(learnt))
	}
}

func TestProgressTellsWhatIsLeft(t *testing.T) {
	began := time.Unix(1e9, 0)
	p := loader.Progress{Held: 16, Total: 64, StartedAt: began, LastArrival: began.Add(time.Second)}
	if left, moves := p.TimeLeft(began.Add(1100 * time.Millisecond)); !moves || left != 3*time.Second {
		t.Errorf("%v left, moves %t", left, moves)
	}
	if _, moves := p.TimeLeft(began.Add(3 * time.Second)); moves {
		t.Error("a fetch moves though no piece has come for 2 s")
	}
	p.Held = 64
	if left, moves := p.TimeLeft(began.Add(time.Minute)); !moves || left != 0 || !p.Done() {
		t.Errorf("a whole version: %v left, moves %t", left, moves)
	}
}

package finish_test

import (
	"testing"
	"time"

	"currantport.example/core/finish"
)

func TestNearlyCompleteVersionIsFinished(t *testing.T) {
	nearlyComplete := finish.Progress{Held: 56, Total: 64, Version: 2, Newest: 3, SinceRelease: 5 * time.Second}
	if !finish.ShouldFinish(nearlyComplete) {
		t.Error("the fetch of a version with an eighth missing is canceled")
	}
	for name, change := range map[string]func(*finish.Progress){
		"few pieces are held":       func(p *finish.Progress) { p.Held = 20 },
		"its manifest isn't held":   func(p *finish.Progress) { p.Held, p.Total = 0, 0 },
		"the origin has dropped it": func(p *finish.Progress) { p.Newest = 4 },
		"it couldn't be served for longer than loading takes": func(p *finish.Progress) {
			p.Timeout, p.LoadTime = 9700*time.Millisecond, 1500*time.Millisecond
		},
		"its remaining pieces haven't arrived in 9 s": func(p *finish.Progress) { p.SinceRelease = 9 * time.Second },
	} {
		p := nearlyComplete
		change(&p)
		if finish.ShouldFinish(p) {
			t.Errorf("the fetch continues though %s", name)
		}
	}
}

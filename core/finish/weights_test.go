package finish_test

import (
	"testing"
	"time"

	"currantport.example/core/finish"
)

func TestVersionThatIsNearlyThereIsFinished(t *testing.T) {
	near := finish.Progress{Held: 56, Total: 64, Version: 2, Newest: 3, SinceRelease: 5 * time.Second}
	if !finish.ShouldFinish(near) {
		t.Error("a version of which an eighth is missing is given up")
	}
	for name, change := range map[string]func(*finish.Progress){
		"little of it is there":       func(r *finish.Progress) { r.Held = 20 },
		"its manifest isn't there":    func(r *finish.Progress) { r.Held, r.Total = 0, 0 },
		"the origin has dropped it":   func(r *finish.Progress) { r.Newest = 4 },
		"its rest hasn't come in 9 s": func(r *finish.Progress) { r.SinceRelease = 9 * time.Second },
	} {
		r := near
		change(&r)
		if finish.ShouldFinish(r) {
			t.Errorf("it is fetched on though %s", name)
		}
	}
}

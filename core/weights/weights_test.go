package weights_test

import (
	"testing"
	"time"

	"currantport.example/core/weights"
)

func TestVersionThatIsNearlyThereIsFinished(t *testing.T) {
	near := weights.Rest{Held: 56, Total: 64, Version: 2, Newest: 3, Since: 5 * time.Second}
	if !weights.Finish(near) {
		t.Error("a version of which an eighth is missing is given up")
	}
	for name, change := range map[string]func(*weights.Rest){
		"little of it is there":       func(r *weights.Rest) { r.Held = 20 },
		"its manifest isn't there":    func(r *weights.Rest) { r.Held, r.Total = 0, 0 },
		"the origin has dropped it":   func(r *weights.Rest) { r.Newest = 4 },
		"its rest hasn't come in 9 s": func(r *weights.Rest) { r.Since = 9 * time.Second },
	} {
		r := near
		change(&r)
		if weights.Finish(r) {
			t.Errorf("it is fetched on though %s", name)
		}
	}
}

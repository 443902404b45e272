package syncer_test

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"currantport.example/core/hosts"
	"currantport.example/entry/internal/syncer"
)

// TestEndedEvacuationHasNoRequests guards against a gauge that keeps the requests of a domain whose
// evacuation was lifted while they ran.
func TestEndedEvacuationHasNoRequests(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	e := syncer.NewEvacuations(scope)
	for i, step := range []struct {
		running       map[hosts.Domain]int
		domains, d, f float64
	}{
		{map[hosts.Domain]int{"d": 2}, 1, 2, 0},
		{map[hosts.Domain]int{"d": 1, "f": 3}, 2, 1, 3},
		{map[hosts.Domain]int{"f": 0}, 1, 0, 0},
		{nil, 0, 0, 0},
	} {
		e.Report(step.running)
		got := make(map[string]float64)
		for _, g := range scope.Snapshot().Gauges() {
			got[g.Name()+g.Tags()["domain"]] = g.Value()
		}
		if got["evacuated_domains"] != step.domains || got["evacuated_runningd"] != step.d || got["evacuated_runningf"] != step.f {
			t.Errorf("step %d: %v", i, got)
		}
	}
}

package syncer_test

import (
	"maps"
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
	for i, step := range [][2]map[string]int{
		{{"d": 2}, {"": 1, "d": 2}},
		{{"d": 1, "f": 3}, {"": 2, "d": 1, "f": 3}},
		{{"f": 0}, {"": 1, "d": 0, "f": 0}},
		{nil, {"": 0, "d": 0, "f": 0}},
	} {
		running, got := make(map[hosts.Domain]int), make(map[string]int)
		for d, n := range step[0] {
			running[hosts.Domain(d)] = n
		}
		e.Report(running)
		for _, g := range scope.Snapshot().Gauges() {
			got[g.Tags()["domain"]] = int(g.Value())
		}
		if !maps.Equal(got, step[1]) {
			t.Errorf("step %d: %v, want %v", i, got, step[1])
		}
	}
}

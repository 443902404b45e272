package target

import (
	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

// applyEvacuations adopts the evacuated failure domains of a snapshot. Requests that run in such a
// domain end in their own time. The caller holds the mutex.
func (f *Fleet) applyEvacuations(s *state.Snapshot) {
	before := f.evacuated
	f.evacuated = make(map[hosts.Domain]bool)
	for _, d := range s.Evacuated() {
		f.evacuated[d] = true
		if !before[d] {
			f.options.Log.Info("domain-evacuated", zap.String("domain", string(d)), zap.Int("running", f.runningIn(d)))
		}
	}
	for d := range before {
		if !f.evacuated[d] {
			f.options.Log.Info("domain-returned", zap.String("domain", string(d)))
		}
	}
}

// runningIn returns the number of requests of this entry in progress at the upstreams of the domain.
func (f *Fleet) runningIn(d hosts.Domain) int {
	n := 0
	for _, u := range f.upstreams {
		if hosts.Domain(u.row.Domain) == d {
			n += u.running
		}
	}
	return n
}

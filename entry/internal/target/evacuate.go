package target

import (
	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
)

// applyEvacuations applies the evacuated failure domains of a snapshot. Requests that run in such a
// domain aren't ended. The caller holds the mutex.
func (f *Fleet) applyEvacuations(s *state.Snapshot) {
	before := f.evacuated
	f.evacuated = make(map[hosts.Domain]bool)
	for _, d := range s.Evacuated() {
		f.evacuated[d] = true
		if !before[d] {
			f.options.Log.Info("domain-evacuated", zap.String("domain", string(d)), zap.Int("running", f.running[d]))
		}
	}
	for d := range before {
		if !f.evacuated[d] {
			f.options.Log.Info("domain-returned", zap.String("domain", string(d)))
		}
	}
}

// countStart and countEnd keep the number of requests of this entry in progress in a failure domain.
// Those at upstreams that are no longer listed count too. The caller holds the mutex.
func (f *Fleet) countStart(d hosts.Domain) { f.running[d]++ }

func (f *Fleet) countEnd(d hosts.Domain) {
	f.running[d]--
	if f.running[d] > 0 {
		return
	}
	delete(f.running, d)
	if f.evacuated[d] {
		f.options.Log.Info("domain-drained", zap.String("domain", string(d)))
	}
}

// EvacuatedRunning returns the number of requests of this entry in progress in each evacuated failure
// domain. The evacuation is complete at this entry once it is zero.
func (f *Fleet) EvacuatedRunning() map[hosts.Domain]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make(map[hosts.Domain]int, len(f.evacuated))
	for d := range f.evacuated {
		all[d] = f.running[d]
	}
	return all
}

// logHomeConflicts logs the conflicts between the homes of routes and workspaces, and unknown regions
// among them, each once as long as it lasts. The caller holds the mutex.
func (f *Fleet) logHomeConflicts(all []state.HomeConflict) {
	before := f.homeConflicts
	f.homeConflicts = make(map[state.HomeConflict]bool, len(all))
	for _, c := range all {
		f.homeConflicts[c] = true
		if !before[c] {
			f.options.Log.Warn("home-conflict", zap.String("route", c.Route), zap.String("workspace", c.Workspace), zap.String("unknown", string(c.Unknown)))
		}
	}
}

// isKnownRegion reports whether the deployment has the region.
func (f *Fleet) isKnownRegion(r hosts.Region) bool {
	for _, known := range f.options.Regions {
		if known == r {
			return true
		}
	}
	return false
}

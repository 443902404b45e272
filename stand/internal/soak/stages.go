package soak

import (
	"strings"
	"sync"
	"time"
)

const (
	// stageSlow is the kind of slowStages. With all kinds, one of stageSeeds seeds has it.
	stageSlow  = "stage-slow"
	stageSeeds = 5
	// minStageTime is the shortest time for which staged pieces are slow to read back.
	minStageTime = 2 * time.Second
	// allStagesInterval is the number of such faults of which one concerns all engines.
	allStagesInterval = 3
)

// slowStages makes the staged pieces of an engine, or of all, slow to read back for a while.
func (i *injector) slowStages(duration time.Duration) {
	var engines []*managedUpstream
	for _, m := range i.world.upstreams {
		if m.isEngine && m.isStarted() {
			engines = append(engines, m)
		}
	}
	if i.randomN(allStagesInterval) != 0 {
		n := i.randomN(int64(len(engines)))
		engines = engines[n : n+1]
	}
	var names []string
	var group sync.WaitGroup
	for _, m := range engines {
		names = append(names, string(m.name))
		group.Go(func() {
			holdFault(&m.slowStages, minStageTime+duration, func() { m.SetSlowReads(true) }, func() { m.SetSlowReads(false) })
		})
	}
	end := i.world.timeline.add(Event{Name: "slow reads of staged pieces at " + strings.Join(names, " ")})
	group.Wait()
	end()
}

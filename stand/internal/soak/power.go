package soak

import (
	"sync"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// powerFault is the kind of fault that ends a run. It isn't drawn like the others.
	powerFault = "power"
	// powerInterval is the number of runs with all kinds of which one ends with a loss of power.
	powerInterval = 4
	// minPowerTime and maxPowerTime bound the time until a part of the world is back.
	minPowerTime = 500 * time.Millisecond
	maxPowerTime = 2 * time.Second
)

// losePower ends all processes, upstreams and the store at one moment. They come back one by one,
// without the registrations, the history of the store and the staged pieces.
func (i *injector) losePower() {
	w := i.world
	endStore := i.beginFault(eventPower, subjectStore)
	endOrigin := i.beginFault(eventPower, poolOrigin)
	w.origin.SetFault(fakes.OriginDown)
	w.store.LosePower()
	var group sync.WaitGroup
	for _, m := range w.upstreams {
		if m.isStarted() {
			end := i.beginFault(eventPower, m.name)
			m.proxy.refuse()
			m.LosePower()
			at := i.powerTime()
			group.Go(func() {
				time.Sleep(at)
				i.start(m)
				end()
			})
		}
	}
	group.Go(func() { i.killAll(append(w.agentList(), w.entries...)) })
	time.Sleep(i.powerTime())
	w.store.SetFault(fakes.StoreHealthy)
	endStore()
	time.Sleep(i.powerTime())
	w.origin.SetFault(fakes.OriginHealthy)
	endOrigin()
	group.Wait()
}

func (i *injector) powerTime() time.Duration {
	return minPowerTime + time.Duration(i.randomN(int64(maxPowerTime-minPowerTime)))
}

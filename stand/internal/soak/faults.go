package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/platform/fakes"
)

const (
	// minFaultTime is the shortest duration of a fault.
	minFaultTime = 300 * time.Millisecond
	// faultTimeSteps is the number of different durations of a fault.
	faultTimeSteps = 1000
	// seriesInterval is the time between the faults of a series, seriesLength their number.
	seriesInterval = 400 * time.Millisecond
	seriesLength   = 3
	// settingsPause is the time between the changes of a series of settings.
	settingsPause = 200 * time.Millisecond
	// registrationTTL is the time after which the platform deregisters an upstream that
	// sends nothing.
	registrationTTL = 3600 * time.Millisecond
	// outageTime is how long the store is away when it is restored.
	outageTime = 500 * time.Millisecond
	// minDomainPause and maxDomainPause bound the pause of a failure domain, unseenDelay is the
	// time from its start until a version is released.
	minDomainPause = 2 * time.Second
	maxDomainPause = 4 * time.Second
	unseenDelay    = 100 * time.Millisecond
)

const (
	eventGracefulStop = "graceful stop"
	eventDrain        = "drain"
	eventSettings     = "settings"
	eventCrash        = "crash"
	eventPoisonCrash  = "poison crash"
	eventLeave        = "leave"
	eventPower        = "power"
	// eventStoreLink begins the names of the faults of the link of a process to the store.
	eventStoreLink = "store-"
)

// injector injects faults in the order determined by a seed.
type injector struct {
	world  *world
	random *rand.Rand
	// mutex guards random and startedSpares.
	mutex         sync.Mutex
	startedSpares int
	// kinds are the kinds to choose from.
	kinds []fault
	// losesPower is set if power is lost at the end of the run.
	losesPower bool
	// restoring is locked while the store is copied and restored, and during evacuations.
	restoring sync.Mutex
	// storeFaults and originFaults count the active faults of each.
	storeFaults  atomic.Int32
	originFaults atomic.Int32
	// poisoning is locked while clients send requests with a poison part.
	poisoning sync.Mutex
}

// newInjector returns an injector of the kinds named by the options.
func newInjector(w *world, r *rand.Rand) (*injector, error) {
	i := &injector{world: w, random: r, kinds: faults}
	if w.options.FaultKinds == "" {
		i.losesPower = w.options.Seed%powerInterval == 0
		if w.options.Seed%stageSeeds != stageSeeds/2 {
			i.kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return f.name == stageSlow })
		}
		return i, nil
	}
	i.kinds = nil
	for name := range strings.SplitSeq(w.options.FaultKinds, ",") {
		if name == powerFault {
			i.losesPower = true
			continue
		}
		index := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if index < 0 {
			return nil, fmt.Errorf("unknown kind of fault %q", name)
		}
		i.kinds = append(i.kinds, faults[index])
	}
	return i, nil
}

// run starts faults in the group until the duration of the run is over. It does not wait
// for their end.
func (i *injector) run(ctx context.Context, group *sync.WaitGroup) {
	end := time.Now().Add(i.world.options.Duration)
	for len(i.kinds) > 0 && time.Now().Before(end) && ctx.Err() == nil {
		f, duration := i.next()
		group.Go(func() { f.run(i, duration) })
		clocks.Sleep(ctx, time.Duration(i.randomN(int64(2*i.world.options.FaultInterval))))
	}
}

// next chooses a kind and a duration; short ones are more likely.
func (i *injector) next() (fault, time.Duration) {
	f := i.kinds[i.randomN(int64(len(i.kinds)))]
	part := float64(i.randomN(faultTimeSteps)) / faultTimeSteps
	return f, minFaultTime + time.Duration(part*part*float64(i.world.options.MaxFaultTime-minFaultTime))
}

func (i *injector) randomN(n int64) int64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.random.Int64N(n)
}

func (i *injector) entry() *process { return i.world.entries[i.randomN(int64(len(i.world.entries)))] }

func (i *injector) agent() *process {
	all := i.world.agentList()
	return all[i.randomN(int64(len(all)))]
}

// upstream returns a random upstream that is in use.
func (i *injector) upstream() *managedUpstream {
	var all []*managedUpstream
	for _, m := range i.world.upstreams {
		if m.isStarted() {
			all = append(all, m)
		}
	}
	return all[i.randomN(int64(len(all)))]
}

// beginFault records the start of a fault and returns a function that records its end.
func (i *injector) beginFault(name string, s Subject) func() {
	return i.world.timeline.add(Event{Name: name, Subject: s})
}

func (i *injector) kill(p *process) {
	end := i.beginFault("kill", p.name)
	p.signal(syscall.SIGKILL)
	time.Sleep(restartDelay)
	p.awaitRestart()
	end()
}

func (i *injector) pause(p *process, duration time.Duration) {
	end := i.beginFault("pause", p.name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	end()
}

// stop shuts a process down gracefully, unless it is already stopping: a second signal
// would terminate it at once.
func (i *injector) stop(p *process) {
	if p.isEnding() {
		return
	}
	end := i.beginFault(eventGracefulStop, p.name)
	p.stop()
	time.Sleep(restartDelay)
	p.awaitRestart()
	end()
}

func (i *injector) killSeries(p *process) {
	for range seriesLength {
		i.kill(p)
		time.Sleep(seriesInterval)
	}
}

func (i *injector) killAll(all []*process) {
	var group sync.WaitGroup
	for _, p := range all {
		group.Go(func() { i.kill(p) })
	}
	group.Wait()
}

// rollingStop stops the entries one after the other.
func (i *injector) rollingStop() {
	for _, p := range i.world.entries {
		i.stop(p)
		time.Sleep(seriesInterval)
	}
}

// breakStoreLink disturbs the connection of one process to the store.
func (i *injector) breakStoreLink(p *process, duration time.Duration) {
	all := []linkFault{linkDelay, linkReset, linkOneway, linkSilence, linkDark}
	f := all[i.randomN(int64(len(all)))]
	end := i.beginFault(eventStoreLink+string(f), p.name)
	l := i.world.storeLinkOf(p.name)
	holdFault(&l.activeFaults, duration, func() { l.setFault(f) }, func() { l.setFault(linkHealthy) })
	end()
}

// changeSettings changes the settings file of a process and signals it with a probability
// of one half.
func (i *injector) changeSettings(p *process) {
	end := i.beginFault(eventSettings, p.name)
	defer end()
	err := p.updateSettings(func(s *fakes.ProcessSettings) {
		if len(s.Seeds) > 0 {
			s.Seeds = append(s.Seeds[1:], s.Seeds[0])
		}
	})
	if err == nil && i.randomN(2) == 0 {
		p.signal(syscall.SIGHUP)
	}
}

// changeSettingsSeries changes the settings of two or more entries one after the other, those of some
// of them twice.
func (i *injector) changeSettingsSeries() {
	all := i.world.entries
	first, count := int(i.randomN(int64(len(all)))), 2+int(i.randomN(int64(max(len(all)-1, 1))))
	for n := range min(count, len(all)) {
		p := all[(first+n)%len(all)]
		for range 1 + i.randomN(2) {
			i.changeSettings(p)
			time.Sleep(settingsPause)
		}
	}
}

// holdFault keeps a fault active for a while. If another fault of the same subject starts
// meanwhile, that one replaces it, and the last to end repairs the subject.
func holdFault(active *atomic.Int32, duration time.Duration, inject, repair func()) {
	active.Add(1)
	inject()
	time.Sleep(duration)
	if active.Add(-1) == 0 {
		repair()
	}
}

func (i *injector) breakStore(f fakes.StoreFault, duration time.Duration) {
	end := i.beginFault(string(f), subjectStore)
	holdFault(&i.storeFaults, duration, func() { i.world.store.SetFault(f) }, func() { i.world.store.SetFault(fakes.StoreHealthy) })
	end()
}

func (i *injector) breakOrigin(f fakes.OriginFault, duration time.Duration) {
	end := i.beginFault("origin "+string(f), "origin")
	holdFault(&i.originFaults, duration, func() { i.world.origin.SetFault(f) }, func() { i.world.origin.SetFault(fakes.OriginHealthy) })
	end()
}

// crash terminates an upstream and restarts it under a new id. It does nothing if another
// fault has reserved the upstream.
func (i *injector) crash(m *managedUpstream, duration time.Duration) {
	if !m.reserve() {
		return
	}
	defer m.release()
	end := i.beginFault(eventCrash, m.name)
	m.proxy.refuse()
	m.Crash()
	expire := time.AfterFunc(registrationTTL, m.Deregister)
	time.Sleep(duration)
	expire.Stop()
	m.Deregister()
	i.start(m)
	end()
}

// drain drains an upstream and restarts it under a new id. It does nothing if another fault
// has reserved the upstream.
func (i *injector) drain(m *managedUpstream) {
	if !m.reserve() {
		return
	}
	defer m.release()
	id := m.ID()
	end := i.beginFault(eventDrain, m.name)
	at, wait, err := m.Drain()
	if err != nil {
		i.world.checker.recordViolation("bench", "%s can't drain: %v", m.name, err)
		end()
		return
	}
	i.world.operator.recordDrain(id, at)
	wait()
	i.start(m)
	end()
}

// leave lets an upstream leave without registering that, and restarts it under a new id.
func (i *injector) leave(m *managedUpstream) {
	if !m.reserve() {
		return
	}
	defer m.release()
	end := i.beginFault(eventLeave, m.name)
	m.Leave()()
	i.start(m)
	end()
}

// restoreStore copies the store, returns to the copy after a while, and lets the operator and
// the upstreams write again what was lost. It does nothing while another restore is in progress.
func (i *injector) restoreStore(duration time.Duration) {
	if !i.restoring.TryLock() {
		return
	}
	defer i.restoring.Unlock()
	i.world.store.Backup()
	time.Sleep(duration)
	end := i.beginFault("restore", subjectStore)
	i.world.operator.restoreStore(func() {
		holdFault(&i.storeFaults, 0, func() {
			i.world.store.SetFault(fakes.StoreDown)
			time.Sleep(outageTime)
			i.world.store.Restore()
		}, func() { i.world.store.SetFault(fakes.StoreHealthy) })
	})
	i.reregister()
	time.Sleep(registrationTTL)
	i.deregisterStale()
	end()
}

// reregister lets the upstreams that run write their registrations again.
func (i *injector) reregister() {
	for _, m := range i.world.upstreams {
		if !m.isStarted() || !m.reserve() {
			continue
		}
		if err := m.Reregister(); err != nil {
			i.world.checker.recordViolation("bench", "%s can't register: %v", m.name, err)
		}
		m.release()
	}
}

// deregisterStale removes the registrations of earlier starts, as the platform does with those
// that aren't renewed.
func (i *injector) deregisterStale() {
	current := make(map[string]bool)
	for _, m := range i.world.upstreams {
		if m.isStarted() {
			current[m.ID()] = true
		}
	}
	for _, id := range i.world.store.UpstreamIDs() {
		if !current[id] {
			i.world.store.DeregisterUpstream(id)
		}
	}
}

func (i *injector) start(m *managedUpstream) {
	if err := errors.Join(m.proxy.listen(), m.Start()); err != nil {
		i.world.checker.recordViolation("bench", "%s can't start: %v", m.name, err)
	}
}

func (i *injector) breakUpstream(f fakes.UpstreamFault, duration time.Duration) {
	m := i.upstream()
	end := i.beginFault(string(f), m.name)
	holdFault(&m.activeFaults, duration, func() { m.SetFault(f) }, func() { m.SetFault(fakes.UpstreamHealthy) })
	end()
}

// delayResponses makes all upstreams late.
func (i *injector) delayResponses(duration time.Duration) {
	var group sync.WaitGroup
	for _, m := range i.world.upstreams {
		if m.isStarted() {
			group.Go(func() {
				end := i.beginFault(string(fakes.UpstreamLate), m.name)
				holdFault(&m.activeFaults, duration, func() { m.SetFault(fakes.UpstreamLate) }, func() { m.SetFault(fakes.UpstreamHealthy) })
				end()
			})
		}
	}
	group.Wait()
}

func (i *injector) breakLink(f linkFault, duration time.Duration) {
	m := i.upstream()
	end := i.beginFault("link "+string(f), m.name)
	holdFault(&m.proxy.activeFaults, duration, func() { m.proxy.setFault(f) }, func() { m.proxy.setFault(linkHealthy) })
	end()
}

func (i *injector) publish(revoke bool) {
	i.world.timeline.add(Event{Name: fmt.Sprintf("configuration revoke=%t", revoke)})
	if err := i.world.operator.publish(revoke); err != nil {
		i.world.checker.recordViolation("bench", "%v", err)
	}
}

func (i *injector) publishSeries() {
	for range seriesLength {
		i.publish(i.randomN(2) == 0)
		time.Sleep(seriesInterval)
	}
}

func (i *injector) release() {
	i.world.timeline.add(Event{Name: "release"})
	if err := i.world.operator.release(); err != nil {
		i.world.checker.recordViolation("bench", "%v", err)
	}
}

// releaseUnseen releases a version while all entries of a failure domain are paused. Half of the
// versions can't be loaded before the older ones have to end.
func (i *injector) releaseUnseen(d hosts.Domain) {
	duration := minDomainPause + time.Duration(i.randomN(int64(maxDomainPause-minDomainPause)))
	var group sync.WaitGroup
	if i.randomN(2) == 0 {
		group.Go(func() { i.breakOrigin(fakes.OriginDown, versionLimit+duration) })
	}
	for _, p := range i.world.entries {
		if p.settings.Place.Domain == d {
			group.Go(func() { i.pause(p, duration) })
		}
	}
	time.Sleep(unseenDelay)
	i.release()
	group.Wait()
}

// delayOrders lets all engines take orders late for a while.
func (i *injector) delayOrders(duration time.Duration) {
	end := i.beginFault(string(fakes.UpstreamOrdersLate), "engines")
	var group sync.WaitGroup
	for _, m := range i.world.upstreams {
		if m.isEngine && m.isStarted() {
			group.Go(func() {
				holdFault(&m.activeFaults, duration, func() { m.SetFault(fakes.UpstreamOrdersLate) }, func() { m.SetFault(fakes.UpstreamHealthy) })
			})
		}
	}
	group.Wait()
	end()
}

// corruptStaged corrupts pieces that are staged at an engine.
func (i *injector) corruptStaged(m *managedUpstream) {
	i.world.timeline.add(Event{Name: "staged pieces corrupted", Subject: m.name})
	m.CorruptStagedPieces()
}

// addEngine starts a spare engine without a model.
func (i *injector) addEngine() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.startedSpares == spareEngines {
		return
	}
	n := i.world.options.Size.Engines + i.startedSpares
	i.startedSpares++
	i.world.timeline.add(Event{Name: "engine added"})
	if err := i.world.startEngine(i.world.upstreams[n], n); err != nil {
		i.world.checker.recordViolation("bench", "%v", err)
	}
}

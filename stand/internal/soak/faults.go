package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/platform/fakes"
)

const (
	// leastFault is how long a fault lasts at least.
	leastFault = 300 * time.Millisecond
	// spanSteps is the number of different lengths of a fault.
	spanSteps = 1000
	// burstGap is the time between faults that come in series.
	burstGap = 400 * time.Millisecond
	burst    = 3
	// expireTime is the time after which the platform takes a silent upstream off its list.
	expireTime = 3600 * time.Millisecond
)

// eventStop is the graceful stop of a process.
const eventStop = "graceful stop"

// fault is one thing that goes wrong. It returns once it is over.
type fault struct {
	name string
	run  func(d *director, span time.Duration)
}

// faults are all kinds, in the order in which a seed draws them.
var faults = []fault{
	{"entry-kill", func(d *director, _ time.Duration) { d.kill(d.entry()) }},
	{"entry-pause", func(d *director, span time.Duration) { d.pause(d.entry(), span) }},
	{"entry-stop", func(d *director, _ time.Duration) { d.stop(d.entry()) }},
	{"entry-series", func(d *director, _ time.Duration) { d.series(d.entry()) }},
	{"entries-kill", func(d *director, _ time.Duration) { d.killAll(d.world.entries) }},
	{"entries-roll", func(d *director, _ time.Duration) { d.roll() }},
	{"entry-cut", func(d *director, span time.Duration) { d.cutStore(d.entry(), span) }},
	{"agent-kill", func(d *director, _ time.Duration) { d.kill(d.agent()) }},
	{"agent-pause", func(d *director, span time.Duration) { d.pause(d.agent(), span) }},
	{"agents-kill", func(d *director, _ time.Duration) { d.killAll(d.world.agentList()) }},
	{"agent-cut", func(d *director, span time.Duration) { d.cutStore(d.agent(), span) }},
	{"settings", func(d *director, _ time.Duration) { d.settings(d.entry()) }},
	{"store-down", func(d *director, span time.Duration) { d.breakStore(fakes.StoreDown, span) }},
	{"store-hung", func(d *director, span time.Duration) { d.breakStore(fakes.StoreHung, span) }},
	{"store-slow", func(d *director, span time.Duration) { d.breakStore(fakes.StoreSlow, span) }},
	{"store-lossy", func(d *director, span time.Duration) { d.breakStore(fakes.StoreLossy, span) }},
	{"store-forget", func(d *director, _ time.Duration) { d.world.store.CompactHistory() }},
	{"origin-down", func(d *director, span time.Duration) { d.breakOrigin(fakes.OriginDown, span) }},
	{"origin-rotten", func(d *director, span time.Duration) { d.breakOrigin(fakes.OriginCorrupt, span) }},
	{"origin-short", func(d *director, span time.Duration) { d.breakOrigin(fakes.OriginTruncated, span) }},
	{"upstream-crash", func(d *director, span time.Duration) { d.crash(d.upstream(), span) }},
	{"upstream-gone", func(d *director, span time.Duration) { d.crash(d.upstream(), expireTime+span) }},
	{"upstream-drain", func(d *director, _ time.Duration) { d.drain(d.upstream()) }},
	{"upstream-slow", func(d *director, span time.Duration) { d.breakUpstream(fakes.UpstreamSlow, span) }},
	{"upstream-grey", func(d *director, span time.Duration) { d.breakUpstream(fakes.UpstreamGrey, span) }},
	{"upstream-lossy", func(d *director, span time.Duration) { d.breakUpstream(fakes.UpstreamLossy, span) }},
	{"upstream-garbled", func(d *director, span time.Duration) { d.breakUpstream(fakes.UpstreamGarbled, span) }},
	{"upstream-doubled", func(d *director, span time.Duration) { d.breakUpstream(fakes.UpstreamExtraResponse, span) }},
	{"upstream-spoilt", func(d *director, _ time.Duration) { d.upstream().CorruptStagedPieces() }},
	{"link-delay", func(d *director, span time.Duration) { d.breakLink(linkDelay, span) }},
	{"link-reset", func(d *director, span time.Duration) { d.breakLink(linkReset, span) }},
	{"link-oneway", func(d *director, span time.Duration) { d.breakLink(linkOneway, span) }},
	{"link-silence", func(d *director, span time.Duration) { d.breakLink(linkSilence, span) }},
	{"link-dark", func(d *director, span time.Duration) { d.breakLink(linkDark, span) }},
	{"config", func(d *director, _ time.Duration) { d.publish(false) }},
	{"config-revoke", func(d *director, _ time.Duration) { d.publish(true) }},
	{"config-series", func(d *director, _ time.Duration) { d.publishSeries() }},
	{"release", func(d *director, _ time.Duration) { d.release() }},
	{"release-series", func(d *director, _ time.Duration) { d.release(); time.Sleep(burstGap); d.release() }},
	{"engine-add", func(d *director, _ time.Duration) { d.addEngine() }},
}

// director strikes with faults in the order of a seed.
type director struct {
	world  *world
	random *rand.Rand
	// mutex guards random and spare.
	mutex sync.Mutex
	spare int
	// kinds are those that may come.
	kinds []fault
	// store and origin count the faults of each that are on.
	store  atomic.Int32
	origin atomic.Int32
}

// newDirector returns a director of the kinds that the options name.
func newDirector(w *world, r *rand.Rand) (*director, error) {
	d := &director{world: w, random: r, kinds: faults}
	if w.options.Only == "" {
		return d, nil
	}
	d.kinds = nil
	for name := range strings.SplitSeq(w.options.Only, ",") {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("no kind of fault is called %q", name)
		}
		d.kinds = append(d.kinds, faults[i])
	}
	return d, nil
}

// play starts faults until the time is over. They end in the group.
func (d *director) play(ctx context.Context, group *sync.WaitGroup) {
	end := time.Now().Add(d.world.options.Length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f, span := d.next()
		group.Go(func() { f.run(d, span) })
		clocks.Sleep(ctx, time.Duration(d.draw(int64(2*d.world.options.Gap))))
	}
}

func (d *director) next() (fault, time.Duration) {
	f := d.kinds[d.draw(int64(len(d.kinds)))]
	part := float64(d.draw(spanSteps)) / spanSteps
	return f, leastFault + time.Duration(part*part*float64(d.world.options.Span-leastFault))
}

func (d *director) draw(n int64) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.Int64N(n)
}

func (d *director) entry() *process { return d.world.entries[d.draw(int64(len(d.world.entries)))] }

func (d *director) agent() *process {
	all := d.world.agentList()
	return all[d.draw(int64(len(all)))]
}

// upstream returns one that is in use.
func (d *director) upstream() *member {
	var all []*member
	for _, m := range d.world.members {
		if m.inUse() {
			all = append(all, m)
		}
	}
	return all[d.draw(int64(len(all)))]
}

func (d *director) harm(name string, s Subject) func() {
	return d.world.timeline.add(Moment{Name: name, Subject: s})
}

func (d *director) kill(p *process) {
	over := d.harm("kill", p.name)
	p.signal(syscall.SIGKILL)
	time.Sleep(restartWait)
	p.await()
	over()
}

func (d *director) pause(p *process, span time.Duration) {
	over := d.harm("pause", p.name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(span)
	p.signal(syscall.SIGCONT)
	over()
}

// stop ends a process gracefully, unless it is about to end: a second signal cuts the stop
// short, as the programs say.
func (d *director) stop(p *process) {
	if p.ending() {
		return
	}
	over := d.harm(eventStop, p.name)
	p.stop()
	time.Sleep(restartWait)
	p.await()
	over()
}

func (d *director) series(p *process) {
	for range burst {
		d.kill(p)
		time.Sleep(burstGap)
	}
}

func (d *director) killAll(all []*process) {
	var group sync.WaitGroup
	for _, p := range all {
		group.Go(func() { d.kill(p) })
	}
	group.Wait()
}

// roll stops the entries one after the other.
func (d *director) roll() {
	for _, p := range d.world.entries {
		d.stop(p)
		time.Sleep(burstGap)
	}
}

// cutStore harms the way of one process to the store.
func (d *director) cutStore(p *process, span time.Duration) {
	all := []linkFault{linkDelay, linkReset, linkOneway, linkSilence, linkDark}
	f := all[d.draw(int64(len(all)))]
	over := d.harm("store-"+string(f), p.name)
	l := d.world.linkOf(p.name)
	hold(&l.struck, span, func() { l.strike(f) }, func() { l.strike(linkSound) })
	over()
}

// settings changes the settings of a process; every other time it isn't told.
func (d *director) settings(p *process) {
	over := d.harm("settings", p.name)
	defer over()
	err := p.rewrite(func(s *fakes.ProcessSettings) {
		if len(s.Seeds) > 0 {
			s.Seeds = append(s.Seeds[1:], s.Seeds[0])
		}
	})
	if err == nil && d.draw(2) == 0 {
		p.signal(syscall.SIGHUP)
	}
}

// hold keeps something broken for a while. If another fault strikes it meanwhile, that one
// goes on, and the last to end mends it.
func hold(struck *atomic.Int32, span time.Duration, harm, mend func()) {
	struck.Add(1)
	harm()
	time.Sleep(span)
	if struck.Add(-1) == 0 {
		mend()
	}
}

func (d *director) breakStore(f fakes.StoreFault, span time.Duration) {
	over := d.harm(string(f), subjectStore)
	hold(&d.store, span, func() { d.world.store.SetFault(f) }, func() { d.world.store.SetFault(fakes.StoreHealthy) })
	over()
}

func (d *director) breakOrigin(f fakes.OriginFault, span time.Duration) {
	over := d.harm("origin "+string(f), "origin")
	hold(&d.origin, span, func() { d.world.origin.SetFault(f) }, func() { d.world.origin.SetFault(fakes.OriginHealthy) })
	over()
}

// crash ends an upstream, which comes back as another one. Faults that overlap leave it
// alone.
func (d *director) crash(m *member, span time.Duration) {
	if !m.reserve() {
		return
	}
	defer m.free()
	over := d.harm("crash", m.name)
	m.Crash()
	expire := time.AfterFunc(expireTime, m.Deregister)
	time.Sleep(span)
	expire.Stop()
	m.Deregister()
	d.start(m)
	over()
}

func (d *director) drain(m *member) {
	if !m.reserve() {
		return
	}
	defer m.free()
	id := m.ID()
	over := d.harm("drain", m.name)
	at, wait, err := m.Drain()
	if err != nil {
		return
	}
	d.world.operator.drained(id, at)
	wait()
	d.start(m)
	over()
}

func (d *director) start(m *member) {
	if err := m.Start(); err != nil {
		d.world.judge.report("bench", "%s can't start: %v", m.name, err)
	}
}

func (d *director) breakUpstream(f fakes.UpstreamFault, span time.Duration) {
	m := d.upstream()
	over := d.harm(string(f), m.name)
	hold(&m.ill, span, func() { m.SetFault(f) }, func() { m.SetFault(fakes.UpstreamHealthy) })
	over()
}

func (d *director) breakLink(f linkFault, span time.Duration) {
	m := d.upstream()
	over := d.harm("link "+string(f), m.name)
	hold(&m.proxy.struck, span, func() { m.proxy.strike(f) }, func() { m.proxy.strike(linkSound) })
	over()
}

func (d *director) publish(revoke bool) {
	d.world.timeline.add(Moment{Name: fmt.Sprintf("configuration revoke=%t", revoke)})
	if err := d.world.operator.publish(revoke); err != nil {
		d.world.judge.report("bench", "%v", err)
	}
}

func (d *director) publishSeries() {
	for range burst {
		d.publish(d.draw(2) == 0)
		time.Sleep(burstGap)
	}
}

func (d *director) release() {
	d.world.timeline.add(Moment{Name: "release"})
	if err := d.world.operator.release(); err != nil {
		d.world.judge.report("bench", "%v", err)
	}
}

// addEngine starts a spare engine, which is empty.
func (d *director) addEngine() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.spare == spareEngines {
		return
	}
	i := d.world.options.Size.Engines + d.spare
	d.spare++
	d.world.timeline.add(Moment{Name: "engine added"})
	if err := d.world.startEngine(d.world.members[i], i); err != nil {
		d.world.judge.report("bench", "%v", err)
	}
}

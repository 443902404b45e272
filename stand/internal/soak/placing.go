package soak

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/platform/fakes"
)

const (
	// coldTime and coldRate are those of the pools in runs with cold upstreams. Clients send each
	// upstream several times the rate.
	coldTime = 4 * time.Second
	coldRate = 2
	// coldSpan is the sliding window in which a cold upstream gets at most limitRatio times its rate
	// plus limitSlack requests.
	coldSpan = time.Second
	// coldGrace is how long after an upstream has become cold unannounced its requests aren't counted,
	// since no entry knows of it yet.
	coldGrace = 1500 * time.Millisecond
	// coldInterval is the number of successive seeds of which one has cold upstreams, in runs with
	// all kinds of faults.
	coldInterval = 3
	// minEvacuation is the shortest evacuation. Requests in the domain are violations only after
	// applyLimit.
	minEvacuation = 4 * time.Second
)

// placingFaults are the kinds of faults around cold upstreams, home regions and evacuations.
var placingFaults = []fault{
	{"upstream-cold", func(i *injector, _ time.Duration) { i.makeCold(i.upstream()) }},
	{"domain-cold", func(i *injector, _ time.Duration) { i.returnCold(domains[i.randomN(int64(len(domains)))]) }},
	{"evacuate", func(i *injector, duration time.Duration) { i.evacuate(duration) }},
	{"homes", func(i *injector, _ time.Duration) { i.moveHomes() }},
}

// hasCold reports whether the pools of the run have a cold time.
func (o Options) hasCold() bool {
	if o.FaultKinds == "" {
		return o.Seed%coldInterval == 0
	}
	return strings.Contains(o.FaultKinds, "cold") || strings.Contains(o.FaultKinds, "evacuate")
}

// withCold returns the pool with the cold time and rate of the run, if it has any.
func (w *world) withCold(p state.Pool) state.Pool {
	if w.options.hasCold() {
		p.Cold, p.ColdRate = coldTime, coldRate
	}
	return p
}

// makeCold makes an upstream cold while it runs. Half of them register that, the others state it in
// their responses alone.
func (i *injector) makeCold(m *managedUpstream) {
	if !m.reserve() {
		return
	}
	defer m.release()
	end := i.world.timeline.add(Event{Name: "cold " + string(m.name)})
	m.BecomeCold()
	if i.randomN(2) == 0 {
		if err := m.Reregister(); err != nil {
			i.world.checker.recordViolation("bench", "%s can't register: %v", m.name, err)
		}
	}
	time.Sleep(coldTime)
	end()
}

// returnCold crashes the upstreams of a domain, which return together under new ids.
func (i *injector) returnCold(d hosts.Domain) {
	var group sync.WaitGroup
	for _, m := range i.world.upstreams {
		if m.isStarted() && m.Domain() == d {
			group.Go(func() { i.crash(m, minFaultTime) })
		}
	}
	group.Wait()
}

// evacuation is a time for which a failure domain was evacuated.
type evacuation struct {
	domain      hosts.Domain
	from, until time.Time
}

// evacuate evacuates a domain, or all of them. After half of the evacuations, the upstreams return cold.
// No restore runs meanwhile, since it would remove the row.
func (i *injector) evacuate(duration time.Duration) {
	if !i.restoring.TryLock() {
		return
	}
	defer i.restoring.Unlock()
	all, returnsCold := domains, i.randomN(2) == 0
	if i.randomN(6) > 0 {
		n := i.randomN(int64(len(domains)))
		all = domains[n : n+1]
	}
	var group sync.WaitGroup
	for _, d := range all {
		group.Go(func() {
			end := i.world.timeline.add(Event{Name: "evacuate " + string(d)})
			from := i.world.store.Evacuate(d)
			time.Sleep(minEvacuation + duration)
			if returnsCold {
				i.returnCold(d)
			}
			c := i.world.checker
			c.mutex.Lock()
			c.evacuations = append(c.evacuations, evacuation{domain: d, from: from, until: time.Now()})
			c.mutex.Unlock()
			i.world.store.EndEvacuation(d)
			end()
		})
	}
	group.Wait()
}

// moveHomes publishes a configuration with other home regions: of two routes, of a route and a
// workspace, or none.
func (i *injector) moveHomes() {
	pick := func() []hosts.Region {
		first, other := domains[i.randomN(int64(len(domains)))], domains[i.randomN(int64(len(domains)))]
		return []hosts.Region{regions[first], regions[other]}
	}
	homes := make(map[string][]hosts.Region)
	switch i.randomN(3) {
	case 0:
		homes[prefixRead], homes[prefixTale] = pick(), pick()
	case 1:
		homes[prefixBook], homes[workspaceName(0)] = pick(), pick()
	}
	o := i.world.operator
	o.mutex.Lock()
	o.homes = homes
	o.mutex.Unlock()
	i.publish(false)
}

// checkPlaces checks that runs are in their home regions, and that evacuated domains get none.
func (c *checker) checkPlaces(all []*sentRequest, runs []fakes.Run) {
	generations, _ := c.world.operator.history()
	for upstream, group := range groupRuns(all, runs, func(e entryRun) string { return e.run.UpstreamID }) {
		m := c.world.upstreamOf(upstream)
		for _, e := range group {
			if m == nil || e.run.Status == statusMisdirected {
				continue
			}
			c.checkHomes(e, m, generations)
			c.checkEvacuated(e, m)
		}
	}
}

// checkHomes checks that a run was allowed by the homes of a configuration that could be active.
func (c *checker) checkHomes(e entryRun, m *managedUpstream, generations []generation) {
	s := e.request
	prefix := s.Target[:strings.Index(s.Target[1:], "/")+2]
	undisturbed := c.world.timeline.undisturbed(s.sentAt.Add(-applyLimit), e.run.ReceivedAt, s.entry.name, subjectStore)
	for i, g := range generations {
		if g.publishedAt.After(e.run.ReceivedAt) || undisturbed && superseded(generations, i, s) {
			continue
		}
		route, workspace := state.Route{Homes: g.homes[prefix]}, state.Workspace{Homes: g.homes[s.key.workspace]}
		if state.HomesOf(&route, &workspace).Allows(regions[m.Domain()]) {
			return
		}
	}
	c.recordViolation("homes", "%s at %s through %s, undisturbed %t, reached %s outside its home regions",
		s.ID, c.world.timeline.offset(s.sentAt), s.entry.name, undisturbed, e.run.UpstreamID)
}

// checkEvacuated checks that a run wasn't sent to an evacuated domain by an undisturbed entry.
func (c *checker) checkEvacuated(e entryRun, m *managedUpstream) {
	t, received := c.world.timeline, e.run.ReceivedAt
	for _, v := range c.evacuations {
		if v.domain == m.Domain() && received.Sub(v.from) > applyLimit && received.Before(v.until) &&
			t.undisturbed(v.from, received, e.request.entry.name, subjectStore) && !c.isDelayed(m, v.from, received) {
			c.recordViolation("evacuated", "%s through %s reached %s at %s, evacuated at %s",
				e.request.ID, e.request.entry.name, e.run.UpstreamID, t.offset(received), t.offset(v.from))
		}
	}
}

// upstreamOf returns the upstream with an id, or nil.
func (w *world) upstreamOf(id string) *managedUpstream {
	for _, m := range w.upstreams {
		if strings.HasPrefix(id, m.IDPrefix()+"-") {
			return m
		}
	}
	return nil
}

// isDelayed reports whether a fault or stall of the upstream or its link may have held requests up.
func (c *checker) isDelayed(m *managedUpstream, from, until time.Time) bool {
	from = from.Add(-stabilityTime)
	return c.world.timeline.overlaps(from, until, func(e *Event) bool { return e.Subject == m.name && e.Name != eventCrash }) ||
		slices.ContainsFunc(c.stalls, func(p *stallPeriod) bool {
			return p.upstream == m && p.startedAt.Before(until) && p.endedAt.After(from)
		})
}

// checkCold checks that all entries together send a cold upstream no more requests than its rate
// allows, also during faults of entries.
func (c *checker) checkCold(all []*sentRequest, runs []fakes.Run) {
	groups := groupRuns(all, runs, func(e entryRun) string { return e.run.UpstreamID })
	for _, p := range c.world.ledger.ColdPeriods() {
		m, from := c.world.upstreamOf(p.UpstreamID), p.From
		if !p.IsAnnounced {
			from = from.Add(coldGrace)
		}
		var counted []time.Time
		for _, e := range groups[p.UpstreamID] {
			at := e.run.ReceivedAt
			if e.run.Status == statusMisdirected || at.Before(from) || !at.Before(p.Until) {
				continue
			}
			counted = append(counted, at)
			for at.Sub(counted[0]) >= coldSpan {
				counted = counted[1:]
			}
			if allowed := int(math.Floor(limitRatio*coldRate)) + limitSlack; len(counted) > allowed && !c.isDelayed(m, counted[0], at) {
				c.recordViolation("cold", "%s, cold since %s, announced %t, got %d requests in %s at %s, allowed %d",
					p.UpstreamID, c.world.timeline.offset(p.From), p.IsAnnounced, len(counted), coldSpan, c.world.timeline.offset(at), allowed)
				break
			}
		}
	}
}

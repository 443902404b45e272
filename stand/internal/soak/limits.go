package soak

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// limitSpan, limitRatio and limitSlack are those of the users' rule: in no span may an
	// upstream get more than limitRatio times what its limit allows, and limitSlack more.
	limitSpan  = 4 * time.Second
	limitRatio = 1.5
	limitSlack = 5
	// limitToldTime is the time after which an entry counts that has passed a limit on.
	limitToldTime = 500 * time.Millisecond
	// limitTime is the time for which an upstream names one value.
	limitTime = 9 * time.Second
)

// limitValues are what upstreams name. The last ones name no limit.
var limitValues = []string{"0.5", "1", "1.5", "4", "0", "1e-9", "1e300", "NaN", "-1", "few", ""}

// firstInvalidLimit is the index of the first of limitValues that names no limit.
const firstInvalidLimit = 7

// namedLimit is a limit that an upstream named for a while.
type namedLimit struct {
	upstream   string
	text       string
	rate       float64
	from, till time.Time
}

// limit lets an upstream, or all of a plain pool, name a limit, then mostly another one, and then
// none.
func (i *injector) limit(m *managedUpstream) {
	all := []*managedUpstream{m}
	if !m.isEngine && i.randomN(2) == 0 {
		all = nil
		for _, o := range i.world.upstreams {
			if !o.isEngine && o.Pool() == m.Pool() {
				all = append(all, o)
			}
		}
	}
	first := i.randomN(firstInvalidLimit)
	values := []string{limitValues[first], limitValues[i.randomN(int64(len(limitValues)))]}
	var group sync.WaitGroup
	for _, o := range all {
		group.Go(func() { i.nameLimits(o, values[:1+i.randomN(2)]) })
	}
	group.Wait()
}

// nameLimits lets an upstream name one value after the other. It does nothing while it names one.
func (i *injector) nameLimits(m *managedUpstream, values []string) {
	if !m.limiting.TryLock() {
		return
	}
	defer m.limiting.Unlock()
	for _, text := range values {
		l := namedLimit{upstream: m.ID(), text: text, from: time.Now()}
		m.SetLimits(text)
		end := i.world.timeline.add(Event{Name: "limit " + strconv.Quote(text) + " of " + string(m.name)})
		time.Sleep(limitTime)
		end()
		l.till = time.Now()
		rate, err := strconv.ParseFloat(text, 64)
		if l.rate = rate; err == nil && rate >= 0 {
			i.world.checker.recordLimit(l)
		}
	}
	m.SetLimits()
}

func (c *checker) recordLimit(l namedLimit) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limits = append(c.limits, l)
}

// checkLimits checks that no upstream gets more requests than its limit allows, of all entries
// together that had passed it on and were undisturbed.
func (c *checker) checkLimits(all []*sentRequest, runs []fakes.Run) {
	groups := groupRuns(all, runs, func(e entryRun) string { return e.run.UpstreamID })
	c.mutex.Lock()
	limits := slices.Clone(c.limits)
	c.mutex.Unlock()
	for _, l := range limits {
		c.checkLimit(l, groups[l.upstream])
	}
}

func (c *checker) checkLimit(l namedLimit, group []entryRun) {
	told, first, till := l.passedOn(group)
	if first.IsZero() {
		return
	}
	var counted []time.Time
	for _, e := range group {
		at, ok := told[e.start()]
		received := e.run.ReceivedAt
		if ok && !received.Before(at.Add(limitToldTime)) && !received.Before(first.Add(stabilityTime)) && received.Before(till) &&
			e.run.Status != statusMisdirected && c.world.timeline.undisturbed(received, received, e.request.entry.name) {
			counted = append(counted, received)
		}
	}
	allowed := math.Floor(limitRatio*l.rate*limitSpan.Seconds()) + limitSlack
	begin := 0
	for k, at := range counted {
		for at.Sub(counted[begin]) >= limitSpan {
			begin++
		}
		if n := k - begin + 1; float64(n) > allowed {
			c.recordViolation("limits", "%s, which had named a limit of %s a second, got %d requests in %s at %s, allowed %g",
				l.upstream, l.text, n, limitSpan, c.world.timeline.offset(at), allowed)
			return
		}
	}
}

// passedOn returns when each entry had first passed on a response with the limit, when the upstream
// first named it, and when it named it no more: another process has started under the id, or the
// value has changed.
func (l namedLimit) passedOn(group []entryRun) (told map[processStart]time.Time, first, till time.Time) {
	told, till = make(map[processStart]time.Time), l.till
	for _, e := range group {
		if e.run.Status == 0 || e.run.ReceivedAt.Before(l.from) || !e.run.ReceivedAt.Before(till) {
			continue
		}
		if !slices.Equal(e.run.Limits, []string{l.text}) {
			till = e.run.ReceivedAt
			continue
		}
		if at, ok := told[e.start()]; e.isPassedOn() && (!ok || e.request.endedAt.Before(at)) {
			told[e.start()] = e.request.endedAt
		}
		if first.IsZero() {
			first = e.run.ReceivedAt
		}
	}
	return told, first, till
}

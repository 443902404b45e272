package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// minStallTime and maxStallTime bound the time for which a sound upstream stands still.
	minStallTime = 800 * time.Millisecond
	maxStallTime = 2 * time.Second
	// stallPause is the time between the stalls of a series.
	stallPause = 300 * time.Millisecond
	// maxStallLead is the longest time before the end of a replaced version at which a stall over
	// that end begins.
	maxStallLead = 1900 * time.Millisecond
	// quarantinedBody is the body of a refusal of a request that is taken for one that crashes
	// upstreams.
	quarantinedBody = "quarantined"
)

// stallPeriod is a time for which an upstream stood still.
type stallPeriod struct {
	upstream  *managedUpstream
	startedAt time.Time
	endedAt   time.Time
}

// stall lets an upstream stand still and go on.
func (i *injector) stall(m *managedUpstream) { i.stallAtLeast(m, minStallTime) }

// stallAtLeast lets an upstream stand still for at least a time. That is no disturbance: it excuses
// nothing. It does nothing if another fault has reserved the upstream.
func (i *injector) stallAtLeast(m *managedUpstream, shortest time.Duration) {
	if !m.reserve() {
		return
	}
	duration := shortest + time.Duration(i.randomN(int64(maxStallTime-shortest)))
	endsFirst := i.randomN(2) == 0
	end := i.world.timeline.add(Event{Name: fmt.Sprintf("stall of %s, ends first %t", m.name, endsFirst)})
	p := &stallPeriod{upstream: m, startedAt: time.Now()}
	m.Stall()
	time.Sleep(duration)
	end()
	c := i.world.checker
	c.mutex.Lock()
	p.endedAt = time.Now()
	c.stalls = append(c.stalls, p)
	c.mutex.Unlock()
	m.release()
	m.Resume(endsFirst)
}

// stallSeries lets an upstream stand still several times.
func (i *injector) stallSeries() {
	m := i.upstream()
	for range seriesLength {
		i.stall(m)
		time.Sleep(stallPause)
	}
}

// releaseStalled releases a version, and lets half of the engines stand still while the time of the
// older ones ends. Half of the versions can't be loaded before.
func (i *injector) releaseStalled() {
	var group sync.WaitGroup
	if i.randomN(2) == 0 {
		group.Go(func() { i.breakOrigin(fakes.OriginDown, versionLimit+maxStallTime) })
	}
	i.release()
	for _, m := range i.world.upstreams {
		if m.isEngine && m.isStarted() && i.randomN(2) == 0 {
			lead := time.Duration(i.randomN(int64(maxStallLead)))
			at := time.Now().Add(versionLimit - lead)
			group.Go(func() {
				time.Sleep(time.Until(at))
				i.stallAtLeast(m, max(minStallTime, lead))
			})
		}
	}
	group.Wait()
}

// checkStalls checks that a sound upstream that stood still isn't given up.
func (c *checker) checkStalls(all []*sentRequest) {
	for _, r := range c.world.ledger.Reloads() {
		c.recordViolation("reload", "%s was ordered at %s to load version %d, which it held", r.Upstream, c.world.timeline.offset(r.At), r.Version)
	}
	for _, s := range all {
		if s.endedAt.IsZero() || !s.canceledAt.IsZero() {
			continue
		}
		c.checkInnocence(s)
		c.checkWaited(s)
	}
}

// checkInnocence checks that no request is quarantined before an engine has crashed.
func (c *checker) checkInnocence(s *sentRequest) {
	if strings.TrimSpace(string(s.response.Body)) != quarantinedBody || c.hasCrashed(s.endedAt) {
		return
	}
	c.recordViolation("quarantined", "%s at %s through %s was quarantined although no upstream had crashed", s.ID, c.world.timeline.offset(s.sentAt), s.entry.name)
}

// hasCrashed reports whether an upstream had ended before a time.
func (c *checker) hasCrashed(before time.Time) bool {
	return c.world.timeline.overlaps(c.world.timeline.startedAt, before, func(e *Event) bool {
		return slices.Contains([]string{eventCrash, eventPoisonCrash, eventDrain, eventLeave, eventPower}, e.Name)
	})
}

// checkWaited checks that a request that waited for an upstream that stood still is answered or
// refused, unless its time or that of the version ended.
func (c *checker) checkWaited(s *sentRequest) {
	r := s.response
	if r.Signature != "" && r.Complete || r.Err == nil && (r.IsNotRun() || r.IsDenied()) || s.endedAt.Sub(s.sentAt) > routeTimeout-timeoutGrace {
		return
	}
	runs := c.world.ledger.RunsOf(s.ID)
	if !c.waited(s, runs) || c.upstreamDisturbed(s, runs) || c.outlivedVersion(s, runs) ||
		!c.world.timeline.undisturbedExcept([]string{eventSettings}, s.sentAt, s.endedAt, s.entry.name, subjectStore) {
		return
	}
	c.recordViolation("waited", "%s %s at %s through %s waited for an upstream that stood still, and got status %d after %s: %v", s.kind.name, s.ID,
		c.world.timeline.offset(s.sentAt), s.entry.name, r.Status, s.endedAt.Sub(s.sentAt), r.Err)
}

// waited reports whether an upstream of the request stood still while it was in progress.
func (c *checker) waited(s *sentRequest, runs []fakes.Run) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.ContainsFunc(c.stalls, func(p *stallPeriod) bool {
		return p.startedAt.Before(s.endedAt) && p.endedAt.After(s.sentAt) && slices.ContainsFunc(runs, func(r fakes.Run) bool {
			return strings.HasPrefix(r.UpstreamID, p.upstream.IDPrefix()+"-")
		})
	})
}

// outlivedVersion reports whether a request may have been withdrawn because it hadn't begun when
// the time of its version ended.
func (c *checker) outlivedVersion(s *sentRequest, runs []fakes.Run) bool {
	_, versions := c.world.operator.history()
	return s.kind.stream && !slices.ContainsFunc(runs, func(r fakes.Run) bool { return !r.StartedAt.IsZero() && r.StartedAt.Before(s.endedAt) }) &&
		slices.ContainsFunc(versions, func(v modelVersion) bool {
			return s.endedAt.After(v.storedAt) && s.endedAt.Before(v.storedAt.Add(versionLimit))
		})
}

package soak

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// poisonInterval is the number of prompts of which one has the poison part.
	poisonInterval = 4
	// minPoisonTime and maxPoisonTime bound the time for which clients send a poison part.
	minPoisonTime = 10 * time.Second
	maxPoisonTime = 15 * time.Second
	// minDownTime and maxDownTime bound the time for which an engine is down after a crash.
	minDownTime = 1500 * time.Millisecond
	maxDownTime = 4500 * time.Millisecond
	// sameIDInterval is the number of restarts after a crash of which one is under the same id.
	sameIDInterval = 4
	// poisonCrashes is the number of crashes after which a part must be recognized.
	poisonCrashes = 5
	// minCompared is the number of requests on each side for which rates are compared, minBegun
	// the ratio of the rates below which sound requests count as affected.
	minCompared = 20
	minBegun    = 0.5
)

// poisonPart is a part of prompts that crashes each engine that begins to write a response.
type poisonPart struct {
	id string
	// position is its index among the parts of a prompt.
	position int

	mutex sync.Mutex
	// crashes are the times of the crashes, in order.
	crashes []time.Time
}

func (p *poisonPart) recordCrash() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// recognizableAt returns the time of the crash by which the part must be recognized, or of the
// last one before, or zero.
func (p *poisonPart) recognizableAt() (at time.Time, crashes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := min(len(p.crashes), poisonCrashes)
	if n == 0 {
		return time.Time{}, 0
	}
	return p.crashes[n-1], n
}

// poisonPart lets clients send prompts with a part that crashes engines for a while. It does
// nothing while they do.
func (i *injector) poisonPart() {
	if !i.poisoning.TryLock() {
		return
	}
	defer i.poisoning.Unlock()
	c := i.world.checker
	p := &poisonPart{id: fmt.Sprintf("bad%d", len(c.poisons)), position: int(i.randomN(2))}
	c.mutex.Lock()
	c.poisons = append(c.poisons, p)
	c.mutex.Unlock()
	i.world.timeline.add(Event{Name: fmt.Sprintf("poison part %s at %d", p.id, p.position)})
	var group sync.WaitGroup
	defer group.Wait()
	for _, m := range i.world.upstreams {
		if m.isEngine {
			m.CrashOn(p.id, func() bool { return i.beginPoisonCrash(m, p, &group) })
			defer m.CrashOn("", nil)
		}
	}
	i.world.poison.Store(p)
	time.Sleep(minPoisonTime + time.Duration(i.randomN(int64(maxPoisonTime-minPoisonTime))))
	i.world.poison.Store(nil)
	time.Sleep(routeTimeout)
}

// beginPoisonCrash prepares the crash of an engine and its return. It returns false if another
// fault has reserved the engine.
func (i *injector) beginPoisonCrash(m *managedUpstream, p *poisonPart, group *sync.WaitGroup) bool {
	if !m.reserve() {
		return false
	}
	p.recordCrash()
	end := i.beginFault(eventPoisonCrash, m.name)
	m.proxy.refuse()
	group.Go(func() {
		defer m.release()
		i.awaitReturn(m)
		end()
	})
	return true
}

// awaitReturn starts an engine some time after its crash, mostly under a new id.
func (i *injector) awaitReturn(m *managedUpstream) {
	expire := time.AfterFunc(registrationTTL, m.Deregister)
	time.Sleep(minDownTime + time.Duration(i.randomN(int64(maxDownTime-minDownTime))))
	expire.Stop()
	if i.randomN(sameIDInterval) > 0 {
		m.Deregister()
		i.start(m)
		return
	}
	if err := errors.Join(m.proxy.listen(), m.Restart()); err != nil {
		i.world.checker.recordViolation("bench", "%s can't start: %v", m.name, err)
	}
}

// checkPoison checks that requests with a part that has crashed engines don't reach more of them,
// and that those which only resemble them are served.
func (c *checker) checkPoison(all []*sentRequest, runs []fakes.Run) {
	requests := make(map[string]*sentRequest, len(all))
	for _, s := range all {
		requests[s.ID] = s
	}
	for _, p := range c.poisons {
		at, crashes := p.recognizableAt()
		if crashes == poisonCrashes {
			c.checkQuarantined(p, at.Add(stabilityTime), requests, runs)
		}
		if crashes > 0 {
			c.checkInnocent(p, at.Add(2*stabilityTime), all)
		}
	}
}

// inTouch reports whether the entry that got a request and the store were undisturbed at a time.
func (c *checker) inTouch(s *sentRequest, at time.Time) bool {
	return c.world.timeline.undisturbed(at, at, s.entry.name, subjectStore)
}

// checkQuarantined checks that hardly any request with the part reaches an engine after a time.
func (c *checker) checkQuarantined(p *poisonPart, since time.Time, requests map[string]*sentRequest, runs []fakes.Run) {
	reached := 0
	var first string
	for i := range runs {
		r := &runs[i]
		s := requests[r.ID]
		if s == nil || s.poison != p || !r.ReceivedAt.After(since) || !c.inTouch(s, r.ReceivedAt) {
			continue
		}
		if reached == 0 {
			first = fmt.Sprintf("%s through %s at %s", s.ID, s.entry.name, c.world.timeline.offset(r.ReceivedAt))
		}
		reached++
	}
	if reached > maxMisses {
		c.recordViolation("poison", "%d requests with part %s reached engines later than %s after crash %d, the first %s",
			reached, p.id, stabilityTime, poisonCrashes, first)
	}
}

// begun counts requests and those that began to run.
type begun struct{ sent, started int }

func (b begun) ratio() float64 { return float64(b.started) / float64(max(b.sent, 1)) }

// checkInnocent checks that sound requests of the same route with the same key or first part begin
// while requests with the part still come as they do without disturbance.
func (c *checker) checkInnocent(p *poisonPart, since time.Time, all []*sentRequest) {
	calm, beside := make(map[string]*begun), make(map[string]*begun)
	for _, k := range requestKinds {
		calm[k.name], beside[k.name] = &begun{}, &begun{}
	}
	similar, last := similarRequests(p, all)
	for _, s := range similar {
		if s.sentAt.After(since) && !s.sentAt.After(last) && c.inTouch(s, s.sentAt) {
			if c.hasVersion(s.sentAt) {
				c.countBegun(s, beside[s.kind.name])
			}
		} else if c.isCalm(s) {
			c.countBegun(s, calm[s.kind.name])
		}
	}
	for name, b := range beside {
		if n := calm[name]; n.sent >= minCompared && b.sent >= minCompared && b.ratio() < minBegun*n.ratio() {
			c.recordViolation("innocent", "beside part %s from %s on, %d of %d sound requests of %s began, otherwise %d of %d",
				p.id, c.world.timeline.offset(since), b.started, b.sent, name, n.started, n.sent)
		}
	}
}

// versionCutoff is how long before a replaced version may begin no more requests entries stop sending
// them.
const versionCutoff = 1500 * time.Millisecond

// hasVersion reports whether an engine had ever loaded a version with which a request may begin at a
// time. Between the end of the time of a replaced version and the first load of a newer one all
// requests are refused.
func (c *checker) hasVersion(at time.Time) bool {
	_, versions := c.world.operator.history()
	return !slices.ContainsFunc(versions, func(v modelVersion) bool {
		return v.storedAt.Add(versionLimit-versionCutoff).Before(at) && !c.world.ledger.IsLoaded(v.number, at)
	})
}

// similarRequests returns the sound requests that share the key or the first part of one with the
// poison part, and the time of the last request with that.
func similarRequests(p *poisonPart, all []*sentRequest) ([]*sentRequest, time.Time) {
	keys, firstParts, last := make(map[string]bool), make(map[string]bool), time.Time{}
	for _, s := range all {
		if s.poison == p {
			keys[s.Credential], firstParts[s.Parts[0].ID], last = true, true, s.sentAt
		}
	}
	var similar []*sentRequest
	for _, s := range all {
		if s.kind.stream && s.poison == nil && (keys[s.Credential] || firstParts[s.Parts[0].ID]) {
			similar = append(similar, s)
		}
	}
	return similar, last
}

func (c *checker) countBegun(s *sentRequest, b *begun) {
	b.sent++
	if slices.ContainsFunc(c.world.ledger.RunsOf(s.ID), func(r fakes.Run) bool { return !r.StartedAt.IsZero() }) {
		b.started++
	}
}

// isCalm reports whether nothing was disturbed shortly before a request and during it.
func (c *checker) isCalm(s *sentRequest) bool {
	t := c.world.timeline
	return s.sentAt.After(t.startedAt.Add(stabilityTime)) && !t.overlaps(s.sentAt.Add(-stabilityTime), s.endedAt, func(e *Event) bool {
		return e.Name != eventGracefulStop && e.Name != eventDrain && e.Name != eventSettings
	})
}

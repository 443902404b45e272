package swarm

import "time"

const (
	// callDelay is how long after a piece became due the bringer of another region
	// is asked for it. It doubles with each call.
	callDelay  = 250 * time.Millisecond
	callGrowth = 3
	// mostCalls bounds how often a bringer may put the region off.
	mostCalls = 40
)

// callFar asks the host that brings a piece into the region before for it, since
// the few far neighbours may get it late.
func (s *Scheduler) callFar(now time.Time) {
	for i := range s.marked {
		st := &s.states[i]
		if st.home || st.ranking.own != 0 || s.held.Has(i) || s.asked.Has(i) || st.count > 0 {
			continue
		}
		if st.call.IsZero() {
			st.call = st.due.Add(callDelay)
		}
		if now.Before(st.call) {
			continue
		}
		if p := s.bringer(now, i); p != nil && s.pacer(p).MayRequest() {
			s.begin(now, p.host.Name, i, true)
		}
	}
}

// bringer returns the first usable member that brings the piece into the region
// from which the own one takes it, or nil.
func (s *Scheduler) bringer(now time.Time, i int) *peer {
	st := &s.states[i]
	from := st.from[0]
	if st.place == 1 || s.mayBypass(now, st, st.due) {
		from = st.from[1]
	}
	for _, name := range s.groups[from].rank(s.options.Pieces[i].Key, s.options.Self.Name, nil).top {
		if p := s.peerOf(name); p != nil && !now.Before(p.until) && !now.Before(p.unable) {
			return p
		}
	}
	return nil
}

// callFailed notes what the bringer of another region answered.
func (s *Scheduler) callFailed(now time.Time, p *peer, i int, c Cause) {
	st := &s.states[i]
	st.call = now.Add(grow(callDelay, min(st.calls, callGrowth)))
	st.calls++
	if c == CauseMissing || c == CauseBusy {
		st.told = now
		p.refusals = 0
		return
	}
	s.setUnable(p, now.Add(grow(unableFactor*s.takeover(), min(p.refusals, unableGrowth))))
	p.refusals++
}

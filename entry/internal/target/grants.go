package target

import (
	"time"

	"currantport.example/core/hosts"
)

const (
	// askTimeout is how long an entry waits for the owner of a limit. It covers several round
	// trips between regions.
	askTimeout = 60 * time.Millisecond
	// grantTTL is how long after the ask a granted request may be sent.
	grantTTL = 300 * time.Millisecond
	// refusedAskDelay is when to ask an entry again that doesn't own the limit by its own view of
	// the fleet, or that didn't respond.
	refusedAskDelay = 500 * time.Millisecond
	// maxAskCount bounds the requests in an ask.
	maxAskCount = 16
	// maxLimitedRetryDelay bounds the time after which a client returns that is refused because
	// of limits.
	maxLimitedRetryDelay = 10 * time.Second
)

// GrantRequest is the state of a request that waits for an upstream with a limit. The zero value is
// that of one that doesn't.
type GrantRequest struct {
	// upstream is the one whose owner was asked last, askedAt the time of that.
	upstream *upstream
	askedAt  time.Time
	// isCounted is set once the request has been counted at the upstreams whose cold rates delay it,
	// isDelayed if there is one.
	isCounted, isDelayed bool
}

// isPending reports whether the owner hasn't responded yet.
func (g *GrantRequest) isPending() bool {
	return g.upstream != nil && !g.upstream.demands.limit.answeredAt.After(g.askedAt)
}

// AwaitLimited returns the time after which an upstream may take the request that gets none now
// because of its limit, and false if there is no such upstream. If another entry owns the limit it
// is asked.
func (f *Fleet) AwaitLimited(now time.Time, reqs Requirements, g *GrantRequest) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.limited) == 0 {
		return 0, false
	}
	soonest, found := time.Duration(0), false
	var unasked *upstream
	for _, u := range f.pools[reqs.Pool.Name] {
		s := u.demands.limit
		if !s.isSet(now) || !f.couldServe(now, u, reqs) {
			continue
		}
		f.countDelayed(now, u, g)
		delay, isAsked := f.limitDelay(now, u, g)
		if !found || delay < soonest {
			soonest, found = delay, true
		}
		if !isAsked && (unasked == nil || f.options.Random() < 0.5) {
			unasked = u
		}
	}
	g.isCounted = true
	if unasked != nil && (!g.isPending() || now.Sub(g.askedAt) >= askTimeout) {
		g.upstream, g.askedAt = unasked, now
		f.ask(unasked)
	}
	return soonest, found
}

// limitDelay returns the time after which the limit of an upstream may let the request pass, and
// whether that is known or the owner has been asked.
func (f *Fleet) limitDelay(now time.Time, u *upstream, g *GrantRequest) (delay time.Duration, isAsked bool) {
	s := u.demands.limit
	switch {
	case s.isOwner:
		return s.allotter.Wait(now, s.rate(f, now), f.options.Self), true
	case s.allows(f, now):
		return 0, true
	case now.Before(s.deniedUntil):
		return s.deniedUntil.Sub(now), true
	case g.upstream != u || !g.isPending():
		return 0, false
	case now.Sub(g.askedAt) < askTimeout:
		return 0, true
	}
	s.deniedUntil = now.Add(refusedAskDelay)
	return refusedAskDelay, true
}

// couldServe reports whether nothing but a limit keeps the request from the upstream.
func (f *Fleet) couldServe(now time.Time, u *upstream, reqs Requirements) bool {
	if reqs.Pool.Engine == nil {
		return f.commonExclusion(now, u, reqs) == ExclusionNone
	}
	_, _, reason := f.standingExclusion(now, u, reqs)
	return reason == ExclusionNone
}

// ask notes that a request waits for the owner's grant. The caller holds the mutex.
func (f *Fleet) ask(u *upstream) {
	u.demands.limit.wanted++
	select {
	case f.asks <- struct{}{}:
	default:
	}
}

// Asks returns a channel that receives a value when TakeAsks has something to return.
func (f *Fleet) Asks() <-chan struct{} { return f.asks }

// Ask asks the owner of a limit for requests.
type Ask struct {
	Limit UpstreamLimit
	Count int
	// Stamp is the time of the ask since a moment that only the asking entry knows.
	Stamp time.Duration
}

// TakeAsks returns the asks to send, by owner.
func (f *Fleet) TakeAsks(now time.Time) map[hosts.Name][]Ask {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.asksSince.IsZero() {
		f.asksSince = now
	}
	all := make(map[hosts.Name][]Ask)
	for _, u := range f.limited {
		s := u.demands.limit
		if s.wanted > 0 && s.isSet(now) && !s.isOwner {
			all[s.owner] = append(all[s.owner], Ask{Limit: u.currentLimit(now), Count: min(s.wanted, maxAskCount), Stamp: now.Sub(f.asksSince)})
		}
		s.wanted = 0
	}
	return all
}

// Grant is the response to an Ask.
type Grant struct {
	Limit UpstreamLimit
	// Count is the number of requests granted. If it is zero, Wait is the time after which to
	// ask again.
	Count int
	Wait  time.Duration
	// Stamp is that of the ask.
	Stamp time.Duration
}

// ReceiveAsks returns the grants for another entry. Upstreams that this entry doesn't list get none; for
// one that is cold the response says when to ask again.
func (f *Fleet) ReceiveAsks(now time.Time, from hosts.Name, asks []Ask) []Grant {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []Grant
	for _, a := range asks {
		u := f.mergeLimit(now, from, a.Limit)
		switch {
		case u != nil && u.demands.limit != nil:
			all = append(all, f.grant(now, u, from, a))
		case u != nil && !a.Limit.Limit.IsSet() && a.Limit.Cold == 0 && u.isOffered(now):
			// The asking entry is in the ramp after a cold time that was never known here. One request
			// is granted at a time, since others may ask too.
			all = append(all, Grant{Limit: a.Limit, Count: 1, Stamp: a.Stamp})
		case a.Limit.Cold > 0:
			all = append(all, Grant{Limit: UpstreamLimit{ID: a.Limit.ID, Started: a.Limit.Started}, Stamp: a.Stamp, Wait: unlistedAskDelay})
		}
	}
	return all
}

// grant returns the response to an ask for an upstream with a limit. The caller holds the mutex.
func (f *Fleet) grant(now time.Time, u *upstream, from hosts.Name, a Ask) Grant {
	s := u.demands.limit
	g := Grant{Limit: u.currentLimit(now), Stamp: a.Stamp, Wait: refusedAskDelay}
	count := max(min(a.Count, maxAskCount), 1)
	switch {
	case !s.isOwner || !u.isOffered(now):
	case s.isSet(now):
		g.Count, g.Wait = s.allotter.Take(now, s.rate(f, now), from, count)
	case !a.Limit.Limit.IsSet() && !s.cold.until().IsZero():
		// The cold time and its ramp end a little later at the asking entry than here.
		g.Count, g.Wait = count, 0
	}
	return g
}

// ReceiveGrants records the grants of an owner.
func (f *Fleet) ReceiveGrants(now time.Time, grants []Grant) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, g := range grants {
		u := f.mergeLimit(now, "owner", g.Limit)
		if u != nil {
			f.correctCold(now, u, g)
		}
		if u == nil || !u.demands.limit.isSet(now) {
			continue
		}
		s := u.demands.limit
		s.answeredAt = now
		if g.Count == 0 {
			s.deniedUntil = now.Add(max(g.Wait, time.Millisecond))
			continue
		}
		// The time counts from the ask, so that a grant that was held up is not used.
		for range min(g.Count, maxAskCount) {
			s.grants = append(s.grants, f.asksSince.Add(g.Stamp+grantTTL))
		}
	}
}

// LimitedRetryDelay returns when a client should return to a pool whose upstreams are all kept back
// by their limits, the soonest of them for the given time. Clients that are refused one after the
// other get different times, since the pool takes only so many.
func (f *Fleet) LimitedRetryDelay(now time.Time, pool string, soonest time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rate, warm := 0.0, maxLimitedRetryDelay
	for _, u := range f.pools[pool] {
		if s := u.demands.limit; s.isSet(now) && u.isOffered(now) {
			rate += s.effectiveRate(now)
			if !s.limit.IsSet() {
				warm = min(warm, s.cold.until().Add(coldTail+coldRampTime).Sub(now))
			}
		}
	}
	if warm < maxLimitedRetryDelay {
		// Clients that wait for a cold upstream to be warm return spread over a second.
		warm += time.Duration(f.options.Random() * float64(coldTail))
	}
	at := now.Add(soonest)
	if next := f.limitedReturns[pool]; next.After(at) {
		at = next
	}
	if rate > 0 && at.Sub(now) < maxLimitedRetryDelay {
		entries := max(len(f.options.Entries()), 1)
		f.limitedReturns[pool] = at.Add(time.Duration(float64(entries) / rate * float64(time.Second)))
	}
	return min(at.Sub(now), warm)
}

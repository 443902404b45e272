package target

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
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
	// endedLimitTTL is how long other entries are told that a limit has ended.
	endedLimitTTL = time.Minute
)

// limitState is what an entry knows of the limit of one process of an upstream.
type limitState struct {
	limit quota.Limit
	// changedAt is when the limit became known here. What the response to an earlier request
	// says may be older.
	changedAt time.Time
	// owner is the entry that spends the limit. It is the zero host if no entry is ready.
	owner hosts.Host
	// isOwner is set if this entry is the owner, which spends through the allotter.
	isOwner  bool
	allotter quota.Allotter
	// grants are the times until which requests granted by the owner may be sent.
	grants []time.Time
	// deniedUntil is the time before which the owner grants nothing, answeredAt the time of its
	// last response.
	deniedUntil time.Time
	answeredAt  time.Time
	// wanted is the number of requests for which the owner hasn't been asked yet.
	wanted int
}

// rate returns the rate that this entry may spend as the owner. An entry that sees no majority of
// the entries may be cut off from another owner, and uses its part.
func (s *limitState) rate(f *Fleet) float64 {
	live := max(len(f.options.Entries()), 1)
	if f.knownEntries > 1 && 2*live <= f.knownEntries {
		return s.limit.Rate * float64(live) / float64(f.knownEntries)
	}
	return s.limit.Rate
}

// hasRequest reports whether a request may be sent now.
func (s *limitState) hasRequest(f *Fleet, now time.Time) bool {
	if s == nil || !s.limit.IsSet() {
		return true
	}
	if s.isOwner {
		return s.allotter.Has(now, s.rate(f), f.options.Self)
	}
	s.grants = slices.DeleteFunc(s.grants, func(until time.Time) bool { return !now.Before(until) })
	return len(s.grants) > 0
}

// takeRequest uses a request that hasRequest has reported.
func (s *limitState) takeRequest(f *Fleet, now time.Time) {
	switch {
	case s == nil || !s.limit.IsSet():
	case s.isOwner:
		s.allotter.Take(now, s.rate(f), f.options.Self, 1)
	case len(s.grants) > 0:
		s.grants = s.grants[1:]
	}
}

// ownsLimit reports whether this entry spends a limit of the upstream.
func (u *upstream) ownsLimit() bool {
	s := u.demands.limit
	return s != nil && s.limit.IsSet() && s.isOwner
}

// RecordLimit records what a response says about the limit of its upstream: the requests a second
// that it takes from all entries together, or that it names none. It reports whether the limit has
// changed.
func (r *InFlight) RecordLimit(now time.Time, named float64, isLimited bool) bool {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	s := r.upstream.demands.limit
	if s == nil && !isLimited {
		return false
	}
	known := quota.Limit{}
	if s != nil {
		known = s.limit
		if !r.startedAt.After(s.changedAt) {
			return false
		}
	}
	next := quota.Limit{Serial: known.Serial + 1}
	if isLimited {
		next.Rate = quota.Clamp(named)
	}
	if next.Rate == known.Rate {
		return false
	}
	r.fleet.setLimit(now, r.upstream, next, "response")
	return true
}

// setLimit replaces the limit of an upstream. Source says who told, for the log. The caller holds
// the mutex.
func (f *Fleet) setLimit(now time.Time, u *upstream, l quota.Limit, source string) {
	s := u.demands.limit
	if s == nil {
		s = &limitState{}
		u.demands.limit = s
		if f.upstreams[u.row.ID] == u {
			f.limited[u.row.ID] = u
		}
	}
	f.options.Log.Info("upstream-limit", zap.String("upstream", u.row.ID), zap.Time("started", u.row.Started), zap.String("told", source),
		zap.Float64("limit", l.Rate), zap.Float64("before", s.limit.Rate), zap.Uint64("serial", l.Serial), zap.Int("running", u.running))
	s.limit, s.changedAt = l, now
	s.allotter.Reset(now)
	s.grants, s.deniedUntil, s.wanted = nil, time.Time{}, 0
	f.assignLimit(now, u)
}

// assignLimits recomputes the owners of all limits. The caller holds the mutex.
func (f *Fleet) assignLimits(now time.Time) {
	for _, u := range f.limited {
		f.assignLimit(now, u)
	}
}

// assignLimit determines the owner of an upstream's limit: the ready entry of the upstream's region
// with the highest rendezvous score, or one of another region if there is none. A new owner starts
// with nothing saved up, since the last one may have spent just before.
func (f *Fleet) assignLimit(now time.Time, u *upstream) {
	s := u.demands.limit
	if !s.limit.IsSet() {
		return
	}
	region := f.options.Regions[hosts.Domain(u.row.Domain)]
	// The hash key must be the same in all entries, including those of other releases.
	key := "limit " + u.row.ID
	owner, isLocal, highest := hosts.Host{}, false, uint64(0)
	for _, h := range f.options.Entries() {
		local, score := h.Place.Region == region, hosts.Score(key, h.Name)
		if owner.Name == "" || local && !isLocal || local == isLocal && score > highest {
			owner, isLocal, highest = h, local, score
		}
	}
	isOwner := owner.Name == f.options.Self || owner.Name == ""
	if isOwner && !s.isOwner {
		s.allotter.Reset(now)
	}
	if owner.Name != s.owner.Name {
		s.deniedUntil = time.Time{}
		f.options.Log.Info("limit-owner", zap.String("upstream", u.row.ID), zap.String("owner", string(owner.Name)), zap.String("before", string(s.owner.Name)))
	}
	s.owner, s.isOwner = owner, isOwner
}

// SetKnownEntries sets the number of entries that are known, silent ones included.
func (f *Fleet) SetKnownEntries(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.knownEntries = n
}

// UpstreamLimit is the limit of one process of an upstream.
type UpstreamLimit struct {
	ID      string
	Started time.Time
	Limit   quota.Limit
}

func (u *upstream) currentLimit() UpstreamLimit {
	return UpstreamLimit{ID: u.row.ID, Started: u.row.Started, Limit: u.demands.limit.limit}
}

// AnnouncedLimits returns at most the given number of limits that lately became known here.
func (f *Fleet) AnnouncedLimits(now time.Time, most int) []UpstreamLimit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.collectLimits(most, func(s *limitState) bool { return now.Sub(s.changedAt) < announceTime })
}

// Limits returns at most the given number of the limits that hold or have lately ended. If there
// are more, each call returns others.
func (f *Fleet) Limits(now time.Time, most int) []UpstreamLimit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.collectLimits(most, func(s *limitState) bool { return s.limit.IsSet() || now.Sub(s.changedAt) < endedLimitTTL })
}

// collectLimits returns limits in the random order of a map. The caller holds the mutex.
func (f *Fleet) collectLimits(most int, matches func(*limitState) bool) []UpstreamLimit {
	var all []UpstreamLimit
	for _, u := range f.limited {
		if len(all) == most {
			break
		}
		if matches(u.demands.limit) {
			all = append(all, u.currentLimit())
		}
	}
	return all
}

// ReceiveLimits records what another entry knows.
func (f *Fleet) ReceiveLimits(now time.Time, from hosts.Name, all []UpstreamLimit) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, l := range all {
		f.mergeLimit(now, from, l)
	}
}

// mergeLimit returns the upstream of the limit, or nil if that process isn't listed.
func (f *Fleet) mergeLimit(now time.Time, from hosts.Name, l UpstreamLimit) *upstream {
	if l.Limit.Rate != 0 {
		l.Limit.Rate = quota.Clamp(l.Limit.Rate)
	}
	u := f.upstreams[l.ID]
	if u == nil {
		f.keepUnlisted(l)
		return nil
	}
	if !u.row.Started.Equal(l.Started) {
		return nil
	}
	known := quota.Limit{}
	if s := u.demands.limit; s != nil {
		known = s.limit
	}
	if l.Limit.Supersedes(known) {
		f.setLimit(now, u, l.Limit, string(from))
	}
	return u
}

// maxUnlistedLimits bounds the limits that are kept of upstreams that aren't listed.
const maxUnlistedLimits = 1024

// keepUnlisted keeps the limit of an upstream that isn't listed here. An entry that has just started
// hears of limits before it has read the list.
func (f *Fleet) keepUnlisted(l UpstreamLimit) {
	if len(f.unlistedLimits) >= maxUnlistedLimits {
		clear(f.unlistedLimits)
	}
	known, ok := f.unlistedLimits[l.ID]
	if !ok || !known.Started.Equal(l.Started) || l.Limit.Supersedes(known.Limit) {
		f.unlistedLimits[l.ID] = l
	}
}

// applyUnlisted sets the limit that other entries told of an upstream before it was listed here.
func (f *Fleet) applyUnlisted(now time.Time, u *upstream) {
	l, ok := f.unlistedLimits[u.row.ID]
	if !ok {
		return
	}
	delete(f.unlistedLimits, u.row.ID)
	f.mergeLimit(now, "before", l)
}

// GrantRequest is the state of a request that waits for an upstream with a limit. The zero value is
// that of one that doesn't.
type GrantRequest struct {
	// upstream is the one whose owner was asked last, askedAt the time of that.
	upstream *upstream
	askedAt  time.Time
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
		if s == nil || !s.limit.IsSet() || !f.couldServe(now, u, reqs) {
			continue
		}
		delay, isAsked := f.limitDelay(now, u, g)
		if !found || delay < soonest {
			soonest, found = delay, true
		}
		if !isAsked && (unasked == nil || f.options.Random() < 0.5) {
			unasked = u
		}
	}
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
		return s.allotter.Wait(now, s.rate(f), f.options.Self), true
	case s.hasRequest(f, now):
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
	if !u.isOffered(now) || isExcluded(reqs, u) {
		return false
	}
	if reqs.Pool.Engine == nil {
		return true
	}
	if !u.acceptsRequests(now) {
		return false
	}
	_, _, ok := f.versionFor(now, u, reqs)
	return ok
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
		if s.wanted > 0 && s.limit.IsSet() && !s.isOwner {
			all[s.owner.Name] = append(all[s.owner.Name], Ask{Limit: u.currentLimit(), Count: min(s.wanted, maxAskCount), Stamp: now.Sub(f.asksSince)})
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

// ReceiveAsks returns the grants for another entry. Upstreams that this entry doesn't list get none.
func (f *Fleet) ReceiveAsks(now time.Time, from hosts.Name, asks []Ask) []Grant {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []Grant
	for _, a := range asks {
		u := f.mergeLimit(now, from, a.Limit)
		if u == nil || u.demands.limit == nil {
			continue
		}
		s := u.demands.limit
		g := Grant{Limit: u.currentLimit(), Stamp: a.Stamp, Wait: refusedAskDelay}
		if s.limit.IsSet() && s.isOwner && u.isOffered(now) {
			g.Count, g.Wait = s.allotter.Take(now, s.rate(f), from, max(min(a.Count, maxAskCount), 1))
		}
		all = append(all, g)
	}
	return all
}

// ReceiveGrants records the grants of an owner.
func (f *Fleet) ReceiveGrants(now time.Time, grants []Grant) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, g := range grants {
		u := f.mergeLimit(now, "owner", g.Limit)
		if u == nil || u.demands.limit == nil || !u.demands.limit.limit.IsSet() {
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
	rate := 0.0
	for _, u := range f.pools[pool] {
		if s := u.demands.limit; s != nil && s.limit.IsSet() && u.isOffered(now) {
			rate += s.limit.Rate
		}
	}
	at := now.Add(soonest)
	if next := f.limitedReturns[pool]; next.After(at) {
		at = next
	}
	if rate > 0 && at.Sub(now) < maxLimitedRetryDelay {
		entries := max(len(f.options.Entries()), 1)
		f.limitedReturns[pool] = at.Add(time.Duration(float64(entries) / rate * float64(time.Second)))
	}
	return min(at.Sub(now), maxLimitedRetryDelay)
}

// maxLimitedRetryDelay bounds the time after which a client returns.
const maxLimitedRetryDelay = 10 * time.Second

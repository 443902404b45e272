package target

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
)

const (
	// endedLimitTTL is how long other entries are told that a limit has ended.
	endedLimitTTL = time.Minute
	// maxUnlistedLimits is the number of limits that are kept of upstreams that aren't listed, above
	// the size of a fleet.
	maxUnlistedLimits = 16384
)

// limitState is what an entry knows of the limit of one process of an upstream.
type limitState struct {
	limit quota.Limit
	// changedAt is when the limit became known here. What the response to an earlier request
	// says may be older.
	changedAt time.Time
	// isFirstHand is set if a response to this entry said so, not another entry.
	isFirstHand bool
	// owner is the entry that spends the limit. It is empty if no entry is ready.
	owner hosts.Name
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
	// cold is the cold time of the process. While it lasts, the cold rate is a limit too.
	cold coldState
}

// rate returns the rate that this entry may spend as the owner. An entry that sees no majority of
// the entries may be cut off from another owner, and uses the part of the live entries. For a cold
// upstream each owner uses currentFraction.
func (s *limitState) rate(f *Fleet, now time.Time) float64 {
	if s.cold.currentRate(now) > 0 {
		return s.effectiveRate(now) * s.cold.currentFraction(now)
	}
	live := max(len(f.options.Entries()), 1)
	if f.knownEntries > 1 && 2*live <= f.knownEntries {
		return s.limit.Rate * float64(live) / float64(f.knownEntries)
	}
	return s.limit.Rate
}

// allows reports whether a request may be sent now.
func (s *limitState) allows(f *Fleet, now time.Time) bool {
	if !s.isSet(now) {
		return true
	}
	if s.isOwner {
		return s.allotter.Has(now, s.rate(f, now), f.options.Self)
	}
	s.grants = slices.DeleteFunc(s.grants, func(until time.Time) bool { return !now.Before(until) })
	return len(s.grants) > 0
}

// spend uses a request that allows has found.
func (s *limitState) spend(f *Fleet, now time.Time) {
	switch {
	case !s.isSet(now):
	case s.isOwner:
		s.allotter.Take(now, s.rate(f, now), f.options.Self, 1)
	case len(s.grants) > 0:
		s.grants = s.grants[1:]
	}
}

// clone returns an independent copy.
func (s *limitState) clone() *limitState {
	if s == nil {
		return nil
	}
	c := *s
	c.allotter, c.grants = s.allotter.Clone(), slices.Clone(s.grants)
	return &c
}

// ownsLimit reports whether this entry spends a limit of the upstream.
func (u *upstream) ownsLimit(now time.Time) bool {
	s := u.demands.limit
	return s.isSet(now) && s.isOwner
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
	r.upstream.demands.limit.isFirstHand = true
	return true
}

// RecordInvalid records a value of a response that can't be read. Kind tells the values of one upstream
// apart, of which few exist. It reports whether the upstream hasn't given the same one just before.
func (r *InFlight) RecordInvalid(kind, value string) bool {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	d := &r.upstream.demands
	isNew := d.invalid[kind] != value
	if d.invalid == nil {
		d.invalid = make(map[string]string)
	}
	d.invalid[kind] = value
	return isNew
}

// setLimit replaces the limit of an upstream. Source says who told, for the log. The caller holds
// the mutex.
func (f *Fleet) setLimit(now time.Time, u *upstream, l quota.Limit, source string) {
	s := f.limitOf(u)
	f.options.Log.Info("upstream-limit", zap.String("upstream", u.row.ID), zap.Time("started", u.row.Started), zap.String("told", source),
		zap.Float64("limit", l.Rate), zap.Float64("before", s.limit.Rate), zap.Uint64("serial", l.Serial), zap.Int("running", u.running))
	s.limit, s.changedAt, s.isFirstHand = l, now, false
	s.allotter.Reset(now)
	s.grants, s.deniedUntil, s.wanted = nil, time.Time{}, 0
	f.assignLimit(now, u)
}

// assignLimits recomputes the owners of all limits. The caller holds the mutex.
func (f *Fleet) assignLimits(now time.Time) {
	f.updateFractions(now)
	for _, u := range f.limited {
		f.assignLimit(now, u)
	}
}

// assignLimit determines the owner of an upstream's limit: the ready entry of the upstream's region
// with the highest rendezvous score, or one of another region if there is none. A new owner starts
// with nothing saved up, since the last one may have spent just before.
func (f *Fleet) assignLimit(now time.Time, u *upstream) {
	s := u.demands.limit
	if !s.isSet(now) {
		return
	}
	region := f.options.Regions[hosts.Domain(u.row.Domain)]
	// The hash key must be the same in all entries, including those of other releases.
	key := "limit " + u.row.ID
	owner, isLocal, highest := hosts.Name(""), false, uint64(0)
	for _, h := range f.options.Entries() {
		local, score := h.Place.Region == region, hosts.Score(key, h.Name)
		if owner == "" || local && !isLocal || local == isLocal && score > highest {
			owner, isLocal, highest = h.Name, local, score
		}
	}
	isOwner := owner == f.options.Self || owner == ""
	s.cold.fraction = f.coldFraction(region)
	if isOwner && !s.isOwner {
		s.allotter.Reset(now)
		s.cold.wholeFrom = f.viewChangedAt(now, region).Add(takeoverTime)
	}
	if owner != s.owner {
		s.deniedUntil = time.Time{}
		f.options.Log.Info("limit-owner", zap.String("upstream", u.row.ID), zap.String("owner", string(owner)), zap.String("before", string(s.owner)))
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
	// Cold is how much longer the process is cold, or zero.
	Cold time.Duration
	// Unsure is set if Cold is from a row that may have been written long before.
	Unsure bool
}

func (u *upstream) currentLimit(now time.Time) UpstreamLimit {
	s := u.demands.limit
	return UpstreamLimit{ID: u.row.ID, Started: u.row.Started, Limit: s.limit, Cold: s.cold.remaining(now), Unsure: s.cold.isUnsure && s.cold.reported.Before(s.cold.firstHand)}
}

// AnnouncedLimits returns at most the given number of limits that upstreams have lately named in
// responses to this entry.
func (f *Fleet) AnnouncedLimits(now time.Time, most int) []UpstreamLimit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reportWarm(now)
	return f.collectLimits(now, most, func(s *limitState) bool {
		return s.isFirstHand && now.Sub(s.changedAt) < announceTime || s.cold.isKnownFrom(now, coldByResponse) && now.Sub(s.cold.changedAt) < announceTime
	})
}

// Limits returns at most the given number of the limits that hold or have lately ended. If there
// are more, each call returns others.
func (f *Fleet) Limits(now time.Time, most int) []UpstreamLimit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.collectLimits(now, most, func(s *limitState) bool {
		return s.limit.IsSet() || now.Sub(s.changedAt) < endedLimitTTL || s.cold.isKnownFrom(now, coldByResponse, coldByStart)
	})
}

// collectLimits returns limits in the random order of a map. The caller holds the mutex.
func (f *Fleet) collectLimits(now time.Time, most int, matches func(*limitState) bool) []UpstreamLimit {
	var all []UpstreamLimit
	for _, u := range f.limited {
		if len(all) == most {
			break
		}
		if matches(u.demands.limit) {
			all = append(all, u.currentLimit(now))
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
		f.keepUnlisted(now, l)
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
	f.mergeCold(now, u, l, string(from))
	return u
}

// keepUnlisted keeps the limit of an upstream that isn't listed here. An entry that has just started
// hears of limits before it has read the list.
func (f *Fleet) keepUnlisted(now time.Time, l UpstreamLimit) {
	next := unlistedLimit{UpstreamLimit: l, coldUntil: now.Add(l.Cold)}
	known, ok := f.unlistedLimits.Get(l.ID)
	if ok && known.Started.Equal(l.Started) {
		if !l.Limit.Supersedes(known.Limit) {
			next.Limit = known.Limit
		}
		if known.coldUntil.After(next.coldUntil) {
			next.coldUntil = known.coldUntil
		}
	}
	f.unlistedLimits.Put(l.ID, next)
}

// unlistedLimit is the limit of an upstream that isn't listed.
type unlistedLimit struct {
	UpstreamLimit
	coldUntil time.Time
}

// applyUnlisted sets the limit that other entries told of an upstream before it was listed here.
func (f *Fleet) applyUnlisted(now time.Time, u *upstream) {
	if l, ok := f.unlistedLimits.Get(u.row.ID); ok {
		f.unlistedLimits.Delete(u.row.ID)
		l.Cold = max(l.coldUntil.Sub(now), 0)
		f.mergeLimit(now, "unlisted", l.UpstreamLimit)
	}
}

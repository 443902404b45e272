package target

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/quota"
	"currantport.example/core/state"
)

const (
	// maxCold bounds a cold time, so that a wrong value doesn't limit an upstream for good.
	maxCold = time.Hour
	// maxClockSkew is the difference between the clocks of hosts that the platform allows.
	maxClockSkew = 5 * time.Second
	// coldTail is how long the rate holds after the cold time. It is the length of the window that the
	// rate is bounded in, so that the bound holds in each window that has a cold moment.
	coldTail = time.Second
	// coldDoublingTime is the time in which the rate doubles after coldTail, and coldRampTime how long
	// it does, which raises it 256 times. Without a ramp all entries would send to the idle upstream at
	// once.
	coldDoublingTime = 250 * time.Millisecond
	coldRampTime     = 2 * time.Second
	// coldHop is subtracted from a cold time that another entry reported before it is passed on. It is
	// above the age of a message, so that entries don't lengthen the time by repeating it, and below
	// coldTail, so that the bound holds nevertheless.
	coldHop = 300 * time.Millisecond
	// coldJitter is the difference between two ends of a cold time up to which they count as the same.
	coldJitter = 200 * time.Millisecond
	// takeoverTime is how long after a change of the entries a new owner sends only takeoverFraction of
	// the rate to a cold upstream. It covers the span of the bound, grantTTL, and the time between the
	// changes of the view at the former owner and at this entry. The rate of the former owner, that
	// part and what both have saved up stay within the bound. It isn't zero, because after a loss of
	// power all upstreams are cold and all owners are new.
	takeoverTime     = 1500 * time.Millisecond
	takeoverFraction = 0.35
	// idleFraction is the same where the former owner is known to have sent next to nothing in the window:
	// the process was listed within takeoverTime, or the last load report, at most idleReportAge old, shows
	// at most idleRatio of the rate as running. An engine runs a request for about a second. It is below 1
	// because two entries with different views may both consider themselves the owner.
	idleFraction  = 0.65
	idleRatio     = 0.2
	idleReportAge = 400 * time.Millisecond
	// goneTTL is how long an entry that is no longer live counts as known.
	goneTTL = time.Minute
	// unlistedAskDelay is when to ask an owner again that doesn't list the upstream yet.
	unlistedAskDelay = 100 * time.Millisecond
)

// The sources of cold times.
const (
	coldByRow      = "row"
	coldByStart    = "start"
	coldByResponse = "response"
)

// coldState is what an entry knows of the cold time of one process of an upstream. The zero value is
// that of one that isn't known to be cold.
type coldState struct {
	// rate is the number of requests a second that a cold upstream of the pool takes, or zero if
	// its upstreams are never cold.
	rate float64
	// firstHand is the end of the cold time by the row, a response or the start of the process, and
	// reported the latest end that other entries state.
	firstHand time.Time
	reported  time.Time
	// source is that of firstHand.
	source string
	// isUnsure is set if firstHand is from a row of the first snapshot, which may have been written long
	// before.
	isUnsure bool
	// changedAt is when either end was last changed by more than coldJitter.
	changedAt time.Time
	// wholeFrom is the time from which this entry as the owner spends the whole of its part of the rate,
	// which is fraction. Before that it spends takeoverFraction or idleFraction of that part.
	wholeFrom time.Time
	fraction  float64
	// listedAt is when a process that is new during traffic was first listed, idleAt when the last load
	// report came that shows next to no requests of others, or zero.
	listedAt time.Time
	idleAt   time.Time
	// delayed is the number of requests that had to wait for this upstream.
	delayed int
	// isReported is set from the log line for the start of the cold time to the one for its end.
	isReported bool
}

// until returns the end of the cold time.
func (c *coldState) until() time.Time {
	if c.reported.After(c.firstHand) {
		return c.reported
	}
	return c.firstHand
}

// remaining returns the cold time to tell other entries.
func (c *coldState) remaining(now time.Time) time.Duration {
	return max(c.firstHand.Sub(now), c.reported.Add(-coldHop).Sub(now), 0)
}

// isKnownFrom reports whether this entry knows from one of the sources that the upstream is cold.
func (c *coldState) isKnownFrom(now time.Time, sources ...string) bool {
	return now.Before(c.firstHand) && slices.Contains(sources, c.source)
}

// currentRate returns the rate because of the cold time, or zero if there is none.
func (c *coldState) currentRate(now time.Time) float64 {
	if c.rate == 0 || c.firstHand.IsZero() && c.reported.IsZero() {
		return 0
	}
	switch warm := now.Sub(c.until()) - coldTail; {
	case warm <= 0:
		return c.rate
	case warm < coldRampTime:
		return c.rate * math.Exp2(float64(warm)/float64(coldDoublingTime))
	}
	return 0
}

// isSet reports whether requests to the upstream are limited now.
func (s *limitState) isSet(now time.Time) bool {
	return s != nil && (s.limit.IsSet() || s.cold.currentRate(now) > 0)
}

// effectiveRate returns the stricter of the rate that the upstream has named and of its cold rate.
func (s *limitState) effectiveRate(now time.Time) float64 {
	cold := s.cold.currentRate(now)
	if cold == 0 || s.limit.IsSet() && s.limit.Rate < cold {
		return s.limit.Rate
	}
	return cold
}

// currentFraction returns the part of the cold rate that this entry spends as the owner.
func (c *coldState) currentFraction(now time.Time) float64 {
	switch {
	case !now.Before(c.wholeFrom):
		return c.fraction
	case now.Sub(c.listedAt) < takeoverTime, now.Sub(c.idleAt) < idleReportAge:
		return c.fraction * idleFraction
	}
	return c.fraction * takeoverFraction
}

// limitOf returns the state of the upstream's limit and creates it if necessary. The caller holds
// the mutex.
func (f *Fleet) limitOf(u *upstream) *limitState {
	if u.demands.limit == nil {
		u.demands.limit = &limitState{cold: coldState{rate: u.coldRate}}
		if f.upstreams[u.row.ID] == u {
			f.limited[u.row.ID] = u
		}
	}
	return u.demands.limit
}

// setCold sets one of the ends of a cold time. The caller holds the mutex.
func (f *Fleet) setCold(now time.Time, u *upstream, end *time.Time, until time.Time, source string) {
	s := u.demands.limit
	wasSet, before := s.cold.currentRate(now) > 0, s.cold.until()
	*end = until
	if change := s.cold.until().Sub(before).Abs(); change < coldJitter {
		return
	}
	s.cold.changedAt = now
	f.options.Metrics.Tagged(map[string]string{"source": coldSourceTag(source)}).Counter("upstream_cold").Inc(1)
	f.options.Log.Info("upstream-cold", zap.String("upstream", u.row.ID), zap.Time("started", u.row.Started), zap.String("told", source),
		zap.Duration("left", max(s.cold.until().Sub(now), 0)), zap.Time("until", s.cold.until()), zap.Float64("rate", s.cold.rate), zap.Int("running", u.running))
	if wasSet || s.cold.currentRate(now) == 0 {
		return
	}
	s.cold.isReported = true
	if !s.limit.IsSet() {
		s.isOwner = false
	}
	s.allotter.Reset(now)
	s.grants, s.deniedUntil, s.wanted = nil, time.Time{}, 0
	f.assignLimit(now, u)
}

// coldSourceTag returns the source for a metric. Names of entries would make too many series.
func coldSourceTag(source string) string {
	switch source {
	case coldByRow, coldByStart, coldByResponse:
		return source
	}
	return "entry"
}

// setFirstHandCold records a cold time from the row, a response or the start of the process, and whether
// it is unsure.
func (f *Fleet) setFirstHandCold(now time.Time, u *upstream, left time.Duration, source string) {
	if u.coldRate == 0 {
		return
	}
	s := f.limitOf(u)
	s.cold.source, s.cold.isUnsure = source, source == coldByRow && !f.hasSnapshot
	f.setCold(now, u, &s.cold.firstHand, now.Add(min(left, maxCold)), source)
}

// mergeCold records a cold time that another entry reports, if it is longer than the known one. One that
// the other entry is unsure of is ignored if this entry has known of a cold time before and is sure of it.
func (f *Fleet) mergeCold(now time.Time, u *upstream, l UpstreamLimit, from string) {
	if u.coldRate == 0 || l.Cold <= 0 {
		return
	}
	s, until := f.limitOf(u), now.Add(min(l.Cold, maxCold))
	if l.Unsure && !s.cold.changedAt.IsZero() && !s.cold.isUnsure {
		return
	}
	if until.Sub(s.cold.until()) >= coldJitter {
		f.setCold(now, u, &s.cold.reported, until, from)
	}
}

// correctCold ends a cold time of which this entry is unsure if the owner's grant states that it is over.
func (f *Fleet) correctCold(now time.Time, u *upstream, g Grant) {
	if s := u.demands.limit; s != nil && s.cold.isUnsure && g.Count > 0 && g.Limit.Cold == 0 && s.cold.firstHand.After(now) {
		s.cold.isUnsure = false
		f.setCold(now, u, &s.cold.firstHand, now, "owner")
	}
}

// RecordCold records the cold time that a response states, which may be zero. It reports whether
// that changes the known time.
func (r *InFlight) RecordCold(now time.Time, left time.Duration) bool {
	f, u := r.fleet, r.upstream
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if u.coldRate == 0 || left <= 0 && u.demands.limit == nil {
		return false
	}
	s := f.limitOf(u)
	before := s.cold.changedAt
	switch until := now.Add(min(left, maxCold)); {
	case r.startedAt.After(before):
		// The request was sent after the last change, so its response is newer.
		if !s.cold.until().After(now) && left <= 0 {
			return false
		}
		if s.cold.reported.After(until) {
			s.cold.reported = until
		}
		f.setFirstHandCold(now, u, left, coldByResponse)
	case until.After(s.cold.until()):
		f.setFirstHandCold(now, u, left, coldByResponse)
	}
	return s.cold.changedAt != before
}

// setColdRate sets the rate of cold upstreams of the pool.
func (u *upstream) setColdRate(p *state.Pool) {
	u.coldRate = 0
	if p.ColdRate > 0 {
		u.coldRate = quota.Clamp(p.ColdRate)
	}
	if s := u.demands.limit; s != nil {
		s.cold.rate = u.coldRate
	}
}

// applyColdRow records the cold time that a row states. Known is the former state of the id and last its
// former row, or nil. A row states the time that was left when it was written, so it is applied only once.
func (f *Fleet) applyColdRow(now time.Time, u *upstream, p *state.Pool, known *upstream, last *state.Upstream) {
	u.setColdRate(p)
	row, isNew := u.row, isNewProcess(last, u.row)
	if !isNew && known != u && known.demands.limit != nil {
		// The process is listed under another address.
		f.applyColdTime(now, u, known.demands.limit.cold.until().Sub(now), coldByRow)
	}
	switch {
	case u.coldRate == 0 || !isNew && hasSameValue(last, row):
	case row.ColdFor > 0:
		f.applyColdTime(now, u, row.ColdFor, coldByRow)
	case statesWarm(now, row, p) || !isNew && row.HasCold && last.ColdFor > 0:
		f.applyColdTime(now, u, 0, coldByRow)
	case isNew && f.hasSnapshot:
		f.applyColdTime(now, u, p.Cold, coldByStart)
	}
	f.recordListed(now, u, isNew)
}

// recordListed records when a process was first listed that is new during traffic.
func (f *Fleet) recordListed(now time.Time, u *upstream, isNew bool) {
	if s := u.demands.limit; s != nil && isNew && f.hasSnapshot {
		s.cold.listedAt = now
	}
}

// recordIdle records whether a load report shows next to no requests of other entries at a cold upstream.
func (u *upstream) recordIdle(now time.Time, running int) {
	s := u.demands.limit
	switch {
	case s == nil:
	case float64(running-u.running) <= idleRatio*s.cold.rate:
		s.cold.idleAt = now
	default:
		s.cold.idleAt = time.Time{}
	}
}

// applyColdTime sets the cold time of a row. What a response has stated may be newer than the row, which
// then only lengthens the cold time.
func (f *Fleet) applyColdTime(now time.Time, u *upstream, left time.Duration, source string) {
	known := time.Time{}
	if s := u.demands.limit; s != nil {
		known = s.cold.firstHand
		if s.cold.source == coldByResponse && !now.Add(left).After(known) {
			return
		}
	}
	if left > 0 || known.After(now) {
		f.setFirstHandCold(now, u, left, source)
	}
}

// isNewProcess reports whether the row is that of a process that the last row of the id, or nil, wasn't.
func isNewProcess(last, row *state.Upstream) bool {
	return last == nil || !last.Started.Equal(row.Started) || row.Started.IsZero() && last.Address != row.Address
}

// statesWarm reports whether the row states that a process isn't cold which started so long ago that it
// isn't because of its start. The times are those of two hosts.
func statesWarm(now time.Time, row *state.Upstream, p *state.Pool) bool {
	return row.HasCold && !row.Started.IsZero() && now.Sub(row.Started) > p.Cold+maxClockSkew
}

// hasSameValue reports whether two rows of an upstream state the same.
func hasSameValue(a, b *state.Upstream) bool {
	if a == b {
		return true
	}
	return a.SameProcess(b) && a.Pool == b.Pool && a.Domain == b.Domain && a.Draining == b.Draining && a.Slots == b.Slots &&
		a.ColdFor == b.ColdFor && a.HasCold == b.HasCold && slices.Equal(a.Held, b.Held)
}

// countDelayed counts a request that has to wait for upstreams because of their cold rates.
func (f *Fleet) countDelayed(now time.Time, u *upstream, g *GrantRequest) {
	s := u.demands.limit
	if g.isCounted || s.cold.currentRate(now) == 0 {
		return
	}
	s.cold.delayed++
	if !g.isDelayed {
		g.isDelayed = true
		f.options.Metrics.Counter("cold_kept").Inc(1)
	}
}

// reportWarm logs the upstreams whose cold time has ended since the last call. The caller holds the
// mutex.
func (f *Fleet) reportWarm(now time.Time) {
	for _, u := range f.limited {
		if c := &u.demands.limit.cold; c.isReported && c.currentRate(now) == 0 {
			f.options.Log.Info("upstream-warm", zap.String("upstream", u.row.ID), zap.Time("started", u.row.Started), zap.Time("until", c.until()), zap.Int("kept", c.delayed))
			c.isReported, c.delayed = false, 0
		}
	}
}

// knownEntry is an entry that is or was live. GoneAt is zero while it is.
type knownEntry struct {
	region hosts.Region
	goneAt time.Time
}

// updateFractions recomputes the parts of cold rates that this entry would spend as an owner. The caller
// holds the mutex.
func (f *Fleet) updateFractions(now time.Time) {
	live := f.options.Entries()
	isLive := make(map[hosts.Name]bool, len(live))
	for _, h := range live {
		isLive[h.Name] = true
		f.seen[h.Name] = knownEntry{region: h.Place.Region}
	}
	liveIn, knownIn := make(map[hosts.Region]int), make(map[hosts.Region]int)
	for name, e := range f.seen {
		switch {
		case isLive[name]:
			liveIn[e.region]++
		case e.goneAt.IsZero():
			e.goneAt = now
			f.seen[name] = e
		case now.Sub(e.goneAt) > goneTTL:
			delete(f.seen, name)
			continue
		}
		knownIn[e.region]++
	}
	// An entry that sees no other one may have just started or be cut off.
	known := len(f.seen)
	if len(live) <= 1 {
		known = max(known, f.knownEntries)
	}
	f.liveFraction, f.regionFractions = 1, make(map[hosts.Region]float64)
	if known > 0 {
		f.liveFraction = float64(max(len(live), 1)) / float64(known)
	}
	for r, n := range liveIn {
		f.regionFractions[r] = float64(n) / float64(knownIn[r])
	}
	f.updateViews(now, live)
}

// regionView is the set of live entries of a region, as a hash of their names, and when it last changed.
type regionView struct {
	hash      uint64
	changedAt time.Time
}

// updateViews records in which regions the set of live entries has changed.
func (f *Fleet) updateViews(now time.Time, live []hosts.Host) {
	hashes := make(map[hosts.Region]uint64)
	for _, h := range live {
		hashes[h.Place.Region] ^= HashOf(string(h.Name))
	}
	for r := range f.regionViews {
		if _, ok := hashes[r]; !ok {
			delete(f.regionViews, r)
		}
	}
	for r, hash := range hashes {
		if v, ok := f.regionViews[r]; !ok || v.hash != hash {
			f.regionViews[r] = regionView{hash: hash, changedAt: now}
		}
	}
}

// viewChangedAt returns when the set of live entries of a region last changed, or the current time if there
// are none.
func (f *Fleet) viewChangedAt(now time.Time, r hosts.Region) time.Time {
	if v, ok := f.regionViews[r]; ok {
		return v.changedAt
	}
	return now
}

// coldFraction returns the part of the rate of cold upstreams of a region that this entry spends as the
// owner. An entry that is cut off may consider itself the owner beside another one.
func (f *Fleet) coldFraction(region hosts.Region) float64 {
	if r, ok := f.regionFractions[region]; ok {
		return min(r, f.liveFraction)
	}
	return f.liveFraction
}

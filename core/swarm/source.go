package swarm

import (
	"math/rand/v2"
	"time"

	"currantport.example/core/tables"
)

const (
	// maxSourceRequests is the maximum number of outstanding requests of a host to the
	// source.
	maxSourceRequests = 2
	// The lookahead is the number of pieces beyond the frontier that are due.
	lookaheadFavorOrigin = 6
	lookaheadFavorTime   = 12
	// The takeover delay is the time for which each rank waits for the one before it.
	takeoverDelayFavorTime   = 4 * time.Second
	takeoverDelayFavorOrigin = 12 * time.Second
	// maxTakeoverWaits is the number of takeover delays per rank after which a rank fetches
	// a piece although earlier ranks still respond that it is on its way.
	maxTakeoverWaits = 8
	// remoteTimeout is how long a region waits for a piece from each region before it,
	// until it fetches the piece from the source.
	remoteTimeout = 15 * time.Second
	// extraRatio limits the pieces that tables.FavorTime fetches twice, as a fraction of a
	// copy.
	extraRatio = 0.12

	// The start delay is how long a starting host waits for reports of its neighbors
	// before it fetches pieces, since the fleet may hold them already.
	startDelayFavorTime   = 300 * time.Millisecond
	startDelayFavorOrigin = 2 * time.Second
	// reportDelayFavorOrigin is how long a host waits for further reports after the first
	// one, which may come from a host that has just started too.
	reportDelayFavorOrigin = 500 * time.Millisecond

	minSourceBackoff = 500 * time.Millisecond
	maxSourceBackoff = 15 * time.Second
	sourceTimeout    = 40 * time.Second
)

// source is the state of the store or the origin, as this host sees it.
type source struct {
	inFlight int
	// availableAt is the time from which the source may get requests again.
	availableAt time.Time
	// failures counts the failures since the last success, without refusals.
	failures int
	refusals int
	// extra is the number of pieces fetched although peers might send them.
	extra int
}

func (s *source) recordSuccess() {
	s.failures, s.refusals = 0, 0
	s.availableAt = time.Time{}
}

func (s *source) recordFailure(now time.Time, c Cause, retryAfter time.Duration, r *rand.Rand) {
	count := &s.failures
	if c == CauseRefused {
		count = &s.refusals
	}
	*count++
	backoff := min(minSourceBackoff<<min(*count, 6), maxSourceBackoff)
	availableAt := now.Add(max(retryAfter, backoff/2) + time.Duration(r.Int64N(int64(backoff))))
	if availableAt.After(s.availableAt) {
		s.availableAt = availableAt
	}
}

func (s *Scheduler) takeoverDelay() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return takeoverDelayFavorOrigin
	}
	return takeoverDelayFavorTime
}

// markDue marks pieces as due. If the fleet had passed a piece before this host received
// the first report, some member probably holds it, and it is due one takeover delay later.
// A host that has been fetching for longer only received the report late, and doesn't wait.
func (s *Scheduler) markDue(now time.Time) {
	lookahead := lookaheadFavorTime
	if s.options.Favor == tables.FavorOrigin {
		lookahead = lookaheadFavorOrigin
	}
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if now.Sub(s.startedAt) < s.startDelay() && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) < s.reportDelay()) {
		return
	}
	end := min(s.frontier+lookahead, len(s.pieces))
	s.ranksStale = s.ranksStale || s.dueCount < end && !s.skipsEnd.IsZero()
	isBehind := s.dueCount == 0 || s.frontier-s.dueCount > lookahead && now.Sub(s.startedAt) < s.takeoverDelay()
	for ; s.dueCount < end; s.dueCount++ {
		due := now
		if isBehind && s.dueCount < s.frontier {
			due = now.Add(s.takeoverDelay())
		}
		s.pieces[s.dueCount].due = due
	}
}

func (s *Scheduler) startDelay() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return startDelayFavorOrigin
	}
	return startDelayFavorTime
}

func (s *Scheduler) reportDelay() time.Duration {
	if s.options.Favor == tables.FavorOrigin {
		return reportDelayFavorOrigin
	}
	return 0
}

// fetchFromSource requests due pieces from the source.
func (s *Scheduler) fetchFromSource(now time.Time) {
	if now.Before(s.source.availableAt) {
		return
	}
	for i := 0; i < min(len(s.pieces), s.frontier+lookaheadFavorTime) && s.source.inFlight < maxSourceRequests; i++ {
		pc := &s.pieces[i]
		if s.held.Has(i) || s.requested.Has(i) || pc.due.IsZero() || pc.localHolders > 0 {
			continue
		}
		if s.mayFetchSource(now, i) {
			s.startRequest(now, "", i, false)
			if s.source.failures > 0 {
				return
			}
		}
	}
}

// mayFetchSource reports whether this host should fetch the piece from the source now.
func (s *Scheduler) mayFetchSource(now time.Time, i int) bool {
	pc := &s.pieces[i]
	if s.hasRemoteHolder(i) {
		return false
	}
	if !pc.fromSource && s.isRemoteFlowing(now) {
		return false
	}
	return pc.ranking.self >= 0 && s.mayTakeOver(now, pc, pc.sourceDue())
}

// isRemoteFlowing reports whether pieces arrive from other regions. If so, a late piece may
// just be waiting for a saturated link.
func (s *Scheduler) isRemoteFlowing(now time.Time) bool {
	for _, c := range s.pacers {
		if c.isFlowing(now, remoteTimeout) {
			return true
		}
	}
	return false
}

// sourceDue returns the time from which the first rank of the local region should fetch the
// piece from the source. It is later if another region should do so, and still later while
// that one responds that the piece is on its way.
func (pc *piece) sourceDue() time.Time {
	if pc.fromSource {
		return pc.due
	}
	dueAt := pc.due.Add(remoteTimeout * time.Duration(pc.regionRank))
	if pc.confirmedAt.IsZero() || pc.queries > maxFetcherQueries {
		return dueAt
	}
	return later(dueAt, pc.confirmedAt.Add(remoteTimeout))
}

// mayTakeOver reports whether this host should fetch a piece that its region may fetch
// since the given time: it is the first rank, or the earlier ranks have had the piece on
// its way for too long.
func (s *Scheduler) mayTakeOver(now time.Time, pc *piece, since time.Time) bool {
	if now.Before(since) {
		return false
	}
	rank := pc.ranking.self
	return rank == 0 || now.Sub(since) > time.Duration(min(rank+1, 4*topRanks))*maxTakeoverWaits*s.takeoverDelay()
}

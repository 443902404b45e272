package swarm

import "time"

const (
	// fetcherQueryDelay is the time from which a piece is due until its remote fetcher is
	// queried. It doubles with each query, at most maxFetcherQueryDoublings times.
	fetcherQueryDelay        = 250 * time.Millisecond
	maxFetcherQueryDoublings = 3
	// maxFetcherQueries is the number of queries up to which the response that a piece is
	// on its way delays fetching it from the source.
	maxFetcherQueries = 40
)

// queryRemoteFetchers requests due pieces from their remote fetchers. The few remote
// neighbors may receive them much later.
func (s *Scheduler) queryRemoteFetchers(now time.Time) {
	for i := range s.dueCount {
		pc := &s.pieces[i]
		if pc.fromSource || pc.ranking.self != 0 || s.held.Has(i) || s.requested.Has(i) || pc.localHolders > 0 {
			continue
		}
		if pc.nextQuery.IsZero() {
			pc.nextQuery = pc.due.Add(fetcherQueryDelay)
		}
		if now.Before(pc.nextQuery) {
			continue
		}
		if p := s.remoteFetcher(now, i); p != nil && s.pacerOf(p).MayRequest(now) {
			s.startRequest(now, p.host.Name, i, true)
		}
	}
}

// remoteFetcher returns the first usable member that fetches the piece for the region that
// sends it to the local one, or nil.
func (s *Scheduler) remoteFetcher(now time.Time, i int) *peer {
	pc := &s.pieces[i]
	from := pc.remoteGroups[0]
	if pc.regionRank == 1 || s.mayBypass(now, pc, pc.due) {
		from = pc.remoteGroups[1]
	}
	for _, name := range s.groups[from].rank(s.options.Pieces[i].Key, s.options.Self.Name, nil).top {
		if p := s.peerOf(name); p != nil && !now.Before(p.availableAt) && !now.Before(p.skippedUntil) {
			return p
		}
	}
	return nil
}

// recordFetcherReply records why a remote fetcher didn't send the piece. If it is busy or
// doesn't have the piece yet, the local region waits for it; otherwise the fetcher is
// skipped for a while.
func (s *Scheduler) recordFetcherReply(now time.Time, p *peer, i int, c Cause) {
	pc := &s.pieces[i]
	pc.nextQuery = now.Add(doubled(fetcherQueryDelay, min(pc.queries, maxFetcherQueryDoublings)))
	pc.queries++
	if c == CauseMissing || c == CauseBusy {
		pc.confirmedAt = now
		p.skips = 0
		return
	}
	s.skipUntil(p, now.Add(doubled(skipFactor*s.takeoverDelay(), min(p.skips, maxSkipDoublings))))
	p.skips++
}

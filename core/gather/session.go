package gather

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/rings"
	"currantport.example/core/sched"
	"currantport.example/core/wire"
)

const (
	// eventCapacity is the maximum number of queued events of a session.
	eventCapacity = 256
	// minReportInterval and maxReportInterval limit the time between two reports to other
	// processes. maxReportInterval is also the minimum time between two fetches of a
	// suspect manifest.
	minReportInterval = 40 * time.Millisecond
	maxReportInterval = 300 * time.Millisecond
	// manifestTakeoverDelay is the time for which each rank waits for the one before it.
	manifestTakeoverDelay = 300 * time.Millisecond
	// maxManifestTakeovers limits the number of takeover delays for which a group of ranks
	// waits for the group before it.
	maxManifestTakeovers = 2
	manifestPollInterval = 20 * time.Millisecond
	// manifestBackoff is the mean time between two requests of the first rank to an origin that
	// is unavailable.
	manifestBackoff = 200 * time.Millisecond
	// lateManifest is the time after the start of the fetch from which the origin counts as having
	// been unavailable if the manifest arrives only then.
	lateManifest = time.Second
	// manifestTimeout bounds a request for the manifest. For the origin, it doubles with every
	// manifestTries failures, at most twice, since the origin may be slow.
	manifestTimeout = 700 * time.Millisecond
	manifestTries   = 8
	// corruptPieceLimit is the number of consecutive corrupt pieces, from any sources, that
	// make the manifest itself suspect.
	corruptPieceLimit = 6
)

var errManifestSuspect = errors.New("manifest is suspect")

// event is the result of a transfer or a report of another process.
type event struct {
	// transfer is the one that has ended, or nil.
	transfer *transfer
	took     time.Duration
	err      error
	// holds is what the process at the address from reports.
	from  netip.AddrPort
	holds *wire.Holds
}

// transferKey identifies a transfer. The peer is empty for the origin.
type transferKey struct {
	peer  hosts.Name
	piece int
}

// session is the fetch of one version. The goroutine of run owns all fields except events.
type session struct {
	fetcher   *Fetcher
	name      chunks.Digest
	version   *cache.Version
	scheduler *sched.Scheduler
	events    *rings.Ring[event]
	members   []hosts.Host
	transfers map[transferKey]*transfer
	group     sync.WaitGroup
	// reportedAt is the time of the last report to other processes. hasNewPieces is set
	// when a piece has arrived since.
	reportedAt   time.Time
	hasNewPieces bool
	// cursor is the position of the next recipient of reports, modulo the number of recipients.
	cursor int
	// afterOutage is set if the origin was unavailable when the manifest was fetched.
	afterOutage bool
	// unavailableSince is the time since which the origin counts as unavailable, or zero.
	unavailableSince time.Time
	// corruptPieces counts the corrupt pieces since the last valid one.
	corruptPieces int
	// refetchedAt is the time at which the manifest was last fetched again from the origin.
	refetchedAt time.Time
}

func newSession(f *Fetcher, name chunks.Digest) *session {
	return &session{
		fetcher: f, name: name, events: rings.New[event](eventCapacity), transfers: make(map[transferKey]*transfer),
		cursor: int(hosts.Score("report", f.options.Self.Name) % maxRecipients),
	}
}

// receiveHoldings queues a report of another process. It is dropped when the ring is full;
// the process repeats its reports.
func (s *session) receiveHoldings(from netip.AddrPort, h *wire.Holds) {
	s.events.TrySend(event{from: from, holds: h})
}

// run fetches the manifest and the pieces of the version.
func (s *session) run(ctx context.Context) (*cache.Version, error) {
	for {
		v, err := s.ensureManifest(ctx)
		if err != nil {
			return nil, err
		}
		err = s.fetchPieces(ctx, v)
		if !errors.Is(err, errManifestSuspect) {
			return v, err
		}
		s.fetcher.options.Log.Warn("manifest-suspect", zap.String("version", s.name.String()[:8]))
		s.refetchManifest(ctx)
	}
}

// fetchPieces fetches the pieces of a version whose manifest is held.
func (s *session) fetchPieces(ctx context.Context, v *cache.Version) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	s.start(v)
	for {
		now := time.Now()
		s.refresh(now)
		for _, a := range s.scheduler.Decide(now) {
			s.execute(ctx, a)
		}
		s.logOutage(now)
		s.reportIfDue(now)
		if s.scheduler.Missing() == 0 {
			s.report(false)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := s.waitForEvents(ctx); err != nil {
			return err
		}
	}
}

// logOutage logs and counts when the origin becomes unavailable, and logs when it returns.
func (s *session) logOutage(now time.Time) {
	f := s.fetcher
	switch down := s.scheduler.OriginUnavailable(); {
	case down && s.unavailableSince.IsZero():
		s.unavailableSince = now
		f.outages.Inc(1)
		f.options.Log.Info("origin-unavailable", zap.String("version", s.name.String()[:8]), zap.Int("missing", s.scheduler.Missing()))
	case !down && !s.unavailableSince.IsZero():
		f.options.Log.Info("origin-returned", zap.String("version", s.name.String()[:8]), zap.Duration("after", now.Sub(s.unavailableSince)))
		s.unavailableSince = time.Time{}
	}
}

func (s *session) start(v *cache.Version) {
	o := s.fetcher.options
	s.version = v
	pieces := make([]sched.Piece, len(v.Pieces))
	for i, p := range v.Pieces {
		pieces[i] = sched.Piece{Key: pieceKey(p.Digest), Size: p.Range.Length}
	}
	held := o.Cache.Held(v)
	region, rate := o.Origin()
	var released time.Time
	if o.ReleasedAt != nil {
		released = o.ReleasedAt(s.name)
	}
	s.scheduler = sched.New(time.Now(), sched.Options{
		Self: o.Self, Pieces: pieces, Held: func(i int) bool { return held[i] }, OriginRegion: region, OriginRate: rate, ReleasedAt: released, AfterOutage: s.afterOutage, Seed: o.Seed,
	})
	s.members, s.reportedAt = nil, time.Time{}
}

// refresh updates the members, and the pieces that were added to the cache by other code.
func (s *session) refresh(now time.Time) {
	members := s.fetcher.options.Members()
	if hosts.ListIDOf(members) != hosts.ListIDOf(s.members) && !slices.Equal(members, s.members) {
		s.members = members
		s.scheduler.SetMembers(members)
	}
	for i, held := range s.fetcher.options.Cache.Held(s.version) {
		if held {
			s.scheduler.RecordLocal(now, i)
		}
	}
}

// waitForEvents handles the queued events. It returns after at most DecideInterval.
func (s *session) waitForEvents(ctx context.Context) error {
	tick := time.NewTimer(sched.DecideInterval)
	defer tick.Stop()
	select {
	case e := <-s.events.Values():
		if err := s.handle(e); err != nil {
			return err
		}
	case <-tick.C:
	case <-ctx.Done():
	}
	for range s.events.Len() {
		if err := s.handle(<-s.events.Values()); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) handle(e event) error {
	now := time.Now()
	if e.holds != nil {
		return s.handleHoldings(now, e)
	}
	t := e.transfer
	current := s.transfers[t.key] == t
	if current {
		delete(s.transfers, t.key)
	}
	if e.err == nil {
		s.corruptPieces, s.hasNewPieces = 0, true
		s.scheduler.RecordArrival(now, t.key.peer, t.key.piece, e.took)
		return nil
	}
	if !current {
		return nil
	}
	cause := causeOf(e.err)
	if errors.Is(e.err, cache.ErrCorrupt) || errors.Is(e.err, errTooLong) {
		cause = sched.CauseCorrupt
		s.corruptPieces++
	}
	s.scheduler.RecordFailure(now, t.key.peer, t.key.piece, cause)
	if cause != sched.CauseBusy && cause != sched.CauseMissing {
		s.fetcher.options.Log.Info("piece-failed", zap.Int("piece", t.key.piece), zap.String("from", string(t.key.peer)),
			zap.Duration("took", e.took), zap.Error(e.err))
	}
	if s.corruptPieces >= corruptPieceLimit && now.Sub(s.refetchedAt) > maxReportInterval {
		return errManifestSuspect
	}
	return nil
}

func (s *session) handleHoldings(now time.Time, e event) error {
	if len(e.holds.Manifest) == 0 {
		return nil
	}
	if !bytes.Equal(e.holds.Manifest, manifestPrefix(s.version)) {
		if now.Sub(s.refetchedAt) > maxReportInterval {
			return errManifestSuspect
		}
		return nil
	}
	at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Address.Addr() == e.from.Addr() })
	if held := unpackBits(e.holds.Bitmap, len(s.version.Pieces)); held != nil && at >= 0 {
		s.scheduler.ReceiveHoldings(now, s.members[at].Name, held, int(e.holds.Queue))
	}
	return nil
}

// reportIfDue reports the holdings if a report is due. An entry reports soon after a piece
// has arrived, an agent only every maxReportInterval, since agents are the last choice as a
// source. Without entries, agents report like entries.
func (s *session) reportIfDue(now time.Time) {
	elapsed := now.Sub(s.reportedAt)
	urgent := s.hasNewPieces && (s.fetcher.options.Self.Role == hosts.RoleEntry || !s.hasEntries())
	if elapsed < minReportInterval || !urgent && elapsed < maxReportInterval {
		return
	}
	s.report(true)
}

func (s *session) report(requestReport bool) {
	s.reportedAt, s.hasNewPieces = time.Now(), false
	d, _ := s.fetcher.holdings(s.name, requestReport)
	for _, h := range s.recipients() {
		s.fetcher.options.Send(d, h.Address)
	}
}

func (s *session) hasEntries() bool {
	return slices.ContainsFunc(s.fetcher.options.Members(), func(h hosts.Host) bool { return h.Role == hosts.RoleEntry })
}

// recipients returns the processes that get a report: the entries and the agents of the
// same region, or in turn a part of them if there are many. Without entries, they include the agents
// of all regions. The turn is a cursor and not the time, by which the same processes would be passed
// over repeatedly.
func (s *session) recipients() []hosts.Host {
	self := s.fetcher.options.Self
	members := s.fetcher.options.Members()
	entries := s.hasEntries()
	others := slices.DeleteFunc(slices.Clone(members), func(h hosts.Host) bool {
		return h.Name == self.Name || entries && h.Role != hosts.RoleEntry && h.Place.Region != self.Place.Region
	})
	if len(others) <= maxRecipients {
		return others
	}
	start := s.cursor % len(others)
	s.cursor += maxRecipients
	return slices.Concat(others[start:], others[:start])[:maxRecipients]
}

func (s *session) execute(ctx context.Context, a sched.Action) {
	k := transferKey{peer: a.Peer, piece: a.Piece}
	if a.Kind == sched.KindCancel {
		if t := s.transfers[k]; t != nil {
			t.cancel()
			delete(s.transfers, k)
		}
		return
	}
	transferCtx, cancel := context.WithCancel(ctx)
	t := &transfer{session: s, key: k, piece: s.version.Pieces[a.Piece], cancel: cancel}
	if at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Name == a.Peer }); at >= 0 {
		t.address = s.members[at].Address
	}
	s.transfers[k] = t
	s.group.Go(func() { t.run(ctx, transferCtx) })
}

// transfer fetches one piece from a peer or from the origin.
type transfer struct {
	session *session
	key     transferKey
	address netip.AddrPort
	piece   chunks.Piece
	cancel  context.CancelFunc
}

// run fetches the piece. The result is dropped if the session has ended.
func (t *transfer) run(sessionCtx, ctx context.Context) {
	defer t.cancel()
	start := time.Now()
	data, err := t.read(ctx)
	if err == nil {
		err = t.session.fetcher.options.Cache.Add(t.piece.Digest, data)
	}
	t.recordResult(err)
	t.session.events.Send(sessionCtx, event{transfer: t, took: time.Since(start), err: err})
}

func (t *transfer) recordResult(err error) {
	f := t.session.fetcher
	switch {
	case err != nil:
		f.failed.Inc(1)
	case t.key.peer == "":
		f.fromOrigin.Inc(1)
	default:
		f.fromPeers.Inc(1)
	}
}

func (t *transfer) read(ctx context.Context) ([]byte, error) {
	f := t.session.fetcher
	if t.key.peer != "" {
		return f.remote.chunk(ctx, t.address, t.piece.Digest, t.piece.Range.Length)
	}
	r, err := f.options.Source.Open(ctx, t.piece.Range)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	data := make([]byte, t.piece.Range.Length)
	_, err = io.ReadFull(r, data)
	return data, err
}

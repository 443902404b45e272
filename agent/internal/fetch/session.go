package fetch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/rings"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
)

const (
	// eventCapacity is the maximum number of events that wait for the session.
	eventCapacity = 64
	// refreshInterval is the time between two refreshes of the members and of the held
	// pieces.
	refreshInterval = time.Second
)

// event is a report of a transfer or of a watcher.
type event struct {
	// transfer is the transfer that has ended, or nil.
	transfer   *transfer
	size       int
	timing     swarm.Timing
	cause      swarm.Cause
	retryAfter time.Duration
	err        error

	// watcher is the watcher that has received holdings or has ended, or nil.
	watcher  *watcher
	holdings swarm.Holdings
	ended    bool
}

// transferKey identifies a transfer. The peer is empty for the source.
type transferKey struct {
	peer  hosts.Name
	piece int
}

// session is the fetch of one version. Its run method owns all fields except the ring.
type session struct {
	fetcher   *Fetcher
	pool      tables.Pool
	version   *cache.Version
	scheduler *swarm.Scheduler
	events    *rings.Ring[event]
	members   map[hosts.Name]hosts.Host
	// roster is the host list that members were computed from.
	roster []hosts.Host
	// refreshedAt is the time of the last refresh.
	refreshedAt time.Time
	transfers   map[transferKey]*transfer
	watchers    map[hosts.Name]*watcher
	group       sync.WaitGroup
	// sourceError says why the last piece from the source failed, or is empty.
	sourceError string
}

func newSession(f *Fetcher, pool tables.Pool, v *cache.Version) *session {
	pieces := make([]swarm.Piece, len(v.Pieces))
	held := swarm.NewBits(len(v.Pieces))
	for i, p := range v.Pieces {
		pieces[i] = swarm.Piece{Key: pieceKey(p.Digest), Size: p.Range.Length}
	}
	for i, h := range f.options.Cache.Held(v) {
		if h {
			held.Set(i)
		}
	}
	return &session{
		fetcher: f, pool: pool, version: v,
		scheduler: swarm.New(swarm.Options{
			Self: f.options.Self, Pieces: pieces, Held: held, Favor: pool.Favor,
			SourceRegion: f.options.SourceRegion, Seed: pieceKey(v.Digest), Limits: f.options.Limits,
		}),
		events: rings.New[event](eventCapacity), members: make(map[hosts.Name]hosts.Host),
		transfers: make(map[transferKey]*transfer), watchers: make(map[hosts.Name]*watcher),
	}
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	for {
		now := time.Now()
		if now.Sub(s.refreshedAt) >= refreshInterval {
			s.refresh(now)
		}
		if live := s.fetcher.options.Live; live != nil {
			s.scheduler.SetLive(live())
		}
		for _, a := range s.scheduler.Decide(now) {
			s.execute(ctx, a)
		}
		s.report()
		if s.scheduler.Missing() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.waitForEvents(ctx)
	}
}

// waitForEvents handles the events that have arrived, and waits for one for at most
// swarm.DecideInterval.
func (s *session) waitForEvents(ctx context.Context) {
	tick := time.NewTimer(swarm.DecideInterval)
	defer tick.Stop()
	select {
	case e := <-s.events.Values():
		s.handle(e)
	case <-tick.C:
	case <-ctx.Done():
	}
	for range s.events.Len() {
		s.handle(<-s.events.Values())
	}
}

// refresh updates the members of the pool and records the pieces that other sessions have
// fetched.
func (s *session) refresh(now time.Time) {
	s.refreshedAt = now
	s.refreshMembers()
	for i, held := range s.fetcher.options.Cache.Held(s.version) {
		if held {
			s.scheduler.RecordLocal(now, i)
		}
	}
}

func (s *session) refreshMembers() {
	list := s.fetcher.options.Roster.Now().All()
	unchanged := len(s.members) > 0 && hosts.ListIDOf(list) == hosts.ListIDOf(s.roster)
	if row := s.fetcher.options.PoolRow; row != nil {
		p, ok := row(s.pool.Name)
		if ok && p.Manifest == s.pool.Manifest && !slices.Equal(p.Hosts, s.pool.Hosts) {
			s.pool = p
			unchanged = false
		}
	}
	if unchanged {
		return
	}
	s.roster = list
	members := s.fetcher.members(s.pool)
	clear(s.members)
	for _, h := range members {
		s.members[h.Name] = h
	}
	s.scheduler.SetMembers(members)
}

// report publishes the progress of the fetch.
func (s *session) report() {
	o := s.fetcher.options
	o.Cache.RaiseFrontier(s.version, s.scheduler.Frontier())
	s.version.SetFailing(s.scheduler.SourceFailing())
	s.fetcher.record(s.version.Digest, func(p *Progress) {
		p.Chunks = len(s.version.Pieces)
		p.Held = p.Chunks - s.scheduler.Missing()
		p.Error = s.sourceError
	})
}

func (s *session) execute(ctx context.Context, a swarm.Action) {
	switch a.Kind {
	case swarm.KindWatch:
		s.startWatch(ctx, a.Peer)
	case swarm.KindUnwatch:
		if w := s.watchers[a.Peer]; w != nil {
			w.cancel()
			delete(s.watchers, a.Peer)
		}
	case swarm.KindFetchPeer, swarm.KindFetchSource:
		s.startTransfer(ctx, transferKey{peer: a.Peer, piece: a.Piece})
	case swarm.KindCancel:
		k := transferKey{peer: a.Peer, piece: a.Piece}
		if t := s.transfers[k]; t != nil {
			t.cancel()
			delete(s.transfers, k)
		}
	}
}

func (s *session) startWatch(ctx context.Context, name hosts.Name) {
	watchCtx, cancel := context.WithCancel(ctx)
	w := &watcher{session: s, host: s.members[name], cancel: cancel}
	s.watchers[name] = w
	s.group.Go(func() { w.run(ctx, watchCtx) })
}

func (s *session) startTransfer(ctx context.Context, k transferKey) {
	transferCtx, cancel := context.WithCancel(ctx)
	t := &transfer{session: s, key: k, host: s.members[k.peer], piece: s.version.Pieces[k.piece], cancel: cancel}
	s.transfers[k] = t
	s.group.Go(func() { t.run(ctx, transferCtx) })
}

func (s *session) handle(e event) {
	now := time.Now()
	if e.watcher != nil {
		s.handleHoldings(now, e)
		return
	}
	t := e.transfer
	current := s.transfers[t.key] == t
	if current {
		delete(s.transfers, t.key)
	}
	if e.err == nil {
		s.sourceError = ""
		s.recordBytes(t.key.peer, e.size)
		s.scheduler.RecordArrival(now, t.key.peer, t.key.piece, e.timing)
		return
	}
	if !current {
		return
	}
	s.scheduler.RecordFailure(now, t.key.peer, t.key.piece, e.cause, e.retryAfter)
	s.recordFailure(t, e)
}

func (s *session) handleHoldings(now time.Time, e event) {
	name := e.watcher.host.Name
	if s.watchers[name] != e.watcher {
		return
	}
	if e.ended {
		delete(s.watchers, name)
		s.scheduler.RecordWatchEnd(now, name)
		return
	}
	s.scheduler.ReceiveHoldings(now, name, e.holdings)
}

func (s *session) recordBytes(from hosts.Name, size int) {
	s.fetcher.record(s.version.Digest, func(p *Progress) {
		if from == "" {
			p.OriginBytes += uint64(size)
			return
		}
		p.PeerBytes += uint64(size)
	})
}

// recordFailure logs a failure. It keeps the last error of the source.
func (s *session) recordFailure(t *transfer, e event) {
	if e.cause == swarm.CauseBusy {
		return
	}
	from := string(t.key.peer)
	if t.key.peer == "" {
		from = "source"
		s.sourceError = e.err.Error()
		if errors.Is(e.err, edges.ErrNotFound) {
			s.sourceError = "chunk " + t.piece.Digest.String() + " is missing at the source"
		}
	}
	s.fetcher.options.Log.Info("chunk-failed", zap.String("pool", s.pool.Name), zap.String("version", s.pool.Version),
		zap.String("from", from), zap.String("cause", string(e.cause)), zap.Error(e.err))
}

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
	// eventRing bounds the events that wait for the session.
	eventRing = 64
	// memberInterval is how often the members and the cache are looked at.
	memberInterval = time.Second
)

// event is what a transfer or a watcher reports.
type event struct {
	// transfer has ended, or is nil.
	transfer *transfer
	data     int
	timing   swarm.Timing
	cause    swarm.Cause
	wait     time.Duration
	err      error

	// watcher has heard an offer, or has ended.
	watcher *watcher
	offer   swarm.Holdings
	ended   bool
}

// key names a transfer. The peer is empty for the source.
type key struct {
	peer  hosts.Name
	piece int
}

// session is the fetch of one version. Its run owns all fields but the ring.
type session struct {
	fetcher *Fetcher
	pool    tables.Pool
	version *cache.Version
	swarm   *swarm.Scheduler
	events  *rings.Ring[event]
	members map[hosts.Name]hosts.Host
	// list is the platform's list from which the members were taken.
	list []hosts.Host
	// looked is when the members and the cache were looked at last.
	looked    time.Time
	transfers map[key]*transfer
	watchers  map[hosts.Name]*watcher
	group     sync.WaitGroup
	// fault is why the last piece didn't come from outside, or empty.
	fault string
}

func newSession(f *Fetcher, pool tables.Pool, v *cache.Version) *session {
	pieces := make([]swarm.Piece, len(v.Pieces))
	held := swarm.NewBits(len(v.Pieces))
	for i, p := range v.Pieces {
		pieces[i] = swarm.Piece{Key: keyOf(p.Digest), Size: p.Range.Length}
	}
	for i, h := range f.options.Cache.Held(v) {
		if h {
			held.Set(i)
		}
	}
	return &session{
		fetcher: f, pool: pool, version: v,
		swarm: swarm.New(swarm.Options{
			Self: f.options.Self, Pieces: pieces, Held: held, Favor: pool.Favor,
			SourceRegion: f.options.SourceRegion, Seed: keyOf(v.Digest), Limits: f.options.Limits,
		}),
		events: rings.New[event](eventRing), members: make(map[hosts.Name]hosts.Host),
		transfers: make(map[key]*transfer), watchers: make(map[hosts.Name]*watcher),
	}
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	for {
		now := time.Now()
		if now.Sub(s.looked) >= memberInterval {
			s.look(now)
		}
		if live := s.fetcher.options.Live; live != nil {
			s.swarm.SetLive(live())
		}
		for _, a := range s.swarm.Decide(now) {
			s.do(ctx, a)
		}
		s.report()
		if s.swarm.Missing() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.wait(ctx)
	}
}

// wait takes the events that have come, or returns after a tick.
func (s *session) wait(ctx context.Context) {
	tick := time.NewTimer(swarm.DecideInterval)
	defer tick.Stop()
	select {
	case e := <-s.events.Values():
		s.take(e)
	case <-tick.C:
	case <-ctx.Done():
	}
	for range s.events.Len() {
		s.take(<-s.events.Values())
	}
}

// look takes over the members of the pool and the pieces that came by another
// session.
func (s *session) look(now time.Time) {
	s.looked = now
	s.lookAtMembers()
	for i, held := range s.fetcher.options.Cache.Held(s.version) {
		if held {
			s.swarm.RecordLocal(now, i)
		}
	}
}

func (s *session) lookAtMembers() {
	list := s.fetcher.options.Roster.Now().All()
	same := len(s.members) > 0 && sameSlice(list, s.list)
	if row := s.fetcher.options.PoolRow; row != nil {
		p, ok := row(s.pool.Name)
		if ok && p.Manifest == s.pool.Manifest && !slices.Equal(p.Hosts, s.pool.Hosts) {
			s.pool = p
			same = false
		}
	}
	if same {
		return
	}
	s.list = list
	members := s.fetcher.members(s.pool)
	clear(s.members)
	for _, h := range members {
		s.members[h.Name] = h
	}
	s.swarm.SetMembers(members)
}

// sameSlice reports whether two immutable lists are one.
func sameSlice(a, b []hosts.Host) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// report tells others how far the fetch has come.
func (s *session) report() {
	o := s.fetcher.options
	o.Cache.RaiseFrontier(s.version, s.swarm.Frontier())
	s.version.SetFailing(s.swarm.SourceFailing())
	s.fetcher.record(s.version.Digest, func(p *Progress) {
		p.Chunks = len(s.version.Pieces)
		p.Held = p.Chunks - s.swarm.Missing()
		p.Error = s.fault
	})
}

func (s *session) do(ctx context.Context, a swarm.Action) {
	switch a.Kind {
	case swarm.KindWatch:
		s.startWatch(ctx, a.Peer)
	case swarm.KindUnwatch:
		if w := s.watchers[a.Peer]; w != nil {
			w.cancel()
			delete(s.watchers, a.Peer)
		}
	case swarm.KindFetchPeer, swarm.KindFetchSource:
		s.startTransfer(ctx, key{peer: a.Peer, piece: a.Piece})
	case swarm.KindCancel:
		k := key{peer: a.Peer, piece: a.Piece}
		if t := s.transfers[k]; t != nil {
			t.cancel()
			delete(s.transfers, k)
		}
	}
}

func (s *session) startWatch(ctx context.Context, name hosts.Name) {
	own, cancel := context.WithCancel(ctx)
	w := &watcher{session: s, host: s.members[name], cancel: cancel}
	s.watchers[name] = w
	s.group.Go(func() { w.run(ctx, own) })
}

func (s *session) startTransfer(ctx context.Context, k key) {
	own, cancel := context.WithCancel(ctx)
	t := &transfer{session: s, key: k, host: s.members[k.peer], piece: s.version.Pieces[k.piece], cancel: cancel}
	s.transfers[k] = t
	s.group.Go(func() { t.run(ctx, own) })
}

func (s *session) take(e event) {
	now := time.Now()
	if e.watcher != nil {
		s.takeOffer(now, e)
		return
	}
	t := e.transfer
	current := s.transfers[t.key] == t
	if current {
		delete(s.transfers, t.key)
	}
	if e.err == nil {
		s.fault = ""
		s.count(t.key.peer, e.data)
		s.swarm.RecordArrival(now, t.key.peer, t.key.piece, e.timing)
		return
	}
	if !current {
		return
	}
	s.swarm.RecordFailure(now, t.key.peer, t.key.piece, e.cause, e.wait)
	s.note(t, e)
}

func (s *session) takeOffer(now time.Time, e event) {
	name := e.watcher.host.Name
	if s.watchers[name] != e.watcher {
		return
	}
	if e.ended {
		delete(s.watchers, name)
		s.swarm.RecordWatchEnd(now, name)
		return
	}
	s.swarm.ReceiveHoldings(now, name, e.offer)
}

func (s *session) count(from hosts.Name, size int) {
	s.fetcher.record(s.version.Digest, func(p *Progress) {
		if from == "" {
			p.OriginBytes += uint64(size)
			return
		}
		p.PeerBytes += uint64(size)
	})
}

// note logs a failure and keeps why pieces don't come from outside.
func (s *session) note(t *transfer, e event) {
	if e.cause == swarm.CauseBusy {
		return
	}
	from := string(t.key.peer)
	if t.key.peer == "" {
		from = "source"
		s.fault = e.err.Error()
		if errors.Is(e.err, edges.ErrNotFound) {
			s.fault = "chunk " + t.piece.Digest.String() + " is missing at the source"
		}
	}
	s.fetcher.options.Log.Info("chunk-failed", zap.String("pool", s.pool.Name), zap.String("version", s.pool.Version),
		zap.String("from", from), zap.String("cause", string(e.cause)), zap.Error(e.err))
}

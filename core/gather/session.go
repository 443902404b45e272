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
	// eventRing bounds the events that wait for a session.
	eventRing = 256
	// tellInterval is the shortest time between two rounds in which other agents are
	// told, askInterval the longest.
	tellInterval = 40 * time.Millisecond
	askInterval  = 300 * time.Millisecond
	// manifestTakeover is the wait of each rank for the one before it.
	manifestTakeover = 300 * time.Millisecond
	// manifestGroup bounds the takeovers for which a group of ranks waits for the one
	// before it.
	manifestGroup   = 2
	manifestStep    = 20 * time.Millisecond
	manifestTimeout = 700 * time.Millisecond
	// doubtPieces is the number of spoilt pieces in a row, from whomever, from which
	// on the manifest itself is doubted.
	doubtPieces = 6
)

var errDoubt = errors.New("the manifest is in doubt")

// event is what a transfer or another agent reports.
type event struct {
	// transfer has ended, or is nil.
	transfer *transfer
	took     time.Duration
	err      error
	// from tells what it holds.
	from  netip.AddrPort
	holds *wire.Holds
}

// key names a transfer. The peer is empty for the origin.
type key struct {
	peer  hosts.Name
	piece int
}

// session is the fetch of one version. Its run owns all fields but the ring.
type session struct {
	gatherer *Fetcher
	name     chunks.Digest
	version  *cache.Version
	spread   *sched.Scheduler
	events   *rings.Ring[event]
	members  []hosts.Host
	running  map[key]*transfer
	group    sync.WaitGroup
	// told is when other agents were told last, news that something has come since.
	told time.Time
	news bool
	// spoilt counts spoilt pieces since the last good one.
	spoilt int
	// doubted is when the manifest was last asked of the origin again.
	doubted time.Time
}

func newSession(g *Fetcher, name chunks.Digest) *session {
	return &session{gatherer: g, name: name, events: rings.New[event](eventRing), running: make(map[key]*transfer)}
}

// hear takes what another agent tells. A full ring drops it; it is told again.
func (s *session) hear(from netip.AddrPort, h *wire.Holds) {
	s.events.TrySend(event{from: from, holds: h})
}

// run fetches the version.
func (s *session) run(ctx context.Context) (*cache.Version, error) {
	for {
		v, err := s.manifest(ctx)
		if err != nil {
			return nil, err
		}
		err = s.fetch(ctx, v)
		if !errors.Is(err, errDoubt) {
			return v, err
		}
		s.gatherer.options.Log.Warn("manifest-doubted", zap.String("version", s.name.String()[:8]))
		s.renewManifest(ctx)
	}
}

// fetch brings the pieces of a version whose manifest is there.
func (s *session) fetch(ctx context.Context, v *cache.Version) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	s.begin(v)
	for {
		now := time.Now()
		s.look(now)
		for _, a := range s.spread.Decide(now) {
			s.do(ctx, a)
		}
		s.tell(now)
		if s.spread.Missing() == 0 {
			s.tellAll(false)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := s.wait(ctx); err != nil {
			return err
		}
	}
}

func (s *session) begin(v *cache.Version) {
	o := s.gatherer.options
	s.version = v
	pieces := make([]sched.Piece, len(v.Pieces))
	for i, p := range v.Pieces {
		pieces[i] = sched.Piece{Key: keyOf(p.Digest), Size: p.Range.Length}
	}
	held := o.Cache.Held(v)
	home, rate := o.Origin()
	var released time.Time
	if o.ReleasedAt != nil {
		released = o.ReleasedAt(s.name)
	}
	s.spread = sched.New(time.Now(), sched.Options{
		Self: o.Self, Pieces: pieces, Held: func(i int) bool { return held[i] }, OriginRegion: home, OriginRate: rate, ReleasedAt: released, Seed: o.Seed,
	})
	s.members, s.told = nil, time.Time{}
}

// look takes over the members and pieces that came by another way.
func (s *session) look(now time.Time) {
	members := s.gatherer.options.Members()
	if !slices.Equal(members, s.members) {
		s.members = members
		s.spread.SetMembers(members)
	}
	for i, held := range s.gatherer.options.Cache.Held(s.version) {
		if held {
			s.spread.RecordLocal(now, i)
		}
	}
}

// wait takes the events that have come, or returns after a tick.
func (s *session) wait(ctx context.Context) error {
	tick := time.NewTimer(sched.DecideInterval)
	defer tick.Stop()
	select {
	case e := <-s.events.Values():
		if err := s.take(e); err != nil {
			return err
		}
	case <-tick.C:
	case <-ctx.Done():
	}
	for range s.events.Len() {
		if err := s.take(<-s.events.Values()); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) take(e event) error {
	now := time.Now()
	if e.holds != nil {
		return s.takeHolds(now, e)
	}
	t := e.transfer
	current := s.running[t.key] == t
	if current {
		delete(s.running, t.key)
	}
	if e.err == nil {
		s.spoilt, s.news = 0, true
		s.spread.RecordArrival(now, t.key.peer, t.key.piece, e.took)
		return nil
	}
	if !current {
		return nil
	}
	cause := causeOf(e.err)
	if errors.Is(e.err, cache.ErrCorrupt) || errors.Is(e.err, errLong) {
		cause = sched.CauseCorrupt
		s.spoilt++
	}
	s.spread.RecordFailure(now, t.key.peer, t.key.piece, cause)
	if cause != sched.CauseBusy && cause != sched.CauseMissing {
		s.gatherer.options.Log.Info("piece-failed", zap.Int("piece", t.key.piece), zap.String("from", string(t.key.peer)),
			zap.Duration("took", e.took), zap.Error(e.err))
	}
	if s.spoilt >= doubtPieces && now.Sub(s.doubted) > askInterval {
		return errDoubt
	}
	return nil
}

func (s *session) takeHolds(now time.Time, e event) error {
	if len(e.holds.Manifest) == 0 {
		return nil
	}
	if !bytes.Equal(e.holds.Manifest, markOf(s.version)) {
		if now.Sub(s.doubted) > askInterval {
			return errDoubt
		}
		return nil
	}
	at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Address.Addr() == e.from.Addr() })
	if held := unpack(e.holds.Bitmap, len(s.version.Pieces)); held != nil && at >= 0 {
		s.spread.ReceiveHoldings(now, s.members[at].Name, held, int(e.holds.Queue))
	}
	return nil
}

// tell tells others what the host holds. An entry does so at once after something has
// come, an agent now and then, since others ask it last, unless there are no entries.
func (s *session) tell(now time.Time) {
	since := now.Sub(s.told)
	news := s.news && (s.gatherer.options.Self.Role == hosts.RoleEntry || !s.hasEntries())
	if since < tellInterval || !news && since < askInterval {
		return
	}
	s.tellAll(true)
}

func (s *session) tellAll(ask bool) {
	s.told, s.news = time.Now(), false
	d, _ := s.gatherer.holds(s.name, ask)
	for _, h := range s.sample() {
		s.gatherer.options.Send(d, h.Address)
	}
}

func (s *session) hasEntries() bool {
	return slices.ContainsFunc(s.gatherer.options.Members(), func(h hosts.Host) bool { return h.Role == hosts.RoleEntry })
}

// sample returns those that are told: the entries and the agents of the own region, or
// a part of them if they are many. Without entries, agents tell those of all regions.
func (s *session) sample() []hosts.Host {
	self := s.gatherer.options.Self
	members := s.gatherer.options.Members()
	entries := s.hasEntries()
	others := slices.DeleteFunc(slices.Clone(members), func(h hosts.Host) bool {
		return h.Name == self.Name || entries && h.Role != hosts.RoleEntry && h.Place.Region != self.Place.Region
	})
	if len(others) <= tellMost {
		return others
	}
	start := int(time.Now().UnixNano()/int64(tellInterval)) * tellMost % len(others)
	return slices.Concat(others[start:], others[:start])[:tellMost]
}

func (s *session) do(ctx context.Context, a sched.Action) {
	k := key{peer: a.Peer, piece: a.Piece}
	if a.Kind == sched.KindCancel {
		if t := s.running[k]; t != nil {
			t.cancel()
			delete(s.running, k)
		}
		return
	}
	own, cancel := context.WithCancel(ctx)
	t := &transfer{session: s, key: k, piece: s.version.Pieces[a.Piece], cancel: cancel}
	if at := slices.IndexFunc(s.members, func(h hosts.Host) bool { return h.Name == a.Peer }); at >= 0 {
		t.address = s.members[at].Address
	}
	s.running[k] = t
	s.group.Go(func() { t.run(ctx, own) })
}

// transfer brings one piece from a peer or from the origin.
type transfer struct {
	session *session
	key     key
	address netip.AddrPort
	piece   chunks.Piece
	cancel  context.CancelFunc
}

// run brings the piece. It reports as long as the session runs.
func (t *transfer) run(session, ctx context.Context) {
	defer t.cancel()
	start := time.Now()
	data, err := t.bytes(ctx)
	if err == nil {
		err = t.session.gatherer.options.Cache.Add(t.piece.Digest, data)
	}
	t.count(err)
	t.session.events.Send(session, event{transfer: t, took: time.Since(start), err: err})
}

func (t *transfer) count(err error) {
	g := t.session.gatherer
	switch {
	case err != nil:
		g.failed.Inc(1)
	case t.key.peer == "":
		g.origin.Inc(1)
	default:
		g.peers.Inc(1)
	}
}

func (t *transfer) bytes(ctx context.Context) ([]byte, error) {
	g := t.session.gatherer
	if t.key.peer != "" {
		return g.remote.chunk(ctx, t.address, t.piece.Digest, t.piece.Range.Length)
	}
	r, err := g.options.Source.Open(ctx, t.piece.Range)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	data := make([]byte, t.piece.Range.Length)
	_, err = io.ReadFull(r, data)
	return data, err
}

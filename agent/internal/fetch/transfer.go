package fetch

import (
	"context"
	"errors"
	"io"
	"time"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/peer"
	"currantport.example/core/swarm"
)

// watchTimeout is how long a watch may receive no report.
const watchTimeout = 2*peer.IdleInterval + 2*time.Second

// transfer fetches one piece from a peer or from the source.
type transfer struct {
	session *session
	key     transferKey
	host    hosts.Host
	piece   chunks.Piece
	cancel  context.CancelFunc
}

// run fetches the piece and reports the result unless the session has ended.
func (t *transfer) run(sessionCtx, ctx context.Context) {
	defer t.cancel()
	s := t.session
	e := event{transfer: t}
	d, err := t.read(ctx)
	if err == nil {
		err = s.fetcher.options.Cache.Add(t.piece.Digest, d.Data)
	}
	e.size, e.timing, e.err = len(d.Data), d.Timing, err
	if err != nil {
		e.cause, e.retryAfter = causeOf(err)
	}
	s.events.Send(sessionCtx, e)
}

func (t *transfer) read(ctx context.Context) (Delivery, error) {
	o := t.session.fetcher.options
	if t.key.peer != "" {
		return o.Peers.Chunk(ctx, t.host.Address, t.piece.Digest, t.piece.Range.Length)
	}
	r, err := o.Source.Open(ctx, t.piece.Range)
	if err != nil {
		return Delivery{}, err
	}
	defer func() { _ = r.Close() }()
	data := make([]byte, t.piece.Range.Length)
	_, err = io.ReadFull(r, data)
	return Delivery{Data: data}, err
}

func causeOf(err error) (swarm.Cause, time.Duration) {
	var refused *edges.RefusedError
	switch {
	case errors.As(err, &refused):
		return swarm.CauseRefused, refused.RetryAfter
	case errors.Is(err, cache.ErrCorrupt), errors.Is(err, errTooLong):
		return swarm.CauseCorrupt, 0
	case errors.Is(err, peer.ErrBusy):
		return swarm.CauseBusy, 0
	case errors.Is(err, peer.ErrFailing):
		return swarm.CauseFailing, 0
	case errors.Is(err, peer.ErrMissing):
		return swarm.CauseMissing, 0
	}
	return swarm.CauseUnavailable, 0
}

// watcher follows the pieces that one neighbor holds.
type watcher struct {
	session *session
	host    hosts.Host
	cancel  context.CancelFunc
}

// run follows the neighbor and reports the end of the watch unless the session has ended.
func (w *watcher) run(sessionCtx, ctx context.Context) {
	defer w.cancel()
	s := w.session
	timer := time.AfterFunc(watchTimeout, w.cancel)
	defer timer.Stop()
	v := s.version
	_ = s.fetcher.options.Peers.Watch(ctx, w.host.Address, v.Digest, len(v.Pieces), func(h swarm.Holdings) {
		timer.Reset(watchTimeout)
		s.events.Send(ctx, event{watcher: w, holdings: h})
	})
	s.events.Send(sessionCtx, event{watcher: w, ended: true})
}

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

// watchSilence is how long a watch may bring no report.
const watchSilence = 2*peer.IdleInterval + 2*time.Second

// transfer brings one piece from a peer or from the source.
type transfer struct {
	session *session
	key     key
	host    hosts.Host
	piece   chunks.Piece
	cancel  context.CancelFunc
}

// run brings the piece. It reports as long as the session runs.
func (t *transfer) run(session, ctx context.Context) {
	defer t.cancel()
	s := t.session
	e := event{transfer: t}
	d, err := t.bytes(ctx)
	if err == nil {
		err = s.fetcher.options.Cache.Add(t.piece.Digest, d.Data)
	}
	e.data, e.timing, e.err = len(d.Data), d.Timing, err
	if err != nil {
		e.cause, e.wait = causeOf(err)
	}
	s.events.Send(session, e)
}

func (t *transfer) bytes(ctx context.Context) (Delivery, error) {
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
	case errors.Is(err, cache.ErrCorrupt), errors.Is(err, errLong):
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

// watcher follows what one neighbour holds.
type watcher struct {
	session *session
	host    hosts.Host
	cancel  context.CancelFunc
}

// run follows the neighbour. It reports as long as the session runs.
func (w *watcher) run(session, ctx context.Context) {
	defer w.cancel()
	s := w.session
	timer := time.AfterFunc(watchSilence, w.cancel)
	defer timer.Stop()
	v := s.version
	_ = s.fetcher.options.Peers.Watch(ctx, w.host.Address, v.Digest, len(v.Pieces), func(o swarm.Holdings) {
		timer.Reset(watchSilence)
		s.events.Send(ctx, event{watcher: w, offer: o})
	})
	s.events.Send(session, event{watcher: w, ended: true})
}

package deploy

import (
	"context"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

// freeChunks frees the chunks that are no longer needed once the engine serves the
// desired target: at first those of other versions, later its own.
func (l *Loader) freeChunks(ctx context.Context, pool tables.Pool) {
	if l.coverage == nil {
		l.coverage = turns.NewCoverage(turns.TargetOf(pool), pool.Name, l.places(pool), l.options.Host, time.Now())
		l.options.Cache.Retain([]chunks.Digest{pool.Manifest, pool.Base})
	}
	if l.freed {
		return
	}
	if n, ok := l.coverage.NextQuery(); ok {
		l.queryCoverage(ctx, pool, n)
	}
	if l.coverage.CanFree(time.Now()) {
		l.freed = true
		l.options.Cache.Retain(nil)
	}
}

// queryCoverage queries another host and records whether it serves the target.
func (l *Loader) queryCoverage(ctx context.Context, pool tables.Pool, name hosts.Name) {
	h, ok := l.options.Roster.Now().Find(name)
	if !ok {
		return
	}
	q := &query{loader: l, host: h, pool: pool.Name}
	q.run(ctx)
	if q.err == nil {
		l.coverage.Record(name, q.view)
	}
}

// resetCoverage starts over, since chunks are needed again for the next roll-out.
func (l *Loader) resetCoverage() {
	l.coverage = nil
	l.freed = false
}

// freeAll frees all chunks, since no pool lists the host.
func (l *Loader) freeAll() {
	if l.freed {
		return
	}
	l.resetCoverage()
	l.freed = true
	l.options.Cache.Retain(nil)
}

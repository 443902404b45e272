package deploy

import (
	"context"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

// free drops the chunks that are no longer needed once the engine serves what is
// wanted.
func (l *Loader) free(ctx context.Context, pool tables.Pool) {
	if l.spread == nil {
		l.spread = turns.NewCoverage(turns.TargetOf(pool), pool.Name, l.places(pool), l.options.Host, time.Now())
		l.options.Cache.Retain([]chunks.Digest{pool.Manifest, pool.Base})
	}
	if l.freed {
		return
	}
	if n, ok := l.spread.NextQuery(); ok {
		l.look(ctx, pool, n)
	}
	if l.spread.CanFree(time.Now()) {
		l.freed = true
		l.options.Cache.Retain(nil)
	}
}

// look asks another host whether it serves what is wanted.
func (l *Loader) look(ctx context.Context, pool tables.Pool, name hosts.Name) {
	h, ok := l.options.Roster.Now().Find(name)
	if !ok {
		return
	}
	q := &question{loader: l, host: h, pool: pool.Name}
	q.run(ctx)
	if q.err == nil {
		l.spread.Record(name, q.view)
	}
}

// keep forgets what was freed, since the chunks are needed again.
func (l *Loader) keep() {
	l.spread = nil
	l.freed = false
}

// drop frees everything, since no pool names the host.
func (l *Loader) drop() {
	if l.freed {
		return
	}
	l.keep()
	l.freed = true
	l.options.Cache.Retain(nil)
}

package loader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/finish"
	"currantport.example/core/shell"
)

const (
	// progressInterval is the time between two updates of the progress of a fetch.
	progressInterval = 40 * time.Millisecond
	// stallTimeout is the time without a new piece after which a fetch counts as stalled.
	stallTimeout = 600 * time.Millisecond
	// fetchRetryBackoff is the time until the next attempt after a fetch has failed.
	fetchRetryBackoff = 200 * time.Millisecond
)

// Progress is the progress of the fetch of a version. Held and Total count pieces.
type Progress struct {
	Held  int
	Total int
	// StartedAt is the start of the fetch, LastArrival the time at which the last piece
	// arrived.
	StartedAt   time.Time
	LastArrival time.Time
}

// Done reports whether every piece is held.
func (p Progress) Done() bool { return p.Total > 0 && p.Held == p.Total }

// TimeLeft returns the expected time until every piece is held. The second result is false
// if no piece has arrived yet, or none within stallTimeout.
func (p Progress) TimeLeft(now time.Time) (time.Duration, bool) {
	switch {
	case p.Done():
		return 0, true
	case p.Held == 0 || now.Sub(p.LastArrival) > stallTimeout:
		return 0, false
	}
	pieceTime := p.LastArrival.Sub(p.StartedAt) / time.Duration(p.Held)
	return pieceTime * time.Duration(p.Total-p.Held), true
}

// weightFetcher fetches versions into the cache, one at a time.
type weightFetcher struct {
	options Options
	group   *shell.Group
	wake    chan struct{}

	mutex sync.Mutex
	// target is the newest released version, set at targetSince.
	target      targetVersion
	targetSince time.Time
	progress    map[targetVersion]Progress
}

func newWeightFetcher(o Options) (*weightFetcher, func()) {
	f := &weightFetcher{options: o, group: shell.NewGroup(), wake: make(chan struct{}, 1), progress: make(map[targetVersion]Progress)}
	f.group.Go(f.run)
	return f, f.group.Stop
}

// setTarget sets the version to fetch. It replaces the one in progress, unless that is
// nearly complete.
func (f *weightFetcher) setTarget(t targetVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.target == t {
		return
	}
	f.target, f.targetSince = t, clocks.Now()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *weightFetcher) currentTarget() (targetVersion, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.target, f.targetSince
}

// progressOf returns the progress of the fetch of a version.
func (f *weightFetcher) progressOf(t targetVersion) Progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.progress[t]
}

// newestComplete returns the newest version of a model of which every piece is held, or
// false.
func (f *weightFetcher) newestComplete(model string) (targetVersion, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best targetVersion
	for t, p := range f.progress {
		if t.model == model && p.Done() && t.version > best.version {
			best = t
		}
	}
	return best, best.version > 0
}

// retain drops all versions except the given one from memory.
func (f *weightFetcher) retain(t targetVersion) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for other := range f.progress {
		if other != t {
			delete(f.progress, other)
		}
	}
	f.options.Cache.Retain([]chunks.Digest{f.options.Namer.Name(t.model, t.version)})
}

func (f *weightFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		t, _ := f.currentTarget()
		if t.version == 0 || f.progressOf(t).Done() {
			select {
			case <-f.wake:
			case <-ctx.Done():
			}
			continue
		}
		f.fetch(ctx, t)
	}
}

// fetch fetches a version. The watcher cancels it if a newer target takes precedence.
func (f *weightFetcher) fetch(ctx context.Context, t targetVersion) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &fetchWatcher{fetcher: f, target: t, cancel: cancel}
	watcher := shell.NewGroup()
	watcher.Go(w.loop)
	defer watcher.Stop()
	name := f.options.Namer.Name(t.model, t.version)
	f.options.Cache.AllowUnverified(name)
	v, err := f.options.Fetcher.Manifest(ctx, name)
	if err == nil {
		f.reuseStaged(ctx, t, v)
		w.updateProgress()
		_, err = f.options.Fetcher.Fetch(ctx, name)
	}
	if err != nil {
		if ctx.Err() == nil {
			f.options.Log.Warn("fetch-failed", zap.Int("version", t.version), zap.Error(err))
			clocks.Sleep(ctx, fetchRetryBackoff)
		}
		return
	}
	w.updateProgress()
	p := f.progressOf(t)
	f.options.Log.Info("fetched", zap.String("model", t.model), zap.Int("version", t.version),
		zap.Int("pieces", p.Total), zap.Duration("took", p.LastArrival.Sub(p.StartedAt)))
}

// reuseStaged adds to the cache those staged pieces at the engine that belong to the
// version.
func (f *weightFetcher) reuseStaged(ctx context.Context, t targetVersion, v *cache.Version) {
	numbers, err := f.options.Engine.Staged(ctx, t.model)
	if err != nil {
		f.options.Log.Debug("staged-list-failed", zap.Error(err))
		return
	}
	reused := 0
	for i, n := range numbers {
		if n >= len(v.Sequence) || n < 0 {
			continue
		}
		data, err := f.options.Engine.ReadStaged(ctx, t.model, n)
		if err == nil {
			err = f.options.Cache.Add(v.Sequence[n], data)
		}
		if err == nil {
			reused++
		} else if i >= maxReuseMismatches && reused == 0 {
			// Another version is staged there.
			break
		}
	}
	if reused > 0 {
		f.options.Log.Info("staged-pieces-reused", zap.Int("version", t.version), zap.Int("pieces", reused), zap.Int("of", len(v.Sequence)))
	}
}

// maxReuseMismatches is the number of staged pieces that may belong to another version
// before the rest are skipped.
const maxReuseMismatches = 2

// fetchWatcher updates the progress of one fetch and cancels it if a newer target takes
// precedence.
type fetchWatcher struct {
	fetcher *weightFetcher
	target  targetVersion
	cancel  context.CancelFunc
}

func (w *fetchWatcher) loop(ctx context.Context) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		p := w.updateProgress()
		newest, since := w.fetcher.currentTarget()
		if newest != w.target && !finish.ShouldFinish(finish.Progress{
			Held: p.Held, Total: p.Total, Version: w.target.version, Newest: newest.version, SinceRelease: clocks.Since(since),
			Timeout: w.fetcher.options.VersionTimeout, LoadTime: w.fetcher.options.loadTime(newest.model),
		}) {
			w.cancel()
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateProgress counts the held pieces and returns the progress.
func (w *fetchWatcher) updateProgress() Progress {
	f := w.fetcher
	held, total := 0, 0
	if v, ok := f.options.Cache.Version(f.options.Namer.Name(w.target.model, w.target.version)); ok {
		for _, h := range f.options.Cache.Held(v) {
			total++
			if h {
				held++
			}
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := clocks.Now()
	p := f.progress[w.target]
	if p.StartedAt.IsZero() {
		p.StartedAt, p.LastArrival = now, now
	}
	if held != p.Held {
		p.LastArrival = now
	}
	p.Held, p.Total = held, total
	f.progress[w.target] = p
	return p
}

package loader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/shell"
)

// stageInterval is the time between two looks for pieces that don't lie staged any
// more.
const stageInterval = 200 * time.Millisecond

// job brings the pieces of one version to the engine: into the cache and into its
// stage.
type job struct {
	options Options
	goal    goal
	// name is that under which the manifest is kept.
	name  chunks.Digest
	group *shell.Group
	began time.Time

	mutex   sync.Mutex
	version *cache.Version
	// checked holds when each piece was last known to lie staged as it should.
	checked []time.Time
}

func newJob(o Options, g goal) *job {
	j := &job{options: o, goal: g, name: o.Names.Name(g.model, g.version), group: shell.NewGroup(), began: clocks.Now()}
	o.Cache.Name(j.name)
	return j
}

func (j *job) start(context.Context) { j.group.Go(j.run) }

func (j *job) stop() { j.group.Stop() }

// run fetches the version and stages each piece as it comes.
func (j *job) run(ctx context.Context) {
	v, err := j.options.Fetcher.Manifest(ctx, j.name)
	if err != nil {
		j.options.Log.Warn("manifest-missing", zap.Int("version", j.goal.version), zap.Error(err))
		return
	}
	j.mutex.Lock()
	j.version, j.checked = v, make([]time.Time, len(v.Pieces))
	j.mutex.Unlock()
	j.reuse(ctx, v)
	j.group.Go(j.loop)
	if _, err := j.options.Fetcher.Fetch(ctx, j.name); err != nil {
		if ctx.Err() == nil {
			j.options.Log.Warn("fetch-failed", zap.Int("version", j.goal.version), zap.Error(err))
		}
		return
	}
	j.options.Cache.Retain([]chunks.Digest{j.name})
	j.options.Log.Info("fetched", zap.String("model", j.goal.model), zap.Int("version", j.goal.version), zap.Duration("took", clocks.Since(j.began)))
}

// reuse takes staged pieces that are those of the version into the cache.
func (j *job) reuse(ctx context.Context, v *cache.Version) {
	numbers, err := j.options.Engine.Staged(ctx, j.goal.model)
	if err != nil {
		j.options.Log.Debug("stage-unread", zap.Error(err))
		return
	}
	found := 0
	for _, n := range numbers {
		if n >= len(v.Pieces) || n < 0 {
			continue
		}
		data, err := j.options.Engine.ReadStaged(ctx, j.goal.model, n)
		if err != nil || !chunks.Check(v.Pieces[n].Digest, data) {
			if n == 0 {
				// Another version lies there as a rule; looking on costs more
				// than it brings.
				break
			}
			continue
		}
		if err := j.options.Cache.Add(v.Pieces[n].Digest, data); err != nil {
			continue
		}
		found++
		j.mark(n)
	}
	if found > 0 {
		j.options.Log.Info("staged-found", zap.Int("version", j.goal.version), zap.Int("pieces", found), zap.Int("of", len(v.Pieces)))
	}
}

func (j *job) mark(n int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.checked[n] = clocks.Now()
}

// forget takes nothing for staged any more, since the engine has started anew.
func (j *job) forget() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	clear(j.checked)
}

// missing returns the pieces that aren't known to lie staged, or were checked too long
// ago.
func (j *job) missing(since time.Time) []int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var all []int
	for i, at := range j.checked {
		if at.IsZero() || at.Before(since) {
			all = append(all, i)
		}
	}
	return all
}

// loop stages pieces as they come into the cache.
func (j *job) loop(ctx context.Context) {
	t := time.NewTicker(stageInterval)
	defer t.Stop()
	for {
		changed := j.options.Cache.Changed()
		j.stage(ctx)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stage puts the pieces that have come and don't lie staged.
func (j *job) stage(ctx context.Context) {
	for _, n := range j.missing(time.Time{}) {
		if data, ok := j.options.Cache.Chunk(j.version.Pieces[n].Digest); ok {
			j.put(ctx, n, data)
		}
	}
}

func (j *job) put(ctx context.Context, n int, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := j.options.Engine.Stage(ctx, j.goal.model, n, data); err != nil {
		j.options.Log.Debug("piece-unstaged", zap.Int("piece", n), zap.Error(err))
		return false
	}
	j.mark(n)
	return true
}

// staged reports whether every piece was staged.
func (j *job) staged() bool {
	j.mutex.Lock()
	known := j.version != nil
	j.mutex.Unlock()
	return known && len(j.missing(time.Time{})) == 0
}

// check looks again at pieces that were checked too long ago and replaces those that
// have gone bad. It reports whether all are good.
func (j *job) check(ctx context.Context) bool {
	good := true
	for _, n := range j.missing(clocks.Now().Add(-checkedLife)) {
		want := j.version.Pieces[n].Digest
		data, err := j.options.Engine.ReadStaged(ctx, j.goal.model, n)
		if err == nil && chunks.Check(want, data) {
			j.mark(n)
			continue
		}
		j.options.Log.Warn("staged-bad", zap.Int("version", j.goal.version), zap.Int("piece", n), zap.Error(err))
		data, ok := j.options.Cache.Chunk(want)
		good = ok && j.put(ctx, n, data) && good
	}
	return good
}

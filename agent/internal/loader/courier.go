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
	// courierInterval is the time between two looks at how far a fetch has come.
	courierInterval = 40 * time.Millisecond
	// standstill is the time without a piece after which a fetch counts as stuck.
	standstill = 600 * time.Millisecond
	// fetchPause is the time before a fetch that failed is tried again.
	fetchPause = 200 * time.Millisecond
)

// Progress is how far the fetch of a version has come.
type Progress struct {
	Held  int
	Total int
	// StartedAt is when the first piece was awaited, Last when a piece came last.
	StartedAt   time.Time
	LastArrival time.Time
}

// Done reports whether every piece is there.
func (p Progress) Done() bool { return p.Total > 0 && p.Held == p.Total }

// TimeLeft returns how long the rest is expected to take, and false if nothing has come for
// a while.
func (p Progress) TimeLeft(now time.Time) (time.Duration, bool) {
	switch {
	case p.Done():
		return 0, true
	case p.Held == 0 || now.Sub(p.LastArrival) > standstill:
		return 0, false
	}
	each := p.LastArrival.Sub(p.StartedAt) / time.Duration(p.Held)
	return each * time.Duration(p.Total-p.Held), true
}

// courier brings versions into the cache, one at a time.
type courier struct {
	options Options
	group   *shell.Group
	wake    chan struct{}

	mutex sync.Mutex
	// wanted is the newest version, asked for at since.
	wanted   goal
	since    time.Time
	progress map[goal]Progress
}

func newCourier(o Options) (*courier, func()) {
	c := &courier{options: o, group: shell.NewGroup(), wake: make(chan struct{}, 1), progress: make(map[goal]Progress)}
	c.group.Go(c.run)
	return c, c.group.Stop
}

// want asks for a version. A version that is asked for later goes first, unless the one
// in progress has come far.
func (c *courier) want(g goal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wanted == g {
		return
	}
	c.wanted, c.since = g, clocks.Now()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *courier) target() (goal, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wanted, c.since
}

// of returns how far the fetch of a version has come.
func (c *courier) of(g goal) Progress {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.progress[g]
}

// newest returns the newest version of a model that is there whole, or false.
func (c *courier) newest(model string) (goal, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var best goal
	for g, p := range c.progress {
		if g.model == model && p.Done() && g.version > best.version {
			best = g
		}
	}
	return best, best.version > 0
}

// keep drops all versions but the given one from memory.
func (c *courier) keep(g goal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for other := range c.progress {
		if other != g {
			delete(c.progress, other)
		}
	}
	c.options.Cache.Retain([]chunks.Digest{c.options.Namer.Name(g.model, g.version)})
}

func (c *courier) run(ctx context.Context) {
	for ctx.Err() == nil {
		g, _ := c.target()
		if g.version == 0 || c.of(g).Done() {
			select {
			case <-c.wake:
			case <-ctx.Done():
			}
			continue
		}
		c.fetch(ctx, g)
	}
}

// fetch brings a version, or gives up if another one is wanted more.
func (c *courier) fetch(ctx context.Context, g goal) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fetching{courier: c, goal: g, cancel: cancel}
	watch := shell.NewGroup()
	watch.Go(f.loop)
	defer watch.Stop()
	name := c.options.Namer.Name(g.model, g.version)
	c.options.Cache.AllowUnverified(name)
	v, err := c.options.Fetcher.Manifest(ctx, name)
	if err == nil {
		c.reuse(ctx, g, v)
		f.look()
		_, err = c.options.Fetcher.Fetch(ctx, name)
	}
	if err != nil {
		if ctx.Err() == nil {
			c.options.Log.Warn("fetch-failed", zap.Int("version", g.version), zap.Error(err))
			clocks.Sleep(ctx, fetchPause)
		}
		return
	}
	f.look()
	p := c.of(g)
	c.options.Log.Info("fetched", zap.String("model", g.model), zap.Int("version", g.version),
		zap.Int("pieces", p.Total), zap.Duration("took", p.LastArrival.Sub(p.StartedAt)))
}

// reuse takes staged pieces that are those of the version into the cache.
func (c *courier) reuse(ctx context.Context, g goal, v *cache.Version) {
	numbers, err := c.options.Engine.Staged(ctx, g.model)
	if err != nil {
		c.options.Log.Debug("stage-unread", zap.Error(err))
		return
	}
	found := 0
	for i, n := range numbers {
		if n >= len(v.Pieces) || n < 0 {
			continue
		}
		data, err := c.options.Engine.ReadStaged(ctx, g.model, n)
		if err == nil {
			err = c.options.Cache.Add(v.Pieces[n].Digest, data)
		}
		if err == nil {
			found++
		} else if i >= reuseTries && found == 0 {
			// Another version lies there.
			break
		}
	}
	if found > 0 {
		c.options.Log.Info("staged-found", zap.Int("version", g.version), zap.Int("pieces", found), zap.Int("of", len(v.Pieces)))
	}
}

// reuseTries is the number of staged pieces that may not fit before the others aren't
// looked at.
const reuseTries = 2

// fetching watches one fetch.
type fetching struct {
	courier *courier
	goal    goal
	cancel  context.CancelFunc
}

func (f *fetching) loop(ctx context.Context) {
	t := time.NewTicker(courierInterval)
	defer t.Stop()
	for {
		p := f.look()
		newest, since := f.courier.target()
		if newest != f.goal && !finish.ShouldFinish(finish.Progress{
			Held: p.Held, Total: p.Total, Version: f.goal.version, Newest: newest.version, SinceRelease: clocks.Since(since),
		}) {
			f.cancel()
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// look counts the pieces that have come.
func (f *fetching) look() Progress {
	c := f.courier
	held, total := 0, 0
	if v, ok := c.options.Cache.Version(c.options.Namer.Name(f.goal.model, f.goal.version)); ok {
		for _, h := range c.options.Cache.Held(v) {
			total++
			if h {
				held++
			}
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := clocks.Now()
	p := c.progress[f.goal]
	if p.StartedAt.IsZero() {
		p.StartedAt, p.LastArrival = now, now
	}
	if held != p.Held {
		p.LastArrival = now
	}
	p.Held, p.Total = held, total
	c.progress[f.goal] = p
	return p
}

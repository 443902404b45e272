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

// stageInterval is the time between two looks for pieces that don't lie staged.
const stageInterval = 200 * time.Millisecond

// stage is what lies staged at the engine. There is room for one version of a model.
type stage struct {
	options Options

	mutex sync.Mutex
	goal  goal
	// checked holds when each piece of the goal was last known to lie staged as it
	// should.
	checked []time.Time
}

func newStage(o Options) (*stage, func()) {
	s := &stage{options: o}
	g := shell.NewGroup()
	g.Go(s.loop)
	return s, g.Stop
}

// aim decides which version is staged.
func (s *stage) aim(g goal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.goal != g {
		s.goal, s.checked = g, nil
	}
}

// forget takes nothing for staged any more, since the engine has started anew.
func (s *stage) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checked = nil
}

// version returns what is staged. It is nil while the manifest isn't there.
func (s *stage) version() (goal, *cache.Version) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.goal.version == 0 {
		return s.goal, nil
	}
	v, ok := s.options.Cache.Version(s.options.Namer.Name(s.goal.model, s.goal.version))
	if !ok {
		return s.goal, nil
	}
	if len(s.checked) != len(v.Pieces) {
		s.checked = make([]time.Time, len(v.Pieces))
	}
	return s.goal, v
}

// missing returns the pieces that aren't known to lie staged, or were checked before
// the given time.
func (s *stage) missing(since time.Time) []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []int
	for i, at := range s.checked {
		if at.IsZero() || at.Before(since) {
			all = append(all, i)
		}
	}
	return all
}

func (s *stage) mark(g goal, n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.goal == g && n < len(s.checked) {
		s.checked[n] = clocks.Now()
	}
}

// loop stages pieces as they come into the cache.
func (s *stage) loop(ctx context.Context) {
	t := time.NewTicker(stageInterval)
	defer t.Stop()
	for {
		changed := s.options.Cache.Changed()
		s.fill(ctx)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// fill puts the pieces that have come and don't lie staged.
func (s *stage) fill(ctx context.Context) {
	g, v := s.version()
	if v == nil {
		return
	}
	for _, n := range s.missing(time.Time{}) {
		if data, ok := s.options.Cache.Chunk(v.Pieces[n].Digest); ok {
			s.put(ctx, g, n, data)
		}
	}
}

func (s *stage) put(ctx context.Context, g goal, n int, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.options.Engine.Stage(ctx, g.model, n, data); err != nil {
		s.options.Log.Debug("piece-unstaged", zap.Int("piece", n), zap.Error(err))
		return false
	}
	s.mark(g, n)
	return true
}

// holds reports whether every piece of the version was staged.
func (s *stage) holds(g goal) bool {
	current, v := s.version()
	return v != nil && current == g && len(s.missing(time.Time{})) == 0
}

// check looks again at pieces that were checked too long ago and replaces those that
// have gone bad. It reports whether all are good.
func (s *stage) check(ctx context.Context) bool {
	g, v := s.version()
	if v == nil {
		return false
	}
	good := true
	for _, n := range s.missing(clocks.Now().Add(-checkedLife)) {
		want := v.Pieces[n].Digest
		data, err := s.options.Engine.ReadStaged(ctx, g.model, n)
		if err == nil && chunks.Verify(want, data) {
			s.mark(g, n)
			continue
		}
		s.options.Log.Warn("staged-bad", zap.Int("version", g.version), zap.Int("piece", n), zap.Error(err))
		data, ok := s.options.Cache.Chunk(want)
		good = ok && s.put(ctx, g, n, data) && good
	}
	return good
}

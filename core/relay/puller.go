package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
)

// puller pulls from one feed at a time.
type puller struct {
	node  *Node
	index int

	mutex  sync.Mutex
	feed   hosts.Name
	cancel context.CancelFunc
	// kicked tells that the feed may lack what the process holds.
	kicked bool
}

// kick ends the poll under way, so that the feed is asked again at once.
func (s *puller) kick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.kicked = true
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		feed, ok := s.choose()
		if !ok {
			s.node.pause(ctx, tickInterval, s.node.state.Changed())
			continue
		}
		s.poll(ctx, feed)
		s.node.pause(ctx, pollSpacing, nil)
	}
}

func (s *puller) choose() (hosts.Host, bool) {
	feeds, width := s.node.state.Topology().Feeds()
	if s.index >= width {
		s.use("")
		return hosts.Host{}, false
	}
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	used := make(map[hosts.Name]bool)
	for _, o := range s.node.pullers {
		if o != s {
			used[o.using()] = true
		}
	}
	feed, ok := s.node.chooser.next(feeds, used, time.Now())
	s.use(feed.Name)
	return feed, ok
}

func (s *puller) using() hosts.Name {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.feed
}

func (s *puller) use(feed hosts.Name) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.feed = feed
}

func (s *puller) poll(ctx context.Context, feed hosts.Host) {
	pollContext, kicked := s.begin(ctx)
	wait, limit := holdTime, holdLimit
	if kicked {
		wait, limit = 0, callLimit
	}
	changed, reply, err := s.node.ask(pollContext, feed, wait, limit)
	interrupted := s.end()
	now := time.Now()
	if err != nil {
		if !interrupted && ctx.Err() == nil {
			s.node.options.Log.Warn("feed-silent", zap.String("host", string(feed.Name)), zap.Error(err))
			s.node.judge(feed.Name, false, now)
		}
		return
	}
	s.node.heard.Store(now.UnixNano())
	s.node.judge(feed.Name, !reply.Cut, now)
	if changed {
		s.node.kick(s)
	}
}

// begin returns the context of a poll that a kick ends, and whether a kick came
// before.
func (s *puller) begin(ctx context.Context) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, s.cancel = context.WithCancel(ctx)
	kicked := s.kicked
	s.kicked = false
	return ctx, kicked
}

// end releases the context of the poll and reports whether it was kicked.
func (s *puller) end() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kicked := s.kicked
	s.cancel()
	s.cancel = nil
	return kicked
}

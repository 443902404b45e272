package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/hosts"
)

// puller polls one feed at a time.
type puller struct {
	node *Node
	// index is the puller's position among those of the node. It is idle unless the
	// topology uses more feeds than that.
	index int

	mutex  sync.Mutex
	feed   hosts.Name
	cancel context.CancelFunc
	// repollRequested is set if the feed may lack what the process holds.
	repollRequested bool
}

// repoll ends the current poll, so that the feed gets a new request at once.
func (s *puller) repoll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.repollRequested = true
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		feed, ok := s.selectFeed()
		if !ok {
			s.node.wait(ctx, tickInterval, s.node.state.Changed())
			continue
		}
		s.poll(ctx, feed)
		s.node.wait(ctx, minPollInterval, nil)
	}
}

func (s *puller) selectFeed() (hosts.Host, bool) {
	feeds, count := s.node.state.Topology().Feeds()
	if s.index >= count {
		s.setFeed("")
		return hosts.Host{}, false
	}
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	used := make(map[hosts.Name]bool)
	for _, o := range s.node.pullers {
		if o != s {
			used[o.currentFeed()] = true
		}
	}
	feed, ok := s.node.selector.next(feeds, used, time.Now())
	s.setFeed(feed.Name)
	return feed, ok
}

func (s *puller) currentFeed() hosts.Name {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.feed
}

func (s *puller) setFeed(feed hosts.Name) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.feed = feed
}

func (s *puller) poll(ctx context.Context, feed hosts.Host) {
	pollCtx, repoll := s.startPoll(ctx)
	wait, timeout := holdTimeout, heldCallTimeout
	if repoll {
		wait, timeout = 0, callTimeout
	}
	changed, reply, err := s.node.pull(pollCtx, feed, wait, timeout)
	interrupted := s.endPoll()
	now := time.Now()
	if err != nil {
		if !interrupted && ctx.Err() == nil {
			s.node.options.Log.Warn("feed-failed", zap.String("host", string(feed.Name)), zap.Error(err))
			s.node.recordFeedResult(feed.Name, false, now)
		}
		return
	}
	s.node.lastReply.Store(now.UnixNano())
	s.node.recordFeedResult(feed.Name, !reply.Cut, now)
	if changed {
		s.node.repollFeeds(s)
	}
}

// startPoll returns the context of a poll, which repoll cancels, and whether repoll
// was called since the last poll started.
func (s *puller) startPoll(ctx context.Context) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ctx, s.cancel = context.WithCancel(ctx)
	repoll := s.repollRequested
	s.repollRequested = false
	return ctx, repoll
}

// endPoll releases the context of the poll and reports whether repoll canceled it.
func (s *puller) endPoll() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	repoll := s.repollRequested
	s.cancel()
	s.cancel = nil
	return repoll
}

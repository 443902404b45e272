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
func (p *puller) repoll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.repollRequested = true
	if p.cancel != nil {
		p.cancel()
	}
}

func (p *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		feed, ok := p.selectFeed()
		if !ok {
			p.node.wait(ctx, tickInterval, p.node.state.Changed())
			continue
		}
		p.poll(ctx, feed)
		p.node.wait(ctx, minPollInterval, nil)
	}
}

func (p *puller) selectFeed() (hosts.Host, bool) {
	feeds, count := p.node.state.Topology().Feeds()
	if p.index >= count {
		p.setFeed("")
		return hosts.Host{}, false
	}
	p.node.mutex.Lock()
	defer p.node.mutex.Unlock()
	used := make(map[hosts.Name]bool)
	for _, o := range p.node.pullers {
		if o != p {
			used[o.currentFeed()] = true
		}
	}
	feed, ok := p.node.selector.next(feeds, used, time.Now())
	p.setFeed(feed.Name)
	return feed, ok
}

func (p *puller) currentFeed() hosts.Name {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.feed
}

func (p *puller) setFeed(feed hosts.Name) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.feed = feed
}

func (p *puller) poll(ctx context.Context, feed hosts.Host) {
	pollCtx, repoll := p.startPoll(ctx)
	wait, timeout := holdTimeout, heldCallTimeout
	if repoll {
		wait, timeout = 0, callTimeout
	}
	changed, reply, err := p.node.pull(pollCtx, feed, wait, timeout)
	interrupted := p.endPoll()
	now := time.Now()
	if err != nil {
		if !interrupted && ctx.Err() == nil {
			p.node.options.Log.Warn("feed-failed", zap.String("host", string(feed.Name)), zap.Error(err))
			p.node.recordFeedResult(feed.Name, false, now)
		}
		return
	}
	p.node.lastReply.Store(now.UnixNano())
	p.node.recordFeedResult(feed.Name, !reply.Cut, now)
	if changed {
		p.node.repollFeeds(p)
	}
}

// startPoll returns the context of a poll, which repoll cancels, and whether repoll
// was called since the last poll started.
func (p *puller) startPoll(ctx context.Context) (context.Context, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ctx, p.cancel = context.WithCancel(ctx)
	repoll := p.repollRequested
	p.repollRequested = false
	return ctx, repoll
}

// endPoll releases the context of the poll and reports whether repoll canceled it.
func (p *puller) endPoll() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	repoll := p.repollRequested
	p.cancel()
	p.cancel = nil
	return repoll
}

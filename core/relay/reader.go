package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/tables"
)

const (
	// watchLimit ends a watch. A watch that has gone silent is found by it.
	watchLimit = 1500 * time.Millisecond
	// slowLimit ends every slowTurn-th watch, so that a slow service is read.
	slowLimit = 6 * time.Second
	slowTurn  = 4
	// readSpacing is the least time between two reads of one table.
	readSpacing  = 500 * time.Millisecond
	failureWait  = time.Second
	listInterval = 2 * time.Second
	listLimit    = 2 * time.Second
)

// watcher reads one table while that is the duty of the process.
type watcher struct {
	node *Node
	kind tables.Kind
	// shown is the revision that the service showed last.
	shown tables.Revision
	// answered tells that the service has shown one.
	answered bool
	turn     int
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		news := w.node.state.Changed()
		if !w.isDue() {
			w.node.pause(ctx, tickInterval, news)
			continue
		}
		w.turn++
		limit := watchLimit
		if w.turn%slowTurn == 0 {
			limit = slowLimit
		}
		start := time.Now()
		if !w.readOnce(ctx, limit) {
			w.node.pause(ctx, failureWait+rand.N(failureWait), nil)
		} else if spent := time.Since(start); spent < readSpacing {
			w.node.pause(ctx, readSpacing-spent, nil)
		}
	}
}

func (w *watcher) isDue() bool {
	revision, quiet := w.node.state.Revision(w.kind, time.Now())
	return w.node.state.Topology().ReadsTable(w.kind, revision, quiet)
}

// readOnce waits for a newer value for at most the given time. It reports
// whether the service answered or was still waiting.
func (w *watcher) readOnce(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n := w.node
	seen := n.state.HandledRevision(w.kind)
	if w.answered && w.shown < seen {
		seen = w.shown
	}
	n.reads.Add(1)
	v, err := n.options.TableSource.Watch(ctx, w.kind, seen)
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	if err != nil {
		n.options.Log.Warn("table-unread", zap.String("table", string(w.kind)), zap.Error(err))
		return false
	}
	w.shown, w.answered = v.Revision, true
	news := n.state.Changed()
	n.record(n.state.ApplyValue(w.kind, v, time.Now()))
	select {
	case <-news:
		n.kick(nil)
	default:
	}
	return true
}

// lister reads the list of hosts while that is the duty of the process.
type lister struct{ node *Node }

func (l *lister) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.node.state.Topology().ReadsHosts(time.Now()) {
			l.node.readList(ctx)
		}
		l.node.pause(ctx, listInterval, nil)
	}
}

func (n *Node) readList(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	n.reads.Add(1)
	read, err := n.options.HostSource.Hosts(limited)
	if err != nil {
		n.options.Log.Warn("hosts-unread", zap.Error(err))
		return
	}
	news := n.state.Changed()
	late, events := n.state.MergeHosts(read, time.Now())
	n.record(events)
	for _, h := range late {
		_, _, err := n.ask(ctx, h, 0, callLimit)
		n.record(n.state.ResolveMissing(h.Name, err == nil, time.Now()))
	}
	select {
	case <-news:
		n.kick(nil)
	default:
	}
}

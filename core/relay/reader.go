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
	// watchTimeout ends a watch, so that a watch that hangs is replaced.
	watchTimeout = 1500 * time.Millisecond
	// slowWatchTimeout ends every slowWatchEvery-th watch, so that a slow service can
	// respond too.
	slowWatchTimeout = 6 * time.Second
	slowWatchEvery   = 4
	// minReadInterval is the minimum time between two reads of one table.
	minReadInterval    = 500 * time.Millisecond
	readFailureBackoff = time.Second
	hostReadInterval   = 2 * time.Second
	hostReadTimeout    = 2 * time.Second
)

// tableReader reads one table while the topology assigns that to the process.
type tableReader struct {
	node *Node
	kind tables.Kind
	// lastRevision is the revision that the service returned last.
	lastRevision tables.Revision
	// hasResponded is set once the service has returned one.
	hasResponded bool
	watches      int
}

func (w *tableReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.node.state.Changed()
		if !w.isDue() {
			w.node.wait(ctx, tickInterval, changed)
			continue
		}
		w.watches++
		timeout := watchTimeout
		if w.watches%slowWatchEvery == 0 {
			timeout = slowWatchTimeout
		}
		start := time.Now()
		if !w.readOnce(ctx, timeout) {
			w.node.wait(ctx, readFailureBackoff+rand.N(readFailureBackoff), nil)
		} else if spent := time.Since(start); spent < minReadInterval {
			w.node.wait(ctx, minReadInterval-spent, nil)
		}
	}
}

func (w *tableReader) isDue() bool {
	revision, unchanged := w.node.state.Revision(w.kind, time.Now())
	return w.node.state.Topology().ReadsTable(w.kind, revision, unchanged)
}

// readOnce waits for a newer value until the timeout. It returns false if the service
// failed, and true if it responded or the watch was still open.
func (w *tableReader) readOnce(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n := w.node
	known := n.state.HandledRevision(w.kind)
	// A stale service returns its older value at once, again and again, unless the
	// watch starts from that value.
	if w.hasResponded && w.lastRevision < known {
		known = w.lastRevision
	}
	n.reads.Add(1)
	v, err := n.options.TableSource.Watch(ctx, w.kind, known)
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	if err != nil {
		n.options.Log.Warn("table-read-failed", zap.String("table", string(w.kind)), zap.Error(err))
		return false
	}
	w.lastRevision, w.hasResponded = v.Revision, true
	changed := n.state.Changed()
	n.record(n.state.ApplyValue(w.kind, v, time.Now()))
	select {
	case <-changed:
		n.repollFeeds(nil)
	default:
	}
	return true
}

// hostReader reads the list of hosts while the topology assigns that to the process.
type hostReader struct{ node *Node }

func (l *hostReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.node.state.Topology().ReadsHosts(time.Now()) {
			l.node.readHosts(ctx)
		}
		l.node.wait(ctx, hostReadInterval, nil)
	}
}

// readHosts reads and merges the list of hosts once, and probes the hosts that have
// been missing for long.
func (n *Node) readHosts(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, hostReadTimeout)
	defer cancel()
	n.reads.Add(1)
	read, err := n.options.HostSource.Hosts(readCtx)
	if err != nil {
		n.options.Log.Warn("hosts-read-failed", zap.Error(err))
		return
	}
	changed := n.state.Changed()
	missing, events := n.state.MergeHosts(read, time.Now())
	n.record(events)
	for _, h := range missing {
		_, _, err := n.pull(ctx, h, 0, callTimeout)
		n.record(n.state.ResolveMissing(h.Name, err == nil, time.Now()))
	}
	select {
	case <-changed:
		n.repollFeeds(nil)
	default:
	}
}

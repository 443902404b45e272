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

func (r *tableReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.node.state.Changed()
		if !r.isDue() {
			r.node.wait(ctx, tickInterval, changed)
			continue
		}
		r.watches++
		timeout := watchTimeout
		if r.watches%slowWatchEvery == 0 {
			timeout = slowWatchTimeout
		}
		start := time.Now()
		if !r.readOnce(ctx, timeout) {
			r.node.wait(ctx, readFailureBackoff+rand.N(readFailureBackoff), nil)
		} else if spent := time.Since(start); spent < minReadInterval {
			r.node.wait(ctx, minReadInterval-spent, nil)
		}
	}
}

func (r *tableReader) isDue() bool {
	revision, unchanged := r.node.state.Revision(r.kind, time.Now())
	return r.node.state.Topology().ReadsTable(r.kind, revision, unchanged)
}

// readOnce waits for a newer value until the timeout. It returns false if the service
// failed, and true if it responded or the watch was still open.
func (r *tableReader) readOnce(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n := r.node
	known := n.state.HandledRevision(r.kind)
	// A stale service returns its older value at once, again and again, unless the
	// watch starts from that value.
	if r.hasResponded && r.lastRevision < known {
		known = r.lastRevision
	}
	n.reads.Add(1)
	v, err := n.options.TableSource.Watch(ctx, r.kind, known)
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	if err != nil {
		n.options.Log.Warn("table-read-failed", zap.String("table", string(r.kind)), zap.Error(err))
		return false
	}
	r.lastRevision, r.hasResponded = v.Revision, true
	changed := n.state.Changed()
	n.record(n.state.ApplyValue(r.kind, v, time.Now()))
	select {
	case <-changed:
		n.repollFeeds(nil)
	default:
	}
	return true
}

// hostReader reads the list of hosts while the topology assigns that to the process.
type hostReader struct{ node *Node }

func (r *hostReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.node.state.Topology().ReadsHosts(time.Now()) {
			r.node.readHosts(ctx)
		}
		r.node.wait(ctx, hostReadInterval, nil)
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

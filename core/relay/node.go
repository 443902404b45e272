package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/rings"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	tickInterval = 250 * time.Millisecond
	// holdTimeout is how long a feed may hold its reply while it has nothing new.
	holdTimeout = 1500 * time.Millisecond
	// heldCallTimeout bounds a call whose reply may be held; it exceeds holdTimeout by
	// the time for the transfer.
	heldCallTimeout = 1700 * time.Millisecond
	// callTimeout bounds a call whose reply isn't held.
	callTimeout = 750 * time.Millisecond
	// minPollInterval is the minimum time between two polls of a feed.
	minPollInterval = 100 * time.Millisecond
	// isolationTimeout is the time without a reply of any feed after which a process
	// counts as isolated.
	isolationTimeout = 5 * time.Second
	// probeInterval is the time between two probes of the feeds that are skipped after
	// a failure.
	probeInterval      = 1500 * time.Millisecond
	aheadQueueCapacity = 64
)

// Options configure a node.
type Options struct {
	Self   Self
	Active *tables.Active
	Roster RosterSetter
	// TableSource and HostSource read the platform.
	TableSource tables.Source
	HostSource  hosts.Source
	Client      Client
	// Processes is the number of processes of the fleet by the settings. It spaces the
	// first direct reads of processes that start together.
	Processes int
	Trail     *audit.Trail
	Log       *zap.Logger
}

// Node runs the relay of one process. It implements wire.RelayHandler.
type Node struct {
	options    Options
	state      *State
	aheadHosts *rings.Ring[hosts.Name]
	pullers    []*puller
	group      *shell.Group
	// lastReply is when another process last replied, in Unix nanoseconds.
	lastReply atomic.Int64
	// reads counts the calls to the platform.
	reads atomic.Int64

	mutex    sync.Mutex
	selector *feedSelector
}

// NewNode returns a node that runs until the clean-up function is called.
func NewNode(o Options) (*Node, func()) {
	now := time.Now()
	n := &Node{
		options: o, state: NewState(o.Self, o.Active, o.Roster, now),
		aheadHosts: rings.New[hosts.Name](aheadQueueCapacity), selector: newFeedSelector(),
	}
	n.lastReply.Store(now.UnixNano())
	n.pullers = []*puller{{node: n, index: 0}, {node: n, index: 1}}
	g := shell.NewGroup()
	n.group = g
	g.Go((&supervisor{node: n}).run)
	g.Go((&reversePuller{node: n}).run)
	g.Go(n.pullers[0].run)
	if o.Self.Role == hosts.RoleEntry {
		g.Go(n.pullers[1].run)
		g.Go((&tableReader{node: n, kind: tables.KindRoutes}).run)
		g.Go((&tableReader{node: n, kind: tables.KindPools}).run)
		g.Go((&hostReader{node: n}).run)
	}
	return n, g.Stop
}

// IsCurrent reports whether the process may act on what it holds: it has caught up
// with other processes since it last started or resumed.
func (n *Node) IsCurrent() bool { return n.state.IsCurrent(time.Now()) }

// Report adds the state of the relay to the status of the process.
func (n *Node) Report(s *wire.StatusReply) {
	now := time.Now()
	s.Marks = n.state.Marks()
	s.Reads = uint64(n.reads.Load())
	s.Fresh = n.state.IsCurrent(now)
	s.Cut = n.isIsolated(now)
	for _, h := range n.state.List().All() {
		if h.State != hosts.StateLive && n.options.Self.Role == hosts.RoleEntry {
			s.Hosts = append(s.Hosts, &wire.HostRow{Name: string(h.Name), Region: string(h.Place.Region), Domain: string(h.Place.Domain), State: string(h.State)})
		}
	}
}

// isIsolated reports whether there are feeds but none has replied for
// isolationTimeout.
func (n *Node) isIsolated(now time.Time) bool {
	feeds, _ := n.state.Topology().Feeds()
	return len(feeds) > 0 && now.Sub(time.Unix(0, n.lastReply.Load())) > isolationTimeout
}

// pull sends one request and applies the reply. The receiver may hold the reply for
// wait; the call ends at timeout. It reports whether the reply changed a table.
func (n *Node) pull(ctx context.Context, to hosts.Host, wait, timeout time.Duration) (bool, *wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	reply, err := n.options.Client.Sync(ctx, to, n.state.BuildRequest(wait))
	if err != nil {
		return false, nil, err
	}
	changed := n.state.Changed()
	n.record(n.state.ApplyReply(to.Name, reply, sent, time.Now()))
	n.state.active.Confirm(sent)
	select {
	case <-changed:
		return true, reply, nil
	default:
		return false, reply, nil
	}
}

func (n *Node) record(events []Event) {
	for _, e := range events {
		n.options.Trail.Add(e.Event, string(e.Table), e.Cause, audit.Revision(e.Revision))
	}
}

// recordFeedResult records whether a feed replied and isn't isolated itself.
func (n *Node) recordFeedResult(feed hosts.Name, good bool, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if good {
		n.selector.recordSuccess(feed)
		return
	}
	n.selector.recordFailure(feed, now)
}

// repollFeeds makes the pullers except the given one send a new request at once, so
// that their feeds see that the process holds newer data.
func (n *Node) repollFeeds(except *puller) {
	for _, s := range n.pullers {
		if s != except {
			s.repoll()
		}
	}
}

// wait returns after d, or once changed is closed or the context ends.
func (n *Node) wait(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// reversePuller pulls from processes whose requests showed that they are ahead.
type reversePuller struct{ node *Node }

func (p *reversePuller) run(ctx context.Context) {
	for {
		name, ok := p.node.aheadHosts.Receive(ctx)
		if !ok {
			return
		}
		to, found := p.node.state.List().Find(name)
		if !found {
			continue
		}
		changed, _, err := p.node.pull(ctx, to, 0, callTimeout)
		if err != nil {
			p.node.options.Log.Debug("reverse-pull-failed", zap.String("host", string(name)), zap.Error(err))
		}
		if changed {
			p.node.repollFeeds(nil)
		}
	}
}

// supervisor detects pauses of the process, pulls from the start peers after a start
// or a pause, probes skipped feeds, and reads the platform directly while the process
// is isolated.
type supervisor struct {
	node  *Node
	pacer readPacer
	// lastCatchUp is when the process last pulled from the start peers.
	lastCatchUp time.Time
	// lastProbe is when the skipped feeds were last probed.
	lastProbe time.Time
}

func (s *supervisor) run(ctx context.Context) {
	s.pacer.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		now := time.Now()
		if s.node.state.Tick(now) {
			s.lastCatchUp = time.Time{}
			s.node.lastReply.Store(now.UnixNano())
			s.node.repollFeeds(nil)
		}
		if !s.node.state.IsCurrent(now) && now.Sub(s.lastCatchUp) >= callTimeout {
			s.lastCatchUp = now
			s.pullFromStartPeers()
		}
		if now.Sub(s.lastProbe) >= probeInterval {
			s.lastProbe = now
			s.probeSkipped(now)
		}
		s.readPlatform(now)
		s.node.wait(ctx, tickInterval, nil)
	}
}

func (s *supervisor) pullFromStartPeers() {
	for _, p := range s.node.state.Topology().startPeers {
		s.node.group.Go((&singlePull{node: s.node, to: p}).run)
	}
}

// probeSkipped sends a request to each skipped feed, so that the end of a partition is
// detected before the failureBackoff is over.
func (s *supervisor) probeSkipped(now time.Time) {
	feeds, _ := s.node.state.Topology().Feeds()
	s.node.mutex.Lock()
	defer s.node.mutex.Unlock()
	for _, f := range s.node.selector.skipped(feeds, now) {
		s.node.group.Go((&singlePull{node: s.node, to: f}).run)
	}
}

// singlePull pulls once from one process.
type singlePull struct {
	node *Node
	to   hosts.Host
}

func (p *singlePull) run(ctx context.Context) {
	changed, reply, err := p.node.pull(ctx, p.to, 0, callTimeout)
	if err == nil {
		p.node.lastReply.Store(time.Now().UnixNano())
	}
	if err == nil && !reply.Cut {
		p.node.recordFeedResult(p.to.Name, true, time.Now())
	}
	if changed {
		p.node.repollFeeds(nil)
	}
}

// readPlatform reads the list of hosts while none is known, and the tables too while
// no other process replies.
func (s *supervisor) readPlatform(now time.Time) {
	n := s.node
	list := n.state.List()
	isolated := n.isIsolated(now)
	if list.Len() > 0 && !isolated {
		s.pacer.nextRead = time.Time{}
		return
	}
	// Without a list of hosts, a direct read makes one call in place of callsPerRead.
	s.pacer.processes = n.options.Processes/callsPerRead + 1
	if list.Len() > 0 {
		s.pacer.processes = list.Len()
	}
	if !s.pacer.allow(now) {
		return
	}
	n.group.Go((&directReader{node: n, readsTables: isolated}).run)
}

// directReader reads the platform once, outside the topology.
type directReader struct {
	node        *Node
	readsTables bool
}

func (d *directReader) run(ctx context.Context) {
	d.node.readHosts(ctx)
	if !d.readsTables {
		return
	}
	if d.node.options.Self.Role == hosts.RoleEntry {
		(&tableReader{node: d.node, kind: tables.KindRoutes}).readOnce(ctx, watchTimeout)
	}
	(&tableReader{node: d.node, kind: tables.KindPools}).readOnce(ctx, watchTimeout)
}

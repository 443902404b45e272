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
	// holdTime is how long a feed may hold its reply, holdLimit when the reply
	// counts as lost.
	holdTime  = 1500 * time.Millisecond
	holdLimit = 1700 * time.Millisecond
	// callLimit bounds a call whose reply isn't held.
	callLimit = 750 * time.Millisecond
	// pollSpacing is the least time between two polls of a feed.
	pollSpacing = 100 * time.Millisecond
	// cutLimit is the silence of all feeds after which a process is cut off.
	cutLimit = 5 * time.Second
	// probeInterval is the time between two calls to feeds that are passed over.
	probeInterval = 1500 * time.Millisecond
	hintRoom      = 64
)

// Options are the parts of a node.
type Options struct {
	Self   Self
	Active *tables.Active
	Roster RosterSetter
	// TableSource and Hosts read the platform.
	TableSource tables.Source
	HostSource  hosts.Source
	Client      Client
	// Processes is the number of processes of the fleet as far as the settings
	// tell. It spaces the first reads of processes that start together.
	Processes int
	Trail     *audit.Trail
	Log       *zap.Logger
}

// Node runs the relay of one process. It implements wire.RelayHandler.
type Node struct {
	options Options
	state   *State
	hints   *rings.Ring[hosts.Name]
	pullers []*puller
	group   *shell.Group
	// heard is when another process last answered, in Unix nanoseconds.
	heard atomic.Int64
	// reads counts the calls to the platform.
	reads atomic.Int64

	mutex   sync.Mutex
	chooser *chooser
}

// NewNode returns a node that runs until the clean-up function is called.
func NewNode(o Options) (*Node, func()) {
	now := time.Now()
	n := &Node{
		options: o, state: NewState(o.Self, o.Active, o.Roster, now),
		hints: rings.New[hosts.Name](hintRoom), chooser: newChooser(),
	}
	n.heard.Store(now.UnixNano())
	n.pullers = []*puller{{node: n, index: 0}, {node: n, index: 1}}
	g := shell.NewGroup()
	n.group = g
	g.Go((&ticker{node: n}).run)
	g.Go((&hinter{node: n}).run)
	g.Go(n.pullers[0].run)
	if o.Self.Role == hosts.RoleEntry {
		g.Go(n.pullers[1].run)
		g.Go((&watcher{node: n, kind: tables.KindRoutes}).run)
		g.Go((&watcher{node: n, kind: tables.KindPools}).run)
		g.Go((&lister{node: n}).run)
	}
	return n, g.Stop
}

// IsCurrent reports whether the process may decide by what it holds now.
func (n *Node) IsCurrent() bool { return n.state.IsCurrent(time.Now()) }

// Report adds what the relay knows to the status of the process.
func (n *Node) Report(s *wire.StatusReply) {
	now := time.Now()
	s.Marks = n.state.Marks()
	s.Reads = uint64(n.reads.Load())
	s.Fresh = n.state.IsCurrent(now)
	s.Cut = n.isCut(now)
	for _, h := range n.state.List().All() {
		if h.State != hosts.StateLive && n.options.Self.Role == hosts.RoleEntry {
			s.Hosts = append(s.Hosts, &wire.HostRow{Name: string(h.Name), Region: string(h.Place.Region), Domain: string(h.Place.Domain), State: string(h.State)})
		}
	}
}

// isCut reports whether no feed has answered for cutLimit although there are
// feeds.
func (n *Node) isCut(now time.Time) bool {
	feeds, _ := n.state.Topology().Feeds()
	return len(feeds) > 0 && now.Sub(time.Unix(0, n.heard.Load())) > cutLimit
}

// ask sends one request and takes the reply in. It reports whether the process
// holds something new by it.
func (n *Node) ask(ctx context.Context, to hosts.Host, wait, limit time.Duration) (bool, *wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	reply, err := n.options.Client.Sync(ctx, to, n.state.BuildRequest(wait))
	if err != nil {
		return false, nil, err
	}
	news := n.state.Changed()
	n.record(n.state.ApplyReply(to.Name, reply, sent, time.Now()))
	n.state.force.Confirm(sent)
	select {
	case <-news:
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

// judge records whether a feed answered with what others hold.
func (n *Node) judge(feed hosts.Name, good bool, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if good {
		n.chooser.succeed(feed)
		return
	}
	n.chooser.fail(feed, now)
}

// kick makes the pullers ask again at once, so that their feeds learn what the
// process has got from elsewhere.
func (n *Node) kick(except *puller) {
	for _, s := range n.pullers {
		if s != except {
			s.kick()
		}
	}
}

// pause waits, or returns early once a table changes.
func (n *Node) pause(ctx context.Context, d time.Duration, news <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-news:
	case <-ctx.Done():
	}
}

// hinter asks processes back whose marks were ahead.
type hinter struct{ node *Node }

func (h *hinter) run(ctx context.Context) {
	for {
		name, ok := h.node.hints.Receive(ctx)
		if !ok {
			return
		}
		to, found := h.node.state.List().Find(name)
		if !found {
			continue
		}
		changed, _, err := h.node.ask(ctx, to, 0, callLimit)
		if err != nil {
			h.node.options.Log.Debug("hint-failed", zap.String("host", string(name)), zap.Error(err))
		}
		if changed {
			h.node.kick(nil)
		}
	}
}

// ticker watches for pauses, asks others after a start or a pause, and reads
// the platform directly while the process is cut off.
type ticker struct {
	node   *Node
	budget budget
	// asked is when other processes were last asked for the sake of readiness.
	asked time.Time
	// probed is when the feeds that are passed over were last asked.
	probed time.Time
}

func (t *ticker) run(ctx context.Context) {
	t.budget.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		now := time.Now()
		if t.node.state.Tick(now) {
			t.asked = time.Time{}
			t.node.heard.Store(now.UnixNano())
			t.node.kick(nil)
		}
		if !t.node.state.IsCurrent(now) && now.Sub(t.asked) >= callLimit {
			t.asked = now
			t.askOthers()
		}
		if now.Sub(t.probed) >= probeInterval {
			t.probed = now
			t.probe(now)
		}
		t.readDirectly(now)
		t.node.pause(ctx, tickInterval, nil)
	}
}

func (t *ticker) askOthers() {
	for _, p := range t.node.state.Topology().peers {
		t.node.group.Go((&asker{node: t.node, to: p}).run)
	}
}

// probe asks the feeds that are passed over, so that a partition that heals is
// found at once.
func (t *ticker) probe(now time.Time) {
	feeds, _ := t.node.state.Topology().Feeds()
	t.node.mutex.Lock()
	defer t.node.mutex.Unlock()
	for _, f := range t.node.chooser.shunned(feeds, now) {
		t.node.group.Go((&asker{node: t.node, to: f}).run)
	}
}

// asker asks one process once.
type asker struct {
	node *Node
	to   hosts.Host
}

func (a *asker) run(ctx context.Context) {
	changed, reply, err := a.node.ask(ctx, a.to, 0, callLimit)
	if err == nil {
		a.node.heard.Store(time.Now().UnixNano())
	}
	if err == nil && !reply.Cut {
		a.node.judge(a.to.Name, true, time.Now())
	}
	if changed {
		a.node.kick(nil)
	}
}

// readDirectly reads the list while none is known, and everything while no
// other process answers.
func (t *ticker) readDirectly(now time.Time) {
	n := t.node
	list := n.state.List()
	cut := n.isCut(now)
	if list.Len() > 0 && !cut {
		t.budget.next = time.Time{}
		return
	}
	// Without a list a direct read is a single call.
	t.budget.processes = n.options.Processes/callsPerRound + 1
	if list.Len() > 0 {
		t.budget.processes = list.Len()
	}
	if !t.budget.allow(now) {
		return
	}
	n.group.Go((&direct{node: n, all: cut}).run)
}

// direct is one direct read.
type direct struct {
	node *Node
	all  bool
}

func (d *direct) run(ctx context.Context) {
	d.node.readList(ctx)
	if !d.all {
		return
	}
	if d.node.options.Self.Role == hosts.RoleEntry {
		(&watcher{node: d.node, kind: tables.KindRoutes}).readOnce(ctx, watchLimit)
	}
	(&watcher{node: d.node, kind: tables.KindPools}).readOnce(ctx, watchLimit)
}

// Package mesh exchanges state between the processes of a fleet in datagrams without
// acknowledgements: membership, load reports, crash marks and the chunks that hosts hold.
//
// # Datagrams
//
// Each process has one socket. State is sent repeatedly, so that a lost datagram doesn't
// matter, and is small enough for one datagram. Datagrams that can't be decoded are logged at
// debug level and dropped.
package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/member"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const (
	// maxDatagramBytes is the size of the read buffer.
	maxDatagramBytes = 16 << 10
	// maxMarks bounds the crash marks in a message.
	maxMarks = 32
	// maxLimits bounds the limits of upstreams in a message.
	maxLimits = 16
	// readErrorBackoff keeps a failing socket from causing a busy loop.
	readErrorBackoff = 50 * time.Millisecond
)

// Socket sends and receives datagrams. *net.UDPConn implements it.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Listen opens the UDP socket of a process.
func Listen(at netip.AddrPort) (Socket, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
}

// CrashMarks is a registry of crash marks that is replicated between entries.
type CrashMarks interface {
	// Export returns the marks to send, at most the given number.
	Export(limit int) []*wire.CrashMark
	// Merge adds the marks received from another process.
	Merge(from hosts.Name, marks []*wire.CrashMark)
}

// Handlers receive the messages of other processes, one at a time. Each may be nil.
type Handlers struct {
	LoadReport   func(from netip.AddrPort, l *wire.LoadDigest)
	Subscription func(from netip.AddrPort, i *wire.Interest)
	Holdings     func(from netip.AddrPort, h *wire.Holds)
	EntryLoads   func(s *wire.Shares)
	Asks         func(from netip.AddrPort, a *wire.Asks)
	Grants       func(from netip.AddrPort, g *wire.Grants)
	// Limits receives the limits of upstreams that another entry knows. ExportLimits returns
	// those that this one knows, at most the given number.
	Limits       func(from hosts.Name, all []*wire.Limit)
	ExportLimits func(most int) []*wire.Limit
}

// Options configure a Node.
type Options struct {
	// Self is the record of an entry. A process with another role observes the entries
	// and doesn't appear in their tables.
	Self   member.Member
	Socket Socket
	// Seeds are addresses of entries.
	Seeds []netip.AddrPort
	// Seed initializes the random choice of recipients.
	Seed uint64
	// Detection is the time within which an entry that has ended is no longer listed. Other roles than
	// entries ignore it.
	Detection time.Duration
	// CrashMarks may be nil.
	CrashMarks CrashMarks
	// OnChange is called after entries appear, disappear or change state. It may be nil.
	OnChange func()
	Log      *zap.Logger
}

// Node is a process's connection to the mesh. It is safe for concurrent use.
type Node struct {
	options  Options
	handlers atomic.Pointer[Handlers]
	view     atomic.Pointer[view]
	mutex    sync.Mutex
	table    *member.Table
	// loggedStates holds the last logged state of each entry, from loggedView.
	loggedStates map[hosts.Name]string
	loggedView   *view
	buffer       []byte
}

// New joins the mesh. The clean-up function leaves it and closes the socket.
func New(o Options) (*Node, func()) {
	n := &Node{options: o, loggedStates: make(map[hosts.Name]string), buffer: make([]byte, maxDatagramBytes)}
	n.handlers.Store(&Handlers{})
	n.table = member.NewObserver(o.Self.Place, o.Seed)
	if o.Self.Role == hosts.RoleEntry {
		n.table = member.NewTable(o.Self, o.Seed, o.Detection)
	}
	n.table.SetSeeds(o.Seeds)
	n.refreshView()
	g := shell.NewGroup()
	g.Go(n.loop)
	g.Go(n.run)
	return n, func() {
		_ = o.Socket.Close()
		g.Stop()
	}
}

// SetHandlers replaces the handlers.
func (n *Node) SetHandlers(h Handlers) { n.handlers.Store(&h) }

// SetSeeds replaces the addresses of the seeds.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.SetSeeds(seeds)
}

// view holds the lists of entries that all callers share. It is immutable and replaced when an
// entry appears, disappears or changes, at the latest one GossipInterval later.
type view struct {
	// members are the entries that aren't silent, ordered by name. Their heartbeats are those
	// at the time of the last other change.
	members []member.Member
	// ready are the hosts of those that are live and ready.
	ready []hosts.Host
	// live are the hosts of those that aren't leaving, ready or not.
	live   []hosts.Host
	byName map[hosts.Name]int
}

// refreshView replaces the view if an entry has changed, and returns the current one.
func (n *Node) refreshView() *view {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	live := n.table.Live(clocks.Now())
	if v := n.view.Load(); v != nil && slices.EqualFunc(v.members, live, isUnchanged) {
		return v
	}
	v := &view{members: slices.Clip(live), byName: make(map[hosts.Name]int, len(live))}
	for i, m := range live {
		v.byName[m.Name] = i
		if m.State != hosts.StateLive {
			continue
		}
		v.live = append(v.live, m.Host)
		if m.Ready {
			v.ready = append(v.ready, m.Host)
		}
	}
	v.ready, v.live = slices.Clip(v.ready), slices.Clip(v.live)
	n.view.Store(v)
	return v
}

// isUnchanged reports whether two records of an entry differ in nothing but the heartbeat.
func isUnchanged(a, b member.Member) bool {
	a.Heartbeat = b.Heartbeat
	return a == b
}

// Members returns the entries that aren't silent, the local one included, ordered by name. The
// caller must not change the list, which is the same one until an entry changes.
func (n *Node) Members() []member.Member { return n.view.Load().members }

// EntryCount returns the number of entries that share the budgets of the fleet. It includes
// silent ones whose last heartbeat is at most a minute old.
func (n *Node) EntryCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Count()
}

// Entries returns the hosts of the entries that are live and ready. The caller must not change
// the list, which is the same one until an entry changes.
func (n *Node) Entries() []hosts.Host { return n.view.Load().ready }

// LiveEntries returns the hosts of the entries that aren't leaving, ready or not. The caller must
// not change the list, which is the same one until an entry changes.
func (n *Node) LiveEntries() []hosts.Host { return n.view.Load().live }

// Find returns the entry with the given name, unless it is silent.
func (n *Node) Find(name hosts.Name) (member.Member, bool) {
	v := n.view.Load()
	i, ok := v.byName[name]
	if !ok {
		return member.Member{}, false
	}
	return v.members[i], true
}

// SetState changes the local record. A change is announced to the region at once.
func (n *Node) SetState(s hosts.State, ready bool) {
	n.mutex.Lock()
	changed := n.table.SetState(s, ready)
	n.mutex.Unlock()
	if changed {
		n.mutex.Lock()
		messages := n.table.Announcements()
		n.mutex.Unlock()
		n.sendMessages(messages)
		n.reportChanges()
	}
}

// Send sends a datagram to the addresses. Errors are logged and not returned.
func (n *Node) Send(d *wire.Datagram, to ...netip.AddrPort) {
	data, err := proto.Marshal(d)
	if err != nil {
		n.options.Log.Error("datagram-encode-failed", zap.Error(err))
		return
	}
	for _, a := range to {
		if _, err := n.options.Socket.WriteToUDPAddrPort(data, a); err != nil && !errors.Is(err, net.ErrClosed) {
			n.options.Log.Debug("datagram-send-failed", zap.String("to", a.String()), zap.Error(err))
		}
	}
}

// run sends a round of gossip at each interval.
func (n *Node) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		t.Reset(n.sendRound())
		n.reportChanges()
	}
}

// sendRound sends the messages of a round and returns the time until the next one.
func (n *Node) sendRound() time.Duration {
	n.mutex.Lock()
	now := clocks.Now()
	messages := n.table.NextMessages(now)
	interval := member.GossipInterval
	if n.table.IsSearching(now) {
		interval = member.SearchInterval
	}
	n.mutex.Unlock()
	n.sendMessages(messages)
	return interval
}

func (n *Node) sendMessages(messages []member.Message) {
	n.mutex.Lock()
	now := clocks.Now()
	heartbeat, gossip := n.buildGossip(n.table.Records(now, false), true), n.buildGossip(n.table.Records(now, true), true)
	gossip.GetGossip().Suspicions = encodeSuspicions(n.table.Suspicions(now))
	n.mutex.Unlock()
	var toHeartbeat, toGossip []netip.AddrPort
	for _, m := range messages {
		if m.IncludeOthers {
			toGossip = append(toGossip, m.To)
			continue
		}
		toHeartbeat = append(toHeartbeat, m.To)
	}
	n.Send(heartbeat, toHeartbeat...)
	if len(toGossip) > 0 {
		gossip.GetGossip().Limits = n.exportLimits()
	}
	n.Send(gossip, toGossip...)
}

// exportLimits returns limits of upstreams to send. Heartbeats carry none, as they go to all entries of
// the region.
func (n *Node) exportLimits() []*wire.Limit {
	if export := n.handlers.Load().ExportLimits; export != nil {
		return export(maxLimits)
	}
	return nil
}

// buildGossip returns a gossip message with the records, of which an entry's own is the first.
func (n *Node) buildGossip(records []member.Member, request bool) *wire.Datagram {
	g := &wire.Gossip{Ask: request}
	if n.options.Self.Role == hosts.RoleEntry {
		g.Self = encodeMember(records[0])
		records = records[1:]
	}
	for _, m := range records {
		r := encodeMember(m)
		r.Age = proto.Int64(m.Age.Milliseconds())
		g.Others = append(g.Others, r)
	}
	if n.options.CrashMarks != nil {
		g.Marks = n.options.CrashMarks.Export(maxMarks)
	}
	return &wire.Datagram{Body: &wire.Datagram_Gossip{Gossip: g}}
}

// loop reads and dispatches datagrams until the socket is closed.
func (n *Node) loop(ctx context.Context) {
	for ctx.Err() == nil {
		size, from, err := n.options.Socket.ReadFromUDPAddrPort(n.buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(readErrorBackoff)
			continue
		}
		d := &wire.Datagram{}
		if err := proto.Unmarshal(n.buffer[:size], d); err != nil {
			n.options.Log.Debug("datagram-invalid", zap.String("from", from.String()), zap.Error(err))
			continue
		}
		n.dispatch(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), d)
	}
}

func (n *Node) dispatch(from netip.AddrPort, d *wire.Datagram) {
	h := n.handlers.Load()
	switch b := d.Body.(type) {
	case *wire.Datagram_Gossip:
		n.receiveGossip(from, b.Gossip)
	case *wire.Datagram_Load:
		if h.LoadReport != nil {
			h.LoadReport(from, b.Load)
		}
	case *wire.Datagram_Interest:
		if h.Subscription != nil {
			h.Subscription(from, b.Interest)
		}
	case *wire.Datagram_Shares:
		if h.EntryLoads != nil {
			h.EntryLoads(b.Shares)
		}
	case *wire.Datagram_Asks:
		if h.Asks != nil {
			h.Asks(from, b.Asks)
		}
	case *wire.Datagram_Grants:
		if h.Grants != nil {
			h.Grants(from, b.Grants)
		}
	case *wire.Datagram_Holds:
		if h.Holdings != nil {
			h.Holdings(from, b.Holds)
		}
	}
}

func (n *Node) receiveGossip(from netip.AddrPort, g *wire.Gossip) {
	var records []member.Member
	name := hosts.Name("")
	if m, ok := decodeMember(g.Self); ok {
		records = append(records, m)
		name = m.Name
	}
	for _, o := range g.Others {
		if m, ok := decodeMember(o); ok {
			records = append(records, m)
		}
	}
	n.mutex.Lock()
	isNew := name != "" && !n.table.HasState(records[0])
	changed := n.table.Merge(clocks.Now(), records)
	changed = n.table.MergeSuspicions(clocks.Now(), decodeSuspicions(g.Suspicions)) || changed
	var response *wire.Datagram
	if g.Ask && g.Self == nil {
		response = n.buildGossip(n.table.RecordsForObserver(clocks.Now()), false)
	}
	n.mutex.Unlock()
	if response != nil && n.options.Self.Role == hosts.RoleEntry {
		n.Send(response, from)
	}
	n.receiveLimits(from, name, g.Limits, isNew)
	if n.options.CrashMarks != nil && len(g.Marks) > 0 {
		n.options.CrashMarks.Merge(name, g.Marks)
	}
	if changed {
		n.reportChanges()
	}
}

// receiveLimits passes the limits of upstreams on, and tells those that are known here to an entry
// that has started, before it sends its first requests.
func (n *Node) receiveLimits(from netip.AddrPort, name hosts.Name, limits []*wire.Limit, isNew bool) {
	if isNew {
		if known := n.exportLimits(); len(known) > 0 {
			n.mutex.Lock()
			self := encodeMember(n.table.Self())
			n.mutex.Unlock()
			n.Send(&wire.Datagram{Body: &wire.Datagram_Gossip{Gossip: &wire.Gossip{Self: self, Limits: known}}}, from)
		}
	}
	if h := n.handlers.Load(); h.Limits != nil && len(limits) > 0 {
		h.Limits(name, limits)
	}
}

// reportChanges logs the entries that appeared, disappeared or changed state, and calls OnChange.
func (n *Node) reportChanges() {
	v := n.refreshView()
	n.mutex.Lock()
	if v == n.loggedView {
		n.mutex.Unlock()
		return
	}
	n.loggedView = v
	live := make(map[hosts.Name]string, len(v.members))
	for _, m := range v.members {
		live[m.Name] = stateText(m)
	}
	changes := 0
	for name, s := range live {
		if n.loggedStates[name] != s {
			changes++
			n.options.Log.Info("entry-state-changed", zap.String("entry", string(name)), zap.String("state", s), zap.String("before", n.loggedStates[name]))
		}
	}
	for name, s := range n.loggedStates {
		if live[name] == "" {
			changes++
			n.options.Log.Warn("entry-silent", zap.String("entry", string(name)), zap.String("before", s))
		}
	}
	n.loggedStates = live
	n.mutex.Unlock()
	if changes > 0 && n.options.OnChange != nil {
		n.options.OnChange()
	}
}

func stateText(m member.Member) string {
	if m.State == hosts.StateLive && !m.Ready {
		return "starting"
	}
	return string(m.State)
}

// NewIncarnation returns the incarnation of a process that starts now: the time of day in
// milliseconds with eight random low bits.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMilli())<<8 | uint64(rand.Uint32N(1<<8)) }

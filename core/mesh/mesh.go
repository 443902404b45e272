// Package mesh carries what the processes of the system tell each other without an
// answer: who lives, how loaded an engine is, which requests have crashed upstreams.
//
// # Datagrams
//
// Each process has one socket. What it tells is repeated often, so that a lost
// datagram doesn't matter, and small, so that it fits in one. A datagram that can't
// be read is counted and passed over.
package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
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
	// maxDatagram bounds what is read of a datagram.
	maxDatagram = 16 << 10
	// marksMost bounds the crash marks in a message.
	marksMost = 16
	// errorPause keeps a failing socket from taking the processor.
	errorPause = 50 * time.Millisecond
)

// Socket sends and receives datagrams.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Listen opens the socket of a process.
func Listen(at netip.AddrPort) (Socket, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
}

// CrashMarks are the crash marks that a process knows.
type CrashMarks interface {
	// Spread returns the marks to tell, at most the given number.
	Spread(most int) []*wire.CrashMark
	// Take merges marks that were told.
	Take(from hosts.Name, marks []*wire.CrashMark)
}

// Handlers take what others tell, one at a time. Each may be nil.
type Handlers struct {
	LoadReport   func(from netip.AddrPort, l *wire.LoadDigest)
	Subscription func(from netip.AddrPort, i *wire.Interest)
	Holdings     func(from netip.AddrPort, h *wire.Holds)
	EntryLoads   func(s *wire.Shares)
}

// Options are the parts of a node.
type Options struct {
	// Self is the own record of an entry. An agent leaves its role at RoleAgent and
	// isn't told to others.
	Self   member.Member
	Socket Socket
	Seeds  []netip.AddrPort
	// Seed sets the choice of whom to tell.
	Seed uint64
	// CrashMarks may be nil.
	CrashMarks CrashMarks
	// OnChange is called when entries come, go or change state. It may be nil.
	OnChange func()
	Log      *zap.Logger
}

// Node is the part of a process in the mesh. Goroutines share it.
type Node struct {
	options  Options
	handlers atomic.Pointer[Handlers]
	mutex    sync.Mutex
	table    *member.Table
	// states is what was logged last of each entry.
	states map[hosts.Name]string
	buffer []byte
}

// New joins the mesh. The clean-up function leaves it and closes the socket.
func New(o Options) (*Node, func()) {
	n := &Node{options: o, states: make(map[hosts.Name]string), buffer: make([]byte, maxDatagram)}
	n.handlers.Store(&Handlers{})
	n.table = member.NewObserver(o.Self.Place, o.Seed)
	if o.Self.Role == hosts.RoleEntry {
		n.table = member.NewTable(o.Self, o.Seed)
	}
	n.table.SetSeeds(o.Seeds)
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

// SetSeeds replaces the addresses that are asked for entries.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.SetSeeds(seeds)
}

// Members returns the entries that aren't silent, the own one included.
func (n *Node) Members() []member.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Live(clocks.Now())
}

// EntryCount returns the number of entries among which a budget of the fleet is shared.
func (n *Node) EntryCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.Count()
}

// Entries returns the hosts of the entries that serve.
func (n *Node) Entries() []hosts.Host {
	var all []hosts.Host
	for _, m := range n.Members() {
		if m.Ready && m.State == hosts.StateLive {
			all = append(all, m.Host)
		}
	}
	return all
}

// Find returns the entry with the name.
func (n *Node) Find(name hosts.Name) (member.Member, bool) {
	for _, m := range n.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return member.Member{}, false
}

// SetState changes the own record and tells others at once if it is new.
func (n *Node) SetState(s hosts.State, ready bool) {
	n.mutex.Lock()
	changed := n.table.SetState(s, ready)
	n.mutex.Unlock()
	if changed {
		n.mutex.Lock()
		tells := n.table.Announcements()
		n.mutex.Unlock()
		n.tellAll(tells)
		n.notice()
	}
}

// Send tells processes something.
func (n *Node) Send(d *wire.Datagram, to ...netip.AddrPort) {
	data, err := proto.Marshal(d)
	if err != nil {
		n.options.Log.Error("datagram-unwritten", zap.Error(err))
		return
	}
	for _, a := range to {
		if _, err := n.options.Socket.WriteToUDPAddrPort(data, a); err != nil && !errors.Is(err, net.ErrClosed) {
			n.options.Log.Debug("datagram-unsent", zap.String("to", a.String()), zap.Error(err))
		}
	}
}

// run tells others in rounds.
func (n *Node) run(ctx context.Context) {
	t := time.NewTicker(member.GossipInterval)
	defer t.Stop()
	for {
		n.tell()
		n.notice()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) tell() {
	n.mutex.Lock()
	tells := n.table.NextMessages(clocks.Now())
	n.mutex.Unlock()
	n.tellAll(tells)
}

func (n *Node) tellAll(tells []member.Message) {
	n.mutex.Lock()
	beat, gossip := n.gossip(false, true), n.gossip(true, true)
	n.mutex.Unlock()
	var toBeat, toGossip []netip.AddrPort
	for _, t := range tells {
		if t.IncludeOthers {
			toGossip = append(toGossip, t.To)
			continue
		}
		toBeat = append(toBeat, t.To)
	}
	n.Send(beat, toBeat...)
	n.Send(gossip, toGossip...)
}

// gossip builds a message, with the records of others if asked for. The mutex is held.
func (n *Node) gossip(others, ask bool) *wire.Datagram {
	g := &wire.Gossip{Ask: ask}
	records := n.table.Records(clocks.Now(), others)
	if n.options.Self.Role == hosts.RoleEntry {
		g.Self = encodeMember(records[0])
		records = records[1:]
	}
	for _, m := range records {
		g.Others = append(g.Others, encodeMember(m))
	}
	if n.options.CrashMarks != nil {
		g.Marks = n.options.CrashMarks.Spread(marksMost)
	}
	return &wire.Datagram{Body: &wire.Datagram_Gossip{Gossip: g}}
}

// loop takes what others tell.
func (n *Node) loop(ctx context.Context) {
	for ctx.Err() == nil {
		size, from, err := n.options.Socket.ReadFromUDPAddrPort(n.buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(errorPause)
			continue
		}
		d := &wire.Datagram{}
		if err := proto.Unmarshal(n.buffer[:size], d); err != nil {
			n.options.Log.Debug("datagram-refused", zap.String("from", from.String()), zap.Error(err))
			continue
		}
		n.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), d)
	}
}

func (n *Node) take(from netip.AddrPort, d *wire.Datagram) {
	h := n.handlers.Load()
	switch b := d.Body.(type) {
	case *wire.Datagram_Gossip:
		n.hear(from, b.Gossip)
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
	case *wire.Datagram_Holds:
		if h.Holdings != nil {
			h.Holdings(from, b.Holds)
		}
	}
}

func (n *Node) hear(from netip.AddrPort, g *wire.Gossip) {
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
	changed := n.table.Merge(clocks.Now(), records)
	var answer *wire.Datagram
	if g.Ask && g.Self == nil {
		answer = n.gossip(true, false)
	}
	n.mutex.Unlock()
	if answer != nil && n.options.Self.Role == hosts.RoleEntry {
		n.Send(answer, from)
	}
	if n.options.CrashMarks != nil && len(g.Marks) > 0 {
		n.options.CrashMarks.Take(name, g.Marks)
	}
	if changed {
		n.notice()
	}
}

// notice logs the entries that have come, gone or changed state.
func (n *Node) notice() {
	live := make(map[hosts.Name]string)
	for _, m := range n.Members() {
		live[m.Name] = stateText(m)
	}
	n.mutex.Lock()
	changes := 0
	for name, s := range live {
		if n.states[name] != s {
			changes++
			n.options.Log.Info("entry-state", zap.String("entry", string(name)), zap.String("state", s), zap.String("before", n.states[name]))
		}
	}
	for name, s := range n.states {
		if live[name] == "" {
			changes++
			n.options.Log.Warn("entry-silent", zap.String("entry", string(name)), zap.String("before", s))
		}
	}
	n.states = live
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

func encodeMember(m member.Member) *wire.MemberRecord {
	return &wire.MemberRecord{
		Name: string(m.Name), Region: string(m.Place.Region), Domain: string(m.Place.Domain), Role: string(m.Role),
		State: string(m.State), Address: m.Address.String(), Front: m.ClientAddress.String(),
		Incarnation: m.Incarnation, Beat: m.Heartbeat, Ready: m.Ready,
	}
}

func decodeMember(r *wire.MemberRecord) (member.Member, bool) {
	if r == nil || r.Name == "" {
		return member.Member{}, false
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return member.Member{}, false
	}
	front, err := netip.ParseAddrPort(r.Front)
	if err != nil {
		return member.Member{}, false
	}
	m := member.Member{ClientAddress: front, Ready: r.Ready, Incarnation: r.Incarnation, Heartbeat: r.Beat}
	m.Host = hosts.Host{
		Name: hosts.Name(r.Name), Place: hosts.Place{Region: hosts.Region(r.Region), Domain: hosts.Domain(r.Domain)},
		Role: hosts.Role(r.Role), State: hosts.State(r.State), Address: address,
	}
	return m, m.State == hosts.StateLive || m.State == hosts.StateLeaving
}

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMilli())<<8 | uint64(rand.Uint32N(1<<8)) }

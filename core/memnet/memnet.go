// Package memnet is a network in memory for tests and benchmarks. Its
// connections block durably, so that virtual time works over them.
//
// # Hosts and links
//
// A Network joins hosts by IP address. Bytes leave through the sender's up link
// and arrive through the receiver's down link, and through the link between the
// two regions if a Path names one. A Link passes bytes in the order in which
// they come, at its rate.
//
// # Faults
//
// Refuse makes new connections fail. Cut closes the open ones. Silence swallows
// all bytes of the open ones without closing them, and of new ones until Heal.
package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// Rate is in bytes a second. Zero means no bound.
type Rate int64

// Link is one direction of a cable. The zero value has no bound.
type Link struct {
	Rate Rate

	mutex sync.Mutex
	// free is when the last byte that was given to the link has left it.
	free  time.Time
	bytes int64
}

// Bytes returns how many bytes have entered the link.
func (l *Link) Bytes() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.bytes
}

// SetRate changes the rate for bytes that are given to the link from now on.
func (l *Link) SetRate(r Rate) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Rate = r
}

// Transmit gives bytes to the link and returns when they have left it.
func (l *Link) Transmit(start time.Time, size int) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bytes += int64(size)
	if l.Rate <= 0 {
		return start
	}
	if l.free.Before(start) {
		l.free = start
	}
	l.free = l.free.Add(time.Duration(float64(size) / float64(l.Rate) * float64(time.Second)))
	return l.free
}

// Path is what bytes from one host to another pass through.
type Path struct {
	Delay time.Duration
	Links []*Link
	// Window bounds the bytes under way in one direction of a connection. Zero
	// means 1 MiB.
	Window int
}

// PathFunc returns the path between two hosts.
type PathFunc func(from, to netip.Addr) Path

// Network joins hosts.
type Network struct {
	paths PathFunc

	mutex     sync.Mutex
	listeners map[netip.AddrPort]*listener
	faults    map[pair]fault
	conns     map[*conn]struct{}
	port      uint16
}

type pair struct{ from, to netip.Addr }

type fault int

const (
	faultNone fault = iota
	faultRefuse
	faultSilence
)

// errRefused tells that nothing listens at an address, as the kernel does.
var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// New returns a network. A nil Paths means no delay and no bound.
func New(paths PathFunc) *Network {
	if paths == nil {
		paths = func(netip.Addr, netip.Addr) Path { return Path{} }
	}
	return &Network{
		paths: paths, listeners: make(map[netip.AddrPort]*listener),
		faults: make(map[pair]fault), conns: make(map[*conn]struct{}),
	}
}

// Listen opens a listener at the address.
func (n *Network) Listen(at netip.AddrPort) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: errors.New("address in use")}
	}
	l := &listener{network: n, at: at, queue: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dialer returns a function that opens connections from a host. It has the form
// of links.Dialer.
func (n *Network) Dialer(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, from, at)
	}
}

func (n *Network) dial(ctx context.Context, from netip.Addr, at netip.AddrPort) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[at]
	f := n.faults[pair{from, at.Addr()}]
	n.port++
	local := netip.AddrPortFrom(from, n.port)
	n.mutex.Unlock()
	if f == faultSilence {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: ctx.Err()}
	}
	if l == nil || f == faultRefuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: errRefused}
	}
	out, in := newPipe(n.paths(from, at.Addr())), newPipe(n.paths(at.Addr(), from))
	near := &conn{network: n, local: local, remote: at, read: in, write: out}
	far := &conn{network: n, local: at, remote: local, read: out, write: in}
	n.mutex.Lock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	n.mutex.Unlock()
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: errRefused}
}

// Refuse makes new connections between two hosts fail, either way.
func (n *Network) Refuse(a, b netip.Addr) { n.set(a, b, faultRefuse) }

// Silence swallows all bytes between two hosts, either way, until Heal. The
// connections that were open stay silent for good.
func (n *Network) Silence(a, b netip.Addr) {
	n.set(a, b, faultSilence)
	for _, c := range n.between(a, b) {
		c.write.silence()
		c.read.silence()
	}
}

// SilenceOpen makes the open connections between two hosts silent for good, while
// new ones work.
func (n *Network) SilenceOpen(a, b netip.Addr) {
	n.Silence(a, b)
	n.Heal(a, b)
}

// Cut closes the open connections between two hosts.
func (n *Network) Cut(a, b netip.Addr) {
	for _, c := range n.between(a, b) {
		_ = c.Close()
	}
}

// Heal lets new connections between two hosts work again.
func (n *Network) Heal(a, b netip.Addr) { n.set(a, b, faultNone) }

// Kill closes every listener and connection of a host.
func (n *Network) Kill(host netip.Addr) {
	n.mutex.Lock()
	var all []io.Closer
	for at, l := range n.listeners {
		if at.Addr() == host {
			all = append(all, l)
		}
	}
	for c := range n.conns {
		if c.local.Addr() == host || c.remote.Addr() == host {
			all = append(all, c)
		}
	}
	n.mutex.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

func (n *Network) set(a, b netip.Addr, f fault) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults[pair{a, b}], n.faults[pair{b, a}] = f, f
}

func (n *Network) between(a, b netip.Addr) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var found []*conn
	for c := range n.conns {
		l, r := c.local.Addr(), c.remote.Addr()
		if l == a && r == b || l == b && r == a {
			found = append(found, c)
		}
	}
	return found
}

type listener struct {
	network *Network
	at      netip.AddrPort
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		delete(l.network.listeners, l.at)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

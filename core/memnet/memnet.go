// Package memnet is an in-memory network for tests and benchmarks. A blocked
// read or write counts as durably blocked in a testing/synctest bubble, so
// virtual time advances while connections wait.
//
// # Hosts and links
//
// A Network connects hosts by IP address. The Path between two hosts lists the
// links that bytes pass through, such as the sender's uplink, the link between
// two regions and the receiver's downlink. A Link transmits in first-in,
// first-out order at its rate.
//
// # Faults
//
// Refuse makes new connections fail. Cut closes open connections. Silence drops
// all bytes on open connections without closing them and makes dials hang until
// Heal. SilenceOpen does so for open connections only.
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

// Rate is in bytes per second. Zero means unlimited.
type Rate int64

// Link is one direction of a network link, shared by the connections that pass
// through it. The zero value has unlimited rate.
type Link struct {
	Rate Rate

	mutex sync.Mutex
	// nextFree is when the link has transmitted everything queued on it.
	nextFree time.Time
	bytes    int64
}

// Bytes returns the number of bytes queued on the link so far.
func (l *Link) Bytes() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.bytes
}

// SetRate changes the rate for bytes that are queued from now on.
func (l *Link) SetRate(r Rate) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Rate = r
}

// Transmit queues size bytes at the start time and returns the time at which the
// link has transmitted them.
func (l *Link) Transmit(start time.Time, size int) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bytes += int64(size)
	if l.Rate <= 0 {
		return start
	}
	if l.nextFree.Before(start) {
		l.nextFree = start
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(size) / float64(l.Rate) * float64(time.Second)))
	return l.nextFree
}

// Path describes the route from one host to another. Its links transmit at the
// same time, so the slowest one determines the rate; Delay is added once.
type Path struct {
	Delay time.Duration
	Links []*Link
	// Window bounds the bytes in flight in one direction of a connection. Zero
	// means 1 MiB.
	Window int
}

// PathFunc returns the path from one host to another.
type PathFunc func(from, to netip.Addr) Path

// Network connects hosts. Its methods are safe for concurrent use.
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

// errRefused is the error that the kernel returns if nothing listens at an address.
var errRefused = os.NewSyscallError("connect", syscall.ECONNREFUSED)

// New returns a network. A nil PathFunc means no delay and unlimited rates.
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
	l := &listener{network: n, address: at, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dialer returns a function that dials from a host. It can be used as a
// links.Dialer.
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
	client := &conn{network: n, local: local, remote: at, incoming: in, outgoing: out}
	server := &conn{network: n, local: at, remote: local, incoming: out, outgoing: in}
	n.mutex.Lock()
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	n.mutex.Unlock()
	select {
	case l.backlog <- server:
		l.resetIfClosed()
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: errRefused}
}

// Refuse makes new connections between two hosts fail, in both directions.
func (n *Network) Refuse(a, b netip.Addr) { n.setFault(a, b, faultRefuse) }

// Silence drops all bytes between two hosts, in both directions, until Heal. The
// connections that were open stay silent even after that.
func (n *Network) Silence(a, b netip.Addr) {
	n.setFault(a, b, faultSilence)
	for _, c := range n.connsBetween(a, b) {
		c.outgoing.silence()
		c.incoming.silence()
	}
}

// SilenceOpen makes the open connections between two hosts silent permanently,
// while new ones work.
func (n *Network) SilenceOpen(a, b netip.Addr) {
	n.Silence(a, b)
	n.Heal(a, b)
}

// Cut closes the open connections between two hosts.
func (n *Network) Cut(a, b netip.Addr) {
	for _, c := range n.connsBetween(a, b) {
		_ = c.Close()
	}
}

// Heal lets new connections between two hosts work again.
func (n *Network) Heal(a, b netip.Addr) { n.setFault(a, b, faultNone) }

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

func (n *Network) setFault(a, b netip.Addr, f fault) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.faults[pair{a, b}], n.faults[pair{b, a}] = f, f
}

func (n *Network) connsBetween(a, b netip.Addr) []*conn {
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
	address netip.AddrPort
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
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
		delete(l.network.listeners, l.address)
	})
	l.resetIfClosed()
	return nil
}

// resetIfClosed closes the connections that a closed listener will not accept.
func (l *listener) resetIfClosed() {
	select {
	case <-l.closed:
	default:
		return
	}
	for {
		select {
		case c := <-l.backlog:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

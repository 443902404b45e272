package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"currantport.example/core/shell"
)

// linkFault is a fault of the connections through a proxy.
type linkFault string

// The faults of a link.
const (
	linkHealthy linkFault = "sound"
	// linkDelay delays all bytes.
	linkDelay linkFault = "delay"
	// linkReset resets open and new connections.
	linkReset linkFault = "reset"
	// linkOneway permanently drops all bytes from the target on each connection on which
	// the target sends during the fault.
	linkOneway linkFault = "oneway"
	// linkSilence permanently drops all further bytes on open connections; new connections
	// work.
	linkSilence linkFault = "silence"
	// linkDark accepts new connections and drops all bytes on all connections.
	linkDark linkFault = "dark"
)

const (
	linkDelayTime = 150 * time.Millisecond
	bufferBytes   = 16 << 10
)

// proxy forwards connections to a target.
type proxy struct {
	address netip.AddrPort
	target  netip.AddrPort
	group   *shell.Group
	// activeFaults counts the active faults.
	activeFaults atomic.Int32

	mutex sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	fault    linkFault
	open     map[*link]bool
}

// newProxy returns a proxy that listens at the address until the returned function is
// called.
func newProxy(at, target netip.AddrPort) (*proxy, func(), error) {
	p := &proxy{address: at, target: target, group: shell.NewGroup(), fault: linkHealthy, open: make(map[*link]bool)}
	if err := p.listen(); err != nil {
		return nil, nil, err
	}
	return p, func() {
		p.refuse()
		p.setFault(linkReset)
		p.group.Stop()
	}, nil
}

// listen accepts connections until refuse is called.
func (p *proxy) listen() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address.String())
	if err != nil {
		return err
	}
	p.listener = l
	p.group.Go((&acceptor{proxy: p, listener: l}).run)
	return nil
}

// refuse lets new connections be refused, as those to a process that has ended.
func (p *proxy) refuse() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// acceptor accepts the connections of one listener.
type acceptor struct {
	proxy    *proxy
	listener net.Listener
}

func (a *acceptor) run(context.Context) {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.proxy.accept(c)
	}
}

func (p *proxy) accept(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fault == linkReset {
		reset(c)
		return
	}
	l := &link{proxy: p, client: c, silent: p.fault == linkDark}
	p.open[l] = true
	go l.run()
}

// setFault applies a fault to all open and new connections.
func (p *proxy) setFault(f linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = f
	for l := range p.open {
		switch f {
		case linkReset:
			l.reset()
		case linkSilence, linkDark:
			l.silence()
		}
	}
}

func (p *proxy) currentFault() linkFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *proxy) remove(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, l)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// link is one connection through a proxy.
type link struct {
	proxy  *proxy
	client net.Conn

	mutex  sync.Mutex
	target net.Conn
	// silent links drop all bytes, muted ones those from the target.
	silent bool
	muted  bool
}

func (l *link) run() {
	defer l.proxy.remove(l)
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.proxy.target.String())
	if err != nil {
		reset(l.client)
		return
	}
	l.mutex.Lock()
	l.target = target
	l.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.forward(l.client, target, false) })
	group.Go(func() { l.forward(target, l.client, true) })
	group.Wait()
}

// forward copies bytes in one direction. fromTarget is set for the direction of the
// responses.
func (l *link) forward(from, to net.Conn, fromTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && fromTarget && l.proxy.currentFault() == linkOneway {
			// Dropped bytes are never delivered, so no later bytes may follow them.
			l.mute()
		}
		if n > 0 && !l.drops(fromTarget) {
			if l.proxy.currentFault() == linkDelay {
				time.Sleep(linkDelayTime)
			}
			_, writeErr := to.Write(buffer[:n])
			if err == nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if l.drops(fromTarget) {
			// The end must not follow bytes that were dropped.
			return
		}
		if err == io.EOF { //nolint:errorlint // a connection returns it as it is
			halfClose(to)
			return
		}
		reset(to)
		reset(from)
		return
	}
}

func halfClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// drops reports whether the link drops bytes in a direction.
func (l *link) drops(fromTarget bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.silent || fromTarget && l.muted
}

func (l *link) mute() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.muted = true
}

func (l *link) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = true
}

func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reset(l.client)
	if l.target != nil {
		reset(l.target)
	}
}

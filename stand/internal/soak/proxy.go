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

// linkFault is what goes wrong with the connections through a proxy.
type linkFault string

// The faults of a link.
const (
	linkSound linkFault = "sound"
	// linkDelay holds all bytes up for a while.
	linkDelay linkFault = "delay"
	// linkReset resets open and new connections.
	linkReset linkFault = "reset"
	// linkOneway passes on no more bytes that come back on connections which get any.
	linkOneway linkFault = "oneway"
	// linkSilence passes on nothing on connections that are open, for good; new ones work.
	linkSilence linkFault = "silence"
	// linkDark takes new connections and passes on nothing on any.
	linkDark linkFault = "dark"
)

const (
	delayTime  = 150 * time.Millisecond
	proxyBytes = 16 << 10
)

// proxy passes connections on to a target.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	// struck counts the faults that are on.
	struck atomic.Int32

	mutex sync.Mutex
	fault linkFault
	open  map[*link]bool
}

// newProxy returns a proxy at the address that runs until the clean-up function is called.
func newProxy(at, target netip.AddrPort) (*proxy, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{listener: l, target: target, fault: linkSound, open: make(map[*link]bool)}
	g := shell.NewGroup()
	g.Go(p.run)
	return p, func() {
		_ = l.Close()
		p.strike(linkReset)
		g.Stop()
	}, nil
}

func (p *proxy) run(context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.take(c)
	}
}

func (p *proxy) take(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fault == linkReset {
		reset(c)
		return
	}
	l := &link{proxy: p, near: c, silent: p.fault == linkDark}
	p.open[l] = true
	go l.run()
}

// strike makes all connections behave as the fault says from now on.
func (p *proxy) strike(f linkFault) {
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

func (p *proxy) now() linkFault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *proxy) forget(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, l)
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// link is one connection through a proxy.
type link struct {
	proxy *proxy
	near  net.Conn

	mutex sync.Mutex
	far   net.Conn
	// silent tells that the link passes on nothing any more, muted that it passes on nothing
	// that comes back.
	silent bool
	muted  bool
}

func (l *link) run() {
	defer l.proxy.forget(l)
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.proxy.target.String())
	if err != nil {
		reset(l.near)
		return
	}
	l.mutex.Lock()
	l.far = far
	l.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.pass(l.near, far, false) })
	group.Go(func() { l.pass(far, l.near, true) })
	group.Wait()
}

// pass copies bytes of one direction. Back is that of the answers.
func (l *link) pass(from, to net.Conn, back bool) {
	buffer := make([]byte, proxyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && back && l.proxy.now() == linkOneway {
			// What is lost of a connection is lost for good: nothing may follow it.
			l.mute()
		}
		if n > 0 && !l.isSilent() && (!back || !l.isMuted()) {
			if l.proxy.now() == linkDelay {
				time.Sleep(delayTime)
			}
			_, errWrite := to.Write(buffer[:n])
			if err == nil {
				err = errWrite
			}
		}
		if err == nil {
			continue
		}
		if l.isSilent() {
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

func (l *link) isSilent() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.silent
}

func (l *link) isMuted() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.muted
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
	reset(l.near)
	if l.far != nil {
		reset(l.far)
	}
}

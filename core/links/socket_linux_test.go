package links_test

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"currantport.example/core/links"
)

const optUserTimeout = 18

// acceptor records the socket options of accepted connections.
type acceptor struct {
	net.Listener
	conns chan string
}

func (a *acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		a.conns <- optionsOf(c)
	}
	return c, err
}

type recorder struct {
	dial    links.Dialer
	options *string
}

func (r recorder) dialRecorded(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := r.dial(ctx, network, address)
	if err == nil {
		*r.options = optionsOf(c)
	}
	return c, err
}

func optionsOf(c net.Conn) string {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err.Error()
	}
	var text string
	_ = raw.Control(func(fd uintptr) {
		get := func(level, option int) int {
			v, _ := syscall.GetsockoptInt(int(fd), level, option)
			return v
		}
		text = fmt.Sprintf("timeout=%d keepalive=%d idle=%d interval=%d count=%d",
			get(syscall.IPPROTO_TCP, optUserTimeout), get(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE),
			get(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), get(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), get(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT))
	})
	return text
}

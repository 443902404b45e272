package links

import (
	"context"
	"syscall"
)

// optUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux. Its
// value is in milliseconds.
const optUserTimeout = 18

func controlDial(_ context.Context, _, _ string, c syscall.RawConn) error {
	return setUserTimeout(c)
}

func controlListen(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) }

func setUserTimeout(c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(TCPUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

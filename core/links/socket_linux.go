package links

import (
	"context"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of the platform, in milliseconds.
const tcpUserTimeout = 18

func limitUnacknowledged(_ context.Context, _, _ string, c syscall.RawConn) error {
	return setUserTimeout(c)
}

func limitUnacknowledgedListen(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) }

func setUserTimeout(c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(TCPUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

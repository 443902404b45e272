package conns

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that is closed in both directions (TCP_CLOSE).
const tcpClose = 7

// canWrite reports whether the sending direction of a connection is open. It returns false for ok where that isn't
// known.
func canWrite(c net.Conn) (isOpen, ok bool) {
	s, isSocket := c.(syscall.Conn)
	if !isSocket {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			isOpen, ok = i.State != tcpClose, true
		}
	})
	return isOpen, ok && err == nil
}

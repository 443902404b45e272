package conns

import (
	"errors"
	"syscall"
)

// usable reports whether the connection is open and nothing has come on it since
// the last answer. It asks the kernel and doesn't wait. Connections without a
// descriptor, which tests use, count as usable.
func (c *Conn) usable() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

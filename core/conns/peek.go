package conns

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// peekTimeout bounds the read that checks a connection without a file descriptor for unread
// bytes. Only in-memory networks have such connections.
const peekTimeout = time.Millisecond

// isReusable reports whether the connection is open and has received nothing since the last
// response. It queries the kernel and doesn't block.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return c.isQuiet()
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

func (c *Conn) isQuiet() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(peekTimeout)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.raw.SetReadDeadline(time.Time{}) == nil
}

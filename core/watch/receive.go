package watch

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// tryReader is a connection without a file descriptor, such as that of an in-memory network, that can
// be read without waiting. If nothing has been received the error is os.ErrDeadlineExceeded.
type tryReader interface {
	TryRead(p []byte) (int, error)
}

// receive reads what has been received, without waiting for more. If that is nothing, the error is
// os.ErrDeadlineExceeded.
func receive(c net.Conn, p []byte) (int, error) {
	if t, ok := c.(tryReader); ok {
		return t.TryRead(p)
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, errRead := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, errRead = syscall.Read(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(errRead, syscall.EAGAIN), errors.Is(errRead, syscall.EINTR):
		return 0, os.ErrDeadlineExceeded
	case errRead != nil:
		return 0, errRead
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// isAtEnd reports whether the end of a connection is all that is left to read. Another goroutine may be
// reading. It is false for connections without a file descriptor.
func isAtEnd(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	atEnd := false
	// Unlike Read, Control doesn't wait for the other goroutine.
	err = raw.Control(func(fd uintptr) {
		var p [1]byte
		n, _, err := syscall.Recvfrom(int(fd), p[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		atEnd = n == 0 && err == nil
	})
	return err == nil && atEnd
}

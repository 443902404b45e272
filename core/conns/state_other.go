//go:build !linux

package conns

import "net"

// canWrite isn't supported.
func canWrite(net.Conn) (isOpen, ok bool) { return false, false }

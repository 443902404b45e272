//go:build !linux

package links

import (
	"context"
	"syscall"
)

func controlDial(context.Context, string, string, syscall.RawConn) error { return nil }

func controlListen(string, string, syscall.RawConn) error { return nil }

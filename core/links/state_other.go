//go:build !linux

package links

import (
	"errors"
	"syscall"
	"time"

	"currantport.example/core/acks"
)

// readAckState isn't supported. Only keep-alive probes detect a peer that is gone.
func readAckState(syscall.RawConn, time.Time) (acks.State, error) {
	return acks.State{}, errors.ErrUnsupported
}

// boundDelivery isn't supported.
func boundDelivery(syscall.RawConn, time.Duration) {}

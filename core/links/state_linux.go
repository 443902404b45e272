package links

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"currantport.example/core/acks"
)

// readAckState returns the state of the sending direction of a TCP connection.
func readAckState(raw syscall.RawConn, now time.Time) (acks.State, error) {
	var s acks.State
	var read error
	err := raw.Control(func(fd uintptr) {
		pending, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil || pending == 0 {
			read = err
			return
		}
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			read = err
			return
		}
		s = acks.State{
			IsPending: true, Retransmits: int(i.Retransmits), Probes: int(i.Probes),
			SentAt:            now.Add(-time.Duration(i.Last_data_sent) * time.Millisecond),
			AcknowledgedAt:    now.Add(-time.Duration(i.Last_ack_recv) * time.Millisecond),
			RetransmitTimeout: time.Duration(i.Rto) * time.Microsecond,
		}
	})
	if err != nil {
		return acks.State{}, err
	}
	return s, read
}

// boundDelivery bounds the time without progress for which the kernel keeps pending data after the
// connection is closed. A failure leaves that to the kernel.
func boundDelivery(raw syscall.RawConn, timeout time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

package conns

import (
	"errors"
	"net"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response that isn't forwarded.
	maxSkippedBytes = 64 << 10
)

var errTooLong = errors.New("the upstream sends a head or a body without end")

// limit reads from a connection and bounds the bytes that are received, whatever they stand for:
// an upstream may send bytes that are no response, without end.
type limit struct {
	raw net.Conn
	// remaining is how many bytes may still be received while isSet is true.
	remaining int
	isSet     bool
}

func (l *limit) set(maxBytes int) { l.remaining, l.isSet = maxBytes, true }

func (l *limit) remove() { l.isSet = false }

// Read implements io.Reader.
func (l *limit) Read(p []byte) (int, error) {
	if !l.isSet {
		return l.raw.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := l.raw.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

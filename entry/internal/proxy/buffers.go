package proxy

import "sync/atomic"

// minBufferedBytes is what every request may buffer of a response, as much as it copies at a time.
const minBufferedBytes = copyBufferBytes

// buffers bounds the responses that all requests together buffer beyond minBufferedBytes each. Clients may
// read slowly, and some hundreds of them would take the memory of the process.
type buffers struct {
	// limit is the bound in bytes, or zero for none.
	limit int64
	used  atomic.Int64
}

// reserve reports whether a request may buffer maxBufferedBytes. It is followed by release if it may.
func (b *buffers) reserve() bool {
	if used := b.used.Add(maxBufferedBytes); b.limit == 0 || used <= b.limit {
		return true
	}
	b.release()
	return false
}

func (b *buffers) release() { b.used.Add(-maxBufferedBytes) }

// The states of the buffer of a request.
const (
	bufferUnused int32 = iota
	bufferReserved
	bufferDenied
	bufferReleased
)

// maxBuffered returns how many bytes of a response the request may buffer. The length of the response is negative
// if it isn't known.
func (l *lifecycle) maxBuffered(length int64) int {
	if length >= 0 && length < minBufferedBytes {
		return minBufferedBytes
	}
	if l.buffer.Load() == bufferUnused {
		l.reserveBuffer()
	}
	if l.buffer.Load() == bufferReserved {
		return maxBufferedBytes
	}
	return minBufferedBytes
}

// reserveBuffer may be called by attempts at several upstreams, also after the request has ended.
func (l *lifecycle) reserveBuffer() {
	state := bufferDenied
	if l.handler.buffers.reserve() {
		state = bufferReserved
	}
	if !l.buffer.CompareAndSwap(bufferUnused, state) && state == bufferReserved {
		l.handler.buffers.release()
	}
}

// releaseBuffer is called when the request has ended.
func (l *lifecycle) releaseBuffer() {
	if l.buffer.Swap(bufferReleased) == bufferReserved {
		l.handler.buffers.release()
	}
}

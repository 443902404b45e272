package front

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"currantport.example/core/calls"
)

const (
	maxUnaryBytes = 8 << 20
	// minBufferBytes is the first size of the buffer of a unary response.
	minBufferBytes = 4 << 10
)

// memory bounds the unary responses that all requests together buffer.
type memory struct {
	// limit is the bound in bytes, or zero for none.
	limit int64
	used  atomic.Int64
}

// take reports whether n more bytes may be buffered. They are given back by free.
func (m *memory) take(n int) bool {
	if used := m.used.Add(int64(n)); m.limit <= 0 || used <= m.limit {
		return true
	}
	m.free(n)
	return false
}

func (m *memory) free(n int) { m.used.Add(int64(-n)) }

// sink writes a response to a client. A unary response is written once it is complete, or as it
// arrives where there is no memory for it; if that fails, its connection is aborted. A stream is
// written as it arrives and ends with an end or error event, so that the client can tell a complete
// stream from a truncated one.
type sink struct {
	writer  http.ResponseWriter
	request calls.Request
	memory  *memory
	// isChunked is true if the end of a response without a length can be told from a broken connection.
	isChunked bool
	version   string
	status    int
	media     string
	// buffered is the received part of a unary response, at most maxUnaryBytes. Its capacity is taken from memory.
	buffered []byte
	started  bool
	// isTruncated is set if a unary response failed after it was started.
	isTruncated bool
}

func newSink(w http.ResponseWriter, r *http.Request, request calls.Request, m *memory) *sink {
	return &sink{writer: w, request: request, memory: m, isChunked: r.ProtoAtLeast(1, 1)}
}

// close frees the memory of the response.
func (s *sink) close() {
	s.memory.free(cap(s.buffered))
	s.buffered = nil
}

// Head implements sender.Sink.
func (s *sink) Head(version string, status int, media string) error {
	s.version, s.status, s.media = version, status, media
	return nil
}

// Data implements sender.Sink.
func (s *sink) Data(data []byte) error {
	if s.request.Stream || s.started {
		return s.write(data)
	}
	if len(s.buffered)+len(data) > maxUnaryBytes {
		return calls.Unknown(calls.ReasonTooLarge, 0, "the answer is longer than 8 MiB: ask for a stream")
	}
	if s.grow(len(s.buffered) + len(data)) {
		s.buffered = append(s.buffered, data...)
		return nil
	}
	if !s.isChunked {
		return calls.Unknown(calls.ReasonMemory, 0, "too many answers are being received")
	}
	if err := s.write(s.buffered); err != nil {
		return err
	}
	s.close()
	return s.write(data)
}

// grow returns false if there is no memory for a buffer of n bytes.
func (s *sink) grow(n int) bool {
	if n <= cap(s.buffered) {
		return true
	}
	size := min(max(n, 2*cap(s.buffered), minBufferBytes), maxUnaryBytes)
	if !s.memory.take(size) {
		return false
	}
	larger := make([]byte, len(s.buffered), size)
	copy(larger, s.buffered)
	s.close()
	s.buffered = larger
	return true
}

// Started implements sender.Sink.
func (s *sink) Started() bool { return s.started }

// Reset implements sender.Sink.
func (s *sink) Reset() { s.close() }

func (s *sink) finish(refusal *calls.Refusal) {
	switch {
	case refusal == nil && s.request.Stream:
		_ = s.write([]byte("event: end\ndata: {\"outcome\":\"answered\"}\n\n"))
	case refusal == nil && s.started:
		// All of it was written as it arrived.
	case refusal == nil:
		// With the length known, the response is flushed complete before the handler
		// returns.
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(s.buffered)))
		_ = s.write(s.buffered)
	case !s.started:
		calls.WriteProblem(s.writer, s.request.ID, refusal)
	case !s.request.Stream:
		s.isTruncated = true
	default:
		_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", calls.EncodeProblem(s.request.ID, refusal)))
	}
}

func (s *sink) writeHeader() {
	s.started = true
	h := s.writer.Header()
	h.Set("Content-Type", s.media)
	h.Set(calls.HeaderID, string(s.request.ID))
	if !s.request.Stream {
		h.Set(calls.HeaderOutcome, string(calls.OutcomeAnswered))
	}
	if s.version != "" {
		h.Set(calls.HeaderVersion, s.version)
	}
	s.writer.WriteHeader(s.status)
}

func (s *sink) write(data []byte) error {
	if !s.started {
		s.writeHeader()
	}
	if _, err := s.writer.Write(data); err != nil {
		return disconnected(err)
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil {
		return disconnected(err)
	}
	return nil
}

// disconnected returns the outcome of a request whose response can't be written to the client.
func disconnected(err error) error {
	return calls.Unknown(calls.ReasonCanceled, 0, "the caller has gone: "+err.Error())
}

package front

import (
	"fmt"
	"net/http"
	"strconv"

	"currantport.example/core/calls"
)

const maxUnaryBytes = 8 << 20

// sink writes a response to a client. A unary response is written once it is complete. A
// stream is written as it arrives and ends with an end or error event, so that the client can
// tell a complete stream from a truncated one.
type sink struct {
	writer  http.ResponseWriter
	request calls.Request
	version string
	status  int
	media   string
	// buffered is the received part of a unary response, at most maxUnaryBytes.
	buffered []byte
	started  bool
}

func newSink(w http.ResponseWriter, request calls.Request) *sink {
	return &sink{writer: w, request: request}
}

// Head implements sender.Sink.
func (s *sink) Head(version string, status int, media string) error {
	s.version, s.status, s.media = version, status, media
	return nil
}

// Data implements sender.Sink.
func (s *sink) Data(data []byte) error {
	if s.request.Stream {
		return s.write(data)
	}
	if len(s.buffered)+len(data) > maxUnaryBytes {
		return calls.Unknown(calls.ReasonTooLarge, 0, "the answer is longer than 8 MiB: ask for a stream")
	}
	s.buffered = append(s.buffered, data...)
	return nil
}

// Started implements sender.Sink.
func (s *sink) Started() bool { return s.started }

// Reset implements sender.Sink.
func (s *sink) Reset() { s.buffered = nil }

func (s *sink) finish(refusal *calls.Refusal) {
	switch {
	case refusal == nil && s.request.Stream:
		_ = s.write([]byte("event: end\ndata: {\"outcome\":\"answered\"}\n\n"))
	case refusal == nil:
		// With the length known, the response is flushed complete before the handler
		// returns.
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(s.buffered)))
		_ = s.write(s.buffered)
	case !s.started:
		calls.WriteProblem(s.writer, s.request.ID, refusal)
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

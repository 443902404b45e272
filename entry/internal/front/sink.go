package front

import (
	"fmt"
	"net/http"
	"strconv"

	"currantport.example/core/calls"
)

const maxUnaryBytes = 8 << 20

// sink writes an answer to a caller. A unary answer is written once it is
// whole; a stream is written as it comes and ends with an event of its own.
type sink struct {
	writer  http.ResponseWriter
	request calls.Request
	version string
	status  int
	media   string
	// held is the part of a unary answer that has come, at most maxUnaryBytes.
	held  []byte
	begun bool
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
	if len(s.held)+len(data) > maxUnaryBytes {
		return calls.Unknown(calls.ReasonTooLarge, 0, "the answer is longer than 8 MiB: ask for a stream")
	}
	s.held = append(s.held, data...)
	return nil
}

// Started implements sender.Sink.
func (s *sink) Started() bool { return s.begun }

// Reset implements sender.Sink.
func (s *sink) Reset() { s.held = nil }

func (s *sink) finish(refusal *calls.Refusal) {
	switch {
	case refusal == nil && s.request.Stream:
		_ = s.write([]byte("event: end\ndata: {\"outcome\":\"answered\"}\n\n"))
	case refusal == nil:
		// The length lets the answer leave whole at once, before the handler ends.
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(s.held)))
		_ = s.write(s.held)
	case !s.begun:
		calls.WriteProblem(s.writer, s.request.ID, refusal)
	default:
		_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", calls.EncodeProblem(s.request.ID, refusal)))
	}
}

func (s *sink) begin() {
	s.begun = true
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
	if !s.begun {
		s.begin()
	}
	if _, err := s.writer.Write(data); err != nil {
		return gone(err)
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil {
		return gone(err)
	}
	return nil
}

// gone is the outcome of a request whose caller takes no answer.
func gone(err error) error {
	return calls.Unknown(calls.ReasonCanceled, 0, "the caller has gone: "+err.Error())
}

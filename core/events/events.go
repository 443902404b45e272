// Package events reads streams of server-sent events, so that a stream which breaks
// off can go on elsewhere without a gap, a repetition or half an event.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds the length of one event.
const maxEvent = 1 << 20

// ErrPartial tells that the stream ended within an event.
var ErrPartial = errors.New("the stream ended within an event")

// ErrTooLong tells that an event is longer than allowed.
var ErrTooLong = errors.New("an event is too long")

// Event is one event as it came.
type Event struct {
	// Data holds all bytes of the event with the empty line at its end.
	Data []byte
	// ID is that of the event, or empty if it names none.
	ID string
}

// Reader cuts a stream into events.
type Reader struct{ source *bufio.Reader }

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReader(r)} }

// HasBuffered reports whether more of the stream has come already.
func (r *Reader) HasBuffered() bool { return r.source.Buffered() > 0 }

// Next returns the next event. At the proper end of the stream the error is io.EOF.
// If that is within an event, the error is ErrPartial and the event holds the bytes
// that have come.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.line()
		e.Data = append(e.Data, line...)
		if len(e.Data) > maxEvent {
			return Event{}, ErrTooLong
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.Data) > 0 {
				return e, ErrPartial
			}
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(e.Data) > len(line) {
				return e, nil
			}
			// Empty lines between events belong to the next one.
			continue
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// line returns a line with its end. The bytes are valid until the next call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		whole := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(whole) <= maxEvent {
			line, err = r.source.ReadSlice('\n')
			whole = append(whole, line...)
		}
		return whole, err
	}
	return line, err
}

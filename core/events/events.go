// Package events splits streams of server-sent events into whole events, so that an
// interrupted stream can continue at another upstream without gaps, duplicates or partial
// events.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the length of one event.
const maxEventBytes = 1 << 20

// ErrPartial is returned if the stream ends within an event.
var ErrPartial = errors.New("the stream ended within an event")

// ErrTooLong is returned if an event is longer than 1 MiB.
var ErrTooLong = errors.New("an event is longer than 1 MiB")

// Event is one event as it was received.
type Event struct {
	// Data holds all bytes of the event including the empty line at its end.
	Data []byte
	// ID is the id field of the event, or empty if it has none.
	ID string
}

// Reader splits a stream into events.
type Reader struct{ source *bufio.Reader }

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader { return &Reader{source: bufio.NewReader(r)} }

// HasBuffered reports whether more bytes of the stream have been received already.
func (r *Reader) HasBuffered() bool { return r.source.Buffered() > 0 }

// Next returns the next event. Comments, empty lines and blocks without an id or data are no
// events; their bytes belong to the next one. At the end of the stream the error is io.EOF, and
// the event holds the bytes after the last one. If the stream ends within an event, the error is
// ErrPartial and the event holds the bytes that were received. Other errors are those of the
// source, or ErrTooLong.
func (r *Reader) Next() (Event, error) {
	var e Event
	// inBlock is true after a line that isn't empty, isEvent after an id or data.
	inBlock, isEvent := false, false
	for {
		line, err := r.readLine()
		e.Data = append(e.Data, line...)
		if len(e.Data) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, io.EOF) {
			if inBlock || len(line) > 0 {
				return e, ErrPartial
			}
			return e, io.EOF
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if isEvent {
				return e, nil
			}
			inBlock = false
			continue
		}
		inBlock = true
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch string(name) {
		case "id":
			isEvent, e.ID = true, string(bytes.TrimPrefix(value, []byte(" ")))
		case "data":
			isEvent = true
		}
	}
}

// readLine returns a line with its line ending. The bytes are valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.source.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		whole := bytes.Clone(line)
		for errors.Is(err, bufio.ErrBufferFull) && len(whole) <= maxEventBytes {
			line, err = r.source.ReadSlice('\n')
			whole = append(whole, line...)
		}
		return whole, err
	}
	return line, err
}

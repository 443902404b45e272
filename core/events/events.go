// Package events splits streams of server-sent events into whole events, so that an
// interrupted stream can continue at another upstream without gaps, duplicates or partial
// events.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxEventBytes bounds the length of one event.
	maxEventBytes = 1 << 20
	// allowanceStep is the length of an event that a reader may keep in any case, and what it takes
	// from the allowance at a time beyond that.
	allowanceStep = 32 << 10
)

// ErrPartial is returned if the stream ends within an event.
var ErrPartial = errors.New("the stream ended within an event")

// ErrTooLong is returned if an event is longer than 1 MiB.
var ErrTooLong = errors.New("an event is longer than 1 MiB")

// ErrNoAllowance is returned if the readers of an allowance keep too many bytes of long events.
var ErrNoAllowance = errors.New("too many long events are being received")

// Allowance bounds the bytes that its readers keep together, beyond 32 KiB each. A source may send bytes that
// never end an event. It is safe for concurrent use.
type Allowance struct{ left atomic.Int64 }

// NewAllowance returns an allowance of the given number of bytes.
func NewAllowance(bytes int64) *Allowance {
	a := &Allowance{}
	a.left.Store(bytes)
	return a
}

// take reserves a step and reports whether there was one.
func (a *Allowance) take() bool {
	if a.left.Add(-allowanceStep) >= 0 {
		return true
	}
	a.left.Add(allowanceStep)
	return false
}

// Event is one event as it was received.
type Event struct {
	// Data holds all bytes of the event including the empty line at its end.
	Data []byte
	// ID is the id field of the event, or empty if it has none.
	ID string
}

// Reader splits a stream into events.
type Reader struct {
	source    *bufio.Reader
	allowance *Allowance
	// taken is what the current event has taken from the allowance, in bytes.
	taken int
}

// NewReader returns a reader of the stream. The caller calls Release when it needs no more events.
func NewReader(r io.Reader, a *Allowance) *Reader {
	return &Reader{source: bufio.NewReader(r), allowance: a}
}

// Release returns to the allowance what the last event has taken.
func (r *Reader) Release() {
	r.allowance.left.Add(int64(r.taken))
	r.taken = 0
}

// HasBuffered reports whether more bytes of the stream have been received already.
func (r *Reader) HasBuffered() bool { return r.source.Buffered() > 0 }

// Next returns the next event. Comments, empty lines and blocks without an id or data are no
// events; their bytes belong to the next one. At the end of the stream the error is io.EOF, and
// the event holds the bytes after the last one. If the stream ends within an event, the error is
// ErrPartial and the event holds the bytes that were received. Other errors are those of the
// source, ErrTooLong, or ErrNoAllowance. An event is kept until the next call.
func (r *Reader) Next() (Event, error) {
	r.Release()
	var e Event
	// inBlock is true after a line that isn't empty, isEvent after an id or data.
	inBlock, isEvent := false, false
	for {
		line, err := r.appendLine(&e)
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

// appendLine appends the next line to the event and returns it with its line ending.
func (r *Reader) appendLine(e *Event) ([]byte, error) {
	start := len(e.Data)
	for {
		part, err := r.source.ReadSlice('\n')
		if keepErr := r.keep(len(e.Data) + len(part)); keepErr != nil {
			return nil, keepErr
		}
		e.Data = append(e.Data, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.Data[start:], err
		}
	}
}

// keep takes what an event of the length needs from the allowance.
func (r *Reader) keep(length int) error {
	if length > maxEventBytes {
		return ErrTooLong
	}
	for r.taken+allowanceStep < length {
		if !r.allowance.take() {
			return ErrNoAllowance
		}
		r.taken += allowanceStep
	}
	return nil
}

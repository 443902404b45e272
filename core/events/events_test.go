package events_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"currantport.example/core/events"
)

func collect(r io.Reader) ([]events.Event, error) {
	e := events.NewReader(r)
	var all []events.Event
	for {
		next, err := e.Next()
		if err != nil {
			if len(next.Data) > 0 {
				all = append(all, next)
			}
			return all, err
		}
		all = append(all, next)
	}
}

func TestEventsKeepTheirBytes(t *testing.T) {
	const stream = "id: 1\ndata: a\n\n\nversion: 2\r\nid:2\r\ndata: b\r\ndata: c\r\n\r\ndata: no id\n\n"
	all, err := collect(strings.NewReader(stream))
	if !errors.Is(err, io.EOF) || len(all) != 3 {
		t.Fatalf("%d events, %v", len(all), err)
	}
	var joined bytes.Buffer
	for i, want := range []string{"1", "2", ""} {
		joined.Write(all[i].Data)
		if all[i].ID != want {
			t.Errorf("event %d has id %q", i, all[i].ID)
		}
	}
	if joined.String() != stream {
		t.Errorf("%q, want %q", joined.String(), stream)
	}
}

func TestPartialEventIsReported(t *testing.T) {
	for _, end := range []string{"id: 2", "id: 2\n", "id: 2\ndata: x\n", ":x", ":x\n", ":x\n\nid: 2\n"} {
		all, err := collect(strings.NewReader("id: 1\n\n" + end))
		if !errors.Is(err, events.ErrPartial) || len(all) != 2 || string(all[1].Data) != end {
			t.Errorf("%q: %d events, %v", end, len(all), err)
		}
		broken := io.MultiReader(strings.NewReader("id: 1\n\n"+end), iotest.ErrReader(io.ErrUnexpectedEOF))
		all, err = collect(broken)
		if !errors.Is(err, io.ErrUnexpectedEOF) || len(all) != 1 {
			t.Errorf("%q, interrupted: %d events, %v", end, len(all), err)
		}
	}
}

// TestOnlyEventsCountAsEvents guards against bytes that are no events being taken for progress.
func TestOnlyEventsCountAsEvents(t *testing.T) {
	const idle = "\n\n\n: here\n\n:\n\nretry: 5\n\ngarbage\r\n\r\n"
	all, err := collect(strings.NewReader(idle + "id: 1\ndata: a\n\n" + idle + "data\n\n" + idle))
	if !errors.Is(err, io.EOF) || len(all) != 3 {
		t.Fatalf("%d events, %v", len(all), err)
	}
	for i, want := range []events.Event{
		{Data: []byte(idle + "id: 1\ndata: a\n\n"), ID: "1"}, {Data: []byte(idle + "data\n\n")}, {Data: []byte(idle)},
	} {
		if string(all[i].Data) != string(want.Data) || all[i].ID != want.ID {
			t.Errorf("event %d: %q, %q", i, all[i].Data, all[i].ID)
		}
	}
	for _, text := range []string{":x\n", ":x\n\n", "\n", "garbage\n\n"} {
		all, err := collect(io.MultiReader(strings.NewReader("id: 1\n\n"), strings.NewReader(strings.Repeat(text, 2<<20))))
		if !errors.Is(err, events.ErrTooLong) || len(all) != 1 {
			t.Errorf("%q without end: %d events, %v", text, len(all), err)
		}
	}
}

func TestLongEventIsAnError(t *testing.T) {
	if _, err := collect(strings.NewReader("data: " + strings.Repeat("x", 2<<20))); !errors.Is(err, events.ErrTooLong) {
		t.Errorf("%v", err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"))
	f.Add([]byte("\r\n\r\n:x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := collect(bytes.NewReader(data))
		slow, slowErr := collect(iotest.OneByteReader(bytes.NewReader(data)))
		if len(whole) != len(slow) || errors.Is(err, events.ErrPartial) != errors.Is(slowErr, events.ErrPartial) {
			t.Errorf("%d events at once, %d byte by byte", len(whole), len(slow))
		}
		var joined []byte
		for _, e := range whole {
			joined = append(joined, e.Data...)
		}
		if !bytes.HasPrefix(data, joined) {
			t.Errorf("%q isn't the start of %q", joined, data)
		}
	})
}

package events_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"currantport.example/core/events"
)

func collect(r io.Reader) ([]events.Event, error) { return readAll(r, events.NewAllowance(2<<20)) }

func readAll(r io.Reader, a *events.Allowance) ([]events.Event, error) {
	e := events.NewReader(r, a)
	defer e.Release()
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

// pausedSource returns a text without end, and pauses at the given length until it is closed.
type pausedSource struct {
	text   string
	length int
	read   int
	// paused is set once a reader has kept all that was read and wants more.
	paused bool
	closed chan struct{}
}

// Read implements io.Reader.
func (p *pausedSource) Read(b []byte) (int, error) {
	if p.read >= p.length {
		p.paused = true
		<-p.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(b, strings.Repeat(p.text, len(b)/len(p.text)+1))
	p.read += n
	return n, nil
}

// run reads an event.
func (p *pausedSource) run(a *events.Allowance, results chan<- error) {
	r := events.NewReader(p, a)
	defer r.Release()
	_, err := r.Next()
	results <- err
}

// TestReadersOfOneAllowanceKeepBoundedBytes has many sources send bytes that never end an event. It guards
// against a process that runs out of memory by them.
func TestReadersOfOneAllowanceKeepBoundedBytes(t *testing.T) {
	const count, length, allowance = 50, 900 << 10, 8 << 20
	for _, text := range []string{"x", ":\n", "\n", "data: x\n"} {
		synctest.Test(t, func(t *testing.T) {
			a, results, closed := events.NewAllowance(allowance), make(chan error, count), make(chan struct{})
			var sources []*pausedSource
			for range count {
				s := &pausedSource{text: text, length: length, closed: closed}
				sources = append(sources, s)
				go s.run(a, results)
			}
			synctest.Wait()
			kept, failed := 0, len(results)
			for _, s := range sources {
				if s.paused {
					kept += s.read
				}
			}
			if most := allowance + count*(32<<10); kept > most || failed == 0 {
				t.Errorf("%q: %d bytes are kept, want at most %d; %d of %d were refused", text, kept, most, failed, count)
			}
			close(closed)
			for range count {
				<-results
			}
			// All is given back.
			if all, err := readAll(strings.NewReader("data: "+strings.Repeat("x", length)+"\n\n"), a); !errors.Is(err, io.EOF) || len(all) != 1 {
				t.Errorf("%q: %d events afterwards, %v", text, len(all), err)
			}
		})
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

package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// bufferBytes is the bound of the world for long responses.
	bufferBytes = 2 << 20
	// requestBytes is more than what a request holds beside it: the start of the response, and what is in flight
	// and in the buffers of its connection.
	requestBytes = 64 << 10
)

// pausingWriter is a client that reads nothing for some time.
type pausingWriter struct {
	http.ResponseWriter
	pause time.Duration
	once  *sync.Once
}

// Write implements io.Writer.
func (w pausingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { time.Sleep(w.pause) })
	return w.ResponseWriter.Write(p)
}

// TestResponsesOfSlowClientsAreBounded guards against slow clients of long responses that take the memory of
// the entry together.
func TestResponsesOfSlowClientsAreBounded(t *testing.T) {
	const clients = 60
	long := bytes.Repeat([]byte("0123456789abcdef"), 32*kilobyte)
	var sent atomic.Int64
	play(t, 2, func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", v.id, len(long))
		for rest := long; len(rest) > 0; {
			n, err := w.Write(rest[:min(len(rest), kilobyte)])
			sent.Add(int64(n))
			if err != nil {
				return
			}
			rest = rest[n:]
		}
	}, func(w *world) {
		w.wrap = func(r http.ResponseWriter) http.ResponseWriter {
			return pausingWriter{ResponseWriter: r, pause: 2 * time.Second, once: &sync.Once{}}
		}
		// The second round shows that what was reserved is released.
		for round := range 2 {
			sent.Store(0)
			var group sync.WaitGroup
			for range clients {
				group.Go(func() {
					if a := w.request(context.Background(), "/any/x"); a.aborted || !bytes.Equal(a.Body.Bytes(), long) {
						t.Errorf("round %d: aborted %t after %d of %d bytes", round, a.aborted, a.Body.Len(), len(long))
					}
				})
			}
			time.Sleep(time.Second)
			if got, most := sent.Load(), int64(bufferBytes+clients*requestBytes); got > most || got < bufferBytes {
				t.Errorf("round %d: %d bytes are held for %d clients that read nothing, want at most %d", round, got, clients, most)
			}
			group.Wait()
		}
	})
}

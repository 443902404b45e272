package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// bodyMemory is the bound of the world for request bodies, of which longBody is a tenth.
	bodyMemory = 1 << 20
	longBody   = bodyMemory / 10
)

// sendBody sends a request with a body and returns its status, or zero if its connection was aborted.
func (w *world) sendBody(ctx context.Context, path string, body io.Reader, length int64) (status int) {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, body).WithContext(ctx)
	r.RequestURI, r.ContentLength = path, length
	r.Header = http.Header{"Id": {"q"}, "Key": {"secret"}}
	recorder := httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			status = 0
		}
	}()
	w.handler.ServeHTTP(recorder, r)
	return recorder.Code
}

func whole() io.Reader { return bytes.NewReader(make([]byte, longBody)) }

// TestMemoryOfBodiesIsFreedOnEveryWayOut plays more requests of each kind than fit into memory together.
func TestMemoryOfBodiesIsFreedOnEveryWayOut(t *testing.T) {
	broken := func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 9\r\n\r\npart", v.id)
	}
	for name, c := range map[string]struct {
		script func(w io.Writer, v visit)
		body   func() io.Reader
		length int64
		leaves time.Duration
	}{
		"answered":          {script: answerAfter(0), body: whole, length: longBody},
		"answered, chunked": {script: answerAfter(0), body: whole, length: -1},
		"failed":            {script: answerFailure, body: whole, length: longBody},
		"refused":           {script: declineAll, body: whole, length: longBody},
		"panicked":          {script: answerPanic, body: whole, length: longBody},
		"broken":            {script: broken, body: whole, length: longBody},
		"canceled":          {script: func(_ io.Writer, v visit) { <-v.ended }, body: whole, length: longBody, leaves: 100 * time.Millisecond},
		"cut short":         {script: answerAfter(0), body: func() io.Reader { return io.LimitReader(whole(), 100) }, length: longBody},
	} {
		var isSound atomic.Bool
		script := func(w io.Writer, v visit) {
			if isSound.Load() {
				answerAfter(0)(w, v)
			} else {
				c.script(w, v)
			}
		}
		play(t, 2, script, func(w *world) {
			for range 30 {
				ctx, cancel := context.WithCancel(context.Background())
				if c.leaves > 0 {
					time.AfterFunc(c.leaves, cancel)
				}
				w.sendBody(ctx, "/slow/x", c.body(), c.length)
				cancel()
			}
			isSound.Store(true)
			time.Sleep(5 * time.Second)
			w.apply()
			var group sync.WaitGroup
			// As many as fit at a time.
			for range 7 {
				group.Go(func() {
					if status := w.sendBody(context.Background(), "/any/x", whole(), longBody); status != http.StatusOK {
						t.Errorf("after requests that were %s: status %d", name, status)
					}
				})
			}
			group.Wait()
		})
	}
}

// TestLongBodiesLeaveRoomForShortOnes has more requests with long bodies run than fit into memory.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	play(t, 2, answerAfter(2*time.Second), func(w *world) {
		const clients = 20
		statuses := make(chan int, clients)
		for range clients {
			go func() { statuses <- w.sendBody(context.Background(), "/slow/x", whole(), longBody) }()
		}
		time.Sleep(time.Second)
		if n := len(w.received()); n == 0 || n*longBody > bodyMemory*3/4 {
			t.Errorf("%d requests with long bodies were sent", n)
		}
		if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusOK {
			t.Errorf("a short request beside them: status %d", a.Code)
		}
		count := make(map[int]int)
		for range clients {
			count[<-statuses]++
		}
		if count[http.StatusOK]+count[http.StatusServiceUnavailable] != clients || count[http.StatusOK] == 0 {
			t.Errorf("requests by status: %v", count)
		}
	})
}

// TestBodyAboveTheLimitIsNotRead announces a body above the limit.
func TestBodyAboveTheLimitIsNotRead(t *testing.T) {
	play(t, 1, answerAfter(0), func(w *world) {
		body := bytes.NewReader(make([]byte, 5<<20))
		if status := w.sendBody(context.Background(), "/any/x", body, int64(body.Len())); status != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d", status)
		}
		if read := 5<<20 - body.Len(); read > 0 {
			t.Errorf("%d bytes were read", read)
		}
	})
}

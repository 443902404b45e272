package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"currantport.example/core/clocks"
)

// flood writes the text until the connection is closed. Pause is the time between two of them.
func flood(w io.Writer, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

const (
	kilobyte = 1 << 10
	// trickle is short enough that a timer for silence never fires.
	trickle = 50 * time.Millisecond
)

// TestDecliningUpstreamIsNotWaitedFor has an upstream decline a request with a body that doesn't
// end.
func TestDecliningUpstreamIsNotWaitedFor(t *testing.T) {
	for name, body := range map[string]func(w io.Writer, v visit){
		"missing":         func(w io.Writer, v visit) { fmt.Fprint(w, "Content-Length: 9\r\n\r\n"); <-v.ended },
		"trickled":        func(w io.Writer, _ visit) { fmt.Fprint(w, "Content-Length: 999\r\n\r\n"); flood(w, "x", trickle) },
		"endless":         func(w io.Writer, _ visit) { fmt.Fprint(w, "\r\n"); flood(w, strings.Repeat("x", kilobyte), 0) },
		"close-delimited": func(w io.Writer, v visit) { fmt.Fprint(w, "\r\n"); <-v.ended },
	} {
		for _, path := range []string{"/once/x", "/any/x", "/rush/x"} {
			play(t, 2, func(w io.Writer, v visit) {
				if v.number > 0 {
					framingLength.write(w, v.id, numbered(1))
					return
				}
				fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\n", v.id)
				body(w, v)
			}, func(w *world) {
				began := time.Now()
				a := w.request(context.Background(), path)
				if took := time.Since(began); a.Code != http.StatusOK || took > 150*time.Millisecond {
					t.Errorf("%s, %s: %d after %v", name, path, a.Code, took)
				}
				<-w.received()[0].ended
				if took := time.Since(began); took > 150*time.Millisecond {
					t.Errorf("%s, %s: the upstream was left after %v", name, path, took)
				}
			})
		}
	}
}

// TestEndlessHeadIsLost sends a head without end.
func TestEndlessHeadIsLost(t *testing.T) {
	for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/any/x": http.StatusOK, "/rush/x": http.StatusBadGateway, "/flow/x": http.StatusOK} {
		play(t, 2, func(w io.Writer, v visit) {
			if v.number > 0 {
				framingLength.write(w, v.id, numbered(1))
				return
			}
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nA: ")
			flood(w, strings.Repeat("x", kilobyte), 0)
		}, func(w *world) {
			began := time.Now()
			a := w.request(context.Background(), path)
			if took := time.Since(began); a.Code != want || took > 100*time.Millisecond {
				t.Errorf("%s: %d after %v", path, a.Code, took)
			}
			<-w.received()[0].ended
		})
	}
}

// TestEndlessBodyIsAborted sends a body without end. The client must get an end that doesn't look
// complete by its deadline, and the upstream must be left.
func TestEndlessBodyIsAborted(t *testing.T) {
	chunk := strings.Repeat("x", kilobyte)
	for name, text := range map[string]string{"": chunk, "Transfer-Encoding: chunked\r\n": fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)} {
		for _, path := range []string{"/once/x", "/any/x"} {
			play(t, 2, func(w io.Writer, v visit) {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n%s\r\n", v.id, name)
				flood(w, text, time.Millisecond)
			}, func(w *world) {
				began := time.Now()
				a := w.request(context.Background(), path, "Timeout", "1500")
				if took := time.Since(began); !a.aborted && a.Code == http.StatusOK || took > 1600*time.Millisecond {
					t.Errorf("%q, %s: aborted %t, %d after %v", name, path, a.aborted, a.Code, took)
				}
				for _, v := range w.received() {
					<-v.ended
				}
				if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) > 0 {
					t.Errorf("%q, %s: still counted: %+v", name, path, loads)
				}
			})
		}
	}
}

// TestLongFailureIsNotCutShort has an upstream fail with a response that isn't kept whole.
func TestLongFailureIsNotCutShort(t *testing.T) {
	long := strings.Repeat("x", 300*kilobyte)
	for _, f := range framings {
		failed := func(w io.Writer, v visit) { f.writeStatus(w, v.id, "500 Failed", long) }
		play(t, 2, failed, func(w *world) {
			for _, path := range []string{"/once/x", "/any/x"} {
				a := w.request(context.Background(), path)
				if a.aborted || a.Code != http.StatusInternalServerError || a.Body.String() != long {
					t.Errorf("%s, %s: aborted %t, %d with %d bytes", f, path, a.aborted, a.Code, a.Body.Len())
				}
			}
		})
	}
}

// TestSlowLongResponseIsForwardedWhole has a response pause after it has begun to be forwarded.
func TestSlowLongResponseIsForwardedWhole(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 40*kilobyte)
	for _, path := range []string{"/once/x", "/any/x"} {
		play(t, 2, func(w io.Writer, v visit) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n%s", v.id, long[:len(long)/2])
			time.Sleep(time.Second)
			_, _ = w.Write(long[len(long)/2:])
		}, func(w *world) {
			if a := w.request(context.Background(), path); a.aborted || !bytes.Equal(a.Body.Bytes(), long) {
				t.Errorf("%s: aborted %t after %d of %d bytes", path, a.aborted, a.Body.Len(), len(long))
			}
		})
	}
}

// TestStreamWithoutProgressResumes has a stream go on without new events. Clients give up after a
// gap of two seconds.
func TestStreamWithoutProgressResumes(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"comment":          ": here\n\n",
		"comment lines":    ": here\n",
		"empty lines":      "\n",
		"unknown fields":   "retry: 5\n\n",
		"earlier event":    numbered(1),
		"event, endless":   "data: x\n",
		"line of an event": "x",
	} {
		for _, size := range []int{1, kilobyte} {
			pause := trickle
			if size > 1 {
				pause = 0
			}
			play(t, 2, func(w io.Writer, v visit) {
				if v.number > 0 {
					framingLength.write(w, v.id, numbered(2))
					return
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n%s", v.id, numbered(1))
				flood(w, strings.Repeat(text, size), pause)
			}, func(w *world) {
				began := time.Now()
				a := w.request(context.Background(), "/flow/x")
				if took := time.Since(began); a.aborted || a.Body.String() != numbered(1)+numbered(2) || took > 2*time.Second {
					t.Errorf("%s, %d at once: aborted %t after %v, %d bytes", name, size, a.aborted, took, a.Body.Len())
				}
				<-w.received()[0].ended
			})
		}
	}
}

// TestStreamWithoutEventsIsAborted has a stream send no event at all.
func TestStreamWithoutEventsIsAborted(t *testing.T) {
	for _, text := range []string{": here\n\n", "\n", "x"} {
		for path, want := range map[string]int{"/flow/x": http.StatusOK, "/rush/x": http.StatusGatewayTimeout} {
			play(t, 2, func(w io.Writer, v visit) {
				if v.number > 0 {
					framingLength.write(w, v.id, numbered(1))
					return
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n", v.id)
				flood(w, text, trickle)
			}, func(w *world) {
				began := time.Now()
				a := w.request(context.Background(), path, "Timeout", "1500")
				if took := time.Since(began); a.aborted || a.Code != want || took > 1600*time.Millisecond {
					t.Errorf("%q, %s: aborted %t, %d after %v", text, path, a.aborted, a.Code, took)
				}
				<-w.received()[0].ended
			})
		}
	}
}

// TestStreamsWithoutEventsKeepBoundedMemory has many streams send bytes that never end an event, beside a
// sound one. It guards against an entry that runs out of memory, with which all its requests would end.
func TestStreamsWithoutEventsKeepBoundedMemory(t *testing.T) {
	const streams, length, most = 80, 900 * kilobyte, 48 << 20
	play(t, 2, func(w io.Writer, v visit) {
		begin(w, v.id)
		event(w, numbered(1))
		if v.id == "sound" {
			event(w, numbered(2))
			end(w)
			return
		}
		for range length / kilobyte {
			event(w, strings.Repeat("x", kilobyte))
		}
		<-v.ended
	}, func(w *world) {
		ctx, stop := context.WithCancel(context.Background())
		var group sync.WaitGroup
		before := heapBytes()
		for i := range streams {
			group.Go(func() { w.request(ctx, "/gush/x", "Id", fmt.Sprint(i)) })
		}
		time.Sleep(2 * time.Second)
		if kept := heapBytes() - before; kept > most {
			t.Errorf("%d streams keep %d bytes, want at most %d", streams, kept, most)
		}
		if a := w.request(context.Background(), "/gush/x", "Id", "sound"); a.aborted || a.Body.String() != numbered(1)+numbered(2) {
			t.Errorf("a sound stream: aborted %t, %q", a.aborted, a.Body)
		}
		stop()
		group.Wait()
	})
}

// heapBytes returns the bytes in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

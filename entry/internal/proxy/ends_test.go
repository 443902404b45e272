package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/calls"
)

// framing is how the end of a response is marked.
type framing string

const (
	framingLength framing = "length"
	framingChunks framing = "chunks"
	framingClose  framing = "close"
	framingHTTP10 framing = "HTTP/1.0"
)

var framings = []framing{framingLength, framingChunks, framingClose, framingHTTP10}

// write writes a whole successful response with the body.
func (f framing) write(w io.Writer, id, body string) { f.writeStatus(w, id, "200 OK", body) }

func (f framing) writeStatus(w io.Writer, id, status, body string) {
	version, header := "HTTP/1.1", ""
	switch f {
	case framingLength:
		header = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case framingChunks:
		header = "Transfer-Encoding: chunked\r\n"
	case framingHTTP10:
		version = "HTTP/1.0"
	}
	fmt.Fprintf(w, "%s %s\r\nId: %s\r\nSignature: s\r\n%s\r\n", version, status, id, header)
	if f != framingChunks {
		fmt.Fprint(w, body)
		return
	}
	event(w, body)
	end(w)
}

// TestStreamCutWithinEventIsNoEnd ends a stream properly, but within an event.
func TestStreamCutWithinEventIsNoEnd(t *testing.T) {
	for _, f := range framings {
		for _, part := range []string{"id: 2", "id: 2\ndata: x2\n", ": x\nid"} {
			script := func(w io.Writer, v visit) {
				if v.number == 0 {
					f.write(w, v.id, numbered(1)+part)
					return
				}
				f.write(w, v.id, numbered(2)+numbered(3))
			}
			play(t, 2, script, func(w *world) {
				a := w.request(context.Background(), "/flow/x")
				if a.aborted || a.Body.String() != numbered(1)+numbered(2)+numbered(3) {
					t.Errorf("%s, %q: aborted %t, %q", f, part, a.aborted, a.Body)
				}
				if seen := w.received(); len(seen) != 2 || seen[1].after != "1" {
					t.Errorf("%s, %q: %d attempts", f, part, len(seen))
				}
			})
			play(t, 2, script, func(w *world) {
				a := w.request(context.Background(), "/rush/x")
				if !a.aborted || a.Body.String() != numbered(1) || len(w.received()) != 1 {
					t.Errorf("%s, %q: aborted %t after %d attempts, %q", f, part, a.aborted, len(w.received()), a.Body)
				}
			})
		}
	}
}

// TestStreamCutWithinFirstEventIsNoResponse checks that nothing of such a stream is forwarded.
func TestStreamCutWithinFirstEventIsNoResponse(t *testing.T) {
	for _, f := range framings {
		play(t, 2, func(w io.Writer, v visit) { f.write(w, v.id, "id: 1\nda") }, func(w *world) {
			if a := w.request(context.Background(), "/rush/x"); a.Code != http.StatusBadGateway || strings.Contains(a.Body.String(), "id") {
				t.Errorf("%s: %d %q", f, a.Code, a.Body)
			}
		})
	}
}

// TestWholeStreamEndsWithItsFraming checks that a stream is complete after its last event, also
// if only the end of the connection says so, and that bytes after that event are kept.
func TestWholeStreamEndsWithItsFraming(t *testing.T) {
	for _, f := range framings {
		for _, rest := range []string{"", "\n", ": bye\n\n"} {
			whole := numbered(1) + numbered(2) + rest
			play(t, 2, func(w io.Writer, v visit) { f.write(w, v.id, whole) }, func(w *world) {
				for _, path := range []string{"/flow/x", "/rush/x"} {
					if a := w.request(context.Background(), path); a.aborted || a.Code != http.StatusOK || a.Body.String() != whole {
						t.Errorf("%s, %q: aborted %t, %d %q", f, rest, a.aborted, a.Code, a.Body)
					}
				}
				if n := len(w.received()); n != 2 {
					t.Errorf("%s, %q: %d attempts", f, rest, n)
				}
			})
		}
	}
}

// TestResetAtEventBoundaryIsNoEnd resets a stream after a whole event.
func TestResetAtEventBoundaryIsNoEnd(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"} {
		for path, want := range map[string]string{"/flow/x": numbered(1) + numbered(2), "/rush/x": numbered(1)} {
			var stage *world
			script := func(w io.Writer, v visit) {
				if v.number > 0 {
					framingClose.write(w, v.id, numbered(2))
					return
				}
				fmt.Fprintf(w, "%sId: %s\r\nSignature: s\r\n\r\n%s", head, v.id, numbered(1))
				time.Sleep(50 * time.Millisecond)
				stage.reset(v)
			}
			play(t, 2, script, func(w *world) {
				stage = w
				a := w.request(context.Background(), path)
				if a.aborted != (path == "/rush/x") || a.Body.String() != want {
					t.Errorf("%q, %s: aborted %t, %q", head, path, a.aborted, a.Body)
				}
			})
		}
	}
}

// TestBodylessResponseKeepsItsHead checks responses without a body, whose length, if stated, is
// that of another one.
func TestBodylessResponseKeepsItsHead(t *testing.T) {
	for name, c := range map[string]struct {
		method, head, length string
		status               int
	}{
		"HEAD, length": {http.MethodHead, "200 OK\r\nContent-Length: 9\r\n", "9", http.StatusOK},
		"HEAD, chunks": {http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked\r\n", "", http.StatusOK},
		"HEAD":         {http.MethodHead, "200 OK\r\n", "", http.StatusOK},
		"304":          {http.MethodGet, "304 Not Modified\r\nContent-Length: 9\r\n", "9", http.StatusNotModified},
		"204":          {http.MethodPost, "204 No Content\r\n", "", http.StatusNoContent},
	} {
		for _, path := range []string{"/once/x", "/any/x", "/rush/x"} {
			play(t, 1, func(w io.Writer, v visit) {
				head, _, _ := strings.Cut(c.head, "\r\n")
				fmt.Fprintf(w, "HTTP/1.1 %s\r\nId: %s\r\nSignature: s\r\n%s\r\n", head, v.id, strings.TrimPrefix(c.head, head+"\r\n"))
				<-v.ended
			}, func(w *world) {
				length := c.length
				if path == "/rush/x" && c.status == http.StatusOK {
					// A stream states no length.
					length = ""
				}
				a := w.send(context.Background(), c.method, path)
				if a.aborted || a.Code != c.status || a.Header().Get("Content-Length") != length || a.Body.Len() > 0 {
					t.Errorf("%s, %s: aborted %t, %d, length %q, %q", name, path, a.aborted, a.Code, a.Header().Get("Content-Length"), a.Body)
				}
			})
		}
	}
}

func TestUnframedStreamWithoutEventsIsNoResponse(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n", v.id)
		if v.number > 0 {
			fmt.Fprint(w, numbered(1))
		}
	}, func(w *world) {
		if a := w.request(context.Background(), "/flow/x"); a.Code != http.StatusOK || a.Body.String() != numbered(1) {
			t.Errorf("status %d, %q", a.Code, a.Body.String())
		}
	})
}

// TestFailureOfResumedStreamIsNotForwarded has the upstream that is to resume a stream fail. Only events
// may follow the head of a stream.
func TestFailureOfResumedStreamIsNotForwarded(t *testing.T) {
	t.Parallel()
	bodies := map[string]string{"no body": "", "text": "an error\n", "event": numbered(9), "long body": strings.Repeat("x", 300<<10)}
	for _, status := range []string{"301 Moved", "400 Bad", "404 Missing", "429 Slow", "500 Failed", "503 Busy", "504 Late"} {
		for name, body := range bodies {
			for _, f := range framings {
				first := func(w *world, v visit, out io.Writer) bool {
					if v.number > 0 {
						return false
					}
					begin(out, v.id)
					event(out, numbered(1))
					time.Sleep(10 * time.Millisecond)
					w.reset(v)
					return true
				}
				var w *world
				play(t, 2, func(out io.Writer, v visit) {
					if !first(w, v, out) {
						f.writeStatus(out, v.id, status, body)
					}
				}, func(played *world) {
					w = played
					a := w.request(context.Background(), "/flow/x")
					if !a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1) || len(w.received()) != 2 {
						t.Errorf("%s, %s, %s: aborted %t, %d, %d bytes, %d attempts", status, name, f, a.aborted, a.Code, a.Body.Len(), len(w.received()))
					}
				})
				play(t, 3, func(out io.Writer, v visit) {
					switch {
					case first(w, v, out):
					case v.number == 1:
						f.writeStatus(out, v.id, status, body)
					default:
						framingChunks.write(out, v.id, numbered(2))
					}
				}, func(played *world) {
					w = played
					a := w.request(context.Background(), "/many/x")
					if a.aborted || a.Body.String() != numbered(1)+numbered(2) {
						t.Errorf("%s, %s, %s: aborted %t, %d bytes, %d attempts", status, name, f, a.aborted, a.Body.Len(), len(w.received()))
					}
				})
			}
		}
	}
}

// TestResponseCutAtAnyByteIsNeitherWholeNorNotRun has all upstreams close within their response, at each
// byte of it. It guards against a head or a body that ends early and is framed as whole for the client.
func TestResponseCutAtAnyByteIsNeitherWholeNorNotRun(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 %s\r\nId: q\r\nSignature: s\r\n"
	stream := numbered(1) + numbered(2)
	for name, c := range map[string]struct {
		text   string
		paths  []string
		whole  string
		notRun bool
	}{
		"length":     {text: fmt.Sprintf(head, "200 OK") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stream), stream), paths: kinds, whole: stream},
		"chunked":    {text: fmt.Sprintf(head, "200 OK") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(stream), stream), paths: kinds, whole: stream},
		"two chunks": {text: fmt.Sprintf(head, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n", paths: []string{"/once/x", "/any/x"}, whole: "xyz"},
		"failure":    {text: fmt.Sprintf(head, "500 Failed") + "Content-Length: 4\r\n\r\nfail", paths: kinds},
		"refusal":    {text: fmt.Sprintf(head, "503 Busy") + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", paths: kinds, notRun: true},
	} {
		for _, path := range c.paths {
			for n := range len(c.text) + 1 {
				play(t, 2, func(w io.Writer, _ visit) { _, _ = io.WriteString(w, c.text[:n]) }, func(w *world) {
					a := w.request(context.Background(), path)
					isWhole := n == len(c.text)
					if !a.aborted && a.Code == http.StatusOK && (!isWhole || a.Body.String() != c.whole) {
						t.Errorf("%s, %s: cut after %q: status 200, %q", name, path, c.text[:n], a.Body)
					}
					if isWhole && c.whole != "" && (a.aborted || a.Body.String() != c.whole) {
						t.Errorf("%s, %s: whole: aborted %t, %q", name, path, a.aborted, a.Body)
					}
					// The body of a refusal is empty, so that it is whole once its head is.
					isRefusal := c.notRun && isWhole
					if a.Header().Get("Outcome") == string(calls.OutcomeNotRun) && !isRefusal {
						t.Errorf("%s, %s: cut after %q: said not to have run", name, path, c.text[:n])
					}
				})
			}
		}
	}
}

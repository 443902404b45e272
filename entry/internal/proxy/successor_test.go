package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestPanicBesideASilentUpstreamLeavesItsRequest has a codec panic at the response of the upstream that is
// asked beside a silent one. It guards against the end of the process.
func TestPanicBesideASilentUpstreamLeavesItsRequest(t *testing.T) {
	for _, path := range repeatable {
		for _, begun := range begunCases(path) {
			core, logged := observer.New(zap.ErrorLevel)
			playLogged(t, 2, plenty, zap.New(core), func(w io.Writer, v visit) {
				if v.number > 0 {
					answered(w, v.id, "Panic: 1")
					return
				}
				c := momentCase{begun: begun, first: wayWhole, at: time.Now().Add(silence)}
				v.id = "first"
				c.script(w, v)
			}, func(w *world) {
				a := w.request(context.Background(), path, "Id", "first")
				if want := (&momentCase{}).body(); a.aborted || a.Code != http.StatusOK || a.Body.String() != want {
					t.Errorf("%s, begun %t: aborted %t, status %d, %q", path, begun, a.aborted, a.Code, a.Body)
				}
				if n := logged.FilterMessage("handler-panicked").Len(); n == 0 {
					t.Errorf("%s, begun %t: not logged", path, begun)
				}
				w.checkNothingLeft(t)
			})
		}
	}
}

// TestEndOfAConnectionBesideASilentUpstreamIsNoResponse has the upstream that is asked beside a silent one
// crash before the first event that the client lacks, in a response that only the connection's end ends.
func TestEndOfAConnectionBesideASilentUpstreamIsNoResponse(t *testing.T) {
	for _, path := range []string{"/flow/x", "/many/x"} {
		for _, c := range []struct {
			begun    bool
			repeated string
		}{{false, ""}, {true, ""}, {true, numbered(1)}} {
			play(t, 2, func(w io.Writer, v visit) {
				if v.number > 0 {
					framingClose.write(w, v.id, c.repeated)
					v.crash()
					return
				}
				m := momentCase{begun: c.begun, first: wayWhole, at: time.Now().Add(silence)}
				m.script(w, v)
			}, func(w *world) {
				a := w.request(context.Background(), path, "Id", "first")
				if want := (&momentCase{}).body(); a.aborted || a.Code != http.StatusOK || a.Body.String() != want {
					t.Errorf("%s, begun %t, %q repeated: aborted %t, status %d, %q", path, c.begun, c.repeated, a.aborted, a.Code, a.Body)
				}
			})
		}
	}
}

// TestRequestThatASilentUpstreamDeclinesIsSentToAnother has the first upstream be silent and then decline,
// while the one that is asked beside it stays silent.
func TestRequestThatASilentUpstreamDeclinesIsSentToAnother(t *testing.T) {
	for _, path := range repeatable {
		play(t, 3, func(w io.Writer, v visit) {
			switch v.number {
			case 0:
				time.Sleep(time.Second)
				declined(w, v.id)
			case 1:
				<-v.ended
			default:
				framingLength.write(w, v.id, numbered(1))
			}
		}, func(w *world) {
			began := time.Now()
			a := w.request(context.Background(), path)
			if took := time.Since(began); a.aborted || a.Code != http.StatusOK || a.Body.String() != numbered(1) || took > 1500*time.Millisecond {
				t.Errorf("%s: aborted %t, status %d, %q after %v", path, a.aborted, a.Code, a.Body, took)
			}
			w.checkNothingLeft(t)
		})
	}
}

// TestBrokenStreamIsContinuedAtAnUpstreamThatWasLeft has a silent upstream go on before the one that was asked
// beside it, or after, and break off then. It guards against a stream that is cut for want of an upstream.
func TestBrokenStreamIsContinuedAtAnUpstreamThatWasLeft(t *testing.T) {
	for _, upstreams := range []int{2, 3} {
		for _, other := range []time.Duration{200 * time.Millisecond, time.Minute} {
			for _, after := range []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond} {
				for _, crashes := range []bool{false, true} {
					play(t, upstreams, func(w io.Writer, v visit) {
						switch v.number {
						case 0:
							begin(w, v.id)
							event(w, numbered(1))
							time.Sleep(silence)
						case 1:
							time.Sleep(other)
							begin(w, v.id)
						default:
							begin(w, v.id)
							event(w, numbered(2))
							event(w, numbered(3))
							end(w)
							return
						}
						event(w, numbered(2))
						time.Sleep(after)
						if crashes {
							v.crash()
						}
					}, func(w *world) {
						a := w.request(context.Background(), "/many/x")
						if want := numbered(1) + numbered(2) + numbered(3); a.aborted || a.Body.String() != want {
							t.Errorf("%d upstreams, other after %v, broken after %v, crashes %t: aborted %t, %q", upstreams, other, after, crashes, a.aborted, a.Body)
						}
						w.checkNothingLeft(t)
					})
				}
			}
		}
	}
}

package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/budget"
	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/memnet"
	"currantport.example/core/state"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/target"
)

const versionTimeout = 8 * time.Second

// modelCodec names a model in each request.
type modelCodec struct{ codec }

func (c modelCodec) ParseRequest(r *http.Request) (calls.Call, *calls.Refusal) {
	parsed, refusal := c.codec.ParseRequest(r)
	parsed.Model, parsed.Prompt = "m", 10
	return parsed, refusal
}

// TestQueuedRequestIsWithdrawnBeforeItsVersionEnds sends a request shortly before the cut-off to an
// engine whose queue doesn't move.
func TestQueuedRequestIsWithdrawnBeforeItsVersionEnds(t *testing.T) {
	for _, path := range []string{"/any/", "/once/", "/flow/", "/rush/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var waitedUntil atomic.Int64
				begun := time.Now()
				a := playReplacedVersion(t, path, lateSending, func(_ io.Writer, v visit) {
					<-v.ended
					waitedUntil.Store(int64(time.Since(begun)))
				})
				if until := time.Duration(waitedUntil.Load()); until == 0 || until > versionTimeout {
					t.Errorf("the engine may begin the request until %v after the release, status %d", until, a.Code)
				}
			})
		})
	}
}

// TestRequestThatHasBegunOutlivesItsVersion has an engine respond before the version ends, and take
// until after that to complete the response.
func TestRequestThatHasBegunOutlivesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := playReplacedVersion(t, "/once/", lateSending, func(w io.Writer, v visit) {
			time.Sleep(500 * time.Millisecond)
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfi", v.id)
			time.Sleep(time.Second)
			fmt.Fprint(w, "ne")
		})
		if a.Code != http.StatusOK || a.Body.String() != "fine" {
			t.Errorf("status %d, %q", a.Code, a.Body.String())
		}
	})
}

// TestQueuedRequestIsWithdrawnAfterALaterRelease releases a version while an engine's queue, which
// doesn't move, holds a request.
func TestQueuedRequestIsWithdrawnAfterALaterRelease(t *testing.T) {
	const releasedAfter = 3 * time.Second
	for _, path := range []string{"/long/", "/longflow/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var waitedUntil atomic.Int64
				begun := time.Now()
				a := playReplacedVersion(t, path, -releasedAfter, func(_ io.Writer, v visit) {
					<-v.ended
					waitedUntil.Store(int64(time.Since(begun)))
				})
				if until := time.Duration(waitedUntil.Load()) - releasedAfter; until < versionTimeout/2 || until > versionTimeout {
					t.Errorf("the engine may begin the request until %v after the release, status %d", until, a.Code)
				}
			})
		})
	}
}

// TestRequestThatHasBegunOutlivesALaterRelease has an engine begin a response before a version is
// released, and take until after the end of the old one to complete it.
func TestRequestThatHasBegunOutlivesALaterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := playReplacedVersion(t, "/long/", -time.Second, func(w io.Writer, v visit) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\nfi", v.id)
			time.Sleep(versionTimeout + 2*time.Second)
			fmt.Fprint(w, "ne")
		})
		if a.Code != http.StatusOK || a.Body.String() != "fine" {
			t.Errorf("status %d, %q", a.Code, a.Body.String())
		}
	})
}

// lateSending is how long after a release a request is sent shortly before the entry stops using the
// version before.
const lateSending = versionTimeout - 1900*time.Millisecond

// queueTime is how long a request waits for its first token at an engine that isn't silent.
const queueTime = 250 * time.Millisecond

func TestEngineSilentForASecondBeginsNothingOnAReplacedVersion(t *testing.T) {
	playSilentEngine(t, time.Second)
}

func TestEngineSilentForASecondAndAHalfBeginsNothingOnAReplacedVersion(t *testing.T) {
	playSilentEngine(t, 1500*time.Millisecond)
}

func TestEngineSilentForTwoSecondsBeginsNothingOnAReplacedVersion(t *testing.T) {
	playSilentEngine(t, 1500*time.Millisecond)
	playSilentEngine(t, 2*time.Second)
}

// playSilentEngine sends requests until the cut-off to an engine that falls silent when one arrives,
// and begins it before it notices that the connection has ended meanwhile.
func playSilentEngine(t *testing.T, silence time.Duration) {
	t.Helper()
	for sentAt := versionTimeout - 3*time.Second; sentAt < versionTimeout; sentAt += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			released := time.Now()
			playReplacedVersionAt(t, "/once/", sentAt, func(w io.Writer, v visit) {
				time.Sleep(silence + queueTime)
				if begun := time.Since(released); begun > versionTimeout {
					t.Errorf("silent for %v: a request sent %v after the release began after %v", silence, sentAt, begun)
				}
				good(w, v.id, "ok")
			})
		})
	}
}

// playReplacedVersion sends a request as playReplacedVersionAt does, which the entry must send on.
func playReplacedVersion(t *testing.T, path string, sentAfter time.Duration, script func(w io.Writer, v visit)) *httptest.ResponseRecorder {
	t.Helper()
	a, sent := playReplacedVersionAt(t, path, sentAfter, script)
	if !sent {
		t.Errorf("the request was not sent: %d", a.Code)
	}
	return a
}

// playReplacedVersionAt sends a request at a time counted from the release of a version, or before it,
// and reports whether the entry sent it on. The script is that of the only engine, which serves the
// version before.
func playReplacedVersionAt(t *testing.T, path string, sentAfter time.Duration, script func(w io.Writer, v visit)) (*httptest.ResponseRecorder, bool) {
	t.Helper()
	w, apply, stop := newEngineWorld(t, 1, script)
	apply(engineRow(0))
	for name, stream := range map[string]bool{"long": false, "longflow": true} {
		apply(encoded(state.EncodeRoute(&state.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Stream: stream, Targets: []state.Target{{Pool: "p", Weight: 1}},
			MaxAttempts: 1, Timeout: 30 * time.Second, Objective: 100 * time.Millisecond,
		})))
	}
	release := time.AfterFunc(max(-sentAfter, 0), func() { apply(encoded(state.EncodeRelease(state.Release{Model: "m", Version: 2}))) })
	defer release.Stop()
	time.Sleep(max(sentAfter, 0))
	synctest.Wait()
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	r.RequestURI, r.Header = path, http.Header{"Id": {"q"}, "Key": {"secret"}}
	a := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }()
		w.handler.ServeHTTP(a, r)
	}()
	synctest.Wait()
	sent := len(w.received()) > 0
	stop()
	return a, sent
}

// newEngineWorld returns an entry before engines that follow a script, of which none is listed yet, a
// function that applies rows, and one that stops all.
func newEngineWorld(t *testing.T, engines int, script func(w io.Writer, v visit)) (*world, func(rows ...state.Row), func()) {
	t.Helper()
	return newEngineWorldWith(t, engines, plenty, zap.NewNop(), script)
}

func newEngineWorldWith(t *testing.T, engines int, limits budget.Limits, log *zap.Logger, script func(w io.Writer, v visit)) (*world, func(rows ...state.Row), func()) {
	t.Helper()
	w := &world{t: t, mirror: feed.NewMirror(), scope: tally.NewTestScope("", nil), script: script}
	n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
	var listeners []net.Listener
	for i := range engines {
		l, err := n.Listen(address(i))
		if err != nil {
			t.Fatal(err)
		}
		go (&upstream{world: w, number: i, listener: l}).run()
		listeners = append(listeners, l)
	}
	p, stop := conns.New(w.dial, nil)
	w.network, w.conns, w.crashes = n, p, crash.NewRegistry(zap.NewNop())
	fleet := target.New(target.Options{
		Entries: func() []hosts.Host { return nil }, Regions: map[hosts.Domain]hosts.Region{"d": "r"}, Place: hosts.Place{Region: "r"},
		VersionTimeout: versionTimeout, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	w.fleet = fleet
	w.handler = proxy.New(proxy.Options{
		Mirror: w.mirror, Fleet: fleet, Conns: p, ClientCodec: modelCodec{}, UpstreamCodec: codec{}, Crashes: w.crashes,
		Bounds: proxy.Bounds{MaxKeyStaleness: time.Minute, MaxMissStaleness: time.Minute}, RetryLimits: limits, Entries: func() int { return 1 },
		Random: func() float64 { return 0.5 }, Scope: w.scope, Log: log,
	})
	apply := func(rows ...state.Row) {
		t.Helper()
		head := w.mirror.Head() + 1
		for i := range rows {
			rows[i].Revision = head
		}
		if _, err := w.mirror.Apply(feed.Update{Head: head, Rows: rows, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
			t.Fatal(err)
		}
		fleet.ApplySnapshot(clocks.Now(), w.mirror.Snapshot())
	}
	w.publish(0)
	apply(encoded(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{Slots: 4, Stride: 5, StepTime: 9 * time.Millisecond, PrefillRate: 19100, Models: []state.Model{{Name: "m"}}, Layers: 2}})))
	return w, apply, func() {
		stop()
		for i, l := range listeners {
			_ = l.Close()
			n.Kill(address(i).Addr())
		}
		w.scripts.Wait()
		synctest.Wait()
	}
}

// engineRow returns the row of an engine that serves version 1.
func engineRow(i int) state.Row {
	return encoded(state.EncodeUpstream(&state.Upstream{ID: fmt.Sprint("u", i), Pool: "p", Address: address(i), Domain: "d", Slots: 4, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}}))
}

func encoded(r state.Row, err error) state.Row {
	if err != nil {
		panic(fmt.Sprint("row: ", err))
	}
	return r
}

package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/budget"
	"currantport.example/core/clocks"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

// crowdCase has all streams of one engine fall silent at once.
type crowdCase struct {
	streams int
	path    string
	// begun is set if each has an event before.
	begun   bool
	silence time.Duration
	// limits are those of the retry budget, busy is how many requests each of the other engines runs already,
	// and rate its limit in requests a second, or zero.
	limits budget.Limits
	busy   int
	rate   float64
	// other is how the other engines respond.
	other string

	// whole counts the whole responses.
	whole atomic.Int64
}

// crowdEvents is the number of events of each stream.
const crowdEvents = 5

func (c *crowdCase) body() string {
	body := ""
	for n := range crowdEvents {
		body += numbered(n + 1)
	}
	return body
}

func (c *crowdCase) script(w io.Writer, v visit) {
	isSilent := v.upstream == 0
	if !isSilent && c.other == wayDeclines {
		declined(w, v.id)
		return
	}
	next := 1
	if v.after != "" {
		_, _ = fmt.Sscan(v.after, &next)
		next++
	}
	if isSilent && !c.begun {
		time.Sleep(c.silence)
	}
	if c.rate > 0 && !isSilent {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nLimit: %v\r\nTransfer-Encoding: chunked\r\n\r\n", v.id, c.rate)
	} else {
		begin(w, v.id)
	}
	for n := next; n <= crowdEvents; n++ {
		event(w, numbered(n))
		if isSilent && c.begun && n == 1 {
			time.Sleep(c.silence)
			continue
		}
		time.Sleep(100 * time.Millisecond)
	}
	end(w)
}

// crowdSlots are those of each engine, more than all streams take.
const crowdSlots = 48

// crowdEngine returns the row of an engine that serves version 1, and may take requests.
func crowdEngine(i int, isOpen bool) state.Row {
	return encoded(state.EncodeUpstream(&state.Upstream{
		ID: fmt.Sprint("u", i), Pool: "p", Address: address(i), Domain: "d", Slots: crowdSlots, Draining: !isOpen, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}},
	}))
}

// start returns an entry whose first engine alone takes requests, with connections of clients.
func (c *crowdCase) start(t *testing.T) (w *world, apply func(rows ...state.Row), conns []net.Conn, stop func()) {
	t.Helper()
	w, apply, stopWorld := newEngineWorldWith(t, 3, c.limits, zap.NewNop(), c.script)
	front := w.serve()
	apply(encoded(state.EncodePool(&state.Pool{Name: "p", Engine: &state.Engine{
		Slots: crowdSlots, Stride: 5, StepTime: 9 * time.Millisecond, PrefillRate: 19100, Models: []state.Model{{Name: "m"}}, Layers: 2,
	}})))
	if c.rate > 0 {
		// A response names the limit.
		apply(crowdEngine(0, false), crowdEngine(1, true), crowdEngine(2, true))
		for i := range 2 {
			go w.request(context.Background(), c.path, "Id", fmt.Sprint("limited", i))
			synctest.Wait()
		}
		time.Sleep(time.Second)
	}
	apply(crowdEngine(0, true), crowdEngine(1, false), crowdEngine(2, false))
	for range c.streams {
		conns = append(conns, front.dial())
	}
	return w, apply, conns, func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
		front.stop()
		stopWorld()
	}
}

// run sends all streams to the first engine, and has the two others open before its silence is too long.
func (c *crowdCase) run(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w, apply, conns, stop := c.start(t)
		defer stop()
		c.exchange(t, conns, "first", func() {
			time.Sleep(100 * time.Millisecond)
			apply(crowdEngine(0, true), crowdEngine(1, true), crowdEngine(2, true))
			for _, id := range []string{"u1", "u2"} {
				w.fleet.ReceiveLoadReport(clocks.Now(), id, target.LoadReport{Serial: 1, Running: c.busy, Pace: 1, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
			}
		})
		c.exchange(t, conns, "next", func() {})
		w.checkNothingLeft(t)
	})
}

// exchange sends a request on each connection and reads the responses, of which the first ones must be whole.
func (c *crowdCase) exchange(t *testing.T, conns []net.Conn, name string, meanwhile func()) {
	t.Helper()
	var group sync.WaitGroup
	for i, conn := range conns {
		group.Go(func() {
			fmt.Fprint(conn, wholeRequest(c.path, fmt.Sprint(name, i)))
			status, body, err := readWhole(bufio.NewReader(conn))
			isWhole := status == http.StatusOK && body == c.body()
			isRefused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			switch {
			case isWhole && err == nil:
				c.whole.Add(1)
			case err != nil, name == "first", !isRefused:
				t.Errorf("%s %d: status %d, %q, %v", name, i, status, body, err)
			}
		})
	}
	meanwhile()
	group.Wait()
}

// TestCrowdOfASilentEngineGetsWholeResponses has many streams look for another engine at once, while retries,
// places or a limit suffice for a part of them only.
func TestCrowdOfASilentEngineGetsWholeResponses(t *testing.T) {
	for _, path := range repeatable {
		for _, begun := range begunCases(path) {
			for _, streams := range []int{12, 40} {
				for _, silent := range []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, silence} {
					for _, other := range []string{wayWhole, wayDeclines} {
						half := budget.Limits{Slack: float64(streams) / 2 / 0.8, Window: 10 * time.Second}
						for name, c := range map[string]*crowdCase{
							"plenty":          {limits: plenty},
							"retries":         {limits: half},
							"no retries":      {},
							"places":          {limits: plenty, busy: 29 - streams/4},
							"retries, places": {limits: half, busy: 29 - streams/4},
							"limit":           {limits: plenty, rate: 5},
							"limit, retries":  {limits: half, rate: 5},
						} {
							c.path, c.begun, c.streams, c.silence, c.other = path, begun, streams, silent, other
							t.Run(fmt.Sprintf("%s, %s, begun %t, %d streams, %v, others %s", name, path, begun, streams, silent, other), c.run)
						}
					}
				}
			}
		}
	}
}

// TestRetriesOfACrowdAreNotSpentInVain has an engine with many streams stay silent while the others take
// few of them at a time. It guards against retries that are spent without a request, so that streams are cut.
func TestRetriesOfACrowdAreNotSpentInVain(t *testing.T) {
	for name, c := range map[string]*crowdCase{
		"limit":  {rate: 5},
		"places": {busy: 26},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const retries = 20
				c.path, c.begun, c.streams, c.silence, c.other = "/flow/x", true, 40, time.Minute, wayWhole
				c.limits = budget.Limits{Slack: retries / 0.8, Window: 10 * time.Second}
				w, apply, conns, stop := c.start(t)
				defer stop()
				var group sync.WaitGroup
				for i, conn := range conns {
					group.Go(func() {
						fmt.Fprint(conn, wholeRequest(c.path, fmt.Sprint("first", i)))
						if status, body, err := readWhole(bufio.NewReader(conn)); err == nil && status == http.StatusOK && body == c.body() {
							c.whole.Add(1)
						}
					})
				}
				time.Sleep(100 * time.Millisecond)
				apply(crowdEngine(0, true), crowdEngine(1, true), crowdEngine(2, true))
				for serial := range uint64(20) {
					for _, id := range []string{"u1", "u2"} {
						w.fleet.ReceiveLoadReport(clocks.Now(), id, target.LoadReport{Serial: serial + 1, Running: c.busy, Pace: 1, Held: []state.HeldVersion{{Model: "m", Version: 1, Whole: true}}})
					}
					time.Sleep(200 * time.Millisecond)
				}
				group.Wait()
				if n := c.whole.Load(); n != retries {
					t.Errorf("%d of %d retries were of use", n, retries)
				}
			})
		})
	}
}

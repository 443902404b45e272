package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantport.example/core/state"
)

// silence is how long the upstream of TestChangeBesideSilenceLeavesNoRequestWithoutResponse is silent,
// longer than the gap after which another one continues its streams.
const silence = 1900 * time.Millisecond

// silentChanges are those of changes and some that concern only the upstream that is silent, or the one
// that takes its requests over.
func silentChanges() map[string]func(w *world) []state.Row {
	all := map[string]func(w *world) []state.Row{
		"silent one removed": func(w *world) []state.Row { return w.removedUpstreams()[:1] },
		"other one removed":  func(w *world) []state.Row { return w.removedUpstreams()[1:] },
		"silent one drained": func(w *world) []state.Row { return w.changedUpstreams(drained)[:1] },
		"other one drained":  func(w *world) []state.Row { return w.changedUpstreams(drained)[1:] },
		"silent one in q": func(w *world) []state.Row {
			return w.changedUpstreams(func(u *state.Upstream) { u.ID, u.Pool = "n", "q" })[:1]
		},
		"attempts fewer": func(w *world) []state.Row {
			return w.changedRoutes(func(r *state.Route) { r.MaxAttempts = 1 })
		},
		"gap shorter": func(w *world) []state.Row {
			return w.changedRoutes(func(r *state.Route) { r.MaxEventGap = 50 * time.Millisecond })
		},
		"homes elsewhere": func(w *world) []state.Row {
			return w.changedRoutes(func(r *state.Route) { r.Homes = regionsOf("s") })
		},
		"cold": func(*world) []state.Row {
			return []state.Row{encoded(state.EncodePool(&state.Pool{Name: "p", Cold: 5 * time.Second, ColdRate: 1}))}
		},
		"domain evacuated": func(*world) []state.Row {
			return []state.Row{encoded(state.EncodeEvacuation(state.Evacuation{Domain: "d"}))}
		},
	}
	for name, c := range changes {
		all[name] = c
	}
	return all
}

func drained(u *state.Upstream) { u.Draining = true }

// TestChangeBesideSilenceLeavesNoRequestWithoutResponse changes the configuration or the upstreams while a
// sound upstream is silent, alone, undone, or with another change behind it. It guards against streams that
// are cut because the upstream that was to continue them declines, is lost or is silent as well.
func TestChangeBesideSilenceLeavesNoRequestWithoutResponse(t *testing.T) {
	for name, change := range silentChanges() {
		for second, next := range map[string]func(w *world) []state.Row{
			"": nil, ", undone": (*world).originalRows, ", then other drained": silentChanges()["other one drained"],
		} {
			for _, at := range []time.Duration{5 * time.Millisecond, time.Second, 1250 * time.Millisecond, silence + 50*time.Millisecond} {
				c := silentCase{changeCase: changeCase{at: at, change: change, next: next}}
				t.Run(fmt.Sprintf("%s%s, %v", name, second, at), c.runAll)
			}
		}
	}
}

// silentCase is a case of TestChangeBesideSilenceLeavesNoRequestWithoutResponse.
type silentCase struct {
	changeCase
	// begun is set if the upstream falls silent within its response.
	begun bool
	// other is what the upstream does that takes the request over.
	other string
}

func (c silentCase) runAll(t *testing.T) {
	t.Parallel()
	for _, c.begun = range []bool{false, true} {
		for _, c.other = range []string{"responds", "declines", "is silent", "crashes"} {
			for _, c.path = range kinds {
				t.Run(fmt.Sprintf("begun %t, other %s, %s", c.begun, c.other, strings.Split(c.path, "/")[1]), c.run)
			}
		}
	}
}

// script has the upstream of the first visit fall silent and go on.
func (c *silentCase) script(w io.Writer, v visit) {
	isOther := v.id == "first" && v.number > 0
	switch {
	case isOther && c.other == "declines":
		declined(w, v.id)
		return
	case isOther && c.other == "crashes":
		v.crash()
		return
	case isOther && c.other == "is silent", v.id == "first" && !isOther && !c.begun:
		time.Sleep(silence)
	}
	begin(w, v.id)
	if v.after == "" {
		event(w, numbered(1))
	}
	if v.id == "first" && !isOther && c.begun {
		time.Sleep(silence)
	}
	event(w, numbered(2))
	end(w)
}

func (c silentCase) run(t *testing.T) {
	play(t, 2, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		conn := front.dial()
		defer func() { _ = conn.Close() }()
		time.AfterFunc(c.at, func() { front.apply(c.change(w)) })
		if c.next != nil {
			time.AfterFunc(c.at+200*time.Millisecond, func() { front.apply(c.next(w)) })
		}
		r := bufio.NewReader(conn)
		fmt.Fprint(conn, wholeRequest(c.path, "first"))
		c.checkFirst(t, r)
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(conn, wholeRequest(c.path, "next"))
		c.checkResponse(t, r, "next", false)
		time.Sleep(5 * time.Second)
		c.checkRuns(t, w)
	})
}

// checkFirst reads the response to the request at the silent upstream. It must be whole.
func (c *silentCase) checkFirst(t *testing.T, r *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("first: no response: %v", err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		t.Errorf("first: cut after %q: %v", body, err)
	case response.StatusCode != http.StatusOK || string(body) != numbered(1)+numbered(2):
		t.Errorf("first: status %d, %q", response.StatusCode, body)
	}
}

// TestClientThatLeavesEndsBothAttempts has the client leave while two upstreams are asked to continue its
// stream. It guards against an upstream that works on for nobody.
func TestClientThatLeavesEndsBothAttempts(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.after == "" {
			begin(w, v.id)
			event(w, numbered(1))
		}
		<-v.ended
	}, func(w *world) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(1500*time.Millisecond, leave)
		if a := w.request(ctx, "/flow/x"); !a.aborted {
			t.Errorf("status %d", a.Code)
		}
		time.Sleep(50 * time.Millisecond)
		visits := w.received()
		if len(visits) != 2 {
			t.Fatalf("%d visits", len(visits))
		}
		for _, v := range visits {
			select {
			case <-v.ended:
			default:
				t.Errorf("upstream %d works on", v.upstream)
			}
		}
	})
}

// TestSilentStreamIsContinuedByWhicheverUpstreamIsFirst has two upstreams be silent for different times.
func TestSilentStreamIsContinuedByWhicheverUpstreamIsFirst(t *testing.T) {
	for _, other := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 720 * time.Millisecond, time.Second, 4 * time.Second} {
		play(t, 2, func(w io.Writer, v visit) {
			if v.after == "" {
				begin(w, v.id)
				event(w, numbered(1))
				time.Sleep(silence)
				event(w, numbered(2))
			} else {
				time.Sleep(other)
				begin(w, v.id)
				event(w, numbered(2))
			}
			event(w, numbered(3))
			time.Sleep(100 * time.Millisecond)
			event(w, numbered(4))
			end(w)
		}, func(w *world) {
			began := time.Now()
			a := w.request(context.Background(), "/flow/x")
			if want := numbered(1) + numbered(2) + numbered(3) + numbered(4); a.aborted || a.Body.String() != want {
				t.Errorf("%v: aborted %t, %q", other, a.aborted, a.Body)
			}
			if took, bound := time.Since(began), silence+200*time.Millisecond; took > bound {
				t.Errorf("%v: took %v, want at most %v", other, took, bound)
			}
		})
	}
}

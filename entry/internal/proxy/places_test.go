package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/entry/internal/proxy"
)

// placesCase is a request in a world whose upstreams 0, 1 and 2 are in the failure domains d, e and f;
// d is in region r, where the entry is, e and f in region s.
type placesCase struct {
	path string
	// route and workspace are the homes of all routes and of the workspace.
	route, workspace []hosts.Region
	evacuated        []hosts.Domain
	// engine makes the upstreams engines with one slot, of which the given ones hold the model.
	engine  bool
	holding []int
	script  func(w io.Writer, v visit)
	// change is applied at the given time, counted from the arrival of the request.
	change func(w *world) []state.Row
	at     time.Duration
	// upstreams are those that get the request, in this order.
	upstreams []int
	// reason is that of the refusal, or empty, and took the longest time until the response.
	reason calls.Reason
	took   time.Duration
}

func (c *placesCase) rows(w *world) []state.Row {
	rows := homeRows(c.route, c.workspace)(w)
	rows = append(rows, w.spread(c.engine, c.holding)...)
	return append(rows, evacuate(c.evacuated...)(w)...)
}

// spread returns the rows of upstreams in three failure domains.
func (w *world) spread(engine bool, holding []int) []state.Row {
	var rows []state.Row
	for i, domain := range []string{"d", "e", "f"} {
		u := &state.Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", Address: address(i), Domain: domain}
		if engine {
			u.Slots, u.Held = 1, []state.HeldVersion{{Model: "m", Version: 1, Whole: slices.Contains(holding, i)}}
		}
		rows = append(rows, encoded(state.EncodeUpstream(u)))
	}
	if engine {
		e := &state.Engine{Slots: 1, Stride: 5, StepTime: time.Millisecond, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}, Layers: 2}
		rows = append(rows, encoded(state.EncodePool(&state.Pool{Name: "p", Engine: e})))
	}
	return rows
}

// homeRows returns a change of the homes of all routes and of the workspace. Requests may wait for
// room for a second.
func homeRows(route, workspace []hosts.Region) func(w *world) []state.Row {
	return func(w *world) []state.Row {
		rows := w.changedRoutes(func(r *state.Route) { r.Homes, r.Objective = route, 8*time.Second })
		return append(rows, encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"secret"}, Homes: workspace})))
	}
}

func evacuate(all ...hosts.Domain) func(*world) []state.Row {
	return func(*world) []state.Row {
		var rows []state.Row
		for _, d := range all {
			rows = append(rows, encoded(state.EncodeEvacuation(state.Evacuation{Domain: d})))
		}
		return rows
	}
}

func restore(d hosts.Domain) func(*world) []state.Row {
	return func(*world) []state.Row {
		return []state.Row{removed(state.EncodeEvacuation(state.Evacuation{Domain: d}))}
	}
}

// failFirst returns a script in which the first visit ends as given, and the others are served.
func failFirst(fail func(w io.Writer, v visit)) func(w io.Writer, v visit) {
	return func(w io.Writer, v visit) {
		if v.number == 0 {
			fail(w, v)
			return
		}
		begin(w, v.id)
		if v.after == "" {
			event(w, numbered(1))
		}
		event(w, numbered(2))
		end(w)
	}
}

// breaks writes one event and breaks off after a while, stalls falls silent instead.
func breaks(w io.Writer, v visit) {
	begin(w, v.id)
	event(w, numbered(1))
	time.Sleep(100 * time.Millisecond)
}

func stalls(w io.Writer, v visit) {
	begin(w, v.id)
	event(w, numbered(1))
	<-v.ended
}

func declines(w io.Writer, v visit) { declined(w, v.id) }

func serves(w io.Writer, v visit) { good(w, v.id, "x") }

// occupied has an engine run the first request, which is another one, for half a second.
func occupied(w io.Writer, v visit) {
	if v.id == "other" {
		time.Sleep(500 * time.Millisecond)
	}
	good(w, v.id, "x")
}

// regionsOf shortens the tables below.
func regionsOf(all ...hosts.Region) []hosts.Region { return all }

// TestRequestsStayWithinHomesAndOutsideEvacuations guards against an attempt of any kind, or a wait,
// that uses other bounds than those of the configuration in force, and against a refusal that is late
// or names another reason.
func TestRequestsStayWithinHomesAndOutsideEvacuations(t *testing.T) {
	nearby := 50 * time.Millisecond
	for name, c := range map[string]placesCase{
		"first attempt without bounds":     {path: "/any/x", script: serves, upstreams: []int{0}},
		"first attempt at home":            {path: "/any/x", route: regionsOf("s"), script: serves, upstreams: []int{1}},
		"homes of the workspace":           {path: "/any/x", workspace: regionsOf("s"), script: serves, upstreams: []int{1}},
		"homes of both":                    {path: "/once/x", route: regionsOf("r", "s"), workspace: regionsOf("s", "t"), script: serves, upstreams: []int{1}},
		"engine at home":                   {path: "/any/x", engine: true, holding: []int{0, 2}, route: regionsOf("s"), script: serves, upstreams: []int{2}},
		"retry":                            {path: "/any/x", route: regionsOf("s"), script: failFirst(declines), upstreams: []int{1, 2}},
		"retry with one home upstream":     {path: "/many/x", route: regionsOf("r"), script: declines, upstreams: []int{0}, reason: calls.ReasonNoUpstream},
		"resume of a stream":               {path: "/many/x", route: regionsOf("s"), script: failFirst(breaks), upstreams: []int{1, 2}},
		"move from a silent one":           {path: "/flow/x", route: regionsOf("s"), script: failFirst(stalls), upstreams: []int{1, 2}},
		"move after a change":              {path: "/flow/x", route: regionsOf("s"), script: failFirst(stalls), change: homeRows(regionsOf("r"), nil), at: nearby, upstreams: []int{1, 0}},
		"resume after a change":            {path: "/flow/x", script: failFirst(breaks), change: homeRows(nil, regionsOf("s")), at: nearby, upstreams: []int{0, 1}},
		"no common region":                 {path: "/any/x", route: regionsOf("r"), workspace: regionsOf("s"), script: serves, reason: calls.ReasonHome},
		"no home upstream":                 {path: "/any/x", route: regionsOf("t"), script: serves, reason: calls.ReasonHome},
		"no home engine":                   {path: "/any/x", engine: true, holding: []int{0}, route: regionsOf("s"), script: serves, reason: calls.ReasonHome},
		"home lost while waiting":          {path: "/any/x", engine: true, holding: []int{0}, script: occupied, change: homeRows(regionsOf("s"), nil), at: nearby, reason: calls.ReasonHome, took: nearby + 10*time.Millisecond},
		"home won while waiting":           {path: "/any/x", engine: true, holding: []int{0, 1}, route: regionsOf("r"), script: occupied, change: homeRows(regionsOf("s"), nil), at: nearby, upstreams: []int{1}, took: 2 * nearby},
		"evacuated domain":                 {path: "/once/x", evacuated: []hosts.Domain{"d"}, script: serves, upstreams: []int{1}},
		"two evacuated domains":            {path: "/any/x", evacuated: []hosts.Domain{"d", "e"}, script: serves, upstreams: []int{2}},
		"all evacuated":                    {path: "/once/x", evacuated: []hosts.Domain{"d", "e", "f"}, script: serves, reason: calls.ReasonEvacuated},
		"home evacuated":                   {path: "/any/x", route: regionsOf("r"), evacuated: []hosts.Domain{"d"}, script: serves, reason: calls.ReasonEvacuated},
		"engines evacuated":                {path: "/any/x", engine: true, holding: []int{0, 1}, evacuated: []hosts.Domain{"d", "e"}, script: serves, reason: calls.ReasonEvacuated},
		"evacuation while waiting":         {path: "/any/x", engine: true, holding: []int{0}, script: occupied, change: evacuate("d"), at: nearby, reason: calls.ReasonEvacuated, took: nearby + 10*time.Millisecond},
		"evacuation ends while waiting":    {path: "/any/x", engine: true, holding: []int{0, 1}, evacuated: []hosts.Domain{"e"}, script: occupied, change: restore("e"), at: nearby, upstreams: []int{1}, took: 2 * nearby},
		"evacuation while running":         {path: "/live/x", script: halves, change: evacuate("d", "e", "f"), at: nearby, upstreams: []int{0}},
		"evacuation before a resume":       {path: "/flow/x", script: failFirst(breaks), change: evacuate("e"), at: nearby, upstreams: []int{0, 2}},
		"evacuation before a move":         {path: "/flow/x", script: failFirst(stalls), change: evacuate("d", "e"), at: nearby, upstreams: []int{0, 2}},
		"evacuation ordered twice, undone": {path: "/any/x", evacuated: []hosts.Domain{"d", "d"}, change: restore("d"), script: serves, upstreams: []int{0}},
	} {
		t.Run(name, c.run)
	}
}

func (c *placesCase) run(t *testing.T) {
	play(t, 3, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		front.apply(c.rows(w))
		if c.engine && c.at > 0 {
			go w.request(context.Background(), c.path, "Id", "other", "Model", "m")
			synctest.Wait()
		}
		if c.change != nil && c.at == 0 {
			front.apply(c.change(w))
		} else if c.change != nil {
			time.AfterFunc(c.at, func() { front.apply(c.change(w)) })
		}
		e, err := w.handler.Explain(proxy.Question{Route: strings.Split(c.path, "/")[1], Workspace: "harbour", PromptTokens: 10})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		a := w.request(context.Background(), c.path, "Model", "m")
		took := time.Since(began)
		c.check(t, w, a)
		c.checkExplanation(t, e.Pools[0])
		if c.took > 0 && took > c.took || c.reason != "" && c.at == 0 && len(c.upstreams) == 0 && took > 0 {
			t.Errorf("the response took %s", took)
		}
	})
}

// checkExplanation checks the explanation that was given before the request. Changes come later.
func (c *placesCase) checkExplanation(t *testing.T, p proxy.PoolExplanation) {
	t.Helper()
	switch {
	case c.at > 0 && c.engine:
		if p.Refusal == nil || p.Refusal.Reason != calls.ReasonOverload || p.MaxWait != time.Second {
			t.Errorf("explained with full engines: %v, waits %s", p.Refusal, p.MaxWait)
		}
	case len(c.upstreams) > 0:
		if want := fmt.Sprintf("u%d", c.upstreams[0]); p.Choice != want || p.Refusal != nil {
			t.Errorf("explained as %q, want %q", p.Choice, want)
		}
	case p.Refusal == nil || p.Refusal.Reason != c.reason || p.Choice != "" || p.MaxWait != 0:
		t.Errorf("explained as %v, choice %q", p.Refusal, p.Choice)
	}
}

// refusals returns the reason of the counted refusal, and how often the exclusion was counted, at most, in
// one failure domain.
func (w *world) refusals(exclusion string) (refused string, excluded int64) {
	for _, counter := range w.scope.Snapshot().Counters() {
		switch reason := counter.Tags()["reason"]; {
		case counter.Name() == "requests" && reason != "":
			refused = reason
		case counter.Name() == "exclusions" && reason == exclusion:
			excluded = max(excluded, counter.Value())
		}
	}
	return refused, excluded
}

func (c *placesCase) check(t *testing.T, w *world, a response) {
	t.Helper()
	var visited []int
	for _, v := range w.received() {
		if v.id == "q" {
			visited = append(visited, v.upstream)
		}
	}
	if !slices.Equal(visited, c.upstreams) || a.aborted {
		t.Errorf("sent to %v, want %v; aborted %t, %q", visited, c.upstreams, a.aborted, a.Body)
	}
	refused, excluded := w.refusals(string(c.reason))
	if refused != string(c.reason) {
		t.Errorf("refused because of %q, want %q", refused, c.reason)
	}
	if isBound := c.reason == calls.ReasonHome || c.reason == calls.ReasonEvacuated; isBound && excluded != 1 {
		t.Errorf("one request counts %d times", excluded)
	}
	if wait, _ := time.ParseDuration(a.Header().Get("Wait")); c.reason != "" && (a.Code != http.StatusServiceUnavailable || wait <= 0) {
		t.Errorf("status %d, retry after %s", a.Code, wait)
	}
}

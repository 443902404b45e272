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
	// route and workspace are the homes of all routes and of the workspace, in words.
	route, workspace string
	evacuated        string
	// engines are the upstreams that hold the model. If there are any, all are engines with one slot.
	engines []int
	script  func(w io.Writer, v visit)
	// change is applied changeTime after the arrival of the request.
	change func(w *world) []state.Row
	// upstreams are those that get the request, in this order.
	upstreams []int
	// reason is that of the refusal, or empty.
	reason calls.Reason
}

const changeTime = 50 * time.Millisecond

func (c *placesCase) rows(w *world) []state.Row {
	rows := append(homeRows(c.route, c.workspace)(w), evacuate(c.evacuated)(w)...)
	for i, domain := range []string{"d", "e", "f"} {
		u := &state.Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", Address: address(i), Domain: domain}
		if c.engines != nil {
			u.Slots, u.Held = 1, []state.HeldVersion{{Model: "m", Version: 1, Whole: slices.Contains(c.engines, i)}}
		}
		rows = append(rows, encoded(state.EncodeUpstream(u)))
	}
	if c.engines != nil {
		e := &state.Engine{Slots: 1, Stride: 5, StepTime: time.Millisecond, PrefillRate: 1000, Models: []state.Model{{Name: "m"}}, Layers: 2}
		rows = append(rows, encoded(state.EncodePool(&state.Pool{Name: "p", Engine: e})))
	}
	return rows
}

func regionsOf(words string) []hosts.Region {
	var all []hosts.Region
	for _, word := range strings.Fields(words) {
		all = append(all, hosts.Region(word))
	}
	return all
}

// homeRows returns a change of the homes of all routes and of the workspace. Requests may wait for
// room for a second.
func homeRows(route, workspace string) func(w *world) []state.Row {
	return func(w *world) []state.Row {
		rows := w.changedRoutes(func(r *state.Route) { r.Homes, r.Objective = regionsOf(route), 8*time.Second })
		return append(rows, encoded(state.EncodeWorkspace(&state.Workspace{Name: "harbour", Keys: []string{"secret"}, Homes: regionsOf(workspace)})))
	}
}

// evacuate returns a change that evacuates failure domains, restore one that lifts it.
func evacuate(domains string) func(*world) []state.Row {
	return func(*world) []state.Row {
		var rows []state.Row
		for _, d := range strings.Fields(domains) {
			rows = append(rows, encoded(state.EncodeEvacuation(state.Evacuation{Domain: hosts.Domain(d)})))
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

// TestRequestsStayWithinHomesAndOutsideEvacuations guards against an attempt of any kind, or a wait,
// that uses other bounds than those of the configuration in force, and against a refusal that is late
// or names another reason.
func TestRequestsStayWithinHomesAndOutsideEvacuations(t *testing.T) {
	for name, c := range map[string]placesCase{
		"first attempt without bounds":  {path: "/any/x", script: serves, upstreams: []int{0}},
		"first attempt at home":         {path: "/any/x", route: "s", script: serves, upstreams: []int{1}},
		"homes of the workspace":        {path: "/any/x", workspace: "s", script: serves, upstreams: []int{1}},
		"homes of both":                 {path: "/once/x", route: "r s", workspace: "s t", script: serves, upstreams: []int{1}},
		"engine at home":                {path: "/any/x", engines: []int{0, 2}, route: "s", script: serves, upstreams: []int{2}},
		"retry":                         {path: "/any/x", route: "s", script: failFirst(declines), upstreams: []int{1, 2}},
		"retry with one home upstream":  {path: "/many/x", route: "r", script: declines, upstreams: []int{0}, reason: calls.ReasonNoUpstream},
		"resume of a stream":            {path: "/many/x", route: "s", script: failFirst(breaks), upstreams: []int{1, 2}},
		"move from a silent one":        {path: "/flow/x", route: "s", script: failFirst(stalls), upstreams: []int{1, 2}},
		"move after a change":           {path: "/flow/x", route: "s", script: failFirst(stalls), change: homeRows("r", ""), upstreams: []int{1, 0}},
		"resume after a change":         {path: "/flow/x", script: failFirst(breaks), change: homeRows("", "s"), upstreams: []int{0, 1}},
		"no common region":              {path: "/any/x", route: "r", workspace: "s", script: serves, reason: calls.ReasonHome},
		"no home upstream":              {path: "/any/x", route: "t", script: serves, reason: calls.ReasonHome},
		"no home engine":                {path: "/any/x", engines: []int{0}, route: "s", script: serves, reason: calls.ReasonHome},
		"home lost while waiting":       {path: "/any/x", engines: []int{0}, script: occupied, change: homeRows("s", ""), reason: calls.ReasonHome},
		"home won while waiting":        {path: "/any/x", engines: []int{0, 1}, route: "r", script: occupied, change: homeRows("s", ""), upstreams: []int{1}},
		"evacuated domain":              {path: "/once/x", evacuated: "d", script: serves, upstreams: []int{1}},
		"two evacuated domains":         {path: "/any/x", evacuated: "d e", script: serves, upstreams: []int{2}},
		"all evacuated":                 {path: "/once/x", evacuated: "d e f", script: serves, reason: calls.ReasonEvacuated},
		"home evacuated":                {path: "/any/x", route: "r", evacuated: "d", script: serves, reason: calls.ReasonEvacuated},
		"engines evacuated":             {path: "/any/x", engines: []int{0, 1}, evacuated: "d e", script: serves, reason: calls.ReasonEvacuated},
		"evacuation while waiting":      {path: "/any/x", engines: []int{0}, script: occupied, change: evacuate("d"), reason: calls.ReasonEvacuated},
		"evacuation ends while waiting": {path: "/any/x", engines: []int{0, 1}, evacuated: "e", script: occupied, change: restore("e"), upstreams: []int{1}},
		"evacuation while running":      {path: "/live/x", script: halves, change: evacuate("d e f"), upstreams: []int{0}},
		"evacuation before a resume":    {path: "/flow/x", script: failFirst(breaks), change: evacuate("e"), upstreams: []int{0, 2}},
		"evacuation before a move":      {path: "/flow/x", script: failFirst(stalls), change: evacuate("d e"), upstreams: []int{0, 2}},
		"evacuation ordered twice":      {path: "/any/x", evacuated: "d d", script: serves, upstreams: []int{1}},
	} {
		t.Run(name, c.run)
	}
}

func (c *placesCase) run(t *testing.T) {
	play(t, 3, c.script, func(w *world) {
		front := w.serve()
		defer front.stop()
		front.apply(c.rows(w))
		// A change comes while the stream runs or, with engines, the request waits for another one.
		if c.engines != nil && c.change != nil {
			go w.request(context.Background(), c.path, "Id", "other", "Model", "m")
			synctest.Wait()
		}
		e, err := w.handler.Explain(proxy.Question{Route: strings.Split(c.path, "/")[1], Workspace: "harbour", PromptTokens: 10})
		if err != nil {
			t.Fatal(err)
		}
		c.checkExplanation(t, e.Pools[0])
		latest := time.Duration(0)
		if c.change != nil {
			time.AfterFunc(changeTime, func() { front.apply(c.change(w)) })
			latest = 2 * changeTime
		}
		began := time.Now()
		a := w.request(context.Background(), c.path, "Model", "m")
		if took := time.Since(began); took > latest && (c.engines != nil && c.change != nil || len(c.upstreams) == 0) {
			t.Errorf("the response took %s", took)
		}
		c.check(t, w, a)
	})
}

// checkExplanation checks the explanation that is given before the request.
func (c *placesCase) checkExplanation(t *testing.T, p proxy.PoolExplanation) {
	t.Helper()
	choice, reason, wait := "", c.reason, time.Duration(0)
	switch {
	case c.engines != nil && c.change != nil:
		reason, wait = calls.ReasonOverload, time.Second
	case len(c.upstreams) > 0:
		choice, reason = fmt.Sprintf("u%d", c.upstreams[0]), ""
	}
	if (p.Refusal != nil) != (reason != "") || p.Refusal != nil && p.Refusal.Reason != reason || p.Choice != choice || p.MaxWait != wait {
		t.Errorf("explained as %q, %v, waits %s", p.Choice, p.Refusal, p.MaxWait)
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

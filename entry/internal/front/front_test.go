package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gorilla/mux"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/entry/internal/front"
	"currantport.example/entry/internal/sender"
)

// answers is a sender that gives every request the same parts.
type answers struct {
	parts   []string
	refusal *calls.Refusal
	request calls.Request
}

func (a *answers) Send(_ context.Context, request calls.Request, sink sender.Sink) *calls.Refusal {
	a.request = request
	if len(a.parts) > 0 {
		_ = sink.Head("seven", http.StatusOK, "text/event-stream")
	}
	for _, p := range a.parts {
		_ = sink.Data([]byte(p))
	}
	return a.refusal
}

func (a *answers) Refuse(_ context.Context, _ calls.Request, r *calls.Refusal) *calls.Refusal {
	return r
}

func (a *answers) Mint(context.Context, string) (calls.Key, *calls.Refusal) { return "m1:a:b:1:c", nil }

// open admits every request and names no other entry.
type open struct{}

func (open) Enter(context.Context, calls.Request) (func(bool), *calls.Refusal) {
	return func(bool) {}, nil
}
func (open) Named() []hosts.Host { return nil }

func newRouter(a *answers, log *zap.Logger) *mux.Router {
	f := front.New(front.Options{
		Sender: a, Queues: open{}, Lookup: open{}, Force: &tables.Active{},
		Trail: audit.NewTrail(zap.NewNop()), Lifetime: time.Second, Within: time.Second, Log: log,
	})
	r := mux.NewRouter()
	f.Register(r)
	return r
}

func call(t *testing.T, a *answers, path, body string, headers ...string) *http.Response {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Workspace", "harbour")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	newRouter(a, zap.NewNop()).ServeHTTP(w, r)
	return w.Result()
}

func TestBadInputNamesTheFault(t *testing.T) {
	const path = "/v1/routes/draft"
	cases := map[string]struct {
		body    string
		headers []string
		status  int
		reason  string
		detail  string
	}{
		"no workspace":     {headers: []string{"Workspace", ""}, status: 400, reason: "bad-request", detail: "Workspace"},
		"long workspace":   {headers: []string{"Workspace", strings.Repeat("a", 65)}, status: 400, reason: "bad-request", detail: "Workspace"},
		"control letter":   {headers: []string{"Request-Id", "a\x01"}, status: 400, reason: "bad-request", detail: "Request-Id"},
		"key with a space": {headers: []string{"Idempotency-Key", "a b"}, status: 400, reason: "bad-request", detail: "Idempotency-Key"},
		"bad priority":     {headers: []string{"Priority", "high"}, status: 400, reason: "bad-request", detail: "Priority"},
		"bad timeout":      {headers: []string{"Request-Timeout", "-1s"}, status: 400, reason: "bad-request", detail: "Request-Timeout"},
		"no content type":  {headers: []string{"Content-Type", ""}, status: 415, reason: "media-type", detail: "content type"},
		"picture":          {headers: []string{"Content-Type", "image/png"}, status: 415, reason: "media-type", detail: "content type"},
		"large body":       {body: strings.Repeat("x", calls.MaxBodyBytes+1), status: 413, reason: "too-large", detail: "1 MiB"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &answers{parts: []string{"never"}}
			r := call(t, a, path, c.body, c.headers...)
			var problem struct {
				Status                  int
				Reason, Detail, Outcome string
			}
			if err := json.NewDecoder(r.Body).Decode(&problem); err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != c.status || problem.Status != c.status || problem.Reason != c.reason || !strings.Contains(problem.Detail, c.detail) {
				t.Errorf("status %d, problem %+v", r.StatusCode, problem)
			}
			if problem.Outcome != "not-run" || r.Header.Get("Request-Outcome") != "not-run" || a.request.Route != "" {
				t.Errorf("outcome %q, sent %+v", problem.Outcome, a.request)
			}
		})
	}
}

func TestRequestIsHandedOnWhole(t *testing.T) {
	a := &answers{parts: []string{"x"}}
	call(t, a, "/v1/routes/draft", `{"p":1}`, "Idempotency-Key", `"k1"`, "Priority", "u=1", "Request-Id", "r1")
	want := calls.Request{
		ID: "r1", Route: "draft", Workspace: "harbour", Key: "k1", Priority: 6,
		Media: "application/json", Body: []byte(`{"p":1}`),
	}
	a.request.Deadline = time.Time{}
	if diff := cmp.Diff(want, a.request); diff != "" {
		t.Error(diff)
	}
}

func TestEndOfAnAnswerIsExplicit(t *testing.T) {
	lost := calls.Unknown(calls.ReasonLost, time.Second, "the answer ended early")
	cases := map[string]struct {
		accept  string
		refusal *calls.Refusal
		status  int
		outcome string
		want    string
		never   string
	}{
		"whole unary":  {status: 200, outcome: "answered", want: "data: a\n\n", never: "event"},
		"whole stream": {accept: "text/event-stream", status: 200, want: "event: end", never: "error"},
		"cut unary":    {refusal: lost, status: 502, outcome: "unknown", want: `"reason":"lost"`, never: "data: a"},
		"cut stream":   {accept: "text/event-stream", refusal: lost, status: 200, want: "event: error\ndata: {", never: "event: end"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := call(t, &answers{parts: []string{"data: a\n\n"}, refusal: c.refusal}, "/v1/routes/draft", "{}", "Accept", c.accept)
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Fatal(err)
			}
			if r.StatusCode != c.status || r.Header.Get("Request-Outcome") != c.outcome {
				t.Errorf("status %d, outcome %q", r.StatusCode, r.Header.Get("Request-Outcome"))
			}
			if !strings.Contains(string(body), c.want) || strings.Contains(string(body), c.never) {
				t.Errorf("body %q", body)
			}
		})
	}
}

// TestAnswerLeavesBeforeItsLine proves that a caller doesn't wait for the log.
func TestAnswerLeavesBeforeItsLine(t *testing.T) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/routes/draft", strings.NewReader("{}"))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Workspace", "harbour")
	lines := 0
	core, _ := observer.New(zap.InfoLevel)
	log := zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		lines++
		if !w.Flushed || w.Body.String() != "whole" || w.Header().Get("Content-Length") != "5" {
			t.Errorf("line %q came before the answer %q", e.Message, w.Body)
		}
		return nil
	}))
	newRouter(&answers{parts: []string{"who", "le"}}, log).ServeHTTP(w, r)
	if lines != 1 {
		t.Errorf("%d lines for a request", lines)
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	r := call(t, &answers{refusal: calls.NotRun(calls.ReasonOverload, 1500*time.Millisecond, "busy")}, "/v1/routes/draft", "{}")
	if r.StatusCode != http.StatusTooManyRequests || r.Header.Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
}

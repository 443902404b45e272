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

// fakeSender responds to every request with the same parts and refusal, and records the last
// request.
type fakeSender struct {
	parts   []string
	refusal *calls.Refusal
	request calls.Request
}

func (s *fakeSender) Send(_ context.Context, request calls.Request, sink sender.Sink) *calls.Refusal {
	s.request = request
	if len(s.parts) > 0 {
		_ = sink.Head("seven", http.StatusOK, "text/event-stream")
	}
	for _, p := range s.parts {
		_ = sink.Data([]byte(p))
	}
	return s.refusal
}

func (s *fakeSender) Refuse(_ context.Context, _ calls.Request, r *calls.Refusal) *calls.Refusal {
	return r
}

func (s *fakeSender) Mint(context.Context, string) (calls.Key, *calls.Refusal) {
	return "m1:a:b:1:c", nil
}

// stub admits every request and knows no other entry.
type stub struct{}

func (stub) Acquire(context.Context, calls.Request) (func(bool), *calls.Refusal) {
	return func(bool) {}, nil
}
func (stub) Available() []hosts.Host { return nil }

func newRouter(s *fakeSender, log *zap.Logger) *mux.Router {
	f := front.New(front.Options{
		Sender: s, Queues: stub{}, Lookup: stub{}, Tables: &tables.Active{},
		Trail: audit.NewTrail(zap.NewNop()), AddressTTL: time.Second, DrainTimeout: time.Second, Log: log,
	})
	r := mux.NewRouter()
	f.Register(r)
	return r
}

func call(t *testing.T, s *fakeSender, path, body string, headers ...string) *http.Response {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Workspace", "harbour")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	newRouter(s, zap.NewNop()).ServeHTTP(w, r)
	return w.Result()
}

func TestBadInputIsExplained(t *testing.T) {
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
			s := &fakeSender{parts: []string{"never"}}
			r := call(t, s, path, c.body, c.headers...)
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
			if problem.Outcome != "not-run" || r.Header.Get("Request-Outcome") != "not-run" || s.request.Route != "" {
				t.Errorf("outcome %q, sent %+v", problem.Outcome, s.request)
			}
		})
	}
}

func TestRequestIsForwardedWhole(t *testing.T) {
	s := &fakeSender{parts: []string{"x"}}
	call(t, s, "/v1/routes/draft", `{"p":1}`, "Idempotency-Key", `"k1"`, "Priority", "u=1", "Request-Id", "r1")
	want := calls.Request{
		ID: "r1", Route: "draft", Workspace: "harbour", Key: "k1", Priority: 6,
		Media: "application/json", Body: []byte(`{"p":1}`),
	}
	s.request.Deadline = time.Time{}
	if diff := cmp.Diff(want, s.request); diff != "" {
		t.Error(diff)
	}
}

func TestEndOfResponseIsExplicit(t *testing.T) {
	lost := calls.Unknown(calls.ReasonLost, time.Second, "the response ended early")
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
			r := call(t, &fakeSender{parts: []string{"data: a\n\n"}, refusal: c.refusal}, "/v1/routes/draft", "{}", "Accept", c.accept)
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

// TestResponseIsSentBeforeTheLogLine checks that a client doesn't wait for the log: the response
// is flushed before the request is logged.
func TestResponseIsSentBeforeTheLogLine(t *testing.T) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/routes/draft", strings.NewReader("{}"))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Workspace", "harbour")
	lines := 0
	core, _ := observer.New(zap.InfoLevel)
	log := zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		lines++
		if !w.Flushed || w.Body.String() != "whole" || w.Header().Get("Content-Length") != "5" {
			t.Errorf("line %q was logged before the response %q was flushed", e.Message, w.Body)
		}
		return nil
	}))
	newRouter(&fakeSender{parts: []string{"who", "le"}}, log).ServeHTTP(w, r)
	if lines != 1 {
		t.Errorf("%d log lines for a request", lines)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	r := call(t, &fakeSender{refusal: calls.NotRun(calls.ReasonOverload, 1500*time.Millisecond, "busy")}, "/v1/routes/draft", "{}")
	if r.StatusCode != http.StatusTooManyRequests || r.Header.Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q", r.StatusCode, r.Header.Get("Retry-After"))
	}
}

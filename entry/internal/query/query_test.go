package query_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/choice"
	"currantport.example/core/state"
	"currantport.example/core/timing"
	"currantport.example/entry/internal/proxy"
	"currantport.example/entry/internal/query"
	"currantport.example/entry/internal/target"
)

// explainer gives the same explanation for each question about route "r".
type explainer struct{ asked proxy.Question }

func (e *explainer) Explain(q proxy.Question) (proxy.Explanation, error) {
	if e.asked = q; q.Route != "r" {
		return proxy.Explanation{}, &proxy.QuestionError{Field: "route", Reason: "unknown"}
	}
	c := target.Candidate{
		Row: &state.Upstream{ID: "u", Domain: "d"}, Region: "r0", Load: timing.Load{Running: 3, Unread: 900, Pace: 1.5}, HasReport: true,
		LoadAge: 200 * time.Millisecond, Version: 2, IsEnding: true, EndsIn: time.Second, Predicted: 88 * time.Millisecond, Exclusions: []target.Exclusion{target.ExclusionHome},
		Limit: 2, LimitOwner: "e1", Costs: []target.Cost{{Name: "first", Value: 88}}, Cost: 88, MaxJitter: 4.4, Free: 1, Needed: 2,
	}
	p := proxy.PoolExplanation{
		Share: 1, Requirements: target.Requirements{Pool: &state.Pool{Name: "p", Engine: &state.Engine{}}, Model: "m", Levels: 3, Level: 1},
		Refusal: calls.NotRun(calls.ReasonHome, time.Second, "no upstream"), LatestRetry: 2 * time.Second, MaxWait: 50 * time.Millisecond,
	}
	p.Candidates, p.Choice, p.Second, p.Margin = []target.Candidate{c}, "u", "v", 12
	return proxy.Explanation{View: proxy.View{State: &state.Snapshot{Revision: 7}}, Pools: []proxy.PoolExplanation{p}}, nil
}

func get(h http.Handler, method, q string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, choice.Path+q, http.NoBody))
	return w
}

// TestWrongQuestionsAreRefused guards against a misspelled or invalid field that is ignored, so that the
// explanation is that of another request.
func TestWrongQuestionsAreRefused(t *testing.T) {
	for q, want := range map[string]int{
		"?route=r&prompt=9&timeout=500&workspace=w&model=m": http.StatusOK,
		"?route=x":                 http.StatusBadRequest,
		"":                         http.StatusBadRequest,
		"?route=r&prompt=-1":       http.StatusBadRequest,
		"?route=r&prompt=many":     http.StatusBadRequest,
		"?route=r&prompt=99999999": http.StatusBadRequest,
		"?route=r&promt=9":         http.StatusBadRequest,
	} {
		e := &explainer{}
		w := get(query.NewHandler("e0", e, zap.NewNop()), http.MethodGet, q)
		if w.Code != want || want != http.StatusOK && !bytes.Contains(w.Body.Bytes(), []byte(`"fault":"`)) {
			t.Errorf("%q: status %d, %s", q, w.Code, w.Body)
		}
		if want == http.StatusOK && e.asked != (proxy.Question{Route: "r", Workspace: "w", Model: "m", PromptTokens: 9, Timeout: 500 * time.Millisecond}) {
			t.Errorf("asked: %+v", e.asked)
		}
	}
	if w := get(query.NewHandler("e0", &explainer{}, zap.NewNop()), http.MethodPost, "?route=r"); w.Code != http.StatusMethodNotAllowed {
		t.Errorf("POST: %d", w.Code)
	}
}

// TestQuestionsAreRateLimited guards against an operator's script that asks in a loop, since each question
// holds the mutex that requests need.
func TestQuestionsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := query.NewHandler("e0", &explainer{}, zap.NewNop())
		served := 0
		for range 1000 {
			switch w := get(h, http.MethodGet, "?route=r"); w.Code {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
			default:
				t.Fatalf("status %d", w.Code)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if served < 50 || served > 55 {
			t.Errorf("%d questions answered in 10 s", served)
		}
	})
}

// TestDocumentHasAllFields guards against a field that the document loses or whose unit changes, since
// operators' programs read it.
func TestDocumentHasAllFields(t *testing.T) {
	const refusal = `{"reason":"home","detail":"no upstream","wait":1000,"latest":2000,"held":50}`
	const candidate = `{"upstream":"u","domain":"d","region":"r0","running":3,"unread":900,"reported":true,"age":200,"pace":1.5,` +
		`"version":2,"ending":true,"ends":1000,"predicted":88,"excluded":["home"],"limit":2,"owner":"e1",` +
		`"costs":[{"name":"first","value":88}],"cost":88,"jitter":4.4,"free":1,"needed":2,"admitted":false}`
	const want = `{"entry":"e0","era":0,"revision":7,"copyage":0,"pools":[{"pool":"p","share":1,"model":"m","bound":false,"level":1,"levels":3,` +
		`"remaining":0,"unit":"ms","candidates":[` + candidate + `],"choice":"u","second":"v","margin":12,"refusal":` + refusal + "}]}\n"
	if got := get(query.NewHandler("e0", &explainer{}, zap.NewNop()), http.MethodGet, "?route=r").Body.String(); got != want {
		t.Errorf("got  %swant %s", got, want)
	}
}

package proxy_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"currantport.example/core/calls"
	"currantport.example/core/feed"
	"currantport.example/core/state"
	"currantport.example/entry/internal/proxy"
)

var question = proxy.Question{Route: "once", Workspace: "harbour"}

// TestExplainedRefusalIsTheNextOne guards against an explanation that names another reason or time than
// the client gets, or that changes the state, so that the client is told a later time.
func TestExplainedRefusalIsTheNextOne(t *testing.T) {
	for reason, script := range map[calls.Reason]func(w io.Writer, v visit){
		calls.ReasonHeld:    func(w io.Writer, v visit) { heldBack(w, v.id, "3s") },
		calls.ReasonLimited: func(w io.Writer, v visit) { answered(w, v.id, "Limit: 0.5") },
	} {
		play(t, 1, script, func(w *world) {
			w.request(context.Background(), "/once/x")
			w.request(context.Background(), "/once/x")
			var all []proxy.PoolExplanation
			for range 3 {
				e, err := w.handler.Explain(question)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, e.Pools...)
			}
			p := all[0]
			excluded := p.Candidates[0].Exclusions
			if p.Refusal == nil || p.Refusal.Reason != reason || len(excluded) != 1 || !strings.HasPrefix(string(reason), string(excluded[0])) {
				t.Fatalf("%s: explained as %v, %+v", reason, p.Refusal, p.Candidates)
			}
			if isSpread := p.LatestRetry >= p.Refusal.RetryAfter+time.Second-time.Millisecond; isSpread != (reason == calls.ReasonHeld) {
				t.Errorf("%s: explained as %s to %s", reason, p.Refusal.RetryAfter, p.LatestRetry)
			}
			a := w.request(context.Background(), "/once/x")
			if wait, err := time.ParseDuration(a.Header().Get("Wait")); err != nil || wait < p.Refusal.RetryAfter-p.MaxWait || wait > p.LatestRetry {
				t.Errorf("%s: explained as %s to %s, the client is told %s", reason, p.Refusal.RetryAfter, p.LatestRetry, wait)
			}
		})
	}
}

// TestQuestionsThatCannotBeAnswered guards against an explanation of another request than the operator
// meant.
func TestQuestionsThatCannotBeAnswered(t *testing.T) {
	play(t, 1, nil, func(w *world) {
		front := w.serve()
		defer front.stop()
		engine := &state.Engine{Slots: 1, Stride: 5, StepTime: time.Millisecond, PrefillRate: 1000, Models: []state.Model{{Name: "m"}, {Name: "n"}}, Layers: 2}
		front.apply([]state.Row{encoded(state.EncodePool(&state.Pool{Name: "p", Engine: engine}))})
		for q, field := range map[proxy.Question]string{
			{Route: "other", Workspace: "harbour"}:            "route",
			{Route: "once", Workspace: "other"}:               "workspace",
			{Route: "once", Model: "m"}:                       "workspace",
			{Route: "once", Workspace: "harbour"}:             "model",
			{Route: "once", Workspace: "harbour", Model: "o"}: "model",
			{Route: "once", Workspace: "harbour", Model: "n"}: "",
		} {
			_, err := w.handler.Explain(q)
			if wrong := (*proxy.QuestionError)(nil); errors.As(err, &wrong) != (field != "") || wrong != nil && wrong.Field != field {
				t.Errorf("%+v: %v", q, err)
			}
		}
	})
	h := proxy.New(proxy.Options{Mirror: feed.NewMirror(), Scope: tally.NoopScope})
	if e, err := h.Explain(question); err != nil || e.Refusal == nil || e.Refusal.Reason != calls.ReasonStarting {
		t.Errorf("without a configuration: %+v, %v", e.Refusal, err)
	}
}

// Package query answers operators' questions about an entry on its administration address.
package query

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"currantport.example/core/choice"
	"currantport.example/core/hosts"
	"currantport.example/entry/internal/proxy"
)

const (
	// maxRate is the number of questions that are answered in a second. Each copies the state of a
	// pool under the mutex that the choices for requests need.
	maxRate = 5
	// maxPrompt bounds the prompt in a question, in tokens, and maxTimeout the timeout.
	maxPrompt  = 1 << 24
	maxTimeout = time.Hour
)

// Explainer explains where a request would be sent.
type Explainer interface {
	Explain(q proxy.Question) (proxy.Explanation, error)
}

// Handler serves choice.Path. It implements http.Handler.
type Handler struct {
	self      hosts.Name
	explainer Explainer
	limiter   *rate.Limiter
	log       *zap.Logger
}

// NewHandler returns the handler of an entry.
func NewHandler(self hosts.Name, e Explainer, log *zap.Logger) *Handler {
	return &Handler{self: self, explainer: e, limiter: rate.NewLimiter(maxRate, maxRate), log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		h.write(w, http.StatusMethodNotAllowed, choice.ErrorDocument{Fault: "only GET is allowed"})
		return
	}
	if !h.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		h.write(w, http.StatusTooManyRequests, choice.ErrorDocument{Fault: "more than " + strconv.Itoa(maxRate) + " questions a second"})
		return
	}
	q, err := parse(r.URL.Query())
	if err == nil {
		var e proxy.Explanation
		if e, err = h.explainer.Explain(q); err == nil {
			d := documentOf(e)
			d.Entry = string(h.self)
			h.write(w, http.StatusOK, d)
			return
		}
	}
	status := http.StatusInternalServerError
	if wrong := (*proxy.QuestionError)(nil); errors.As(err, &wrong) {
		status = http.StatusBadRequest
	}
	h.write(w, status, choice.ErrorDocument{Fault: err.Error()})
}

func (h *Handler) write(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(document); err != nil {
		h.log.Debug("explain-write-failed", zap.Error(err))
	}
}

// parse reads a question. Unknown fields are errors, since a misspelled one would be answered wrongly.
func parse(all url.Values) (proxy.Question, error) {
	var q proxy.Question
	for name, values := range all {
		value := values[len(values)-1]
		var err error
		switch name {
		case choice.QueryRoute:
			q.Route = value
		case choice.QueryWorkspace:
			q.Workspace = value
		case choice.QueryModel:
			q.Model = value
		case choice.QueryPrompt:
			q.PromptTokens, err = parseCount(name, value, maxPrompt)
		case choice.QueryTimeout:
			var ms int
			ms, err = parseCount(name, value, int(maxTimeout.Milliseconds()))
			q.Timeout = time.Duration(ms) * time.Millisecond
		default:
			err = &proxy.QuestionError{Field: name, Reason: "unknown field"}
		}
		if err != nil {
			return q, err
		}
	}
	if q.Route == "" {
		return q, &proxy.QuestionError{Field: choice.QueryRoute, Reason: "must be given"}
	}
	return q, nil
}

func parseCount(name, value string, most int) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > most {
		return 0, &proxy.QuestionError{Field: name, Reason: "must be a number from 0 to " + strconv.Itoa(most)}
	}
	return n, nil
}

package calls

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemMedia is the content type of problem details (RFC 9457).
const ProblemMedia = "application/problem+json"

const problemType = "https://currantport.example/problems/"

type problemDocument struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Request string `json:"request,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// Retry is in seconds.
	Retry int    `json:"retry,omitempty"`
	Token string `json:"token,omitempty"`
}

// EncodeProblem returns a refusal as problem details in JSON.
func EncodeProblem(id ID, r *Refusal) []byte {
	d := problemDocument{
		Type: problemType + string(r.Reason), Title: "request " + string(r.Outcome), Status: StatusOf(r),
		Detail: r.Detail, Request: string(id), Outcome: string(r.Outcome), Reason: string(r.Reason),
		Retry: retryAfterSeconds(r.RetryAfter), Token: r.Token,
	}
	data, err := json.Marshal(d)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// WriteProblem responds to a request with a refusal.
func WriteProblem(w http.ResponseWriter, id ID, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", ProblemMedia)
	h.Set(HeaderID, string(id))
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.Token != "" {
		h.Set(HeaderToken, r.Token)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(r.RetryAfter)))
	}
	w.WriteHeader(StatusOf(r))
	_, _ = w.Write(EncodeProblem(id, r))
}

// StatusOf returns the HTTP status of a refusal.
func StatusOf(r *Refusal) int {
	if s, ok := reasonStatus[r.Reason]; ok {
		return s
	}
	if r.Outcome == OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

var reasonStatus = map[Reason]int{
	ReasonBadRequest: http.StatusBadRequest,
	ReasonTooLarge:   http.StatusRequestEntityTooLarge,
	ReasonMediaType:  http.StatusUnsupportedMediaType,
	ReasonNoRoute:    http.StatusNotFound,
	ReasonKeyMissing: http.StatusBadRequest,
	ReasonKeyReused:  http.StatusUnprocessableEntity,
	ReasonRunning:    http.StatusConflict,
	ReasonOverload:   http.StatusTooManyRequests,
	ReasonDeadline:   http.StatusGatewayTimeout,
	ReasonKeyUnknown: http.StatusUnauthorized,
}

func retryAfterSeconds(wait time.Duration) int { return int(math.Ceil(wait.Seconds())) }

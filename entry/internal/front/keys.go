package front

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
)

const mintTimeout = 2 * time.Second

type keyDocument struct {
	Key string `json:"key"`
}

// serveKeys mints an idempotency key for a request to the route that the query names.
func (f *Front) serveKeys(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), mintTimeout)
	defer cancel()
	key, refusal := f.Sender.Mint(ctx, r.URL.Query().Get("route"))
	if refusal != nil {
		calls.WriteProblem(w, calls.ID(uuid.NewString()), refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(calls.HeaderKey, string(key))
	_ = json.NewEncoder(w).Encode(keyDocument{Key: string(key)})
}

// Package engine is a fake model engine.
//
// POST /v1/run/ROUTE responds with tokens that depend on the request and on the
// loaded weights. POST /v1/load orders the engine to load a version, and
// GET /v1/state returns its state. GET /v1/digests lists the digest of each loaded
// file, GET /v1/runs how often each idempotency key has run.
package engine

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxBodyBytes = 2 << 20
	tokenCount   = 8
)

// Options configure an engine.
type Options struct {
	// Fenced makes the engine refuse orders with an outdated fencing token.
	Fenced bool
	// TokenInterval is the time between two tokens. An unstreamed response takes
	// one interval.
	TokenInterval time.Duration
}

// Engine is a fake engine.
type Engine struct {
	options Options
	client  *http.Client
	startID string
	running atomic.Int64
	counts  RunCounts
	cache   prefixCache

	mutex sync.Mutex
	state state
	// orderSerial counts the accepted orders. Only the newest one takes effect.
	orderSerial int
	// files holds the SHA-256 digest of each file of the version, by path.
	files map[string]string
}

type state struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Manifest string   `json:"manifest"`
	Base     string   `json:"base"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"`
	Running  int64    `json:"running"`
	Start    string   `json:"start"`
	Serial   uint64   `json:"serial"`
	Changes  []change `json:"changes,omitempty"`
}

type order struct {
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	Base     string `json:"base"`
	Role     string `json:"role"`
	Files    string `json:"files"`
	Under    string `json:"under"`
}

// New returns an engine without a loaded version. It reads weights with the
// client.
func New(o Options, client *http.Client) *Engine {
	return &Engine{options: o, client: client, startID: time.Now().Format(time.RFC3339Nano), files: make(map[string]string)}
}

// Register adds the handlers to a router.
func (e *Engine) Register(r *mux.Router) {
	r.HandleFunc("/v1/run/{route}", e.serveRun).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodPost)
	r.HandleFunc("/v1/state", e.serveState).Methods(http.MethodGet)
	r.HandleFunc("/v1/digests", e.serveDigests).Methods(http.MethodGet)
	r.HandleFunc("/v1/runs", e.counts.Serve).Methods(http.MethodGet)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	s := e.state
	e.mutex.Unlock()
	s.Running = e.running.Load()
	s.Start = e.startID
	s.Serial, s.Changes = e.cache.snapshot()
	writeJSON(w, s)
}

func (e *Engine) serveDigests(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(w, e.files)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	serial, loaded, ok := e.startLoad(o)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	files, err := loaded, error(nil)
	if files == nil {
		files, err = e.readVersion(r.Context(), o)
	}
	e.finishLoad(o, serial, files, err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

// startLoad accepts an order and returns its serial. If the order changes only the
// role, it returns the loaded files too, which needn't be read again.
func (e *Engine) startLoad(o order) (serial int, loaded map[string]string, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.Fenced && o.Fence <= e.state.Fence {
		return 0, nil, false
	}
	if !e.state.Loading && o.Manifest == e.state.Manifest && o.Base == e.state.Base {
		loaded = e.files
	}
	e.state = state{Fence: o.Fence, Model: o.Model, Loading: true}
	e.files = nil
	e.orderSerial++
	return e.orderSerial, loaded, true
}

func (e *Engine) finishLoad(o order, serial int, files map[string]string, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.orderSerial != serial {
		return
	}
	e.state.Loading = false
	if err == nil {
		e.state.Version, e.state.Manifest = o.Version, o.Manifest
		e.state.Base, e.state.Role = o.Base, o.Role
		e.files = files
	}
}

// readVersion reads the files of the base, if there is one, and those of the
// version, which replace files of the base with the same path.
func (e *Engine) readVersion(ctx context.Context, o order) (map[string]string, error) {
	files := make(map[string]string)
	if o.Base != "" {
		if err := e.readFiles(ctx, o.Under, files); err != nil {
			return nil, err
		}
	}
	return files, e.readFiles(ctx, o.Files, files)
}

func (e *Engine) readFiles(ctx context.Context, address string, files map[string]string) error {
	base, err := url.Parse(address)
	if err != nil {
		return err
	}
	list, err := e.open(ctx, *base)
	if err != nil {
		return err
	}
	defer func() { _ = list.Close() }()
	lines := bufio.NewScanner(list)
	for lines.Scan() {
		digest, err := e.readFile(ctx, *base.JoinPath(lines.Text()))
		if err != nil {
			return err
		}
		files[path.Clean(lines.Text())] = digest
	}
	return lines.Err()
}

func (e *Engine) readFile(ctx context.Context, u url.URL) (string, error) {
	f, err := e.open(ctx, u)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

func (e *Engine) open(ctx context.Context, u url.URL) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.New(res.Status)
	}
	return res.Body, nil
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	s := e.state
	e.mutex.Unlock()
	if s.Loading || s.Version == "" {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.cache.touch(body)
	e.counts.Add(r.Header.Get("Idempotency-Key"))
	h := w.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	h.Set("Model-Version", s.Version)
	text := ResponseText(s.Manifest, body)
	if !strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		e.sleep(r.Context(), e.options.TokenInterval)
		writeJSON(w, map[string]string{"version": s.Version, "text": text})
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for i := range tokenCount {
		e.sleep(r.Context(), e.options.TokenInterval)
		n := len(text) / tokenCount
		_, _ = fmt.Fprintf(w, "data: {\"token\":%d,\"version\":%q,\"text\":%q}\n\n", i, s.Version, text[i*n:(i+1)*n])
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// ResponseText returns the text with which an engine that has loaded the manifest
// responds to a request body. It has 64 characters.
func ResponseText(manifest string, body []byte) string {
	sum := sha256.Sum256(append([]byte(manifest), body...))
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// RunCounts counts the runs of each idempotency key. The zero value is ready to
// use.
type RunCounts struct {
	mutex sync.Mutex
	runs  map[string]int
}

// Add counts a run. An empty key isn't counted.
func (c *RunCounts) Add(key string) {
	if key == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[key]++
}

// Serve writes the counts as a JSON object by key.
func (c *RunCounts) Serve(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	writeJSON(w, c.runs)
}

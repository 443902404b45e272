// Package engine stands in for a model engine.
//
// It answers POST /v1/run/ROUTE with tokens that depend on the request and on
// the weights that it has loaded, takes orders at POST /v1/load and reports
// itself at GET /v1/state. GET /v1/digests lists the digest of each loaded file,
// GET /v1/runs how often each key has run.
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
	maxBody    = 2 << 20
	tokenCount = 8
)

// Options say how an engine behaves.
type Options struct {
	// Fenced tells that it refuses orders with an old fencing number.
	Fenced bool
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
}

// Engine is a stand-in engine.
type Engine struct {
	options Options
	client  *http.Client
	start   string
	running atomic.Int64
	counts  RunCounts
	cache   prefixCache

	mutex sync.Mutex
	state state
	// serial counts the orders taken. Only the newest one has an effect.
	serial int
	// files holds the digest of each file of the version, by path.
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

// New returns an engine that has loaded nothing.
func New(o Options, client *http.Client) *Engine {
	return &Engine{options: o, client: client, start: time.Now().Format(time.RFC3339Nano), files: make(map[string]string)}
}

// Register adds the engine to a router.
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
	s.Start = e.start
	s.Serial, s.Changes = e.cache.report()
	writeJSON(w, s)
}

func (e *Engine) serveDigests(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(w, e.files)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	serial, held, ok := e.begin(o)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	files, err := held, error(nil)
	if files == nil {
		files, err = e.readAll(r.Context(), o)
	}
	e.end(o, serial, files, err)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

// begin takes an order and returns its serial and the files that it needs if
// the engine holds them already, which is so if only the role changes.
func (e *Engine) begin(o order) (serial int, held map[string]string, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.Fenced && o.Fence <= e.state.Fence {
		return 0, nil, false
	}
	if !e.state.Loading && o.Manifest == e.state.Manifest && o.Base == e.state.Base {
		held = e.files
	}
	e.state = state{Fence: o.Fence, Model: o.Model, Loading: true}
	e.files = nil
	e.serial++
	return e.serial, held, true
}

func (e *Engine) end(o order, serial int, files map[string]string, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.serial != serial {
		return
	}
	e.state.Loading = false
	if err == nil {
		e.state.Version, e.state.Manifest = o.Version, o.Manifest
		e.state.Base, e.state.Role = o.Base, o.Role
		e.files = files
	}
}

// readAll reads the files of the base, if there is one, and those of the
// version, which take the place of files of the base with the same path.
func (e *Engine) readAll(ctx context.Context, o order) (map[string]string, error) {
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
	a, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close()
		return nil, errors.New(a.Status)
	}
	return a.Body, nil
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
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

// ResponseText returns the text that an engine with the manifest loaded gives to a
// request. It is 64 letters long.
func ResponseText(manifest string, body []byte) string {
	sum := sha256.Sum256(append([]byte(manifest), body...))
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// RunCounts counts the runs of each key. The zero value has none.
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

// Serve writes the counts.
func (c *RunCounts) Serve(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	writeJSON(w, c.runs)
}

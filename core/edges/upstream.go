package edges

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"currantport.example/core/calls"
	"currantport.example/core/chunks"
	"currantport.example/core/engine"
	"currantport.example/core/links"
)

// Headers between an agent and its upstream. HeaderTimeout is in milliseconds.
const (
	HeaderID             = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
	HeaderVersion        = "Model-Version"
	HeaderTimeout        = "Request-Timeout"
)

const maxStateBytes = 1 << 20

// Plain is a client of a plain service. It implements engine.Service.
type Plain struct {
	client *http.Client
	// noReuseClient opens a new connection for each request, so that no request can
	// be sent twice or on a connection that the other end has closed.
	noReuseClient *http.Client
	base          url.URL
}

// NewPlain returns a client of the service at the base URL.
func NewPlain(client *http.Client, base url.URL) *Plain {
	return &Plain{client: client, noReuseClient: withoutConnectionReuse(client), base: base}
}

// withoutConnectionReuse returns a client that uses each connection for one
// request. A transport other than *links.Transport is used unchanged and must not
// resend requests.
func withoutConnectionReuse(client *http.Client) *http.Client {
	t, ok := client.Transport.(*links.Transport)
	if !ok {
		return client
	}
	return &http.Client{Transport: t.WithoutReuse(), CheckRedirect: refuseRedirect}
}

// refuseRedirect prevents a redirect from sending the request a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run implements engine.Service. An error before a connection exists proves that
// the request was not sent; a later one doesn't.
func (p *Plain) Run(ctx context.Context, request calls.Request) (engine.Response, error) {
	u := p.base.JoinPath("v1", "run", request.Route)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, u.String(), bytes.NewReader(request.Body))
	if err != nil {
		return engine.Response{}, &engine.NotStartedError{Cause: err}
	}
	r.GetBody = nil
	setHeaders(r.Header, request)
	client := p.client
	if request.Key != "" {
		client = p.noReuseClient
	}
	response, err := client.Do(r)
	if err != nil && !connected.Load() {
		return engine.Response{}, &engine.NotStartedError{Cause: err}
	}
	if err != nil {
		return engine.Response{}, oops.In("edges").With("request", request.ID).Wrap(&engine.ConnectionLostError{Cause: err})
	}
	if err := checkResponse(response, request.ID); err != nil {
		_ = response.Body.Close()
		return engine.Response{}, oops.In("edges").With("request", request.ID).Wrap(err)
	}
	return engine.Response{
		Version: response.Header.Get(HeaderVersion), Status: response.StatusCode,
		Media: response.Header.Get("Content-Type"), Body: response.Body,
	}, nil
}

// checkResponse rejects a response to another request, and one without a length
// or chunked encoding, whose end can't be distinguished from a broken connection.
func checkResponse(response *http.Response, id calls.ID) error {
	if got := response.Header.Get(HeaderID); got != string(id) {
		return fmt.Errorf("%w: response to request %q", ErrMalformed, got)
	}
	if response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return fmt.Errorf("%w: response without a length", ErrMalformed)
	}
	return nil
}

func setHeaders(h http.Header, request calls.Request) {
	h.Set(HeaderID, string(request.ID))
	if request.Key != "" {
		h.Set(HeaderIdempotencyKey, string(request.Key))
	}
	h.Set(HeaderPriority, strconv.Itoa(request.Priority))
	h.Set(HeaderTimeout, strconv.FormatInt(time.Until(request.Deadline).Milliseconds(), 10))
	if request.Media != "" {
		h.Set("Content-Type", request.Media)
	}
	if request.Stream {
		h.Set("Accept", "text/event-stream")
	}
}

// Engine is a client of a model engine. It implements engine.Engine.
type Engine struct {
	Plain
}

// NewEngine returns a client of the engine at the base URL.
func NewEngine(client *http.Client, base url.URL) *Engine {
	return &Engine{Plain: *NewPlain(client, base)}
}

// Run implements engine.Service. An engine that responds with 429 or 503 has not
// started the request; a plain service makes no such promise.
func (e *Engine) Run(ctx context.Context, request calls.Request) (engine.Response, error) {
	response, err := e.Plain.Run(ctx, request)
	if err != nil || response.Status != http.StatusServiceUnavailable && response.Status != http.StatusTooManyRequests {
		return response, err
	}
	_ = response.Body.Close()
	return engine.Response{}, &engine.NotStartedError{Cause: &RefusedError{Status: response.Status}}
}

type orderDocument struct {
	Fence     uint64 `json:"fence"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Manifest  string `json:"manifest"`
	Base      string `json:"base,omitempty"`
	Role      string `json:"role,omitempty"`
	Files     string `json:"files"`
	BaseFiles string `json:"under,omitempty"`
}

type stateDocument struct {
	Fence    uint64 `json:"fence"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
	Base     string `json:"base"`
	Role     string `json:"role"`
	Loading  bool   `json:"loading"`
	Running  int    `json:"running"`
	Start    string `json:"start"`
	Serial   uint64 `json:"serial"`
	// Changes lists the latest changes of the prefix cache, up to Serial.
	Changes []changeDocument `json:"changes"`
}

type changeDocument struct {
	// Prefix is the prefix hash in hexadecimal.
	Prefix  string `json:"prefix"`
	Dropped bool   `json:"dropped"`
}

// State implements engine.Engine.
func (e *Engine) State(ctx context.Context) (engine.State, error) {
	response, err := get(ctx, e.client, *e.base.JoinPath("v1", "state"), nil)
	if err != nil {
		return engine.State{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readAll(response.Body, maxStateBytes)
	if err != nil {
		return engine.State{}, oops.In("edges").Wrap(err)
	}
	return decodeState(data)
}

func decodeState(data []byte) (engine.State, error) {
	var d stateDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return engine.State{}, oops.In("edges").Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	s := engine.State{
		Fence: engine.Fence(d.Fence), Model: d.Model, Version: d.Version, Role: d.Role,
		Loading: d.Loading, Running: d.Running, StartID: d.Start, CacheSerial: d.Serial,
	}
	for _, c := range d.Changes {
		prefix, err := strconv.ParseUint(c.Prefix, 16, 64)
		if err != nil {
			return engine.State{}, oops.In("edges").Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
		}
		s.CacheChanges = append(s.CacheChanges, engine.CacheChange{PrefixHash: prefix, Evicted: c.Dropped})
	}
	var errs [2]error
	s.Manifest, errs[0] = parseOptionalDigest(d.Manifest)
	s.Base, errs[1] = parseOptionalDigest(d.Base)
	if err := errors.Join(errs[:]...); err != nil {
		return engine.State{}, oops.In("edges").Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	return s, nil
}

func parseOptionalDigest(text string) (chunks.Digest, error) {
	if text == "" {
		return chunks.Digest{}, nil
	}
	return chunks.ParseDigest(text)
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context, order engine.Order) error {
	body, err := json.Marshal(newOrderDocument(order))
	if err != nil {
		return oops.In("edges").Wrap(err)
	}
	u := e.base.JoinPath("v1", "load")
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return oops.In("edges").Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(r)
	if err != nil {
		return oops.In("edges").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return oops.In("edges").Wrap(ErrFenced)
	}
	return oops.In("edges").Wrap(checkStatus(response))
}

// ErrFenced means that an engine refused an order because of its outdated fence.
var ErrFenced = errors.New("the engine has accepted a newer order")

func newOrderDocument(o engine.Order) orderDocument {
	d := orderDocument{
		Fence: uint64(o.Fence), Model: o.Model, Version: o.Version, Manifest: o.Manifest.String(),
		Role: o.Role, Files: o.Files.String(),
	}
	if !o.Base.IsZero() {
		d.Base = o.Base.String()
		d.BaseFiles = o.BaseFiles.String()
	}
	return d
}

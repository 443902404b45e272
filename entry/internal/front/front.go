// Package front answers callers over HTTP. docs/API.md describes the interface.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/admit"
	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/lookup"
	"currantport.example/entry/internal/sender"
)

const (
	defaultTimeout = 30 * time.Second
	phaseInterval  = 50 * time.Millisecond
	// longestHold bounds how long an answer to another entry is held.
	longestHold = 10 * time.Second
)

// Sender runs requests.
type Sender interface {
	Send(ctx context.Context, request calls.Request, sink sender.Sink) *calls.Refusal
	// Refuse returns the refusal of a request that isn't sent.
	Refuse(ctx context.Context, request calls.Request, refusal *calls.Refusal) *calls.Refusal
	// Mint returns a new key for a request to the route.
	Mint(ctx context.Context, route string) (calls.Key, *calls.Refusal)
}

// Queues admit requests.
type Queues interface {
	// Enter waits until the request may be sent, or refuses it. The returned
	// function is called once the request has ended.
	Enter(ctx context.Context, request calls.Request) (func(answered bool), *calls.Refusal)
}

// Lookup tells which other entries may be named to callers.
type Lookup interface {
	Named() []hosts.Host
}

// Options are the parts of a front.
type Options struct {
	Self   hosts.Host
	Sender Sender
	Queues Queues
	Lookup Lookup
	Force  *tables.Active
	Trail  *audit.Trail
	// Lifetime is how long an address answer holds.
	Lifetime time.Duration
	// Within bounds the time in which requests in progress finish at a stop.
	Within time.Duration
	Log    *zap.Logger
}

// Front answers callers. It implements wire.FrontHandler.
type Front struct {
	Options
	running atomic.Int32
	// listed tells that the list of hosts names the host as leaving.
	listed atomic.Bool

	mutex sync.Mutex
	drain admit.Drain
	// leaves is closed once the stop has begun.
	leaves chan struct{}
}

// New returns a front.
func New(o Options) *Front {
	return &Front{
		Options: o, leaves: make(chan struct{}),
		drain: admit.Drain{Accept: o.Lifetime + lookup.AskTimeout, Within: o.Within},
	}
}

// Register adds the callers' interface to a router.
func (f *Front) Register(r *mux.Router) {
	// The router tries its routes in order, so requests come first.
	r.HandleFunc("/v1/routes/{route}", f.serveRoute).Methods(http.MethodPost)
	r.HandleFunc("/v1/addresses", f.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/keys", f.serveKeys).Methods(http.MethodPost)
}

// Drain implements manage.Drainer. Requests are taken for the lifetime of the
// addresses that were given out, and those in progress are finished.
func (f *Front) Drain(cause string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.drain.Begin(time.Now()) {
		close(f.leaves)
		f.Trail.Add(audit.EventDrain, "entry", cause)
	}
}

// Leaving implements manage.Drainer.
func (f *Front) Leaving() bool { return f.listed.Load() || f.phase() != admit.PhaseOpen }

// Listed tells whether the list of hosts names the host as leaving. It isn't
// named to callers then and goes on to answer.
func (f *Front) Listed(leaving bool) {
	f.listed.Store(leaving)
	f.Trail.Add(audit.EventHosts, string(f.Self.Name), "the list of hosts", audit.Field{Name: "leaving", Value: strconv.FormatBool(leaving)})
}

func (f *Front) phase() admit.Phase {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.drain.Phase(time.Now(), int(f.running.Load()))
}

// Wait returns once a stop that has begun is done, or the context has ended.
func (f *Front) Wait(ctx context.Context) {
	select {
	case <-f.leaves:
	case <-ctx.Done():
		return
	}
	for f.phase() != admit.PhaseDone {
		select {
		case <-time.After(phaseInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Leave implements wire.FrontHandler.
func (f *Front) Leave(ctx context.Context, r *connect.Request[wire.LeaveRequest]) (*connect.Response[wire.LeaveReply], error) {
	if r.Msg.Wait > 0 && f.Leaving() == r.Msg.Leaving {
		f.await(ctx, min(time.Duration(r.Msg.Wait)*time.Millisecond, longestHold))
	}
	return connect.NewResponse(&wire.LeaveReply{Leaving: f.Leaving()}), nil
}

func (f *Front) await(ctx context.Context, wait time.Duration) {
	leaves := f.leaves
	if f.Leaving() {
		leaves = nil
	}
	select {
	case <-leaves:
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

type addressesDocument struct {
	Addresses []string `json:"addresses"`
	Lifetime  string   `json:"lifetime"`
}

func (f *Front) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	named := f.Lookup.Named()
	if !f.Leaving() {
		named = slices.Insert(named, rand.IntN(f.near(named)+1), f.Self)
	}
	d := addressesDocument{Addresses: []string{}, Lifetime: f.Lifetime.String()}
	for _, h := range named {
		d.Addresses = append(d.Addresses, h.Address.String())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d)
}

// near returns how many of the hosts stand in the own region.
func (f *Front) near(named []hosts.Host) int {
	count := 0
	for _, h := range named {
		if h.Place.Region == f.Self.Place.Region {
			count++
		}
	}
	return count
}

func (f *Front) serveRoute(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	request, refusal := f.read(w, r)
	if refusal != nil {
		calls.WriteProblem(w, request.ID, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	sink := newSink(w, request)
	refusal = f.send(ctx, request, sink)
	sink.finish(refusal)
	f.Log.Info("request", zap.String("request", string(request.ID)), zap.String("workspace", request.Workspace),
		zap.String("route", request.Route), zap.String("version", sink.version), zap.Bool("answered", refusal == nil))
}

func (f *Front) send(ctx context.Context, request calls.Request, sink *sink) *calls.Refusal {
	if p := f.phase(); p == admit.PhaseClosed || p == admit.PhaseDone {
		return f.Sender.Refuse(ctx, request, calls.NotRun(calls.ReasonLeaving, time.Second, "the entry leaves: look up the addresses anew"))
	}
	leave, refusal := f.Queues.Enter(ctx, request)
	if refusal != nil {
		return f.Sender.Refuse(ctx, request, refusal)
	}
	refusal = f.Sender.Send(ctx, request, sink)
	leave(refusal == nil)
	return refusal
}

func (f *Front) read(w http.ResponseWriter, r *http.Request) (calls.Request, *calls.Refusal) {
	request := calls.Request{ID: calls.ID(uuid.NewString()), Route: mux.Vars(r)["route"]}
	head, err := calls.ReadHead(r.Header)
	if err != nil {
		return request, calls.NotRun(calls.ReasonBadRequest, 0, err.Error())
	}
	if !calls.IsSupportedMedia(head.Media) {
		return request, calls.NotRun(calls.ReasonMediaType, 0, "the content type must be application/json or text")
	}
	if head.ID != "" {
		request.ID = head.ID
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, calls.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return request, calls.NotRun(calls.ReasonTooLarge, 0, "the body is longer than 1 MiB")
	}
	if err != nil {
		return request, calls.NotRun(calls.ReasonBadRequest, 0, "the body ended early")
	}
	request.Workspace, request.Key, request.Token, request.Priority = head.Workspace, head.Key, head.Token, head.Priority
	request.Stream, request.Media, request.Body = head.Stream, head.Media, body
	request.Deadline = time.Now().Add(f.timeout(request.Route, head.Timeout))
	return request, nil
}

func (f *Front) timeout(route string, asked time.Duration) time.Duration {
	if asked > 0 {
		return asked
	}
	if r, ok := f.Force.Snapshot().Routes.Rows[route]; ok {
		return r.Timeout
	}
	return defaultTimeout
}

// Package front serves the HTTP interface for clients, which docs/API.md describes: the
// addresses of entries, new idempotency keys, and requests to routes.
//
// # Drain
//
// After Drain the entry no longer names itself to clients. It accepts requests as long as
// clients may still use an address that they got earlier, finishes the requests in progress,
// and refuses any later ones as not run.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
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
	"currantport.example/core/intake"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/lookup"
	"currantport.example/entry/internal/sender"
)

const (
	defaultTimeout    = 30 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// maxBodyWait bounds the wait of a body for memory, and bodyWaitDivisor divides the timeout of the request, which
	// bounds it too.
	maxBodyWait     = 500 * time.Millisecond
	bodyWaitDivisor = 6
	// writeSlack is how long after the deadline of a request its response may still be written. A client that reads
	// slowly, is silent or gone is treated alike, since its time has ended.
	writeSlack = time.Second
	// maxHoldTimeout bounds how long a long poll of another entry is held.
	maxHoldTimeout = 10 * time.Second
)

// Sender sends requests to upstreams.
type Sender interface {
	// Send runs a request and writes the response to the sink. It returns nil if the
	// response is complete.
	Send(ctx context.Context, request calls.Request, sink sender.Sink) *calls.Refusal
	// Refuse returns the refusal of a request that isn't sent.
	Refuse(ctx context.Context, request calls.Request, refusal *calls.Refusal) *calls.Refusal
	// Mint returns a new key for a request to the route.
	Mint(ctx context.Context, route string) (calls.Key, *calls.Refusal)
}

// Queues admits requests.
type Queues interface {
	// Acquire waits until the request may be sent, or refuses it. The caller must call the
	// returned function once the request has ended.
	Acquire(ctx context.Context, request calls.Request) (func(answered bool), *calls.Refusal)
}

// Lookup knows the other entries.
type Lookup interface {
	// Available returns the other entries that may be named to clients, those of the same
	// region first.
	Available() []hosts.Host
}

// Options are the dependencies and bounds of a Front.
type Options struct {
	Self   hosts.Host
	Sender Sender
	Queues Queues
	Lookup Lookup
	Tables *tables.Active
	Trail  *audit.Trail
	// AddressTTL is how long clients may use the addresses of one lookup.
	AddressTTL time.Duration
	// DrainTimeout bounds the time that requests in progress have to finish in a drain.
	DrainTimeout time.Duration
	// BodyBytes bounds the request bodies that are kept at the same time. Zero means no bound.
	BodyBytes int64
	// ResponseBytes bounds the unary responses that are buffered at the same time. Zero means no bound.
	ResponseBytes int64
	Log           *zap.Logger
}

// Front serves clients. It implements wire.FrontHandler and manage.Drainer.
type Front struct {
	Options
	bodies     *intake.Intake
	responses  memory
	inProgress atomic.Int32
	// listedLeaving is set if the list of hosts has this host as leaving.
	listedLeaving atomic.Bool

	mutex sync.Mutex
	drain admit.Drain
	// draining is closed once the drain has begun.
	draining chan struct{}
	// stateChanged is closed and replaced whenever Leaving may have changed. The mutex guards it.
	stateChanged chan struct{}
}

// New returns a front that isn't draining.
func New(o Options) *Front {
	return &Front{
		Options: o, bodies: intake.New(intake.Options{MaxBytes: o.BodyBytes}), responses: memory{limit: o.ResponseBytes},
		draining: make(chan struct{}), stateChanged: make(chan struct{}),
		drain: admit.Drain{AcceptTime: o.AddressTTL + lookup.ProbeTimeout, FinishTimeout: o.DrainTimeout},
	}
}

// Register adds the interface for clients to a router.
func (f *Front) Register(r *mux.Router) {
	// The router matches its routes in order, so the most frequent one comes first.
	r.HandleFunc("/v1/routes/{route}", f.serveRoute).Methods(http.MethodPost)
	r.HandleFunc("/v1/addresses", f.serveAddresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/keys", f.serveKeys).Methods(http.MethodPost)
}

// Drain implements manage.Drainer. Requests are accepted until the addresses that were given
// out have expired, and those in progress are finished. Cause goes into the audit trail. Only
// the first call has an effect.
func (f *Front) Drain(cause string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.drain.Start(time.Now()) {
		close(f.draining)
		f.releaseHeld()
		f.Trail.Add(audit.EventDrain, "entry", cause)
	}
}

// Leaving implements manage.Drainer.
func (f *Front) Leaving() bool { return f.listedLeaving.Load() || f.phase() != admit.PhaseOpen }

// SetListedLeaving records whether the list of hosts has this host as leaving. If so, the
// entry isn't named to clients but continues to serve requests.
func (f *Front) SetListedLeaving(leaving bool) {
	f.listedLeaving.Store(leaving)
	f.notifyHeld()
	f.Trail.Add(audit.EventHosts, string(f.Self.Name), "the list of hosts", audit.Field{Name: "leaving", Value: strconv.FormatBool(leaving)})
}

func (f *Front) phase() admit.Phase {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.drain.Phase(time.Now(), int(f.inProgress.Load()))
}

// WaitDrained blocks until a drain has begun and is complete, or the context is done.
func (f *Front) WaitDrained(ctx context.Context) {
	select {
	case <-f.draining:
	case <-ctx.Done():
		return
	}
	for f.phase() != admit.PhaseDone {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Leave implements wire.FrontHandler. It is a long poll: if the peer already knows the state,
// the reply is held until the state changes, for at most the requested time.
func (f *Front) Leave(ctx context.Context, r *connect.Request[wire.LeaveRequest]) (*connect.Response[wire.LeaveReply], error) {
	if r.Msg.Wait > 0 {
		f.awaitLeaving(ctx, r.Msg.Leaving, min(time.Duration(r.Msg.Wait)*time.Millisecond, maxHoldTimeout))
	}
	return connect.NewResponse(&wire.LeaveReply{Leaving: f.Leaving()}), nil
}

// awaitLeaving waits until the state differs from the one that the peer knows.
func (f *Front) awaitLeaving(ctx context.Context, known bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		f.mutex.Lock()
		changed := f.stateChanged
		f.mutex.Unlock()
		if f.Leaving() != known {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notifyHeld ends the wait of held replies.
func (f *Front) notifyHeld() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.releaseHeld()
}

// releaseHeld is notifyHeld for a caller that holds the mutex.
func (f *Front) releaseHeld() {
	close(f.stateChanged)
	f.stateChanged = make(chan struct{})
}

type addressesDocument struct {
	Addresses []string `json:"addresses"`
	Lifetime  string   `json:"lifetime"`
}

func (f *Front) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	available := f.Lookup.Available()
	if !f.Leaving() {
		available = slices.Insert(available, rand.IntN(f.countLocal(available)+1), f.Self)
	}
	d := addressesDocument{Addresses: []string{}, Lifetime: f.AddressTTL.String()}
	for _, h := range available {
		d.Addresses = append(d.Addresses, h.Address.String())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d)
}

// countLocal returns how many of the hosts are in the region of the entry.
func (f *Front) countLocal(all []hosts.Host) int {
	count := 0
	for _, h := range all {
		if h.Place.Region == f.Self.Place.Region {
			count++
		}
	}
	return count
}

func (f *Front) serveRoute(w http.ResponseWriter, r *http.Request) {
	f.inProgress.Add(1)
	defer f.inProgress.Add(-1)
	request, release, refusal := f.readRequest(w, r)
	defer release()
	if refusal != nil {
		calls.WriteProblem(w, request.ID, refusal)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(request.Deadline.Add(writeSlack))
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	sink := newSink(w, r, request, &f.responses)
	defer sink.close()
	refusal = f.send(ctx, request, sink)
	sink.finish(refusal)
	f.Log.Info("request", zap.String("request", string(request.ID)), zap.String("workspace", request.Workspace),
		zap.String("route", request.Route), zap.String("version", sink.version), zap.Bool("answered", refusal == nil))
	if sink.isTruncated {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetWriteDeadline(time.Time{})
}

func (f *Front) send(ctx context.Context, request calls.Request, sink *sink) *calls.Refusal {
	if p := f.phase(); p == admit.PhaseClosed || p == admit.PhaseDone {
		return f.Sender.Refuse(ctx, request, calls.NotRun(calls.ReasonLeaving, time.Second, "the entry leaves: look up the addresses anew"))
	}
	release, refusal := f.Queues.Acquire(ctx, request)
	if refusal != nil {
		return f.Sender.Refuse(ctx, request, refusal)
	}
	refusal = f.Sender.Send(ctx, request, sink)
	release(refusal == nil)
	return refusal
}

// readRequest reads a request. Release frees the memory of its body; it is never nil.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request) (request calls.Request, release func(), refusal *calls.Refusal) {
	request = calls.Request{ID: calls.ID(uuid.NewString()), Route: mux.Vars(r)["route"]}
	head, err := calls.ReadHead(r.Header)
	if err != nil {
		return request, func() {}, calls.NotRun(calls.ReasonBadRequest, 0, err.Error())
	}
	if !calls.IsSupportedMedia(head.Media) {
		return request, func() {}, calls.NotRun(calls.ReasonMediaType, 0, "the content type must be application/json or text")
	}
	if head.ID != "" {
		request.ID = head.ID
	}
	request.Workspace, request.Key, request.Token, request.Priority = head.Workspace, head.Key, head.Token, head.Priority
	request.Stream, request.Media = head.Stream, head.Media
	request.Deadline = time.Now().Add(f.timeout(request.Route, head.Timeout))
	request.Body, release, refusal = f.readBody(w, r, request.Deadline)
	return request, release, refusal
}

// readBody reads a body until the deadline. Release is never nil.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (body []byte, release func(), refusal *calls.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, release, err := f.bodies.Read(r.Context(), intake.Body{
		Reader: r.Body, Length: r.ContentLength, MaxBytes: calls.MaxBodyBytes, WaitTimeout: min(maxBodyWait, time.Until(deadline)/bodyWaitDivisor),
		Interrupt: func() { _ = control.SetReadDeadline(time.Now()) },
	})
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, release, nil
	}
	// The rest of the body must not be parsed as another request.
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrTooLong):
		refusal = calls.NotRun(calls.ReasonTooLarge, 0, "the body is longer than 1 MiB")
	case errors.Is(err, intake.ErrNoMemory):
		refusal = calls.NotRun(calls.ReasonMemory, time.Second, "too many bodies are being received")
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal = calls.NotRun(calls.ReasonDeadline, 0, "the body came too late")
	default:
		refusal = calls.NotRun(calls.ReasonBadRequest, 0, "the body ended early")
	}
	return nil, release, refusal
}

func (f *Front) timeout(route string, requested time.Duration) time.Duration {
	if requested > 0 {
		return requested
	}
	if r, ok := f.Tables.Snapshot().Routes.Rows[route]; ok {
		return r.Timeout
	}
	return defaultTimeout
}

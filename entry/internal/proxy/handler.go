// Package proxy handles a client's request from its arrival to its end: whether it may be
// served, which upstream it is sent to, what follows a failed attempt, and what the client
// receives.
//
// # Lifecycle of a request
//
// An entry sends requests to upstreams directly. A request is read whole before it is sent,
// so that it can be retried. A short response is read whole before it is forwarded, so that
// a broken one can be replaced; a stream is forwarded event by event.
//
// # Responses to the client
//
// A refusal states that the request has not run, with proof, and when to retry. If the
// request may have run, the client is told that the outcome is unknown. If a response is
// interrupted after part of it was forwarded, the connection to the client is aborted too,
// so that the part can't be taken for the whole.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/budget"
	"currantport.example/core/calls"
	"currantport.example/core/clocks"
	"currantport.example/core/conns"
	"currantport.example/core/crash"
	"currantport.example/core/edges"
	"currantport.example/core/events"
	"currantport.example/core/feed"
	"currantport.example/core/intake"
	"currantport.example/core/state"
	"currantport.example/core/watch"
	"currantport.example/entry/internal/target"
)

const (
	// defaultTimeout bounds a request if neither the client nor the route states a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes bounds a request body if the configuration doesn't.
	defaultMaxBodyBytes = 4 << 20
	defaultEventBytes   = 16 << 20
	// maxBodyWait bounds the wait of a body for memory, and bodyWaitDivisor divides the time that the request has
	// left, which bounds it too. Clients give up an entry that hasn't read their request for a second or a third of
	// the time that they have left.
	maxBodyWait     = 500 * time.Millisecond
	bodyWaitDivisor = 6
	// writeSlack is how long after the deadline of a request its response may still be
	// written to a slow client.
	writeSlack = time.Second
)

// Options are the dependencies and settings of a Handler.
type Options struct {
	Mirror        *feed.Mirror
	Fleet         *target.Fleet
	Conns         *conns.Pool
	ClientCodec   edges.ClientCodec
	UpstreamCodec edges.UpstreamCodec
	Crashes       *crash.Registry
	Bounds        Bounds
	// RetryLimits bound the retries to each pool.
	RetryLimits budget.Limits
	// Entries returns the number of entries that share the retry budget.
	Entries func() int
	// BufferBytes bounds the long responses that are buffered at the same time. Zero means no bound.
	BufferBytes int64
	// EventBytes bounds the unfinished long events of all streams. Zero means 16 MiB.
	EventBytes int64
	// Bodies bound the request bodies that are kept at the same time.
	Bodies intake.Options
	// Random returns a number in [0, 1).
	Random func() float64
	Scope  tally.Scope
	Log    *zap.Logger
}

// Handler serves the requests of clients. It implements http.Handler.
type Handler struct {
	options Options
	metrics *metrics
	events  *events.Allowance
	buffers buffers
	bodies  *intake.Intake

	// ending is done once EndRequests was called.
	ending      context.Context //nolint:containedctx // it ends requests, not the handler
	endRequests context.CancelFunc

	timeouts Timeouts
	queues   queues

	// reserving is held by the request that looks for an upstream beside a silent one.
	reserving sync.Mutex

	mutex   sync.Mutex
	budgets map[string]*budget.Budget
}

// New returns a handler for client requests.
func New(o Options) *Handler {
	h := &Handler{
		options: o, metrics: newMetrics(o.Scope), events: events.NewAllowance(cmp.Or(o.EventBytes, defaultEventBytes)), bodies: intake.New(o.Bodies),
		budgets: make(map[string]*budget.Budget),
	}
	h.buffers.limit = o.BufferBytes
	h.ending, h.endRequests = context.WithCancel(context.Background())
	return h
}

// EndRequests answers the requests in progress that have no part of a response yet: as not run, or with
// an unknown outcome. Call it when the connections of clients are about to be closed.
func (h *Handler) EndRequests() { h.endRequests() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := &lifecycle{handler: h, writer: w, conn: watch.ConnOf(r), arrived: time.Now(), view: h.view()}
	defer l.report()
	defer l.releaseBuffer()
	defer l.freeBody()
	defer l.contain()
	var refusal *calls.Refusal
	if l.call, refusal = h.options.ClientCodec.ParseRequest(r); refusal != nil {
		l.refuse(refusal)
		return
	}
	if l.admission, refusal = h.options.Bounds.Admit(l.view, &l.call); refusal != nil {
		if refusal.Reason == calls.ReasonStarting {
			refusal.RetryAfter = l.retryAfter(refusal.RetryAfter)
		}
		l.refuse(refusal)
		return
	}
	l.deadline = l.arrived.Add(timeoutOf(&l.call, l.admission.Route))
	control := http.NewResponseController(w)
	if refusal := l.readBody(r, control); refusal != nil {
		l.refuse(refusal)
		return
	}
	if err := control.SetWriteDeadline(l.deadline.Add(writeSlack)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.options.Log.Debug("deadline-set-failed", zap.Error(err))
	}
	if refusal := l.leavingRefusal(); refusal != nil {
		l.refuse(refusal)
		return
	}
	l.run(r.Context())
	if err := control.SetWriteDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		h.options.Log.Debug("deadline-set-failed", zap.Error(err))
	}
}

// RefusalHandler returns a handler that refuses requests which arrive late in a graceful
// shutdown.
func (h *Handler) RefusalHandler() http.Handler { return refuser{handler: h} }

type refuser struct{ handler *Handler }

// drainingRetryAfter is when a client should retry at another entry.
const drainingRetryAfter = 50 * time.Millisecond

// ServeHTTP implements http.Handler.
func (f refuser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := &lifecycle{handler: f.handler, writer: w, conn: watch.ConnOf(r), arrived: time.Now(), view: f.handler.view()}
	defer l.report()
	defer l.contain()
	var refusal *calls.Refusal
	if l.call, refusal = f.handler.options.ClientCodec.ParseRequest(r); refusal == nil {
		refusal = newLeavingRefusal()
	}
	l.refuse(refusal)
}

func newLeavingRefusal() *calls.Refusal {
	return calls.NotRun(calls.ReasonLeaving, drainingRetryAfter, "the entry is stopping")
}

// leavingRefusal refuses a request that was sent to no upstream before the entry began to refuse
// requests. Its head may have arrived long before.
func (l *lifecycle) leavingRefusal() *calls.Refusal {
	if l.counted || !l.handler.queues.ended.Load() {
		return nil
	}
	return newLeavingRefusal()
}

func (h *Handler) view() View {
	staleness, confirmed := h.options.Mirror.Staleness()
	snapshot, since := h.options.Mirror.ActiveSnapshot()
	return View{State: snapshot, Since: since, Staleness: staleness, Confirmed: confirmed}
}

// timeoutOf returns how long a request may take.
func timeoutOf(c *calls.Call, r *state.Route) time.Duration {
	timeout := defaultTimeout
	if r.Timeout > 0 {
		timeout = r.Timeout
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	return timeout
}

// trySpend takes a retry from the budget of a pool and reports whether there was one.
func (h *Handler) trySpend(pool string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.budgetOf(pool).TrySpend(clocks.Now(), h.options.Entries())
}

// recordRequest counts the first attempt of a request to a pool.
func (h *Handler) recordRequest(pool string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.budgetOf(pool).RecordRequest(clocks.Now())
}

func (h *Handler) budgetOf(pool string) *budget.Budget {
	b := h.budgets[pool]
	if b == nil {
		b = budget.New(h.options.RetryLimits)
		h.budgets[pool] = b
	}
	return b
}

// readBody reads the whole request body.
func (l *lifecycle) readBody(r *http.Request, control *http.ResponseController) *calls.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	maxBytes := l.view.State.Limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if err := control.SetReadDeadline(l.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		l.handler.options.Log.Debug("deadline-set-failed", zap.Error(err))
	}
	interrupt := func() { _ = control.SetReadDeadline(time.Now()) }
	stop := context.AfterFunc(l.handler.ending, interrupt)
	defer stop()
	body, release, err := l.handler.bodies.Read(l.handler.ending, intake.Body{
		Reader: r.Body, Length: r.ContentLength, MaxBytes: maxBytes, WaitTimeout: min(maxBodyWait, time.Until(l.deadline)/bodyWaitDivisor), Interrupt: interrupt,
	})
	l.freeBytes = release
	if err != nil {
		return l.bodyRefusal(err)
	}
	// A read deadline left on the connection would end it while the server watches for the
	// client to disconnect.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		l.handler.options.Log.Debug("deadline-set-failed", zap.Error(err))
	}
	l.call.Body = body
	return nil
}

// freeBody is called when the request has ended.
func (l *lifecycle) freeBody() {
	if l.freeBytes != nil {
		l.freeBytes()
	}
}

// bodyRefusal returns the refusal of a request whose body wasn't read.
func (l *lifecycle) bodyRefusal(err error) *calls.Refusal {
	if errors.Is(err, intake.ErrTooLong) || errors.Is(err, intake.ErrNoMemory) {
		// The client gets the refusal before it has sent the rest.
		l.writer.Header().Set("Connection", "close")
	}
	if errors.Is(err, intake.ErrTooLong) {
		return calls.NotRun(calls.ReasonTooLarge, 0, "the body is too long")
	}
	if refusal := l.leavingRefusal(); refusal != nil {
		return refusal
	}
	if errors.Is(err, intake.ErrNoMemory) {
		return calls.NotRun(calls.ReasonMemory, l.retryAfter(0), "too many bodies are being received")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return calls.NotRun(calls.ReasonDeadline, 0, "the body came too late")
	}
	return calls.NotRun(calls.ReasonBadRequest, 0, "the body can't be read")
}

// probe checks whether an upstream that sent no response still accepts connections.
type probe struct {
	handler *Handler
	row     *state.Upstream
}

// probeTimeout bounds a connection attempt. One that takes longer is no evidence of a
// crash.
const probeTimeout = 400 * time.Millisecond

func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.handler.options.Conns.Acquire(ctx, p.row.Address, true)
	if err == nil {
		conn.Close()
		return
	}
	if isConnectionRefused(err) {
		p.handler.options.Crashes.RecordCrash(p.row.ID, "connection refused")
	}
}

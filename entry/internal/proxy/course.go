// Package course takes a caller's request from its arrival to its end: whether it may
// be served, to which upstream it goes, what follows a try that failed, and what the
// caller is told.
//
// # Way of a request
//
// An entry sends requests to upstreams directly. A request is read whole before it is
// sent, so that it can be sent again. A short answer is read whole before it is handed
// on, so that a broken one can be replaced; a stream is handed on event by event.
//
// # What the caller is told
//
// A refusal says that the request has not run, with proof, and when to come back. If
// it may have run, the caller is told that this isn't known. An answer that breaks off
// is broken off towards the caller too, so that it can't be taken for a whole one.
package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	"currantport.example/core/feed"
	"currantport.example/core/state"
	"currantport.example/entry/internal/target"
)

const (
	// defaultTimeout bounds a request whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// defaultBody bounds a body if no configuration does.
	defaultBody = 4 << 20
	// writeSlack is how long after the deadline of a request an answer may still be
	// written to a caller that takes it slowly.
	writeSlack = time.Second
)

// Options are the parts that serve requests.
type Options struct {
	Mirror    *feed.Mirror
	Fleet     *target.Fleet
	Conns     *conns.Pool
	Callers   edges.ClientCodec
	Upstreams edges.UpstreamCodec
	Crashes   *crash.Registry
	Bounds    Bounds
	// RetryLimits bound the repeats to each pool.
	RetryLimits budget.Limits
	// Entries returns the number of entries that share the budget of repeats.
	Entries func() int
	// Random returns a number from 0 to 1.
	Random func() float64
	Scope  tally.Scope
	Log    *zap.Logger
}

// Handler serves the requests of callers. It implements http.Handler.
type Handler struct {
	options Options
	metrics *metrics

	waits Timeouts

	mutex   sync.Mutex
	budgets map[string]*budget.Budget
}

// New returns a handler for requests.
func New(o Options) *Handler {
	return &Handler{options: o, metrics: newMetrics(o.Scope), budgets: make(map[string]*budget.Budget)}
}

// ServeHTTP implements http.Handler.
func (c *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &trip{courses: c, writer: w, arrived: time.Now(), view: c.view()}
	defer t.report()
	var refusal *calls.Refusal
	if t.call, refusal = c.options.Callers.ParseRequest(r); refusal != nil {
		t.refuse(refusal)
		return
	}
	if t.admission, refusal = c.options.Bounds.Admit(t.view, &t.call); refusal != nil {
		t.refuse(refusal)
		return
	}
	t.deadline = t.arrived.Add(timeoutOf(&t.call, t.admission.Route))
	control := http.NewResponseController(w)
	if refusal := t.readBody(r, control); refusal != nil {
		t.refuse(refusal)
		return
	}
	if err := control.SetWriteDeadline(t.deadline.Add(writeSlack)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.options.Log.Debug("deadline-unset", zap.Error(err))
	}
	t.run(r.Context())
	if err := control.SetWriteDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.options.Log.Debug("deadline-unset", zap.Error(err))
	}
}

// RefusalHandler returns the handler of requests that come too late in a stop. It refuses
// them.
func (c *Handler) RefusalHandler() http.Handler { return leaving{courses: c} }

type leaving struct{ courses *Handler }

// leavingWait is when a caller may come back that is to go to another entry.
const leavingWait = 50 * time.Millisecond

// ServeHTTP implements http.Handler.
func (l leaving) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &trip{courses: l.courses, writer: w, arrived: time.Now(), view: l.courses.view()}
	defer t.report()
	var refusal *calls.Refusal
	if t.call, refusal = l.courses.options.Callers.ParseRequest(r); refusal == nil {
		refusal = calls.NotRun(calls.ReasonLeaving, leavingWait, "the entry is stopping")
	}
	t.refuse(refusal)
}

func (c *Handler) view() View {
	age, ok := c.options.Mirror.Staleness()
	return View{State: c.options.Mirror.Snapshot(), Staleness: age, Confirmed: ok}
}

// timeoutOf returns for how long a request is served.
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

// spend takes a repeat from the budget of a pool.
func (c *Handler) spend(pool string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.budgetOf(pool).TrySpend(clocks.Now(), c.options.Entries())
}

// first counts the first sending of a request to a pool.
func (c *Handler) first(pool string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.budgetOf(pool).RecordRequest(clocks.Now())
}

func (c *Handler) budgetOf(pool string) *budget.Budget {
	b := c.budgets[pool]
	if b == nil {
		b = budget.New(c.options.RetryLimits)
		c.budgets[pool] = b
	}
	return b
}

// readBody reads the whole request.
func (t *trip) readBody(r *http.Request, control *http.ResponseController) *calls.Refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	most := t.view.State.Limits.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if err := control.SetReadDeadline(t.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		t.courses.options.Log.Debug("deadline-unset", zap.Error(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(t.writer, r.Body, most))
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return calls.NotRun(calls.ReasonTooLarge, 0, "the body is too long")
	}
	if err != nil {
		return calls.NotRun(calls.ReasonBadRequest, 0, "the body can't be read")
	}
	// A deadline that is left on the connection would end it while the server
	// watches for the caller to leave.
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		t.courses.options.Log.Debug("deadline-unset", zap.Error(err))
	}
	t.call.Body = body
	return nil
}

// probe finds out whether an upstream that gave no answer still takes connections.
type probe struct {
	courses *Handler
	row     *state.Upstream
}

// probeTimeout bounds the wait for a connection. It says nothing if it takes longer.
const probeTimeout = 400 * time.Millisecond

func (p *probe) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.courses.options.Conns.Acquire(ctx, p.row.Address, true)
	if err == nil {
		conn.Close()
		return
	}
	if isRefused(err) {
		p.courses.options.Crashes.RecordCrash(p.row.ID, "connection refused")
	}
}

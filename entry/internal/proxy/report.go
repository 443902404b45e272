package proxy

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// metrics count what becomes of requests. Times are histograms in seconds.
type metrics struct {
	scope tally.Scope
	// again counts further tries, resumed those of them that go on with a stream.
	again   tally.Counter
	resumed tally.Counter
	// suspects counts the losses of upstreams that a request may have caused.
	suspects tally.Counter
	attempts map[tries.Result]tally.Counter
	// seconds is the whole time of a request, first that to its first byte, held that for
	// which it waited for room.
	seconds tally.Histogram
	first   tally.Histogram
	held    tally.Histogram
	// copyage is the age of the rows by which requests were served, loadage that of what
	// was known of their engine.
	copyage tally.Histogram
	loadage tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(leastDuration, 2, durationSteps)
	m := &metrics{
		scope: s, again: s.Counter("repeats"), resumed: s.Counter("resumed"), suspects: s.Counter("suspects"),
		attempts: make(map[tries.Result]tally.Counter), seconds: s.Histogram("seconds", buckets), first: s.Histogram("first_seconds", buckets),
		held: s.Histogram("held_seconds", buckets), copyage: s.Histogram("copyage_seconds", buckets), loadage: s.Histogram("loadage_seconds", buckets),
	}
	for r, name := range resultNames {
		m.attempts[r] = s.Tagged(map[string]string{"result": name}).Counter("attempts")
	}
	return m
}

const (
	// leastDuration and durationSteps give buckets from 4 ms to 8 s, which span the hops
	// between hosts and the longest timeouts.
	leastDuration = 4 * time.Millisecond
	durationSteps = 12
)

var resultNames = map[tries.Result]string{
	tries.ResultAnswered: "answered", tries.ResultFailed: "failed", tries.ResultUnsent: "unsent",
	tries.ResultDeclined: "declined", tries.ResultLost: "lost", tries.ResultTruncated: "broken",
}

// logAttempt writes how a try went. A good one is told by the line of the request.
func (t *trip) logAttempt(w *target.InFlight, result tries.Result, start time.Time, err error) {
	fields := []zap.Field{
		zap.String("upstream", w.Row.ID), zap.Int("version", w.Version), zap.Int("running", w.Running),
		zap.Duration("age", w.LoadAge), zap.Duration("predicted", w.Predicted),
	}
	t.detail = fields
	m := t.courses.metrics
	m.attempts[result].Inc(1)
	if t.pool.Engine != nil {
		m.loadage.RecordDuration(w.LoadAge)
	}
	if result == tries.ResultAnswered && err == nil {
		return
	}
	all := append([]zap.Field{
		zap.String("id", string(t.call.ID)), zap.Int("try", len(t.tried)), zap.String("result", resultNames[result]),
		zap.Duration("took", time.Since(start)), zap.Int("events", t.events), zap.Error(err),
	}, fields...)
	t.courses.options.Log.Info("attempt", all...)
}

// report writes one line for each request and counts it. It runs also when the
// connection to the caller is being broken off.
func (t *trip) report() {
	took := time.Since(t.arrived)
	reason := ""
	if t.refusal != nil {
		reason = string(t.refusal.Reason)
	}
	m := t.courses.metrics
	m.scope.Tagged(map[string]string{"ending": t.ending, "reason": reason}).Counter("requests").Inc(1)
	m.seconds.RecordDuration(took)
	m.copyage.RecordDuration(t.view.Staleness)
	fields := []zap.Field{
		zap.String("id", string(t.call.ID)), zap.String("ending", t.ending), zap.Int("status", t.status),
		zap.Duration("took", took),
	}
	if r := t.admission.Route; r != nil {
		fields = append(fields, zap.String("route", r.Name))
	}
	if t.pool != nil {
		fields = append(fields, zap.String("pool", t.pool.Name), zap.Int("tries", len(t.tried)))
	}
	if t.refusal != nil {
		fields = append(fields, zap.String("reason", reason), zap.String("detail", t.refusal.Detail), zap.Duration("wait", t.refusal.RetryAfter))
	}
	if t.call.Prompt > 0 {
		fields = append(fields, zap.Int("prompt", t.call.Prompt), zap.Int("output", t.call.MaxOutput), zap.Int("expected", t.call.ExpectedOutput),
			zap.Bool("returned", t.returned))
	}
	if t.first > 0 {
		m.first.RecordDuration(t.first)
		fields = append(fields, zap.Duration("first", t.first), zap.Int("events", t.events), zap.Duration("pause", t.pause))
	}
	fields = append(fields, zap.Uint64("revision", uint64(t.view.State.Revision)), zap.Duration("copyage", t.view.Staleness))
	fields = append(fields, t.detail...)
	if t.status >= http.StatusInternalServerError || t.ending == "broken" {
		t.courses.options.Log.Warn("request", fields...)
		return
	}
	t.courses.options.Log.Info("request", fields...)
}

package proxy

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/tries"
	"currantport.example/entry/internal/target"
)

// metrics count the results of requests. Times are histograms in seconds.
type metrics struct {
	scope tally.Scope
	// retries counts retries, resumed those of them that resume a stream.
	retries tally.Counter
	resumed tally.Counter
	// suspects counts lost upstreams that a request may have crashed.
	suspects tally.Counter
	// attempts count by the name of the result.
	attempts map[string]tally.Counter
	// seconds is the total time of a request, firstByte the time to the first byte of its
	// response, waitTime the time before its first attempt.
	seconds   tally.Histogram
	firstByte tally.Histogram
	waitTime  tally.Histogram
	// leftSilence is how long the clients that have left had received nothing.
	leftSilence tally.Histogram
	// staleness is the staleness of the rows that requests were served by, loadAge the age
	// of the load report of their engine.
	staleness tally.Histogram
	loadAge   tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(minDuration, 2, durationBuckets)
	m := &metrics{
		scope: s, retries: s.Counter("repeats"), resumed: s.Counter("resumed"), suspects: s.Counter("suspects"),
		attempts: make(map[string]tally.Counter), seconds: s.Histogram("seconds", buckets), firstByte: s.Histogram("first_seconds", buckets),
		waitTime: s.Histogram("held_seconds", buckets), staleness: s.Histogram("copyage_seconds", buckets), loadAge: s.Histogram("loadage_seconds", buckets),
		leftSilence: s.Histogram("left_silence_seconds", buckets),
	}
	for _, name := range resultNames {
		m.attempts[name] = s.Tagged(map[string]string{"result": name}).Counter("attempts")
	}
	m.attempts[resultDropped] = s.Tagged(map[string]string{"result": resultDropped}).Counter("attempts")
	return m
}

// countDemand counts a demand of an upstream. Few upstreams make any, so that they may be told
// apart.
func (m *metrics) countDemand(kind, upstream string) {
	m.scope.Tagged(map[string]string{"kind": kind, "upstream": upstream}).Counter("upstream_demands").Inc(1)
}

// countExclusions counts a request that found no upstream, for each failure domain and each reason why
// upstreams there may not take it.
func (m *metrics) countExclusions(all []target.DomainExclusion) {
	for _, e := range all {
		m.scope.Tagged(map[string]string{"reason": string(e.Reason), "domain": string(e.Domain)}).Counter("exclusions").Inc(1)
	}
}

// countCause counts a request without a whole response.
func (m *metrics) countCause(ending string, c cause) {
	m.scope.Tagged(map[string]string{"ending": ending, "cause": string(c)}).Counter("causes").Inc(1)
}

const (
	// minDuration and durationBuckets give buckets from 4 ms to 8 s, which cover the hops
	// between hosts and the longest timeouts.
	minDuration     = 4 * time.Millisecond
	durationBuckets = 12
)

var resultNames = map[tries.Result]string{
	tries.ResultAnswered: "answered", tries.ResultFailed: "failed", tries.ResultUnsent: "unsent",
	tries.ResultDeclined: "declined", tries.ResultLost: "lost", tries.ResultTruncated: "broken",
}

// resultDropped is the result of an attempt at a further upstream that isn't needed, since another one has
// responded or the request has ended.
const resultDropped = "dropped"

// attemptFields are the fields of an attempt in its own line and in that of the request.
func attemptFields(f *target.InFlight, start time.Time) []zap.Field {
	fields := []zap.Field{
		zap.String("upstream", f.Row.ID), zap.Int("version", f.Version), zap.Int("served", f.Served), zap.Int("running", f.Running),
		zap.Duration("age", f.LoadAge), zap.Duration("predicted", f.Predicted),
		zap.String("usage", string(f.Usage)),
	}
	if !f.StartDeadline.IsZero() {
		fields = append(fields, zap.Duration("startwithin", f.StartDeadline.Sub(start)))
	}
	return fields
}

// logAttempt logs the result of an attempt. A successful one is covered by the log line of
// the request.
func (l *lifecycle) logAttempt(f *target.InFlight, result tries.Result, start time.Time, e attemptEnd, err error) {
	fields := attemptFields(f, start)
	l.logFields = fields
	m := l.handler.metrics
	m.attempts[resultNames[result]].Inc(1)
	if l.pool.Engine != nil {
		m.loadAge.RecordDuration(f.LoadAge)
		m.scope.Tagged(map[string]string{"usage": string(f.Usage)}).Counter("choices").Inc(1)
	}
	if result == tries.ResultAnswered && err == nil {
		return
	}
	all := append([]zap.Field{
		zap.String("id", string(l.call.ID)), zap.Int("try", len(l.attempted)), zap.String("result", resultNames[result]),
		zap.Duration("took", clocks.Since(start)), zap.Int("events", l.events), zap.Error(err),
	}, fields...)
	all = append(all, e.fields()...)
	if len(l.call.PromptParts) > 0 {
		all = append(all, zap.Strings("parts", l.call.PromptParts))
	}
	l.handler.options.Log.Info("attempt", all...)
}

// logSuccessor logs an attempt beside the one in progress that has failed or was dropped.
func (l *lifecycle) logSuccessor(s *successor, result string, e attemptEnd, err error) {
	l.handler.metrics.retries.Inc(1)
	l.handler.metrics.attempts[result].Inc(1)
	l.handler.options.Log.Info("attempt", append([]zap.Field{
		zap.String("id", string(l.call.ID)), zap.Bool("beside", true), zap.String("upstream", s.inFlight.Row.ID),
		zap.String("result", result), zap.Duration("took", clocks.Since(s.sentAt)), zap.Error(err),
	}, e.fields()...)...)
}

// report logs one line for each request and counts it. It also runs while the connection to
// the client is being aborted.
func (l *lifecycle) report() {
	took := time.Since(l.arrived)
	reason := ""
	if l.refusal != nil {
		reason = string(l.refusal.Reason)
	}
	m := l.handler.metrics
	m.scope.Tagged(map[string]string{"ending": l.ending, "reason": reason}).Counter("requests").Inc(1)
	m.seconds.RecordDuration(took)
	m.staleness.RecordDuration(l.view.Staleness)
	fields := []zap.Field{
		zap.String("id", string(l.call.ID)), zap.String("ending", l.ending), zap.Int("status", l.status),
		zap.Duration("took", took),
	}
	if r := l.admission.Route; r != nil {
		fields = append(fields, zap.String("route", r.Name))
	}
	if l.pool != nil {
		fields = append(fields, zap.String("pool", l.pool.Name), zap.Int("tries", len(l.attempted)))
	}
	if l.refusal != nil {
		fields = append(fields, zap.String("reason", reason), zap.String("detail", l.refusal.Detail), zap.Duration("wait", l.refusal.RetryAfter))
	}
	if l.call.Prompt > 0 {
		fields = append(fields, zap.Int("prompt", l.call.Prompt), zap.Int("output", l.call.MaxOutput), zap.Int("expected", l.call.ExpectedOutput),
			zap.Bool("returned", l.isRetry))
	}
	if l.firstByte > 0 {
		m.firstByte.RecordDuration(l.firstByte)
		fields = append(fields, zap.Duration("first", l.firstByte), zap.Int("events", l.events), zap.Duration("pause", l.maxGap))
	}
	if l.ending == endingLeft {
		fields = append(fields, zap.Duration("silence", l.silence))
	}
	fields = append(fields, l.levelFields()...)
	fields = append(fields, l.causeFields()...)
	fields = append(fields, zap.Uint64("era", l.view.State.Revision.Era()), zap.Uint64("revision", l.view.State.Revision.Number()), zap.Duration("copyage", l.view.Staleness))
	fields = append(fields, l.logFields...)
	if l.status >= http.StatusInternalServerError || l.ending == endingBroken {
		l.handler.options.Log.Warn("request", fields...)
		return
	}
	l.handler.options.Log.Info("request", fields...)
}

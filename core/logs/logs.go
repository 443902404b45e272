// Package logs builds the logger of a process: one line of key=value pairs per event.
//
// # Volume
//
// Logging never blocks. Lines go through a bounded queue. When it fills up, lines below
// the level warn are dropped first, so that failures are logged in preference to
// successes. A line of its own reports the number of dropped lines.
package logs

import (
	"context"
	"io"
	"sync"
	"time"

	logfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is the minimum severity that is logged.
type Level string

// The levels of a log.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

const (
	// maxQueueBytes bounds the queued lines. In its second half only lines of level
	// warn and above are queued.
	maxQueueBytes = 512 << 10
	// flushInterval is the time for which lines are batched.
	flushInterval = 50 * time.Millisecond
	// shutdownTimeout bounds the final flush.
	shutdownTimeout = time.Second
)

// New returns a logger that writes to w. The clean-up function flushes the queue. The
// error means that the level is unknown.
func New(w io.Writer, level Level) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(string(level))
	if err != nil {
		return nil, nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.MessageKey = "event"
	c.EncodeTime = encodeTime
	c.EncodeDuration = zapcore.StringDurationEncoder
	q := &queue{out: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go q.run(ctx)
	l := zap.New(&queueCore{LevelEnabler: parsed, encoder: logfmt.NewEncoder(c), queue: q})
	return l, func() {
		cancel()
		select {
		case <-q.done:
		case <-time.After(shutdownTimeout):
		}
	}, nil
}

func encodeTime(t time.Time, e zapcore.PrimitiveArrayEncoder) {
	e.AppendString(t.UTC().Format("2006-01-02T15:04:05.000000Z"))
}

// queueCore encodes events and queues them. It writes an error as its message alone, so
// that an event stays one short line.
type queueCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *queue
}

// With implements zapcore.Core.
func (c *queueCore) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for _, f := range flattenErrors(fields) {
		f.AddTo(e)
	}
	return &queueCore{LevelEnabler: c.LevelEnabler, encoder: e, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *queueCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && c.queue.admit(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *queueCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.encoder.EncodeEntry(e, flattenErrors(fields))
	if err != nil {
		return err
	}
	c.queue.enqueue(b.Bytes())
	b.Free()
	return nil
}

// Sync implements zapcore.Core. It doesn't wait for the queue.
func (c *queueCore) Sync() error { return nil }

// queue holds lines until they are written.
type queue struct {
	out  io.Writer
	wake chan struct{}
	// done is closed after the last lines are written.
	done chan struct{}

	mutex   sync.Mutex
	pending []byte
	spare   []byte
	dropped int
}

// admit reports whether the queue accepts a line of the level, and counts the line as
// dropped if not.
func (q *queue) admit(l zapcore.Level) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	limit := maxQueueBytes
	if l < zapcore.WarnLevel {
		limit = maxQueueBytes / 2
	}
	if len(q.pending) < limit {
		return true
	}
	q.dropped++
	return false
}

func (q *queue) enqueue(line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) == 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	q.pending = append(q.pending, line...)
}

func (q *queue) run(ctx context.Context) {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			q.flush()
			return
		}
		t := time.NewTimer(flushInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		q.flush()
	}
}

func (q *queue) flush() {
	q.mutex.Lock()
	lines, dropped := q.pending, q.dropped
	q.pending, q.dropped, q.spare = q.spare[:0], 0, nil
	q.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	_, _ = q.out.Write(lines)
	q.mutex.Lock()
	if cap(lines) <= maxQueueBytes {
		q.spare = lines
	}
	q.mutex.Unlock()
}

// Package logs builds the logger of a process: one line of key=value pairs for each
// event.
//
// # Volume
//
// Writing never waits. Lines go through a bounded queue; when it fills up, lines below
// the level warn are left out first, so that failures are told before successes. How
// many were left out is told in a line of its own.
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

// Level is the least severity that is written.
type Level string

// The levels of a log.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

const (
	// queueBytes bounds the lines that wait to be written. Beyond half of it only
	// lines from the level warn on are taken.
	queueBytes = 512 << 10
	// flushInterval is the time for which lines are gathered.
	flushInterval = 50 * time.Millisecond
	// stopWithin bounds the wait for the last lines.
	stopWithin = time.Second
)

// New returns a logger that writes to w. The clean-up function writes what waits.
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
		case <-time.After(stopWithin):
		}
	}, nil
}

func encodeTime(t time.Time, e zapcore.PrimitiveArrayEncoder) {
	e.AppendString(t.UTC().Format("2006-01-02T15:04:05.000000Z"))
}

// queueCore encodes events and queues them. It writes an error as its message alone,
// so that an event stays one short line.
type queueCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	queue   *queue
}

// With implements zapcore.Core.
func (c *queueCore) With(fields []zapcore.Field) zapcore.Core {
	e := c.encoder.Clone()
	for _, f := range flatten(fields) {
		f.AddTo(e)
	}
	return &queueCore{LevelEnabler: c.LevelEnabler, encoder: e, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *queueCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && c.queue.takes(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *queueCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.encoder.EncodeEntry(e, flatten(fields))
	if err != nil {
		return err
	}
	c.queue.put(b.Bytes())
	b.Free()
	return nil
}

// Sync implements zapcore.Core. It doesn't wait.
func (c *queueCore) Sync() error { return nil }

// queue holds lines until they are written.
type queue struct {
	out  io.Writer
	wake chan struct{}
	// done is closed once the last lines are written.
	done chan struct{}

	mutex   sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
}

// takes reports whether there is room for a line of the level, and counts it as left
// out if not.
func (q *queue) takes(l zapcore.Level) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	room := queueBytes
	if l < zapcore.WarnLevel {
		room = queueBytes / 2
	}
	if len(q.waiting) < room {
		return true
	}
	q.dropped++
	return false
}

func (q *queue) put(line []byte) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) == 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	q.waiting = append(q.waiting, line...)
}

func (q *queue) run(ctx context.Context) {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			q.write()
			return
		}
		t := time.NewTimer(flushInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		q.write()
	}
}

func (q *queue) write() {
	q.mutex.Lock()
	lines, dropped := q.waiting, q.dropped
	q.waiting, q.dropped, q.spare = q.spare[:0], 0, nil
	q.mutex.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	_, _ = q.out.Write(lines)
	q.mutex.Lock()
	if cap(lines) <= queueBytes {
		q.spare = lines
	}
	q.mutex.Unlock()
}

// Package intake reads request bodies within one bound on the memory that all of them take.
//
// # Memory
//
// A body with an announced length takes it from the bound before it is read. One without takes what its buffer
// grows by; while that is copied, the old and the new buffer both count. The memory is held until the request has
// ended.
//
// # Priority
//
// Bodies of up to 64 KiB may take the whole bound, longer ones three quarters of it, so that short requests are
// served while long bodies fill their part. A body that finds no memory waits for its turn, in the order of
// arrival, unless those that wait already need as much as the bound. One that grows doesn't wait unless memory is
// being freed: it holds what others wait for.
//
// # Slow clients
//
// No client is too slow while there is memory. While others wait, the bodies whose clients have made no progress
// for the longest time are given up.
package intake

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// ShortBytes is the length up to which a body may take the whole bound.
	ShortBytes = 64 << 10
	// longRatio is the part of the bound for longer bodies.
	longRatio = 0.75
	// minBufferBytes is the first size of the buffer of a body without an announced length.
	minBufferBytes = 4 << 10
	// progressBytes is what a client must send within stallTimeout to make progress. A client that is silent or
	// gone, or stops the bytes of its body from arriving in any other way, is treated alike.
	progressBytes = 16 << 10
	stallTimeout  = 250 * time.Millisecond
	// checkInterval is the time between two searches for bodies without progress while others wait.
	checkInterval = 25 * time.Millisecond
)

var (
	// ErrTooLong is returned if a body is longer than its limit.
	ErrTooLong = errors.New("the body is longer than its limit")
	// ErrNoMemory is returned if there is no memory for a body, or if it was given up for others.
	ErrNoMemory = errors.New("too many bodies are being received")
)

// Options are the bounds of an Intake.
type Options struct {
	// MaxBytes bounds the memory of all bodies. Zero means no bound. A single body may exceed it.
	MaxBytes int64
}

// Intake reads request bodies. It is safe for concurrent use.
type Intake struct {
	options Options

	mutex sync.Mutex
	used  usage
	// leaving is the part of used whose bodies were given up and not yet released.
	leaving usage
	// reading holds the bodies that aren't complete.
	reading map[*share]struct{}
	// waiting holds the bodies that wait for memory, the first to get it first.
	waiting []*waiter
}

// New returns an intake without bodies.
func New(o Options) *Intake {
	return &Intake{options: o, reading: make(map[*share]struct{})}
}

// Body is a request body that hasn't been read.
type Body struct {
	Reader io.Reader
	// Length is the announced length, or negative.
	Length int64
	// MaxBytes is the limit on the length.
	MaxBytes int64
	// WaitTimeout bounds the wait for memory.
	WaitTimeout time.Duration
	// Interrupt makes a call of Reader that waits for the client return an error. Any goroutine may call it.
	Interrupt func()
}

// Read reads a body. Release frees its memory; it is never nil and may be called more than once. The error is
// ErrTooLong, ErrNoMemory, that of the reader, or that of the context, which bounds the wait for memory.
func (in *Intake) Read(ctx context.Context, b Body) (data []byte, release func(), err error) {
	if b.Length > b.MaxBytes {
		return nil, func() {}, ErrTooLong
	}
	s := &share{intake: in, body: b, progressAt: time.Now()}
	in.start(s)
	data, err = s.read(ctx)
	if errEnd := in.finish(s); errEnd != nil {
		err = errEnd
	}
	if err != nil {
		s.release()
		return nil, s.release, err
	}
	return data, s.release, nil
}

func (in *Intake) start(s *share) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.reading[s] = struct{}{}
}

// finish ends the time in which a body may be given up. The error says that it was.
func (in *Intake) finish(s *share) error {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	delete(in.reading, s)
	if s.isGivenUp {
		return ErrNoMemory
	}
	return nil
}

// take takes n more bytes for a body, for which it may wait.
func (in *Intake) take(ctx context.Context, s *share, n int64) error {
	w := &waiter{share: s, bytes: n}
	if !in.enqueue(w) {
		return ErrNoMemory
	}
	if w.ready == nil {
		return nil
	}
	timeout := time.NewTimer(s.body.WaitTimeout)
	defer timeout.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-w.ready:
			return nil
		case <-check.C:
			in.check(w)
		case <-timeout.C:
			return in.leave(w, ErrNoMemory)
		case <-ctx.Done():
			return in.leave(w, ctx.Err())
		}
	}
}

// enqueue grants a waiter its memory or adds it to those that wait, and returns false if it may not wait.
func (in *Intake) enqueue(w *waiter) bool {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	isGrowing := w.share.size > 0
	switch {
	case w.share.isGivenUp:
		return false
	case in.fits(in.used, w) && (isGrowing || !in.isOvertaking(w)):
		in.grant(w)
		return true
	case in.isCrowded(w):
		return false
	}
	w.ready = make(chan struct{})
	w.share.isWaiting = true
	if !isGrowing {
		in.waiting = append(in.waiting, w)
		in.giveUpStalled(time.Now())
		return true
	}
	in.waiting = slices.Insert(in.waiting, 0, w)
	in.giveUpStalled(time.Now())
	if !in.fits(in.used.minus(in.leaving), w) {
		in.remove(w)
		return false
	}
	return true
}

// check looks for bodies without progress. The first of those that wait does so for all.
func (in *Intake) check(w *waiter) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if len(in.waiting) > 0 && in.waiting[0] == w {
		in.giveUpStalled(time.Now())
	}
}

// leave ends the wait for memory with an error, unless it has just been granted.
func (in *Intake) leave(w *waiter, err error) error {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	select {
	case <-w.ready:
		return nil
	default:
	}
	in.remove(w)
	in.grantWaiting()
	return err
}

// free frees n bytes of a body, or all that it has.
func (in *Intake) free(s *share, n int64) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	before := usageOf(s.size)
	s.size -= min(n, s.size)
	change := before.minus(usageOf(s.size))
	in.used = in.used.minus(change)
	if s.isGivenUp {
		in.leaving = in.leaving.minus(change)
	}
	in.grantWaiting()
}

// Used returns the memory of all bodies in bytes.
func (in *Intake) Used() int64 {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.used.total
}

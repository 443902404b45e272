// Package source reads weights from the weight store and from the origin.
//
// # Choice
//
// The store is close and rate-limited; the origin is the source of truth. A read goes to
// the store first. It goes to the origin if the store lacks the object, fails or keeps
// refusing requests. It also does if the same part is read again soon, since the data of
// the store may have been corrupt.
//
// # Rate
//
// The store and the origin have a pacer each, so that the processes of a fleet keep within
// the rate limit without coordination.
package source

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/pacer"
	"currantport.example/core/wire"
)

const (
	// maxRefusals is the number of consecutive refusals of the store after which reads go
	// to the origin.
	maxRefusals = 4
	// maxStoreDelay is the maximum delay by the pacer of the store. If it is longer, reads
	// go to the origin.
	maxStoreDelay = 5 * time.Second
	// failureBackoff is how long a store that failed gets no reads.
	failureBackoff = 5 * time.Second
	// rereadWindow is the time after a read from the store within which reads of the same
	// part go to the origin.
	rereadWindow  = time.Minute
	maxStoreReads = 4096
)

// Source reads weights from a store and an origin. It implements chunks.Source and is safe
// for concurrent use.
type Source struct {
	store  *backend
	origin *backend

	mutex sync.Mutex
	// storeReads maps parts to the time of their last read from the store. It is cleared
	// when it holds maxStoreReads.
	storeReads map[chunks.Range]time.Time
}

// New returns a source. If store is nil, it reads from the origin only.
func New(store, origin chunks.Source, scope tally.Scope) *Source {
	s := &Source{origin: newBackend(origin, scope.SubScope("origin")), storeReads: make(map[chunks.Range]time.Time)}
	if store != nil {
		s.store = newBackend(store, scope.SubScope("store"))
	}
	return s
}

// Report implements manage.Reporter.
func (s *Source) Report(status *wire.StatusReply) {
	status.Facts = append(status.Facts, &wire.Fact{Name: "origin", Value: s.origin.bytesText()})
	if s.store != nil {
		status.Facts = append(status.Facts, &wire.Fact{Name: "store", Value: s.store.bytesText()})
	}
}

// Bytes returns the number of bytes read from the store and from the origin.
func (s *Source) Bytes() (store, origin int64) {
	if s.store != nil {
		store = s.store.bytes.Load()
	}
	return store, s.origin.bytes.Load()
}

// Manifest implements chunks.Source.
func (s *Source) Manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	part := chunks.Range{Manifest: digest}
	if s.shouldUseStore(part) {
		data, err := s.store.manifest(ctx, digest)
		if err == nil {
			s.recordStoreRead(part)
			return data, nil
		}
		if !shouldUseOrigin(ctx, err, s.store) {
			return nil, err
		}
	}
	return s.origin.manifest(ctx, digest)
}

// Open implements chunks.Source.
func (s *Source) Open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	if s.shouldUseStore(part) {
		r, err := s.store.open(ctx, part)
		if err == nil {
			s.recordStoreRead(part)
			return r, nil
		}
		if !shouldUseOrigin(ctx, err, s.store) {
			return nil, err
		}
	}
	return s.origin.open(ctx, part)
}

// shouldUseOrigin reports whether a read goes to the origin after the store failed with
// err.
func shouldUseOrigin(ctx context.Context, err error, store *backend) bool {
	if ctx.Err() != nil {
		return false
	}
	var refused *edges.RefusedError
	if errors.As(err, &refused) {
		return store.refusals() >= maxRefusals
	}
	return true
}

// shouldUseStore reports whether a read goes to the store first.
func (s *Source) shouldUseStore(part chunks.Range) bool {
	if s.store == nil || !s.store.isAvailable(time.Now()) {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	readAt, ok := s.storeReads[part]
	return !ok || time.Since(readAt) > rereadWindow
}

func (s *Source) recordStoreRead(part chunks.Range) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.storeReads) >= maxStoreReads {
		clear(s.storeReads)
	}
	s.storeReads[part] = time.Now()
}

// backend is the store or the origin with its pacer.
type backend struct {
	source    chunks.Source
	bytes     atomic.Int64
	readBytes tally.Counter
	refused   tally.Counter

	mutex sync.Mutex
	pacer *pacer.Pacer
	// availableAt is the time from which a failed backend may get reads again.
	availableAt time.Time
}

func newBackend(source chunks.Source, scope tally.Scope) *backend {
	return &backend{source: source, pacer: pacer.New(), readBytes: scope.Counter("bytes"), refused: scope.Counter("refused")}
}

func (b *backend) bytesText() string { return strconv.FormatInt(b.bytes.Load(), 10) }

func (b *backend) refusals() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.pacer.Refusals()
}

func (b *backend) isAvailable(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !now.Before(b.availableAt) && b.pacer.Delay(now) <= maxStoreDelay
}

func (b *backend) manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	startedAt, err := b.waitForSlot(ctx)
	if err != nil {
		return nil, err
	}
	data, err := b.source.Manifest(ctx, digest)
	b.recordResult(ctx, startedAt, err)
	b.recordBytes(len(data))
	return data, err
}

func (b *backend) open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	startedAt, err := b.waitForSlot(ctx)
	if err != nil {
		return nil, err
	}
	r, err := b.source.Open(ctx, part)
	b.recordResult(ctx, startedAt, err)
	if err != nil {
		return nil, err
	}
	return &countingReader{ReadCloser: r, backend: b}, nil
}

// waitForSlot waits until the pacer allows a call. It returns the time at which the call
// starts.
func (b *backend) waitForSlot(ctx context.Context) (time.Time, error) {
	b.mutex.Lock()
	wait := b.pacer.Reserve(time.Now())
	b.mutex.Unlock()
	if wait <= 0 {
		return time.Now(), nil
	}
	select {
	case <-time.After(wait):
		return time.Now(), nil
	case <-ctx.Done():
		return time.Time{}, oops.In("source").Wrap(ctx.Err())
	}
}

// recordResult updates the pacer and the availability after a call.
func (b *backend) recordResult(ctx context.Context, startedAt time.Time, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var refused *edges.RefusedError
	switch {
	case errors.As(err, &refused):
		b.refused.Inc(1)
		b.pacer.RecordRefusal(startedAt, time.Now(), refused.RetryAfter, rand.Float64())
	case err == nil || errors.Is(err, edges.ErrNotFound):
		b.pacer.RecordSuccess()
	case ctx.Err() == nil:
		b.availableAt = time.Now().Add(failureBackoff)
	}
}

func (b *backend) recordBytes(n int) {
	b.bytes.Add(int64(n))
	b.readBytes.Inc(int64(n))
}

// countingReader counts the bytes that are read from a backend.
type countingReader struct {
	io.ReadCloser
	backend *backend
}

// Read implements io.Reader.
func (c *countingReader) Read(data []byte) (int, error) {
	n, err := c.ReadCloser.Read(data)
	c.backend.recordBytes(n)
	return n, err
}

// Package source reads weights from the weight store and from the origin.
//
// # Choice
//
// The store is near and rate-limited, the origin is the source of truth. A read
// goes to the store first. It goes to the origin if the store lacks the object,
// fails, or has kept refusing; and if the same part is read again soon, since
// what the store gave may have been corrupt.
//
// # Budget
//
// Each of the two has a pacer, so that the processes of a fleet keep within its
// limit without a word to each other.
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
	// patience is how many refusals in a row a store may give before reads go to
	// the origin.
	patience = 4
	// mostWait bounds the wait for a slot at the store before a read goes to the
	// origin.
	mostWait = 5 * time.Second
	// brokenWait is how long a store that failed is passed over.
	brokenWait = 5 * time.Second
	// againWait is for how long a part that the store gave is read from the
	// origin instead.
	againWait = time.Minute
	maxGiven  = 4096
)

// Source reads weights from a store and an origin. It implements chunks.Source.
// Goroutines share it.
type Source struct {
	store  *supply
	origin *supply

	mutex sync.Mutex
	// given holds when the store gave a part, at most maxGiven of them.
	given map[chunks.Range]time.Time
}

// New returns a source. A nil store means that there is only the origin.
func New(store, origin chunks.Source, scope tally.Scope) *Source {
	s := &Source{origin: newSupply(origin, scope.SubScope("origin")), given: make(map[chunks.Range]time.Time)}
	if store != nil {
		s.store = newSupply(store, scope.SubScope("store"))
	}
	return s
}

// Report implements manage.Reporter.
func (s *Source) Report(status *wire.StatusReply) {
	status.Facts = append(status.Facts, &wire.Fact{Name: "origin", Value: s.origin.text()})
	if s.store != nil {
		status.Facts = append(status.Facts, &wire.Fact{Name: "store", Value: s.store.text()})
	}
}

// Bytes returns how many bytes came from the store and from the origin.
func (s *Source) Bytes() (store, origin int64) {
	if s.store != nil {
		store = s.store.bytes.Load()
	}
	return store, s.origin.bytes.Load()
}

// Manifest implements chunks.Source.
func (s *Source) Manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	part := chunks.Range{Manifest: digest}
	if s.mayAskStore(part) {
		data, err := s.store.manifest(ctx, digest)
		if err == nil {
			s.note(part)
			return data, nil
		}
		if !mayAskOrigin(ctx, err, s.store) {
			return nil, err
		}
	}
	return s.origin.manifest(ctx, digest)
}

// Open implements chunks.Source.
func (s *Source) Open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	if s.mayAskStore(part) {
		r, err := s.store.open(ctx, part)
		if err == nil {
			s.note(part)
			return r, nil
		}
		if !mayAskOrigin(ctx, err, s.store) {
			return nil, err
		}
	}
	return s.origin.open(ctx, part)
}

// mayAskOrigin reports whether a read that the store failed goes to the origin.
func mayAskOrigin(ctx context.Context, err error, store *supply) bool {
	if ctx.Err() != nil {
		return false
	}
	var refused *edges.RefusedError
	if errors.As(err, &refused) {
		return store.refusals() >= patience
	}
	return true
}

func (s *Source) mayAskStore(part chunks.Range) bool {
	if s.store == nil || !s.store.isUsable(time.Now()) {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, ok := s.given[part]
	return !ok || time.Since(at) > againWait
}

func (s *Source) note(part chunks.Range) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.given) >= maxGiven {
		clear(s.given)
	}
	s.given[part] = time.Now()
}

// supply is one of the two with its pacer.
type supply struct {
	source  chunks.Source
	bytes   atomic.Int64
	read    tally.Counter
	refused tally.Counter

	mutex sync.Mutex
	pacer *pacer.Pacer
	// broken is when the supply may be tried again after a failure.
	broken time.Time
}

func newSupply(source chunks.Source, scope tally.Scope) *supply {
	return &supply{source: source, pacer: pacer.New(), read: scope.Counter("bytes"), refused: scope.Counter("refused")}
}

func (s *supply) text() string { return strconv.FormatInt(s.bytes.Load(), 10) }

func (s *supply) refusals() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pacer.Refusals()
}

func (s *supply) isUsable(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !now.Before(s.broken) && s.pacer.Delay(now) <= mostWait
}

func (s *supply) manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	began, err := s.enter(ctx)
	if err != nil {
		return nil, err
	}
	data, err := s.source.Manifest(ctx, digest)
	s.leave(ctx, began, err)
	s.count(len(data))
	return data, err
}

func (s *supply) open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	began, err := s.enter(ctx)
	if err != nil {
		return nil, err
	}
	r, err := s.source.Open(ctx, part)
	s.leave(ctx, began, err)
	if err != nil {
		return nil, err
	}
	return &counted{ReadCloser: r, supply: s}, nil
}

// enter waits for a slot and returns when the call begins.
func (s *supply) enter(ctx context.Context) (time.Time, error) {
	s.mutex.Lock()
	wait := s.pacer.Reserve(time.Now())
	s.mutex.Unlock()
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

func (s *supply) leave(ctx context.Context, began time.Time, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var refused *edges.RefusedError
	switch {
	case errors.As(err, &refused):
		s.refused.Inc(1)
		s.pacer.RecordRefusal(began, time.Now(), refused.RetryAfter, rand.Float64())
	case err == nil || errors.Is(err, edges.ErrNotFound):
		s.pacer.RecordSuccess()
	case ctx.Err() == nil:
		s.broken = time.Now().Add(brokenWait)
	}
}

func (s *supply) count(n int) {
	s.bytes.Add(int64(n))
	s.read.Inc(int64(n))
}

// counted counts the bytes of a read.
type counted struct {
	io.ReadCloser
	supply *supply
}

// Read implements io.Reader.
func (c *counted) Read(data []byte) (int, error) {
	n, err := c.ReadCloser.Read(data)
	c.supply.count(n)
	return n, err
}

// Package rings provides bounded queues between the goroutines of a process.
//
// A Ring has a fixed capacity. TrySend never blocks: it fails when the ring is full, so
// that a slow consumer becomes visible to its producer. Send waits for free capacity
// instead. Receive waits for a value or the end of the context.
package rings

import "context"

// Ring is a bounded first-in first-out queue that is safe for concurrent use.
type Ring[T any] struct {
	// slots is buffered with the capacity of the ring.
	slots chan T
}

// New returns an empty ring with the given capacity, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(capacity, 1))}
}

// TrySend appends a value, or reports false if the ring is full.
func (r *Ring[T]) TrySend(value T) bool {
	select {
	case r.slots <- value:
		return true
	default:
		return false
	}
}

// Send appends a value, waiting until there is free capacity. It reports false if the
// context ended first.
func (r *Ring[T]) Send(ctx context.Context, value T) bool {
	select {
	case r.slots <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// Values returns the channel that Receive reads, for use in a select statement.
func (r *Ring[T]) Values() <-chan T { return r.slots }

// Receive removes the oldest value, waiting until there is one. It reports false if the
// context ended first.
func (r *Ring[T]) Receive(ctx context.Context) (T, bool) {
	select {
	case v := <-r.slots:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.slots) }

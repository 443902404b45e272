// Package rings joins the goroutines of a process by bounded queues.
//
// A Ring has a fixed capacity. Put never waits: a full ring refuses, so that a
// slow duty shows at the duty before it. Send waits for room instead. Take waits
// until there is a value or the context ends.
package rings

import "context"

// Ring is a bounded first-in first-out queue that goroutines share.
type Ring[T any] struct {
	// slots is buffered with the capacity of the ring.
	slots chan T
}

// New returns an empty ring with the given capacity, at least one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(capacity, 1))}
}

// TrySend appends a value and reports whether there was room for it.
func (r *Ring[T]) TrySend(value T) bool {
	select {
	case r.slots <- value:
		return true
	default:
		return false
	}
}

// Send appends a value and waits until there is room for it. It reports false
// once the context has ended.
func (r *Ring[T]) Send(ctx context.Context, value T) bool {
	select {
	case r.slots <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// Values returns the channel from which Take reads, for owners that wait for
// something else too.
func (r *Ring[T]) Values() <-chan T { return r.slots }

// Receive removes the oldest value. It reports false once the context has ended.
func (r *Ring[T]) Receive(ctx context.Context) (T, bool) {
	select {
	case v := <-r.slots:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// Len returns the number of values that wait.
func (r *Ring[T]) Len() int { return len(r.slots) }

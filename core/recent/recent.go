// Package recent provides a map of bounded size that forgets what was put longest ago.
package recent

// Map keeps a key until it is deleted or at least as many others as its size were put after it. It
// holds at most twice as many keys as its size. It isn't safe for concurrent use.
type Map[K comparable, V any] struct {
	size int
	// current and former are generations. Current holds at most size keys, and none of former's.
	current map[K]V
	former  map[K]V
}

// New returns an empty map with the given size, at least one.
func New[K comparable, V any](size int) *Map[K, V] {
	return &Map[K, V]{size: max(size, 1), current: make(map[K]V)}
}

// Put adds or replaces a value.
func (m *Map[K, V]) Put(k K, v V) {
	if _, ok := m.current[k]; !ok && len(m.current) >= m.size {
		m.current, m.former = make(map[K]V), m.current
	}
	delete(m.former, k)
	m.current[k] = v
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(k K) (V, bool) {
	if v, ok := m.current[k]; ok {
		return v, true
	}
	v, ok := m.former[k]
	return v, ok
}

// Delete removes a key.
func (m *Map[K, V]) Delete(k K) {
	delete(m.current, k)
	delete(m.former, k)
}

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.current) + len(m.former) }

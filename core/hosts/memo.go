package hosts

import "sync"

// Memo caches a list of hosts that is built from an immutable list and another immutable value.
// Callers that ask many times a second get the same list until one of the two is replaced. The
// zero value is empty. It is safe for concurrent use.
type Memo[K comparable] struct {
	mutex sync.Mutex
	// list was built from the list of source and from key.
	source ListID
	key    K
	built  bool
	list   []Host
}

// Get returns the list that build returns for the source and the key. The caller must not change
// it.
func (m *Memo[K]) Get(source []Host, key K, build func() []Host) []Host {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if id := ListIDOf(source); !m.built || id != m.source || key != m.key {
		m.source, m.key, m.built, m.list = id, key, true, build()
	}
	return m.list
}

package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or the mark of a deleted one.
type storeItem struct {
	Key      string
	Value    string `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in for the platform's store as PROTOCOL.md describes it. It keeps its whole history.
type store struct {
	mutex   sync.Mutex
	items   map[string]storeItem
	history []storeItem
	rev     uint64
	changed chan struct{}
	// readAt is when each machine last called.
	readAt map[string]time.Time
}

func newStore() *store {
	return &store{items: make(map[string]storeItem), rev: 1, changed: make(chan struct{}), readAt: make(map[string]time.Time)}
}

// put writes a document and returns the time of the ack.
func (s *store) put(key string, document any) time.Time {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	i := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.append(i)
	return time.Now()
}

// differs reports whether the value of a key isn't the document.
func (s *store) differs(key string, document any) bool {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value != base64.StdEncoding.EncodeToString(data)
}

// remove deletes an item and returns the time of the ack.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.rev, Deleted: true})
	return time.Now()
}

func (s *store) append(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/kv-range":
		s.list(w, r)
	case "/api/kv-watch":
		s.watch(w, r)
	case "/api/kv-key":
		s.key(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	rev := s.rev
	s.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		storeItem
		CurrentRev uint64
	}{i, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mutex.Lock()
	page := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			page = append(page, i)
		}
	}
	rev := s.rev
	s.mutex.Unlock()
	slices.SortFunc(page, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(page) > pageItems
	writeJSON(w, map[string]any{"Entries": page[:min(len(page), pageItems)], "HasMore": hasMore, "CurrentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, errWait := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || errWait != nil || ms > 30000 {
		http.Error(w, "After or WaitMs", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

// storeAddress is the store at the address that one machine was given, so that it sees which one calls.
type storeAddress struct {
	*store
	machine string
}

// ServeHTTP implements http.Handler.
func (a storeAddress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mutex.Lock()
	a.readAt[a.machine] = time.Now()
	a.mutex.Unlock()
	a.store.ServeHTTP(w, r)
}

// hasRead reports whether a machine has called within the last time.
func (s *store) hasRead(machine string, within time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Since(s.readAt[machine]) < within
}

package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is the last change of a key.
type item struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
}

// store is a sound stand-in of the platform's store: reads are linearizable and watches are held open
// until there is a change.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// era is stated in each answer if it is above zero. away is set while the store answers nothing but 503.
	era  uint64
	away bool
	// copied and copiedAt are the copy that restore returns to.
	copied   map[string]item
	copiedAt uint64
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
}

// put writes a document and returns the time of the acknowledgement.
func (s *store) put(key string, document any) time.Time {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return s.apply(item{key: key, value: value})
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time { return s.apply(item{key: key, deleted: true}) }

func (s *store) apply(i item) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.revision = s.revision
	if i.deleted {
		delete(s.items, i.key)
	} else {
		s.items[i.key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// backUp copies all items.
func (s *store) backUp() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.copied, s.copiedAt = maps.Clone(s.items), s.revision
}

// leave makes the store answer 503, also to the watches that wait.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from the copy. What was written since is gone, and its revisions are given out
// again.
func (s *store) restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.items, s.revision, s.history, s.away = maps.Clone(s.copied), s.copiedAt, nil, false
	s.era++
}

// begin states the era, and reports whether the store is there.
func (s *store) begin(w http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !s.away
}

// wireItem is an item as the store sends it.
type wireItem struct {
	Key      string
	Value    string `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

func (i item) wire() wireItem {
	return wireItem{Key: i.key, Value: base64.StdEncoding.EncodeToString(i.value), Revision: i.revision, Created: i.revision, Deleted: i.deleted}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w) {
		return
	}
	switch r.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	var page struct {
		Entries    []wireItem
		HasMore    bool
		CurrentRev uint64
	}
	page.Entries = []wireItem{}
	s.mutex.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page.CurrentRev, page.HasMore = s.revision, len(keys) > pageItems
	for _, k := range keys[:min(len(keys), pageItems)] {
		page.Entries = append(page.Entries, s.items[k].wire())
	}
	s.mutex.Unlock()
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		var d struct {
			Events     []wireItem `json:"events"`
			CurrentRev uint64
		}
		d.Events = []wireItem{}
		s.mutex.Lock()
		if s.away {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision || after < s.copiedAt && s.era > 1 {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		d.CurrentRev = s.revision
		for _, i := range s.history {
			if i.revision > after && strings.HasPrefix(i.key, q.Get("Prefix")) {
				d.Events = append(d.Events, i.wire())
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(d.Events) > 0 {
			writeJSON(w, d)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, d)
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

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

// item is a key of the store, or the deletion of one.
type item struct {
	Key      string
	Value    string `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store plays the platform's store: reads of keys and ranges, and watches.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
}

// put writes a document. The time of its return is that of the ack.
func (s *store) put(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.items[key].Created}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.notify(i)
}

func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mutex.Lock()
		i, ok := s.items[q.Get("Key")]
		revision := s.revision
		s.mutex.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, struct {
			item
			CurrentRev uint64
		}{i, revision})
	case "/api/kv-range":
		writeJSON(w, s.list(q.Get("Prefix"), q.Get("After")))
	case "/api/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type page struct {
	Entries    []item
	HasMore    bool
	CurrentRev uint64
}

func (s *store) list(prefix, after string) page {
	const most = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := page{Entries: []item{}, CurrentRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Entries = append(p.Entries, i)
		}
	}
	slices.SortFunc(p.Entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Entries) > most {
		p.Entries, p.HasMore = p.Entries[:most], true
	}
	return p
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || errWait != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		news, revision, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				news = append(news, e)
			}
		}
		s.mutex.Unlock()
		if len(news) == 0 {
			select {
			case <-changed:
				continue
			case <-end.C:
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, map[string]any{"events": news, "CurrentRev": revision})
		return
	}
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

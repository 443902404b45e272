package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plain is a sound runner of a plain service: it runs a request at most once and answers with its signature.
type plain struct {
	id     string
	record *record
	slots  chan struct{}
	mutex  sync.Mutex
	work   time.Duration
	ran    map[string]int
	bytes  int64
}

func newPlain(id string, slots int, work time.Duration, r *record) *plain {
	return &plain{id: id, record: r, slots: make(chan struct{}, slots), work: work, ran: make(map[string]int)}
}

func (p *plain) setWork(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.work = d
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Currantport-Attempt-Id")
	w.Header().Set("X-Currantport-Attempt-Id", id)
	if want := r.Header.Get("X-Currantport-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Currantport-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-r.Context().Done():
		return
	}
	p.mutex.Lock()
	p.ran[id]++
	p.bytes += n
	work := p.work
	p.mutex.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := fmt.Sprintf("%s ran %s, %d bytes\n", p.id, id, n)
	w.Header().Set("X-Currantport-Response-Signature", "3e1b.07."+id)
	_, _ = w.Write([]byte(body))
}

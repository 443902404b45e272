package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a runner has run.
type run struct {
	at             time.Time
	runner, tenant string
	key, path      string
}

// plainRunner is a runner of a plain service. It runs each request for a while.
type plainRunner struct {
	id, address string
	work        time.Duration
	record      *record

	mutex sync.Mutex
	runs  map[string][]run
}

// addPlain starts a runner and registers it.
func (w *world) addPlain(id, service, ip string, work time.Duration) (*plainRunner, error) {
	p := &plainRunner{id: id, work: work, record: w.record, runs: make(map[string][]run)}
	var err error
	if p.address, err = w.serve(ip, p); err != nil {
		return nil, err
	}
	w.store.put("servers/"+id, map[string]any{
		"Service": service, "Address": p.address, "Zone": domain, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
		"born": time.Now().UnixMilli(),
	})
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *plainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Currantport-Attempt-Id")
	h := w.Header()
	h.Set("X-Currantport-Attempt-Id", id)
	h.Set("X-Currantport-Instance-Id", p.id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Currantport-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Currantport-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := run{at: time.Now(), runner: p.id, tenant: r.Header.Get("X-Currantport-Tenant"), key: r.Header.Get("Api-Key"), path: r.URL.Path}
	p.mutex.Lock()
	p.runs[id] = append(p.runs[id], n)
	p.mutex.Unlock()
	p.record.line("run     %s at %s, path %s, tenant %q", id, p.id, n.path, n.tenant)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Currantport-Response-Signature", fmt.Sprintf("%x", sha256.Sum256(append([]byte(p.id+id), body...)))[:24])
	_, _ = fmt.Fprintf(w, "done %s\n", id)
}

// runsOf returns the runs of a request.
func (p *plainRunner) runsOf(id string) []run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]run(nil), p.runs[id]...)
}

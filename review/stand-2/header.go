package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// headerBefore and headerAfter are MaxHeaderBytes before and after the change, headerSent what a client sends.
	headerBefore = 4096
	headerAfter  = 16384
	headerSent   = 16000
	// headerApply is ConfigApplyMs.
	headerApply   = 2 * time.Second
	headerClients = 24
)

// headerCase raises the limit on heads while clients keep their connections open.
func headerCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	publish := func(version, bytes int) time.Time {
		l := siteLimits
		l.MaxHeaderBytes = bytes
		f.record.line("configuration %d with MaxHeaderBytes %d", version, bytes)
		return s.put("op/config", config{Version: version, Limits: l,
			Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "non_idempotent", TimeoutMs: 800, SloMs: 150, MaxAttempts: 1, Service: "entrybook", Anonymous: true}},
			Services: []service{{Name: "entrybook", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}}})
	}
	first := headerAfter
	if trouble {
		first = headerBefore
	}
	publish(1, first)
	at := []place{{"may-pen-a", "may-pen"}, {"mandeville-a", "mandeville"}}
	for i := range 3 {
		p := newPlain(fmt.Sprintf("i-%d", i), 6, 5*time.Millisecond, f.record)
		addr, err := f.serve("127.0.0.1", p)
		if err != nil {
			return outcome{}, err
		}
		s.put("servers/"+p.id, registration{Service: "entrybook", Address: addr, Zone: at[i%2].zone, Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	}
	b := bounds{graceS: 8, revokeMs: 5000, applyMs: 2000, versionMs: 8000, retryRatio: .2, retrySlack: 102, retryWindowS: 10, memoryMB: 284}
	entries, err := f.addEntries(storeAt, b, at)
	if err != nil {
		return outcome{}, err
	}
	for _, e := range entries {
		if err := e.start(); err != nil {
			return outcome{}, err
		}
	}
	if err := awaitReady(entries, 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second)
	w := &headerWorld{fleet: f}
	var ready, group sync.WaitGroup
	changed := make(chan struct{})
	for c := range headerClients {
		ready.Add(1)
		group.Go(func() { w.client(entries[c%len(entries)], c, &ready, changed) })
	}
	ready.Wait()
	if trouble {
		publish(2, headerAfter)
	}
	time.Sleep(headerApply + 1500*time.Millisecond)
	close(changed)
	group.Wait()
	allowed := 5 + w.all/500
	return outcome{broken: w.denied > allowed, text: fmt.Sprintf("%d of %d requests were denied with a 4xx more than %v after the ack, %d are allowed; on new connections %d of %d",
		w.denied, w.all, headerApply, allowed, w.deniedNew, headerClients)}, nil
}

type headerWorld struct {
	fleet                  *fleet
	mutex                  sync.Mutex
	all, denied, deniedNew int
}

// client sends a short head, and after the change a longer one on the same connection and on a new one.
func (w *headerWorld) client(e *entry, n int, ready *sync.WaitGroup, changed chan struct{}) {
	c, status, err := w.send(nil, e, fmt.Sprintf("h%d-0", n), 0)
	w.fleet.record.line("h%d at %s, short head: %d %v", n, e.name, status, err)
	ready.Done()
	<-changed
	if err != nil {
		return
	}
	defer func() { _ = c.conn.Close() }()
	_, status, err = w.send(c, e, fmt.Sprintf("h%d-1", n), headerSent)
	w.fleet.record.line("h%d at %s, head of %d bytes on the kept connection: %d %v", n, e.name, headerSent, status, err)
	fresh, statusNew, err := w.send(nil, e, fmt.Sprintf("h%d-2", n), headerSent)
	w.fleet.record.line("h%d at %s, head of %d bytes on a new connection: %d %v", n, e.name, headerSent, statusNew, err)
	if fresh != nil {
		_ = fresh.conn.Close()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.all += 3
	if isDenied(status) {
		w.denied++
	}
	if isDenied(statusNew) {
		w.denied++
		w.deniedNew++
	}
}

// isDenied reports whether a status is a 3xx or 4xx that denies a request. The runners give none.
func isDenied(status int) bool {
	return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
}

// headerConn is a client's connection.
type headerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request with a head of about the given length.
func (w *headerWorld) send(c *headerConn, e *entry, id string, length int) (*headerConn, int, error) {
	if c == nil {
		conn, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			return nil, 0, err
		}
		c = &headerConn{conn: conn, reader: bufio.NewReader(conn)}
	}
	head := fmt.Sprintf("POST /a/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nX-Currantport-Attempt-Id: %s\r\nX-Currantport-Deadline-Ms: 1500\r\n", id)
	if length > 0 {
		parts := strings.Repeat("5c1e07a2:800,", (length-len(head)-40)/13)
		head += "X-Currantport-Prefix-Hash: " + strings.TrimSuffix(parts, ",") + "\r\n"
	}
	if _, err := io.WriteString(c.conn, head+"\r\nbody"); err != nil {
		return c, 0, err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return c, 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return c, r.StatusCode, err
}

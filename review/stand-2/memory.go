package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memLimitMB and memLinkBytes are MemoryMb and LinkMbps of an edge machine, the latter in bytes a second.
	memLimitMB   = 284
	memLinkBytes = 125e6
	// memBodyBytes is MaxBodyBytes of the configuration.
	memBodyBytes = 4194304
	// memClients is the number of clients of each entry, memBurst what a burst multiplies them by.
	memClients = 28
	memBurst   = 1.7
	// memBursts is the number of bursts, memRest the pause after each.
	memBursts = 5
	memRest   = 5 * time.Second
	// memRestart is the pause until the platform starts a process again that has ended.
	memRestart = 500 * time.Millisecond
	// memAllowed is the number of ends of a process by itself that don't break the rule, and memMachines the
	// number of machines that must have more.
	memAllowed  = 2
	memMachines = 2
)

// link limits the bytes that all clients of an entry send to it together.
type link struct {
	mutex sync.Mutex
	next  time.Time
}

func (l *link) wait(n int) {
	l.mutex.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	at := l.next
	l.next = l.next.Add(time.Duration(float64(n) / memLinkBytes * float64(time.Second)))
	l.mutex.Unlock()
	time.Sleep(time.Until(at))
}

// body is a request body that is sent at the rate of a link.
type body struct {
	*bytes.Reader
	link *link
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), 32<<10)])
	b.link.wait(n)
	return n, err
}

// WriteTo hides that of the reader, which would send all at once.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	p := make([]byte, 32<<10)
	for {
		n, err := b.Read(p)
		if n > 0 {
			m, errWrite := w.Write(p[:n])
			sum += int64(m)
			if errWrite != nil {
				return sum, errWrite
			}
		}
		if errors.Is(err, io.EOF) {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// platform ends a process whose memory is above its limit, as the users' platform does, and starts it again.
type platform struct {
	fleet *fleet
	entry *entry
	ends  atomic.Int64
	most  atomic.Int64
	stop  chan struct{}
	done  chan struct{}
}

func (p *platform) run() {
	defer close(p.done)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := p.entry.residentMB()
		p.most.Store(max(p.most.Load(), int64(mb)))
		if mb <= memLimitMB {
			continue
		}
		p.fleet.record.line("%s uses %.0f MB of %d and is ended by the platform", p.entry.name, mb, memLimitMB)
		p.ends.Add(1)
		p.entry.signal(syscall.SIGKILL)
		p.entry.wait()
		time.Sleep(memRestart)
		if err := p.entry.start(); err != nil {
			p.fleet.record.line("%s doesn't start: %v", p.entry.name, err)
			return
		}
	}
}

// memoryCase has more clients than usual send bodies within the configured limit.
func memoryCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	s.put("op/config", config{Version: 1, Limits: siteLimits,
		Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "idempotent", TimeoutMs: 6000, SloMs: 500, MaxAttempts: 2, Service: "entrybook", Anonymous: true}},
		Services: []service{{Name: "entrybook", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}}})
	at := []place{{"may-pen-a", "may-pen"}, {"mandeville-a", "mandeville"}}
	for i := range 3 {
		p := newPlain(fmt.Sprintf("i-%d", i), 6, 30*time.Millisecond, f.record)
		addr, err := f.serve("127.0.0.1", p)
		if err != nil {
			return outcome{}, err
		}
		s.put("servers/"+p.id, registration{Service: "entrybook", Address: addr, Zone: at[i%2].zone, Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	}
	b := bounds{graceS: 8, revokeMs: 5000, applyMs: 2000, versionMs: 8000, retryRatio: .2, retrySlack: 102, retryWindowS: 10, memoryMB: memLimitMB}
	entries, err := f.addEntries(storeAt, b, at)
	if err != nil {
		return outcome{}, err
	}
	var platforms []*platform
	for _, e := range entries {
		if err := e.start(); err != nil {
			return outcome{}, err
		}
		p := &platform{fleet: f, entry: e, stop: make(chan struct{}), done: make(chan struct{})}
		platforms = append(platforms, p)
		go p.run()
	}
	defer func() {
		for _, p := range platforms {
			close(p.stop)
			<-p.done
		}
	}()
	if err := awaitReady(entries, 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	clients := memClients
	if v := os.Getenv("N"); v != "" {
		clients, _ = strconv.Atoi(v)
	}
	if trouble {
		clients = int(float64(clients) * memBurst)
	}
	for n := range memBursts {
		for _, e := range entries {
			if err := awaitReady([]*entry{e}, 10*time.Second); err != nil {
				return outcome{}, err
			}
		}
		f.record.line("%d clients at each entry send a body of %d bytes each", clients, memBodyBytes)
		var group sync.WaitGroup
		for i, e := range entries {
			l := &link{}
			for c := range clients {
				group.Go(func() { sendBody(f, e, l, fmt.Sprintf("m%d-%d-%d", n, i, c)) })
			}
		}
		group.Wait()
		time.Sleep(memRest)
	}
	over, text := 0, ""
	for _, p := range platforms {
		if p.ends.Load() > memAllowed {
			over++
		}
		text += fmt.Sprintf("%s was ended %d times, its most was %d MB; ", p.entry.name, p.ends.Load(), p.most.Load())
	}
	return outcome{broken: over >= memMachines, text: text + fmt.Sprintf("limit %d MB, %d clients at each entry", memLimitMB, clients)}, nil
}

// sendBody sends one request, and no other if it fails.
func sendBody(f *fleet, e *entry, l *link, id string) {
	data := bytes.Repeat([]byte{'x'}, memBodyBytes)
	r, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/a/x", &body{Reader: bytes.NewReader(data), link: l})
	if err != nil {
		return
	}
	r.ContentLength = memBodyBytes
	r.Host = "a.example"
	r.Header.Set("X-Currantport-Attempt-Id", id)
	r.Header.Set("X-Currantport-Deadline-Ms", "6000")
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t, Timeout: 7 * time.Second}
	q, err := c.Do(r)
	if err != nil {
		f.record.line("%s at %s: %v", id, e.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	_ = q.Body.Close()
	f.record.line("%s at %s: %d", id, e.name, q.StatusCode)
}

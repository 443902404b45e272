package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// slowPause is how long a slow client reads nothing, slowDeadline what it states as its deadline.
	slowPause    = 2500 * time.Millisecond
	slowDeadline = 6 * time.Second
	// slowStop is the time from the requests to the planned stop of their entry.
	slowStop = 300 * time.Millisecond
	// slowAllowed is the number of such requests that don't break the rule.
	slowAllowed = 3
	// slowClients is the number of clients of each kind.
	slowClients = 4
)

// slowKind is a kind of client with its answer.
type slowKind struct {
	name string
	path string
	// size is the length of the answer, window the receive buffer of the client or zero for the usual one.
	size, window int
	// before is how much of the answer the client reads before its pause.
	before int64
	// rate is how many bytes a second a client reads that makes no pause, or zero.
	rate int
}

var slowKinds = []slowKind{
	{name: "pauses within a long answer", path: "/a/long", size: 512 << 10, before: 16 << 10},
	{name: "pauses within a short answer, small window", path: "/a/short", size: 4800, window: 2048, before: 64},
	{name: "reads on steadily, small window", path: "/a/steady", size: 64 << 10, window: 16 << 10, rate: 14 << 10},
}

// slowWorld counts what the clients and the runners see.
type slowWorld struct {
	fleet *fleet
	front string
	mutex sync.Mutex
	ran   map[string]bool
	// cut and whole are the numbers of requests by kind of client.
	cut, whole map[string]int
}

// slowCase has clients read their answers slowly, each on a connection that has carried a request before.
func slowCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	s.put("op/config", config{Version: 1, Limits: siteLimits,
		Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "non_idempotent", TimeoutMs: 6000, SloMs: 300, MaxAttempts: 1, Service: "publish-svc", Anonymous: true}},
		Services: []service{{Name: "publish-svc", HealthPath: "/healthz", MaxConns: 460, Protocol: "h1"}}})
	w := &slowWorld{fleet: f, ran: make(map[string]bool), cut: make(map[string]int), whole: make(map[string]int)}
	at := []place{{"dakar-a", "dakar"}, {"dakar-a", "dakar"}, {"thies-a", "thies"}}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		addr, err := f.serve("127.0.0.1", w.runner(id))
		if err != nil {
			return outcome{}, err
		}
		s.put("servers/"+id, registration{Service: "publish-svc", Address: addr, Zone: at[i].zone, Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	}
	b := bounds{graceS: 8, revokeMs: 5000, applyMs: 3000, versionMs: 9700, retryRatio: .2, retrySlack: 208, retryWindowS: 10, memoryMB: 284}
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
	// From here on the machines are in touch: StableMs is 4,000.
	time.Sleep(6 * time.Second)
	var group sync.WaitGroup
	for k, kind := range slowKinds {
		for c := range slowClients {
			e := entries[0]
			group.Go(func() { w.client(e, kind, fmt.Sprintf("s%d-%d", k, c), trouble) })
		}
	}
	time.Sleep(slowStop)
	entries[0].signal(syscall.SIGTERM)
	group.Wait()
	lost, text := 0, ""
	for _, kind := range slowKinds {
		lost += w.cut[kind.name]
		text += fmt.Sprintf("%s: %d cut, %d whole; ", kind.name, w.cut[kind.name], w.whole[kind.name])
	}
	return outcome{broken: lost > slowAllowed, text: fmt.Sprintf("%sof %d requests that sound runners had answered %d got no complete answer", text, len(slowKinds)*slowClients, lost)}, nil
}

// runner is a sound runner that answers at once.
func (w *slowWorld) runner(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Currantport-Attempt-Id")
		rw.Header().Set("X-Currantport-Attempt-Id", attempt)
		if want := r.Header.Get("X-Currantport-Expect-Instance"); want != "" && want != id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		size := 800
		for _, k := range slowKinds {
			if r.URL.Path == k.path {
				size = k.size
			}
		}
		w.mutex.Lock()
		w.ran[attempt] = true
		w.mutex.Unlock()
		rw.Header().Set("X-Currantport-Response-Signature", "3e1b.07."+attempt)
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		n, err := rw.Write(make([]byte, size))
		w.fleet.record.line("runner %s ran %s and sent %d bytes of %d: %v", id, attempt, n, size, err)
	})
}

// client sends a request of each kind over one connection. It reads the second answer slowly if there is trouble.
func (w *slowWorld) client(e *entry, k slowKind, id string, trouble bool) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if k.window > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, k.window)
			}
		})
	}}
	c, err := d.DialContext(context.Background(), "tcp", e.front)
	if err != nil {
		w.fleet.record.line("%s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 16)
	if n, err := w.exchange(c, reader, id+"-first", "/a/first", nil); err != nil {
		w.fleet.record.line("%s: the first answer ended after %d bytes: %v", id, n, err)
		return
	}
	slow := func(body io.Reader) (int64, error) { return io.Copy(io.Discard, body) }
	if trouble {
		slow = k.read
	}
	start := time.Now()
	n, err := w.exchange(c, reader, id, k.path, slow)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	took := time.Since(start)
	w.fleet.record.line("%s at %s (%s): %d of %d bytes after %.3f s: %v", id, e.name, k.name, n, k.size, took.Seconds(), err)
	switch {
	case err == nil && n == int64(k.size):
		w.whole[k.name]++
	case w.ran[id] && took < slowDeadline:
		w.cut[k.name]++
	}
}

// read reads a body slowly.
func (k slowKind) read(body io.Reader) (int64, error) {
	if k.rate > 0 {
		var sum int64
		p := make([]byte, k.rate/20)
		for {
			n, err := body.Read(p)
			sum += int64(n)
			if err == io.EOF {
				return sum, nil
			}
			if err != nil {
				return sum, err
			}
			time.Sleep(time.Duration(n) * time.Second / time.Duration(k.rate))
		}
	}
	first, err := io.CopyN(io.Discard, body, k.before)
	if err != nil {
		return first, err
	}
	time.Sleep(slowPause)
	rest, err := io.Copy(io.Discard, body)
	return first + rest, err
}

func (w *slowWorld) exchange(c net.Conn, reader *bufio.Reader, id, path string, read func(io.Reader) (int64, error)) (int64, error) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nX-Currantport-Attempt-Id: %s\r\nX-Currantport-Deadline-Ms: %d\r\n\r\nbody", path, id, slowDeadline.Milliseconds())
	if err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	if r.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", r.StatusCode)
	}
	if read == nil {
		return io.Copy(io.Discard, r.Body)
	}
	return read(r.Body)
}

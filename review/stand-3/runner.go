package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is HeartbeatMs of the site file. An entry in the store is removed after three of silence.
const heartbeat = 1200 * time.Millisecond

// Headers of requests and answers.
const (
	headerID       = "X-Currantport-Attempt-Id"
	headerDeadline = "X-Currantport-Deadline-Ms"
	headerExpect   = "X-Currantport-Expect-Instance"
	headerMAC      = "X-Currantport-Response-Signature"
	headerNotRun   = "X-Currantport-Not-Executed"
	headerInstance = "X-Currantport-Instance-Id"
)

// runner plays a plain service's runner: slots, a short queue, one request at a time on a connection.
type runner struct {
	world   *world
	service string
	zone    string
	// name tells the runners of a zone apart.
	name    string
	slots   int
	queue   int
	work    time.Duration
	address string
	// maxConns is the number of connections that the runner accepts, or zero for any.
	maxConns int64
	listener *cappedListener

	mutex  sync.Mutex
	id     string
	born   int64
	boots  int
	seq    int
	server *http.Server
	conns  map[net.Conn]struct{}
	places chan struct{}
	queued int
	beats  context.CancelFunc
}

// start begins a boot, under a new id.
func (u *runner) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.maxConns > 0 {
		u.listener = &cappedListener{Listener: l, most: u.maxConns}
		l = u.listener
	}
	u.boots++
	u.id = fmt.Sprintf("i-%s-%s-%d", u.zone, u.name, u.boots)
	u.born, u.seq, u.queued = time.Now().UnixMilli(), 0, 0
	u.conns, u.places = make(map[net.Conn]struct{}), make(chan struct{}, u.slots)
	u.server = &http.Server{Handler: u.handler(u.id, u.places), ConnState: u.track, IdleTimeout: keepAlive}
	ctx, cancel := context.WithCancel(context.Background())
	u.beats = cancel
	go u.server.Serve(l)
	go u.beat(ctx, u.id)
	u.world.record.add("runner %s (%s, %s) starts, boot %d, born %d", u.id, u.service, u.zone, u.boots, u.born)
	return nil
}

func (u *runner) track(c net.Conn, s http.ConnState) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	switch s {
	case http.StateNew:
		u.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// beat writes the entry in the store, at the start and with each heartbeat.
func (u *runner) beat(ctx context.Context, id string) {
	for ctx.Err() == nil {
		u.mutex.Lock()
		u.seq++
		document := map[string]any{
			"Service": u.service, "Address": u.address, "Zone": u.zone, "Version": "v1", "Slots": u.slots, "State": "ready",
			"ColdLeftMs": 0, "Seq": u.seq, "born": u.born,
		}
		u.mutex.Unlock()
		u.world.store.put("servers/"+id, document)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// crash ends the process of the runner: its port refuses, its connections are reset, its entry lapses after
// three heartbeats of silence. The runner is back after a time.
func (u *runner) crash(back time.Duration) {
	u.mutex.Lock()
	id, server, beats := u.id, u.server, u.beats
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	u.mutex.Unlock()
	beats()
	_ = server.Close()
	u.world.record.add("runner %s crashes", id)
	time.AfterFunc(3*heartbeat, func() {
		u.world.store.remove("servers/" + id)
		u.world.record.add("the entry of runner %s lapses", id)
	})
	time.AfterFunc(back, func() {
		if err := u.start(); err != nil {
			u.world.record.add("runner %s can't start: %v", id, err)
		}
	})
}

// stop ends the runner for good.
func (u *runner) stop() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.server != nil {
		u.beats()
		_ = u.server.Close()
	}
}

func (u *runner) handler(id string, places chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerInstance, id)
		w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(keepAlive.Seconds())))
		if r.URL.Path == "/healthz" {
			return
		}
		attempt := r.Header.Get(headerID)
		w.Header().Set(headerID, attempt)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.world.arrived(arrival{at: time.Now(), attempt: attempt, service: u.service, runner: id})
		if expect := r.Header.Get(headerExpect); expect != "" && expect != id {
			u.decline(w, attempt, id, http.StatusMisdirectedRequest)
			return
		}
		ms, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
		if err != nil {
			ms = 30000
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
		if !u.admit(ctx, places) {
			u.decline(w, attempt, id, http.StatusServiceUnavailable)
			return
		}
		defer func() { <-places }()
		u.run(w, attempt, id)
	})
}

// admit waits for a slot, in a queue of bounded length.
func (u *runner) admit(ctx context.Context, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	default:
	}
	u.mutex.Lock()
	if u.queued >= u.queue {
		u.mutex.Unlock()
		return false
	}
	u.queued++
	u.mutex.Unlock()
	defer func() {
		u.mutex.Lock()
		u.queued--
		u.mutex.Unlock()
	}()
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *runner) decline(w http.ResponseWriter, attempt, id string, status int) {
	u.world.record.add("runner %s rejects %s with %d, not run", id, attempt, status)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

var runs atomic.Int64

func (u *runner) run(w http.ResponseWriter, attempt, id string) {
	u.world.record.add("runner %s runs %s", id, attempt)
	time.Sleep(u.work)
	answer := fmt.Sprintf("answer to %s\n", attempt)
	w.Header().Set(headerMAC, fmt.Sprintf("%x.%s", runs.Add(1), id))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

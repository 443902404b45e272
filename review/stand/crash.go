package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// crashRunner is a runner of a plain service that can crash: its connections are reset, its port is
// closed, and its entry in the store lapses after three ping intervals. It comes back under another id.
type crashRunner struct {
	world         *world
	name, service string
	ip            string
	work          time.Duration

	mutex    sync.Mutex
	starts   int
	runner   *plainRunner
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]http.ConnState
}

const pingInterval = 1200 * time.Millisecond

func (w *world) addCrashRunner(name, service, ip string, work time.Duration) (*crashRunner, error) {
	c := &crashRunner{world: w, name: name, service: service, ip: ip, work: work}
	return c, c.start()
}

// start starts the runner under a new id and registers it.
func (c *crashRunner) start() error {
	l, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		return err
	}
	c.mutex.Lock()
	c.starts++
	id := fmt.Sprintf("i-%s-%d", c.name, c.starts)
	p := &plainRunner{id: id, address: l.Addr().String(), work: c.work, record: c.world.record, runs: make(map[string][]run)}
	conns := make(map[net.Conn]http.ConnState)
	server := &http.Server{Handler: p, ConnState: func(n net.Conn, s http.ConnState) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		conns[n] = s
		if s == http.StateClosed {
			delete(conns, n)
		}
	}}
	c.runner, c.listener, c.server, c.conns = p, l, server, conns
	c.mutex.Unlock()
	go func() { _ = server.Serve(l) }()
	c.world.store.put("servers/"+id, map[string]any{
		"Service": c.service, "Address": p.address, "Zone": domain, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
		"born": time.Now().UnixMilli(),
	})
	c.world.record.line("runner  %s starts at %s", id, p.address)
	return nil
}

// isBusy reports whether the runner is at work on a request.
func (c *crashRunner) isBusy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.conns {
		if s == http.StateActive {
			return true
		}
	}
	return false
}

// crash ends the runner while it is at work, as a crash of its process does, and starts it again later.
func (c *crashRunner) crash(down time.Duration) error {
	for !c.isBusy() {
		time.Sleep(time.Millisecond)
	}
	c.mutex.Lock()
	id := c.runner.id
	_ = c.listener.Close()
	for n := range c.conns {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = n.Close()
	}
	c.mutex.Unlock()
	c.world.record.say("runner %s crashes while it is at work, and is down for %v", id, down)
	time.AfterFunc(3*pingInterval, func() { c.world.store.remove("servers/" + id) })
	time.Sleep(down)
	return c.start()
}

// lookupConfig returns a configuration with one idempotent route.
func lookupConfig(version, timeoutMs int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-lookup", "Host": "book.example", "Prefix": "/status/", "RouteKind": "idempotent", "TimeoutMs": timeoutMs, "SloMs": 150,
			"Priority": 2, "Service": "entrybook", "MaxAttempts": 2, "Anonymous": false,
		}},
		"Services": []any{map[string]any{"Name": "entrybook", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "parish", "ApiKeys": []string{"k-parish-71c2"}}},
	}
}

// loseMachines has the first machines lose power right after a change was acknowledged, as the final fault of
// a day does, and starts them again after a while. It returns when they are ready.
func (w *world) loseMachines(count int, down time.Duration) error {
	w.store.put("op/config", lookupConfig(6, 820))
	for _, e := range w.entries[:count] {
		w.record.say("final fault: %s loses power right after the ack of version 6", e.name)
		_ = e.process.cmd.Process.Kill()
	}
	for _, e := range w.entries[:count] {
		<-e.process.done
	}
	time.Sleep(down)
	for _, e := range w.entries[:count] {
		if err := w.run(e.process); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// playPolls has kiosks look up the same status again and again. Two of three runners crash, one after the
// other, and then two of four machines lose power as the final fault. It returns whether requests are served
// again later than RecoverS after all are back. With TROUBLE=closing only the final fault is played.
func playPolls(w *world, trouble bool) (bool, error) {
	const (
		recoverTime = 12 * time.Second
		down        = 4500 * time.Millisecond
		interval    = 25 * time.Millisecond
		judged      = 20 * time.Second
		lost        = 2
		lostFor     = time.Second
	)
	w.store.put("op/config", lookupConfig(4, 800))
	var runners []*crashRunner
	for i := range 3 {
		c, err := w.addCrashRunner(fmt.Sprintf("book%d", i+1), "entrybook", address(21, i+1), 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		runners = append(runners, c)
	}
	if err := w.addEntries(4); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var mutex sync.Mutex
	var group sync.WaitGroup
	var all []answer
	stop := make(chan struct{})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.C:
			case <-stop:
				return
			}
			q := request{id: nextID("poll"), method: "GET", host: "book.example", path: "/status/show", key: "k-parish-71c2", deadline: 1500 * time.Millisecond}
			e := w.entries[n%len(w.entries)]
			group.Go(func() {
				w.record.line("sent    %s to %s", q.id, e.name)
				a := send(e.frontend, q)
				w.record.line("answer  %s: %v", q.id, a)
				mutex.Lock()
				all = append(all, a)
				mutex.Unlock()
			})
		}
	}()
	time.Sleep(3 * time.Second)
	onlyClosing := os.Getenv("TROUBLE") == "closing"
	for _, c := range runners[:2] {
		if !trouble || onlyClosing {
			time.Sleep(down)
		} else if err := c.crash(down); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	w.record.line("all runners are there")
	faultAt := time.Now()
	if trouble {
		if err := w.loseMachines(lost, lostFor); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	w.record.say("all machines and runners are back")
	time.Sleep(recoverTime + judged)
	close(stop)
	<-sent
	group.Wait()

	before, beforeServed, after, afterServed := 0, 0, 0, 0
	refused := make(map[int]int)
	for _, a := range all {
		switch {
		case a.sentAt.Before(faultAt):
			before++
			if a.status == 200 {
				beforeServed++
			}
		case a.sentAt.After(backAt.Add(recoverTime)):
			after++
			if a.status == 200 {
				afterServed++
			} else {
				refused[a.status]++
			}
		}
	}
	w.record.say("before the final fault %d of %d requests were served", beforeServed, before)
	w.record.say("later than RecoverS after all were back %d of %d were served; others by status %v", afterServed, after, refused)
	if before == 0 || after == 0 || 4*beforeServed < before {
		return false, errNothingServed
	}
	return 4*afterServed >= after, nil
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// dirStable is StableMs of the deployments to which the rule belongs.
	dirStable = 4 * time.Second
	// dirSlack is what the rule adds to it.
	dirSlack = 3 * time.Second
	// dirDown is how long the killed machine stays away.
	dirDown = 14 * time.Second
	// dirClients is the number of clients in each zone. Each asks again when its answer has expired.
	dirClients = 10
	// dirAllowed is the number of such answers that don't break the rule.
	dirAllowed = 3
)

// directoryCase has clients ask the directory while one of three entries, each in a region of its own, is dead.
func directoryCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	s.put("op/config", config{Version: 1, Limits: siteLimits,
		Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "idempotent", TimeoutMs: 800, SloMs: 300, MaxAttempts: 2, Service: "plain", Anonymous: true}},
		Services: []service{{Name: "plain", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}}})
	at := []place{{"dakar-a", "dakar"}, {"thies-a", "thies"}, {"stlouis-a", "saint-louis"}}
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
	time.Sleep(8 * time.Second)
	dead, killedAt := entries[2], time.Now()
	if trouble {
		dead.kill()
		killedAt = time.Now()
	}
	w := &dirWatch{fleet: f, entries: entries, dead: dead, deadSince: killedAt, trouble: trouble}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for z := range 2 {
		for c := range dirClients {
			group.Go(func() { w.ask(z, at[z], c, stop) })
		}
	}
	time.Sleep(dirDown)
	close(stop)
	group.Wait()
	return outcome{broken: w.wrong > dirAllowed, text: fmt.Sprintf("%d answers named the dead machine beside a running one more than %v after its end, the last %.2f s after it; %d answers in all",
		w.wrong, dirStable+dirSlack, w.last.Seconds(), w.all)}, nil
}

type dirWatch struct {
	fleet     *fleet
	entries   []*entry
	dead      *entry
	deadSince time.Time
	trouble   bool
	mutex     sync.Mutex
	wrong     int
	all       int
	last      time.Duration
}

// ask asks the entry of a client's zone as long as the answers are valid.
func (w *dirWatch) ask(zone int, at place, client int, stop chan struct{}) {
	c := &http.Client{Timeout: time.Second}
	time.Sleep(time.Duration(client) * time.Second / dirClients)
	for {
		ttl := w.askOnce(c, w.entries[zone], at)
		select {
		case <-stop:
			return
		case <-time.After(ttl):
		}
	}
}

func (w *dirWatch) askOnce(c *http.Client, e *entry, at place) time.Duration {
	r, err := c.Get(fmt.Sprintf("http://%s/api/resolve?Name=a.example&Region=%s&Zone=%s", e.directory, at.region, at.zone))
	if err != nil {
		w.fleet.record.line("%s doesn't answer: %v", e.name, err)
		return time.Second
	}
	defer func() { _ = r.Body.Close() }()
	var d struct {
		Addresses []string
		TtlS      float64
	}
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&d) != nil {
		w.fleet.record.line("%s answers %d", e.name, r.StatusCode)
		return time.Second
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	since := time.Since(w.deadSince)
	namesDead := slices.Contains(d.Addresses, w.dead.front)
	namesRunning := slices.ContainsFunc(w.entries, func(o *entry) bool { return o != w.dead && slices.Contains(d.Addresses, o.front) })
	w.all++
	if w.trouble && namesDead && namesRunning {
		if since > dirStable+dirSlack {
			w.wrong++
			w.last = since
		}
		w.fleet.record.line("%s names %s, %.3f s after its end, in %v", e.name, w.dead.name, since.Seconds(), d.Addresses)
	} else {
		w.fleet.record.line("%s names %v", e.name, d.Addresses)
	}
	return time.Duration(d.TtlS * float64(time.Second))
}

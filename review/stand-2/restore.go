package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restoreRevoke is RevokeMs, restoreAway how long the store is away.
	restoreRevoke = 5 * time.Second
	restoreAway   = time.Second
	// restoreWatch is how long the clients use the key after an entry was started again.
	restoreWatch = time.Second
	// restoreKills is how often one entry is killed, restoreDown how long it is away at least.
	restoreKills = 5
	restoreDown  = 400 * time.Millisecond
	revokedKey   = "bvk9m68k7b2ex5wa5xwy"
	keptKey      = "jnbanfqasnmgkcuyj8pj"
)

// restoreWorld sends requests with keys.
type restoreWorld struct {
	fleet *fleet
	mutex sync.Mutex
	next  int
	// late are the requests with the key that was taken away which ran, though sent later than restoreRevoke after
	// the ack, by entry.
	late map[string]int
}

// restoreCase restores the store from a copy after a key was taken away, and kills an entry.
func restoreCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	s.era = 1
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	at := []place{{"sapporo-a", "sapporo"}, {"asahikawa-a", "asahikawa"}, {"hakodate-a", "hakodate"}}
	publish := func(version int, keys ...string) time.Time {
		f.record.line("configuration %d, keys of the tenant: %v", version, keys)
		return s.put("op/config", config{Version: version, Limits: siteLimits,
			Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "non_idempotent", TimeoutMs: 1200, SloMs: 150, MaxAttempts: 1, Service: "booking-desk"}},
			Services: []service{{Name: "booking-desk", HealthPath: "/healthz", MaxConns: 48, Protocol: "h1"}},
			Tenants:  []tenant{{Name: "bozi300", ApiKeys: keys}}})
	}
	publish(7, keptKey, revokedKey)
	register := func() {
		for i := range 3 {
			s.put(fmt.Sprintf("servers/i-%d", i), registrations[i])
		}
	}
	registrations = nil
	for i := range 3 {
		p := newPlain(fmt.Sprintf("i-%d", i), 6, 5*time.Millisecond, f.record)
		addr, err := f.serve("127.0.0.1", p)
		if err != nil {
			return outcome{}, err
		}
		registrations = append(registrations, registration{Service: "booking-desk", Address: addr, Zone: at[i].zone, Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	}
	register()
	b := bounds{graceS: 8, revokeMs: int(restoreRevoke.Milliseconds()), applyMs: 2000, versionMs: 8000, retryRatio: .2, retrySlack: 100, retryWindowS: 10, memoryMB: 284}
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
	w := &restoreWorld{fleet: f, late: make(map[string]int)}
	for _, e := range entries {
		w.send(e, keptKey, time.Time{})
		w.send(e, revokedKey, time.Time{})
	}
	s.backUp()
	f.record.line("the store is copied")
	ack := publish(8, keptKey)
	time.Sleep(restoreRevoke + 500*time.Millisecond)
	for _, e := range entries {
		w.send(e, revokedKey, ack)
	}
	if trouble {
		f.record.line("the store is away")
		s.leave()
		time.Sleep(restoreAway)
		s.restore()
		f.record.line("the store is back from the copy, era %d", s.era)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, e := range entries {
		w.send(e, revokedKey, ack)
		w.send(e, keptKey, time.Time{})
	}
	// The order of the first messages of a process varies, so that it is killed a few times.
	e := entries[0]
	for i := range restoreKills {
		e.signal(syscall.SIGKILL)
		e.wait()
		time.Sleep(restoreDown + time.Duration(i)*70*time.Millisecond)
		if err := e.start(); err != nil {
			return outcome{}, err
		}
		if err := awaitReady([]*entry{e}, 10*time.Second); err != nil {
			return outcome{}, err
		}
		for end := time.Now().Add(restoreWatch); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			w.send(e, revokedKey, ack)
			w.send(e, keptKey, time.Time{})
		}
		w.send(entries[1], revokedKey, ack)
		w.send(entries[2], revokedKey, ack)
	}
	publish(9, keptKey)
	time.Sleep(2500 * time.Millisecond)
	for _, e := range entries {
		w.send(e, revokedKey, ack)
	}
	n := 0
	for _, l := range w.late {
		n += l
	}
	return outcome{broken: n > 0, text: fmt.Sprintf("%d requests with the key that was taken away ran, each sent more than %v after the ack: %v", n, restoreRevoke, w.late)}, nil
}

var registrations []registration

// send sends a request with the key. If it was taken away at the time of the ack it mustn't run.
func (w *restoreWorld) send(e *entry, key string, ack time.Time) {
	w.mutex.Lock()
	w.next++
	id := fmt.Sprintf("k%d", w.next)
	w.mutex.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/a/x", strings.NewReader("body"))
	if err != nil {
		return
	}
	r.Host = "a.example"
	r.Header.Set("X-Currantport-Attempt-Id", id)
	r.Header.Set("X-Currantport-Deadline-Ms", "1500")
	r.Header.Set("Api-Key", key)
	sent := time.Now()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	q, err := c.Do(r)
	if err != nil {
		w.fleet.record.line("%s at %s with %s: %v", id, e.name, key, err)
		return
	}
	text, _ := io.ReadAll(q.Body)
	_ = q.Body.Close()
	note := ""
	if !ack.IsZero() && q.StatusCode == http.StatusOK && sent.Sub(ack) > restoreRevoke {
		note = fmt.Sprintf(", LATE: sent %.3f s after the ack that took the key away", sent.Sub(ack).Seconds())
		w.late[e.name]++
	}
	w.fleet.record.line("%s at %s with %s: %d %s%s", id, e.name, key, q.StatusCode, strings.TrimSpace(string(text)), note)
}

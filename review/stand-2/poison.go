package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// poisonStable is StableMs, poisonDown how long a runner is away after a crash.
	poisonStable = 3 * time.Second
	poisonDown   = 3 * time.Second
	// poisonSilence is how long the store lists a runner that has crashed: three ping intervals.
	poisonSilence = 3600 * time.Millisecond
	// poisonAllowed is the number of late retries that don't break the rule.
	poisonAllowed = 3
	poisonRunners = 14
)

// fragile is a runner that a certain request crashes. It is back some seconds later, as a new boot.
type fragile struct {
	poison  *poisonWorld
	name    string
	address string
	zone    string
	mutex   sync.Mutex
	boot    int
	down    bool
	server  *http.Server
}

// poisonWorld counts the arrivals of the request at all runners.
type poisonWorld struct {
	fleet    *fleet
	store    *store
	mutex    sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

// arrival is one of an attempt of a client at a runner. All but the first of an attempt are retries.
type arrival struct {
	at      time.Time
	attempt string
}

func (f *fragile) id() string { return fmt.Sprintf("i-%s-%d", f.name, f.boot) }

func (f *fragile) start() error {
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.boot++
	f.down = false
	f.address = l.Addr().String()
	p := newPlain(f.id(), 6, 30*time.Millisecond, f.poison.fleet.record)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/a/poison") && r.Header.Get("X-Currantport-Expect-Instance") == p.id {
			f.crash(p.id, r.Header.Get("X-Currantport-Attempt-Id"))
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	})}
	f.server = s
	f.mutex.Unlock()
	go func() { _ = s.Serve(l) }()
	f.poison.store.put("servers/"+p.id, registration{Service: "entrybook", Address: f.address, Zone: f.zone, Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	return nil
}

func (f *fragile) crash(id, attempt string) {
	w, now := f.poison, time.Now()
	w.mutex.Lock()
	w.arrivals, w.crashes = append(w.arrivals, arrival{now, attempt}), append(w.crashes, now)
	n := len(w.crashes)
	w.mutex.Unlock()
	w.fleet.record.line("%s begins to run %s and crashes, the crash has number %d", id, attempt, n)
	f.mutex.Lock()
	s, isDown := f.server, f.down
	f.down = true
	f.mutex.Unlock()
	if isDown {
		return
	}
	go func() {
		_ = s.Close()
		time.Sleep(poisonDown)
		if err := f.start(); err != nil {
			w.fleet.record.line("%s isn't back: %v", f.name, err)
			return
		}
		time.Sleep(poisonSilence - poisonDown)
		w.store.remove("servers/" + id)
	}()
}

// send sends the request through all entries at the same moment.
func (w *poisonWorld) send(all []*entry, round int, path string) {
	var group sync.WaitGroup
	for i, e := range all {
		group.Go(func() {
			id := fmt.Sprintf("p%d-%d", round, i)
			r, err := http.NewRequest(http.MethodPost, "http://"+e.front+path, strings.NewReader("the same body"))
			if err != nil {
				return
			}
			r.Host = "a.example"
			r.Header.Set("X-Currantport-Attempt-Id", id)
			r.Header.Set("X-Currantport-Deadline-Ms", "1500")
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
			q, err := c.Do(r)
			if err != nil {
				w.fleet.record.line("%s %s at %s: %v", path, id, e.name, err)
				return
			}
			text, _ := io.ReadAll(q.Body)
			_ = q.Body.Close()
			w.fleet.record.line("%s %s at %s: %d %s", path, id, e.name, q.StatusCode, strings.TrimSpace(string(text)))
		})
	}
	group.Wait()
}

func (w *poisonWorld) crashCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.crashes)
}

// poisonCase sends a request that crashes its runners again after all entries were killed.
func poisonCase(f *fleet, trouble bool) (outcome, error) {
	s := newStore()
	storeAt, err := f.serve("127.0.0.1", s)
	if err != nil {
		return outcome{}, err
	}
	s.put("op/config", config{Version: 1, Limits: siteLimits,
		Routes:   []route{{Name: "r-1", Host: "a.example", Prefix: "/a/", RouteKind: "idempotent", TimeoutMs: 800, SloMs: 150, MaxAttempts: 2, Service: "entrybook", Anonymous: true}},
		Services: []service{{Name: "entrybook", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"}}})
	w := &poisonWorld{fleet: f, store: s}
	at := []place{{"may-pen-a", "may-pen"}, {"may-pen-a", "may-pen"}, {"may-pen-a", "may-pen"}, {"mandeville-a", "mandeville"},
		{"mandeville-a", "mandeville"}, {"montego-a", "montego"}, {"montego-a", "montego"}}
	for i := range poisonRunners {
		r := &fragile{poison: w, name: fmt.Sprint(i), address: "127.0.0.1:0", zone: at[i%len(at)].zone}
		if err := r.start(); err != nil {
			return outcome{}, err
		}
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
	time.Sleep(poisonStable + 2*time.Second)
	w.send(entries, 0, "/a/sound")
	w.send(entries, 1, "/a/poison")
	if w.crashCount() < 3 {
		return outcome{}, fmt.Errorf("the request has crashed %d runners only", w.crashCount())
	}
	third := w.crashes[2]
	time.Sleep(poisonDown + poisonSilence)
	w.send(entries, 2, "/a/poison")
	if trouble {
		for _, e := range entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range entries {
			e.wait()
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range entries {
			if err := e.start(); err != nil {
				return outcome{}, err
			}
		}
	}
	if err := awaitReady(entries, 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(poisonStable + 2*time.Second)
	w.send(entries, 3, "/a/sound")
	w.send(entries, 4, "/a/poison")
	time.Sleep(poisonDown + poisonSilence)
	late, retries := 0, 0
	seen := map[string]bool{}
	w.mutex.Lock()
	for _, a := range w.arrivals {
		if a.at.Sub(third) > poisonStable {
			late++
			if seen[a.attempt] {
				retries++
			}
		}
		seen[a.attempt] = true
	}
	all := len(w.arrivals)
	w.mutex.Unlock()
	return outcome{broken: retries > poisonAllowed, text: fmt.Sprintf("%d retries (of %d arrivals) later than %v after the third crash, %d arrivals in all", retries, late, poisonStable, all)}, nil
}

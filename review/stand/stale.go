package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// movedConfig returns a configuration with one route to the service.
func movedConfig(version int, service string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-fees", "Host": "fees.example", "Prefix": "/fees/", "RouteKind": "non_idempotent", "TimeoutMs": 800, "SloMs": 150,
			"Priority": 2, "Service": service, "MaxAttempts": 1, "Anonymous": false,
		}},
		"Services": []any{
			map[string]any{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": "newledger", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "parish", "ApiKeys": []string{"k-parish-71c2"}}},
	}
}

var errFewReaders = errors.New("fewer than two machines read the store")

// pair is two machines that freeze together.
type pair struct{ a, b int }

// readerPair returns two of the machines that have read the store lately, another pair each time.
func (w *world) readerPair(n int) (pair, error) {
	const lately = 2 * time.Second
	var readers []int
	for i, e := range w.entries {
		if w.store.hasRead(e.name, lately) {
			readers = append(readers, i)
		}
	}
	var pairs []pair
	for i, a := range readers {
		for _, b := range readers[i+1:] {
			pairs = append(pairs, pair{a, b})
		}
	}
	if len(pairs) == 0 {
		return pair{}, errFewReaders
	}
	return pairs[n%len(pairs)], nil
}

// playStale freezes two of the machines that have read the store lately, again and again. While they are
// frozen the operator moves a route to another service. It returns whether no entry that is in touch had a request that was sent later than
// ConfigApplyMs after the ack run by the old service.
func playStale(w *world, trouble bool) (bool, error) {
	const (
		interval = 50 * time.Millisecond
		frozen   = 4 * time.Second
		// pause is the least time between two pairs. It is longer than StableMs, so that all are in touch
		// again. Step is added for each pair, so that the freezes meet the processes at different points of
		// what they do at intervals.
		pause = 3300 * time.Millisecond
		step  = 30 * time.Millisecond
		// freezes is how often two machines are frozen.
		freezes = 13
	)
	services := []string{"ledger", "newledger"}
	version := 4
	w.store.put("op/config", movedConfig(version, services[0]))
	var runners []*plainRunner
	for i, s := range services {
		p, err := w.addPlain("i-"+s+"-1", s, address(21, i+1), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	if err := w.addEntries(3, 2, 2); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	// change is a configuration that moved the route.
	type change struct {
		ackedAt time.Time
		old     string
		frozen  pair
	}
	var mutex sync.Mutex
	var changes []change
	isFrozen := make(map[int]bool)
	served, lateCount, late := 0, 0, make(map[string][]time.Duration)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for number, e := range w.entries {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				mutex.Lock()
				skip := isFrozen[number]
				mutex.Unlock()
				if skip {
					continue
				}
				q := request{id: nextID("fee"), method: "POST", host: "fees.example", path: "/fees/post", key: "k-parish-71c2", body: "entry fee", deadline: 1500 * time.Millisecond}
				w.record.line("sent    %s to %s", q.id, e.name)
				a := send(e.frontend, q)
				w.record.line("answer  %s: %v", q.id, a)
				mutex.Lock()
				if a.status == 200 {
					served++
				}
				if len(changes) > 0 {
					c := changes[len(changes)-1]
					age := a.sentAt.Sub(c.ackedAt)
					inTouch := number != c.frozen.a && number != c.frozen.b
					old := runners[slices.Index(services, c.old)]
					if inTouch && age > applyTime && len(old.runsOf(q.id)) > 0 {
						late[e.name] = append(late[e.name], age)
						lateCount++
						w.record.line("late    %s was sent %v after the ack and run by the old service", q.id, age.Round(time.Millisecond))
					}
				}
				mutex.Unlock()
			}
		})
	}
	for n := range freezes {
		p, err := w.readerPair(n)
		if err != nil {
			return false, err
		}
		first, second := w.entries[p.a], w.entries[p.b]
		mutex.Lock()
		isFrozen[p.a], isFrozen[p.b] = trouble, trouble
		mutex.Unlock()
		if trouble {
			first.process.signal(syscall.SIGSTOP)
			second.process.signal(syscall.SIGSTOP)
		}
		time.Sleep(100 * time.Millisecond)
		version += 2
		old := services[0]
		slices.Reverse(services)
		slices.Reverse(runners)
		ackedAt := w.store.put("op/config", movedConfig(version, services[0]))
		mutex.Lock()
		changes = append(changes, change{ackedAt: ackedAt, old: old, frozen: p})
		mutex.Unlock()
		w.record.line("ack of version %d, which moves the route from %s to %s; frozen: %s, %s: %t", version, old, services[0], first.name, second.name, trouble)
		time.Sleep(frozen)
		if trouble {
			first.process.signal(syscall.SIGCONT)
			second.process.signal(syscall.SIGCONT)
		}
		mutex.Lock()
		clear(isFrozen)
		mutex.Unlock()
		time.Sleep(pause + time.Duration(n)*step)
	}
	close(stop)
	group.Wait()
	var names []string
	for name, all := range late {
		names = append(names, fmt.Sprintf("%s: %d, the last %v after the ack", name, len(all), slices.Max(all).Round(time.Millisecond)))
	}
	slices.Sort(names)
	w.record.say("%d requests were served; sent to entries in touch later than ConfigApplyMs after the ack and run by the old service: %d (%s)", served, lateCount, strings.Join(names, "; "))
	if served == 0 {
		return false, errNothingServed
	}
	return len(late) == 0, nil
}

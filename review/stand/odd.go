package main

import (
	"slices"
	"sync"
	"time"
)

// heartbeats writes the entry of a runner again every ping interval, as runners do, until stop is closed.
func (w *world) heartbeats(p *plainRunner, service string, born int64, stop chan struct{}) {
	for seq := 2; ; seq++ {
		w.store.put("servers/"+p.id, map[string]any{
			"Service": service, "Address": p.address, "Zone": domain, "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
			"born": born,
		})
		select {
		case <-time.After(pingInterval):
		case <-stop:
			return
		}
	}
}

// playOdd has another writer leave an entry with fields missing in place of a runner's, several times. The
// runner's next ping replaces it. It returns whether all requests were run by the service of their route.
func playOdd(w *world, trouble bool) (bool, error) {
	const (
		interval = 40 * time.Millisecond
		entries  = 6
		pause    = 3 * time.Second
	)
	c := movedConfig(4, "ledger")
	c["Services"] = []any{
		map[string]any{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		map[string]any{"Name": "notes", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
	}
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "r-notes", "Host": "notes.example", "Prefix": "/notes/", "RouteKind": "idempotent", "TimeoutMs": 800, "SloMs": 150,
		"Priority": 2, "Service": "notes", "MaxAttempts": 2, "Anonymous": false,
	})
	w.store.put("op/config", c)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var runners []*plainRunner
	for i, service := range []string{"ledger", "notes"} {
		p, err := w.addPlain("i-"+service+"-1", service, address(21, i+1), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
		group.Go(func() { w.heartbeats(p, service, time.Now().UnixMilli(), stop) })
	}
	ledger, notes := runners[0], runners[1]
	if err := w.addEntries(2); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var mutex sync.Mutex
	var fees []answer
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			q := request{id: nextID("fee"), method: "POST", host: "fees.example", path: "/fees/post", key: "k-parish-71c2", body: "entry fee", deadline: 1500 * time.Millisecond}
			e := w.entries[n%len(w.entries)]
			w.record.line("sent    %s to %s", q.id, e.name)
			a := send(e.frontend, q)
			w.record.line("answer  %s: %v", q.id, a)
			mutex.Lock()
			fees = append(fees, a)
			mutex.Unlock()
		}
	})
	for range entries {
		time.Sleep(pause)
		if trouble {
			w.store.put("servers/"+notes.id, map[string]any{"Service": "ledger", "Address": notes.address, "Zone": domain, "State": "ready"})
			w.record.line("another writer left an entry of %s without Version, Slots, ColdLeftMs and Seq, with the service ledger", notes.id)
		}
	}
	time.Sleep(pause)
	close(stop)
	group.Wait()
	served, wrong := 0, 0
	for _, a := range fees {
		if a.status == 200 {
			served++
		}
		for _, r := range slices.Concat(ledger.runsOf(a.id), notes.runsOf(a.id)) {
			if r.runner == notes.id {
				wrong++
				w.record.line("wrong   %s was run by %s of the service notes and answered %v", a.id, r.runner, a)
			}
		}
	}
	w.record.say("of %d requests to the ledger %d were answered 200; %d were run by the service notes", len(fees), served, wrong)
	if served == 0 {
		return false, errNothingServed
	}
	return wrong == 0, nil
}

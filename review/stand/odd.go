package main

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// registration is the entry of a plain runner in the store.
type registration struct {
	world  *world
	runner *plainRunner
	born   int64

	mutex   sync.Mutex
	service string
	state   string
}

// entry returns the entry that the runner writes.
func (r *registration) entry() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return map[string]any{
		"Service": r.service, "Address": r.runner.address, "Zone": domain, "Version": "v1", "Slots": 6, "State": r.state, "ColdLeftMs": 0, "Seq": 1,
		"born": r.born,
	}
}

// write writes the entry and returns the time of the ack.
func (r *registration) write() time.Time { return r.world.store.put("servers/"+r.runner.id, r.entry()) }

// drain reports the runner as draining and returns the time of the ack.
func (r *registration) drain() time.Time {
	r.mutex.Lock()
	r.state = "draining"
	r.mutex.Unlock()
	return r.write()
}

// run pings the store until stop is closed. The entry changes only if another writer has changed it, since
// pings differ in nothing but Seq.
func (r *registration) run(stop chan struct{}) {
	for {
		select {
		case <-time.After(pingInterval):
		case <-stop:
			return
		}
		if r.world.store.differs("servers/"+r.runner.id, r.entry()) {
			r.write()
		}
	}
}

// playOdd drains one of two runners. While it drains, another writer leaves an entry of it with fields missing,
// several times; the runner's next ping replaces it. It returns whether no request reached the runner later
// than DrainMs after the ack of its draining.
func playOdd(w *world, trouble bool) (bool, error) {
	const (
		drainTime = 2 * time.Second
		interval  = 40 * time.Millisecond
		entries   = 4
		pause     = 2500 * time.Millisecond
	)
	w.store.put("op/config", movedConfig(4, "ledger"))
	stop := make(chan struct{})
	var group sync.WaitGroup
	var all []*registration
	for i, id := range []string{"i-ledger-1", "i-ledger-2"} {
		p, err := w.addPlain(id, "ledger", address(21, i+1), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		r := &registration{world: w, runner: p, born: time.Now().UnixMilli(), service: "ledger", state: "ready"}
		r.write()
		all = append(all, r)
		group.Go(func() { r.run(stop) })
	}
	leaving := all[0]
	if err := w.addEntries(2); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

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
	time.Sleep(2 * time.Second)
	ackedAt := leaving.drain()
	w.record.say("ack that %s is draining; it goes on serving", leaving.runner.id)
	for range entries {
		time.Sleep(pause)
		if trouble {
			d := leaving.entry()
			d["State"] = "ready"
			maps.DeleteFunc(d, func(name string, _ any) bool {
				return slices.Contains([]string{"Version", "Slots", "ColdLeftMs", "Seq"}, name)
			})
			w.store.put("servers/"+leaving.runner.id, d)
			w.record.line("another writer left an entry of %s without Version, Slots, ColdLeftMs and Seq, with the state ready", leaving.runner.id)
		}
	}
	time.Sleep(pause)
	close(stop)
	group.Wait()
	served, reached := 0, 0
	var late []time.Duration
	for _, a := range fees {
		if a.status == 200 {
			served++
		}
		for _, r := range leaving.runner.runsOf(a.id) {
			reached++
			if age := r.at.Sub(ackedAt); age > drainTime {
				late = append(late, age.Round(time.Millisecond))
				w.record.line("late    %s reached %s %v after the ack that it is draining", a.id, r.runner, age.Round(time.Millisecond))
			}
		}
	}
	w.record.say("of %d requests %d were answered 200; %d were run by %s in all, %d of them later than DrainMs after the ack", len(fees), served, reached, leaving.runner.id, len(late))
	if served == 0 || reached == 0 {
		return false, errNothingServed
	}
	return len(late) == 0, nil
}

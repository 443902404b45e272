package main

import (
	"sync"
	"time"
)

// poisonBody is that of the request that crashes each runner that begins to run it.
const poisonBody = `{"form":"entry 4711","note":"crashes the ledger"}`

// stable is StableMs of the site file.
const stable = 3 * time.Second

// playSameID sends a request that crashes the runners that run it again and again, with the same path, caller
// and body. With trouble, a runner that has crashed starts again under the Id that it had.
func playSameID(w *world, trouble bool) (bool, error) {
	const (
		period   = 5 * time.Second
		times    = 12
		pause    = 500 * time.Millisecond
		deadline = 1500 * time.Millisecond
	)
	w.keepID, w.backAfter = trouble, 3*time.Second
	zones := []string{"may-pen-a", "mandeville-a", "montego-a"}
	w.configure(7, []route{{
		Name: "r-fee", Host: "nony93.example", Prefix: "/fee/", RouteKind: "non_idempotent", TimeoutMs: 800, SloMs: 150, Priority: 2, Service: "entrybook", MaxAttempts: 1,
	}}, "entrybook")
	for _, z := range zones {
		if err := w.addRunner(&runner{service: "entrybook", zone: z, slots: 6, queue: 24, work: 15 * time.Millisecond, poison: poisonBody}); err != nil {
			return false, err
		}
	}
	for _, z := range zones {
		if err := w.addEntry(z); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	end := time.Now().Add(period * times)
	var group sync.WaitGroup
	for i, e := range w.entries {
		group.Add(1)
		go func() {
			defer group.Done()
			// The consumers of a zone ask the entry of their zone. Those of the first one have the request.
			next := time.Now().Add(pause)
			for time.Now().Before(end) {
				if i == 0 && time.Now().After(next) {
					w.send(e, "POST", "nony93.example", "/fee/post", poisonBody, showsKey, deadline, "the request that crashes runners")
					next = next.Add(period)
				} else {
					w.send(e, "POST", "nony93.example", "/fee/post", `{"form":"ordinary"}`, showsKey, deadline, "an ordinary request")
				}
				time.Sleep(pause)
			}
		}()
	}
	group.Wait()
	return w.checkCrashes(), nil
}

// checkCrashes counts the times that the request reached a runner later than StableMs after it has crashed the
// third. More than three break the rule.
func (w *world) checkCrashes() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.add("the request has crashed runners %d times", len(w.crashes))
	if len(w.crashes) < 3 {
		return false
	}
	from, late := w.crashes[2].Add(stable), 0
	for _, a := range w.arrivals {
		if a.body == poisonBody && a.at.After(from) {
			late++
		}
	}
	w.record.add("it reached a runner %d times later than %v after the third crash; more than 3 break the rule", late, stable)
	return late > 3
}

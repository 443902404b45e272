package main

import (
	"time"
)

// playForget sends a request that crashes the runners that run it, again and again. With trouble, all entries are
// killed at the same moment, three times.
func playForget(w *world, trouble bool) (bool, error) {
	const (
		rounds   = 4
		calls    = 3
		pause    = 4 * time.Second
		deadline = 1500 * time.Millisecond
		down     = time.Second
	)
	w.backAfter = 2 * time.Second
	zones := []string{"may-pen-a", "mandeville-a", "montego-a"}
	w.configure(7, []route{{
		Name: "r-fee", Host: "nony93.example", Prefix: "/fee/", RouteKind: "non_idempotent", TimeoutMs: 800, SloMs: 150, Priority: 2, Service: "entrybook", MaxAttempts: 1,
	}}, "entrybook")
	for _, z := range zones {
		if err := w.addRunner(&runner{service: "entrybook", zone: z, slots: 6, queue: 24, work: 15 * time.Millisecond, poison: poisonBody}); err != nil {
			return false, err
		}
		if err := w.addEntry(z); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	for round := range rounds {
		time.Sleep(stable + time.Second)
		for i := range calls {
			w.send(w.entries[i%len(w.entries)], "POST", "nony93.example", "/fee/post", poisonBody, showsKey, deadline, "the request that crashes runners")
			time.Sleep(pause)
		}
		if trouble && round < rounds-1 {
			w.restartAll(down)
			if err := w.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
	}
	return w.checkCrashes(), nil
}

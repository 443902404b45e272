package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// tenantCount counts the requests of a tenant and those that were served.
type tenantCount struct{ asked, served atomic.Int64 }

func (c *tenantCount) share() float64 {
	return float64(c.served.Load()) / float64(max(c.asked.Load(), 1))
}

// playStarved has the tenant kiosks ask for one thing, on a route that a second version of the configuration adds,
// and the tenant shows for others on the first route. With trouble, all runners of the service crash at the same
// moment and are back after some seconds.
func playStarved(w *world, trouble bool) (bool, error) {
	const (
		perTenant = 80
		lead      = 5 * time.Second
		crashAt   = 6 * time.Second
		back      = 4500 * time.Millisecond
		length    = 80 * time.Second
		deadline  = 1500 * time.Millisecond
	)
	routes := []route{
		{Name: "r-lookup", Host: "nony93.example", Prefix: "/lookup/", RouteKind: "idempotent", TimeoutMs: 800, SloMs: 150, Priority: 2, Service: "entrybook", MaxAttempts: 2},
		{Name: "r-board", Host: "nony93.example", Prefix: "/board/", RouteKind: "idempotent", TimeoutMs: 800, SloMs: 150, Priority: 2, Service: "entrybook", MaxAttempts: 2},
	}
	w.configure(7, routes[:1], "entrybook")
	zones := []string{"may-pen-a", "mandeville-a", "montego-a"}
	for _, z := range zones {
		if err := w.addRunner(&runner{service: "entrybook", zone: z, slots: 6, queue: 24, work: 60 * time.Millisecond}); err != nil {
			return false, err
		}
		if err := w.addEntry(z); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	w.configure(11, routes, "entrybook")
	w.record.add("version 11 of the configuration adds the route of the board")
	time.Sleep(lead)
	if trouble {
		time.AfterFunc(crashAt, func() {
			w.record.add("all runners crash")
			for _, u := range w.runners {
				u.crash(back)
			}
		})
	}
	var kiosks, shows, kiosksLate, showsLate tenantCount
	lateFrom := time.Now().Add(crashAt + back + 3*stable)
	var sent sync.WaitGroup
	t := time.NewTicker(time.Second / perTenant)
	defer t.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-t.C {
		isLate := time.Now().After(lateFrom)
		for _, c := range []struct {
			path, key   string
			count, late *tenantCount
		}{
			{"/board/today", kiosksKey, &kiosks, &kiosksLate},
			{fmt.Sprintf("/lookup/%d", rand.IntN(1000000)), showsKey, &shows, &showsLate},
		} {
			sent.Add(1)
			go func() {
				defer sent.Done()
				served := w.ask(w.allEntries, "GET", "nony93.example", c.path, "", c.key, deadline, "a lookup of "+c.path)
				c.count.add(served)
				if isLate {
					c.late.add(served)
				}
			}()
		}
	}
	sent.Wait()
	all := tenantCount{}
	for _, c := range []*tenantCount{&kiosks, &shows} {
		all.asked.Add(c.asked.Load())
		all.served.Add(c.served.Load())
	}
	w.record.add("over the play: kiosks %.3f of %d served, shows %.3f of %d, all %.3f", kiosks.share(), kiosks.asked.Load(), shows.share(), shows.asked.Load(), all.share())
	w.record.add("later than %v after the runners were back: kiosks, on the route added later, %.3f of %d served, shows, on the first route, %.3f of %d",
		3*stable, kiosksLate.share(), kiosksLate.asked.Load(), showsLate.share(), showsLate.asked.Load())
	return kiosksLate.asked.Load() >= 20 && kiosksLate.share() < showsLate.share()/4, nil
}

func (c *tenantCount) add(served bool) {
	c.asked.Add(1)
	if served {
		c.served.Add(1)
	}
}

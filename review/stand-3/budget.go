package main

import (
	"math"
	"sort"
	"sync"
	"time"
)

// The retry budget of the site file.
const (
	retryRatio  = 0.2
	retrySlack  = 102
	retryWindow = 10 * time.Second
)

// playBudget has consumers ask for more than the runners of a plain service can serve. With trouble, all
// entries are killed at the same moment, and start again.
func playBudget(w *world, trouble bool) (bool, error) {
	const (
		rate     = 40
		runners  = 4
		lead     = 5 * time.Second
		killAt   = 4 * time.Second
		downTime = 500 * time.Millisecond
		length   = 16 * time.Second
		deadline = 1500 * time.Millisecond
	)
	w.configure(7, []route{{
		Name: "r-lookup", Host: "nony93.example", Prefix: "/lookup/", RouteKind: "idempotent", TimeoutMs: 800, SloMs: 150, Priority: 2, Service: "entrybook", MaxAttempts: 2,
	}}, "entrybook")
	for range runners {
		if err := w.addRunner(&runner{service: "entrybook", zone: "may-pen-a", slots: 1, queue: 2, work: 150 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, z := range []string{"may-pen-a", "mandeville-a", "montego-a"} {
		if err := w.addEntry(z); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	var killing sync.WaitGroup
	if trouble {
		killing.Add(1)
		time.AfterFunc(killAt, func() {
			defer killing.Done()
			w.restartAll(downTime)
		})
	}
	var sent sync.WaitGroup
	t := time.NewTicker(time.Second / rate)
	defer t.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-t.C {
		sent.Add(1)
		go func() {
			defer sent.Done()
			w.ask(w.allEntries, "GET", "nony93.example", "/lookup/4711", "", showsKey, deadline, "a lookup")
		}()
	}
	sent.Wait()
	killing.Wait()
	return w.checkBudget(), nil
}

// restartAll kills all entries at the same moment and starts them again.
func (w *world) restartAll(down time.Duration) {
	w.record.add("all entries are killed")
	w.mutex.Lock()
	w.killedAt, w.startedAt = time.Now(), time.Now().Add(down)
	w.mutex.Unlock()
	for _, e := range w.entries {
		_ = e.command.Process.Kill()
	}
	for _, e := range w.entries {
		<-e.done
	}
	time.Sleep(down)
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			w.record.add("%v", err)
		}
	}
}

// checkBudget looks for a window in which the service got more arrivals beyond the first of each request than
// the rule allows. The requests for it are those of the window, the one before or the one half a window before.
func (w *world) checkBudget() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := make(map[string]bool)
	var repeats, inTouch []time.Time
	for _, a := range w.arrivals {
		if known[a.attempt] {
			repeats = append(repeats, a.at)
			if w.killedAt.IsZero() || a.at.Before(w.killedAt) || a.at.After(w.startedAt.Add(stable)) {
				inTouch = append(inTouch, a.at)
			}
		}
		known[a.attempt] = true
	}
	sent := w.sent
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	within := func(all []time.Time, from time.Time) int {
		n := 0
		for _, at := range all {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, broken := math.Inf(-1), false
	for _, from := range repeats {
		got := within(repeats, from)
		asked := max(within(sent, from), within(sent, from.Add(-retryWindow/2)), within(sent, from.Add(-retryWindow)))
		most := retryRatio*float64(asked) + retrySlack
		if over := float64(got) - most; over > worst {
			worst = over
			w.record.add("from %.3f: %d arrivals beyond the first, %d of them from machines in touch, %d requests, at most %.1f",
				from.Sub(w.record.start).Seconds(), got, within(inTouch, from), asked, most)
		}
		broken = broken || float64(got) > most
	}
	w.record.add("%d requests, %d arrivals, %d beyond the first", len(sent), len(w.arrivals), len(repeats))
	return broken
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cappedListener accepts at most a number of connections and resets any beyond that.
type cappedListener struct {
	net.Listener
	most   int64
	open   atomic.Int64
	resets atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &cappedConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		l.resets.Add(1)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

type cappedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// keepAlive is the time after which the runner closes idle connections.
const keepAlive = 10 * time.Second

// playConns has a runner with few connections serve bookings, which may not run twice, on a route that a second
// version of the configuration adds, and look-ups on the first route. With trouble, machines are added to the system.
func playConns(w *world, trouble bool) (bool, error) {
	const (
		first    = 4
		added    = 3
		slots    = 8
		work     = 15 * time.Millisecond
		bookings = 240
		lookups  = 120
		lead     = 5 * time.Second
		addAt    = time.Second
		lateFrom = addAt + stable + 2*time.Second
		length   = 60 * time.Second
		deadline = 2500 * time.Millisecond
	)
	w.slack, w.maxConns = 100, 48
	w.zones = map[string]string{"sapporo-a": "sapporo", "asahikawa-a": "asahikawa", "hakodate-a": "hakodate"}
	zones := []string{"sapporo-a", "asahikawa-a", "hakodate-a"}
	routes := []route{
		{Name: "r-forecast", Host: "nony93.example", Prefix: "/forecast/", RouteKind: "idempotent", TimeoutMs: 1500, SloMs: 150, Priority: 2, Service: "booking-desk", MaxAttempts: 2},
		{Name: "r-booking", Host: "lopu12.example", Prefix: "/booking/", RouteKind: "non_idempotent", TimeoutMs: 1500, SloMs: 150, Priority: 2, Service: "booking-desk", MaxAttempts: 1},
	}
	w.configure(7, routes[:1], "booking-desk")
	u := &runner{service: "booking-desk", zone: zones[0], slots: slots, queue: 24, work: work, maxConns: int64(w.maxConns)}
	if err := w.addRunner(u); err != nil {
		return false, err
	}
	for i := range first {
		if err := w.addEntry(zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	w.configure(11, routes, "booking-desk")
	w.record.add("version 11 of the configuration adds the route of the bookings")
	time.Sleep(lead)
	if trouble {
		time.AfterFunc(addAt, func() {
			w.record.add("%d machines are added", added)
			for i := range added {
				if err := w.addEntry(zones[i]); err != nil {
					w.record.add("%v", err)
				}
			}
			if err := w.startEntries(); err != nil {
				w.record.add("%v", err)
			}
		})
	}
	var booked, looked, bookedLate, lookedLate tenantCount
	var sent sync.WaitGroup
	t := time.NewTicker(time.Second / (bookings + lookups))
	defer t.Stop()
	late := time.Now().Add(lateFrom)
	for end := time.Now().Add(length); time.Now().Before(end); <-t.C {
		isBooking, isLate := rand.IntN(bookings+lookups) < bookings, time.Now().After(late)
		sent.Add(1)
		go func() {
			defer sent.Done()
			count, lateCount, served := &looked, &lookedLate, false
			if isBooking {
				count, lateCount = &booked, &bookedLate
				served = w.ask(w.readyEntries, "POST", "lopu12.example", "/booking/seat", `{"crew":2}`, showsKey, deadline, "a booking")
			} else {
				served = w.ask(w.readyEntries, "GET", "nony93.example", fmt.Sprintf("/forecast/%d", rand.IntN(1000)), "", showsKey, deadline, "a look-up")
			}
			count.add(served)
			if isLate {
				lateCount.add(served)
			}
		}()
	}
	sent.Wait()
	all := float64(booked.served.Load()+looked.served.Load()) / float64(booked.asked.Load()+looked.asked.Load())
	w.record.add("the runner has reset %d connections", u.listener.resets.Load())
	w.record.add("over the play: bookings %.3f of %d served, look-ups %.3f of %d, all %.3f", booked.share(), booked.asked.Load(), looked.share(), looked.asked.Load(), all)
	w.record.add("in steady state: bookings, on the route added later, %.3f of %d served, look-ups, on the first route, %.3f of %d",
		bookedLate.share(), bookedLate.asked.Load(), lookedLate.share(), lookedLate.asked.Load())
	return bookedLate.asked.Load() >= 20 && bookedLate.share() < lookedLate.share()/4, nil
}

// readyEntries returns the entries that are ready, as the directory names them.
func (w *world) readyEntries() []*entry {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ready
}

package relay_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/relay"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

const (
	// changesPerDay is the rate of changes to design for.
	changesPerDay = 35000
	steadyTime    = time.Minute
	benchPools    = 100
)

// fleet of the given size in the proportions to design for: 740 entries before
// 12,000 agents in 18 failure domains of 7 regions.
func benchFleet(processes int) []hosts.Host {
	entries := max(6, processes*740/12740)
	domains := min(18, max(3, entries/4))
	return fleetOf(min(7, domains), domains, entries, processes-entries)
}

// measured is what one run of the relay gave.
type measured struct {
	force  []time.Duration
	reads  float64
	bytes  []int64
	memory float64
	// values and list are the bytes a second of the platform's answers at an
	// entry in the mean, plain. size is the length of a value.
	values, list float64
	size         int
	// packed is the length of a compressed value in hundredths of the plain one,
	// packedList that of a list.
	packed, packedList int
	// start is when the last process was ready after all started at once, peak
	// the greatest number of calls in a second meanwhile.
	start time.Duration
	peak  int64
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func (w *world) measure(list []hosts.Host, changes int) measured {
	var m measured
	w.measures = true
	before := heap()
	w.platform.publish(tables.KindRoutes, routesOf(w.t, "draft"))
	w.platform.publish(tables.KindPools, poolsOf(w.t, list, benchPools, "one"))
	w.startAll()
	ready := w.within(60*time.Second, func(m *member) bool {
		return m.node.IsCurrent() && holds(tables.KindPools, 1)(m) && holds(tables.KindRoutes, 1)(m)
	})
	m.start, m.peak = ready[len(ready)-1], w.platform.peak
	time.Sleep(10 * time.Second)
	m.memory = (heap() - before) / float64(len(list))
	w.steady(&m, list, changes)
	w.degraded(&m, list)
	return m
}

// steady measures reads and bytes while the tables change at the given rate a
// day.
func (w *world) steady(m *measured, list []hosts.Host, changes int) {
	for _, p := range w.order {
		p.bytes.Store(0)
		p.reads.Store(0)
		p.values.Store(0)
		p.lists.Store(0)
	}
	w.setState(list[len(list)-1].Name, hosts.StateLeaving)
	gap := 24 * time.Hour / time.Duration(max(changes, 1))
	start := time.Now()
	for i := 0; time.Since(start) < steadyTime; i++ {
		if changes > 0 {
			w.platform.publish(tables.KindPools, poolsOf(w.t, list, benchPools, fmt.Sprint("steady-", i)))
		}
		time.Sleep(min(gap, steadyTime))
	}
	entries := float64(len(hosts.NewList(list).WithRole(hosts.RoleEntry)))
	for _, p := range w.order {
		m.values += float64(p.values.Load()) / steadyTime.Seconds() / entries
		m.list += float64(p.lists.Load()) / steadyTime.Seconds() / entries
		m.bytes = append(m.bytes, p.bytes.Load()/int64(steadyTime/time.Second))
		m.reads += float64(p.reads.Load()) / steadyTime.Seconds()
	}
	slices.Sort(m.bytes)
	value := w.platform.values[tables.KindPools].Data
	encoded, err := edges.EncodeHosts(list)
	if err != nil {
		w.t.Fatal(err)
	}
	m.size, m.packed, m.packedList = len(value), packedShare(w.t, value), packedShare(w.t, encoded)
}

// packedShare returns the length of the compressed data in hundredths of the
// plain one.
func packedShare(t testing.TB, data []byte) int {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return 100 * b.Len() / len(data)
}

// degraded measures the time until a change is in force everywhere with one
// failure domain down and the first reply with it lost at each hop.
func (w *world) degraded(m *measured, list []hosts.Host) {
	w.loseFirst = true
	for _, p := range append([]*member(nil), w.order...) {
		if p.host.Place.Domain == list[0].Place.Domain {
			w.kill(p)
		}
	}
	w.platform.publish(tables.KindPools, poolsOf(w.t, list, benchPools, "degraded"))
	revision := w.platform.values[tables.KindPools].Revision
	m.force = w.within(forceLimit, holds(tables.KindPools, revision))
}

func BenchmarkRelay(b *testing.B) {
	for range b.N {
		for _, c := range []struct{ processes, changes int }{{15, changesPerDay}, {100, changesPerDay}, {500, changesPerDay}, {500, 0}, {2000, changesPerDay}} {
			var m measured
			start := time.Now()
			synctest.Test(&testing.T{}, func(*testing.T) {
				list := benchFleet(c.processes)
				w := newWorld(b, trial.NewScript(nil), list)
				m = w.measure(list, c.changes)
				w.stop()
			})
			n := len(m.force)
			fmt.Fprintf(os.Stdout, "bench=relay processes=%d changes=%d median=%.2fs force=%.2fs reads=%.1f bytes=%d worst=%d memory=%.0f start=%.1fs peak=%d size=%d values=%.0f packed=%d%% list=%.0f packedlist=%d%% elapsed=%.1fs\n",
				c.processes, c.changes, m.force[n/2].Seconds(), m.force[n-1].Seconds(), m.reads, m.bytes[len(m.bytes)/2], m.bytes[len(m.bytes)-1], m.memory, m.start.Seconds(), m.peak, m.size, m.values, m.packed, m.list, m.packedList, time.Since(start).Seconds())
		}
	}
}

// BenchmarkPaths tells, at the size to design for, what a process reads directly
// and how many processes an entry of one failure domain feeds.
func BenchmarkPaths(b *testing.B) {
	for range b.N {
		const processes = 12740
		list := hosts.NewList(benchFleet(processes))
		children := make(map[hosts.Name]int)
		start := time.Now()
		asked := 0
		domain := list.All()[0].Place.Domain
		for _, h := range list.All() {
			if h.Role == hosts.RoleAgent && h.Place.Domain != domain {
				continue
			}
			asked++
			feeds, width := relay.NewTopology(relay.Self{Host: h.Name, Place: h.Place, Role: h.Role}, list).Feeds()
			for _, f := range feeds[:width] {
				if f.Place.Domain == domain {
					children[f.Name]++
				}
			}
		}
		counts := slices.Sorted(maps.Values(children))
		r := relay.DirectReadInterval(processes)
		fmt.Fprintf(os.Stdout, "bench=paths processes=%d median=%d most=%d elapsed=%.1fms round=%.1fs reads=%.0f\n", processes,
			counts[len(counts)/2], counts[len(counts)-1], time.Since(start).Seconds()*1000/float64(asked), r.Seconds(), 3*processes/r.Seconds())
	}
}

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
	// changesPerDay is the rate of changes that the relay is designed for.
	changesPerDay = 35000
	steadyTime    = time.Minute
	benchPools    = 100
)

// benchFleet returns a fleet of the given size in the proportions that the relay is
// designed for: 740 entries for 12,000 agents in 18 failure domains of 7 regions.
func benchFleet(processes int) []hosts.Host {
	entries := max(6, processes*740/12740)
	domains := min(18, max(3, entries/4))
	return fleetOf(min(7, domains), domains, entries, processes-entries)
}

// measurement holds the results of one run of the relay.
type measurement struct {
	activation []time.Duration
	reads      float64
	bytes      []int64
	memory     float64
	// valueBytes and listBytes are the mean uncompressed bytes per second of the
	// platform's responses to an entry.
	valueBytes, listBytes float64
	// valueSize is the length of a value in bytes.
	valueSize int
	// packedValue and packedList are the compressed lengths of a value and of a list,
	// in percent of the uncompressed ones.
	packedValue, packedList int
	// start is the time until the last process was ready after all started at once,
	// peak the highest number of calls in a second during that time.
	start time.Duration
	peak  int64
}

func usedMemory() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func (w *world) measure(list []hosts.Host, changes int) measurement {
	var m measurement
	w.countsLists = true
	before := usedMemory()
	w.platform.publish(tables.KindRoutes, routesOf(w.t, "draft"))
	w.platform.publish(tables.KindPools, poolsOf(w.t, list, benchPools, "one"))
	w.startAll()
	ready := w.waitFor(60*time.Second, func(m *process) bool {
		return m.node.IsCurrent() && hasRevision(tables.KindPools, 1)(m) && hasRevision(tables.KindRoutes, 1)(m)
	})
	m.start, m.peak = ready[len(ready)-1], w.platform.peak
	time.Sleep(10 * time.Second)
	m.memory = (usedMemory() - before) / float64(len(list))
	w.measureSteady(&m, list, changes)
	w.measureDegraded(&m, list)
	return m
}

// measureSteady measures reads and bytes while the tables change at the given rate per
// day.
func (w *world) measureSteady(m *measurement, list []hosts.Host, changes int) {
	for _, p := range w.order {
		p.bytes.Store(0)
		p.reads.Store(0)
		p.valueBytes.Store(0)
		p.listBytes.Store(0)
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
		m.valueBytes += float64(p.valueBytes.Load()) / steadyTime.Seconds() / entries
		m.listBytes += float64(p.listBytes.Load()) / steadyTime.Seconds() / entries
		m.bytes = append(m.bytes, p.bytes.Load()/int64(steadyTime/time.Second))
		m.reads += float64(p.reads.Load()) / steadyTime.Seconds()
	}
	slices.Sort(m.bytes)
	value := w.platform.values[tables.KindPools].Data
	encoded, err := edges.EncodeHosts(list)
	if err != nil {
		w.t.Fatal(err)
	}
	m.valueSize, m.packedValue, m.packedList = len(value), packedPercent(w.t, value), packedPercent(w.t, encoded)
}

// packedPercent returns the length of the compressed data in percent of the
// uncompressed data.
func packedPercent(t testing.TB, data []byte) int {
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

// measureDegraded measures the time until a change is active everywhere, with one
// failure domain down and the first reply that carries it lost at each hop.
func (w *world) measureDegraded(m *measurement, list []hosts.Host) {
	w.loseFirstReply = true
	for _, p := range append([]*process(nil), w.order...) {
		if p.host.Place.Domain == list[0].Place.Domain {
			w.kill(p)
		}
	}
	w.platform.publish(tables.KindPools, poolsOf(w.t, list, benchPools, "degraded"))
	revision := w.platform.values[tables.KindPools].Revision
	m.activation = w.waitFor(activationLimit, hasRevision(tables.KindPools, revision))
}

func BenchmarkRelay(b *testing.B) {
	for range b.N {
		for _, c := range []struct{ processes, changes int }{{15, changesPerDay}, {100, changesPerDay}, {500, changesPerDay}, {500, 0}, {2000, changesPerDay}} {
			var m measurement
			start := time.Now()
			synctest.Test(&testing.T{}, func(*testing.T) {
				list := benchFleet(c.processes)
				w := newWorld(b, trial.NewScript(nil), list)
				m = w.measure(list, c.changes)
				w.stop()
			})
			n := len(m.activation)
			fmt.Fprintf(os.Stdout, "bench=relay processes=%d changes=%d median=%.2fs force=%.2fs reads=%.1f bytes=%d worst=%d memory=%.0f start=%.1fs peak=%d size=%d values=%.0f packed=%d%% list=%.0f packedlist=%d%% elapsed=%.1fs\n",
				c.processes, c.changes, m.activation[n/2].Seconds(), m.activation[n-1].Seconds(), m.reads, m.bytes[len(m.bytes)/2], m.bytes[len(m.bytes)-1], m.memory, m.start.Seconds(), m.peak, m.valueSize, m.valueBytes, m.packedValue, m.listBytes, m.packedList, time.Since(start).Seconds())
		}
	}
}

// BenchmarkPaths measures, at the size that the relay is designed for, the interval
// and rate of direct reads and the number of processes that an entry of one failure
// domain feeds.
func BenchmarkPaths(b *testing.B) {
	for range b.N {
		const processes = 12740
		list := hosts.NewList(benchFleet(processes))
		children := make(map[hosts.Name]int)
		start := time.Now()
		count := 0
		domain := list.All()[0].Place.Domain
		for _, h := range list.All() {
			if h.Role == hosts.RoleAgent && h.Place.Domain != domain {
				continue
			}
			count++
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
			counts[len(counts)/2], counts[len(counts)-1], time.Since(start).Seconds()*1000/float64(count), r.Seconds(), 3*processes/r.Seconds())
	}
}

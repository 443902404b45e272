package picker_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/picker"
)

// The simulated fleet: engines with a bounded prefix cache, a batch whose decoding slows down
// as it fills, and one prefill at a time.
const (
	routeEngines        = 60
	routeEntries        = 6
	routePrefixes       = 1500
	routeCacheSize      = 48
	routeBatchSize      = 16
	routeRequests       = 60000
	routeReportInterval = 500 * time.Millisecond
	routeReportDelay    = 700 * time.Millisecond
	routeLossPeriod     = 20
	routeMeanGap        = 4 * time.Millisecond
	prefillMiss         = 160 * time.Millisecond
	prefillHit          = 20 * time.Millisecond
	decodeTime          = 1200 * time.Millisecond
)

// policy returns the index of the engine for a request of an entry.
type policy func(s *routeFleet, entry *routeEntry, prefix uint64) int

type routeEntry struct {
	all    []picker.Candidate
	caches *picker.Caches
	random *rand.Rand
}

type routeEngine struct {
	cache   []uint64
	serial  uint64
	pending []picker.CacheEvent
	queue   []*routeRequest
	running int
	busy    bool
}

type routeRequest struct {
	entry, engine int
	prefix        uint64
	arrived       time.Duration
}

type routeFleet struct {
	events     events
	now        time.Duration
	engines    []routeEngine
	entries    []routeEntry
	firstTimes []time.Duration
	hits       int
	random     *rand.Rand
}

// event is a function that is called at a time of the simulation.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *routeFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{at: f.now + d, order: f.random.Int(), do: do})
}

func newRouteFleet() *routeFleet {
	s := &routeFleet{engines: make([]routeEngine, routeEngines), random: rand.New(rand.NewPCG(1, 2))}
	for e := range routeEntries {
		entry := routeEntry{caches: picker.NewCaches(), random: rand.New(rand.NewPCG(3, uint64(e)))}
		for i := range routeEngines {
			tier := picker.TierRemote
			if i%3 == e%3 {
				tier = picker.TierDomain
			}
			entry.all = append(entry.all, picker.Candidate{
				Seed: picker.SeedOf(hosts.Name(fmt.Sprint("engine-", i))), Window: 64, Ready: true, Tier: tier,
			})
		}
		slices.SortFunc(entry.all, func(a, b picker.Candidate) int { return cmp.Compare(a.Seed, b.Seed) })
		s.entries = append(s.entries, entry)
	}
	return s
}

// run sends the requests and returns the p95 time to first token and the cache hit ratio.
func (f *routeFleet) run(choose policy) (time.Duration, float64) {
	zipf := rand.NewZipf(f.random, 1.1, 8, routePrefixes-1)
	at := time.Duration(0)
	for range routeRequests {
		at += time.Duration(f.random.ExpFloat64() * float64(routeMeanGap))
		entry, prefix := f.random.IntN(routeEntries), zipf.Uint64()+1
		f.after(at, func() { f.arrive(choose, entry, prefix*0x9e3779b97f4a7c15) })
	}
	for t := time.Duration(0); t < at; t += routeReportInterval {
		f.after(t, f.report)
	}
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	slices.Sort(f.firstTimes)
	return f.firstTimes[len(f.firstTimes)*95/100], float64(f.hits) / routeRequests
}

func (f *routeFleet) arrive(choose policy, entry int, prefix uint64) {
	n := &f.entries[entry]
	i := choose(f, n, prefix)
	n.all[i].OwnRequests++
	e := &f.engines[i]
	e.queue = append(e.queue, &routeRequest{entry: entry, engine: i, prefix: prefix, arrived: f.now})
	f.prefill(i)
}

func (f *routeFleet) prefill(i int) {
	e := &f.engines[i]
	if e.busy || len(e.queue) == 0 || e.running >= routeBatchSize {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = true
	e.running++
	took := prefillMiss
	if at := slices.Index(e.cache, r.prefix); at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
		took = prefillHit
		f.hits++
	} else {
		e.publish(picker.CacheEvent{Prefix: r.prefix})
	}
	e.cache = append(e.cache, r.prefix)
	if len(e.cache) > routeCacheSize {
		e.publish(picker.CacheEvent{Prefix: e.cache[0], Dropped: true})
		e.cache = e.cache[1:]
	}
	f.after(took, func() {
		e.busy = false
		f.firstTimes = append(f.firstTimes, f.now-r.arrived)
		f.prefill(i)
	})
	slow := 1 + float64(e.running)/routeBatchSize
	f.after(took+time.Duration(slow*float64(decodeTime)), func() {
		e.running--
		f.entries[r.entry].all[i].OwnRequests--
		f.prefill(i)
	})
}

func (e *routeEngine) publish(v picker.CacheEvent) {
	e.serial++
	e.pending = append(e.pending, v)
}

// report sends the loads and the cache events, which arrive after routeReportDelay. One in
// routeLossPeriod times the events of an engine are lost.
func (f *routeFleet) report() {
	for i := range f.engines {
		e := &f.engines[i]
		load, serial, published := e.running+len(e.queue), e.serial, e.pending
		e.pending = nil
		if f.random.IntN(routeLossPeriod) == 0 {
			published = nil
		}
		for n := range f.entries {
			entry := &f.entries[n]
			own := entry.all[i].OwnRequests
			f.after(routeReportDelay, func() {
				entry.all[i].OtherRequests = max(int32(load)-own, 0)
				entry.caches.ApplyEvents(entry.all[i].Seed, serial, published)
			})
		}
	}
}

func chooseAffine(_ *routeFleet, n *routeEntry, prefix uint64) int {
	return picker.Choose(n.all, picker.Query{Prefix: prefix, Holders: n.caches.Holders(prefix)})
}

func chooseRandom(_ *routeFleet, n *routeEntry, _ uint64) int { return n.random.IntN(len(n.all)) }

func chooseLeastLoaded(_ *routeFleet, n *routeEntry, _ uint64) int {
	best, from := -1, n.random.IntN(len(n.all))
	for k := range n.all {
		i := (from + k) % len(n.all)
		if best < 0 || n.all[i].Load() < n.all[best].Load() {
			best = i
		}
	}
	return best
}

func chooseHash(_ *routeFleet, n *routeEntry, prefix uint64) int {
	return int(prefix>>1) % len(n.all)
}

// BenchmarkRoute compares Choose with simpler policies, each in one run of the same requests.
func BenchmarkRoute(b *testing.B) {
	for b.Loop() {
		for _, p := range routePolicies {
			first, hits := newRouteFleet().run(p.choose)
			fmt.Printf("bench=route policy=%s first=%s hits=%.2f\n", p.name, first.Round(time.Millisecond), hits)
		}
	}
}

var routePolicies = []struct {
	name   string
	choose policy
}{{"affine", chooseAffine}, {"random", chooseRandom}, {"least", chooseLeastLoaded}, {"hash", chooseHash}}

// TestAffinityBeatsSimplerPolicies checks that Choose has the lowest p95 time to first token.
// BenchmarkRoute prints the times.
func TestAffinityBeatsSimplerPolicies(t *testing.T) {
	best := time.Duration(math.MaxInt64)
	for _, p := range routePolicies[1:] {
		first, _ := newRouteFleet().run(p.choose)
		best = min(best, first)
	}
	if first, _ := newRouteFleet().run(chooseAffine); first >= best {
		t.Errorf("p95 time to first token is %s, that of a simpler policy %s", first, best)
	}
}

// BenchmarkChoose measures one choice among 300 upstreams.
func BenchmarkChoose(b *testing.B) {
	all := make([]picker.Candidate, 300)
	caches := picker.NewCaches()
	for i := range all {
		seed := picker.SeedOf(hosts.Name(fmt.Sprint("model-", i)))
		all[i] = picker.Candidate{Seed: seed, OtherRequests: int32(i % 7), OwnRequests: int32(i % 3), Window: 16, Tier: picker.Tier(i % 3), Ready: i%9 > 0}
		caches.ApplyEvents(seed, 1, []picker.CacheEvent{{Prefix: uint64(i % 64)}})
	}
	slices.SortFunc(all, func(a, b picker.Candidate) int { return cmp.Compare(a.Seed, b.Seed) })
	const rounds = 100000
	for b.Loop() {
		start, prefix := time.Now(), uint64(0)
		allocations := testing.AllocsPerRun(rounds, func() {
			prefix++
			p := prefix % 128
			if picker.Choose(all, picker.Query{Prefix: p, Holders: caches.Holders(p)}) < 0 {
				b.Fatal("no choice")
			}
		})
		cost := time.Since(start) / rounds
		fmt.Printf("bench=choose upstreams=%d cost=%dns allocations=%.0f\n", len(all), cost.Nanoseconds(), allocations)
	}
}

// BenchmarkCaches measures the memory that Caches takes for a full subset.
func BenchmarkCaches(b *testing.B) {
	const prefixes = 256
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		caches := picker.NewCaches()
		for seed := range uint64(picker.SubsetSize) {
			events := make([]picker.CacheEvent, prefixes)
			for i := range events {
				events[i].Prefix = seed<<32 + uint64(i) + 1
			}
			caches.ApplyEvents(seed+1, prefixes, events)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		fmt.Printf("bench=caches upstreams=%d prefixes=%d bytes=%d\n", picker.SubsetSize, prefixes, after.HeapAlloc-before.HeapAlloc)
		runtime.KeepAlive(caches)
	}
}

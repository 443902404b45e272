package deploy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/tables"
	"currantport.example/core/turns"
)

// BenchmarkReload measures in virtual time how long a roll-out takes and which ratio of
// the pool stays ready. A load takes loadTime and every host has the chunks at once. In
// the output, ideal is the time of the loads alone, one after the other in each chain;
// least is the smallest ratio of the pool's hosts that were ready; asks is the number of
// queries per second and host.
func BenchmarkReload(b *testing.B) {
	for _, c := range []struct {
		hosts, dead int
		ready       float64
	}{{15, 0, 0}, {15, 0, 0.5}, {15, 0, 0.8}, {15, 1, 0.8}, {60, 0, 0.8}, {60, 3, 0.8}, {128, 0, 0.9}} {
		name := fmt.Sprintf("hosts=%d dead=%d ready=%.1f", c.hosts, c.dead, c.ready)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := &reload{hosts: c.hosts, ready: c.ready, inject: func(w *world, _ *rand.Rand, tick int) {
					for _, p := range w.alive() {
						if tick == 0 && len(w.alive()) > c.hosts-c.dead && p.markDead() {
							p.stop()
						}
					}
				}}
				if !testing.RunTests(matchAll, []testing.InternalTest{{Name: "reload", F: r.test}}) {
					b.Fatal("the roll-out failed")
				}
				width := turns.Width(c.hosts, c.ready)
				ideal := time.Duration((c.hosts+width-1)/width) * loadTime
				fmt.Printf("bench=reload %s time=%s ideal=%s least=%.2f asks=%.1f\n", name, r.time, ideal, r.minReady, r.queryRate)
			}
		})
	}
}

func matchAll(string, string) (bool, error) { return true, nil }

// injector injects a fault. It is called before the roll-out with tick zero, and then at
// every tick.
type injector func(w *world, random *rand.Rand, tick int)

// reload is one roll-out to a pool, with its results.
type reload struct {
	hosts  int
	ready  float64
	seed   uint64
	inject injector
	// exempt reports whether a host doesn't have to serve the version in the end.
	exempt func(p *process) bool

	done     bool
	time     time.Duration
	minReady float64
	// maxReloading is the largest number of live hosts that reloaded at a time,
	// notServing the number of those that serve nothing in the end.
	maxReloading, notServing int
	// queryRate is the number of queries per second and host.
	queryRate float64
}

func (r *reload) test(t *testing.T) { synctest.Test(t, r.run) }

func (r *reload) run(t *testing.T) {
	w := newWorld(t, r.hosts, 3, fenceSupport{fenced: true})
	defer w.end()
	random := rand.New(rand.NewPCG(r.seed, 1))
	for _, h := range w.list.All() {
		w.start(h.Name, nil)
	}
	w.publish(withReady(poolRow("one"), r.ready))
	w.waitServed(10 * time.Minute)
	r.inject(w, random, 0)
	w.publish(withReady(poolRow("two"), r.ready))
	r.minReady = 1
	queries, start := w.queries.Load(), time.Now()
	for tick := 1; !r.done && time.Since(start) < 5*time.Minute; tick++ {
		time.Sleep(100 * time.Millisecond)
		r.inject(w, random, tick)
		r.sample(w)
	}
	r.time = time.Since(start)
	r.queryRate = float64(w.queries.Load()-queries) / r.time.Seconds() / float64(r.hosts)
}

func (r *reload) sample(w *world) {
	desired, ready, reloads := w.desired(), 0, 0
	r.done, r.notServing = true, 0
	for _, p := range w.alive() {
		s, v := p.loader.State(), p.loader.View()
		if !s.Loading && !s.Manifest.IsZero() {
			ready++
		}
		if v.Phase == turns.PhaseReload {
			reloads++
		}
		if v.Phase == turns.PhaseReload || v.Phase == turns.PhaseFailed {
			r.notServing++
		}
		r.done = r.done && (desired.IsServed(s) || r.exempt != nil && r.exempt(p))
	}
	r.maxReloading = max(r.maxReloading, reloads)
	r.minReady = min(r.minReady, float64(ready)/float64(r.hosts))
}

func withReady(p tables.Pool, ready float64) tables.Pool {
	p.Ready = ready
	return p
}

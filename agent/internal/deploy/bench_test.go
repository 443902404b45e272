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

// BenchmarkReload measures in virtual time what turns cost and which share of a
// pool stays ready. An engine takes 3 s for a load and every host has the chunks
// at once. Ideal is the time of the loads alone, one after the other in each
// chain; least is the smallest share of the pool's hosts that was ready.
func BenchmarkReload(b *testing.B) {
	for _, c := range []struct {
		hosts, dead int
		ready       float64
	}{{15, 0, 0}, {15, 0, 0.5}, {15, 0, 0.8}, {15, 1, 0.8}, {60, 0, 0.8}, {60, 3, 0.8}, {128, 0, 0.9}} {
		name := fmt.Sprintf("hosts=%d dead=%d ready=%.1f", c.hosts, c.dead, c.ready)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := &reload{hosts: c.hosts, ready: c.ready, strike: func(w *world, _ *rand.Rand, tick int) {
					for _, p := range w.living() {
						if tick == 0 && len(w.living()) > c.hosts-c.dead && p.die() {
							p.halt()
						}
					}
				}}
				if !testing.RunTests(matchAll, []testing.InternalTest{{Name: "reload", F: r.test}}) {
					b.Fatal("the roll-out failed")
				}
				width := turns.Width(c.hosts, c.ready)
				ideal := time.Duration((c.hosts+width-1)/width) * loadTime
				fmt.Printf("bench=reload %s time=%s ideal=%s least=%.2f asks=%.1f\n", name, r.time, ideal, r.least, r.asks)
			}
		})
	}
}

func matchAll(string, string) (bool, error) { return true, nil }

// strike brings a fault about. The tick counts from zero, which comes before the
// roll-out.
type strike func(w *world, random *rand.Rand, tick int)

// reload is one roll-out over a pool.
type reload struct {
	hosts  int
	ready  float64
	seed   uint64
	strike strike
	// exempt tells that a host needn't serve the version in the end.
	exempt func(p *process) bool

	done  bool
	time  time.Duration
	least float64
	// worst is the largest number of living hosts that reloaded at a time, lost
	// that of those that serve nothing in the end.
	worst, lost int
	// asks is the number of questions a second and host.
	asks float64
}

func (r *reload) test(t *testing.T) { synctest.Test(t, r.run) }

func (r *reload) run(t *testing.T) {
	w := newWorld(t, r.hosts, 3, kind{fenced: true})
	defer w.end()
	random := rand.New(rand.NewPCG(r.seed, 1))
	for _, h := range w.list.All() {
		w.start(h.Name, nil)
	}
	w.publish(withReady(row("one"), r.ready))
	w.settled(10 * time.Minute)
	r.strike(w, random, 0)
	w.publish(withReady(row("two"), r.ready))
	r.least = 1
	before, start := w.asked.Load(), time.Now()
	for tick := 1; !r.done && time.Since(start) < 5*time.Minute; tick++ {
		time.Sleep(100 * time.Millisecond)
		r.strike(w, random, tick)
		r.sample(w)
	}
	r.time = time.Since(start)
	r.asks = float64(w.asked.Load()-before) / r.time.Seconds() / float64(r.hosts)
}

func (r *reload) sample(w *world) {
	wish, ready, reloads := w.wish(), 0, 0
	r.done, r.lost = true, 0
	for _, p := range w.living() {
		s, v := p.loader.State(), p.loader.View()
		if !s.Loading && !s.Manifest.IsZero() {
			ready++
		}
		if v.Phase == turns.PhaseReload {
			reloads++
		}
		if v.Phase == turns.PhaseReload || v.Phase == turns.PhaseFailed {
			r.lost++
		}
		r.done = r.done && (wish.IsServed(s) || r.exempt != nil && r.exempt(p))
	}
	r.worst = max(r.worst, reloads)
	r.least = min(r.least, float64(ready)/float64(r.hosts))
}

func withReady(p tables.Pool, ready float64) tables.Pool {
	p.Ready = ready
	return p
}
